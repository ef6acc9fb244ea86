"""Keeps the failure of one task from ending the process.

A task that serves one request, target, peer or message fails alone. A loop
starts again after a growing delay. Cancellation passes through.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol

import logbook
import trio

from acaciarack.backoff import Backoff
from acaciarack.clock import Clock, SystemClock
from acaciarack.gateway.meters import Event, Meters, NullMeters

_log = logbook.Logger("acaciarack.gateway.supervision")


class StartableTask(Protocol):
    """A task that reports when it has started."""

    async def __call__(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Runs the task."""
        ...


class Supervisor:
    """Runs tasks, logs their failures with the cause, and counts them.

    Task names are the outcomes in the metric, so there are few of them.
    """

    def __init__(
        self, *, clock: Clock | None = None, meters: Meters | None = None
    ) -> None:
        self._clock = clock or SystemClock()
        self._meters = meters or NullMeters()

    @contextmanager
    def guard(self, name: str) -> Iterator[None]:
        """Logs and counts an error in the block, and goes on after it."""
        try:
            yield
        except Exception:
            self._record_failure(name)
        except BaseExceptionGroup as group:
            # Children of a nursery may fail while it is cancelled.
            failures, others = group.split(Exception)
            if failures is not None:
                self._record_failure(name)
            if others is not None:
                raise others from None

    async def run_alone(
        self, name: str, function: Callable[..., Awaitable[object]], *args: Any
    ) -> bool:
        """Runs a task once; returns whether it did not fail."""
        with self.guard(name):
            await function(*args)
            return True
        return False

    async def keep_running(
        self, name: str, function: Callable[..., Awaitable[object]], *args: Any
    ) -> None:
        """Runs a task until it ends without a failure."""
        backoff = Backoff()
        while not await self.run_alone(name, function, *args):
            await self._clock.sleep(backoff.next_delay())

    async def run_started(
        self,
        name: str,
        task: StartableTask,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Runs a task that must start once; then like ``keep_running``.

        Raises:
            Exception: the task failed before it had started. The process cannot
                run without it.
        """
        status = _ObservedStatus(task_status)
        backoff = Backoff()
        try:
            await task(task_status=status)
            return
        except Exception:
            if not status.has_started:
                _log.error(
                    "task did not start; the process ends",
                    extra={"code": name},
                )
                raise
            self._record_failure(name)
        await self._clock.sleep(backoff.next_delay())
        while not await self.run_alone(name, _start_again, task):
            await self._clock.sleep(backoff.next_delay())

    def _record_failure(self, name: str) -> None:
        _log.exception("task failed", extra={"code": name})
        self._meters.count(Event.TASK_FAILURES, name)


class _ObservedStatus:
    """Passes on that a task has started, and remembers it."""

    def __init__(self, task_status: trio.TaskStatus[None]) -> None:
        self._task_status = task_status
        self.has_started = False

    def started(self, value: None = None) -> None:
        self.has_started = True
        self._task_status.started(value)


async def _start_again(task: StartableTask) -> None:
    await task(task_status=trio.TASK_STATUS_IGNORED)
