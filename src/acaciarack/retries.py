"""Errors of the caller library and the backoff between its retries."""

import random
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError, RunOutcome
from acaciarack.failures import combine_outcomes
from acaciarack.problems import Problem
from acaciarack.transports import NotSentError, TransportError

MAX_ATTEMPTS = 8
BASE_DELAY = timedelta(milliseconds=100)
MAX_DELAY = timedelta(seconds=5)


class ClientError(AcaciarackError):
    """The base class of the caller library's errors."""


class RefusedError(ClientError):
    """The system refused the request.

    Attributes:
        problem: the problem document; its ``outcome`` states whether the
            request ran.
    """

    def __init__(self, *, problem: Problem) -> None:
        super().__init__(f"{problem.code}: {problem.detail}")
        self.problem = problem


class UnreachableError(ClientError):
    """All attempts to reach the system failed.

    Attributes:
        outcome: whether the request may have run.
    """

    def __init__(self, *, outcome: RunOutcome, detail: str) -> None:
        super().__init__(detail)
        self.outcome = outcome


class RetryBackoff:
    """Counts one request's consecutive failures and waits before retries."""

    def __init__(self, *, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._failures = 0
        self._outcome = RunOutcome.NOT_RUN

    def reset(self) -> None:
        """Resets the failure count and records that the request has run."""
        self._failures = 0
        self._outcome = RunOutcome.RAN

    async def wait(self, error: TransportError | RefusedError) -> None:
        """Waits before the next attempt.

        The delay after a refusal is the delay that the refusal states. The
        delay after a transport error grows exponentially, with full jitter.

        Raises:
            RefusedError: the refusal has no retry delay, or the maximum number
                of attempts has failed.
            UnreachableError: the maximum number of attempts has failed.
        """
        self._failures += 1
        if isinstance(error, RefusedError):
            await self._wait_after_refusal(error)
            return
        if not isinstance(error, NotSentError):
            self._outcome = combine_outcomes(
                [self._outcome, RunOutcome.UNKNOWN]
            )
        if self._failures >= MAX_ATTEMPTS:
            raise UnreachableError(
                outcome=self._outcome,
                detail=f"{self._failures} consecutive attempts failed: {error}",
            ) from error
        max_delay = min(MAX_DELAY, BASE_DELAY * 2**self._failures)
        await self._clock.sleep(max_delay * self._rng.random())

    async def _wait_after_refusal(self, error: RefusedError) -> None:
        delay = error.problem.retry_after_seconds
        if delay is None or self._failures >= MAX_ATTEMPTS:
            raise error
        await self._clock.sleep(timedelta(seconds=delay))
