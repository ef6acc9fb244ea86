"""Data types that the configuration store exchanges with other parts."""

from dataclasses import dataclass
from typing import Protocol

from acaciarack.errors import Refusal
from acaciarack.validation import ConfigurationFault


@dataclass(frozen=True, kw_only=True)
class EncodedConfiguration:
    """An encoded replica state, as nodes send it to each other.

    Attributes:
        version: the configuration's version.
        body: the encoded state, including its history.
    """

    version: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class ConfigurationDigest:
    """Identifies a node's configuration, for comparison with other nodes.

    Attributes:
        version: the configuration's version.
        checksum: the checksum of the encoded configuration. Nodes with equal
            versions must have equal checksums.
    """

    version: int
    checksum: int


class PeerSource(Protocol):
    """Fetches the configuration from other nodes."""

    async def fetch(self, minimum_version: int) -> EncodedConfiguration | None:
        """Returns a peer's state of at least ``minimum_version``.

        Returns ``None`` if no queried peer has such a state.
        """
        ...


@dataclass(frozen=True, kw_only=True)
class Published:
    """The change was accepted and is in force on this node."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The change conflicts with a newer one; nothing was changed.

    Attributes:
        version: the version in force.
        objects: the objects modified after the base version, as
            ``kind/name``.
    """

    version: int
    objects: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """The change or its result is not valid; nothing was changed.

    Attributes:
        reason: the reason in one sentence.
        faults: the faults of the resulting configuration. Empty if the change
            itself is at fault, or if it was rejected after its append.
    """

    reason: str
    faults: tuple[ConfigurationFault, ...] = ()


Publication = Published | Conflict | Invalid | Refusal
