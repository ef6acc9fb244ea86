"""The base of every error and the tagged outcomes that layers return.

Each layer defines its own errors as subclasses of ``AcaciarackError`` next to
the code that raises them, and turns errors of the layer below into its own.
Expected refusals are not exceptions: they are returned as ``Refusal``.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta


class AcaciarackError(Exception):
    """The base of every error that the package raises on purpose."""


class RunOutcome(enum.StrEnum):
    """Whether a request ran on a target.

    Attributes:
        NOT_RUN: no target ran any part of it, and none will.
        RAN: a target ran it.
        UNKNOWN: a target may have run it; it is not dispatched again.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Why a request got no answer of its own. Stable; callers match on it."""

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    TARGET_FAILED = "target_failed"
    STREAM_LOST = "stream_lost"
    KEY_EXPIRED = "key_expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


@dataclass(frozen=True, kw_only=True)
class Refusal:
    """A final answer that is not the one the caller asked for.

    Attributes:
        code: why; stable across versions.
        outcome: whether the request ran.
        detail: one sentence for a person; holds no prompt text and no secret.
        retry_after: when to come back; ``None`` if coming back cannot help.
    """

    code: RefusalCode
    outcome: RunOutcome
    detail: str
    retry_after: timedelta | None = None
