"""The budget of repeated sends that all nodes share.

Answers targets that fail on a broad front: without a bound each failure
would be sent again and multiply the load. Each node may spend its part of
the fixed extra and its own requests' part of the ratio, so that the bound
holds whatever the nodes hear of each other.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock

SAFETY = 0.8
"""The part of the bound that is used: windows slide, and a repeat may arrive
in a later window than the requests that pay for it."""


@dataclass(frozen=True, kw_only=True)
class RetryBounds:
    """The deployment's bound on repeated sends.

    Attributes:
        ratio: repeats allowed for each request.
        window: the span over which they are counted.
        extra: repeats allowed besides, for all nodes together.
    """

    ratio: float
    window: timedelta
    extra: float


class RetryBudget:
    """Counts requests and repeats of one service at one node."""

    def __init__(self, *, clock: Clock, bounds: RetryBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._requests: deque[timedelta] = deque()
        self._repeats: deque[timedelta] = deque()

    def record_request(self) -> None:
        """Counts a caller's request."""
        self._requests.append(self._clock.elapsed())

    def record_repeat(self) -> None:
        """Counts a repeat that was not optional."""
        self._repeats.append(self._clock.elapsed())

    def take(self, *, nodes: int) -> bool:
        """Takes one repeat; returns whether it was allowed.

        Args:
            nodes: how many nodes share the extra.
        """
        self._forget()
        allowed = self._bounds.ratio * len(self._requests)
        allowed += self._bounds.extra / max(1, nodes)
        if len(self._repeats) + 1 > SAFETY * allowed:
            return False
        self.record_repeat()
        return True

    def _forget(self) -> None:
        oldest = self._clock.elapsed() - self._bounds.window
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudgets:
    """One budget for each service."""

    def __init__(self, *, clock: Clock, bounds: RetryBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        self._budgets: dict[str, RetryBudget] = {}

    def get(self, service: str) -> RetryBudget:
        """Returns the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(clock=self._clock, bounds=self._bounds)
            self._budgets[service] = budget
        return budget
