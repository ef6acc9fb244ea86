"""Messages between nodes and their frames, encoded as msgpack arrays.

A frame is ``[purpose, number, body]``; ``number`` is the correlation id of a
request and its reply. The body of a message is an array of its tag, which is
its class name, and its fields in order. New fields must therefore go last and
have defaults. A received array or map may have at most ``MAX_ITEMS`` items;
larger data must be sent as ``bytes``.
"""

import enum
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, ClassVar, Union

import msgpack
import msgspec

from acaciarack.errors import AcaciarackError

MAX_FRAME_BYTES = 1024 * 1024
MAX_ITEMS = 2048


class FrameError(AcaciarackError):
    """A peer sent bytes that are not a valid frame for this node."""


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """The base class of the messages between nodes.

    Attributes:
        droppable: whether a full send queue may drop the message, because a
            newer message replaces it.
    """

    droppable: ClassVar[bool] = False


class Purpose(enum.IntEnum):
    """The purpose of a frame; ``POST`` is a one-way message."""

    POST = 0
    REQUEST = 1
    REPLY = 2
    FAILURE = 3
    KEEPALIVE = 4


class _RawFrame(msgspec.Struct, frozen=True, array_like=True):
    purpose: Purpose
    number: int
    body: Any = None


@dataclass(frozen=True, kw_only=True)
class Frame:
    """One decoded frame.

    Attributes:
        purpose: the purpose of the frame.
        correlation_id: pairs a request with its reply or failure; 0 in other
            frames.
        message: the message; ``None`` in failures and keepalives.
        detail: the reason for a failure; empty in other frames.
    """

    purpose: Purpose
    correlation_id: int = 0
    message: Message | None = None
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class DecodedValue:
    """One decoded msgpack value.

    Attributes:
        value: the value.
        size: the length of its encoding in bytes.
    """

    value: Any
    size: int


class FrameDecoder:
    """Splits a stream of bytes into msgpack values, in bounded memory."""

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Creates a decoder.

        Args:
            max_frame_bytes: the maximum number of bytes that are buffered
                while a frame is incomplete.
        """
        self._max_frame_bytes = max_frame_bytes
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_ext_len=0,
        )

    def decode(self, data: bytes) -> Iterator[DecodedValue]:
        """Appends ``data`` to the buffer and yields the complete values.

        Raises:
            FrameError: the bytes are not msgpack, or a limit is exceeded.
        """
        try:
            self._unpacker.feed(data)
            start = self._unpacker.tell()
            for value in self._unpacker:
                end = self._unpacker.tell()
                yield DecodedValue(value=value, size=end - start)
                start = end
        except msgpack.BufferFull as error:
            raise FrameError(
                f"frame exceeds {self._max_frame_bytes} bytes"
            ) from error
        except (
            msgpack.UnpackException,
            ValueError,
            TypeError,
            OverflowError,
        ) as error:
            raise FrameError(
                f"invalid msgpack in a frame: {error!r}"
            ) from error

    def take_undecoded(self) -> bytes:
        """Removes and returns the bytes that are not decoded yet."""
        undecoded: bytes = self._unpacker.read_bytes(self._max_frame_bytes)
        return undecoded


class MessageCodec:
    """Encodes frames, and decodes frames with registered message types."""

    def __init__(self) -> None:
        self._types: dict[str, type[Message]] = {}
        self._union: Any = None

    def register(self, message_type: type[Message]) -> None:
        """Registers a message type; registering it again has no effect."""
        self._types[message_type.__name__] = message_type
        self._union = Union[tuple(self._types.values())]  # noqa: UP007

    def encode(self, frame: Frame) -> bytes:
        """Encodes one frame."""
        body: Any = frame.detail or None
        if frame.message is not None:
            body = msgspec.to_builtins(frame.message, builtin_types=(bytes,))
        encoded: bytes = msgpack.packb(
            [int(frame.purpose), frame.correlation_id, body]
        )
        return encoded

    def decode(self, value: Any) -> Frame:
        """Converts a msgpack value to a frame.

        Raises:
            FrameError: the value does not have the shape of a frame, or its
                message type is not registered.
        """
        try:
            raw = msgspec.convert(value, _RawFrame, builtin_types=(bytes,))
            return self._decode_body(raw)
        except msgspec.ValidationError as error:
            raise FrameError(f"invalid frame: {error}") from error

    def _decode_body(self, raw: _RawFrame) -> Frame:
        if raw.purpose is Purpose.KEEPALIVE:
            return Frame(purpose=raw.purpose)
        if raw.purpose is Purpose.FAILURE:
            return Frame(
                purpose=raw.purpose,
                correlation_id=raw.number,
                detail=str(raw.body),
            )
        if self._union is None:
            raise FrameError("no message type is registered")
        message = msgspec.convert(raw.body, self._union, builtin_types=(bytes,))
        return Frame(
            purpose=raw.purpose, correlation_id=raw.number, message=message
        )
