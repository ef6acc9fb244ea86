"""HTTP clients of the platform's log service, VM list and weight store."""

import ssl
from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any, TypeVar
from urllib.parse import quote

import httpcore
import msgspec

from acaciarack.platform import (
    AppendUnknownError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
    PlatformClients,
    PlatformError,
    Vm,
    platform_clients,
)

DEFAULT_TIMEOUT = timedelta(seconds=3)
_MAX_CONNECTIONS = 64
_KEEP_ALIVE_SECONDS = 30.0
_JSON_HEADERS = [(b"content-type", b"application/json")]

# Raised before the request is sent, so the request had no effect.
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
    httpcore.UnsupportedProtocol,
    httpcore.LocalProtocolError,
)
_CALL_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
)

T = TypeVar("T")


class _Appended(msgspec.Struct, frozen=True, kw_only=True):
    first: int


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    offset: int
    time: datetime
    body: bytes


class _Entries(msgspec.Struct, frozen=True, kw_only=True):
    entries: list[_Entry]
    earliest: int
    end: int


class _Expired(msgspec.Struct, frozen=True, kw_only=True):
    earliest: int


class _Pull(msgspec.Struct, frozen=True, kw_only=True):
    wait_seconds: float


class _HttpClient:
    """Sends JSON requests to one base URL."""

    def __init__(
        self,
        *,
        url: str,
        timeout: timedelta,
        ssl_context: ssl.SSLContext | None,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout.total_seconds()
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=_MAX_CONNECTIONS,
            max_keepalive_connections=_MAX_CONNECTIONS,
            keepalive_expiry=_KEEP_ALIVE_SECONDS,
            network_backend=httpcore.TrioBackend(),
        )

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        wait: timedelta = timedelta(),
    ) -> httpcore.Response:
        content = None if body is None else msgspec.json.encode(body)
        read_timeout = self._timeout + wait.total_seconds()
        return await self._pool.request(
            method,
            self._url + path,
            headers=_JSON_HEADERS,
            content=content,
            extensions={
                "timeout": {
                    "connect": self._timeout,
                    "pool": self._timeout,
                    "write": self._timeout,
                    "read": read_timeout,
                }
            },
        )


def _decode(response: httpcore.Response, result_type: type[T]) -> T:
    return msgspec.json.decode(response.content, type=result_type)


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}".rstrip(": ")


class HttpLogService:
    """A ``LogService`` over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        timeout: timedelta = DEFAULT_TIMEOUT,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        """Creates a client; it connects when it is first called.

        Args:
            url: the log service's base URL.
            timeout: applies separately to connect, write and read. A ``read``
                call adds its ``wait`` to the read timeout.
            ssl_context: for ``https`` URLs; ``None`` for the default.
        """
        self._client = _HttpClient(
            url=url, timeout=timeout, ssl_context=ssl_context
        )

    async def append(self, *, stream: str, bodies: Sequence[bytes]) -> int:
        """Appends records in order, as one batch."""
        path = f"/streams/{quote(stream, safe='')}/records"
        try:
            response = await self._client.call(
                "POST", path, body={"bodies": list(bodies)}
            )
        except _NOT_SENT_ERRORS as error:
            raise LogUnavailableError(_describe(error)) from error
        except _CALL_ERRORS as error:
            raise AppendUnknownError(_describe(error)) from error
        if response.status == 503 or 400 <= response.status < 500:
            raise LogUnavailableError(
                f"log append failed with status {response.status}"
            )
        if response.status != 200:
            raise AppendUnknownError(
                f"log append failed with status {response.status}"
            )
        try:
            return _decode(response, _Appended).first
        except msgspec.DecodeError as error:
            raise AppendUnknownError(f"invalid response: {error}") from error

    async def read(
        self, *, stream: str, start: int, limit: int, wait: timedelta
    ) -> LogSlice:
        """Reads entries from ``start`` on; waits if there are none yet."""
        wait_ms = round(wait / timedelta(milliseconds=1))
        path = (
            f"/streams/{quote(stream, safe='')}/records"
            f"?start={start}&limit={limit}&wait_ms={wait_ms}"
        )
        try:
            response = await self._client.call("GET", path, wait=wait)
            return _parse_slice(response)
        except _CALL_ERRORS as error:
            raise LogUnavailableError(_describe(error)) from error
        except msgspec.DecodeError as error:
            raise LogUnavailableError(f"invalid response: {error}") from error


def _parse_slice(response: httpcore.Response) -> LogSlice:
    if response.status == 410:
        raise OffsetExpiredError(earliest=_decode(response, _Expired).earliest)
    if response.status != 200:
        raise LogUnavailableError(
            f"log read failed with status {response.status}"
        )
    decoded = _decode(response, _Entries)
    entries = tuple(
        LogEntry(offset=entry.offset, time=entry.time, body=entry.body)
        for entry in decoded.entries
    )
    return LogSlice(entries=entries, earliest=decoded.earliest, end=decoded.end)


class HttpVmList:
    """A ``VmList`` over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        timeout: timedelta = DEFAULT_TIMEOUT,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._client = _HttpClient(
            url=url, timeout=timeout, ssl_context=ssl_context
        )

    async def fetch(self) -> tuple[Vm, ...]:
        """Returns the platform's current list."""
        response = await _call_platform(self._client, "GET", "/vms")
        return tuple(_decode_platform(response, list[Vm]))


class HttpWeightStore:
    """A ``WeightStore`` over HTTP."""

    def __init__(
        self,
        *,
        url: str,
        timeout: timedelta = DEFAULT_TIMEOUT,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._client = _HttpClient(
            url=url, timeout=timeout, ssl_context=ssl_context
        )

    async def reserve_pull(self, *, model: str, version: str) -> timedelta:
        """Reserves one pull and returns how long to wait before it."""
        response = await _call_platform(
            self._client,
            "POST",
            "/pulls",
            body={"model": model, "version": version},
        )
        seconds = _decode_platform(response, _Pull).wait_seconds
        return timedelta(seconds=seconds)


async def _call_platform(
    client: _HttpClient, method: str, path: str, *, body: Any = None
) -> httpcore.Response:
    try:
        response = await client.call(method, path, body=body)
    except _CALL_ERRORS as error:
        raise PlatformError(_describe(error)) from error
    if response.status != 200:
        raise PlatformError(
            f"platform request {method} {path} failed with status "
            f"{response.status}"
        )
    return response


def _decode_platform(response: httpcore.Response, result_type: type[T]) -> T:
    try:
        return _decode(response, result_type)
    except msgspec.DecodeError as error:
        raise PlatformError(f"invalid response: {error}") from error


@platform_clients.register("http")
def create_clients(
    *,
    log_url: str,
    vms_url: str,
    weights_url: str,
    timeout: timedelta = DEFAULT_TIMEOUT,
    ssl_context: ssl.SSLContext | None = None,
) -> PlatformClients:
    """Builds the HTTP clients of the three platform services."""
    return PlatformClients(
        log=HttpLogService(
            url=log_url, timeout=timeout, ssl_context=ssl_context
        ),
        vms=HttpVmList(url=vms_url, timeout=timeout, ssl_context=ssl_context),
        weights=HttpWeightStore(
            url=weights_url, timeout=timeout, ssl_context=ssl_context
        ),
    )
