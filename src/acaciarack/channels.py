"""Frames over one byte stream, the send queue, and traffic counts."""

import collections
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from acaciarack.errors import AcaciarackError
from acaciarack.messages import (
    MAX_FRAME_BYTES,
    DecodedValue,
    Frame,
    FrameDecoder,
    MessageCodec,
)

MAX_QUEUE_BYTES = 2 * 1024 * 1024
MAX_WRITE_BYTES = 64 * 1024
_MAX_READ_BYTES = 16 * 1024


class ChannelClosedError(AcaciarackError):
    """The stream ended, broke or was idle for too long."""


class QueueFullError(AcaciarackError):
    """The peer reads too slowly: the queue is full of undroppable frames."""


@dataclass(frozen=True, kw_only=True)
class Traffic:
    """Message and byte counts for one kind of message.

    Attributes:
        kind: the name of the message type. For a frame without a message, the
            name of its purpose.
        sent: messages sent.
        sent_bytes: bytes of the sent frames.
        received: messages received.
        received_bytes: bytes of the received frames.
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
        """Returns the counts for each kind, sorted by kind."""
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


def get_frame_kind(frame: Frame) -> str:
    """Returns the kind under which a frame is counted; see ``Traffic``."""
    if frame.message is None:
        return frame.purpose.name.lower()
    return type(frame.message).__name__


class Channel:
    """Sends and receives frames over a byte stream."""

    def __init__(
        self,
        *,
        stream: trio.abc.Stream,
        codec: MessageCodec,
        counter: TrafficCounter,
        idle_timeout: float,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Creates a channel.

        Args:
            stream: the connection.
            codec: encodes and decodes the frames.
            counter: counts the frames sent and received.
            idle_timeout: how long the peer may send nothing, in seconds.
            max_frame_bytes: the size limit of a received frame.
        """
        self._stream = stream
        self._codec = codec
        self._counter = counter
        self._idle_timeout = idle_timeout
        self._decoder = FrameDecoder(max_frame_bytes=max_frame_bytes)
        self._read_size = min(_MAX_READ_BYTES, max_frame_bytes // 2)
        self._decoded_values: collections.deque[DecodedValue] = (
            collections.deque()
        )

    def reconfigure(self, *, codec: MessageCodec, max_frame_bytes: int) -> None:
        """Replaces the codec and the size limit, for use after the handshake.

        Raises:
            FrameError: bytes that were received but not yet decoded are
                malformed.
        """
        undecoded = self._decoder.take_undecoded()
        self._codec = codec
        self._decoder = FrameDecoder(max_frame_bytes=max_frame_bytes)
        self._read_size = min(_MAX_READ_BYTES, max_frame_bytes // 2)
        self._decoded_values.extend(self._decoder.decode(undecoded))

    async def send(self, frame: Frame) -> None:
        """Encodes and sends one frame.

        Raises:
            ChannelClosedError: the stream broke.
        """
        data = self._codec.encode(frame)
        item = QueuedFrame(
            kind=get_frame_kind(frame), data=data, droppable=False
        )
        await self.send_all([item])

    async def send_all(self, items: Sequence["QueuedFrame"]) -> None:
        """Sends encoded frames in one write, so that they share packets.

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
            ChannelClosedError: the stream ended, broke or was idle for too
                long.
            FrameError: the peer sent bytes that are not a valid frame.
        """
        while not self._decoded_values:
            data = await self._read()
            self._decoded_values.extend(self._decoder.decode(data))
        decoded = self._decoded_values.popleft()
        frame = self._codec.decode(decoded.value)
        kind = get_frame_kind(frame)
        self._counter.received[kind] += 1
        self._counter.received_bytes[kind] += decoded.size
        return frame

    async def _read(self) -> bytes:
        try:
            with trio.fail_after(self._idle_timeout):
                data = await self._stream.receive_some(self._read_size)
        except trio.TooSlowError as error:
            raise ChannelClosedError(
                f"the link was idle for {self._idle_timeout} s"
            ) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ChannelClosedError(f"the link broke: {error!r}") from error
        if not data:
            raise ChannelClosedError("the peer closed the link")
        return bytes(data)


@dataclass(frozen=True, kw_only=True)
class QueuedFrame:
    """An encoded frame in the send queue.

    Attributes:
        kind: the kind under which the frame is counted.
        data: the encoded bytes.
        droppable: whether the queue may drop the frame to admit another.
    """

    kind: str
    data: bytes
    droppable: bool


class SendQueue:
    """A queue bounded in bytes that drops frames to fit new ones.

    It drops only droppable frames, the oldest first.

    Attributes:
        dropped: the number of frames dropped so far.
    """

    def __init__(self, *, max_bytes: int = MAX_QUEUE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._items: collections.deque[QueuedFrame] = collections.deque()
        self._bytes = 0
        self._item_added = trio.Event()
        self.dropped = 0

    def put(self, item: QueuedFrame) -> None:
        """Appends an item and drops the oldest droppable items to fit it.

        A droppable item that still does not fit is dropped itself.

        Raises:
            QueueFullError: an item that must not be dropped does not fit.
        """
        self._drop_to_fit(len(item.data))
        if self._bytes + len(item.data) > self._max_bytes:
            if item.droppable:
                self.dropped += 1
                return
            raise QueueFullError(
                f"send queue full: {self._bytes} bytes wait;"
                f" {self._max_bytes} are allowed"
            )
        self._items.append(item)
        self._bytes += len(item.data)
        self._item_added.set()

    def _drop_to_fit(self, size: int) -> None:
        droppable = [item for item in self._items if item.droppable]
        for item in droppable:
            if self._bytes + size <= self._max_bytes:
                return
            self._items.remove(item)
            self._bytes -= len(item.data)
            self.dropped += 1

    async def get(self) -> QueuedFrame:
        """Waits for an item, then removes and returns the oldest."""
        while not self._items:
            self._item_added = trio.Event()
            await self._item_added.wait()
        return self._pop()

    async def get_batch(self) -> list[QueuedFrame]:
        """Waits for an item, then removes and returns a batch of items.

        The batch has at most ``MAX_WRITE_BYTES``, or one item that is larger.
        Items that are put without a checkpoint in between form one batch, up
        to the limit.
        """
        batch = [await self.get()]
        size = len(batch[0].data)
        while self._items and size + len(self._items[0].data) <= (
            MAX_WRITE_BYTES
        ):
            size += len(self._items[0].data)
            batch.append(self._pop())
        return batch

    def _pop(self) -> QueuedFrame:
        item = self._items.popleft()
        self._bytes -= len(item.data)
        return item
