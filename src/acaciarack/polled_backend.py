"""An httpcore network backend that polls all sockets of a pool in one task.

The tokens of one engine step arrive on many sockets at the same time. With one
polling task, they wake the event loop only once. One timer covers the read
timeouts of all streams.
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
"""The maximum size of a read.

The relay forwards the data of one read without yielding to other tasks.
"""
_EVENTS = select.EPOLLIN | select.EPOLLRDHUP | select.EPOLLET
_HUNG_UP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR


class _ReadScheduler:
    """Resumes one waiting reader per iteration of the event loop.

    A stream waits here when its socket may hold more data than its last read
    returned. Together, these streams delay the others by one read per
    iteration, instead of by one read each.
    """

    def __init__(self) -> None:
        self._waiting = trio.lowlevel.ParkingLot()
        self._running = False

    async def wait(self) -> None:
        """Waits until the calling task may read."""
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

    Its task runs while at least one socket is registered. Polling is
    edge-triggered: a reader must read until a read returns fewer bytes than
    requested.
    """

    def __init__(self) -> None:
        self.scheduler = _ReadScheduler()
        self._epoll: select.epoll | None = None
        self._streams: dict[int, _PolledStream] = {}
        self._scope: trio.CancelScope | None = None

    def register(self, descriptor: int, stream: "_PolledStream") -> None:
        """Starts polling a socket."""
        if self._epoll is None:
            self._epoll = select.epoll()
            trio.lowlevel.spawn_system_task(self._run, self._epoll)
        self._streams[descriptor] = stream
        self._epoll.register(descriptor, _EVENTS)

    def unregister(self, descriptor: int) -> None:
        """Stops polling a socket. Must be called before it is closed."""
        if self._streams.pop(descriptor, None) is None or self._epoll is None:
            return
        self._epoll.unregister(descriptor)
        if not self._streams:
            self._epoll = None
            if self._scope is not None:
                self._scope.cancel()

    def wake_by(self, deadline: float) -> None:
        """Makes the task check read deadlines at ``deadline`` or earlier."""
        if self._scope is not None and deadline < self._scope.deadline:
            self._scope.deadline = deadline

    async def _run(self, epoll: select.epoll) -> None:
        try:
            while self._epoll is epoll:
                with trio.CancelScope(
                    deadline=self._expire_reads()
                ) as self._scope:
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

    def _expire_reads(self) -> float:
        """Expires overdue reads and returns the earliest remaining deadline."""
        now = trio.current_time()
        earliest = inf
        for stream in self._streams.values():
            if stream.deadline <= now:
                stream.expire()
            earliest = min(earliest, stream.deadline)
        return earliest


class _PolledStream(httpcore.AsyncNetworkStream):  # type: ignore[misc]
    """A connection whose reads are woken by the poller."""

    def __init__(
        self, *, inner: httpcore.AsyncNetworkStream, poller: _Poller
    ) -> None:
        self._inner = inner
        self._poller = poller
        self._descriptor: int = inner.get_extra_info("socket").fileno()
        self._ready = True
        self._hung_up = False
        self._has_backlog = False
        self._reader: trio.lowlevel.Task | None = None
        self.deadline = inf
        poller.register(self._descriptor, self)

    def mark_ready(self, *, hung_up: bool) -> None:
        """Records that the socket is readable, and wakes the reader."""
        self._ready = True
        self._hung_up = self._hung_up or hung_up
        self._wake(outcome.Value(None))

    def expire(self) -> None:
        """Ends the waiting read with a timeout error."""
        self._wake(outcome.Error(httpcore.ReadTimeout("no byte arrived")))

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads the bytes that have arrived, or waits for some."""
        size = min(max_bytes, MAX_READ_BYTES)
        if self._has_backlog:
            await self._poller.scheduler.wait()
        while True:
            if self._ready:
                data = self._read_nonblocking(size)
                if data is not None:
                    return data
            await self._wait(inf if timeout is None else timeout)

    def _read_nonblocking(self, size: int) -> bytes | None:
        """Reads without waiting. Returns ``None`` if no data is available."""
        try:
            data = os.read(self._descriptor, size)
        except BlockingIOError:
            self._ready = False
            return None
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error
        self._has_backlog = len(data) == size
        # After a hang-up, the socket stays ready: epoll reports the end of the
        # stream only once, perhaps before the last data is read.
        if not self._has_backlog and not self._hung_up:
            self._ready = False
        return data

    async def _wait(self, timeout: float) -> None:
        if self._descriptor < 0:
            raise httpcore.ReadError("the connection is closed")
        self._reader = trio.lowlevel.current_task()
        self.deadline = trio.current_time() + timeout
        self._poller.wake_by(self.deadline)
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
        """Starts TLS. The poller no longer handles the connection."""
        self._release()
        return await self._inner.start_tls(*arguments, **options)

    def get_extra_info(self, info: str) -> Any:
        """Returns connection information, such as the socket."""
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
