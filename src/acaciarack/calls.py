"""Parses and checks the bodies of requests for generations."""

from dataclasses import dataclass
from typing import Any

import msgspec

from acaciarack.errors import Refusal, RefusalCode, RunOutcome

MAX_MODEL_CHARACTERS = 128
_CHARACTERS_PER_TOKEN = 4
_UNSUPPORTED = ("previous_response_id", "conversation")


class _Fields(msgspec.Struct, kw_only=True):
    model: str
    input: str | list[Any]
    stream: bool | None = None
    background: bool | None = None
    max_output_tokens: int | None = None


@dataclass(frozen=True, kw_only=True)
class ResponseCall:
    """A caller's request object.

    Attributes:
        service: the service asked for, from ``model``.
        streamed: whether the answer is to be streamed.
        max_output_tokens: the caller's limit; ``None`` if there is none.
        prompt_tokens: an estimate of the prompt's length.
        body: the whole object.
    """

    service: str
    streamed: bool
    max_output_tokens: int | None
    prompt_tokens: int
    body: dict[str, Any]


def parse_call(data: bytes) -> ResponseCall | Refusal:
    """Parses a request body."""
    try:
        body = msgspec.json.decode(data, type=dict[str, Any])
        fields = msgspec.convert(body, type=_Fields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return refuse_invalid(f"the body cannot be read: {error}")
    unsupported = [name for name in _UNSUPPORTED if body.get(name) is not None]
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
    prompt = msgspec.json.encode(body["input"])
    return ResponseCall(
        service=fields.model,
        streamed=bool(fields.stream),
        max_output_tokens=limit,
        prompt_tokens=max(1, len(prompt) // _CHARACTERS_PER_TOKEN),
        body=body,
    )


def refuse_invalid(detail: str) -> Refusal:
    """Builds the refusal of a request that cannot be understood."""
    return Refusal(
        code=RefusalCode.INVALID_REQUEST,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )
