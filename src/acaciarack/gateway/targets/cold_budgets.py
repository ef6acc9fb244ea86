"""Limits how many requests a target gets that is cold or may become cold.

A cold target crashes well above a configured rate. The limit holds for all
nodes together, so the scheduler of the service grants its requests one by one.
It counts what it grants to cold targets and to others, since a target may
become cold at any moment, and grants half the bound, so that two schedulers at
a time keep it. A node that decides alone sends nothing to targets known to be
cold: it does not know how many others do the same.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.spec import Service, Target

GRANT_WINDOW = timedelta(milliseconds=1100)
"""The time over which grants are counted. The bound holds for any second at the
target; the rest covers that some grants are used up to 100 ms later than
others. A usual round trip takes 3 ms."""
MAX_GRANT_AGE = timedelta(milliseconds=250)
"""Age of an attempt of an ask above which a node ignores a grant for a service
with a cold rate. A queued ask is repeated every 150 ms; 100 ms are as above."""
RENEWAL_AGE = timedelta(milliseconds=100)
"""Age above which a grant that is sent again is counted again."""
SCHEDULERS_AT_A_TIME = 2
QUORUM_CHECK_INTERVAL = timedelta(milliseconds=50)
"""How often the other nodes are counted. Peers count as live for over 1 s after
their last heartbeat."""


@dataclass(kw_only=True)
class ColdState:
    """What is known of one lifetime of a target.

    Attributes:
        listed_at: the elapsed time at which its first record arrived.
        record_warm_at: the elapsed time until which its record says it is cold.
        cold_time: the configured time from which ``start_warm_at`` follows.
        start_warm_at: the elapsed time until which it is cold after its start.
        answer_warm_at: the elapsed time until which its newest answer with a
            warm-up time says so.
        grants: the elapsed times of the grants in the last ``GRANT_WINDOW``.
    """

    listed_at: timedelta = timedelta(0)
    record_warm_at: timedelta = timedelta(0)
    cold_time: timedelta = timedelta(0)
    start_warm_at: timedelta = timedelta(0)
    answer_warm_at: timedelta = timedelta(0)
    grants: deque[timedelta] = field(default_factory=deque)


class ColdBudgets:
    """Counts grants by target, and tells which targets are cold."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._find_service: Callable[[str], Service | None] = _find_none
        self._overage = 1.5
        self._tolerance = 5.0
        self._has_quorum: Callable[[], bool] = _has_always
        self._quorum = False
        self._quorum_until = timedelta(0)

    def configure(
        self,
        *,
        find_service: Callable[[str], Service | None],
        overage: float,
        tolerance: float,
        has_quorum: Callable[[], bool],
    ) -> None:
        """Sets the bound; without it, no service has a cold rate.

        Args:
            find_service: returns the service with a name.
            overage: the factor by which the requests of one second to a cold
                target may exceed its rate.
            tolerance: the number by which they may exceed it besides.
            has_quorum: returns whether this node hears so many others that it
                may be one of two schedulers at a time, and not one of many.
        """
        self._find_service = find_service
        self._overage = overage
        self._tolerance = tolerance
        self._has_quorum = has_quorum

    def applies_to(self, service: str) -> bool:
        """Returns whether a service has a cold rate."""
        found = self._find_service(service)
        return found is not None and found.cold_rate > 0

    def get_allowance(self, service: str) -> int:
        """Returns how many grants a target may get in ``GRANT_WINDOW``."""
        found = self._find_service(service)
        assert found is not None
        bound = found.cold_rate * self._overage + self._tolerance
        return max(1, int(bound / SCHEDULERS_AT_A_TIME))

    def get_warm_wait(self, target: Target, state: ColdState) -> timedelta:
        """Returns how long a target stays cold; zero if it is not cold."""
        service = self._find_service(target.service)
        if service is None or service.cold_rate <= 0:
            return timedelta(0)
        if state.cold_time != service.cold_time:
            state.cold_time = service.cold_time
            state.start_warm_at = self._compute_start_end(target, state)
        warm_at = max(
            state.record_warm_at, state.answer_warm_at, state.start_warm_at
        )
        return max(warm_at - self._clock.elapsed(), timedelta(0))

    def _compute_start_end(self, target: Target, state: ColdState) -> timedelta:
        """Returns the elapsed time at which the cold start of a target ends."""
        if not state.cold_time or not target.born:
            return timedelta(0)
        age = timedelta(
            seconds=self._clock.now().timestamp() - target.born / 1000
        )
        # The target's clock may be ahead, but it started before its record.
        return min(
            self._clock.elapsed() + state.cold_time - age,
            state.listed_at + state.cold_time,
        )

    def record_unreachable(self, target: Target, state: ColdState) -> None:
        """Takes a target for cold that may restart under its id.

        A node that is cut off does not see the new record. The next answer
        with a warm-up time says more.
        """
        service = self._find_service(target.service)
        if service is not None and service.cold_rate > 0:
            state.answer_warm_at = self._clock.elapsed() + service.cold_time

    def is_cold(self, target: Target, state: ColdState) -> bool:
        """Returns whether a target is known to be cold."""
        return self.get_warm_wait(target, state) > timedelta(0)

    def may_grant(self, target: Target, state: ColdState) -> bool:
        """Returns whether this node may grant a request to a target now."""
        if not self.applies_to(target.service):
            return True
        self._expire(state)
        if len(state.grants) >= self.get_allowance(target.service):
            return False
        return self._is_in_quorum() or not self.is_cold(target, state)

    def record_grant(self, target: Target, state: ColdState) -> None:
        """Counts a request that is granted or sent."""
        if self.applies_to(target.service):
            self._expire(state)
            state.grants.append(self._clock.elapsed())

    def count_since(self, state: ColdState, age: timedelta) -> int:
        """Returns how many grants are at most so old."""
        oldest = self._clock.elapsed() - age
        return sum(granted_at >= oldest for granted_at in state.grants)

    def forecast_wait(
        self, targets: Sequence[tuple[Target, ColdState]], *, ahead: int
    ) -> timedelta | None:
        """Returns when a request with others ahead is granted.

        Args:
            targets: the usable targets of one service.
            ahead: the number of requests that are granted before.

        Returns:
            ``None`` if a grant is free now, or if there is no target.
        """
        waits = [self._get_wait(target, state) for target, state in targets]
        if not waits or min(waits) <= timedelta(0):
            return None
        target, _ = targets[0]
        per_window = self.get_allowance(target.service) * len(waits)
        return min(waits) + GRANT_WINDOW * ahead / per_window

    def _is_in_quorum(self) -> bool:
        """Returns what ``has_quorum`` returned lately."""
        now = self._clock.elapsed()
        if now >= self._quorum_until:
            self._quorum_until = now + QUORUM_CHECK_INTERVAL
            self._quorum = self._has_quorum()
        return self._quorum

    def _get_wait(self, target: Target, state: ColdState) -> timedelta:
        """Returns the time until a target may get a grant."""
        self._expire(state)
        wait = timedelta(0)
        if len(state.grants) >= self.get_allowance(target.service):
            wait = state.grants[0] + GRANT_WINDOW - self._clock.elapsed()
        if not self._is_in_quorum():
            wait = max(wait, self.get_warm_wait(target, state))
        return wait

    def _expire(self, state: ColdState) -> None:
        oldest = self._clock.elapsed() - GRANT_WINDOW
        while state.grants and state.grants[0] <= oldest:
            state.grants.popleft()


def _find_none(name: str) -> None:
    del name


def _has_always() -> bool:
    return True
