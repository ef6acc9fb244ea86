"""One established link: a reader, a writer and the requests in flight."""

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
    Queued,
    QueueFullError,
    SendQueue,
    name_kind,
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

MAX_REQUESTS = 64
_LOG = logbook.Logger(__name__)
Handler = Callable[[Identity, Any], Awaitable[Message | None]]


class RequestFailedError(AcaciarackError):
    """No reply came; the peer may or may not have acted on the request."""


class HandlerError(AcaciarackError):
    """This node could not act on a peer's message."""


@dataclass(frozen=True, kw_only=True)
class LinkTimes:
    """Intervals and limits of links, in seconds.

    Attributes:
        keepalive: after how long without sending a keepalive is sent.
        silence: after how long without receiving a link is closed.
        connect: how long opening a stream may take.
        handshake: how long the handshake may take.
        grace: how long the node whose name sorts last waits for the other.
    """

    keepalive: float = 1.0
    silence: float = 3.0
    connect: float = 2.0
    handshake: float = 2.0
    grace: float = 1.0


class _Waiter:
    """Waits for the reply to one request."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.message: Message | None = None
        self.detail = ""

    def finish(self, *, message: Message | None, detail: str = "") -> None:
        self.message = message
        self.detail = detail
        self.done.set()


class Link:
    """A link after its handshake.

    Attributes:
        peer: who the other end is.
        closed: set when the link has ended.
        failure: why it ended.
    """

    def __init__(
        self,
        *,
        peer: Identity,
        channel: Channel,
        codec: MessageCodec,
        handlers: Mapping[type[Message], Handler],
        times: LinkTimes,
    ) -> None:
        self.peer = peer
        self.closed = trio.Event()
        self.failure: AcaciarackError | None = None
        self._channel = channel
        self._codec = codec
        self._handlers = handlers
        self._times = times
        self._queue = SendQueue()
        self._waiters: dict[int, _Waiter] = {}
        self._numbers = itertools.count(1)
        self._scope = trio.CancelScope()
        self._answering: set[int] = set()

    def close(self, reason: AcaciarackError) -> None:
        """Ends the link."""
        self.failure = self.failure or reason
        self._scope.cancel()

    def post(self, message: Message) -> None:
        """Queues a message.

        Raises:
            QueueFullError: too much that may not be dropped is waiting.
        """
        self._put(Frame(purpose=Purpose.POST, message=message))

    async def request(self, message: Message, *, timeout: timedelta) -> Message:
        """Sends a request and waits for its reply.

        Raises:
            QueueFullError: too much that may not be dropped is waiting.
            RequestFailedError: the peer failed, was lost or was too slow.
        """
        number = next(self._numbers)
        waiter = self._waiters[number] = _Waiter()
        try:
            self._put(
                Frame(purpose=Purpose.REQUEST, number=number, message=message)
            )
            with trio.move_on_after(timeout.total_seconds()):
                await waiter.done.wait()
        finally:
            del self._waiters[number]
        if waiter.message is None:
            detail = waiter.detail or f"no reply within {timeout}"
            raise RequestFailedError(f"{self.peer.node}: {detail}")
        return waiter.message

    async def run(self) -> None:
        """Runs the link until it ends; ``failure`` then says why."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    nursery.start_soon(self._read, nursery)
        finally:
            self.closed.set()
            for waiter in self._waiters.values():
                waiter.finish(message=None, detail=f"lost: {self.failure}")

    def _put(self, frame: Frame) -> None:
        message = frame.message
        self._queue.put(
            Queued(
                kind=name_kind(frame),
                data=self._codec.encode(frame),
                droppable=message is not None and message.droppable,
            )
        )

    async def _write(self) -> None:
        keepalive = self._codec.encode(Frame(purpose=Purpose.KEEPALIVE))
        try:
            while True:
                group = [
                    Queued(kind="keepalive", data=keepalive, droppable=True)
                ]
                with trio.move_on_after(self._times.keepalive):
                    group = await self._queue.get_group()
                await self._channel.send_all(group)
        except ChannelClosedError as error:
            self.close(error)

    async def _read(self, nursery: trio.Nursery) -> None:
        try:
            while True:
                frame = await self._channel.receive()
                await trio.lowlevel.checkpoint_if_cancelled()
                await self._take(frame, nursery)
        except AcaciarackError as error:
            self.close(error)

    async def _take(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.purpose is Purpose.POST:
            await self._handle(frame)
        elif frame.purpose is Purpose.REQUEST:
            self._start_answer(frame, nursery)
        elif frame.purpose in (Purpose.REPLY, Purpose.FAILURE):
            waiter = self._waiters.get(frame.number)
            if waiter is not None:
                waiter.finish(message=frame.message, detail=frame.detail)

    def _start_answer(self, frame: Frame, nursery: trio.Nursery) -> None:
        if frame.number in self._answering:
            raise FrameError(f"request {frame.number} was sent twice")
        if len(self._answering) >= MAX_REQUESTS:
            self._fail(frame.number, f"over {MAX_REQUESTS} requests")
            return
        self._answering.add(frame.number)
        nursery.start_soon(self._answer, frame)

    async def _handle(self, frame: Frame) -> Message | None:
        kind = name_kind(frame)
        message = frame.message
        handler = self._handlers.get(type(message)) if message else None
        if handler is None:
            raise HandlerError(f"this node takes no {kind} messages")
        try:
            return await handler(self.peer, message)
        except AcaciarackError:
            raise
        except Exception as error:
            # A fault in one handler must not end the whole node.
            _LOG.exception("the handler of {} failed", kind)
            raise HandlerError(f"the handler of {kind} failed") from error

    async def _answer(self, frame: Frame) -> None:
        try:
            reply = await self._handle(frame)
            if reply is None:
                self._fail(frame.number, "the request has no reply")
            else:
                self._put(
                    Frame(
                        purpose=Purpose.REPLY,
                        number=frame.number,
                        message=reply,
                    )
                )
        except QueueFullError as error:
            self.close(error)
        except AcaciarackError as error:
            self._fail(frame.number, str(error))
        finally:
            self._answering.discard(frame.number)

    def _fail(self, number: int, detail: str) -> None:
        try:
            self._put(
                Frame(purpose=Purpose.FAILURE, number=number, detail=detail)
            )
        except QueueFullError as error:
            self.close(error)
