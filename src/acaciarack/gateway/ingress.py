"""Takes callers' HTTP requests and writes their answers, as ASGI."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.gateway.asgi import serve_lifespan
from acaciarack.gateway.facts import InboundRequest
from acaciarack.gateway.front import Front
from acaciarack.gateway.generations import Served
from acaciarack.gateway.meters import Duration, Event, Meters
from acaciarack.gateway.serving import WholeAnswer, to_ms
from acaciarack.gateway.targets import AnswerHead, TargetError
from acaciarack.inflight import InFlight
from acaciarack.web import Receive, Send

MAX_BODY_BYTES = 8 * 1024 * 1024
"""What is read of a body before a configuration's own limit is looked at."""
Headers = Iterable[tuple[bytes, bytes]]

_log = logbook.Logger("acaciarack.gateway.ingress")


@dataclass(frozen=True, kw_only=True)
class EncodedAnswer:
    """A whole HTTP answer."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Dialect(Protocol):
    """The platform's way of writing requests and refusals."""

    def decode_request(
        self,
        *,
        method: str,
        path_and_query: bytes,
        headers: Headers,
        body: bytes,
    ) -> InboundRequest:
        """Returns a request as types that say what they hold."""
        ...

    def encode_refusal(
        self, refusal: Refusal, *, request_id: str
    ) -> EncodedAnswer:
        """Returns the answer for a refusal."""
        ...


class Ingress:
    """The ASGI application for callers."""

    def __init__(
        self,
        *,
        clock: Clock,
        front: Front,
        dialect: Dialect,
        in_flight: InFlight,
        meters: Meters,
    ) -> None:
        self._clock = clock
        self._front = front
        self._dialect = dialect
        self._in_flight = in_flight
        self._meters = meters
        self.is_closing = False

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["type"] == "http":
            with self._in_flight.hold():
                await self._serve(scope, receive, send)

    async def _serve(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        arrived = self._clock.elapsed()
        body = await _read_body(receive)
        if body is None:
            return
        path_and_query = scope["raw_path"]
        if scope["query_string"]:
            path_and_query += b"?" + scope["query_string"]
        request = self._dialect.decode_request(
            method=scope["method"],
            path_and_query=path_and_query,
            headers=scope["headers"],
            body=body,
        )
        writer = _Writer(send=send, closing=lambda: self.is_closing)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, receive, nursery, request, writer)
            answer = await self._decide(request, arrived, writer)
            await self._finish(request, answer, writer, arrived)
            nursery.cancel_scope.cancel()

    async def _decide(
        self, request: InboundRequest, arrived: timedelta, writer: "_Writer"
    ) -> Served | WholeAnswer | Refusal | None:
        try:
            return await self._front.serve(request, arrived, writer)
        except TargetError as error:
            _log.info(
                "answer broken off: {}",
                error,
                extra={"request_id": request.id, "outcome": "broken"},
            )
            return None
        except Exception:
            _log.exception(
                "the request failed", extra={"request_id": request.id}
            )
            if writer.started:
                return None
            return Refusal(
                code=RefusalCode.INTERNAL,
                outcome=RunOutcome.UNKNOWN,
                detail="the node failed while it served the request",
            )

    async def _finish(
        self,
        request: InboundRequest,
        answer: Served | WholeAnswer | Refusal | None,
        writer: "_Writer",
        arrived: timedelta,
    ) -> None:
        took = self._clock.elapsed() - arrived
        if answer is None:
            # Without its end, a stream cannot be taken for whole.
            self._count("broken", took)
            return
        if isinstance(answer, Served):
            self._count("streamed", took)
            await writer.end()
        elif isinstance(answer, WholeAnswer):
            self._count("answered", took)
            await writer.write_whole(
                answer.head.status, list(answer.head.headers), answer.body
            )
        else:
            self._count(str(answer.code), took)
            _log.info(
                "refused",
                extra={
                    "request_id": request.id,
                    "code": str(answer.code),
                    "outcome": str(answer.outcome),
                    "detail": answer.detail,
                    "age_ms": to_ms(took),
                },
            )
            encoded = self._dialect.encode_refusal(
                answer, request_id=request.id
            )
            await writer.write_whole(
                encoded.status, encoded.headers, encoded.body
            )

    def _count(self, outcome: str, took: timedelta) -> None:
        self._meters.count(Event.REQUESTS, outcome)
        self._meters.observe(Duration.REQUEST, took)


class _Writer:
    """Writes one answer."""

    def __init__(self, *, send: Send, closing: Any) -> None:
        self._send = send
        self._closing = closing
        self.started = False
        self.ended = False

    async def start(self, head: AnswerHead) -> None:
        await self._start(head.status, list(head.headers))

    async def write(self, data: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def write_whole(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        length = (b"content-length", str(len(body)).encode())
        await self._start(status, [*headers, length])
        self.ended = True
        await self._send({"type": "http.response.body", "body": body})

    async def _start(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        if self._closing():
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )


async def _read_body(receive: Receive) -> bytes | None:
    """Returns the whole body; ``None`` if the caller left before."""
    body = bytearray()
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return None
        if len(body) <= MAX_BODY_BYTES:
            body += event.get("body", b"")
        if not event.get("more_body", False):
            return bytes(body)


async def _watch_caller(
    receive: Receive,
    nursery: trio.Nursery,
    request: InboundRequest,
    writer: _Writer,
) -> None:
    """Ends the request when its caller leaves."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            if writer.ended:
                # The target says so after each answer, too.
                return
            _log.info(
                "caller left",
                extra={"request_id": request.id, "outcome": "left"},
            )
            nursery.cancel_scope.cancel()
            return
