"""Parses and validates the bodies of generation requests."""

from dataclasses import dataclass
from typing import Any

import msgspec

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.prompts import estimate_tokens, hash_prefixes

MAX_MODEL_CHARACTERS = 128
_UNSUPPORTED_FIELDS = ("previous_response_id", "conversation")


class _Part(msgspec.Struct):
    text: str = ""


class _Message(msgspec.Struct):
    content: str | list[_Part] = ""


class _Fields(msgspec.Struct, kw_only=True):
    model: str
    instructions: str | None = None
    input: str | list[_Message]
    stream: bool | None = None
    background: bool | None = None
    max_output_tokens: int | None = None


@dataclass(frozen=True, kw_only=True)
class ResponseCall:
    """A parsed generation request.

    Attributes:
        service: the requested service, from the field ``model``.
        streamed: whether the caller asked for a streamed response.
        max_output_tokens: the caller's limit; ``None`` if there is none.
        prompt_tokens: the estimated prompt length.
        prefix_hashes: the hashes of the prompt's prefixes that consist of whole
            blocks, longest prefix last.
        body: the whole JSON object.
    """

    service: str
    streamed: bool
    max_output_tokens: int | None
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    body: dict[str, Any]


def parse_call(data: bytes) -> ResponseCall | Refusal:
    """Parses a request body; returns a refusal if it is invalid."""
    try:
        body = msgspec.json.decode(data, type=dict[str, Any])
        fields = msgspec.convert(body, type=_Fields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return refuse_invalid(f"the body cannot be read: {error}")
    unsupported = [
        name for name in _UNSUPPORTED_FIELDS if body.get(name) is not None
    ]
    if unsupported:
        return refuse_invalid(
            f"{unsupported[0]} is not supported; send the whole conversation"
            " in input"
        )
    if fields.background and not fields.stream:
        return refuse_invalid("background is supported only with stream: true")
    if len(fields.model) > MAX_MODEL_CHARACTERS:
        return refuse_invalid(
            f"model is over {MAX_MODEL_CHARACTERS} characters"
        )
    limit = fields.max_output_tokens
    if limit is not None and limit < 1:
        return refuse_invalid(f"max_output_tokens is {limit}, not 1 or more")
    prompt = _join_prompt(fields)
    return ResponseCall(
        service=fields.model,
        streamed=bool(fields.stream),
        max_output_tokens=limit,
        prompt_tokens=estimate_tokens(prompt),
        prefix_hashes=hash_prefixes(prompt),
        body=body,
    )


def _join_prompt(fields: _Fields) -> str:
    """Joins the whole prompt into one text, in the same way as engines do."""
    parts = [fields.instructions or ""]
    if isinstance(fields.input, str):
        parts.append(fields.input)
    else:
        parts += [_join_content(message) for message in fields.input]
    return "\n".join(part for part in parts if part)


def _join_content(message: _Message) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(part.text for part in message.content)


def refuse_invalid(detail: str) -> Refusal:
    """Builds the refusal of an invalid request."""
    return Refusal(
        code=RefusalCode.INVALID_REQUEST,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )
