"""Shared by the test modules: runs coroutines on a simulated clock."""

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
    """A test case that can run trio code on a clock that jumps when idle."""

    def run_trio(self, function: Callable[..., Awaitable[T]], *args) -> T:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(function, *args, clock=clock)

    def run_real(self, function: Callable[..., Awaitable[T]], *args) -> T:
        """Runs on the real clock; for sockets between processes only."""
        return trio.run(function, *args)

    def make_clock(self) -> SteadyClock:
        return SteadyClock(epoch=EPOCH)
