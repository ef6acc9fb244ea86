"""Writes one request's answer to its caller, in the service's mode.

The caller gets nothing of a generation before its first token, so a failure
until then can be hidden by another run. Tokens of two generations are never
joined: in the mode ``restart`` the caller is told to discard the first.
"""

import enum
from typing import Any

import msgspec

from acaciarack.configuration import Delivery
from acaciarack.errors import AcaciarackError, Refusal, RunOutcome
from acaciarack.outbox import Outbox
from acaciarack.relay import (
    FAILED,
    FIRST_SEQUENCE_NUMBER,
    Batch,
    Relay,
    encode_event,
)

DISCARDED = "response.discarded"
MAX_WHOLE_BYTES = 16 * 1024 * 1024


class AnswerTooLongError(AcaciarackError):
    """An answer that is held until it is whole is over the limit."""


class Mode(enum.Enum):
    """How an answer reaches the caller.

    Attributes:
        STREAM: events at once.
        RESTART: events at once, and another generation after a failure.
        WHOLE_STREAM: all events once the answer is whole.
        WHOLE_OBJECT: the response object once the answer is whole.
    """

    STREAM = enum.auto()
    RESTART = enum.auto()
    WHOLE_STREAM = enum.auto()
    WHOLE_OBJECT = enum.auto()


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


def choose_mode(delivery: Delivery, *, streamed: bool) -> Mode:
    """Returns the mode for a service's delivery and a caller's wish."""
    if not streamed:
        return Mode.WHOLE_OBJECT
    modes = {
        Delivery.STREAM: Mode.STREAM,
        Delivery.RESTART: Mode.RESTART,
        Delivery.WHOLE: Mode.WHOLE_STREAM,
    }
    return modes[delivery]


class AnswerWriter:
    """Writes the generations of one request into its outbox."""

    def __init__(self, *, mode: Mode, outbox: Outbox) -> None:
        self._mode = mode
        self._outbox = outbox
        self._relay: Relay | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._last = FIRST_SEQUENCE_NUMBER - 1
        self._released = False
        self.started = False
        self.response_id = ""

    @property
    def may_rerun(self) -> bool:
        """Whether another generation may follow a failure of this one."""
        return self._mode is not Mode.STREAM or not self._released

    def begin(self, relay: Relay) -> None:
        """Begins another generation."""
        self._relay = relay
        self._held.clear()
        self._held_bytes = 0
        self._released = False

    def resume(self, relay: Relay) -> None:
        """Goes on with a generation that the caller knows."""
        self.begin(relay)
        self._last = relay.last
        self._released = True
        self.started = True
        self.response_id = relay.response_id

    async def write(self, batch: Batch) -> None:
        """Writes what may be delivered now and holds the rest.

        Raises:
            AnswerTooLongError: more is held than the limit.
            CallerLeftError: the caller takes nothing more.
        """
        if batch.ended == FAILED and not self._released:
            return
        if self._mode is Mode.WHOLE_OBJECT:
            if batch.ended:
                await self._release(msgspec.json.encode(batch.response))
            return
        self._hold(batch)
        if self._is_due(batch):
            data = b"".join(self._held)
            self._held.clear()
            self._held_bytes = 0
            self._last = batch.last
            await self._release(data)

    async def discard(self, refusal: Refusal) -> None:
        """Tells the caller to discard the generation that failed."""
        if self._mode is not Mode.RESTART or not self._released:
            return
        self._last += 1
        event = _Discarded(
            type=DISCARDED,
            sequence_number=self._last,
            response_id=self.response_id,
            code=str(refusal.code),
            detail=refusal.detail,
        )
        self._released = False
        await self._outbox.put(encode_event(DISCARDED, event))

    async def fail(self, refusal: Refusal) -> None:
        """Ends a started answer with a final event that tells the failure."""
        response = dict(self._relay.response) if self._relay else {}
        response["id"] = self.response_id
        response["status"] = "failed"
        response["error"] = _Error(
            code=str(refusal.code),
            message=refusal.detail,
            outcome=str(RunOutcome.RAN),
        )
        event = _Failed(
            type=FAILED, sequence_number=self._last + 1, response=response
        )
        await self._outbox.put(encode_event(FAILED, event))

    def _is_due(self, batch: Batch) -> bool:
        if self._mode is Mode.WHOLE_STREAM:
            return bool(batch.ended)
        return self._released or batch.tokens > 0 or bool(batch.ended)

    def _hold(self, batch: Batch) -> None:
        self._held.append(batch.data)
        self._held_bytes += len(batch.data)
        if self._held_bytes > MAX_WHOLE_BYTES:
            raise AnswerTooLongError(
                f"the answer is over the limit of {MAX_WHOLE_BYTES} bytes"
            )

    async def _release(self, data: bytes) -> None:
        self._released = True
        self.started = True
        if self._relay is not None:
            self.response_id = self._relay.response_id
        if data:
            await self._outbox.put(data)
