"""Interfaces of the platform's log service, VM list and weight store.

The interfaces are ``Protocol`` types. Clients register themselves in
``platform_clients``; tests pass fakes.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from acaciarack.errors import AcaciarackError
from acaciarack.registry import Registry


class PlatformError(AcaciarackError):
    """The base class of platform errors."""


class LogUnavailableError(PlatformError):
    """The log refused the call or was unreachable; nothing was appended."""


class AppendUnknownError(PlatformError):
    """The result of an append is unknown; the records may be in the log."""


class OffsetExpiredError(PlatformError):
    """The requested offset is older than the log retains.

    Attributes:
        earliest: the earliest retained offset.
    """

    def __init__(self, *, earliest: int) -> None:
        super().__init__(f"the earliest retained offset is {earliest}")
        self.earliest = earliest


@dataclass(frozen=True, kw_only=True)
class LogEntry:
    """One record in the log.

    Attributes:
        offset: its position in the stream; starts at 1 and strictly increases.
        time: when the log appended it, according to the log's clock, in UTC.
        body: the record as encoded by the writer.
    """

    offset: int
    time: datetime
    body: bytes


@dataclass(frozen=True, kw_only=True)
class LogSlice:
    """A range of entries.

    Attributes:
        entries: in order of offset; may be empty.
        earliest: the earliest retained offset.
        end: the offset of the next append.
    """

    entries: tuple[LogEntry, ...]
    earliest: int
    end: int


class LogService(Protocol):
    """An append-only log of named streams with offsets from 1."""

    async def append(self, *, stream: str, bodies: Sequence[bytes]) -> int:
        """Appends records in order, as one batch.

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
        """Reads entries from ``start`` on; waits if there are none yet.

        Args:
            stream: the stream's name.
            start: the first offset to read; 1 or more.
            limit: the maximum number of entries to return.
            wait: how long to wait for the first entry.

        Raises:
            LogUnavailableError: the log is unreachable.
            OffsetExpiredError: ``start`` is no longer retained.
        """
        ...


class VmState(enum.StrEnum):
    """The state of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class Vm:
    """One VM in the platform's list.

    Attributes:
        name: the node's or target's name.
        role: ``node``, ``engine`` or ``application``.
        host: its IP address.
        data_centre: the data centre where it runs.
        state: live or leaving.
    """

    name: str
    role: str
    host: str
    data_centre: str
    state: VmState


class VmList(Protocol):
    """The platform's list of VMs, which may be out of date."""

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns the platform's current list.

        Raises:
            PlatformError: the list is not available.
        """
        ...


class WeightStore(Protocol):
    """The rate-limited store of model weights.

    The node reserves a pull before it orders a target to load a model.
    """

    async def reserve_pull(self, *, model: str, version: str) -> timedelta:
        """Reserves one pull.

        Returns:
            How long to wait before the pull may start.

        Raises:
            PlatformError: the store is not available.
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
