"""Applies configuration changes to a replica's state.

All functions depend only on the records of one log stream, so that every
replica computes the same state.
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
"""The maximum number of edits in a change."""
MAX_HISTORY_ENTRIES = 200
MAX_BASE_VERSION_LAG = 100_000
"""The maximum lag of a base version behind the current one, in offsets.

Changes with an older base version are rejected.
"""
MAX_TEXT_LENGTH = 128
"""The maximum length of a change id or author, in characters."""
MAX_REASON_LENGTH = 500
"""The maximum length of a reason in the history, in characters."""
_MAX_LISTED_OBJECTS = 20
"""The maximum number of edits or conflicts listed in a history entry."""


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """The change is accepted.

    Attributes:
        configuration: the new configuration; its version is the change's
            offset.
    """

    configuration: Configuration


@dataclass(frozen=True, kw_only=True)
class Rejected:
    """The change is rejected; it is recorded only in the history.

    Attributes:
        reason: the reason in one sentence.
        conflicts: the objects modified after the change's base version, as
            ``kind/name``.
        faults: the faults of the resulting configuration.
    """

    reason: str
    conflicts: tuple[str, ...] = ()
    faults: tuple[ConfigurationFault, ...] = ()


def apply_change(
    configuration: Configuration, offset: int, change: Change
) -> Accepted | Rejected:
    """Applies a change whose record is at ``offset`` of the log.

    Routing policy names are not checked, because nodes with different plug-ins
    must compute the same result.
    """
    fault = _check_change(configuration, offset, change)
    if fault:
        return Rejected(reason=fault)
    conflicts = tuple(_find_conflicts(configuration, change))
    if conflicts:
        return Rejected(
            reason=(
                f"modified after version {change.base_version}:"
                f" {', '.join(conflicts[:_MAX_LISTED_OBJECTS])}"
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
    """Returns the configuration with the edits applied, without checks."""
    objects = {
        kind: dict(get_objects(configuration, kind)) for kind in ObjectKind
    }
    modified = dict(configuration.modified)
    for edit in edits:
        modified[edit.object_key] = version
        if edit.value is None:
            objects[edit.kind].pop(edit.name, None)
        else:
            objects[edit.kind][edit.name] = edit.value
    fields = {get_field(kind): objects[kind] for kind in ObjectKind}
    result = Configuration(version=version, modified=modified, **fields)
    return replace(result, modified=_prune_modified(result))


def apply_record(
    state: ReplicaState, offset: int, time: datetime, record: Record | None
) -> ReplicaState:
    """Returns the state after the record at ``offset``.

    Args:
        state: the state before the record.
        offset: the record's offset; above the state's applied offset.
        time: when the record was appended to the log.
        record: the record, or ``None`` if it cannot be decoded. An
            undecodable record does not change the configuration.
    """
    renewed = state.renewed or time
    if _is_current_snapshot(offset, record):
        renewed = time
    state = msgspec.structs.replace(
        state, applied_offset=offset, renewed=renewed
    )
    if not isinstance(record, Change):
        return state
    result = apply_change(state.configuration, offset, record)
    if any(entry.change_id == record.change_id for entry in state.history):
        result = Rejected(reason="the same change was read before")
    entry = _build_entry(offset, time, record, result)
    configuration = state.configuration
    if isinstance(result, Accepted):
        configuration = result.configuration
    return msgspec.structs.replace(
        state,
        configuration=configuration,
        history=(*state.history, entry)[-MAX_HISTORY_ENTRIES:],
    )


def _is_current_snapshot(offset: int, record: Record | None) -> bool:
    return (
        isinstance(record, Snapshot)
        and record.state.applied_offset == offset - 1
    )


def find_entry(state: ReplicaState, change_id: str) -> HistoryEntry | None:
    """Returns a change's first history entry, or ``None`` if there is none."""
    for entry in state.history:
        if entry.change_id == change_id:
            return entry
    return None


def _check_change(
    configuration: Configuration, offset: int, change: Change
) -> str:
    """Returns the first fault in the change's fields, or an empty string."""
    object_keys = [edit.object_key for edit in change.edits]
    if not 1 <= len(object_keys) <= MAX_EDITS:
        return f"{len(object_keys)} edits; allowed are 1 to {MAX_EDITS}"
    if len(set(object_keys)) < len(object_keys):
        return "an object is edited twice"
    if max(len(change.change_id), len(change.author)) > MAX_TEXT_LENGTH:
        return f"the id or author is over {MAX_TEXT_LENGTH} characters"
    if not 0 <= change.base_version < offset:
        return f"the base version {change.base_version} does not exist yet"
    if change.base_version < configuration.version - MAX_BASE_VERSION_LAG:
        return f"the base version {change.base_version} is too old"
    return ""


def _check_values(configuration: Configuration, change: Change) -> str:
    """Returns the first fault in the edited objects, or an empty string."""
    for edit in change.edits:
        objects = get_objects(configuration, edit.kind)
        if edit.value is None and edit.name not in objects:
            return f"{edit.object_key} does not exist"
        if edit.value is not None and edit.value.name != edit.name:
            return (
                f"{edit.object_key} holds an object named {edit.value.name!r}"
            )
    return ""


def _find_conflicts(
    configuration: Configuration, change: Change
) -> Iterator[str]:
    for edit in change.edits:
        if configuration.modified.get(edit.object_key, 0) > change.base_version:
            yield edit.object_key


def _prune_modified(configuration: Configuration) -> dict[str, int]:
    """Returns ``modified`` without entries that cannot cause a conflict.

    Removes deleted objects whose deletion is older than every acceptable base
    version.
    """
    oldest = configuration.version - MAX_BASE_VERSION_LAG
    existing = {
        f"{kind}/{name}"
        for kind in ObjectKind
        for name in get_objects(configuration, kind)
    }
    return {
        object_key: version
        for object_key, version in configuration.modified.items()
        if object_key in existing or version >= oldest
    }


def _build_entry(
    offset: int, time: datetime, change: Change, result: Accepted | Rejected
) -> HistoryEntry:
    edits = tuple(
        f"-{edit.object_key}" if edit.value is None else edit.object_key
        for edit in change.edits[:_MAX_LISTED_OBJECTS]
    )
    entry = HistoryEntry(
        offset=offset,
        time=time,
        change_id=change.change_id[:MAX_TEXT_LENGTH],
        author=change.author[:MAX_TEXT_LENGTH],
        edits=edits,
    )
    if isinstance(result, Accepted):
        return entry
    return msgspec.structs.replace(
        entry,
        reason=result.reason[:MAX_REASON_LENGTH],
        conflicts=result.conflicts[:_MAX_LISTED_OBJECTS],
    )
