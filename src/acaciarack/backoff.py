"""Delays between reconnects: exponential, with jitter, by tenacity."""

from datetime import timedelta
from typing import Any

import tenacity

_FIRST_SECONDS = 0.2
_MAX_SECONDS = 5.0


class Backoff:
    """Counts failures in a row and gives the delay before the next try."""

    def __init__(
        self,
        *,
        first: float = _FIRST_SECONDS,
        limit: float = _MAX_SECONDS,
    ) -> None:
        """Creates a backoff.

        Args:
            first: the mean scale of the first delay, in seconds.
            limit: the longest delay, in seconds.
        """
        self._wait: Any = tenacity.wait_random_exponential(
            multiplier=first, max=limit, min=first / 2
        )
        self._failures = 0

    def reset(self) -> None:
        """Tells that a try succeeded."""
        self._failures = 0

    def next_delay(self) -> timedelta:
        """Counts a failure and returns how long to wait."""
        self._failures += 1
        state: Any = _Attempt(self._failures)
        return timedelta(seconds=self._wait(state))


class _Attempt:
    """What tenacity's wait strategies read of a retry's state."""

    def __init__(self, attempt_number: int) -> None:
        self.attempt_number = attempt_number
