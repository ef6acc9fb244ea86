"""Checks a generation's events and passes them on to the caller.

Delta events are passed on as the bytes received. Events that hold the
response object are encoded anew with the id that the caller knows.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from acaciarack.engines import ServerEvent
from acaciarack.errors import AcaciarackError

FIRST_SEQUENCE_NUMBER = 0
CREATED = "response.created"
FAILED = "response.failed"
TERMINAL = frozenset(
    {"response.completed", "response.incomplete", FAILED, "response.cancelled"}
)
_DELTA_SUFFIX = ".delta"


class RelayError(AcaciarackError):
    """An event may not be passed on. Nothing of its batch was."""


class SequenceError(RelayError):
    """A sequence number is not the one that follows."""


class ForeignEventError(RelayError):
    """An event belongs to another generation."""


class MalformedEventError(RelayError):
    """An event cannot be decoded."""


class _Item(msgspec.Struct):
    id: str = ""


class _Response(msgspec.Struct):
    id: str = ""
    output: list[_Item] = []


class _Head(msgspec.Struct):
    type: str
    sequence_number: int
    item_id: str = ""
    output_index: int = 0
    item: _Item | None = None
    response: _Response | None = None


class _Body(msgspec.Struct):
    type: str
    sequence_number: int
    response: dict[str, Any]


_head_decoder = msgspec.json.Decoder(_Head)
_body_decoder = msgspec.json.Decoder(_Body)


@dataclass(frozen=True, kw_only=True)
class Batch:
    """Checked events that are ready together.

    Attributes:
        data: what to write to the caller; a final ``response.failed`` is
            left out, because it may be hidden by another run.
        last: the sequence number of the last event in ``data``.
        tokens: the number of delta events.
        ended: the type of the final event; empty if it has not come.
        response: the response object of the final event, with the caller's
            id; ``None`` if it has not come.
    """

    data: bytes
    last: int
    tokens: int
    ended: str = ""
    response: dict[str, Any] | None = None


@dataclass
class _Progress:
    """How far a generation has come."""

    last: int
    engine_id: str
    items: dict[int, str] = field(default_factory=dict)


class Relay:
    """The events of one generation, across all connections to its engine."""

    def __init__(
        self,
        *,
        seal: Callable[[str], str],
        model: str,
        engine_id: str = "",
        last: int = FIRST_SEQUENCE_NUMBER - 1,
    ) -> None:
        """Starts at an event.

        Args:
            seal: returns the caller's id for an engine's id.
            model: the model's name as the caller knows it.
            engine_id: the engine's id; empty until the first event tells.
            last: the sequence number of the last event passed on.
        """
        self._seal = seal
        self._model = model
        self._progress = _Progress(last=last, engine_id=engine_id)
        self.response_id = seal(engine_id) if engine_id else ""
        self.response: dict[str, Any] = {"object": "response", "model": model}

    @property
    def last(self) -> int:
        """The sequence number of the last event passed on."""
        return self._progress.last

    @property
    def engine_id(self) -> str:
        """The engine's id of the response; empty while unknown."""
        return self._progress.engine_id

    def check(self, events: Iterable[ServerEvent]) -> Batch:
        """Checks events and prepares them for the caller.

        Raises:
            RelayError: one of them may not be passed on; the relay stays
                where it was before the call.
        """
        progress = _Progress(
            last=self._progress.last,
            engine_id=self._progress.engine_id,
            items=dict(self._progress.items),
        )
        parts: list[bytes] = []
        tokens = 0
        body = None
        ended = ""
        for event in events:
            if ended:
                raise SequenceError(f"an event came after {ended}")
            head = _decode_head(event)
            _advance(progress, head)
            tokens += head.type.endswith(_DELTA_SUFFIX)
            if head.response is None:
                parts.append(event.raw)
                continue
            body = self._rewrite(event, progress.engine_id)
            ended = head.type if head.type in TERMINAL else ""
            if ended != FAILED:
                parts.append(encode_event(body.type, body))
        self._progress = progress
        return Batch(
            data=b"".join(parts),
            last=progress.last - (ended == FAILED),
            tokens=tokens,
            ended=ended,
            response=body.response if body and ended else None,
        )

    def _rewrite(self, event: ServerEvent, engine_id: str) -> _Body:
        if not self.response_id:
            self.response_id = self._seal(engine_id)
        body = _body_decoder.decode(event.data)
        rewrite_response(
            body.response, response_id=self.response_id, model=self._model
        )
        self.response = body.response
        return body


def rewrite_response(
    response: dict[str, Any], *, response_id: str, model: str
) -> None:
    """Puts the caller's names into a response object."""
    response["id"] = response_id
    response["model"] = model


def get_preemptions(response: dict[str, Any]) -> int:
    """Returns how often the engine says that it preempted the response."""
    count = response.get("preemptions", 0)
    return count if isinstance(count, int) else 0


def encode_event(name: str, body: Any) -> bytes:
    """Encodes a server-sent event with JSON data."""
    data = msgspec.json.encode(body)
    return b"event: " + name.encode() + b"\ndata: " + data + b"\n\n"


def _decode_head(event: ServerEvent) -> _Head:
    try:
        return _head_decoder.decode(event.data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MalformedEventError(f"an event is malformed: {error}") from error


def _advance(progress: _Progress, head: _Head) -> None:
    if head.sequence_number != progress.last + 1:
        raise SequenceError(
            f"event {head.sequence_number} came after {progress.last}"
        )
    if head.response is not None:
        _bind_response(progress, head)
    elif not progress.engine_id:
        raise ForeignEventError(f"{head.type} came before {CREATED}")
    item_id = head.item_id or (head.item.id if head.item else "")
    if item_id:
        _bind_item(progress, head.output_index, item_id)
    progress.last = head.sequence_number


def _bind_response(progress: _Progress, head: _Head) -> None:
    response = head.response or _Response()
    if not progress.engine_id and response.id:
        progress.engine_id = response.id
    if response.id != progress.engine_id:
        raise ForeignEventError(f"{head.type} names another response")
    for index, item in enumerate(response.output):
        if item.id:
            _bind_item(progress, index, item.id)


def _bind_item(progress: _Progress, index: int, item_id: str) -> None:
    known = progress.items.setdefault(index, item_id)
    if known != item_id:
        raise ForeignEventError(f"output {index} belongs to another response")
