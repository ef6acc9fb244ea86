"""Writes the response to one request in the service's delivery mode.

The caller receives no data of a generation before its first token. A retry can
therefore hide a failure before the first token. The tokens of two generations
are never joined: in the mode ``restart`` the caller is told to discard the
tokens of the first generation.
"""

import enum
from typing import Any

import msgspec

from acaciarack.configuration import Delivery
from acaciarack.errors import AcaciarackError, Refusal, RunOutcome
from acaciarack.relay import (
    FAILED,
    FIRST_SEQUENCE_NUMBER,
    Batch,
    Relay,
    encode_event,
)
from acaciarack.response_buffer import ResponseBuffer

DISCARDED = "response.discarded"
MAX_HELD_BYTES = 16 * 1024 * 1024


class AnswerTooLongError(AcaciarackError):
    """The held part of a response exceeds ``MAX_HELD_BYTES``."""


class DeliveryMode(enum.Enum):
    """How a response is delivered to the caller.

    Attributes:
        STREAM: sends events as they arrive, from the first token on.
        RESTART: like ``STREAM``; after a failure, tells the caller to discard
            the tokens and sends the events of a new generation.
        BUFFERED_STREAM: sends all events once the response is complete.
        RESPONSE_OBJECT: sends the response object once it is complete.
    """

    STREAM = enum.auto()
    RESTART = enum.auto()
    BUFFERED_STREAM = enum.auto()
    RESPONSE_OBJECT = enum.auto()


class _Error(msgspec.Struct, frozen=True, kw_only=True):
    code: str
    message: str
    outcome: str


class _Failed(msgspec.Struct, frozen=True, kw_only=True):
    type: str
    sequence_number: int
    response: dict[str, Any]


class _Discarded(msgspec.Struct, frozen=True, kw_only=True):
    type: str
    sequence_number: int
    response_id: str
    code: str
    detail: str


def choose_delivery_mode(delivery: Delivery, *, streamed: bool) -> DeliveryMode:
    """Returns the delivery mode of a request.

    Args:
        delivery: the service's delivery setting.
        streamed: whether the caller requested a stream.
    """
    if not streamed:
        return DeliveryMode.RESPONSE_OBJECT
    modes = {
        Delivery.STREAM: DeliveryMode.STREAM,
        Delivery.RESTART: DeliveryMode.RESTART,
        Delivery.WHOLE: DeliveryMode.BUFFERED_STREAM,
    }
    return modes[delivery]


class ResponseWriter:
    """Writes the generations of one request into its response buffer.

    Attributes:
        started: whether any part of a response was released to the caller.
        response_id: the response id of the last generation that was released;
            empty before.
    """

    def __init__(self, *, mode: DeliveryMode, buffer: ResponseBuffer) -> None:
        self._mode = mode
        self._buffer = buffer
        self._relay: Relay | None = None
        self._held_chunks: list[bytes] = []
        self._held_bytes = 0
        self._last_sequence_number = FIRST_SEQUENCE_NUMBER - 1
        self._is_released = False
        self.started = False
        self.response_id = ""

    @property
    def can_retry(self) -> bool:
        """Whether a new generation may follow if the current one fails."""
        return self._mode is not DeliveryMode.STREAM or not self._is_released

    def begin(self, relay: Relay) -> None:
        """Starts a new generation."""
        self._relay = relay
        self._held_chunks.clear()
        self._held_bytes = 0
        self._is_released = False

    def resume(self, relay: Relay) -> None:
        """Continues a generation whose earlier events the caller received."""
        self.begin(relay)
        self._last_sequence_number = relay.last_sequence_number
        self._is_released = True
        self.started = True
        self.response_id = relay.response_id

    async def write(self, batch: Batch) -> None:
        """Writes a batch, or holds it until the mode allows delivery.

        Raises:
            AnswerTooLongError: the held data exceeds the limit.
            CallerLeftError: the caller disconnected or stopped reading.
        """
        if batch.final_type == FAILED and not self._is_released:
            return
        if self._mode is DeliveryMode.RESPONSE_OBJECT:
            if batch.final_type:
                await self._release(msgspec.json.encode(batch.response))
            return
        self._hold(batch)
        if self._should_release(batch):
            data = b"".join(self._held_chunks)
            self._held_chunks.clear()
            self._held_bytes = 0
            self._last_sequence_number = batch.last_sequence_number
            await self._release(data)

    async def discard(self, refusal: Refusal) -> None:
        """In the mode ``restart``, tells the caller to discard its tokens."""
        if self._mode is not DeliveryMode.RESTART or not self._is_released:
            return
        self._last_sequence_number += 1
        event = _Discarded(
            type=DISCARDED,
            sequence_number=self._last_sequence_number,
            response_id=self.response_id,
            code=str(refusal.code),
            detail=refusal.detail,
        )
        self._is_released = False
        await self._buffer.put(encode_event(DISCARDED, event))

    async def fail(self, refusal: Refusal) -> None:
        """Ends a started response with a ``response.failed`` event."""
        response = dict(self._relay.response) if self._relay else {}
        response["id"] = self.response_id
        response["status"] = "failed"
        response["error"] = _Error(
            code=str(refusal.code),
            message=refusal.detail,
            outcome=str(RunOutcome.RAN),
        )
        event = _Failed(
            type=FAILED,
            sequence_number=self._last_sequence_number + 1,
            response=response,
        )
        await self._buffer.put(encode_event(FAILED, event))

    def _should_release(self, batch: Batch) -> bool:
        if self._mode is DeliveryMode.BUFFERED_STREAM:
            return bool(batch.final_type)
        return self._is_released or batch.tokens > 0 or bool(batch.final_type)

    def _hold(self, batch: Batch) -> None:
        self._held_chunks.append(batch.data)
        self._held_bytes += len(batch.data)
        if self._held_bytes > MAX_HELD_BYTES:
            raise AnswerTooLongError(
                f"the answer is over the limit of {MAX_HELD_BYTES} bytes"
            )

    async def _release(self, data: bytes) -> None:
        self._is_released = True
        self.started = True
        if self._relay is not None:
            self.response_id = self._relay.response_id
        if data:
            await self._buffer.put(data)
