"""Clock interface; tests and experiments pass their own implementations."""

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """A source of wall time and of monotonic time."""

    def now(self) -> datetime:
        """Returns the wall time as an aware datetime in UTC. It may jump."""
        ...

    def elapsed(self) -> timedelta:
        """Returns monotonic time since an arbitrary start. It never jumps."""
        ...

    async def sleep(self, duration: timedelta) -> None:
        """Sleeps for ``duration`` of monotonic time."""
        ...


class SystemClock:
    """The machine's wall clock and the monotonic clock of the trio loop."""

    def now(self) -> datetime:
        """Returns the machine's wall time in UTC."""
        return datetime.now(UTC)

    def elapsed(self) -> timedelta:
        """Returns the loop's monotonic time."""
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Sleeps on the trio loop."""
        await trio.sleep(duration.total_seconds())


class SteadyClock:
    """A clock whose wall time is a fixed epoch plus the trio loop's time.

    Under ``trio.testing.MockClock`` both times are simulated and each run is
    reproducible.
    """

    def __init__(self, *, epoch: datetime) -> None:
        self._epoch = epoch

    def now(self) -> datetime:
        """Returns the epoch plus the loop's monotonic time."""
        return self._epoch + self.elapsed()

    def elapsed(self) -> timedelta:
        """Returns the loop's monotonic time."""
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Sleeps on the trio loop."""
        await trio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that moves only when ``advance`` or ``sleep`` is called.

    It is meant for code without a trio loop; only ``sleep`` needs a loop.
    """

    def __init__(self, *, epoch: datetime) -> None:
        self._epoch = epoch
        self._elapsed = timedelta()

    def now(self) -> datetime:
        """Returns the epoch plus the total advance."""
        return self._epoch + self._elapsed

    def elapsed(self) -> timedelta:
        """Returns the total advance."""
        return self._elapsed

    def advance(self, duration: timedelta) -> None:
        """Moves the clock forward.

        Args:
            duration: how far; must not be negative.

        Raises:
            ValueError: if ``duration`` is negative.
        """
        if duration < timedelta():
            raise ValueError(f"cannot move a clock back by {-duration}")
        self._elapsed += duration

    async def sleep(self, duration: timedelta) -> None:
        """Advances the clock without waiting."""
        self.advance(duration)
        await trio.lowlevel.checkpoint()


def start_stopwatch(clock: Clock) -> Callable[[], timedelta]:
    """Starts a stopwatch.

    Returns:
        A function that returns the monotonic time since this call.
    """
    start = clock.elapsed()
    return lambda: clock.elapsed() - start
