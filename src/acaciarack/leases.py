"""Leases on targets, as records on the log.

The offset of the record that grants a lease is its fencing number. Who holds
a lease is a function of the log alone.
"""

import uuid
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

import trio

from acaciarack._log_follower import LogFollower
from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError
from acaciarack.platform import (
    AppendUnknownError,
    LogEntry,
    LogService,
    LogUnavailableError,
)
from acaciarack.records import (
    LeaseRecord,
    OrderRecord,
    RecordError,
    ReleaseRecord,
    decode_order_record,
    encode_record,
)

STREAM = "orders"
LEASE_DURATION = timedelta(seconds=15)
ORDER_LIFETIME = timedelta(seconds=5)
DRIFT = timedelta(seconds=1)
GRANT_TIMEOUT = timedelta(seconds=3)


class LeaseError(AcaciarackError):
    """The base of errors of leases."""


class LeaseUnavailableError(LeaseError):
    """The log cannot be reached, so that no lease can be had."""


class LeaseLapsedError(LeaseError):
    """The lease has ended, or its holder may not act yet."""


@dataclass(frozen=True, kw_only=True)
class Grant:
    """A lease as the log shows it; times are the log's.

    Attributes:
        holder: the process that holds it.
        request: the request that was granted.
        fencing: the offset of the record.
        time: when it was granted.
        expires: when it ends.
        act_from: when no order of an earlier holder can arrive any more.
    """

    holder: str
    request: bytes
    fencing: int
    time: datetime
    expires: datetime
    act_from: datetime


class LeaseTable:
    """Folds records of leases into the newest grant of each target."""

    def __init__(self, *, order_lifetime: timedelta, drift: timedelta) -> None:
        self._margin = order_lifetime + drift
        self._grants: dict[str, Grant] = {}

    def find(self, target: str) -> Grant | None:
        """Returns the newest grant; it may have ended."""
        return self._grants.get(target)

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Takes the next record."""
        if isinstance(record, LeaseRecord):
            self._take_request(entry, record)
        elif isinstance(record, ReleaseRecord):
            self._release(entry, record)

    def _take_request(self, entry: LogEntry, record: LeaseRecord) -> None:
        current = self._grants.get(record.target)
        act_from = entry.time
        if current is not None and current.holder == record.node:
            act_from = current.act_from
        elif current is not None:
            if entry.time < current.expires:
                return
            act_from = current.expires + self._margin
        self._grants[record.target] = Grant(
            holder=record.node,
            request=record.request,
            fencing=entry.offset,
            time=entry.time,
            expires=entry.time + timedelta(seconds=record.seconds),
            act_from=act_from,
        )

    def _release(self, entry: LogEntry, record: ReleaseRecord) -> None:
        current = self._grants.get(record.target)
        if current is not None and current.fencing == record.fencing:
            # Whoever asks next may act at once: nothing is under way.
            del self._grants[record.target]


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as its holder sees it; times are the holder's monotonic ones.

    Attributes:
        target: the target.
        fencing: to be sent with each order.
        valid_until: when the holder stops.
        act_from: when it may act on a target that checks no fencing number.
    """

    target: str
    fencing: int
    valid_until: timedelta
    act_from: timedelta


class RecordObserver(Protocol):
    """Is shown the records of the stream, in order."""

    def restart(self) -> None:
        """Forgets all; the retained records follow from the first on."""
        ...

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Takes the next record."""
        ...


class Leases:
    """Asks for leases and tells whether their holder may act."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        node: str,
        retention: timedelta,
        duration: timedelta = LEASE_DURATION,
        order_lifetime: timedelta = ORDER_LIFETIME,
        drift: timedelta = DRIFT,
    ) -> None:
        """Creates the leases of one process; ``run`` must be running.

        Args:
            log: the log service.
            clock: gives times and waits.
            node: this node's name.
            retention: how long the log keeps a record at least.
            duration: how long a lease lasts; longer than ``order_lifetime``.
            order_lifetime: how long after it was sent an order may arrive.
            drift: the most that clocks drift apart during a lease.
        """
        self._log = log
        self._clock = clock
        # A process that is replaced under the same name is another holder.
        self._holder = f"{node}/{uuid.uuid4().hex}"
        self._duration = duration
        self._order_lifetime = order_lifetime
        self._drift = drift
        self._table = self._build_table()
        self._observers: list[RecordObserver] = []
        self._applied = trio.Event()
        self._follower = LogFollower(
            log=log,
            clock=clock,
            stream=STREAM,
            retention=retention,
            apply=self._apply,
            restart=self._restart,
        )

    def add_observer(self, observer: RecordObserver) -> None:
        """Adds what is shown each record of the stream, also of orders."""
        self._observers.append(observer)

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._follower.is_ready()

    async def append(self, record: OrderRecord) -> None:
        """Appends a record and waits until it has been read back.

        Raises:
            LeaseUnavailableError: the log cannot be reached, or the record
                was not read back in time; it may be there.
        """
        try:
            offset = await self._log.append(
                stream=STREAM, bodies=[encode_record(record)]
            )
        except (LogUnavailableError, AppendUnknownError) as error:
            raise LeaseUnavailableError(str(error)) from error
        await self._wait_for(offset)

    async def run(self) -> None:
        """Follows the log until cancelled."""
        await self._follower.run()

    async def acquire(self, target: str) -> Lease | None:
        """Asks for a lease, or for a longer one with a new number.

        Returns:
            The lease; ``None`` if another process holds it.

        Raises:
            LeaseUnavailableError: the log cannot be reached.
        """
        if not self._follower.is_ready():
            raise LeaseUnavailableError("the log has not been read yet")
        asked = self._clock.elapsed()
        record = LeaseRecord(
            target=target,
            node=self._holder,
            request=uuid.uuid4().bytes,
            seconds=self._duration.total_seconds(),
        )
        try:
            offset = await self._log.append(
                stream=STREAM, bodies=[encode_record(record)]
            )
        except (LogUnavailableError, AppendUnknownError) as error:
            raise LeaseUnavailableError(str(error)) from error
        await self._wait_for(offset)
        grant = self._table.find(target)
        if grant is None or grant.request != record.request:
            return None
        wait = max(grant.act_from - grant.time, timedelta())
        return Lease(
            target=target,
            fencing=grant.fencing,
            valid_until=asked + self._duration - self._drift,
            act_from=self._clock.elapsed() + wait + self._drift
            if wait
            else timedelta(),
        )

    def check(self, lease: Lease, *, checks_fencing: bool) -> None:
        """Is called right before each order, without a wait between.

        Raises:
            LeaseLapsedError: the order must not be sent.
        """
        now = self._clock.elapsed()
        if now >= lease.valid_until:
            raise LeaseLapsedError(
                f"the lease on {lease.target} ended "
                f"{(now - lease.valid_until).total_seconds()} s ago"
            )
        if not checks_fencing and now < lease.act_from:
            raise LeaseLapsedError(
                f"an order of an earlier holder may reach {lease.target} for "
                f"{(lease.act_from - now).total_seconds()} s more"
            )

    async def release(self, lease: Lease) -> None:
        """Gives a lease back, when none of its orders is under way.

        Raises:
            LeaseUnavailableError: the log cannot be reached; it runs out.
        """
        record = ReleaseRecord(target=lease.target, fencing=lease.fencing)
        try:
            await self._log.append(
                stream=STREAM, bodies=[encode_record(record)]
            )
        except (LogUnavailableError, AppendUnknownError) as error:
            raise LeaseUnavailableError(str(error)) from error

    async def _wait_for(self, offset: int) -> None:
        with trio.move_on_after(GRANT_TIMEOUT.total_seconds()):
            while self._follower.position <= offset:
                await self._applied.wait()
            return
        raise LeaseUnavailableError("the request was not read back in time")

    def _build_table(self) -> LeaseTable:
        return LeaseTable(
            order_lifetime=self._order_lifetime, drift=self._drift
        )

    def _restart(self, complete_since: datetime | None) -> None:
        self._table = self._build_table()
        for observer in self._observers:
            observer.restart()

    def _apply(self, entry: LogEntry) -> None:
        # An unknown record is from a newer version and of no lease here.
        with suppress(RecordError):
            record = decode_order_record(entry.body)
            self._table.apply(entry, record)
            for observer in self._observers:
                observer.apply(entry, record)
        self._applied.set()
        self._applied = trio.Event()
