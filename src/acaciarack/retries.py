"""The caller library's errors, and its waits between tries."""

import random
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError, RunOutcome
from acaciarack.failures import combine_outcomes
from acaciarack.problems import Problem
from acaciarack.transports import NotSentError, TransportError

MAX_ATTEMPTS = 8
FIRST_WAIT = timedelta(milliseconds=100)
LONGEST_WAIT = timedelta(seconds=5)


class ClientError(AcaciarackError):
    """The base of errors of the caller library."""


class RefusedError(ClientError):
    """The system refused the request.

    Attributes:
        problem: the problem document; ``outcome`` says whether it ran.
    """

    def __init__(self, *, problem: Problem) -> None:
        super().__init__(f"{problem.code}: {problem.detail}")
        self.problem = problem


class UnreachableError(ClientError):
    """No entry answered.

    Attributes:
        outcome: whether the request may have run.
    """

    def __init__(self, *, outcome: RunOutcome, detail: str) -> None:
        super().__init__(detail)
        self.outcome = outcome


class Retries:
    """Counts the failures in a row of one request and waits between them."""

    def __init__(self, *, clock: Clock, chance: random.Random) -> None:
        self._clock = clock
        self._chance = chance
        self._failures = 0
        self._outcome = RunOutcome.NOT_RUN

    def reset(self) -> None:
        """Records that the request went on."""
        self._failures = 0
        self._outcome = RunOutcome.RAN

    async def wait(self, error: TransportError | RefusedError) -> None:
        """Waits before the next try, or raises if there is to be none."""
        self._failures += 1
        if isinstance(error, RefusedError):
            await self._wait_refused(error)
            return
        if not isinstance(error, NotSentError):
            self._outcome = combine_outcomes(
                [self._outcome, RunOutcome.UNKNOWN]
            )
        if self._failures >= MAX_ATTEMPTS:
            raise UnreachableError(
                outcome=self._outcome,
                detail=f"{self._failures} tries in a row failed: {error}",
            ) from error
        longest = min(LONGEST_WAIT, FIRST_WAIT * 2**self._failures)
        await self._clock.sleep(longest * self._chance.random())

    async def _wait_refused(self, error: RefusedError) -> None:
        delay = error.problem.retry_after_seconds
        if delay is None or self._failures >= MAX_ATTEMPTS:
            raise error
        await self._clock.sleep(timedelta(seconds=delay))
