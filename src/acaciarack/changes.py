"""Changes of the configuration: their records, and how they apply.

Everything here is a pure function of the records of one log stream, so every
reader comes to the same result.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from datetime import datetime

import msgspec

from acaciarack.change_messages import (
    Change,
    Edit,
    HistoryEntry,
    ObjectKind,
    Record,
    ReplicaState,
    Snapshot,
    get_field,
    get_objects,
)
from acaciarack.configuration import Configuration
from acaciarack.validation import ConfigurationFault, find_faults

MAX_EDITS = 1000
MAX_HISTORY = 200
MAX_BASE_AGE = 100_000
"""Base versions that lie further back, in offsets, are rejected."""
MAX_TEXT = 128
MAX_REASON = 500
_MAX_SHOWN_EDITS = 20


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
    fields = {get_field(kind): objects[kind] for kind in ObjectKind}
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
