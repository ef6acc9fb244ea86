"""What the platform gives: log service, VM list and weight store.

The interfaces are ``Protocol`` types. HTTP clients for them register
themselves in ``platform_clients``; tests pass stand-ins.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from acaciarack.errors import AcaciarackError
from acaciarack.registry import Registry


class PlatformError(AcaciarackError):
    """The base of errors of the platform."""


class LogUnavailableError(PlatformError):
    """The log refused the call or could not be reached; nothing was done."""


class AppendUnknownError(PlatformError):
    """The answer to an append was lost; the records may have been appended."""


class OffsetExpiredError(PlatformError):
    """The offset asked for is older than the log retains.

    Attributes:
        earliest: the earliest offset that is retained.
    """

    def __init__(self, *, earliest: int) -> None:
        super().__init__(f"the earliest retained offset is {earliest}")
        self.earliest = earliest


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One record as the log holds it.

    Attributes:
        offset: position in its stream; the first is 1; strictly increasing.
        time: when the log appended it, by the log's clock, in UTC.
        body: the record, as the writer encoded it.
    """

    offset: int
    time: datetime
    body: bytes


@dataclass(frozen=True, kw_only=True)
class LogSlice:
    """A run of entries.

    Attributes:
        entries: in order of offset; may be empty.
        earliest: the earliest offset still retained.
        end: the offset that the next append will get.
    """

    entries: tuple[LogEntry, ...]
    earliest: int
    end: int


class LogService(Protocol):
    """An append-only log of named streams with offsets from 1."""

    async def append(self, *, stream: str, bodies: Sequence[bytes]) -> int:
        """Appends records in order, as one append.

        Returns:
            The offset of the first record.

        Raises:
            LogUnavailableError: nothing was appended.
            AppendUnknownError: the records may have been appended.
        """
        ...

    async def read(
        self, *, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogSlice:
        """Reads from ``start`` on, waiting for a record if there is none.

        Args:
            stream: the stream's name.
            start: the first offset wanted; 1 or more.
            limit: the most entries to return.
            wait: how long to wait when nothing is there yet.

        Raises:
            LogUnavailableError: the log cannot be reached.
            OffsetExpiredError: ``start`` is no longer retained.
        """
        ...


class VmState(enum.StrEnum):
    """What the VM list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Vm:
    """One VM on the platform's list.

    Attributes:
        name: the node's or target's name.
        role: ``node``, ``engine`` or ``application``.
        host: its IP number.
        data_centre: where it stands.
        state: live or leaving.
    """

    name: str
    role: str
    host: str
    data_centre: str
    state: VmState


class VmList(Protocol):
    """The platform's list of VMs, which lags behind what is so."""

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns the list as the platform knows it now.

        Raises:
            PlatformError: the list cannot be had.
        """
        ...


class WeightStore(Protocol):
    """The rate-limited store of model weights, asked before a load order."""

    async def reserve_pull(self, *, model: str, version: str) -> timedelta:
        """Reserves one pull.

        Returns:
            How long to wait before the pull may start.

        Raises:
            PlatformError: the store cannot be had.
        """
        ...


@dataclass(frozen=True, kw_only=True)
class PlatformClients:
    """Clients of the three platform services.

    Attributes:
        log: the log service.
        vms: the VM list.
        weights: the weight store.
    """

    log: LogService
    vms: VmList
    weights: WeightStore


platform_clients: Registry[PlatformClients] = Registry(kind="platform client")
