"""The messages of configuration changes: edits, changes, states."""

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


def get_field(kind: ObjectKind) -> str:
    """Returns the field of ``Configuration`` that holds a kind."""
    return _FIELDS[kind]


def get_objects(
    configuration: Configuration, kind: ObjectKind
) -> dict[str, Any]:
    """Returns the objects of one kind by name."""
    objects: dict[str, Any] = getattr(configuration, _FIELDS[kind])
    return objects


def get_type(kind: ObjectKind) -> type[Any]:
    """Returns the dataclass of a kind."""
    return _TYPES[kind]
