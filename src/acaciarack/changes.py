"""Changes of the configuration: their records, and how they apply.

Everything here is a pure function of the records of one log stream, so every
reader comes to the same result.
"""

import enum
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime
from typing import Any

import msgspec

from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    NodeSetting,
    Organisation,
    Route,
    Service,
    Target,
)
from acaciarack.validation import ConfigurationFault, find_faults

MAX_EDITS = 1000
MAX_HISTORY = 200
MAX_BASE_AGE = 100_000
"""Base versions that lie further back, in offsets, are rejected."""
MAX_TEXT = 128
MAX_REASON = 500
_MAX_SHOWN_EDITS = 20

ConfigurationObject = (
    Organisation | Service | ModelChoice | Route | Target | NodeSetting
)


class ObjectKind(enum.StrEnum):
    """The kinds of object in a configuration."""

    ORGANISATION = "organisation"
    SERVICE = "service"
    MODEL_CHOICE = "model_choice"
    ROUTE = "route"
    TARGET = "target"
    NODE = "node"


_TYPES: dict[ObjectKind, type[Any]] = {
    ObjectKind.ORGANISATION: Organisation,
    ObjectKind.SERVICE: Service,
    ObjectKind.MODEL_CHOICE: ModelChoice,
    ObjectKind.ROUTE: Route,
    ObjectKind.TARGET: Target,
    ObjectKind.NODE: NodeSetting,
}
_FIELDS: dict[ObjectKind, str] = {
    ObjectKind.ORGANISATION: "organisations",
    ObjectKind.SERVICE: "services",
    ObjectKind.MODEL_CHOICE: "model_choices",
    ObjectKind.ROUTE: "routes",
    ObjectKind.TARGET: "targets",
    ObjectKind.NODE: "nodes",
}


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """Puts or deletes one object.

    Attributes:
        kind: the object's kind.
        name: the object's name.
        value: the whole new object, of the kind's type; ``None`` deletes.
    """

    kind: ObjectKind
    name: str
    value: Any = None

    @property
    def place(self) -> str:
        """The object as ``kind/name``."""
        return f"{self.kind}/{self.name}"


class Change(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """A record that edits objects, all or none.

    Attributes:
        change_id: unique; finds the change again after a lost answer.
        author: the operator.
        base_version: the version that the author saw.
        edits: at most one for each object.
    """

    change_id: str
    author: str
    base_version: int
    edits: tuple[Edit, ...]


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One change as it was read.

    Attributes:
        offset: the change's offset; the version if it was accepted.
        time: when the log appended it.
        change_id: the change's id.
        author: the operator.
        edits: the first objects as ``kind/name``, deleted ones with ``-``.
        reason: why it was rejected; empty if it was accepted.
        conflicts: objects modified after its base version.
    """

    offset: int
    time: datetime
    change_id: str
    author: str
    edits: tuple[str, ...]
    reason: str = ""
    conflicts: tuple[str, ...] = ()


class ReplicaState(msgspec.Struct, frozen=True, kw_only=True):
    """What the records up to an offset come to.

    Attributes:
        applied_offset: the last offset whose record is taken into account.
        configuration: the configuration after it.
        history: the newest changes, accepted and rejected, oldest first.
        renewed: when the log appended the newest snapshot that no record
            separates from its state, or else the first record.
    """

    applied_offset: int = 0
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    history: tuple[HistoryEntry, ...] = ()
    renewed: datetime | None = None


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """A record that repeats a state, before older records expire."""

    state: ReplicaState


Record = Change | Snapshot


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change applies.

    Attributes:
        configuration: the result; its version is the change's offset.
    """

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The change does not apply and leaves no trace but in the history.

    Attributes:
        reason: one sentence.
        conflicts: objects, as ``kind/name``, modified after its base version.
        faults: why the result would not be valid.
    """

    reason: str
    conflicts: tuple[str, ...] = ()
    faults: tuple[ConfigurationFault, ...] = ()


def get_objects(
    configuration: Configuration, kind: ObjectKind
) -> dict[str, Any]:
    """Returns the objects of one kind by name."""
    objects: dict[str, Any] = getattr(configuration, _FIELDS[kind])
    return objects


def get_type(kind: ObjectKind) -> type[Any]:
    """Returns the dataclass of a kind."""
    return _TYPES[kind]


def apply_change(
    configuration: Configuration, offset: int, change: Change
) -> Accepted | Rejected:
    """Applies a change that stands at ``offset`` of the log.

    Names of routing policies are not checked here, since nodes with other
    plug-ins must come to the same result.
    """
    fault = _check_change(configuration, offset, change)
    if fault:
        return Rejected(reason=fault)
    conflicts = tuple(_find_conflicts(configuration, change))
    if conflicts:
        return Rejected(
            reason=(
                f"modified after version {change.base_version}:"
                f" {', '.join(conflicts[:_MAX_SHOWN_EDITS])}"
            ),
            conflicts=conflicts,
        )
    fault = _check_values(configuration, change)
    if fault:
        return Rejected(reason=fault)
    result = apply_edits(configuration, change.edits, version=offset)
    faults = find_faults(result)
    if faults:
        return Rejected(reason=f"not valid: {faults[0]}", faults=faults)
    return Accepted(configuration=result)


def apply_edits(
    configuration: Configuration, edits: Iterable[Edit], *, version: int
) -> Configuration:
    """Returns the configuration with the edits made, unchecked."""
    objects = {
        kind: dict(get_objects(configuration, kind)) for kind in ObjectKind
    }
    modified = dict(configuration.modified)
    for edit in edits:
        modified[edit.place] = version
        if edit.value is None:
            objects[edit.kind].pop(edit.name, None)
        else:
            objects[edit.kind][edit.name] = edit.value
    fields = {_FIELDS[kind]: objects[kind] for kind in ObjectKind}
    result = Configuration(version=version, modified=modified, **fields)
    return replace(result, modified=_prune(result))


def apply_record(
    state: ReplicaState, offset: int, time: datetime, record: Record | None
) -> ReplicaState:
    """Returns the state after the record at ``offset``.

    Args:
        state: the state before it.
        offset: above the state's applied offset.
        time: when the log appended the record.
        record: ``None`` for one that cannot be decoded; it changes nothing.
    """
    renewed = state.renewed or time
    if _follows_its_state(offset, record):
        renewed = time
    state = msgspec.structs.replace(
        state, applied_offset=offset, renewed=renewed
    )
    if not isinstance(record, Change):
        return state
    verdict = apply_change(state.configuration, offset, record)
    if any(entry.change_id == record.change_id for entry in state.history):
        verdict = Rejected(reason="the same change was read before")
    entry = _build_entry(offset, time, record, verdict)
    configuration = state.configuration
    if isinstance(verdict, Accepted):
        configuration = verdict.configuration
    return msgspec.structs.replace(
        state,
        configuration=configuration,
        history=(*state.history, entry)[-MAX_HISTORY:],
    )


def _follows_its_state(offset: int, record: Record | None) -> bool:
    return (
        isinstance(record, Snapshot)
        and record.state.applied_offset == offset - 1
    )


def find_entry(state: ReplicaState, change_id: str) -> HistoryEntry | None:
    """Returns the first entry of a change, if the history still has it."""
    for entry in state.history:
        if entry.change_id == change_id:
            return entry
    return None


def _check_change(
    configuration: Configuration, offset: int, change: Change
) -> str:
    """Returns what is wrong with the change itself; empty if nothing."""
    places = [edit.place for edit in change.edits]
    if not 1 <= len(places) <= MAX_EDITS:
        return f"{len(places)} edits; allowed are 1 to {MAX_EDITS}"
    if len(set(places)) < len(places):
        return "an object is edited twice"
    if max(len(change.change_id), len(change.author)) > MAX_TEXT:
        return f"the id or author is over {MAX_TEXT} characters"
    if not 0 <= change.base_version < offset:
        return f"the base version {change.base_version} does not exist yet"
    if change.base_version < configuration.version - MAX_BASE_AGE:
        return f"the base version {change.base_version} is too old"
    return ""


def _check_values(configuration: Configuration, change: Change) -> str:
    for edit in change.edits:
        known = get_objects(configuration, edit.kind)
        if edit.value is None and edit.name not in known:
            return f"{edit.place} does not exist"
        if edit.value is not None and edit.value.name != edit.name:
            return f"{edit.place} holds an object named {edit.value.name!r}"
    return ""


def _find_conflicts(
    configuration: Configuration, change: Change
) -> Iterator[str]:
    for edit in change.edits:
        if configuration.modified.get(edit.place, 0) > change.base_version:
            yield edit.place


def _prune(configuration: Configuration) -> dict[str, int]:
    """Drops deleted objects that no acceptable base version precedes."""
    oldest = configuration.version - MAX_BASE_AGE
    kept = {
        f"{kind}/{name}"
        for kind in ObjectKind
        for name in get_objects(configuration, kind)
    }
    return {
        place: version
        for place, version in configuration.modified.items()
        if place in kept or version >= oldest
    }


def _build_entry(
    offset: int, time: datetime, change: Change, verdict: Accepted | Rejected
) -> HistoryEntry:
    edits = tuple(
        f"-{edit.place}" if edit.value is None else edit.place
        for edit in change.edits[:_MAX_SHOWN_EDITS]
    )
    entry = HistoryEntry(
        offset=offset,
        time=time,
        change_id=change.change_id[:MAX_TEXT],
        author=change.author[:MAX_TEXT],
        edits=edits,
    )
    if isinstance(verdict, Accepted):
        return entry
    return msgspec.structs.replace(
        entry,
        reason=verdict.reason[:MAX_REASON],
        conflicts=verdict.conflicts[:_MAX_SHOWN_EDITS],
    )
