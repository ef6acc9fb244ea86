"""What the configuration store exchanges with other parts and nodes."""

from dataclasses import dataclass
from typing import Protocol

from acaciarack.errors import Refusal
from acaciarack.validation import ConfigurationFault


@dataclass(frozen=True, kw_only=True)
class EncodedConfiguration:
    """A state as nodes send it to each other.

    Attributes:
        version: the configuration's version.
        body: the encoded state, with its history.
    """

    version: int
    body: bytes


@dataclass(frozen=True, kw_only=True)
class ConfigurationDigest:
    """Names the configuration in force, for heartbeats.

    Attributes:
        version: its version.
        checksum: of its encoding; equal versions have equal checksums.
    """

    version: int
    checksum: int


class PeerSource(Protocol):
    """Fetches the configuration from other nodes."""

    async def fetch(self, minimum_version: int) -> EncodedConfiguration | None:
        """Returns the newest that a reachable node has, or ``None``.

        Only one whose version is ``minimum_version`` or more is returned.
        """
        ...


@dataclass(frozen=True, kw_only=True)
class Published:
    """The change was accepted and is in force on this node."""

    version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """Another change came first; nothing was changed.

    Attributes:
        version: the version in force.
        objects: those modified after the base version, as ``kind/name``.
    """

    version: int
    objects: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """The change or its result is not valid; nothing was changed.

    Attributes:
        reason: one sentence.
        faults: of the resulting configuration.
    """

    reason: str
    faults: tuple[ConfigurationFault, ...] = ()


Publication = Published | Conflict | Invalid | Refusal
