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
from acaciarack.registry import Registry
from acaciarack.transports import (
    HTTP_ERRORS,
    MAX_CONNECTIONS,
    MalformedAnswerError,
    Timeouts,
    TransportError,
    build_pool,
    build_single_pool,
    build_url,
    read_answer,
    send_request,
    turn_error,
)

MAX_EVENT_BYTES = 1024 * 1024
CANCEL_TIMEOUT = timedelta(seconds=2)
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_LONGEST_END = 4
_HTTP_OK = 200


class EngineStatusError(TransportError):
    """The engine answered with an HTTP error status.

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
        raw: the bytes received, with the blank line that ends the event.
        data: the event's data; empty for a comment.
    """

    raw: bytes
    data: bytes


class EventStream(Protocol):
    """The events of one connection to an engine."""

    async def receive(self) -> tuple[ServerEvent, ...]:
        """Waits for the next events and returns all that are ready.

        Returns:
            At least one event, or none at the end of the connection.

        Raises:
            ConnectionLostError: the connection broke or is silent.
            MalformedAnswerError: the bytes are no event stream.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...


class EngineClient(Protocol):
    """Speaks one protocol with engines. Every call may raise TransportError."""

    async def open(self, target: Target, body: bytes) -> EventStream:
        """Starts a generation and returns its events."""
        ...

    async def resume(
        self, target: Target, *, engine_id: str, starting_after: int | None
    ) -> EventStream:
        """Returns a generation's later events, on a new connection."""
        ...

    async def retrieve(self, target: Target, *, engine_id: str) -> bytes:
        """Returns the response object as JSON."""
        ...

    async def cancel(self, target: Target, *, engine_id: str) -> bytes:
        """Ends a generation and returns its response object as JSON."""
        ...


target_protocols: Registry[EngineClient] = Registry(kind="target protocol")


class EventParser:
    """Splits a stream of bytes into server-sent events.

    Holds at most one event of ``max_event_bytes``.
    """

    def __init__(self, *, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max = max_event_bytes
        self._buffer = b""
        self._scanned = 0

    def feed(self, chunk: bytes) -> Iterator[ServerEvent]:
        """Yields the events that end within ``chunk``.

        Raises:
            MalformedAnswerError: an event is longer than the limit.
        """
        if not self._buffer and _holds_one_event(chunk):
            self._check_size(len(chunk))
            yield ServerEvent(raw=chunk, data=_read_data(chunk))
            return
        buffer = self._buffer + chunk
        start = 0
        scan = max(0, self._scanned - _LONGEST_END + 1)
        while match := _EVENT_END.search(buffer, scan):
            self._check_size(match.end() - start)
            raw = buffer[start : match.end()]
            start = scan = match.end()
            yield ServerEvent(raw=raw, data=_read_data(raw))
        self._buffer = buffer[start:]
        self._scanned = len(self._buffer)
        self._check_size(self._scanned)

    def _check_size(self, size: int) -> None:
        if size > self._max:
            raise MalformedAnswerError(
                f"an event is over the limit of {self._max} bytes"
            )


def _holds_one_event(chunk: bytes) -> bool:
    """Whether a chunk is one whole event with plain line ends."""
    return b"\r" not in chunk and chunk.find(b"\n\n") == len(chunk) - 2 >= 0


def _read_data(raw: bytes) -> bytes:
    lines = [
        line[5:].removeprefix(b" ")
        for line in raw.splitlines()
        if line.startswith(b"data:")
    ]
    return b"\n".join(lines)


async def read_events(
    chunks: AsyncIterator[bytes], *, max_event_bytes: int = MAX_EVENT_BYTES
) -> AsyncGenerator[tuple[ServerEvent, ...], None]:
    """Yields the events with data of each chunk, and skips comments."""
    parser = EventParser(max_event_bytes=max_event_bytes)
    async for chunk in chunks:
        events = tuple(event for event in parser.feed(chunk) if event.data)
        if events:
            yield events


class _HttpEventStream:
    """An event stream in the body of an HTTP response."""

    def __init__(
        self,
        *,
        response: httpcore.Response,
        pool: httpcore.AsyncConnectionPool | None,
    ) -> None:
        self._response = response
        self._pool = pool
        self._chunks = response.aiter_stream()
        self._parser = EventParser()

    async def receive(self) -> tuple[ServerEvent, ...]:
        """Returns the events that are ready next."""
        feed = self._parser.feed
        try:
            async for chunk in self._chunks:
                events = tuple(event for event in feed(chunk) if event.data)
                if events:
                    return events
        except HTTP_ERRORS as error:
            raise turn_error(error) from error
        return ()

    async def aclose(self) -> None:
        """Closes the response, and the connection if it is its own."""
        with trio.CancelScope(shield=True), suppress(httpcore.NetworkError):
            await self._chunks.aclose()
            await self._response.aclose()
            if self._pool is not None:
                await self._pool.aclose()


@target_protocols.register("responses")
class ResponsesClient:
    """The Responses protocol over HTTP/1.1."""

    def __init__(
        self,
        *,
        timeouts: Timeouts | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._timeouts = timeouts or Timeouts()
        self._pool = build_pool(max_connections=max_connections)

    async def aclose(self) -> None:
        """Closes idle connections."""
        await self._pool.aclose()

    async def open(self, target: Target, body: bytes) -> EventStream:
        """Starts a generation; an idle connection may be used again."""
        request = self._build_request(target, "POST", "", body)
        return await self._stream(request, self._pool, own=False)

    async def resume(
        self, target: Target, *, engine_id: str, starting_after: int | None
    ) -> EventStream:
        """Asks for the events after a number, on a new connection."""
        path = f"/{engine_id}?stream=true"
        if starting_after is not None:
            path += f"&starting_after={starting_after}"
        request = self._build_request(target, "GET", path)
        return await self._stream(request, build_single_pool(), own=True)

    async def retrieve(self, target: Target, *, engine_id: str) -> bytes:
        """Returns the response object, read on a new connection."""
        return await self._fetch(target, "GET", f"/{engine_id}")

    async def cancel(self, target: Target, *, engine_id: str) -> bytes:
        """Cancels on a new connection."""
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

    async def _stream(
        self,
        request: httpcore.Request,
        pool: httpcore.AsyncConnectionPool,
        *,
        own: bool,
    ) -> EventStream:
        response = await send_request(pool, request)
        stream = _HttpEventStream(response=response, pool=pool if own else None)
        if response.status != _HTTP_OK:
            await stream.aclose()
            raise EngineStatusError(status=response.status)
        return stream

    async def _fetch(self, target: Target, method: str, path: str) -> bytes:
        request = self._build_request(target, method, path)
        async with build_single_pool() as pool:
            response = await send_request(pool, request)
            body = await read_answer(response)
        if response.status != _HTTP_OK:
            raise EngineStatusError(status=response.status)
        return body
