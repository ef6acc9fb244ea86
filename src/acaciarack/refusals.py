"""Builds the refusals of the routing decision."""

import random
from datetime import timedelta

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.placement import PlacementRequest
from acaciarack.problems import spread_delay

_MIN_RETRY = timedelta(seconds=1)


class RefusalBuilder:
    """Builds refusals that tell the truth about earlier attempts."""

    def __init__(self, *, source: random.Random) -> None:
        self._draw = source.random

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
            code: why.
            detail: why, in a sentence.
            retry_after: when to come back; lengthened by a random part.
        """
        delay = max(retry_after, _MIN_RETRY)
        return Refusal(
            code=code,
            outcome=_get_outcome(request),
            detail=detail,
            retry_after=spread_delay(delay, draw=self._draw),
        )


def _get_outcome(request: PlacementRequest) -> RunOutcome:
    if request.attempt == 1:
        return RunOutcome.NOT_RUN
    if request.tokens_done:
        return RunOutcome.RAN
    return RunOutcome.UNKNOWN
