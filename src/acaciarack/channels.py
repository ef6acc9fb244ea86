"""Frames over one byte stream, the queue before it, and what passed."""

import collections
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from acaciarack.errors import AcaciarackError
from acaciarack.messages import (
    MAX_FRAME_BYTES,
    Decoded,
    Frame,
    FrameDecoder,
    MessageCodec,
)

MAX_QUEUE_BYTES = 2 * 1024 * 1024
MAX_WRITE_BYTES = 64 * 1024
_MAX_READ_BYTES = 16 * 1024


class ChannelClosedError(AcaciarackError):
    """The stream ended, broke or was silent for too long."""


class QueueFullError(AcaciarackError):
    """The peer takes nothing and the queue holds what may not be dropped."""


@dataclass(frozen=True, kw_only=True)
class Traffic:
    """What passed of one kind of message.

    Attributes:
        kind: the message type's name, or the frame's purpose.
        sent: messages sent.
        sent_bytes: bytes of their frames.
        received: messages received.
        received_bytes: bytes of their frames.
    """

    kind: str
    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0


@dataclass(kw_only=True)
class TrafficCounter:
    """Counts messages and bytes by kind of message."""

    sent: collections.Counter[str] = field(default_factory=collections.Counter)
    sent_bytes: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    received: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    received_bytes: collections.Counter[str] = field(
        default_factory=collections.Counter
    )

    def list_traffic(self) -> tuple[Traffic, ...]:
        """Returns the counts by kind, in order of its name."""
        return tuple(
            Traffic(
                kind=kind,
                sent=self.sent[kind],
                sent_bytes=self.sent_bytes[kind],
                received=self.received[kind],
                received_bytes=self.received_bytes[kind],
            )
            for kind in sorted(self.sent | self.received)
        )


def name_kind(frame: Frame) -> str:
    """Names a frame for the counts."""
    if frame.message is None:
        return frame.purpose.name.lower()
    return type(frame.message).__name__


class Channel:
    """Frames over a byte stream."""

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        codec: MessageCodec,
        counter: TrafficCounter,
        silence: float,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Creates a channel.

        Args:
            stream: the connection.
            codec: knows the message types.
            counter: counts what passes.
            silence: how long the other end may send nothing, in seconds.
            max_frame_bytes: the longest frame that is accepted.
        """
        self._stream = stream
        self._codec = codec
        self._counter = counter
        self._silence = silence
        self._decoder = FrameDecoder(max_frame_bytes=max_frame_bytes)
        self._read_bytes = min(_MAX_READ_BYTES, max_frame_bytes // 2)
        self._values: collections.deque[Decoded] = collections.deque()

    def widen(self, *, codec: MessageCodec, max_frame_bytes: int) -> None:
        """Accepts other message types and longer frames from now on.

        Raises:
            FrameError: what has come in already is malformed.
        """
        rest = self._decoder.take_rest()
        self._codec = codec
        self._decoder = FrameDecoder(max_frame_bytes=max_frame_bytes)
        self._read_bytes = min(_MAX_READ_BYTES, max_frame_bytes // 2)
        self._values.extend(self._decoder.decode(rest))

    async def send(self, frame: Frame) -> None:
        """Encodes and sends one frame.

        Raises:
            ChannelClosedError: the stream broke.
        """
        data = self._codec.encode(frame)
        item = Queued(kind=name_kind(frame), data=data, droppable=False)
        await self.send_all([item])

    async def send_all(self, items: Sequence["Queued"]) -> None:
        """Sends encoded frames by one write, so that they share packets.

        Raises:
            ChannelClosedError: the stream broke.
        """
        data = b"".join(item.data for item in items)
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelClosedError(f"the link broke: {error!r}") from error
        for item in items:
            self._counter.sent[item.kind] += 1
            self._counter.sent_bytes[item.kind] += len(item.data)

    async def receive(self) -> Frame:
        """Returns the next frame.

        Raises:
            ChannelClosedError: the stream ended, broke or was silent.
            FrameError: the other end sent something else than a frame.
        """
        while not self._values:
            data = await self._read()
            self._values.extend(self._decoder.decode(data))
        decoded = self._values.popleft()
        frame = self._codec.decode(decoded.value)
        kind = name_kind(frame)
        self._counter.received[kind] += 1
        self._counter.received_bytes[kind] += decoded.size
        return frame

    async def _read(self) -> bytes:
        try:
            with trio.fail_after(self._silence):
                data = await self._stream.receive_some(self._read_bytes)
        except trio.TooSlowError as error:
            raise ChannelClosedError(
                f"the link was silent for {self._silence} s"
            ) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelClosedError(f"the link broke: {error!r}") from error
        if not data:
            raise ChannelClosedError("the other end closed the link")
        return bytes(data)


@dataclass(frozen=True, kw_only=True)
class Queued:
    """An encoded frame that waits to be sent.

    Attributes:
        kind: names it for the counts.
        data: the bytes.
        droppable: whether it may be dropped for others.
    """

    kind: str
    data: bytes
    droppable: bool


class SendQueue:
    """A queue with a bound in bytes that drops the oldest digests first."""

    def __init__(self, *, max_bytes: int = MAX_QUEUE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._items: collections.deque[Queued] = collections.deque()
        self._bytes = 0
        self._filled = trio.Event()
        self.dropped = 0

    def put(self, item: Queued) -> None:
        """Appends an item, dropping the oldest droppable ones if need be.

        Raises:
            QueueFullError: the queue is full of what may not be dropped.
        """
        self._make_room(len(item.data))
        if self._bytes + len(item.data) > self._max_bytes:
            if item.droppable:
                self.dropped += 1
                return
            raise QueueFullError(
                f"{self._bytes} bytes wait; {self._max_bytes} are allowed"
            )
        self._items.append(item)
        self._bytes += len(item.data)
        self._filled.set()

    def _make_room(self, size: int) -> None:
        droppable = [item for item in self._items if item.droppable]
        for item in droppable:
            if self._bytes + size <= self._max_bytes:
                return
            self._items.remove(item)
            self._bytes -= len(item.data)
            self.dropped += 1

    async def get(self) -> Queued:
        """Removes and returns the oldest item, waiting for one."""
        while not self._items:
            self._filled = trio.Event()
            await self._filled.wait()
        return self._pop()

    async def get_group(self) -> list[Queued]:
        """Waits for an item; returns all up to ``MAX_WRITE_BYTES``.

        What is put in one step of the loop comes out together.
        """
        group = [await self.get()]
        size = len(group[0].data)
        while self._items and size + len(self._items[0].data) <= (
            MAX_WRITE_BYTES
        ):
            size += len(self._items[0].data)
            group.append(self._pop())
        return group

    def _pop(self) -> Queued:
        item = self._items.popleft()
        self._bytes -= len(item.data)
        return item
