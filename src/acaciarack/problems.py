"""Problem documents (RFC 9457), the format of refusals sent to callers."""

import math
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec

from acaciarack.errors import Refusal, RefusalCode

CONTENT_TYPE = "application/problem+json"
RETRY_JITTER = 0.25
_system_random = random.SystemRandom()
_STATUS_BY_CODE: dict[RefusalCode, int] = {
    RefusalCode.INVALID_REQUEST: 400,
    RefusalCode.UNAUTHENTICATED: 401,
    RefusalCode.NOT_FOUND: 404,
    RefusalCode.CONFLICT: 409,
    RefusalCode.TOO_LARGE: 413,
    RefusalCode.BODY_TIMEOUT: 408,
    RefusalCode.RATE_LIMITED: 429,
    RefusalCode.OVERLOADED: 503,
    RefusalCode.NO_TARGET: 503,
    RefusalCode.PROMPT_QUARANTINED: 503,
    RefusalCode.REQUEST_QUARANTINED: 503,
    RefusalCode.DEADLINE_EXCEEDED: 504,
    RefusalCode.PLATFORM_UNAVAILABLE: 503,
    RefusalCode.TARGET_FAILED: 502,
    RefusalCode.STREAM_LOST: 502,
    RefusalCode.KEY_EXPIRED: 409,
    RefusalCode.OUTCOME_UNKNOWN: 409,
    RefusalCode.LEAVING: 503,
    RefusalCode.NOT_READY: 503,
    RefusalCode.INTERNAL: 500,
}


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The body of a problem document.

    Attributes:
        type: a URI reference that contains the code.
        title: the code as readable words.
        status: the HTTP status.
        detail: a description for people.
        code: the stable, machine-readable code.
        outcome: whether the request ran: ``not_run``, ``ran`` or ``unknown``.
        request_id: identifies the request in logs and explanations.
        retry_after_seconds: the delay before a retry; ``None`` if a retry does
            not help.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    request_id: str = ""
    retry_after_seconds: float | None = None


def get_status(refusal: Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    return _STATUS_BY_CODE[refusal.code]


def build_problem(refusal: Refusal, *, request_id: str = "") -> Problem:
    """Builds the problem document of a refusal."""
    delay = refusal.retry_after
    return Problem(
        type=f"urn:acaciarack:problem:{refusal.code}",
        title=refusal.code.replace("_", " "),
        status=get_status(refusal),
        detail=refusal.detail,
        code=str(refusal.code),
        outcome=str(refusal.outcome),
        request_id=request_id,
        retry_after_seconds=delay.total_seconds() if delay else None,
    )


def build_headers(refusal: Refusal) -> dict[str, str]:
    """Builds the headers of a refusal.

    ``Retry-After`` is rounded up to whole seconds.
    """
    headers = {"content-type": CONTENT_TYPE}
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after.total_seconds()))
        headers["retry-after"] = str(seconds)
    return headers


def add_jitter(
    delay: timedelta, *, draw: Callable[[], float] = _system_random.random
) -> timedelta:
    """Lengthens a delay at random, so that callers do not retry all at once.

    The jitter is at most the fraction ``RETRY_JITTER`` of the delay.

    Args:
        delay: the minimum delay.
        draw: returns a random number in the range [0, 1).
    """
    return delay * (1 + RETRY_JITTER * draw())
