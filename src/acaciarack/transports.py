"""HTTP connections to targets.

The errors distinguish a request that was never sent from one that may have
reached the target. Only the first may be reported as not run.
"""

import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import httpcore
import logbook
import trio

from acaciarack.errors import AcaciarackError
from acaciarack.network_streams import BreakAwareBackend
from acaciarack.polled_backend import PolledBackend
from acaciarack.resources import NoRoomError, ResourceAccount, Share
from acaciarack.status_lines import check_status_line

CONNECT_TIMEOUT = timedelta(seconds=1)
PROGRESS_TIMEOUT = timedelta(seconds=5)
ROOM_TIMEOUT = timedelta(seconds=2)
"""Timeout for room for a part of a response, while others are written."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_CONNECTIONS = 1000
HTTP_ERRORS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
)
"""The errors that httpcore may raise on an open connection."""
_MAX_LOGGED_CHARACTERS = 120
_KEEPALIVE_IDLE_SECONDS = 10
_KEEPALIVE_INTERVAL_SECONDS = 5
_KEEPALIVE_PROBES = 3
_KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)

_log = logbook.Logger("acaciarack.transports")


@dataclass(frozen=True, kw_only=True)
class Timeouts:
    """The timeouts of one connection.

    Attributes:
        connect: the time limit for opening the connection.
        progress: the time limit for the next byte sent or received.
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
    """The base class of errors in a call to a target."""


class NotSentError(TransportError):
    """No connection could be opened; no part of the request was sent."""


class ConnectionLostError(TransportError):
    """The connection broke after at least part of the request was sent."""


class ConnectionSilentError(ConnectionLostError):
    """No data was sent or received within the progress timeout."""


class MalformedAnswerError(TransportError):
    """The target's response violates the protocol."""


def build_url(host: str, port: int, path: str) -> str:
    """Returns the URL of a path at an IP address and port."""
    url_host = f"[{host}]" if ":" in host else host
    return f"http://{url_host}:{port}{path}"


@contextmanager
def convert_errors() -> Iterator[None]:
    """Converts errors of an open connection into this module's errors."""
    try:
        yield
    except HTTP_ERRORS as error:
        raise convert_error(error) from error


def convert_error(error: Exception) -> ConnectionLostError:
    """Converts one of ``HTTP_ERRORS`` into this module's error."""
    if isinstance(error, httpcore.TimeoutException):
        return ConnectionSilentError("the connection is silent")
    return ConnectionLostError(f"the connection broke: {error}")


async def send_request(
    pool: httpcore.AsyncConnectionPool, request: httpcore.Request
) -> httpcore.Response:
    """Sends a request and waits for the response headers.

    Raises:
        NotSentError: no connection could be opened.
        ConnectionLostError: the connection broke or timed out afterwards.
    """
    with convert_errors():
        try:
            response = await pool.handle_async_request(request)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
            httpcore.UnsupportedProtocol,
        ) as error:
            raise NotSentError(f"no connection: {error}") from error
        except httpcore.RemoteProtocolError as error:
            _log_malformed(request, error)
            raise
        try:
            check_status_line(response)
        except httpcore.RemoteProtocolError as error:
            _log_malformed(request, error)
            with trio.CancelScope(shield=True):
                await response.aclose()
            raise
        return response


def _log_malformed(request: httpcore.Request, error: Exception) -> None:
    _log.warning(
        "malformed response of {}: {}",
        request.url.host.decode("latin-1"),
        str(error)[:_MAX_LOGGED_CHARACTERS],
    )


async def read_response_body(
    response: httpcore.Response,
    *,
    max_bytes: int = MAX_RESPONSE_BYTES,
    share: Share | None = None,
) -> bytes:
    """Reads the complete response body.

    Args:
        response: the response whose head has arrived.
        max_bytes: the maximum size of the body.
        share: asked for room for each part of the body; ``None`` for no limit.

    Raises:
        ConnectionLostError: the connection broke or timed out, or there was no
            room for the body in time.
        MalformedAnswerError: the body is longer than ``max_bytes``.
    """
    body = bytearray()
    with convert_errors():
        async for chunk in response.aiter_stream():
            if share is not None:
                await _keep(share, len(chunk))
            body += chunk
            if len(body) > max_bytes:
                raise MalformedAnswerError(
                    f"the answer is over the limit of {max_bytes} bytes"
                )
    return bytes(body)


def open_response_share(account: ResourceAccount | None) -> Share | None:
    """Opens the share of a response, which is not dropped."""
    if account is None:
        return None
    return account.open(lambda: None, base_bytes=0, descriptors=0)


async def _keep(share: Share, count: int) -> None:
    try:
        await share.wait_to_keep(count, ROOM_TIMEOUT)
    except NoRoomError as error:
        raise ConnectionLostError(str(error)) from error


def build_pool(
    *, max_connections: int = MAX_CONNECTIONS
) -> httpcore.AsyncConnectionPool:
    """Returns a pool that opens a connection for each request.

    A reused connection could still carry the response to an earlier request.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=max_connections,
        max_keepalive_connections=0,
        network_backend=BreakAwareBackend(backend=PolledBackend()),
    )


def build_single_use_pool(
    *, tcp_keepalive: bool = False
) -> httpcore.AsyncConnectionPool:
    """Returns a pool that opens a connection for one request only.

    Args:
        tcp_keepalive: whether TCP sends keepalive probes while the connection
            is idle.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=1,
        max_keepalive_connections=0,
        socket_options=_KEEPALIVE_OPTIONS if tcp_keepalive else None,
        network_backend=BreakAwareBackend(backend=httpcore.TrioBackend()),
    )
