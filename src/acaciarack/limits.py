"""Limits the number of concurrent requests on this node."""

from collections import Counter

from acaciarack.configuration import Organisation
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import RETRY_AFTER
from acaciarack.problems import add_jitter

MAX_TOTAL = 10_000
"""Default maximum of concurrent requests on a node."""


class RequestLimiter:
    """Limits this node's running requests, in total and per organisation."""

    def __init__(self, *, max_total: int = MAX_TOTAL) -> None:
        """Creates the limiter without any requests.

        Args:
            max_total: the maximum number of requests of all organisations.
        """
        self._max_total = max_total
        self._counts: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """The number of running requests of all organisations."""
        return self._counts.total()

    def acquire(self, organisation: Organisation) -> Refusal | None:
        """Counts a request, or returns a refusal if a limit is reached."""
        name = organisation.name
        if self.total >= self._max_total:
            return Refusal(
                code=RefusalCode.OVERLOADED,
                outcome=RunOutcome.NOT_RUN,
                detail=(
                    f"{self._max_total} requests are running here, which is"
                    " the most that may"
                ),
                retry_after=add_jitter(RETRY_AFTER),
            )
        if self._counts[name] >= organisation.max_in_flight:
            return Refusal(
                code=RefusalCode.RATE_LIMITED,
                outcome=RunOutcome.NOT_RUN,
                detail=(
                    f"{organisation.max_in_flight} requests of {name} are"
                    " running here, which is the most that may"
                ),
                retry_after=add_jitter(RETRY_AFTER),
            )
        self._counts[name] += 1
        return None

    def release(self, name: str) -> None:
        """Removes a finished request of an organisation from the count."""
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]
