"""A network backend for httpcore that waits for many sockets at once.

One task polls all sockets of a connection pool, so that the tokens of one
engine's step cost one wake-up of the loop together, and one timer serves the
read timeouts of all streams.
"""

import os
import select
from collections.abc import Iterable
from math import inf
from typing import Any

import httpcore
import outcome
import trio

MAX_READ_BYTES = 4 * 1024
"""The longest read; what it brings is relayed without giving up the loop."""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
_HUNG_UP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class _Turns:
    """Lets one reader go on in each round of the loop.

    Streams with more ready than one read holds take turns, so that together
    they delay the others by one read and not by one read each.
    """

    def __init__(self) -> None:
        self._waiting = trio.lowlevel.ParkingLot()
        self._running = False

    async def wait(self) -> None:
        """Waits for the turn of the calling task."""
        if not self._running:
            self._running = True
            trio.lowlevel.spawn_system_task(self._run)
        await self._waiting.park()

    async def _run(self) -> None:
        try:
            await trio.lowlevel.checkpoint()
            while self._waiting:
                self._waiting.unpark()
                await trio.lowlevel.checkpoint()
        finally:
            self._running = False


class _Poller:
    """Wakes the readers of all registered sockets.

    Its task runs while a socket is registered. Sockets are watched
    edge-triggered: a reader reads until a read comes back short.
    """

    def __init__(self) -> None:
        self.turns = _Turns()
        self._epoll: select.epoll | None = None
        self._streams: dict[int, _PolledStream] = {}
        self._scope: trio.CancelScope | None = None

    def register(self, descriptor: int, stream: "_PolledStream") -> None:
        """Begins to watch a socket."""
        if self._epoll is None:
            self._epoll = select.epoll()
            trio.lowlevel.spawn_system_task(self._run, self._epoll)
        self._streams[descriptor] = stream
        self._epoll.register(descriptor, _EVENTS)

    def unregister(self, descriptor: int) -> None:
        """Ends watching a socket, before it is closed."""
        if self._streams.pop(descriptor, None) is None or self._epoll is None:
            return
        self._epoll.unregister(descriptor)
        if not self._streams:
            self._epoll = None
            if self._scope is not None:
                self._scope.cancel()

    def plan(self, deadline: float) -> None:
        """Makes the task look at the deadlines no later than ``deadline``."""
        if self._scope is not None and deadline < self._scope.deadline:
            self._scope.deadline = deadline

    async def _run(self, epoll: select.epoll) -> None:
        try:
            while self._epoll is epoll:
                with trio.CancelScope(deadline=self._sweep()) as self._scope:
                    await trio.lowlevel.wait_readable(epoll.fileno())
                if self._epoll is epoll:
                    self._wake(epoll)
        finally:
            if self._epoll is epoll:
                self._epoll = None
            epoll.close()

    def _wake(self, epoll: select.epoll) -> None:
        for descriptor, events in epoll.poll(0):
            stream = self._streams.get(descriptor)
            if stream is not None:
                stream.mark_ready(hung_up=bool(events & _HUNG_UP))

    def _sweep(self) -> float:
        """Ends reads that are too late; returns the earliest deadline."""
        now = trio.current_time()
        earliest = inf
        for stream in self._streams.values():
            if stream.deadline <= now:
                stream.expire()
            earliest = min(earliest, stream.deadline)
        return earliest


class _PolledStream(httpcore.AsyncNetworkStream):  # type: ignore[misc]
    """A connection whose reads wait for the poller."""

    def __init__(
        self, *, inner: httpcore.AsyncNetworkStream, poller: _Poller
    ) -> None:
        self._inner = inner
        self._poller = poller
        self._descriptor: int = inner.get_extra_info("socket").fileno()
        self._ready = True
        self._hung_up = False
        self._is_behind = False
        self._reader: trio.lowlevel.Task | None = None
        self.deadline = inf
        poller.register(self._descriptor, self)

    def mark_ready(self, *, hung_up: bool) -> None:
        """Tells that a read would not block."""
        self._ready = True
        self._hung_up = self._hung_up or hung_up
        self._wake(outcome.Value(None))

    def expire(self) -> None:
        """Ends the read that waits."""
        self._wake(outcome.Error(httpcore.ReadTimeout("no byte arrived")))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads what has arrived, or waits for it."""
        size = min(max_bytes, MAX_READ_BYTES)
        if self._is_behind:
            await self._poller.turns.wait()
        while True:
            if self._ready:
                data = self._read_now(size)
                if data is not None:
                    return data
            await self._wait(inf if timeout is None else timeout)

    def _read_now(self, size: int) -> bytes | None:
        """Reads without waiting; ``None`` if nothing has arrived."""
        try:
            data = os.read(self._descriptor, size)
        except BlockingIOError:
            self._ready = False
            return None
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        self._is_behind = len(data) == size
        if not self._is_behind and not self._hung_up:
            self._ready = False
        return data

    async def _wait(self, timeout: float) -> None:
        if self._descriptor < 0:
            raise httpcore.ReadError("the connection is closed")
        self._reader = trio.lowlevel.current_task()
        self.deadline = trio.current_time() + timeout
        self._poller.plan(self.deadline)
        await trio.lowlevel.wait_task_rescheduled(self._abort)

    def _abort(self, _: Any) -> trio.lowlevel.Abort:
        self._reader = None
        self.deadline = inf
        return trio.lowlevel.Abort.SUCCEEDED

    def _wake(self, result: outcome.Outcome[None]) -> None:
        reader = self._reader
        self._reader = None
        self.deadline = inf
        if reader is not None:
            trio.lowlevel.reschedule(reader, result)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes all of ``buffer``."""
        await self._inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        self._release()
        await self._inner.aclose()

    async def start_tls(
        self, *arguments: Any, **options: Any
    ) -> httpcore.AsyncNetworkStream:
        """Goes on with TLS, without the poller."""
        self._release()
        return await self._inner.start_tls(*arguments, **options)

    def get_extra_info(self, info: str) -> Any:
        """Returns what the connection knows under a name."""
        return self._inner.get_extra_info(info)

    def _release(self) -> None:
        if self._descriptor >= 0:
            self._poller.unregister(self._descriptor)
            self._descriptor = -1
            error = httpcore.ReadError("the connection was closed")
            self._wake(outcome.Error(error))


class PolledBackend(httpcore.AsyncNetworkBackend):  # type: ignore[misc]
    """Opens connections whose reads share one poller."""

    def __init__(self) -> None:
        self._inner = httpcore.TrioBackend()
        self._poller = _Poller()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a TCP connection."""
        inner = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _PolledStream(inner=inner, poller=self._poller)

    async def sleep(self, seconds: float) -> None:
        """Sleeps on the trio loop."""
        await trio.sleep(seconds)
