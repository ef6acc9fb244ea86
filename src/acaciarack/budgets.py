"""Retry budgets, which limit retries to a fraction of successes."""

from dataclasses import dataclass

from acaciarack.observations import RequestObservation


@dataclass(frozen=True, kw_only=True)
class RetryBudgetSettings:
    """Settings of a retry budget.

    Attributes:
        fraction: the part of a retry that each success adds.
        capacity: the maximum number of available retries; a new budget starts
            with this number.
    """

    fraction: float = 0.1
    capacity: float = 20.0


class RetryBudget:
    """A token bucket that successes fill and retries drain.

    When many targets fail, successes are rare. The budget then runs out, so
    retries do not multiply the load.
    """

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.capacity

    def record_success(self) -> None:
        """Adds the part of a retry that one success allows."""
        self._tokens = min(
            self._settings.capacity, self._tokens + self._settings.fraction
        )

    def consume(self) -> bool:
        """Consumes one retry; returns false if none is available."""
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
        """Consumes one retry; returns whether it may start."""
        return self._get(organisation).consume()

    def observe(self, observation: RequestObservation) -> None:
        """Adds to the organisation's budget if the request was not refused."""
        if observation.refusal is None:
            self._get(observation.organisation).record_success()

    def _get(self, organisation: str) -> RetryBudget:
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = RetryBudget(settings=self._settings)
            self._budgets[organisation] = budget
        return budget
