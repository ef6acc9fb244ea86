"""Clients of engines: the Responses protocol over HTTP."""

import re
from collections.abc import AsyncGenerator, AsyncIterator, Iterator
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import httpcore
import trio

from acaciarack.configuration import Target
from acaciarack.kept_bytes import KeptBytes
from acaciarack.registry import Registry
from acaciarack.resources import NoRoomError, ResourceAccount
from acaciarack.transports import (
    HTTP_ERRORS,
    MAX_CONNECTIONS,
    ConnectionLostError,
    MalformedAnswerError,
    Timeouts,
    TransportError,
    build_pool,
    build_single_use_pool,
    build_url,
    convert_error,
    open_response_share,
    read_response_body,
    send_request,
)

MAX_EVENT_BYTES = 1024 * 1024
CANCEL_TIMEOUT = timedelta(seconds=2)
_EVENT_DELIMITER = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_DELIMITER_LENGTH = 4
_HTTP_OK = 200


class EngineStatusError(TransportError):
    """The engine responded with an HTTP status other than 200.

    Attributes:
        status: the HTTP status.
    """

    def __init__(self, *, status: int) -> None:
        super().__init__(f"the engine answered with status {status}")
        self.status = status


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerEvent:
    """One server-sent event.

    Attributes:
        raw: the received bytes, including the blank line that ends the event.
        data: the event's data; empty if it has none, such as a comment.
    """

    raw: bytes
    data: bytes


class EventStream(Protocol):
    """The event stream on one connection to an engine."""

    async def receive(self) -> tuple[ServerEvent, ...]:
        """Waits for the next events and returns all available ones.

        Returns:
            At least one event, or an empty tuple at the end of the response.

        Raises:
            ConnectionLostError: the connection broke or timed out.
            MalformedAnswerError: the bytes are not a valid event stream.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...


class EngineClient(Protocol):
    """A client for one engine protocol.

    Every call may raise ``TransportError``.
    """

    async def open(self, target: Target, body: bytes) -> EventStream:
        """Starts a generation and returns its event stream."""
        ...

    async def resume(
        self, target: Target, *, engine_id: str, starting_after: int | None
    ) -> EventStream:
        """Opens a new connection to the event stream of a generation.

        Args:
            target: the engine.
            engine_id: the engine's id of the response.
            starting_after: the sequence number after which the stream starts;
                ``None`` for all events.
        """
        ...

    async def retrieve(self, target: Target, *, engine_id: str) -> bytes:
        """Returns the response object as JSON."""
        ...

    async def cancel(self, target: Target, *, engine_id: str) -> bytes:
        """Cancels a generation and returns its response object as JSON."""
        ...


target_protocols: Registry[EngineClient] = Registry(kind="target protocol")


class EventParser:
    """Splits a stream of bytes into server-sent events.

    Rejects events larger than ``max_event_bytes``, which bounds the buffer.
    """

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._buffer = b""
        self._scanned = 0

    @property
    def buffered_bytes(self) -> int:
        """The size of the event whose end has not arrived."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[ServerEvent]:
        """Yields the events that are complete once ``chunk`` is added.

        Raises:
            MalformedAnswerError: an event is longer than the limit.
        """
        if not self._buffer and _is_single_event(chunk):
            self._check_size(len(chunk))
            yield ServerEvent(raw=chunk, data=_extract_data(chunk))
            return
        buffer = self._buffer + chunk
        start = 0
        scan = max(0, self._scanned - _MAX_DELIMITER_LENGTH + 1)
        while match := _EVENT_DELIMITER.search(buffer, scan):
            self._check_size(match.end() - start)
            raw = buffer[start : match.end()]
            start = scan = match.end()
            yield ServerEvent(raw=raw, data=_extract_data(raw))
        self._buffer = buffer[start:]
        self._scanned = len(self._buffer)
        self._check_size(self._scanned)

    def _check_size(self, size: int) -> None:
        if size > self._max_event_bytes:
            raise MalformedAnswerError(
                f"an event is over the limit of {self._max_event_bytes} bytes"
            )


def _is_single_event(chunk: bytes) -> bool:
    """Returns whether a chunk is exactly one event with LF line endings."""
    return b"\r" not in chunk and chunk.find(b"\n\n") == len(chunk) - 2 >= 0


def _extract_data(raw: bytes) -> bytes:
    lines = [
        line[5:].removeprefix(b" ")
        for line in raw.splitlines()
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


async def read_events(
    chunks: AsyncIterator[bytes], *, max_event_bytes: int = MAX_EVENT_BYTES
) -> AsyncGenerator[tuple[ServerEvent, ...], None]:
    """Yields the events that each chunk completes; skips those without data."""
    parser = EventParser(max_event_bytes=max_event_bytes)
    async for chunk in chunks:
        events = tuple(event for event in parser.feed(chunk) if event.data)
        if events:
            yield events


class _HttpEventStream:
    """The event stream in the body of an HTTP response."""

    def __init__(
        self,
        *,
        response: httpcore.Response,
        pool: httpcore.AsyncConnectionPool | None,
        account: ResourceAccount | None,
    ) -> None:
        self._kept = KeptBytes(account=account)
        self._response = response
        self._pool = pool
        self._chunks = response.aiter_stream()
        self._parser = EventParser()

    async def receive(self) -> tuple[ServerEvent, ...]:
        """Waits for the next events; see ``EventStream.receive``."""
        parser = self._parser
        try:
            while True:
                with self._kept.guard_read():
                    chunk = await anext(self._chunks, b"")
                if not chunk:
                    return ()
                events = tuple(
                    event for event in parser.feed(chunk) if event.data
                )
                self._kept.resize(parser.buffered_bytes)
                if events:
                    return events
        except HTTP_ERRORS as error:
            raise convert_error(error) from error
        except NoRoomError as error:
            raise ConnectionLostError(str(error)) from error

    async def aclose(self) -> None:
        """Closes the response, and the pool if the stream owns it."""
        self._kept.close()
        with trio.CancelScope(shield=True), suppress(httpcore.NetworkError):
            await self._chunks.aclose()
            await self._response.aclose()
            if self._pool is not None:
                await self._pool.aclose()


@target_protocols.register("responses")
class ResponsesClient:
    """A client for the Responses protocol over HTTP/1.1."""

    def __init__(
        self,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = MAX_CONNECTIONS,
        account: ResourceAccount | None = None,
    ) -> None:
        self._account = account
        self._timeouts = timeouts or Timeouts()
        self._pool = build_pool(max_connections=max_connections)

    async def aclose(self) -> None:
        """Closes idle connections."""
        await self._pool.aclose()

    async def open(self, target: Target, body: bytes) -> EventStream:
        """Starts a generation; may reuse an idle connection."""
        request = self._build_request(target, "POST", "", body)
        return await self._open_stream(request, self._pool, owns_pool=False)

    async def resume(
        self, target: Target, *, engine_id: str, starting_after: int | None
    ) -> EventStream:
        """Opens a new connection to the stream of a generation."""
        path = f"/{engine_id}?stream=true"
        if starting_after is not None:
            path += f"&starting_after={starting_after}"
        request = self._build_request(target, "GET", path)
        return await self._open_stream(
            request, build_single_use_pool(), owns_pool=True
        )

    async def retrieve(self, target: Target, *, engine_id: str) -> bytes:
        """Fetches the response object on a new connection."""
        return await self._fetch(target, "GET", f"/{engine_id}")

    async def cancel(self, target: Target, *, engine_id: str) -> bytes:
        """Cancels a generation on a new connection."""
        return await self._fetch(target, "POST", f"/{engine_id}/cancel")

    def _build_request(
        self, target: Target, method: str, path: str, body: bytes = b""
    ) -> httpcore.Request:
        headers = {
            "host": f"{target.host}:{target.port}",
            "content-type": "application/json",
            "content-length": str(len(body)),
        }
        return httpcore.Request(
            method,
            build_url(target.host, target.port, f"/v1/responses{path}"),
            headers=headers,
            content=body,
            extensions=self._timeouts.build_extensions(),
        )

    async def _open_stream(
        self,
        request: httpcore.Request,
        pool: httpcore.AsyncConnectionPool,
        *,
        owns_pool: bool,
    ) -> EventStream:
        response = await send_request(pool, request)
        stream = _HttpEventStream(
            response=response,
            pool=pool if owns_pool else None,
            account=self._account,
        )
        if response.status != _HTTP_OK:
            await stream.aclose()
            raise EngineStatusError(status=response.status)
        return stream

    async def _fetch(self, target: Target, method: str, path: str) -> bytes:
        request = self._build_request(target, method, path)
        async with build_single_use_pool() as pool:
            response = await send_request(pool, request)
            share = open_response_share(self._account)
            try:
                body = await read_response_body(response, share=share)
            finally:
                if share is not None:
                    share.close()
        if response.status != _HTTP_OK:
            raise EngineStatusError(status=response.status)
        return body
