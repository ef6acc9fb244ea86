"""HTTP connections to targets.

Errors tell apart a request of which nothing was sent from one that may have
arrived, because only the first may be called not run.
"""

import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import httpcore

from acaciarack.errors import AcaciarackError
from acaciarack.readiness import PolledBackend

CONNECT_TIMEOUT = timedelta(seconds=1)
PROGRESS_TIMEOUT = timedelta(seconds=5)
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 1000
IDLE_EXPIRY = timedelta(seconds=2)
HTTP_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
"""What an open connection may raise."""
_PROBE_IDLE_SECONDS = 10
_PROBE_INTERVAL_SECONDS = 5
_PROBE_COUNT = 3
_PROBE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
)


@dataclass(frozen=True, kw_only=True)
class Timeouts:
    """How long a connection may take.

    Attributes:
        connect: to open it.
        progress: until the next byte is sent or received.
    """

    connect: timedelta = CONNECT_TIMEOUT
    progress: timedelta = PROGRESS_TIMEOUT

    def build_extensions(self) -> Mapping[str, Any]:
        """Returns the request extensions for httpcore."""
        connect = self.connect.total_seconds()
        progress = self.progress.total_seconds()
        timeout = {
            "connect": connect,
            "pool": connect,
            "read": progress,
            "write": progress,
        }
        return {"timeout": timeout}


class TransportError(AcaciarackError):
    """The base of errors of a call to a target."""


class NotSentError(TransportError):
    """No connection could be opened; nothing of the request was sent."""


class ConnectionLostError(TransportError):
    """The connection broke after the request was sent, or part of it."""


class ConnectionSilentError(ConnectionLostError):
    """No byte arrived within the progress timeout."""


class MalformedAnswerError(TransportError):
    """The target's answer is not what the protocol allows."""


def build_url(host: str, port: int, path: str) -> str:
    """Returns the URL of a path at an IP number and port."""
    name = f"[{host}]" if ":" in host else host
    return f"http://{name}:{port}{path}"


@contextmanager
def turn_errors() -> Iterator[None]:
    """Turns errors of an open connection into this module's own."""
    try:
        yield
    except HTTP_ERRORS as error:
        raise turn_error(error) from error


def turn_error(error: Exception) -> ConnectionLostError:
    """Turns one of ``HTTP_ERRORS`` into this module's own."""
    if isinstance(error, httpcore.TimeoutException):
        return ConnectionSilentError("the connection is silent")
    return ConnectionLostError(f"the connection broke: {error}")


async def send_request(
    pool: httpcore.AsyncConnectionPool, request: httpcore.Request
) -> httpcore.Response:
    """Sends a request and waits for the head of the response.

    Raises:
        NotSentError: no connection could be opened.
        ConnectionLostError: the connection broke or was silent afterwards.
    """
    with turn_errors():
        try:
            return await pool.handle_async_request(request)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise NotSentError(f"no connection: {error}") from error


async def read_answer(
    response: httpcore.Response, *, max_bytes: int = MAX_ANSWER_BYTES
) -> bytes:
    """Reads a whole body.

    Raises:
        ConnectionLostError: the connection broke or was silent.
        MalformedAnswerError: the body is longer than ``max_bytes``.
    """
    body = bytearray()
    with turn_errors():
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > max_bytes:
                raise MalformedAnswerError(
                    f"the answer is over the limit of {max_bytes} bytes"
                )
    return bytes(body)


def build_pool(
    *, max_connections: int = MAX_CONNECTIONS
) -> httpcore.AsyncConnectionPool:
    """Returns a pool that keeps idle connections for a short time."""
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        keepalive_expiry=IDLE_EXPIRY.total_seconds(),
        network_backend=PolledBackend(),
    )


def build_single_pool(*, probe: bool = False) -> httpcore.AsyncConnectionPool:
    """Returns a pool for one request on a connection of its own.

    Args:
        probe: whether TCP probes the connection while it is silent.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=1,
        max_keepalive_connections=0,
        socket_options=_PROBE_OPTIONS if probe else None,
    )
