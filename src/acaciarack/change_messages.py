"""Defines the records of the configuration stream and the replica state."""

import enum
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
    """Creates, replaces or deletes one object.

    Attributes:
        kind: the object's kind.
        name: the object's name.
        value: the complete new object, or ``None`` to delete it.
    """

    kind: ObjectKind
    name: str
    value: Any = None

    @property
    def object_key(self) -> str:
        """The object's key, ``kind/name``."""
        return f"{self.kind}/{self.name}"


class Change(msgspec.Struct, frozen=True, kw_only=True, tag="change"):
    """A record whose edits are applied all together or not at all.

    Attributes:
        change_id: a unique id, used to find the change in the log when its
            append was not acknowledged.
        author: the operator who made the change.
        base_version: the version that the author saw.
        edits: the edits; at most one per object.
    """

    change_id: str
    author: str
    base_version: int
    edits: tuple[Edit, ...]


class HistoryEntry(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one change.

    Attributes:
        offset: the change's offset; the new version if it was accepted.
        time: when the change was appended to the log.
        change_id: the change's id.
        author: the operator who made the change.
        edits: the edited objects as ``kind/name``; deleted objects have the
            prefix ``-``. A long list is truncated.
        reason: the reason for a rejection; empty if accepted.
        conflicts: the edited objects that were modified after the base
            version. A long list is truncated.
    """

    offset: int
    time: datetime
    change_id: str
    author: str
    edits: tuple[str, ...]
    reason: str = ""
    conflicts: tuple[str, ...] = ()


class ReplicaState(msgspec.Struct, frozen=True, kw_only=True):
    """The state after all records up to an offset.

    Attributes:
        applied_offset: the offset of the last applied record.
        configuration: the configuration after that record.
        history: recent changes, accepted and rejected, oldest first.
        renewed: when the newest current snapshot was appended to the log. A
            snapshot is current if it covers every record before its own. If
            there is none, the time when the first applied record was appended.
    """

    applied_offset: int = 0
    configuration: Configuration = msgspec.field(default_factory=Configuration)
    history: tuple[HistoryEntry, ...] = ()
    renewed: datetime | None = None


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag="snapshot"):
    """A record that holds a full state, so that older records may expire."""

    state: ReplicaState


Record = Change | Snapshot


def get_field(kind: ObjectKind) -> str:
    """Returns the ``Configuration`` field that holds objects of a kind."""
    return _FIELDS[kind]


def get_objects(
    configuration: Configuration, kind: ObjectKind
) -> dict[str, Any]:
    """Returns the objects of one kind by name."""
    objects: dict[str, Any] = getattr(configuration, _FIELDS[kind])
    return objects


def get_type(kind: ObjectKind) -> type[Any]:
    """Returns the dataclass of objects of a kind."""
    return _TYPES[kind]
