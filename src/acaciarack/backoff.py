"""Exponential backoff with jitter, based on tenacity."""

from datetime import timedelta
from typing import Any

import tenacity

_INITIAL_SECONDS = 0.2
_MAX_SECONDS = 5.0


class Backoff:
    """Counts consecutive failures and computes the delay before a retry."""

    def __init__(
        self,
        *,
        initial_delay: float = _INITIAL_SECONDS,
        limit: float = _MAX_SECONDS,
    ) -> None:
        """Creates a backoff.

        Args:
            initial_delay: the maximum of the first delay, in seconds; every
                delay is at least half of it.
            limit: the maximum delay, in seconds.
        """
        self._wait_strategy: Any = tenacity.wait_random_exponential(
            multiplier=initial_delay, max=limit, min=initial_delay / 2
        )
        self._failures = 0

    def reset(self) -> None:
        """Resets the failure count after a success."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Counts a failure and returns the delay before the next attempt."""
        self._failures += 1
        state: Any = _RetryState(self._failures)
        return timedelta(seconds=self._wait_strategy(state))


class _RetryState:
    """The part of ``tenacity.RetryCallState`` that wait strategies read."""

    def __init__(self, attempt_number: int) -> None:
        self.attempt_number = attempt_number
