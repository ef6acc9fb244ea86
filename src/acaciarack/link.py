"""One established link: its reader, its writer and its pending requests."""

import itertools
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import logbook
import trio

from acaciarack.channels import (
    Channel,
    ChannelClosedError,
    QueuedFrame,
    QueueFullError,
    SendQueue,
    get_frame_kind,
)
from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.messages import (
    Frame,
    FrameError,
    Message,
    MessageCodec,
    Purpose,
)

MAX_CONCURRENT_REQUESTS = 64  # requests from the peer, on each link
_LOG = logbook.Logger(__name__)
Handler = Callable[[Identity, Any], Awaitable[Message | None]]


class RequestFailedError(AcaciarackError):
    """A request got no reply; the peer may still have processed it."""


class HandlerError(AcaciarackError):
    """This node could not handle a message from a peer."""


@dataclass(frozen=True, kw_only=True)
class LinkTimings:
    """Intervals and timeouts of links, in seconds.

    Attributes:
        keepalive_interval: the time without sending after which the node
            sends a keepalive.
        idle_timeout: the time without receiving after which the node closes
            the link.
        connect_timeout: the timeout for opening a stream.
        handshake_timeout: the timeout for the handshake.
        dial_delay: how long the node whose name sorts last waits before each
            attempt to dial. After a link that a node dialled is lost, the node
            resets its reconnect backoff only if the link lasted longer than
            this.
    """

    keepalive_interval: float = 1.0
    idle_timeout: float = 3.0
    connect_timeout: float = 2.0
    handshake_timeout: float = 2.0
    dial_delay: float = 1.0


class _PendingRequest:
    """A request that this node sent and that has no reply yet."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.reply: Message | None = None
        self.error_detail = ""

    def finish(self, *, reply: Message | None, error_detail: str = "") -> None:
        self.reply = reply
        self.error_detail = error_detail
        self.done.set()


class Link:
    """A link after its handshake.

    Attributes:
        peer: the identity of the peer.
        closed: set when the link has closed.
        failure: the reason why the link closed; ``None`` while it is open or
            if ``run`` was cancelled.
    """

    def __init__(
        self,
        *,
        peer: Identity,
        channel: Channel,
        codec: MessageCodec,
        handlers: Mapping[type[Message], Handler],
        timings: LinkTimings,
    ) -> None:
        self.peer = peer
        self.closed = trio.Event()
        self.failure: AcaciarackError | None = None
        self._channel = channel
        self._codec = codec
        self._handlers = handlers
        self._timings = timings
        self._queue = SendQueue()
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._correlation_ids = itertools.count(1)
        self._cancel_scope = trio.CancelScope()
        self._active_requests: set[int] = set()

    def close(self, reason: AcaciarackError) -> None:
        """Closes the link; ``failure`` keeps the first reason given."""
        self.failure = self.failure or reason
        self._cancel_scope.cancel()

    def post(self, message: Message) -> None:
        """Queues a one-way message.

        Raises:
            QueueFullError: the message does not fit in the send queue.
        """
        self._enqueue(Frame(purpose=Purpose.POST, message=message))

    async def request(self, message: Message, *, timeout: timedelta) -> Message:
        """Sends a request and waits for its reply.

        Raises:
            QueueFullError: the request does not fit in the send queue.
            RequestFailedError: the peer reported a failure, the link was
                lost or closed, or no reply came within ``timeout``.
        """
        correlation_id = next(self._correlation_ids)
        pending = self._pending_requests[correlation_id] = _PendingRequest()
        try:
            self._enqueue(
                Frame(
                    purpose=Purpose.REQUEST,
                    correlation_id=correlation_id,
                    message=message,
                )
            )
            with trio.move_on_after(timeout.total_seconds()):
                await pending.done.wait()
        finally:
            del self._pending_requests[correlation_id]
        if pending.reply is None:
            detail = pending.error_detail or f"no reply within {timeout}"
            raise RequestFailedError(f"{self.peer.node}: {detail}")
        return pending.reply

    async def run(self) -> None:
        """Runs the link until it closes and sets ``failure`` to the reason."""
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._run_writer)
                    nursery.start_soon(self._run_reader, nursery)
        finally:
            self.closed.set()
            for pending in self._pending_requests.values():
                pending.finish(reply=None, error_detail=f"lost: {self.failure}")

    def _enqueue(self, frame: Frame) -> None:
        message = frame.message
        self._queue.put(
            QueuedFrame(
                kind=get_frame_kind(frame),
                data=self._codec.encode(frame),
                droppable=message is not None and message.droppable,
            )
        )

    async def _run_writer(self) -> None:
        """Sends queued frames, and keepalives while the queue stays empty."""
        keepalive = self._codec.encode(Frame(purpose=Purpose.KEEPALIVE))
        try:
            while True:
                batch = [
                    QueuedFrame(
                        kind="keepalive", data=keepalive, droppable=True
                    )
                ]
                with trio.move_on_after(self._timings.keepalive_interval):
                    batch = await self._queue.get_batch()
                await self._channel.send_all(batch)
        except ChannelClosedError as error:
            self.close(error)

    async def _run_reader(self, nursery: trio.Nursery) -> None:
        try:
            while True:
                frame = await self._channel.receive()
                await trio.lowlevel.checkpoint_if_cancelled()
                await self._dispatch(frame, nursery)
        except AcaciarackError as error:
            self.close(error)

    async def _dispatch(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.purpose is Purpose.POST:
            await self._call_handler(frame)
        elif frame.purpose is Purpose.REQUEST:
            self._accept_request(frame, nursery)
        elif frame.purpose in (Purpose.REPLY, Purpose.FAILURE):
            pending = self._pending_requests.get(frame.correlation_id)
            if pending is not None:
                pending.finish(reply=frame.message, error_detail=frame.detail)

    def _accept_request(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.correlation_id in self._active_requests:
            raise FrameError(
                f"request {frame.correlation_id} was received twice"
            )
        if len(self._active_requests) >= MAX_CONCURRENT_REQUESTS:
            self._send_failure(
                frame.correlation_id, f"over {MAX_CONCURRENT_REQUESTS} requests"
            )
            return
        self._active_requests.add(frame.correlation_id)
        nursery.start_soon(self._handle_request, frame)

    async def _call_handler(self, frame: Frame) -> Message | None:
        kind = get_frame_kind(frame)
        message = frame.message
        handler = self._handlers.get(type(message)) if message else None
        if handler is None:
            raise HandlerError(f"this node takes no {kind} messages")
        try:
            return await handler(self.peer, message)
        except AcaciarackError:
            raise
        except Exception as error:
            # An error in one handler must not stop the whole node.
            _LOG.exception("the handler of {} failed", kind)
            raise HandlerError(f"the handler of {kind} failed") from error

    async def _handle_request(self, frame: Frame) -> None:
        try:
            reply = await self._call_handler(frame)
            if reply is None:
                self._send_failure(
                    frame.correlation_id, "the request has no reply"
                )
            else:
                self._enqueue(
                    Frame(
                        purpose=Purpose.REPLY,
                        correlation_id=frame.correlation_id,
                        message=reply,
                    )
                )
        except QueueFullError as error:
            self.close(error)
        except AcaciarackError as error:
            self._send_failure(frame.correlation_id, str(error))
        finally:
            self._active_requests.discard(frame.correlation_id)

    def _send_failure(self, correlation_id: int, detail: str) -> None:
        try:
            self._enqueue(
                Frame(
                    purpose=Purpose.FAILURE,
                    correlation_id=correlation_id,
                    detail=detail,
                )
            )
        except QueueFullError as error:
            self.close(error)
