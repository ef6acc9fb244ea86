"""Says what a failed attempt means for the request and for its caller."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from acaciarack.engines import EngineStatusError
from acaciarack.errors import (
    AcaciarackError,
    Refusal,
    RefusalCode,
    RunOutcome,
)
from acaciarack.problems import spread_delay
from acaciarack.transports import NotSentError

RETRY_AFTER = timedelta(seconds=1)
_REJECTED = frozenset({400, 413, 422})
_BUSY = frozenset({429, 503})
_NOT_LOADED = 404
_ORDER = (RunOutcome.NOT_RUN, RunOutcome.UNKNOWN, RunOutcome.RAN)


@dataclass(frozen=True, kw_only=True)
class AttemptFailure:
    """Why an attempt failed.

    Attributes:
        refusal: what the caller is told if no other attempt is made.
        final: whether another target would answer the same.
    """

    refusal: Refusal
    final: bool = False


def describe_error(
    error: AcaciarackError, *, created: bool = False
) -> AttemptFailure:
    """Turns an error of the way to a target into a failure.

    Args:
        error: the error.
        created: whether the engine had announced the generation.
    """
    if isinstance(error, EngineStatusError):
        return _describe_status(error)
    outcome = RunOutcome.RAN if created else RunOutcome.UNKNOWN
    if isinstance(error, NotSentError):
        outcome = RunOutcome.NOT_RUN
    return AttemptFailure(
        refusal=refuse_failed(f"the target failed: {error}", outcome)
    )


def describe_engine_failure(response: dict[str, Any] | None) -> AttemptFailure:
    """Turns an engine's ``response.failed`` event into a failure."""
    found = (response or {}).get("error")
    message = found.get("message", "") if isinstance(found, dict) else ""
    return AttemptFailure(
        refusal=refuse_failed(
            f"the engine reported a failure: {message}", RunOutcome.RAN
        )
    )


def refuse_failed(detail: str, outcome: RunOutcome) -> Refusal:
    """Builds the refusal for a target's failure."""
    return Refusal(
        code=RefusalCode.TARGET_FAILED,
        outcome=outcome,
        detail=detail,
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_late(seconds: float) -> Refusal:
    """Builds the refusal for a first token that did not come in time."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        outcome=RunOutcome.NOT_RUN,
        detail=f"no token came within the service's {seconds:g} s",
        retry_after=spread_delay(RETRY_AFTER),
    )


def combine_outcomes(outcomes: Iterable[RunOutcome]) -> RunOutcome:
    """Returns ``ran`` before ``unknown`` before ``not_run``."""
    return max(outcomes, key=_ORDER.index, default=RunOutcome.NOT_RUN)


def _describe_status(error: EngineStatusError) -> AttemptFailure:
    rejected = error.status in _REJECTED
    known = rejected or error.status in _BUSY or error.status == _NOT_LOADED
    code = RefusalCode.TARGET_FAILED
    if rejected:
        code = RefusalCode.INVALID_REQUEST
    elif error.status in _BUSY:
        code = RefusalCode.OVERLOADED
    elif error.status == _NOT_LOADED:
        code = RefusalCode.NO_TARGET
    return AttemptFailure(
        refusal=Refusal(
            code=code,
            outcome=RunOutcome.NOT_RUN if known else RunOutcome.UNKNOWN,
            detail=str(error),
            retry_after=None if rejected else spread_delay(RETRY_AFTER),
        ),
        final=rejected,
    )
