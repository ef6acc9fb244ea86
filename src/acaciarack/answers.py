"""What a caller reads of a streamed generation, in order and once."""

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
    turn_errors,
)

_TEXT_DELTA = "response.output_text.delta"


class GenerationFailedError(AcaciarackError):
    """The generation ended before it was whole.

    Attributes:
        response: the response object with its error.
    """

    def __init__(self, *, response: dict[str, Any]) -> None:
        super().__init__(str(response.get("error")))
        self.response = response


@dataclass(frozen=True, kw_only=True)
class Started:
    """A generation began. ``response_id`` names it."""

    response_id: str


@dataclass(frozen=True, kw_only=True)
class Text:
    """The next piece of the answer's text."""

    text: str


@dataclass(frozen=True, kw_only=True)
class Discarded:
    """All text so far is to be discarded; another generation follows."""

    response_id: str


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The answer is whole. ``response`` is the response object."""

    response: dict[str, Any]


StreamItem = Started | Text | Discarded | Completed


class _Event(msgspec.Struct):
    type: str
    sequence_number: int
    delta: str = ""
    response_id: str = ""
    response: dict[str, Any] = msgspec.field(default_factory=dict)


@dataclass
class Position:
    """How far a stream has come.

    Attributes:
        response_id: the id that resumes it; empty before the first event.
        last: the sequence number of the last event; -1 before the first.
    """

    response_id: str = ""
    last: int = -1


async def read_items(
    response: httpcore.Response, position: Position, *, progress: timedelta
) -> AsyncGenerator[StreamItem, None]:
    """Yields what follows ``position`` and moves it along.

    Raises:
        ConnectionLostError: the connection broke, ended early or brought
            nothing for ``progress``.
        MalformedAnswerError: an event is not the one that follows.
        GenerationFailedError: the generation ended before it was whole.
    """
    batches = read_events(response.aiter_stream())
    while events := await _receive(batches, progress):
        for event in events:
            item = _advance(event, position)
            if item is None:
                continue
            yield item
            if isinstance(item, Completed):
                return
    raise ConnectionLostError("the stream ended before its final event")


async def _receive(
    batches: AsyncGenerator[tuple[ServerEvent, ...], None], progress: timedelta
) -> tuple[ServerEvent, ...]:
    with trio.move_on_after(progress.total_seconds()), turn_errors():
        async for events in batches:
            return events
        return ()
    raise ConnectionSilentError("the connection is silent")


def _advance(event: ServerEvent, position: Position) -> StreamItem | None:
    """Moves the position by one event.

    Raises:
        MalformedAnswerError: the event is not the one that follows.
        GenerationFailedError: the event ends the generation in failure.
    """
    try:
        found = msgspec.json.decode(event.data, type=_Event)
    except msgspec.DecodeError as error:
        raise MalformedAnswerError(f"an event is malformed: {error}") from error
    if found.sequence_number != position.last + 1:
        raise MalformedAnswerError(
            f"event {found.sequence_number} came after {position.last}"
        )
    position.last = found.sequence_number
    if found.type == FAILED:
        raise GenerationFailedError(response=found.response)
    if found.type == CREATED:
        position.response_id = str(found.response.get("id", ""))
        return Started(response_id=position.response_id)
    if found.type == DISCARDED:
        position.response_id = ""
        position.last = -1
        return Discarded(response_id=found.response_id)
    if found.type == _TEXT_DELTA:
        return Text(text=found.delta)
    if found.type in TERMINAL:
        return Completed(response=found.response)
    return None
