"""Serves HTTP connections by hypercorn with writes that do not wait.

A write that the socket takes at once costs no switch of tasks. What it does
not take goes hypercorn's own way, which waits for the caller.
"""

import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Event, RawData
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from acaciarack.web import AsgiApp

MAX_BYTES_IN_A_ROW = 64 * 1024
"""What is written on one connection before other tasks have their turn."""

_Stream = trio.SocketStream | trio.SSLStream[trio.SocketStream]


class _Server(TCPServer):  # type: ignore[misc]
    """One connection."""

    def __init__(
        self,
        *,
        app: ASGIWrapper,
        config: Config,
        context: WorkerContext,
        stream: _Stream,
    ) -> None:
        super().__init__(app, config, context, ConnectionState({}), stream)
        self._plain = stream if isinstance(stream, trio.SocketStream) else None
        self._written = 0

    async def protocol_send(self, event: Event) -> None:
        """Sends what the protocol has encoded."""
        if isinstance(event, RawData) and self._may_write():
            sent = self._write_now(event.data)
            if sent == len(event.data):
                await self._give_turn(sent)
                return
            event = RawData(data=event.data[sent:])
        await super().protocol_send(event)

    def _may_write(self) -> bool:
        return self._plain is not None and not self.send_lock.locked()

    def _write_now(self, data: bytes) -> int:
        """Returns how many bytes were written without waiting."""
        assert self._plain is not None
        try:
            return os.write(self._plain.socket.fileno(), data)
        except OSError:
            # The usual way waits or tells why it cannot be written.
            return 0

    async def _give_turn(self, sent: int) -> None:
        self._written += sent
        if self._written > MAX_BYTES_IN_A_ROW:
            self._written = 0
            await trio.lowlevel.cancel_shielded_checkpoint()


async def serve_connections(
    app: AsgiApp,
    config: Config,
    bound: socket.socket,
    *,
    shutdown: Callable[[], Awaitable[None]],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves a bound socket until ``shutdown`` returns.

    Args:
        app: the ASGI application.
        config: hypercorn's settings.
        bound: the listening socket; closed at the end.
        shutdown: returns when no new connection is to be taken; open ones
            have ``config.graceful_timeout`` to end.
        task_status: is started when connections are served.
    """
    wrapper = ASGIWrapper(app)
    context = WorkerContext(None)
    lifespan = Lifespan(wrapper, config, {})

    async def serve(stream: _Stream) -> None:
        await _Server(
            app=wrapper, config=config, context=context, stream=stream
        )

    async with trio.open_nursery() as outer:
        await outer.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        async with trio.open_nursery() as handlers:
            try:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(
                        _accept, serve, _build_listener(config, bound), handlers
                    )
                    task_status.started()
                    await shutdown()
                    accepting.cancel_scope.cancel()
            finally:
                await context.terminated.set()
                handlers.cancel_scope.deadline = (
                    trio.current_time() + config.graceful_timeout
                )
        await lifespan.wait_for_shutdown()
        outer.cancel_scope.cancel()


async def _accept(
    serve: Callable[[_Stream], Awaitable[None]],
    listener: trio.abc.Listener[Any],
    handlers: trio.Nursery,
) -> None:
    await trio.serve_listeners(serve, [listener], handler_nursery=handlers)


def _build_listener(
    config: Config, bound: socket.socket
) -> trio.abc.Listener[Any]:
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(bound))
    context = config.create_ssl_context()
    if context is None:
        return listener
    return trio.SSLListener(listener, context, https_compatible=True)
