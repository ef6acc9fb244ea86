"""Retry budgets: retries are a bounded fraction of successes."""

from dataclasses import dataclass

from acaciarack.observations import RequestObservation


@dataclass(frozen=True, kw_only=True)
class RetryBudgetSettings:
    """How many retries are allowed.

    Attributes:
        fraction: retries allowed for each success.
        capacity: the most retries that can be saved up; also what a new
            budget starts with.
    """

    fraction: float = 0.1
    capacity: float = 20.0


class RetryBudget:
    """A token bucket that successes fill and retries drain.

    When targets fail on a broad front there are few successes, so that
    retries end instead of multiplying the load.
    """

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.capacity

    def record_success(self) -> None:
        """Adds the part of a retry that one success allows."""
        self._tokens = min(
            self._settings.capacity, self._tokens + self._settings.fraction
        )

    def take(self) -> bool:
        """Takes one retry; returns whether it was allowed."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryBudgets:
    """One retry budget for each organisation."""

    def __init__(self) -> None:
        self._settings = RetryBudgetSettings()
        self._budgets: dict[str, RetryBudget] = {}

    def allow(self, organisation: str) -> bool:
        """Returns whether one more retry may start, and counts it."""
        return self._get(organisation).take()

    def observe(self, observation: RequestObservation) -> None:
        """Counts a success towards the organisation's budget."""
        if observation.refusal is None:
            self._get(observation.organisation).record_success()

    def _get(self, organisation: str) -> RetryBudget:
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = RetryBudget(settings=self._settings)
            self._budgets[organisation] = budget
        return budget
