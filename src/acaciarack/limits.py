"""Limits how many requests run on this node at once."""

from collections import Counter

from acaciarack.configuration import Organisation
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.failures import RETRY_AFTER
from acaciarack.problems import spread_delay

MAX_TOTAL = 10_000


class InFlight:
    """Counts the requests that have not ended."""

    def __init__(self, *, max_total: int = MAX_TOTAL) -> None:
        """Starts with none.

        Args:
            max_total: the most requests of all organisations.
        """
        self._max_total = max_total
        self._counts: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """The requests of all organisations."""
        return self._counts.total()

    def acquire(self, organisation: Organisation) -> Refusal | None:
        """Counts one more request, or refuses it."""
        name = organisation.name
        if self.total >= self._max_total:
            return Refusal(
                code=RefusalCode.OVERLOADED,
                outcome=RunOutcome.NOT_RUN,
                detail=(
                    f"{self._max_total} requests are running here, which is"
                    " the most that may"
                ),
                retry_after=spread_delay(RETRY_AFTER),
            )
        if self._counts[name] >= organisation.max_in_flight:
            return Refusal(
                code=RefusalCode.RATE_LIMITED,
                outcome=RunOutcome.NOT_RUN,
                detail=(
                    f"{organisation.max_in_flight} requests of {name} are"
                    " running here, which is the most that may"
                ),
                retry_after=spread_delay(RETRY_AFTER),
            )
        self._counts[name] += 1
        return None

    def release(self, name: str) -> None:
        """Counts one request less."""
        self._counts[name] -= 1
        if not self._counts[name]:
            del self._counts[name]
