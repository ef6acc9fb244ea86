"""Retry budgets, which limit the retries of all nodes together.

If many targets fail at once, unlimited retries would multiply the load. Each
node may send an equal share of the fixed number of retries, and further retries
in proportion to its own requests. So the limit holds for all nodes together
even if they receive no reports from each other.
"""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock

SAFETY_FACTOR = 0.8
"""Fraction of the limit that is used. The window slides, and a retry may arrive
in a later window than the requests that allow it."""


@dataclass(frozen=True, kw_only=True)
class RetryBounds:
    """The deployment's limit on retries.

    Attributes:
        ratio: retries allowed per request.
        window: the time over which requests and retries are counted.
        extra: additional retries allowed in a window, for all nodes together.
    """

    ratio: float
    window: timedelta
    extra: float


class RetryBudget:
    """Counts requests and retries of one service on one node."""

    def __init__(self, *, clock: Clock, bounds: RetryBounds) -> None:
        self._clock = clock
        self._bounds = bounds
        # Of the last window only.
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()

    def record_request(self) -> None:
        """Counts a caller's request."""
        self._expire()
        self._requests.append(self._clock.elapsed())

    def record_retry(self) -> None:
        """Counts a retry that is sent whether or not the budget allows it."""
        self._expire()
        self._retries.append(self._clock.elapsed())

    def take(self, *, nodes: int) -> bool:
        """Takes one retry from the budget if the limit allows it.

        Args:
            nodes: the number of nodes that share ``RetryBounds.extra``.

        Returns:
            Whether the retry is allowed.
        """
        self._expire()
        allowed = self._bounds.ratio * len(self._requests)
        allowed += self._bounds.extra / max(1, nodes)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self.record_retry()
        return True

    def _expire(self) -> None:
        oldest = self._clock.elapsed() - self._bounds.window
        for times in (self._requests, self._retries):
            while times and times[0] < oldest:
                times.popleft()


class RetryBudgets:
    """Retry budgets by service."""

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
