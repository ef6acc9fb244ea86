"""Decodes a streamed generation for the caller library."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import httpcore
import msgspec
import trio

from acaciarack.delivery import DISCARDED
from acaciarack.engines import ServerEvent, read_events
from acaciarack.errors import AcaciarackError
from acaciarack.relay import CREATED, FAILED, TERMINAL
from acaciarack.transports import (
    ConnectionLostError,
    ConnectionSilentError,
    MalformedAnswerError,
    convert_errors,
)

_TEXT_DELTA = "response.output_text.delta"


class GenerationFailedError(AcaciarackError):
    """The stream ended with a ``response.failed`` event.

    Attributes:
        response: the response object with its error.
    """

    def __init__(self, *, response: dict[str, Any]) -> None:
        super().__init__(str(response.get("error")))
        self.response = response


@dataclass(frozen=True, kw_only=True)
class Started:
    """A generation started.

    Attributes:
        response_id: the id of its response.
    """

    response_id: str


@dataclass(frozen=True, kw_only=True)
class Text:
    """The next piece of the response text.

    Attributes:
        text: the piece.
    """

    text: str


@dataclass(frozen=True, kw_only=True)
class Discarded:
    """The generation failed; discard its text. A new generation follows.

    Attributes:
        response_id: the id of the discarded response.
    """

    response_id: str


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The stream ended without a failure.

    Attributes:
        response: the response object. Its status may also be ``incomplete`` or
            ``cancelled``.
    """

    response: dict[str, Any]


StreamItem = Started | Text | Discarded | Completed


class _Event(msgspec.Struct):
    type: str
    sequence_number: int
    delta: str = ""
    response_id: str = ""
    response: dict[str, Any] = msgspec.field(default_factory=dict)


@dataclass
class StreamPosition:
    """The position after the last event that was read.

    Attributes:
        response_id: the id for resuming the stream; empty before the first
            event.
        last_sequence_number: the sequence number of the last event; -1 before
            the first.
    """

    response_id: str = ""
    last_sequence_number: int = -1


async def read_items(
    response: httpcore.Response,
    position: StreamPosition,
    *,
    progress: timedelta,
) -> AsyncGenerator[StreamItem, None]:
    """Yields the items after ``position`` and advances it.

    Args:
        response: the response with the event stream.
        position: the position of the stream; updated at each event.
        progress: the time limit for the next events.

    Raises:
        ConnectionLostError: the connection broke, ended early or sent no
            event within ``progress``.
        MalformedAnswerError: an event is malformed or has the wrong sequence
            number.
        GenerationFailedError: an event reports that the generation failed.
    """
    batches = read_events(response.aiter_stream())
    while events := await _receive_events(batches, progress):
        for event in events:
            item = _process_event(event, position)
            if item is None:
                continue
            yield item
            if isinstance(item, Completed):
                return
    raise ConnectionLostError("the stream ended before its final event")


async def _receive_events(
    batches: AsyncGenerator[tuple[ServerEvent, ...], None], progress: timedelta
) -> tuple[ServerEvent, ...]:
    with trio.move_on_after(progress.total_seconds()), convert_errors():
        async for events in batches:
            return events
        return ()
    raise ConnectionSilentError("the connection is silent")


def _process_event(
    event: ServerEvent, position: StreamPosition
) -> StreamItem | None:
    """Decodes one event and advances the position.

    Returns:
        The item of the event; ``None`` if the event has none.

    Raises:
        MalformedAnswerError: the event is malformed or has the wrong sequence
            number.
        GenerationFailedError: the event reports that the generation failed.
    """
    try:
        decoded = msgspec.json.decode(event.data, type=_Event)
    except msgspec.DecodeError as error:
        raise MalformedAnswerError(f"an event is malformed: {error}") from error
    if decoded.sequence_number != position.last_sequence_number + 1:
        raise MalformedAnswerError(
            f"event {decoded.sequence_number} came after"
            f" {position.last_sequence_number}"
        )
    position.last_sequence_number = decoded.sequence_number
    if decoded.type == FAILED:
        raise GenerationFailedError(response=decoded.response)
    if decoded.type == CREATED:
        position.response_id = str(decoded.response.get("id", ""))
        return Started(response_id=position.response_id)
    if decoded.type == DISCARDED:
        position.response_id = ""
        position.last_sequence_number = -1
        return Discarded(response_id=decoded.response_id)
    if decoded.type == _TEXT_DELTA:
        return Text(text=decoded.delta)
    if decoded.type in TERMINAL:
        return Completed(response=decoded.response)
    return None
