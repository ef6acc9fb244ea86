"""Leases on targets, granted by records on the log.

The offset of the record that grants a lease is its fencing number. Each node
derives the holder of a lease from the log alone.
"""

import uuid
from contextlib import suppress
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

import trio

from acaciarack._log_reader import LogReader
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
"""The maximum time between the sending and the arrival of an order."""
MAX_CLOCK_DRIFT = timedelta(seconds=1)
READ_BACK_TIMEOUT = timedelta(seconds=3)


class LeaseError(AcaciarackError):
    """The base class of lease errors."""


class LeaseUnavailableError(LeaseError):
    """The log is unreachable or not read yet, or a record was not read back."""


class LeaseLapsedError(LeaseError):
    """The lease has expired, or its holder may not send orders yet."""


@dataclass(frozen=True, kw_only=True)
class Grant:
    """A lease as granted on the log; the times are from the log's clock.

    Attributes:
        holder: the process that holds the lease.
        request: the id of the granted request.
        fencing: the fencing number, which is the offset of the record.
        time: when the lease was granted.
        expires: when the lease expires.
        act_from: the earliest time at which the holder may send orders to a
            target that checks no fencing number. Orders of an earlier holder
            can arrive until then.
    """

    holder: str
    request: bytes
    fencing: int
    time: datetime
    expires: datetime
    act_from: datetime


class LeaseTable:
    """Applies lease records and keeps the newest grant of each target."""

    def __init__(self, *, order_lifetime: timedelta, drift: timedelta) -> None:
        self._arrival_margin = order_lifetime + drift
        self._grants: dict[str, Grant] = {}

    def find(self, target: str) -> Grant | None:
        """Returns the newest grant, which may have expired."""
        return self._grants.get(target)

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Applies the next record."""
        if isinstance(record, LeaseRecord):
            self._apply_request(entry, record)
        elif isinstance(record, ReleaseRecord):
            self._apply_release(entry, record)

    def _apply_request(self, entry: LogEntry, record: LeaseRecord) -> None:
        current = self._grants.get(record.target)
        act_from = entry.time
        if current is not None and current.holder == record.node:
            act_from = current.act_from
        elif current is not None:
            if entry.time < current.expires:
                return
            act_from = current.expires + self._arrival_margin
        self._grants[record.target] = Grant(
            holder=record.node,
            request=record.request,
            fencing=entry.offset,
            time=entry.time,
            expires=entry.time + timedelta(seconds=record.seconds),
            act_from=act_from,
        )

    def _apply_release(self, entry: LogEntry, record: ReleaseRecord) -> None:
        current = self._grants.get(record.target)
        if current is not None and current.fencing == record.fencing:
            # The next holder may act at once, because no order is in flight.
            del self._grants[record.target]


@dataclass(frozen=True, kw_only=True)
class Lease:
    """A lease as its holder uses it; times are by the holder's monotonic clock.

    Attributes:
        target: the target.
        fencing: the fencing number to send with each order.
        valid_until: when the holder must stop sending orders.
        act_from: the earliest time at which the holder may send orders to a
            target that checks no fencing number.
    """

    target: str
    fencing: int
    valid_until: timedelta
    act_from: timedelta


class RecordObserver(Protocol):
    """Receives the records of the stream, in order."""

    def restart(self) -> None:
        """Clears all state; all retained records will be applied again."""
        ...

    def apply(self, entry: LogEntry, record: OrderRecord) -> None:
        """Applies the next record."""
        ...


class LeaseManager:
    """Acquires leases and checks whether this process may act under them."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        node: str,
        retention: timedelta,
        duration: timedelta = LEASE_DURATION,
        order_lifetime: timedelta = ORDER_LIFETIME,
        drift: timedelta = MAX_CLOCK_DRIFT,
    ) -> None:
        """Creates the lease manager of one process; ``run`` must be running.

        Args:
            log: the log service.
            clock: provides the time and sleeps.
            node: this node's name.
            retention: the minimum time that the log keeps a record.
            duration: the duration of a lease; longer than ``order_lifetime``.
            order_lifetime: the maximum time between the sending and the
                arrival of an order.
            drift: the maximum drift between clocks during a lease.
        """
        self._log = log
        self._clock = clock
        # A restarted process of the same node must be a different holder.
        self._holder = f"{node}/{uuid.uuid4().hex}"
        self._duration = duration
        self._order_lifetime = order_lifetime
        self._drift = drift
        self._table = self._build_table()
        self._observers: list[RecordObserver] = []
        self._applied = trio.Event()
        self._reader = LogReader(
            log=log,
            clock=clock,
            stream=STREAM,
            retention=retention,
            apply=self._apply,
            restart=self._restart,
        )

    def add_observer(self, observer: RecordObserver) -> None:
        """Adds an observer of all records of the stream, including orders."""
        self._observers.append(observer)

    def is_ready(self) -> bool:
        """Returns whether the whole retained stream has been read."""
        return self._reader.is_ready()

    async def append(self, record: OrderRecord) -> None:
        """Appends a record and waits until it has been read back.

        Raises:
            LeaseUnavailableError: the log cannot be reached, or the record
                was not read back in time. The record may be on the log.
        """
        try:
            offset = await self._log.append(
                stream=STREAM, bodies=[encode_record(record)]
            )
        except (LogUnavailableError, AppendUnknownError) as error:
            raise LeaseUnavailableError(str(error)) from error
        await self._wait_until_applied(offset)

    async def run(self) -> None:
        """Reads the log until cancelled."""
        await self._reader.run()

    async def acquire(self, target: str) -> Lease | None:
        """Acquires a lease, or renews it with a new fencing number.

        Returns:
            The lease, or ``None`` if another process holds it.

        Raises:
            LeaseUnavailableError: the log cannot be reached or has not been
                read yet, or the request was not read back in time.
        """
        if not self._reader.is_ready():
            raise LeaseUnavailableError("the log has not been read yet")
        requested_at = self._clock.elapsed()
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
        await self._wait_until_applied(offset)
        grant = self._table.find(target)
        if grant is None or grant.request != record.request:
            return None
        delay = max(grant.act_from - grant.time, timedelta())
        return Lease(
            target=target,
            fencing=grant.fencing,
            valid_until=requested_at + self._duration - self._drift,
            act_from=self._clock.elapsed() + delay + self._drift
            if delay
            else timedelta(),
        )

    def check(self, lease: Lease, *, checks_fencing: bool) -> None:
        """Checks that an order may be sent now under a lease.

        The caller must send the order right after the check, without a wait
        in between.

        Args:
            lease: the lease.
            checks_fencing: whether the target refuses orders with an old
                fencing number.

        Raises:
            LeaseLapsedError: the order must not be sent.
        """
        now = self._clock.elapsed()
        if now >= lease.valid_until:
            raise LeaseLapsedError(
                f"lease on {lease.target} expired "
                f"{(now - lease.valid_until).total_seconds()} s ago"
            )
        if not checks_fencing and now < lease.act_from:
            raise LeaseLapsedError(
                f"orders of an earlier holder may still reach {lease.target} "
                f"for {(lease.act_from - now).total_seconds()} s"
            )

    async def release(self, lease: Lease) -> None:
        """Releases a lease; none of its orders may be in flight.

        Raises:
            LeaseUnavailableError: the log cannot be reached. The lease then
                ends when it expires.
        """
        record = ReleaseRecord(target=lease.target, fencing=lease.fencing)
        try:
            await self._log.append(
                stream=STREAM, bodies=[encode_record(record)]
            )
        except (LogUnavailableError, AppendUnknownError) as error:
            raise LeaseUnavailableError(str(error)) from error

    async def _wait_until_applied(self, offset: int) -> None:
        with trio.move_on_after(READ_BACK_TIMEOUT.total_seconds()):
            while self._reader.position <= offset:
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
        # Skips unknown records; nodes of a newer version may append them.
        with suppress(RecordError):
            record = decode_order_record(entry.body)
            self._table.apply(entry, record)
            for observer in self._observers:
                observer.apply(entry, record)
        self._applied.set()
        self._applied = trio.Event()
