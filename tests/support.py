"""Test case that runs coroutines on a simulated clock."""

from collections.abc import Awaitable, Callable
from datetime import UTC, datetime
from typing import TypeVar

import testtools
import trio
import trio.testing

from acaciarack.clock import SteadyClock

T = TypeVar("T")
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class TestCase(testtools.TestCase):
    """A test case that runs trio code on a simulated clock.

    When all tasks are blocked, the clock jumps to the next deadline.
    """

    def run_trio(self, function: Callable[..., Awaitable[T]], *args) -> T:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *args, clock=clock)

    def run_real(self, function: Callable[..., Awaitable[T]], *args) -> T:
        """Runs on the real clock; only for tests with real sockets."""
        return trio.run(function, *args)

    def make_clock(self) -> SteadyClock:
        return SteadyClock(epoch=EPOCH)
