"""Serves HTTP connections with hypercorn and limits what they hold.

A connection and each of its requests have a share in the process's account of
resources. A write is first tried without blocking: when the socket accepts all
data at once, it needs no task switch.
"""

import math
import os
import select
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from contextlib import closing, suppress
from datetime import timedelta
from typing import Any

import h11
import logbook
import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from acaciarack.request_shares import CONNECTION_KEY, RequestShare, limit_app
from acaciarack.resource_limits import derive_limits
from acaciarack.resources import (
    CONNECTION_BYTES,
    NoRoomError,
    ResourceAccount,
    Share,
)
from acaciarack.web import AsgiApp, Receive, Send

READ_BYTES = 16 * 1024
"""The maximum number of bytes that are read from a connection at once."""
WRITE_BYTES = 32 * 1024
"""The number of bytes that a caller must read in time."""
WRITE_TIMEOUT = timedelta(seconds=30)
"""The time that a caller has to read ``WRITE_BYTES`` of its response."""
HEAD_TIMEOUT = timedelta(seconds=15)
"""The default time that a caller has to send the head of a request."""
DEPARTURE_CHECK_INTERVAL = timedelta(milliseconds=250)
"""How often connections that are not being read are checked for their end."""
APP_QUEUE_SIZE = 2
"""The number of events of a request that wait for the application."""
LAST_REQUEST_TIME = timedelta(milliseconds=300)
"""How long a server that stops waits for requests on an idle connection. A
request that was sent before the stop arrives within milliseconds."""
MAX_BYTES_BEFORE_YIELD = 64 * 1024
"""A connection's task yields after it has written more bytes than this."""
ACCEPT_RETRY_DELAY = timedelta(milliseconds=100)
"""The delay after an error of the kernel's ``accept``, such as a lack of file
descriptors."""

_log = logbook.Logger("acaciarack.servers")

_Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]


class _ConnectionServer(TCPServer):  # type: ignore[misc]
    """Serves one connection.

    Only connections without TLS use non-blocking writes.
    """

    def __init__(
        self,
        *,
        app: ASGIWrapper,
        config: Config,
        stopping: trio.Event,
        stream: _Stream,
        account: ResourceAccount,
        request_descriptors: int,
        record_read: Callable[[], None],
    ) -> None:
        """Creates the server of an accepted connection.

        Raises:
            NoRoomError: the account has no room for the connection.
        """
        # Hypercorn's event for the end of the server is never set: it would
        # close a connection whose next request has already been read.
        context = WorkerContext(None)
        state = ConnectionState({CONNECTION_KEY: self})
        super().__init__(app, config, context, state, stream)
        self._stopping = stopping
        self._read_scope = trio.CancelScope()
        self._idle_scope = trio.CancelScope()
        self._connection_scope = trio.CancelScope()
        self._account = account
        self._request_descriptors = request_descriptors
        self._requests: set[RequestShare] = set()
        self._discards = False
        self._handles_since = math.inf
        self._record_read = record_read
        self._share: Share = account.open(
            self.abort,
            base_bytes=CONNECTION_BYTES,
            descriptors=1,
            droppable_after=timedelta(0),
        )
        self._tcp_stream = (
            stream if isinstance(stream, trio.SocketStream) else None
        )
        self._bytes_since_yield = 0

    async def run(self) -> None:
        """Serves the connection until it ends or the task is cancelled."""
        try:
            with self._connection_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._close_on_cancel)
                    await super().run()
                    nursery.cancel_scope.cancel()
        finally:
            self._share.close()
            # It refers to this object, so that only the garbage collector
            # would free it, with the bytes that it has received.
            self.__dict__.pop("protocol", None)

    @property
    def is_handling(self) -> bool:
        """Whether bytes that were read are being handled."""
        return self._handles_since < math.inf

    def close_if_departed(self, now: float) -> None:
        """Closes the connection if its caller has, while nothing is read.

        Nothing is read while a request is running and bytes have arrived behind
        it, so that the end of the connection is not seen.
        """
        if now - self._handles_since < DEPARTURE_CHECK_INTERVAL.total_seconds():
            return
        stream = self._tcp_stream or self.stream.transport_stream
        poll = select.poll()
        with suppress(OSError, ValueError):  # It may be closed already.
            poll.register(stream.socket.fileno(), select.POLLRDHUP)
            if poll.poll(0):
                self.abort()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._connection_scope.cancel()

    def begin_request(self, scope: dict[str, Any]) -> RequestShare:
        """Opens the share of a request on this connection."""
        self._share.release()
        self._share.forbid_drop()
        request = RequestShare(
            account=self._account,
            scope=scope,
            target_descriptors=self._request_descriptors,
            abort=self.abort,
        )
        self._requests.add(request)
        return request

    def end_request(
        self, request: RequestShare, *, discards: bool = False
    ) -> None:
        """Closes the share of a request."""
        self._discards |= discards
        request.close()
        self._requests.discard(request)
        if not self._requests:
            self._share.allow_drop()

    async def _close_on_cancel(self) -> None:
        """Closes the connection when the server's task is cancelled.

        Hypercorn shields its writes from cancellation. Without this, a write to
        a caller that does not read would never end.
        """
        try:
            await trio.sleep_forever()
        finally:
            self._reset_if_end_is_ambiguous()
            await trio.aclose_forcefully(self.stream)

    async def _close(self) -> None:
        if self._reset_if_end_is_ambiguous():
            await trio.aclose_forcefully(self.stream)
        else:
            await super()._close()

    def _reset_if_end_is_ambiguous(self) -> bool:
        """Makes the close a reset if the caller would take it for the end.

        An HTTP/1.0 response may end by the close of its connection.

        Returns:
            Whether an incomplete HTTP/1.0 response is being sent.
        """
        if not hasattr(self, "protocol"):
            return False  # The TLS handshake has failed.
        http = getattr(self.protocol.protocol, "connection", None)
        if (
            not isinstance(http, h11.Connection)
            or http.our_state is not h11.SEND_BODY
            or (http.their_http_version or b"") >= b"1.1"
        ):
            return False
        stream = self._tcp_stream or self.stream.transport_stream
        with suppress(OSError):  # It may be closed already.
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        return True

    async def _read_data(self) -> None:
        """Passes on what the caller sends until the connection ends."""
        data = b"-"
        with suppress(trio.ClosedResourceError, trio.BrokenResourceError):
            while data:
                with trio.CancelScope() as self._read_scope:
                    data = await self.stream.receive_some(READ_BYTES)
                if self._read_scope.cancelled_caught:
                    break
                if not self._keep_head(len(data)):
                    break
                self._handles_since = trio.current_time()
                self._record_read()
                await self.protocol.handle(RawData(bytes(data)))
                self._handles_since = math.inf
        await self.idle_task.stop()
        await self.protocol.handle(Closed())

    def _keep_head(self, count: int) -> bool:
        """Counts bytes of a head; returns whether there is room for them.

        The time for the head starts with its first byte.
        """
        is_head = not self._requests and not self._discards
        if not is_head or not isinstance(self.protocol.protocol, H11Protocol):
            return True
        if not self._share.held_bytes:
            timeout = self.config.read_timeout or HEAD_TIMEOUT.total_seconds()
            self._idle_scope.deadline = min(
                self._idle_scope.deadline, trio.current_time() + timeout
            )
        return self._share.keep(count)

    async def _idle_timeout(self) -> None:
        """Ends the connection when it was idle for too long.

        The connection ends only while nothing of a request has arrived, so only
        the wait for bytes is cancelled. This task is cancelled when the head of
        a request has been read.
        """
        timeout = self.config.keep_alive_timeout
        with trio.move_on_after(timeout) as self._idle_scope:
            await self._stopping.wait()
            await trio.sleep(LAST_REQUEST_TIME.total_seconds())
        while True:
            if not self._has_unread_data():
                self._read_scope.cancel()
            await trio.sleep(LAST_REQUEST_TIME.total_seconds())

    def _has_unread_data(self) -> bool:
        stream = self._tcp_stream or self.stream.transport_stream
        poll = select.poll()
        try:
            poll.register(stream.socket.fileno(), select.POLLIN)
        except (OSError, ValueError):
            return False  # The connection is closed.
        return bool(poll.poll(0))

    async def protocol_send(self, event: Event) -> None:
        """Sends an event of the HTTP protocol layer."""
        if not isinstance(event, RawData):
            await super().protocol_send(event)
            return
        sent = 0
        if self._can_write_directly():
            sent = self._write_nonblocking(event.data)
        if sent < len(event.data):
            await self._write_blocking(memoryview(event.data)[sent:])
        else:
            await self._yield_periodically(sent)

    async def _write_blocking(self, data: memoryview) -> None:
        """Writes data as the caller reads it, in time.

        The write is not cancelled with the request, since a part of an event
        must not be followed by another one.
        """
        async with self.send_lock:
            try:
                with trio.CancelScope(shield=True) as scope:
                    for start in range(0, len(data), WRITE_BYTES):
                        scope.deadline = (
                            trio.current_time() + WRITE_TIMEOUT.total_seconds()
                        )
                        end = start + WRITE_BYTES
                        await self.stream.send_all(data[start:end])
                        for request in self._requests:
                            request.record_progress()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                await self.protocol.handle(Closed())
                return
        if scope.cancelled_caught:
            self._account.count_refusal("stalled")
            _log.warning("connection closed: its caller does not read")
            self.abort()

    def _can_write_directly(self) -> bool:
        return self._tcp_stream is not None and not self.send_lock.locked()

    def _write_nonblocking(self, data: bytes) -> int:
        """Writes what the socket accepts; returns the number of bytes."""
        assert self._tcp_stream is not None
        try:
            return os.write(self._tcp_stream.socket.fileno(), data)
        except OSError:
            # The blocking write then waits or reports the error.
            return 0

    async def _yield_periodically(self, sent: int) -> None:
        self._bytes_since_yield += sent
        if self._bytes_since_yield > MAX_BYTES_BEFORE_YIELD:
            self._bytes_since_yield = 0
            await trio.lowlevel.cancel_shielded_checkpoint()


class _Connections:
    """The open connections of one listener."""

    def __init__(self) -> None:
        self._open: set[_ConnectionServer] = set()
        self._has_read = trio.Event()

    def add(self, connection: _ConnectionServer) -> None:
        """Adds a connection."""
        self._open.add(connection)

    def discard(self, connection: _ConnectionServer) -> None:
        """Removes a connection that has ended."""
        self._open.discard(connection)

    def record_read(self) -> None:
        """Records that a connection handles what it has read."""
        self._has_read.set()

    async def close_departed(self) -> None:
        """Closes connections whose callers have departed unseen."""
        while True:
            await self._has_read.wait()
            self._has_read = trio.Event()
            is_waiting = True
            while is_waiting:
                await trio.sleep(DEPARTURE_CHECK_INTERVAL.total_seconds())
                is_waiting = self._check()

    def _check(self) -> bool:
        """Returns whether a connection still waits to be read."""
        now = trio.current_time()
        for connection in list(self._open):
            connection.close_if_departed(now)
        return any(item.is_handling for item in self._open)


async def serve_connections(
    app: AsgiApp,
    config: Config,
    listening_socket: socket.socket,
    *,
    shutdown: Callable[[], Awaitable[None]],
    account: ResourceAccount | None = None,
    request_descriptors: int = 0,
    count_failure: Callable[[str], None] = lambda kind: None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a bound socket until ``shutdown`` returns.

    Responses that start after that tell callers to close the connection. An
    error in the task of one connection ends only that connection.

    Args:
        app: the ASGI application.
        config: hypercorn's settings.
        listening_socket: the bound socket; it is closed at the end.
        shutdown: returns when the server must stop accepting connections.
            Open ones then have ``config.graceful_timeout`` to end.
        account: what callers may make the process use; derived from the limits
            of the machine by default.
        request_descriptors: the connections to targets that a request needs.
        count_failure: called with ``connection`` when an error ends a
            connection, and with ``accept`` when a connection is not accepted.
        task_status: started once the server accepts connections.
    """
    stopping = trio.Event()
    resources = account or ResourceAccount(limits=derive_limits())
    wrapper = ASGIWrapper(limit_app(_announce_close(app, stopping)))
    config.max_app_queue_size = APP_QUEUE_SIZE
    lifespan = Lifespan(wrapper, config, {})

    connections = _Connections()

    async def serve(stream: _Stream) -> None:
        server: _ConnectionServer | None = None
        try:
            server = _ConnectionServer(
                app=wrapper,
                config=config,
                stopping=stopping,
                stream=stream,
                account=resources,
                request_descriptors=request_descriptors,
                record_read=connections.record_read,
            )
            connections.add(server)
            await server
        except* NoRoomError as error:
            _log.debug("connection closed: {}", error)
        except* Exception:
            count_failure("connection")
            _log.exception("connection ended by an error")
        finally:
            if server is not None:
                connections.discard(server)
            await trio.aclose_forcefully(stream)

    def report_accept_error(error: OSError) -> None:
        count_failure("accept")
        _log.warning("connection not accepted: {}", error)

    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        lifespan_nursery.start_soon(connections.close_departed)
        async with trio.open_nursery() as handlers:
            try:
                with closing(listening_socket):
                    async with trio.open_nursery() as accept_nursery:
                        accept_nursery.start_soon(
                            _accept_connections,
                            serve,
                            _build_listener(config, listening_socket),
                            handlers,
                            report_accept_error,
                        )
                        task_status.started()
                        await shutdown()
                        accept_nursery.cancel_scope.cancel()
                    for stream in _accept_pending(
                        listening_socket, report_accept_error
                    ):
                        handlers.start_soon(serve, _wrap_stream(config, stream))
            finally:
                stopping.set()
                handlers.cancel_scope.deadline = (
                    trio.current_time() + config.graceful_timeout
                )
        await lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()


def _announce_close(app: AsgiApp, stopping: trio.Event) -> AsgiApp:
    """Returns the application with ``Connection: close`` during a stop."""

    async def serve(
        scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        async def send_with_header(event: dict[str, Any]) -> None:
            if stopping.is_set() and event["type"] == "http.response.start":
                headers = [
                    (name, value)
                    for name, value in event.get("headers", ())
                    if name.lower() != b"connection"
                ]
                headers.append((b"connection", b"close"))
                event = {**event, "headers": headers}
            await send(event)

        is_http1 = scope["type"] == "http" and scope["http_version"] < "2"
        await app(scope, receive, send_with_header if is_http1 else send)

    return serve


def _accept_pending(
    listening_socket: socket.socket, report_error: Callable[[OSError], None]
) -> Iterator[trio.SocketStream]:
    """Accepts the connections that the kernel has opened."""
    while True:
        try:
            connection, _ = listening_socket.accept()
        except BlockingIOError:
            return
        except ConnectionError as error:
            # The caller has closed this connection; others may follow.
            report_error(error)
            continue
        except OSError as error:
            report_error(error)
            return
        yield trio.SocketStream(trio.socket.from_stdlib_socket(connection))


def _wrap_stream(config: Config, stream: trio.SocketStream) -> _Stream:
    """Returns the stream with TLS if the server uses it."""
    context = config.create_ssl_context()
    if context is None:
        return stream
    return trio.SSLStream(
        stream, context, server_side=True, https_compatible=True
    )


async def _accept_connections(
    serve: Callable[[_Stream], Awaitable[None]],
    listener: trio.abc.Listener[Any],
    handlers: trio.Nursery,
    report_error: Callable[[OSError], None],
) -> None:
    while True:
        try:
            stream = await listener.accept()
        except OSError as error:
            report_error(error)
            await trio.sleep(ACCEPT_RETRY_DELAY.total_seconds())
        else:
            handlers.start_soon(serve, stream)


def _build_listener(
    config: Config, listening_socket: socket.socket
) -> trio.abc.Listener[Any]:
    listener = trio.SocketListener(
        trio.socket.from_stdlib_socket(listening_socket)
    )
    context = config.create_ssl_context()
    if context is None:
        return listener
    return trio.SSLListener(listener, context, https_compatible=True)
