"""Defines the base class of errors, and refusals.

Each layer defines its own errors as subclasses of ``AcaciarackError`` next to
the code that raises them, and converts errors of the layer below to its own.
Expected refusals are not exceptions: functions return them as ``Refusal``.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta


class AcaciarackError(Exception):
    """The base class of all errors that the package defines."""


class RunOutcome(enum.StrEnum):
    """Whether a request ran on a target.

    Attributes:
        NOT_RUN: no target ran any part of the request, and none will.
        RAN: a target ran the request.
        UNKNOWN: a target may have run the request; it is not dispatched again.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RefusalCode(enum.StrEnum):
    """Why a request was refused or failed.

    The codes are stable, because callers match on them.
    """

    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    BODY_TIMEOUT = "body_timeout"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
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
    """The final result of a request that was refused or failed.

    Attributes:
        code: the reason; stable across versions.
        outcome: whether the request ran on a target.
        detail: one sentence for people; contains no prompt text and no secrets.
        retry_after: how long the caller should wait before it retries;
            ``None`` if a retry cannot help.
    """

    code: RefusalCode
    outcome: RunOutcome
    detail: str
    retry_after: timedelta | None = None
