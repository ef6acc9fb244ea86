"""Limits what the requests of an ASGI application make the process hold."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol, Self, cast

import msgspec
import trio

from acaciarack.errors import Refusal
from acaciarack.problems import build_headers, build_problem, get_status
from acaciarack.resources import (
    HEADER_BYTES,
    REQUEST_BYTES,
    REQUEST_PART,
    STALL_TIME,
    TARGET_CONNECTION_BYTES,
    NoRoomError,
    RequestDroppedError,
    ResourceAccount,
    Share,
    refuse_no_room,
)

if TYPE_CHECKING:
    from acaciarack.web import AsgiApp, Receive, Send

CONNECTION_KEY = "acaciarack.connection"
"""The key of the connection in the state of an ASGI scope."""
SHARE_KEY = "acaciarack.share"
"""The key of the request's share there."""
MIN_HELD_BYTES = 4 * 1024
"""Events below this size count as a part of ``REQUEST_BYTES``."""
LINGER_TIME = timedelta(seconds=2)
"""How long the rest of a refused body is read and discarded, so that its caller
can read the refusal before the connection is closed."""


class Connection(Protocol):
    """A caller's connection."""

    def begin_request(self, scope: dict[str, Any]) -> RequestShare:
        """Opens the share of a request."""
        ...

    def end_request(
        self, request: RequestShare, *, discards: bool = False
    ) -> None:
        """Closes the share of a request.

        Args:
            request: the request.
            discards: whether what the caller still sends is discarded.
        """
        ...


class RequestShare:
    """What one request holds, and how far it has got.

    Attributes:
        account: the account of the process.
        refusal: why the request must be refused; ``None`` if it may be served.
        has_body: whether bytes of the body may still arrive.
        has_started: whether the response has started.
        has_large_head: whether there is no room for the head.
    """

    def __init__(
        self,
        *,
        account: ResourceAccount,
        scope: dict[str, Any],
        target_descriptors: int,
        abort: Callable[[], None],
    ) -> None:
        """Opens the share; ``refusal`` says if there is no room for it.

        Args:
            account: the account of the process.
            scope: the ASGI scope of the request.
            target_descriptors: the connections to targets that it needs.
            abort: closes the caller's connection.
        """
        self.account = account
        self._abort = abort
        self._receive_scope: trio.CancelScope | None = None
        self._share: Share | None = None
        self._response_bytes = 0
        self.refusal: Refusal | None = None
        self.has_body = _announces_body(scope)
        self.has_started = False
        self.has_large_head = False
        headers = list(scope["headers"])
        text = sum(len(name) + len(value) for name, value in headers)
        try:
            self._share = account.open(
                self._drop,
                base_bytes=REQUEST_BYTES
                + target_descriptors * TARGET_CONNECTION_BYTES,
                descriptors=target_descriptors,
                part=REQUEST_PART,
            )
        except NoRoomError:
            self.refusal = refuse_no_room()
            return
        # A head of many headers holds several times its text.
        extra = 2 * text + HEADER_BYTES * len(headers) - REQUEST_BYTES // 2
        self.has_large_head = extra > 0 and not self.keep(extra)

    def keep(self, count: int) -> bool:
        """Asks to keep more bytes of the request."""
        if self._share is not None and not self._share.keep(count):
            self.refusal = refuse_no_room()
        return self.refusal is None

    async def wait_to_keep(self, count: int, timeout: timedelta) -> None:
        """Waits until there is room for bytes of the response.

        Raises:
            NoRoomError: there is none in time.
        """
        if self._share is not None:
            await self._share.wait_to_keep(count, timeout)
            self._response_bytes += count

    def end_answer(self) -> None:
        """Records that the response of the target has been read."""
        if self._share is not None:
            self._share.end_answer()

    def hold(self, count: int) -> None:
        """Keeps bytes of a response that has been read already."""
        if self._share is not None:
            self._share.hold(count)
            self._response_bytes += count

    def release(self, count: int) -> None:
        """Gives bytes of a response back."""
        if self._share is not None:
            self._share.release(count)
            self._response_bytes -= count

    def record_progress(self) -> None:
        """Records that the caller has read a part of the response."""
        if self._share is not None:
            self._share.record_progress()

    def close(self) -> None:
        """Gives everything back."""
        if self._share is not None:
            self._share.close()

    async def receive(self, receive: Receive) -> dict[str, Any]:
        """Receives an event; may be dropped until the body has arrived.

        Raises:
            RequestDroppedError: there is no room for the body.
        """
        if not self.has_body or self.has_started:
            return await receive()
        event = await self._wait(receive)
        if event["type"] == "http.disconnect":
            self.has_body = False
            return event
        self.has_body = event.get("more_body", False)
        if not self.keep(len(event.get("body", b""))):
            raise RequestDroppedError(cast(Refusal, self.refusal))
        return event

    async def _wait(self, receive: Receive) -> dict[str, Any]:
        event: dict[str, Any] = {}
        if self.refusal is None:
            with (
                trio.CancelScope() as self._receive_scope,
                _DroppableWhile(self._share, timedelta(0)),
            ):
                event = await receive()
            self._receive_scope = None
        if self.refusal is not None:
            raise RequestDroppedError(self.refusal)
        return event

    async def send(self, send: Send, event: dict[str, Any]) -> None:
        """Sends an event; may be dropped while its caller does not read.

        A large event is held until it has been sent, unless the application has
        asked for its bytes before.
        """
        self.has_started = True
        size = len(event.get("body", b""))
        held = size - self._response_bytes
        is_large = size >= MIN_HELD_BYTES and held > 0
        if is_large:
            self.hold(held)
        with _DroppableWhile(self._share, STALL_TIME):
            await send(event)
        if is_large:
            self.release(held)

    def _drop(self) -> None:
        if self._receive_scope is None:
            self._abort()
            return
        self.refusal = refuse_no_room()
        self._receive_scope.cancel()


class _DroppableWhile:
    """Lets a share be dropped while the context is entered."""

    def __init__(self, share: Share | None, after: timedelta) -> None:
        self._share = share
        self._after = after

    def __enter__(self) -> Self:
        if self._share is not None:
            self._share.allow_drop(self._after)
        return self

    def __exit__(self, *details: object) -> None:
        if self._share is not None:
            self._share.forbid_drop()


def find_share(scope: dict[str, Any]) -> RequestShare | None:
    """Returns the share of a request; ``None`` if it has none."""
    share: RequestShare | None = scope.get("state", {}).get(SHARE_KEY)
    return share


def limit_app(app: AsgiApp) -> AsgiApp:
    """Returns an application whose requests have a share in the account.

    A request for which there is no room is refused with status 503, also by an
    application that knows nothing of shares. If the application responds before
    the body has arrived, the connection is closed after the response.
    """

    async def serve(
        scope: dict[str, Any], receive: Receive, send: Send
    ) -> None:
        connection: Connection | None = scope.get("state", {}).get(
            CONNECTION_KEY
        )
        if scope["type"] != "http" or connection is None:
            await app(scope, receive, send)
            return
        share = connection.begin_request(scope)
        scope["state"][SHARE_KEY] = share
        is_http1 = scope["http_version"] < "2"
        exchange = _Exchange(
            share=share,
            end=partial(connection.end_request, share, discards=is_http1),
            receive=receive,
            send=send,
            is_http1=is_http1,
        )
        try:
            await _call(app, scope, exchange, share)
            scope["headers"] = []
            await exchange.finish()
        finally:
            connection.end_request(share)

    return serve


async def _call(
    app: AsgiApp,
    scope: dict[str, Any],
    exchange: _Exchange,
    share: RequestShare,
) -> None:
    """Calls the application, or refuses the request in its place."""
    if share.has_large_head:
        await _send_refusal(exchange.send, refuse_no_room())
        return
    try:
        await app(scope, exchange.receive, exchange.send)
    except RequestDroppedError as error:
        if share.has_started:
            raise
        await _send_refusal(exchange.send, error.refusal)


class _Exchange:
    """The events of one request and its response."""

    def __init__(
        self,
        *,
        share: RequestShare,
        end: Callable[[], None],
        receive: Receive,
        send: Send,
        is_http1: bool,
    ) -> None:
        self._share = share
        self._end = end
        self._receive = receive
        self._send = send
        self._is_http1 = is_http1
        self._has_length = False
        self._must_linger = False

    async def receive(self) -> dict[str, Any]:
        return await self._share.receive(self._receive)

    async def send(self, event: dict[str, Any]) -> None:
        share = self._share
        if event["type"] == "http.response.start":
            headers = list(event.get("headers", ()))
            self._has_length = _find_header(headers, b"content-length") != b""
            if share.has_body and self._is_http1:
                headers = [
                    (name, value)
                    for name, value in headers
                    if name.lower() != b"connection"
                ]
                headers.append((b"connection", b"close"))
                event = {**event, "headers": headers}
        elif self._ends_early(event):
            self._must_linger = True
            event = {**event, "more_body": True}
        await share.send(self._send, event)

    async def finish(self) -> None:
        """Ends a response whose request has not ended.

        The application has returned, so it holds nothing of the request.
        """
        if not self._must_linger:
            return
        await self._discard_body()
        await self._share.send(
            self._send, {"type": "http.response.body", "body": b""}
        )

    def _ends_early(self, event: dict[str, Any]) -> bool:
        """Returns whether a response ends before its request."""
        return (
            event["type"] == "http.response.body"
            and not event.get("more_body", False)
            and self._share.has_body
            and self._has_length
        )

    async def _discard_body(self) -> None:
        """Reads the rest of the body for a while, and keeps nothing of it."""
        self._end()
        with trio.move_on_after(LINGER_TIME.total_seconds()):
            while self._share.has_body:
                event = await self._receive()
                self._share.has_body = event.get("more_body", False)


async def _send_refusal(send: Send, refusal: Refusal) -> None:
    body = msgspec.json.encode(build_problem(refusal))
    headers = {**build_headers(refusal), "content-length": str(len(body))}
    await send(
        {
            "type": "http.response.start",
            "status": get_status(refusal),
            "headers": [
                (name.encode(), value.encode())
                for name, value in headers.items()
            ],
        }
    )
    await send({"type": "http.response.body", "body": body})


def _announces_body(scope: dict[str, Any]) -> bool:
    """Returns whether the head of a request says that a body follows."""
    headers = scope["headers"]
    if scope["http_version"] >= "2":
        # A body without a length ends with its stream.
        return scope["method"] not in ("GET", "HEAD")
    return bool(
        _find_header(headers, b"content-length").strip(b"0 ")
        or _find_header(headers, b"transfer-encoding")
    )


def _find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes:
    """Returns a header's value; empty if it is absent."""
    return next((value for key, value in headers if key.lower() == name), b"")
