"""Messages between nodes and their frames: one msgpack array each.

A frame is ``[purpose, number, body]``. The body of a message is an array of
its tag and its fields in order, so new fields go last and have defaults. Data
of more than ``MAX_ITEMS`` items travels as ``bytes``.
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
    """Bytes from a peer are not a frame that this node knows."""


class Message(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """The base of everything that nodes send to each other.

    Attributes:
        droppable: whether a newer message replaces it, so that a full queue
            may drop it.
    """

    droppable: ClassVar[bool] = False


class Purpose(enum.IntEnum):
    """What a frame is for."""

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
        purpose: what it is for.
        number: pairs a request with its reply; 0 for others.
        message: the message; ``None`` for failures and keepalives.
        detail: why a request failed; empty for others.
    """

    purpose: Purpose
    number: int = 0
    message: Message | None = None
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Decoded:
    """One msgpack value.

    Attributes:
        value: the value.
        size: its length in bytes.
    """

    value: Any
    size: int


class FrameDecoder:
    """Splits a stream of bytes into msgpack values, in bounded memory."""

    def __init__(self, *, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Creates a decoder.

        Args:
            max_frame_bytes: the longest run of bytes without a whole frame.
        """
        self._max_frame_bytes = max_frame_bytes
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=max_frame_bytes,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_ext_len=0,
        )

    def decode(self, data: bytes) -> Iterator[Decoded]:
        """Yields the values that ``data`` completes.

        Raises:
            FrameError: the bytes are not msgpack, or a limit is exceeded.
        """
        try:
            self._unpacker.feed(data)
            start = self._unpacker.tell()
            for value in self._unpacker:
                end = self._unpacker.tell()
                yield Decoded(value=value, size=end - start)
                start = end
        except msgpack.BufferFull as error:
            raise FrameError(
                f"a frame is over {self._max_frame_bytes} bytes"
            ) from error
        except (
            msgpack.UnpackException,
            ValueError,
            TypeError,
            OverflowError,
        ) as error:
            raise FrameError(f"not a msgpack frame: {error!r}") from error

    def take_rest(self) -> bytes:
        """Removes and returns the bytes that are not decoded yet."""
        rest: bytes = self._unpacker.read_bytes(self._max_frame_bytes)
        return rest


class MessageCodec:
    """Encodes and decodes frames with messages of registered types."""

    def __init__(self) -> None:
        self._types: dict[str, type[Message]] = {}
        self._union: Any = None

    def register(self, kind: type[Message]) -> None:
        """Makes a message type known; repeating it has no effect."""
        self._types[kind.__name__] = kind
        self._union = Union[tuple(self._types.values())]  # noqa: UP007

    def encode(self, frame: Frame) -> bytes:
        """Encodes one frame."""
        body: Any = frame.detail or None
        if frame.message is not None:
            body = msgspec.to_builtins(frame.message, builtin_types=(bytes,))
        encoded: bytes = msgpack.packb([int(frame.purpose), frame.number, body])
        return encoded

    def decode(self, value: Any) -> Frame:
        """Turns a msgpack value into a frame.

        Raises:
            FrameError: it has another shape or an unknown message type.
        """
        try:
            raw = msgspec.convert(value, _RawFrame, builtin_types=(bytes,))
            return self._decode_body(raw)
        except msgspec.ValidationError as error:
            raise FrameError(f"not a frame: {error}") from error

    def _decode_body(self, raw: _RawFrame) -> Frame:
        if raw.purpose is Purpose.KEEPALIVE:
            return Frame(purpose=raw.purpose)
        if raw.purpose is Purpose.FAILURE:
            return Frame(
                purpose=raw.purpose, number=raw.number, detail=str(raw.body)
            )
        if self._union is None:
            raise FrameError("no message type is registered")
        message = msgspec.convert(raw.body, self._union, builtin_types=(bytes,))
        return Frame(purpose=raw.purpose, number=raw.number, message=message)
