"""One generation's answer as the Responses protocol shows it.

The text follows from the generation's name: ``NAME-0 NAME-1 ...``, so that
an answer that mixes two generations shows. Events are encoded when they are
asked for, from their sequence numbers alone.
"""

import enum
from typing import Any

import msgspec
import trio

from acaciarack_bench.reports import encode_event

# Events before the first token: created, in_progress, output_item.added and
# content_part.added.
LEADING_EVENTS = 4
# Events after the last token: output_text.done, content_part.done,
# output_item.done and the final event.
TRAILING_EVENTS = 4


class AnswerStatus(enum.StrEnum):
    """The protocol's status of a response."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    INCOMPLETE = "incomplete"
    CANCELLED = "cancelled"


class Answer:
    """The state of one answer; grows by one token at a time."""

    def __init__(
        self,
        *,
        name: str,
        model: str,
        created: float,
        prompt_tokens: int,
        limit: int,
        truncated: bool,
        metadata: dict[str, str],
    ) -> None:
        """Creates an answer without tokens.

        Args:
            name: names the generation; letters, digits, ``-`` and ``.``.
            model: the model as the caller gave it.
            created: seconds since the epoch.
            prompt_tokens: the prompt's length.
            limit: the tokens that the answer will have.
            truncated: whether the caller's limit cuts it short.
            metadata: passed back to the caller.
        """
        self.name = name
        self.id = f"resp_{name}"
        self.item_id = f"msg_{name}"
        self.tokens = 0
        self.preemptions = 0
        self.limit = limit
        self.status = AnswerStatus.IN_PROGRESS
        self.changed = trio.Event()
        self._model = model
        self._created = created
        self._prompt_tokens = prompt_tokens
        self._truncated = truncated
        self._metadata = metadata
        self._prefix = self._encode_delta_prefix()

    def add_token(self) -> None:
        """Adds the next token and wakes the readers."""
        self.tokens += 1
        self.wake()

    def finish(self) -> None:
        """Ends the answer after its last token."""
        cut = self._truncated or self.tokens < self.limit
        status = AnswerStatus.INCOMPLETE if cut else AnswerStatus.COMPLETED
        self._end(status)

    def cancel(self) -> None:
        """Ends the answer where it is, unless it has ended."""
        if self.status is AnswerStatus.IN_PROGRESS:
            self._end(AnswerStatus.CANCELLED)

    def count_events(self) -> int:
        """Returns how many events there are by now."""
        if self.is_ended():
            return LEADING_EVENTS + self.tokens + TRAILING_EVENTS
        return LEADING_EVENTS + self.tokens

    def is_ended(self) -> bool:
        """Returns whether no event will follow."""
        return self.status is not AnswerStatus.IN_PROGRESS

    def get_text(self) -> str:
        """Returns the text so far."""
        return "".join(f"{self.name}-{i} " for i in range(self.tokens))

    def encode(self, number: int) -> bytes:
        """Encodes the event with a sequence number."""
        token = number - LEADING_EVENTS
        if token < 0:
            return self._encode_leading(number)
        if token < self.tokens:
            return b'%b%d ","sequence_number":%d}\n\n' % (
                self._prefix,
                token,
                number,
            )
        return self._encode_trailing(number, token - self.tokens)

    def build_response(
        self, status: AnswerStatus | None = None
    ) -> dict[str, Any]:
        """Builds the response object, with the text if it has ended."""
        status = status or self.status
        ended = status is not AnswerStatus.IN_PROGRESS
        return {
            "id": self.id,
            "object": "response",
            "created_at": self._created,
            "status": status,
            "error": None,
            "incomplete_details": self._build_details(status),
            "instructions": None,
            "metadata": self._metadata,
            "model": self._model,
            "output": [self._build_item(status)] if ended else [],
            "parallel_tool_calls": False,
            "temperature": 1.0,
            "tool_choice": "none",
            "tools": [],
            "top_p": 1.0,
            "usage": self._build_usage() if ended else None,
            "preemptions": self.preemptions,
        }

    def _end(self, status: AnswerStatus) -> None:
        self.status = status
        self.wake()

    def wake(self) -> None:
        """Wakes the readers, so that they look again."""
        self.changed.set()
        self.changed = trio.Event()

    def _encode_delta_prefix(self) -> bytes:
        event = {
            "type": "response.output_text.delta",
            "item_id": self.item_id,
            "output_index": 0,
            "content_index": 0,
            "logprobs": [],
            "delta": f"{self.name}-",
        }
        encoded = encode_event("response.output_text.delta", event)
        return encoded.removesuffix(b'"}\n\n')

    def _encode_leading(self, number: int) -> bytes:
        running = AnswerStatus.IN_PROGRESS
        if number == 0:
            response = self.build_response(running)
            return _encode(number, "response.created", response=response)
        if number == 1:
            response = self.build_response(running)
            return _encode(number, "response.in_progress", response=response)
        if number == 2:
            return _encode(
                number,
                "response.output_item.added",
                output_index=0,
                item=self._build_item(running),
            )
        return _encode(
            number,
            "response.content_part.added",
            **self._build_place(),
            part=_build_part(""),
        )

    def _encode_trailing(self, number: int, index: int) -> bytes:
        if index == 0:
            return _encode(
                number,
                "response.output_text.done",
                **self._build_place(),
                text=self.get_text(),
                logprobs=[],
            )
        if index == 1:
            return _encode(
                number,
                "response.content_part.done",
                **self._build_place(),
                part=_build_part(self.get_text()),
            )
        if index == 2:
            return _encode(
                number,
                "response.output_item.done",
                output_index=0,
                item=self._build_item(self.status),
            )
        name = "response.incomplete"
        if self.status is AnswerStatus.COMPLETED:
            name = "response.completed"
        return _encode(number, name, response=self.build_response())

    def _build_place(self) -> dict[str, Any]:
        return {"item_id": self.item_id, "output_index": 0, "content_index": 0}

    def _build_item(self, status: AnswerStatus) -> dict[str, Any]:
        running = status is AnswerStatus.IN_PROGRESS
        if status is AnswerStatus.CANCELLED:
            status = AnswerStatus.INCOMPLETE
        return {
            "id": self.item_id,
            "type": "message",
            "role": "assistant",
            "status": status,
            "content": [] if running else [_build_part(self.get_text())],
        }

    def _build_details(self, status: AnswerStatus) -> dict[str, str] | None:
        if status is AnswerStatus.INCOMPLETE:
            return {"reason": "max_output_tokens"}
        return None

    def _build_usage(self) -> dict[str, Any]:
        return {
            "input_tokens": self._prompt_tokens,
            "input_tokens_details": {"cached_tokens": 0},
            "output_tokens": self.tokens,
            "output_tokens_details": {"reasoning_tokens": 0},
            "total_tokens": self._prompt_tokens + self.tokens,
        }


def _build_part(text: str) -> dict[str, Any]:
    return {"type": "output_text", "text": text, "annotations": []}


def _encode(number: int, name: str, **fields: Any) -> bytes:
    event = {"type": name, "sequence_number": number, **fields}
    return encode_event(name, event)


class AnswerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a request for an answer; other fields are ignored.

    Attributes:
        model: ``MODEL``, ``MODEL@VERSION`` or ``MODEL:ADAPTER@VERSION``.
        input: the prompt: a text, or messages.
        instructions: put before the prompt.
        stream: whether the answer is streamed.
        priority: a lower number runs first.
        max_output_tokens: the caller's limit.
        metadata: passed back; ``output_tokens`` sets the answer's length.
    """

    model: str
    input: str | list[dict[str, Any]] = ""
    instructions: str | None = None
    stream: bool | None = False
    priority: int = 0
    max_output_tokens: int | None = None
    metadata: dict[str, str] | None = None


def join_prompt(request: AnswerRequest) -> str:
    """Returns the whole prompt as one text."""
    parts = [request.instructions or ""]
    if isinstance(request.input, str):
        parts.append(request.input)
    else:
        parts += [_join_content(message) for message in request.input]
    return "\n".join(part for part in parts if part)


def _join_content(message: dict[str, Any]) -> str:
    content = message.get("content", "")
    if isinstance(content, str):
        return content
    return "".join(str(part.get("text", "")) for part in content)
