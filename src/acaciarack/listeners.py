"""Serves ASGI applications by hypercorn on sockets that are bound first.

Binding first makes the ports known before anything is built on them.
"""

import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import trio
from hypercorn.config import Config

from acaciarack.errors import AcaciarackError
from acaciarack.servers import serve_connections
from acaciarack.web import AsgiApp

BACKLOG = 1024
KEEP_ALIVE = timedelta(seconds=75)


class ListenError(AcaciarackError):
    """An address cannot be listened on."""


class _ListenerConfig(Config):  # type: ignore[misc]
    """Hypercorn's settings, with the TLS context of one listener."""

    def __init__(self, context: ssl.SSLContext | None) -> None:
        super().__init__()
        self._context = context

    @property
    def ssl_enabled(self) -> bool:
        return self._context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        return self._context


@dataclass(frozen=True, kw_only=True)
class Listener:
    """A bound socket.

    Attributes:
        socket: the socket; its owner closes it.
        host: the IP number.
        port: the TCP port.
        context: TLS; ``None`` for plain TCP.
    """

    socket: socket.socket
    host: str
    port: int
    context: ssl.SSLContext | None = None


def bind_listener(
    host: str, port: int, *, context: ssl.SSLContext | None = None
) -> Listener:
    """Binds a TCP socket.

    Args:
        host: the IP number.
        port: the TCP port; 0 lets the kernel choose.
        context: TLS; ``None`` for plain TCP.

    Raises:
        ListenError: the address is in use or not this machine's.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
        bound.listen(BACKLOG)
    except OSError as error:
        bound.close()
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
    bound.setblocking(False)
    return Listener(
        socket=bound, host=host, port=bound.getsockname()[1], context=context
    )


async def serve_listener(
    app: AsgiApp,
    listener: Listener,
    *,
    shutdown: Callable[[], Awaitable[None]],
    grace: timedelta,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application until ``shutdown`` returns.

    Args:
        app: the ASGI application.
        listener: the bound socket.
        shutdown: returns when no new connection is to be taken.
        grace: how long open requests may go on after that.
        task_status: is started when connections are served.
    """
    config = _ListenerConfig(listener.context)
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE.total_seconds()
    config.graceful_timeout = grace.total_seconds()
    config.max_app_queue_size = 10
    await serve_connections(
        app,
        config,
        listener.socket.dup(),
        shutdown=shutdown,
        task_status=task_status,
    )
