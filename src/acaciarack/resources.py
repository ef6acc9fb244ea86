"""One account of the memory and descriptors that callers make a process use.

Whatever a caller makes the process keep is asked for here first: a connection,
the bytes of a request, a connection to a target, the bytes of a response. When
the account is full, shares of callers that can be dropped without breaking a
promise make room. Such a share belongs to a connection without a request, to a
request whose body has not arrived, or to a response that is not being read.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.clock import Clock, SystemClock
from acaciarack.errors import (
    AcaciarackError,
    Refusal,
    RefusalCode,
    RunOutcome,
)
from acaciarack.problems import add_jitter
from acaciarack.resource_limits import ResourceLimits

CONNECTION_BYTES = 24 * 1024
"""Memory of a caller's connection without a request."""
REQUEST_BYTES = 32 * 1024
"""Memory of a request, with what its connection has read behind it."""
TARGET_CONNECTION_BYTES = 32 * 1024
"""Memory of a connection to a target."""
SIZE_UNIT = 64 * 1024
"""Shares that hold the same multiple of this size differ by their stall only,
so that an ordinary request is not dropped before an idle connection."""
REQUEST_PART = 0.9
"""The part of the account that requests may use. The rest is for connections,
so that probes and new callers are accepted while many requests are running."""
ANSWER_PART = 0.5
"""The part of the account that answers of targets may use while they are read.
Targets in trouble send bytes without end, and requests still need room."""
HEADER_BYTES = 400
"""Memory of one header besides its text."""
RETRY_AFTER = timedelta(milliseconds=500)
"""The retry delay of a refusal for lack of room."""
STALL_TIME = timedelta(seconds=2)
"""The time without progress after which a response counts as not being read."""
LOG_INTERVAL = timedelta(seconds=1)
"""The time between two log lines on drops."""
ROOM_POLL_INTERVAL = timedelta(milliseconds=50)

_log = logbook.Logger("acaciarack.resources")


class NoRoomError(AcaciarackError):
    """The account is full, and nothing can be dropped."""


class RequestDroppedError(AcaciarackError):
    """A request is refused before its body has arrived.

    Attributes:
        refusal: the answer to the caller. The request has not run.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class DropCounter(Protocol):
    """Counts shares that were dropped and requests that were refused."""

    def __call__(self, reason: str) -> None:
        """Counts one."""
        ...


class Share:
    """What one connection or one request holds.

    Attributes:
        held_bytes: the memory it holds, besides that of a connection without a
            request.
        answer_bytes: the part of ``held_bytes`` that belongs to an answer which
            is being read.
        descriptors: the descriptors it holds.
        is_dropped: whether it was dropped to make room.
    """

    def __init__(
        self,
        *,
        account: "ResourceAccount",
        drop: Callable[[], None],
        base_bytes: int,
        descriptors: int,
        droppable_after: timedelta | None,
    ) -> None:
        self._account = account
        self._drop = drop
        self._droppable_after = droppable_after
        self._progress_at = account.clock.elapsed()
        self._base_bytes = base_bytes
        self.held_bytes = 0
        self.answer_bytes = 0
        self.descriptors = descriptors
        self.is_dropped = False

    @property
    def total_bytes(self) -> int:
        """All memory that the share holds."""
        return self._base_bytes + self.held_bytes

    def allow_drop(self, after: timedelta = timedelta(0)) -> None:
        """Lets the share be dropped after a time without progress."""
        self._droppable_after = after
        self.record_progress()

    def forbid_drop(self) -> None:
        """Keeps the share whatever happens, as its request may run."""
        self._droppable_after = None

    def record_progress(self) -> None:
        """Records that its caller has sent or read something."""
        self._progress_at = self._account.clock.elapsed()

    def get_stall(self, now: timedelta) -> timedelta | None:
        """Returns the time since the last progress.

        Returns ``None`` if the share cannot be dropped now.
        """
        stall = now - self._progress_at
        if self._droppable_after is None or stall < self._droppable_after:
            return None
        return stall

    def keep(self, count: int) -> bool:
        """Asks to keep more bytes; returns whether there is room.

        Other shares may be dropped. If this one holds most, it gets no room.
        """
        self.record_progress()
        return not self.is_dropped and self._account.add_bytes(self, count)

    async def wait_to_keep(self, count: int, timeout: timedelta) -> None:
        """Waits until there is room for bytes of an answer, and keeps them.

        Raises:
            NoRoomError: there is none in time.
        """
        end = self._account.clock.elapsed() + timeout
        while not self._keep_answer(count):
            if self.is_dropped or self._account.clock.elapsed() >= end:
                raise NoRoomError(f"no room for {count} bytes")
            await self._account.clock.sleep(ROOM_POLL_INTERVAL)

    def _keep_answer(self, count: int) -> bool:
        if not self._account.has_answer_room(count) or not self.keep(count):
            return False
        self._account.count_answer_bytes(self, count)
        return True

    def end_answer(self) -> None:
        """Records that the answer has been read; its bytes are kept."""
        self._account.count_answer_bytes(self, -self.answer_bytes)

    def hold(self, count: int) -> None:
        """Keeps bytes that cannot be refused, after making room for them."""
        if not self.keep(count):
            self._account.add_bytes(self, count, has_room=True)

    def release(self, count: int | None = None) -> None:
        """Gives bytes back; all that are held by default."""
        self._account.remove_bytes(
            self, self.held_bytes if count is None else count
        )

    def drop(self) -> None:
        """Drops the share, and has its owner end it."""
        self.close()
        self.is_dropped = True
        self._drop()

    def close(self) -> None:
        """Gives everything back."""
        self._account.remove(self)


class ResourceAccount:
    """The memory and descriptors of callers in this process.

    Attributes:
        clock: measures how long callers stall.
        limits: what callers may use.
        used_bytes: the memory that callers hold.
        answer_bytes: the part of it that answers hold which are being read.
        used_descriptors: the descriptors that callers use.
    """

    def __init__(
        self,
        *,
        limits: ResourceLimits,
        clock: Clock | None = None,
        count_drop: DropCounter = lambda reason: None,
    ) -> None:
        self.limits = limits
        self.clock = clock or SystemClock()
        self.used_bytes = 0
        self.answer_bytes = 0
        self.used_descriptors = 0
        self._count_drop = count_drop
        self._next_log = timedelta.min
        self._unlogged_drops = 0
        # Ordered by age.
        self._shares: dict[Share, None] = {}

    def open(
        self,
        drop: Callable[[], None],
        *,
        base_bytes: int,
        descriptors: int,
        droppable_after: timedelta | None = None,
        part: float = 1.0,
    ) -> Share:
        """Opens a share; others may be dropped to make room for it.

        Args:
            drop: ends the owner of the share; must not block.
            base_bytes: the memory that the share holds until it is closed.
            descriptors: the descriptors that it holds until then.
            droppable_after: the time without progress after which it may be
                dropped; ``None`` if it must not be dropped.
            part: the part of the account that may be in use then.

        Raises:
            NoRoomError: nothing more can be dropped.
        """
        share = Share(
            account=self,
            drop=drop,
            base_bytes=base_bytes,
            descriptors=descriptors,
            droppable_after=droppable_after,
        )
        limit = self.limits.descriptors * part
        while descriptors and self.used_descriptors + descriptors > limit:
            if not self._drop_one("descriptors", _rank_by_stall):
                self._count_drop("refused")
                raise NoRoomError("no descriptors are left")
        limit = self.limits.memory_bytes * part
        while base_bytes and self.used_bytes + base_bytes > limit:
            if not self._drop_one("memory", _rank_by_size):
                self._count_drop("refused")
                raise NoRoomError("no memory is left")
        self.used_bytes += base_bytes
        self.used_descriptors += descriptors
        self._shares[share] = None
        return share

    def add_bytes(
        self, share: Share, count: int, *, has_room: bool = False
    ) -> bool:
        """Adds bytes to a share; returns whether there is room.

        Args:
            share: the share.
            count: the number of bytes.
            has_room: whether they are added even if the account is full.
        """
        limit = self.limits.memory_bytes * REQUEST_PART
        while self.used_bytes + count > limit and not has_room:
            if not self._drop_one(
                "memory", _rank_by_size, larger_than=share, extra=count
            ):
                return False
        if share in self._shares:
            share.held_bytes += count
            self.used_bytes += count
        return True

    def remove_bytes(self, share: Share, count: int) -> None:
        """Removes bytes from a share that is still open."""
        if share in self._shares:
            share.held_bytes -= count
            self.used_bytes -= count
            self.count_answer_bytes(share, -min(count, share.answer_bytes))

    def has_answer_room(self, count: int) -> bool:
        """Returns whether answers that are being read may use more bytes.

        One answer always has room, whatever its size.
        """
        limit = self.limits.memory_bytes * ANSWER_PART
        return not self.answer_bytes or self.answer_bytes + count <= limit

    def count_answer_bytes(self, share: Share, count: int) -> None:
        """Adds to the bytes of a share that belong to an unfinished answer."""
        if share in self._shares:
            share.answer_bytes += count
            self.answer_bytes += count

    def remove(self, share: Share) -> None:
        """Removes a share with all that it holds."""
        if share in self._shares:
            del self._shares[share]
            self.used_bytes -= share.total_bytes
            self.answer_bytes -= share.answer_bytes
            self.used_descriptors -= share.descriptors

    def count_refusal(self, reason: str) -> None:
        """Counts a request that was refused, or a caller that was closed."""
        self._count_drop(reason)

    def _drop_one(
        self,
        reason: str,
        rank: Callable[[Share, timedelta], tuple[float, float]],
        *,
        larger_than: Share | None = None,
        extra: int = 0,
    ) -> bool:
        """Drops the share that ranks highest; returns whether there is one.

        Args:
            reason: what there is too little of.
            rank: ranks shares by their size and their time without progress.
            larger_than: the share that asks for more. It is not dropped, and
                neither are smaller ones if it can be dropped itself.
            extra: the bytes that it asks for.
        """
        now = self.clock.elapsed()
        found = max(
            self._list_droppable(now, larger_than),
            key=lambda item: rank(item[0], item[1]),
            default=None,
        )
        if found is None:
            return False
        share, stall = found
        if (
            larger_than is not None
            and larger_than.get_stall(now) is not None
            and _count_units(share.held_bytes)
            < _count_units(larger_than.held_bytes + extra)
        ):
            return False
        self._count_drop(reason)
        self._log_drop(reason, share, stall, now)
        share.drop()
        return True

    def _log_drop(
        self, reason: str, share: Share, stall: timedelta, now: timedelta
    ) -> None:
        """Logs a drop, with the number of those since the last line."""
        self._unlogged_drops += 1
        if now < self._next_log:
            return
        _log.warning(
            "caller dropped for lack of {}",
            reason,
            extra={
                "drops": self._unlogged_drops,
                "held_bytes": share.total_bytes,
                "stalled_ms": round(stall.total_seconds() * 1000),
                "used_bytes": self.used_bytes,
                "used_descriptors": self.used_descriptors,
            },
        )
        self._next_log = now + LOG_INTERVAL
        self._unlogged_drops = 0

    def _list_droppable(
        self, now: timedelta, asking: Share | None
    ) -> Iterator[tuple[Share, timedelta]]:
        for share in self._shares:
            stall = share.get_stall(now)
            if stall is not None and share is not asking:
                yield share, stall


def _rank_by_size(share: Share, stall: timedelta) -> tuple[float, float]:
    return _count_units(share.held_bytes), stall.total_seconds()


def _rank_by_stall(share: Share, stall: timedelta) -> tuple[float, float]:
    return stall.total_seconds(), share.held_bytes


def _count_units(held_bytes: int) -> int:
    """Returns a size as a multiple of ``SIZE_UNIT``, rounded down."""
    return held_bytes // SIZE_UNIT


def refuse_no_room() -> Refusal:
    """Builds the refusal of a request that this process has no room for."""
    return Refusal(
        code=RefusalCode.OVERLOADED,
        outcome=RunOutcome.NOT_RUN,
        detail="this node has no room for the request",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_late_body() -> Refusal:
    """Builds the refusal of a request whose body did not arrive in time."""
    return Refusal(
        code=RefusalCode.BODY_TIMEOUT,
        outcome=RunOutcome.NOT_RUN,
        detail="the body did not arrive within the request's time",
    )
