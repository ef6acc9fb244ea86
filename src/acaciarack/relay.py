"""Validates a generation's events and prepares them for the caller.

Delta events are forwarded byte for byte. Events that contain the response
object are re-encoded with the response id and model name for the caller.
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
    """An event is invalid. No event of its batch is forwarded."""


class SequenceError(RelayError):
    """An event does not have the next sequence number."""


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
    """The fields of an event that the relay validates."""

    type: str
    sequence_number: int
    item_id: str = ""
    output_index: int = 0
    item: _Item | None = None
    response: _Response | None = None


class _Body(msgspec.Struct):
    """An event that contains the response object."""

    type: str
    sequence_number: int
    response: dict[str, Any]


_head_decoder = msgspec.json.Decoder(_Head)
_body_decoder = msgspec.json.Decoder(_Body)


@dataclass(frozen=True, kw_only=True)
class Batch:
    """Validated events that arrived together.

    Attributes:
        data: the bytes to write to the caller. A final ``response.failed`` is
            left out, because another attempt may replace it.
        last_sequence_number: the sequence number of the last event in
            ``data``.
        tokens: the number of delta events.
        final_type: the type of the final event; empty if the batch has none.
        response: the response object of the final event, with the id for the
            caller; ``None`` if the batch has no final event.
    """

    data: bytes
    last_sequence_number: int
    tokens: int
    final_type: str = ""
    response: dict[str, Any] | None = None


@dataclass
class _Progress:
    """The state of a generation after the last valid event.

    Attributes:
        last_sequence_number: the sequence number of that event.
        engine_id: the engine's id of the response; empty while unknown.
        item_ids: the item id at each output index.
    """

    last_sequence_number: int
    engine_id: str
    item_ids: dict[int, str] = field(default_factory=dict)


class Relay:
    """Relays one generation, across all connections to its engine.

    Attributes:
        response_id: the response id for the caller; empty while unknown.
        response: the last response object received, with the id and model
            name for the caller.
    """

    def __init__(
        self,
        *,
        seal: Callable[[str], str],
        model: str,
        engine_id: str = "",
        last_sequence_number: int = FIRST_SEQUENCE_NUMBER - 1,
    ) -> None:
        """Creates a relay for the events after ``last_sequence_number``.

        Args:
            seal: converts the engine's id of the response into the id for the
                caller.
            model: the model name shown to the caller.
            engine_id: the engine's id of the response; if empty, the first
                event sets it.
            last_sequence_number: the sequence number of the last event that
                the caller has.
        """
        self._seal = seal
        self._model = model
        self._progress = _Progress(
            last_sequence_number=last_sequence_number, engine_id=engine_id
        )
        self.response_id = seal(engine_id) if engine_id else ""
        self.response: dict[str, Any] = {"object": "response", "model": model}

    @property
    def last_sequence_number(self) -> int:
        """The sequence number of the last valid event."""
        return self._progress.last_sequence_number

    @property
    def engine_id(self) -> str:
        """The engine's id of the response; empty while unknown."""
        return self._progress.engine_id

    def process(self, events: Iterable[ServerEvent]) -> Batch:
        """Validates events and prepares them for the caller.

        Raises:
            RelayError: an event is invalid. The position of the relay does
                not change.
        """
        progress = _Progress(
            last_sequence_number=self._progress.last_sequence_number,
            engine_id=self._progress.engine_id,
            item_ids=dict(self._progress.item_ids),
        )
        chunks: list[bytes] = []
        tokens = 0
        body = None
        final_type = ""
        for event in events:
            if final_type:
                raise SequenceError(f"an event came after {final_type}")
            head = _decode_head(event)
            _advance(progress, head)
            tokens += head.type.endswith(_DELTA_SUFFIX)
            if head.response is None:
                chunks.append(event.raw)
                continue
            body = self._rewrite(event, progress.engine_id)
            final_type = head.type if head.type in TERMINAL else ""
            if final_type != FAILED:
                chunks.append(encode_event(body.type, body))
        self._progress = progress
        return Batch(
            data=b"".join(chunks),
            last_sequence_number=progress.last_sequence_number
            - (final_type == FAILED),
            tokens=tokens,
            final_type=final_type,
            response=body.response if body and final_type else None,
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
    """Sets the id and model name in a response object for the caller."""
    response["id"] = response_id
    response["model"] = model


def get_preemptions(response: dict[str, Any]) -> int:
    """Returns the number of preemptions that the engine reports."""
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
    if head.sequence_number != progress.last_sequence_number + 1:
        raise SequenceError(
            f"event {head.sequence_number} came after"
            f" {progress.last_sequence_number}"
        )
    if head.response is not None:
        _bind_response(progress, head)
    elif not progress.engine_id:
        raise ForeignEventError(f"{head.type} came before {CREATED}")
    item_id = head.item_id or (head.item.id if head.item else "")
    if item_id:
        _bind_item(progress, head.output_index, item_id)
    progress.last_sequence_number = head.sequence_number


def _bind_response(progress: _Progress, head: _Head) -> None:
    """Records the ids in a response object, or checks those already known."""
    response = head.response or _Response()
    if not progress.engine_id and response.id:
        progress.engine_id = response.id
    if response.id != progress.engine_id:
        raise ForeignEventError(f"{head.type} names another response")
    for index, item in enumerate(response.output):
        if item.id:
            _bind_item(progress, index, item.id)


def _bind_item(progress: _Progress, index: int, item_id: str) -> None:
    """Records the item id at an output index, or checks it if known."""
    known = progress.item_ids.setdefault(index, item_id)
    if known != item_id:
        raise ForeignEventError(f"output {index} belongs to another response")
