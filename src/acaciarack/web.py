"""A small ASGI application with routing, size limits and streaming."""

import re
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import aclosing
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any
from urllib.parse import parse_qsl, unquote

import logbook
import msgspec
import trio

from acaciarack.errors import (
    AcaciarackError,
    Refusal,
    RefusalCode,
    RunOutcome,
)
from acaciarack.problems import build_headers, build_problem, get_status
from acaciarack.request_shares import find_share
from acaciarack.resources import RequestDroppedError, refuse_late_body

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
BODY_TIMEOUT = timedelta(seconds=60)
"""The default time within which a body must arrive."""

_log = logbook.Logger("acaciarack.web")

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
AsgiApp = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


class BodyTooLargeError(AcaciarackError):
    """The request body exceeds the limit."""


class CallerGoneError(AcaciarackError):
    """The caller closed the connection before the request was complete."""


@dataclass(frozen=True, kw_only=True)
class Request:
    """One HTTP request.

    Attributes:
        method: in upper case.
        path: decoded, without the query.
        parameters: the values of the pattern's placeholders.
        query: the query parameters; a repeated parameter has its last value.
        query_string: the query as received.
        headers: by name in lower case; a repeated header has its last value.
        receive: the ASGI receive function, used by ``read_body``.
        max_body_bytes: the maximum size of the body.
        body_timeout: the time within which the body must arrive.
    """

    method: str
    path: str
    parameters: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    receive: Receive
    query_string: str = ""
    max_body_bytes: int = MAX_BODY_BYTES
    body_timeout: timedelta = BODY_TIMEOUT

    async def read_body(self) -> bytes:
        """Reads the whole body.

        Raises:
            BodyTooLargeError: the body exceeds ``max_body_bytes``.
            CallerGoneError: the caller disconnected before the end of the body.
            RequestDroppedError: the body did not arrive in time, or there is no
                room for it.
        """
        with trio.move_on_after(self.body_timeout.total_seconds()):
            return await self._read_body()
        raise RequestDroppedError(refuse_late_body())

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = await self.receive()
            if event["type"] == "http.disconnect":
                raise CallerGoneError("the caller closed the connection")
            body += event.get("body", b"")
            if len(body) > self.max_body_bytes:
                raise BodyTooLargeError(
                    f"the body is over {self.max_body_bytes} bytes"
                )
            if not event.get("more_body", False):
                return bytes(body)


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A complete response.

    Attributes:
        status: the HTTP status.
        headers: by name in lower case.
        body: the body.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class StreamReply:
    """A streamed response.

    Attributes:
        status: the HTTP status.
        headers: by name in lower case.
        chunks: the parts of the body; closed when the caller disconnects.
    """

    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)
    chunks: AsyncIterator[bytes]


Handler = Callable[[Request], Awaitable[Reply | StreamReply | Refusal]]


@dataclass(frozen=True, kw_only=True)
class Endpoint:
    """A handler with the method and the path pattern that it serves.

    Attributes:
        method: in upper case, or ``*`` for any.
        pattern: a path in which ``{name}`` matches one segment and
            ``{name*}`` matches the rest.
        handler: handles the request.
    """

    method: str
    pattern: str
    handler: Handler


@dataclass(frozen=True, kw_only=True)
class Mount:
    """An ASGI application that serves all paths under a prefix."""

    prefix: str
    app: AsgiApp


def build_json_reply(value: Any, *, status: int = 200) -> Reply:
    """Builds a reply with ``value`` encoded as JSON."""
    return Reply(
        status=status,
        headers={"content-type": "application/json"},
        body=msgspec.json.encode(value),
    )


def build_refusal_reply(refusal: Refusal, *, request_id: str = "") -> Reply:
    """Builds the reply for a refusal, with a problem document as its body."""
    return Reply(
        status=get_status(refusal),
        headers=build_headers(refusal),
        body=msgspec.json.encode(build_problem(refusal, request_id=request_id)),
    )


def attach_request_id(
    answer: Reply | StreamReply | Refusal, request_id: str
) -> Reply | StreamReply:
    """Converts a refusal to a reply that contains the request ID.

    The request ID is needed to look up the explanation of the refusal. Other
    answers are returned unchanged.
    """
    if isinstance(answer, Refusal):
        return build_refusal_reply(answer, request_id=request_id)
    return answer


def _compile_pattern(pattern: str) -> re.Pattern[str]:
    parts = re.split(r"(\{\w+\*?\})", pattern)
    expression = ""
    for part in parts:
        if part.endswith("*}"):
            expression += f"(?P<{part[1:-2]}>.*)"
        elif part.startswith("{"):
            expression += f"(?P<{part[1:-1]}>[^/]+)"
        else:
            expression += re.escape(part)
    return re.compile(expression)


class App:
    """An ASGI application that routes to endpoints and mounted applications."""

    def __init__(
        self,
        *,
        endpoints: Iterable[Endpoint] = (),
        mounts: Iterable[Mount] = (),
        max_body_bytes: int = MAX_BODY_BYTES,
        body_timeout: timedelta = BODY_TIMEOUT,
    ) -> None:
        self._mounts = tuple(mounts)
        self._body_timeout = body_timeout
        self._max_body_bytes = max_body_bytes
        self._endpoints = [
            (endpoint, _compile_pattern(endpoint.pattern))
            for endpoint in endpoints
        ]

    async def __call__(
        self, scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        for mount in self._mounts:
            if scope["path"].startswith(mount.prefix):
                await self._serve_mount(mount, scope, receive, send)
                return
        share = find_share(scope)
        if share is not None and share.refusal is not None:
            await _write_reply(build_refusal_reply(share.refusal), send)
            return
        reply = await self._handle_request(scope, receive)
        if reply is None:
            return
        if share is not None and isinstance(reply, Reply):
            share.hold(len(reply.body))
        if isinstance(reply, StreamReply):
            await _write_stream(reply, receive, send)
        else:
            await _write_reply(reply, send)

    async def _serve_mount(
        self,
        mount: Mount,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serves a mounted application, which gets the whole body at once.

        An application of another library may keep what it has read of a body
        beyond the end of its request, in the traceback of an exception.
        """
        refusal: Refusal | None = None
        body = b""
        try:
            body = await self._build_request(scope, receive, {}).read_body()
        except BodyTooLargeError as error:
            refusal = _refuse_large_body(str(error))
        except RequestDroppedError as error:
            refusal = error.refusal
        except CallerGoneError:
            return
        if refusal is not None:
            await _write_reply(build_refusal_reply(refusal), send)
            return
        await mount.app(scope, _replay_body(body, receive), send)

    def _build_request(
        self,
        scope: dict[str, Any],
        receive: Receive,
        parameters: dict[str, str],
    ) -> Request:
        query = scope["query_string"].decode("latin-1")
        return Request(
            method=scope["method"],
            path=scope["path"],
            parameters=parameters,
            query=dict(parse_qsl(query)),
            query_string=query,
            headers={
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            receive=receive,
            max_body_bytes=self._max_body_bytes,
            body_timeout=self._body_timeout,
        )

    async def _handle_request(
        self, scope: dict[str, Any], receive: Receive
    ) -> Reply | StreamReply | None:
        found = self._find_endpoint(scope["method"], scope["path"])
        if isinstance(found, Refusal):
            return build_refusal_reply(found)
        endpoint, parameters = found
        if _count_header_bytes(scope) > MAX_HEADER_BYTES:
            return build_refusal_reply(_refuse_large_headers())
        request = self._build_request(scope, receive, parameters)
        try:
            reply = await endpoint.handler(request)
        except BodyTooLargeError as error:
            return build_refusal_reply(_refuse_large_body(str(error)))
        except RequestDroppedError as error:
            return build_refusal_reply(error.refusal)
        except CallerGoneError:
            return None
        except Exception:
            _log.exception(
                "handler of {} raised an exception", endpoint.pattern
            )
            return build_refusal_reply(refuse_internal())
        if isinstance(reply, Refusal):
            return build_refusal_reply(reply)
        return reply

    def _find_endpoint(
        self, method: str, path: str
    ) -> tuple[Endpoint, dict[str, str]] | Refusal:
        allowed = []
        for endpoint, pattern in self._endpoints:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            if endpoint.method in ("*", method):
                parameters = {
                    name: unquote(value)
                    for name, value in match.groupdict().items()
                }
                return endpoint, parameters
            allowed.append(endpoint.method)
        detail = f"nothing is served at {path}"
        if allowed:
            detail = f"{path} allows {', '.join(allowed)}, not {method}"
        return Refusal(
            code=RefusalCode.NOT_FOUND,
            outcome=RunOutcome.NOT_RUN,
            detail=detail,
        )


def _replay_body(body: bytes, receive: Receive) -> Receive:
    """Returns a function that receives the body, then what follows it."""
    events = [{"type": "http.request", "body": body, "more_body": False}]

    async def receive_next() -> dict[str, Any]:
        return events.pop() if events else await receive()

    return receive_next


def refuse_internal() -> Refusal:
    """Builds the refusal for an internal error of the node."""
    return Refusal(
        code=RefusalCode.INTERNAL,
        outcome=RunOutcome.UNKNOWN,
        detail="the node failed while it served the request; see its log",
    )


def _count_header_bytes(scope: dict[str, Any]) -> int:
    return sum(len(name) + len(value) for name, value in scope["headers"])


def _refuse_large_body(detail: str) -> Refusal:
    return Refusal(
        code=RefusalCode.TOO_LARGE, outcome=RunOutcome.NOT_RUN, detail=detail
    )


def _refuse_large_headers() -> Refusal:
    return Refusal(
        code=RefusalCode.TOO_LARGE,
        outcome=RunOutcome.NOT_RUN,
        detail=f"the headers are over {MAX_HEADER_BYTES} bytes",
    )


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        event = await receive()
        await send({"type": f"{event['type']}.complete"})
        if event["type"] == "lifespan.shutdown":
            return


def _build_response_start(
    status: int, headers: dict[str, str]
) -> dict[str, Any]:
    return {
        "type": "http.response.start",
        "status": status,
        "headers": [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
        ],
    }


async def _write_reply(reply: Reply, send: Send) -> None:
    headers = {**reply.headers, "content-length": str(len(reply.body))}
    await send(_build_response_start(reply.status, headers))
    await send({"type": "http.response.body", "body": reply.body})


async def _write_stream(
    reply: StreamReply, receive: Receive, send: Send
) -> None:
    """Writes chunks until they end or the caller disconnects.

    If the iterator raises ``CallerGoneError``, the body stays unterminated, so
    the caller can tell that it is incomplete.
    """
    await send(_build_response_start(reply.status, reply.headers))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        if await _write_chunks(reply.chunks, send):
            await send({"type": "http.response.body", "body": b""})
        nursery.cancel_scope.cancel()


async def _write_chunks(chunks: AsyncIterator[bytes], send: Send) -> bool:
    """Writes all chunks; returns whether the iterator ended normally."""
    try:
        async with aclosing(chunks):  # type: ignore[type-var]
            async for chunk in chunks:
                await send(
                    {
                        "type": "http.response.body",
                        "body": chunk,
                        "more_body": True,
                    }
                )
    except CallerGoneError:
        return False
    return True


async def _cancel_on_disconnect(
    receive: Receive, scope: trio.CancelScope
) -> None:
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            scope.cancel()
            return
