"""Serves ASGI applications with hypercorn on sockets that are already bound.

Sockets are bound early because the application's components need to know the
port numbers when they are built.
"""

import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

import trio
from hypercorn.config import Config

from acaciarack.errors import AcaciarackError
from acaciarack.resources import ResourceAccount
from acaciarack.servers import serve_connections
from acaciarack.web import AsgiApp

BACKLOG = 512
KEEP_ALIVE_TIMEOUT = timedelta(seconds=75)
SOCKET_BUFFER_BYTES = 16 * 1024
"""The size of the kernel's buffers of a connection in each direction, which
count as memory of the process. Without it, they grow to several megabytes."""


class ListenError(AcaciarackError):
    """A socket could not listen on an address."""


class _ListenerConfig(Config):  # type: ignore[misc]
    """Hypercorn's settings with the TLS context of one listener."""

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
        socket: the listening socket. ``serve_listener`` serves a duplicate and
            leaves this one open; its owner closes it.
        host: the IP address.
        port: the TCP port.
        context: the TLS context; ``None`` for plain TCP.
    """

    socket: socket.socket
    host: str
    port: int
    context: ssl.SSLContext | None = None


def bind_listener(
    host: str, port: int, *, context: ssl.SSLContext | None = None
) -> Listener:
    """Binds a TCP socket and listens on it.

    Args:
        host: the IP address.
        port: the TCP port; 0 lets the kernel choose.
        context: the TLS context; ``None`` for plain TCP.

    Raises:
        ListenError: the address is in use or does not belong to this machine.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening_socket = socket.socket(family, socket.SOCK_STREAM)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        # Accepted connections inherit it.
        listening_socket.setsockopt(
            socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
        )
    try:
        listening_socket.bind((host, port))
        listening_socket.listen(BACKLOG)
    except OSError as error:
        listening_socket.close()
        raise ListenError(f"cannot listen on {host}:{port}: {error}") from error
    listening_socket.setblocking(False)
    return Listener(
        socket=listening_socket,
        host=host,
        port=listening_socket.getsockname()[1],
        context=context,
    )


async def serve_listener(
    app: AsgiApp,
    listener: Listener,
    *,
    shutdown: Callable[[], Awaitable[None]],
    grace: timedelta,
    account: ResourceAccount | None = None,
    request_descriptors: int = 0,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application until ``shutdown`` returns.

    Args:
        app: the ASGI application.
        listener: the bound socket.
        shutdown: returns when the server must stop accepting connections.
        grace: the time that open requests have to end after that.
        account: what callers may make the process use; derived from the limits
            of the machine by default.
        request_descriptors: the connections to targets that a request needs.
        task_status: started once the server accepts connections.
    """
    config = _ListenerConfig(listener.context)
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT.total_seconds()
    config.graceful_timeout = grace.total_seconds()
    await serve_connections(
        app,
        config,
        listener.socket.dup(),
        shutdown=shutdown,
        account=account,
        request_descriptors=request_descriptors,
        task_status=task_status,
    )
