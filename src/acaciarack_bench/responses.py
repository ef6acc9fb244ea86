"""The response of one generation in the Responses protocol.

The text consists of numbered tokens with the generation's name, ``NAME-0
NAME-1 ...``, so that a test can detect a response that mixes two generations.
Events are not stored: each is encoded on request from its sequence number.
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


class ResponseStatus(enum.StrEnum):
    """The status of a response in the protocol."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    INCOMPLETE = "incomplete"
    CANCELLED = "cancelled"


class Response:
    """The state of one response, which grows by one token at a time."""

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
        """Creates a response without tokens.

        Args:
            name: the generation's name; letters, digits, ``-`` and ``.``.
            model: the model name in the request.
            created: the creation time, in seconds since the epoch.
            prompt_tokens: the prompt's length.
            limit: the number of tokens after which the response ends.
            truncated: whether the caller's token limit shortens the response.
            metadata: the metadata in the request, returned to the caller.
        """
        self.name = name
        self.id = f"resp_{name}"
        self.item_id = f"msg_{name}"
        self.tokens = 0
        self.preemptions = 0
        self.limit = limit
        self.status = ResponseStatus.IN_PROGRESS
        self.changed = trio.Event()
        self._model = model
        self._created = created
        self._prompt_tokens = prompt_tokens
        self._truncated = truncated
        self._metadata = metadata
        self._delta_prefix = self._encode_delta_prefix()

    def add_token(self) -> None:
        """Adds the next token and wakes the readers."""
        self.tokens += 1
        self.wake()

    def finish(self) -> None:
        """Ends the response after its last token."""
        cut = self._truncated or self.tokens < self.limit
        status = ResponseStatus.INCOMPLETE if cut else ResponseStatus.COMPLETED
        self._set_final_status(status)

    def cancel(self) -> None:
        """Cancels the response unless it has ended."""
        if self.status is ResponseStatus.IN_PROGRESS:
            self._set_final_status(ResponseStatus.CANCELLED)

    def count_events(self) -> int:
        """Returns the number of events so far."""
        if self.is_ended():
            return LEADING_EVENTS + self.tokens + TRAILING_EVENTS
        return LEADING_EVENTS + self.tokens

    def is_ended(self) -> bool:
        """Returns whether the response has ended."""
        return self.status is not ResponseStatus.IN_PROGRESS

    def get_text(self) -> str:
        """Returns the text so far."""
        return "".join(f"{self.name}-{i} " for i in range(self.tokens))

    def encode(self, number: int) -> bytes:
        """Encodes the event with the sequence number ``number``."""
        token = number - LEADING_EVENTS
        if token < 0:
            return self._encode_leading(number)
        if token < self.tokens:
            return b'%b%d ","sequence_number":%d}\n\n' % (
                self._delta_prefix,
                token,
                number,
            )
        return self._encode_trailing(number, token - self.tokens)

    def build_response(
        self, status: ResponseStatus | None = None
    ) -> dict[str, Any]:
        """Builds the response object, with its text if ``status`` is final."""
        status = status or self.status
        ended = status is not ResponseStatus.IN_PROGRESS
        return {
            "id": self.id,
            "object": "response",
            "created_at": self._created,
            "status": status,
            "error": None,
            "incomplete_details": self._build_incomplete_details(status),
            "instructions": None,
            "metadata": self._metadata,
            "model": self._model,
            "output": [self._build_output_item(status)] if ended else [],
            "parallel_tool_calls": False,
            "temperature": 1.0,
            "tool_choice": "none",
            "tools": [],
            "top_p": 1.0,
            "usage": self._build_usage() if ended else None,
            "preemptions": self.preemptions,
        }

    def _set_final_status(self, status: ResponseStatus) -> None:
        self.status = status
        self.wake()

    def wake(self) -> None:
        """Wakes the readers that wait for a change."""
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
        running = ResponseStatus.IN_PROGRESS
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
                item=self._build_output_item(running),
            )
        return _encode(
            number,
            "response.content_part.added",
            **self._build_part_location(),
            part=_build_part(""),
        )

    def _encode_trailing(self, number: int, index: int) -> bytes:
        if index == 0:
            return _encode(
                number,
                "response.output_text.done",
                **self._build_part_location(),
                text=self.get_text(),
                logprobs=[],
            )
        if index == 1:
            return _encode(
                number,
                "response.content_part.done",
                **self._build_part_location(),
                part=_build_part(self.get_text()),
            )
        if index == 2:
            return _encode(
                number,
                "response.output_item.done",
                output_index=0,
                item=self._build_output_item(self.status),
            )
        name = "response.incomplete"
        if self.status is ResponseStatus.COMPLETED:
            name = "response.completed"
        return _encode(number, name, response=self.build_response())

    def _build_part_location(self) -> dict[str, Any]:
        return {"item_id": self.item_id, "output_index": 0, "content_index": 0}

    def _build_output_item(self, status: ResponseStatus) -> dict[str, Any]:
        running = status is ResponseStatus.IN_PROGRESS
        if status is ResponseStatus.CANCELLED:
            status = ResponseStatus.INCOMPLETE
        return {
            "id": self.item_id,
            "type": "message",
            "role": "assistant",
            "status": status,
            "content": [] if running else [_build_part(self.get_text())],
        }

    def _build_incomplete_details(
        self, status: ResponseStatus
    ) -> dict[str, str] | None:
        if status is ResponseStatus.INCOMPLETE:
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
    """The body of a request that creates a response.

    The engine ignores other fields.

    Attributes:
        model: ``MODEL``, ``MODEL@VERSION`` or ``MODEL:ADAPTER@VERSION``.
        input: the prompt as text or as a list of messages.
        instructions: text that precedes the prompt.
        stream: whether the response is streamed.
        priority: a lower number runs first.
        max_output_tokens: the caller's token limit.
        metadata: returned to the caller; ``output_tokens`` sets the length of
            the response.
    """

    model: str
    input: str | list[dict[str, Any]] = ""
    instructions: str | None = None
    stream: bool | None = False
    priority: int = 0
    max_output_tokens: int | None = None
    metadata: dict[str, str] | None = None


def join_prompt(request: AnswerRequest) -> str:
    """Returns the instructions and the prompt as one text."""
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
