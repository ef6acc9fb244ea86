"""Converts failed attempts into refusals for the caller."""

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
from acaciarack.problems import add_jitter
from acaciarack.transports import NotSentError

RETRY_AFTER = timedelta(seconds=1)
_REJECTED_STATUSES = frozenset({400, 413, 422})
_BUSY_STATUSES = frozenset({429, 503})
_MODEL_NOT_LOADED_STATUS = 404
_OUTCOME_PRECEDENCE = (RunOutcome.NOT_RUN, RunOutcome.UNKNOWN, RunOutcome.RAN)


@dataclass(frozen=True, kw_only=True)
class AttemptFailure:
    """The failure of one attempt.

    Attributes:
        refusal: the refusal for the caller if no other attempt is made.
        is_permanent: whether the failure would occur again on any target.
    """

    refusal: Refusal
    is_permanent: bool = False


def describe_error(
    error: AcaciarackError, *, created: bool = False
) -> AttemptFailure:
    """Converts an error in a call to a target into a failure.

    Args:
        error: the error.
        created: whether the engine had already created the response.
    """
    if isinstance(error, EngineStatusError):
        return _describe_status(error)
    outcome = RunOutcome.RAN if created else RunOutcome.UNKNOWN
    if isinstance(error, NotSentError):
        outcome = RunOutcome.NOT_RUN
    return AttemptFailure(
        refusal=refuse_target_failed(f"the target failed: {error}", outcome)
    )


def describe_engine_failure(response: dict[str, Any] | None) -> AttemptFailure:
    """Converts an engine's ``response.failed`` event into a failure."""
    found = (response or {}).get("error")
    message = found.get("message", "") if isinstance(found, dict) else ""
    return AttemptFailure(
        refusal=refuse_target_failed(
            f"the engine reported a failure: {message}", RunOutcome.RAN
        )
    )


def refuse_target_failed(detail: str, outcome: RunOutcome) -> Refusal:
    """Builds the refusal after a failure of the target."""
    return Refusal(
        code=RefusalCode.TARGET_FAILED,
        outcome=outcome,
        detail=detail,
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_deadline_exceeded(seconds: float) -> Refusal:
    """Builds the refusal for a request that got no token by its deadline."""
    return Refusal(
        code=RefusalCode.DEADLINE_EXCEEDED,
        outcome=RunOutcome.NOT_RUN,
        detail=f"no token came within the service's {seconds:g} s",
        retry_after=add_jitter(RETRY_AFTER),
    )


def combine_outcomes(outcomes: Iterable[RunOutcome]) -> RunOutcome:
    """Returns the outcome with the highest precedence.

    ``ran`` takes precedence over ``unknown``, and both over ``not_run``.
    """
    return max(
        outcomes, key=_OUTCOME_PRECEDENCE.index, default=RunOutcome.NOT_RUN
    )


def _describe_status(error: EngineStatusError) -> AttemptFailure:
    rejected = error.status in _REJECTED_STATUSES
    is_known_not_run = (
        rejected
        or error.status in _BUSY_STATUSES
        or error.status == _MODEL_NOT_LOADED_STATUS
    )
    code = RefusalCode.TARGET_FAILED
    if rejected:
        code = RefusalCode.INVALID_REQUEST
    elif error.status in _BUSY_STATUSES:
        code = RefusalCode.OVERLOADED
    elif error.status == _MODEL_NOT_LOADED_STATUS:
        code = RefusalCode.NO_TARGET
    return AttemptFailure(
        refusal=Refusal(
            code=code,
            outcome=RunOutcome.NOT_RUN
            if is_known_not_run
            else RunOutcome.UNKNOWN,
            detail=str(error),
            retry_after=None if rejected else add_jitter(RETRY_AFTER),
        ),
        is_permanent=rejected,
    )
