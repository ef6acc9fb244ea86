"""The ASGI application that receives callers' requests."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Any, Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.gateway.asgi import serve_lifespan
from acaciarack.gateway.meters import Duration, Event, Meters
from acaciarack.gateway.requests.dispatcher import Dispatcher
from acaciarack.gateway.requests.generations import CompletedStream
from acaciarack.gateway.requests.open_requests import OpenRequests
from acaciarack.gateway.requests.request_handling import (
    BufferedResponse,
    refuse_leaving,
    to_ms,
)
from acaciarack.gateway.spec import InboundRequest
from acaciarack.gateway.targets.client import ResponseHead, TargetError
from acaciarack.inflight import InFlight
from acaciarack.request_shares import find_share
from acaciarack.resources import RequestDroppedError, refuse_late_body
from acaciarack.web import Receive, Send

MAX_LENGTH_DIGITS = 20
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIME = timedelta(milliseconds=50)
"""A refused body that is short and has been sent is read before the refusal, so
that its connection can be used again."""
Headers = Iterable[tuple[bytes, bytes]]

_log = logbook.Logger("acaciarack.gateway.ingress")


@dataclass(frozen=True, kw_only=True)
class EncodedResponse:
    """A whole HTTP response."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class RequestCodec(Protocol):
    """Decodes requests and encodes refusals in the platform's format."""

    def decode_request(
        self,
        *,
        method: str,
        path_and_query: bytes,
        headers: Headers,
        body: bytes,
    ) -> InboundRequest:
        """Decodes a request."""
        ...

    def encode_refusal(
        self, refusal: Refusal, *, request_id: str
    ) -> EncodedResponse:
        """Encodes a refusal as a response."""
        ...


class Ingress:
    """The ASGI application for callers.

    Attributes:
        is_closing: whether responses tell callers to close the connection.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        dispatcher: Dispatcher,
        codec: RequestCodec,
        in_flight: InFlight,
        meters: Meters,
        open_requests: OpenRequests | None = None,
    ) -> None:
        self._open_requests = open_requests or OpenRequests()
        self._clock = clock
        self._dispatcher = dispatcher
        self._codec = codec
        self._in_flight = in_flight
        self._meters = meters
        self.is_closing = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope: a request or the server's lifespan."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            with self._in_flight.track():
                await self._serve(scope, receive, send)

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        arrived = self._clock.elapsed()
        writer = _AsgiResponseWriter(
            send=send, is_closing=lambda: self.is_closing
        )
        path_and_query = scope["raw_path"]
        if scope["query_string"]:
            path_and_query += b"?" + scope["query_string"]
        request = self._codec.decode_request(
            method=scope["method"],
            path_and_query=path_and_query,
            headers=scope["headers"],
            body=b"",
        )
        body: bytes | Refusal | None = None
        with self._open_requests.track() as read_scope:
            body = await self._receive_body(scope, receive, request, arrived)
        if read_scope.cancelled_caught:
            # The rest of the body is not read.
            body = refuse_leaving()
        if body is None:
            return
        if isinstance(body, Refusal):
            await self._send_result(request, body, writer, arrived)
            return
        request = replace(request, body=body, share=find_share(scope))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, receive, nursery, request, writer
            )
            result = await self._dispatch(request, arrived, writer)
            await self._send_result(request, result, writer, arrived)
            nursery.cancel_scope.cancel()

    async def _receive_body(
        self,
        scope: dict[str, Any],
        receive: Receive,
        request: InboundRequest,
        arrived: timedelta,
    ) -> bytes | Refusal | None:
        """Receives the whole body of a request that may be dispatched.

        What the head shows to be refused is refused before its body arrives.

        Returns:
            The body, or the refusal of the request; ``None`` if the caller
            disconnected.
        """
        share = find_share(scope)
        if share is not None and share.refusal is not None:
            return share.refusal
        announced = _parse_length(scope["headers"])
        task = self._dispatcher.admit(request, arrived, body_bytes=announced)
        try:
            if isinstance(task, Refusal):
                if announced > MAX_DISCARDED_BYTES:
                    return task
                return await _discard_body(receive, task)
            limit = self._dispatcher.get_body_limit()
            with trio.move_on_after(max(0.0, task.remaining.total_seconds())):
                body = await _read_body(receive, limit)
                if body is not None and len(body) > limit:
                    return self._dispatcher.refuse_large_body()
                return body
        except RequestDroppedError as error:
            return error.refusal
        return refuse_late_body()

    async def _dispatch(
        self,
        request: InboundRequest,
        arrived: timedelta,
        writer: "_AsgiResponseWriter",
    ) -> CompletedStream | BufferedResponse | Refusal | None:
        """Dispatches a request; returns ``None`` if the response is aborted."""
        try:
            return await self._dispatcher.serve(request, arrived, writer)
        except TargetError as error:
            _log.info(
                "response aborted: {}",
                error,
                extra={"request_id": request.id, "outcome": "broken"},
            )
            return None
        except Exception:
            _log.exception(
                "internal error while serving a request",
                extra={"request_id": request.id},
            )
            if writer.started:
                return None
            return Refusal(
                code=RefusalCode.INTERNAL,
                outcome=RunOutcome.UNKNOWN,
                detail="the node failed while it served the request",
            )

    async def _send_result(
        self,
        request: InboundRequest,
        result: CompletedStream | BufferedResponse | Refusal | None,
        writer: "_AsgiResponseWriter",
        arrived: timedelta,
    ) -> None:
        duration = self._clock.elapsed() - arrived
        if result is None:
            # The response is left unterminated, so that the caller does not
            # mistake the stream for a complete one.
            self._record_outcome("broken", duration)
            return
        if isinstance(result, CompletedStream):
            self._record_outcome("streamed", duration)
            await writer.end()
        elif isinstance(result, BufferedResponse):
            self._record_outcome("answered", duration)
            await writer.write_full(
                result.head.status, list(result.head.headers), result.body
            )
        else:
            self._record_outcome(str(result.code), duration)
            _log.info(
                "request refused",
                extra={
                    "request_id": request.id,
                    "code": str(result.code),
                    "outcome": str(result.outcome),
                    "detail": result.detail,
                    "age_ms": to_ms(duration),
                },
            )
            encoded = self._codec.encode_refusal(result, request_id=request.id)
            await writer.write_full(
                encoded.status, encoded.headers, encoded.body
            )

    def _record_outcome(self, outcome: str, duration: timedelta) -> None:
        self._meters.count(Event.REQUESTS, outcome)
        self._meters.observe(Duration.REQUEST, duration)


class _AsgiResponseWriter:
    """Writes one response as ASGI events."""

    def __init__(self, *, send: Send, is_closing: Any) -> None:
        self._send = send
        self._is_closing = is_closing
        self.started = False
        self.ended = False

    async def start(self, head: ResponseHead) -> None:
        await self._start(head.status, list(head.headers))

    async def write(self, data: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def write_full(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        length = (b"content-length", str(len(body)).encode())
        await self._start(status, [*headers, length])
        self.ended = True
        await self._send({"type": "http.response.body", "body": body})

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._is_closing():
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )


def _parse_length(headers: Headers) -> int:
    """Returns the announced length of a body; 0 if it has none."""
    for name, value in headers:
        if name.lower() == b"content-length":
            is_number = value.isdigit() and len(value) <= MAX_LENGTH_DIGITS
            return int(value) if is_number else 0
    return 0


async def _read_body(receive: Receive, limit: int) -> bytes | None:
    """Reads the body, up to a limit in bytes.

    Returns:
        The body, or a part of it that exceeds the limit; ``None`` if the caller
        disconnected.
    """
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        body += event.get("body", b"")
        if len(body) > limit or not event.get("more_body", False):
            return bytes(body)


async def _discard_body(receive: Receive, refusal: Refusal) -> Refusal | None:
    """Reads the rest of a short body that has been sent.

    Returns:
        The refusal; ``None`` if the caller disconnected.
    """
    count = 0
    with trio.move_on_after(DISCARD_TIME.total_seconds()):
        while count <= MAX_DISCARDED_BYTES:
            event = await receive()
            if event["type"] == "http.disconnect":
                return None
            count += len(event.get("body", b""))
            if not event.get("more_body", False):
                break
    return refusal


async def _cancel_on_disconnect(
    receive: Receive,
    nursery: trio.Nursery,
    request: InboundRequest,
    writer: _AsgiResponseWriter,
) -> None:
    """Cancels the request when its caller disconnects."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            if writer.ended:
                # The ASGI server also sends this event after each response.
                return
            _log.info(
                "caller disconnected",
                extra={"request_id": request.id, "outcome": "left"},
            )
            nursery.cancel_scope.cancel()
            return
