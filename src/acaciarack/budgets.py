"""Retry budgets: retries are a bounded fraction of successes."""

from dataclasses import dataclass


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
