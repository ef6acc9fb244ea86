"""Builds the refusals of placement decisions."""

import random
from datetime import timedelta

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.placement import PlacementRequest
from acaciarack.problems import add_jitter

_MIN_RETRY_AFTER = timedelta(seconds=1)


class RefusalBuilder:
    """Builds refusals, which report whether an earlier attempt may have run."""

    def __init__(self, *, rng: random.Random) -> None:
        self._draw = rng.random

    def build(
        self,
        request: PlacementRequest,
        *,
        code: RefusalCode,
        detail: str,
        retry_after: timedelta,
    ) -> Refusal:
        """Builds a refusal.

        Args:
            request: the request that is refused.
            code: the reason.
            detail: the reason as one sentence.
            retry_after: the delay suggested to the caller. It is raised to at
                least 1 s and then extended by random jitter.
        """
        delay = max(retry_after, _MIN_RETRY_AFTER)
        return Refusal(
            code=code,
            outcome=_get_run_outcome(request),
            detail=detail,
            retry_after=add_jitter(delay, draw=self._draw),
        )


def _get_run_outcome(request: PlacementRequest) -> RunOutcome:
    if request.attempt == 1:
        return RunOutcome.NOT_RUN
    if request.generated_tokens:
        return RunOutcome.RAN
    return RunOutcome.UNKNOWN
