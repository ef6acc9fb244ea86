"""The targets that requests may go to, with their loads and failures."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import Generation, Load, LoadTracker
from acaciarack.gateway.capacity.memory_profile import reserve_memory
from acaciarack.gateway.scheduling.wait_estimates import WaitEstimator
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets import target_selection
from acaciarack.gateway.targets.failure_tracker import FailureTracker
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.rate_limits import REFRESH_TIME
from acaciarack.gateway.targets.restrictions import RESTRICTED_RETRY_AFTER
from acaciarack.gateway.targets.target_selection import Candidate
from acaciarack.gateway.targets.target_table import TargetInstance, TargetTable

MIGRATION_RESERVE_TIME = timedelta(seconds=3)
"""How long memory is reserved for an engine's generations after the engine
began to leave. The longest known notice period is 2 s, and generations continue
for some steps after it."""


UNREPORTED_TIME = timedelta(milliseconds=150)
"""How long a granted call counts as load beside the loads that nodes report."""


@dataclass(frozen=True, kw_only=True)
class DestinationRequest:
    """A running generation whose KV cache is to be copied to another engine.

    Attributes:
        service: the service of the engines.
        spec: slots and memory of these engines.
        generation: the running generation.
        data_centre: the data centre of its engine.
        exclude: ids of engines that it cannot be copied to, such as its own.
        standby: whether the copy is a standby; otherwise the generation
            migrates.
        gap_objective: the objective for the pause between two of its events;
            zero if it has none.
        regions: the regions that it may reach; ``None`` for all.
        avoids_cold: whether it cannot go to cold engines, because this node
            does not know what others send there.
    """

    service: str
    spec: EngineSpec
    generation: Generation
    data_centre: str
    exclude: frozenset[str]
    standby: bool = False
    gap_objective: timedelta = timedelta(0)
    regions: frozenset[str] | None = None
    avoids_cold: bool = False


class TargetPool:
    """Chooses targets for requests.

    Attributes:
        target_table: the targets and their states.
        loads: the load of each target.
        failure_tracker: the recent failures of each target.
        data_centre: the data centre of this node.
        draw: returns a random number in [0, 1).
        wait_estimator: estimates how long refused callers should wait.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        target_table: TargetTable,
        loads: LoadTracker,
        failure_tracker: FailureTracker,
        data_centre: str,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self.wait_estimator = WaitEstimator()
        self.draw = draw
        self.target_table = target_table
        self.loads = loads
        self.failure_tracker = failure_tracker
        self._clock = clock
        self.data_centre = data_centre

    def list_candidates(
        self,
        service: str,
        *,
        exclude: Collection[str] = (),
        regions: frozenset[str] | None = None,
    ) -> list[Candidate]:
        """Returns the targets that a new request may go to.

        Leaves out those whose limit allows no request now.
        """
        return self._list_candidates(
            instance
            for instance in self.target_table.list_usable(
                service, regions=regions
            )
            if instance.target.id not in exclude
            and self.target_table.may_take(instance)
        )

    def list_available(self, service: str) -> list[TargetInstance]:
        """Returns the targets of ``list_candidates`` without their loads.

        Adding up the loads takes a third of the time of a call's placement.
        """
        return self._filter_available(
            instance
            for instance in self.target_table.list_usable(service)
            if self.target_table.may_take(instance)
        )

    def list_limited(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> list[TargetInstance]:
        """Returns the usable targets of a service that limit requests."""
        if not self.target_table.rate_limits.has_notices():
            return []
        return [
            instance
            for instance in self.target_table.list_usable(
                service, regions=regions
            )
            if self.target_table.is_limited(instance)
        ]

    def _list_candidates(
        self, instances: Iterable[TargetInstance]
    ) -> list[Candidate]:
        return [
            Candidate(
                instance=instance,
                load=self.loads.get_total(instance.target.id),
                penalty=self.failure_tracker.get_penalty(instance.target.id),
                pace=self.target_table.paces.get_pace(
                    get_lifetime(instance.target)
                ),
            )
            for instance in self._filter_available(instances)
        ]

    def _filter_available(
        self, instances: Iterable[TargetInstance]
    ) -> list[TargetInstance]:
        """Leaves out targets that are paused or ejected."""
        return self.failure_tracker.exclude_ejected(
            [
                instance
                for instance in instances
                if not self.target_table.is_paused(instance)
            ]
        )

    def choose_for_call(
        self,
        service: str,
        *,
        exclude: Collection[str] = (),
        regions: frozenset[str] | None = None,
    ) -> TargetInstance | None:
        """Chooses the target of a plain call among those without a limit.

        Leaves out those that are known to be cold.
        """
        return target_selection.choose_call_target(
            self._list_candidates(
                instance
                for instance in self.target_table.list_usable(
                    service, regions=regions
                )
                if instance.target.id not in exclude
                and not self.target_table.is_limited(instance)
                and not self.target_table.is_cold(instance)
            ),
            data_centre=self.data_centre,
            time_factors=self._list_time_factors(service),
        )

    def reports_pace(self, service: str) -> bool:
        """Returns whether a target has reported how long work takes there."""
        return bool(self._list_time_factors(service))

    def _list_time_factors(self, service: str) -> dict[str, float]:
        """Returns how long work takes on targets that report it, by id."""
        factors = {}
        for instance in self.target_table.list_usable(service):
            pace = self.target_table.paces.get_pace(
                get_lifetime(instance.target)
            )
            if pace.is_reported:
                factors[instance.target.id] = pace.time_factor
        return factors

    def list_call_exclusions(
        self, service: str, tried: Collection[str]
    ) -> frozenset[str]:
        """Returns the targets that a scheduler should not choose for a call.

        These are the targets that were tried, and those that this node has
        ejected unless no other is left.
        """
        untried = [
            instance
            for instance in self.target_table.list_usable(service)
            if instance.target.id not in tried
        ]
        left = self.failure_tracker.exclude_ejected(untried)
        ejected = {i.target.id for i in untried if i not in left}
        return frozenset(tried) | ejected

    def take_limited(
        self,
        service: str,
        *,
        exclude: Collection[str] = (),
        regions: frozenset[str] | None = None,
    ) -> TargetInstance | None:
        """Chooses a limited target for a plain call, and counts the call.

        All targets of a service with a cold rate are limited.

        Returns:
            The target; ``None`` if no limit allows a request now.
        """
        instances = (
            self.target_table.list_usable(service, regions=regions)
            if self.needs_grants(service)
            else self.list_limited(service, regions=regions)
        )
        chosen = target_selection.choose_call_target(
            map(
                self._add_recent_grants,
                self._list_candidates(
                    instance
                    for instance in instances
                    if instance.target.id not in exclude
                    and self.target_table.may_take(instance)
                ),
            ),
            data_centre=self.data_centre,
        )
        if chosen is not None:
            self.count_request(chosen)
        return chosen

    def is_limit_stale(self, instance: TargetInstance) -> bool:
        """Returns whether a limited target has not been heard of lately."""
        age = self.target_table.rate_limits.get_age(
            get_lifetime(instance.target)
        )
        return age >= REFRESH_TIME

    def count_request(self, instance: TargetInstance) -> None:
        """Counts a request against a target's limits."""
        self.target_table.count_request(instance)

    def needs_grants(self, service: str) -> bool:
        """Returns whether a scheduler grants each request of a service."""
        return self.target_table.cold_budgets.applies_to(service)

    def list_excluded(
        self,
        service: str,
        tried: Collection[str],
        *,
        regions: frozenset[str] | None = None,
    ) -> frozenset[str]:
        """Returns the tried targets; none if there are no others."""
        usable = {
            instance.target.id
            for instance in self.target_table.list_usable(
                service, regions=regions
            )
        }
        return frozenset(tried) if usable - set(tried) else frozenset()

    def has_cold_targets(self, service: str) -> bool:
        """Returns whether a usable target is cold and cold ones are limited."""
        return self.needs_grants(service) and any(
            map(
                self.target_table.is_cold,
                self.target_table.list_usable(service),
            )
        )

    def _add_recent_grants(self, candidate: Candidate) -> Candidate:
        """Adds calls to a target's load that no node has reported yet."""
        recent = self.target_table.cold_budgets.count_since(
            candidate.instance.cold_state, UNREPORTED_TIME
        )
        if not recent:
            return candidate
        return replace(candidate, load=candidate.load + Load(requests=recent))

    def defer_request(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> timedelta:
        """Returns when a request over the limits of a service may return."""
        grant_wait = self.target_table.forecast_grant(service, ahead=0)
        if grant_wait is not None:
            return grant_wait
        return self.target_table.rate_limits.defer(
            service,
            [
                get_lifetime(i.target)
                for i in self.list_limited(service, regions=regions)
            ],
        )

    def list_generation_candidates(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> list[Candidate]:
        """Returns the engines that a new generation may go to.

        Their loads include memory that is reserved for migrations. If an engine
        leaves while the fleet is full, its generations have nowhere else to go
        once new generations have taken the free memory. Memory is reserved only
        in the data centre of the leaving engine, since copies to another data
        centre take twice as long and do not finish within the notice period.
        """
        candidates = self.list_candidates(service, exclude=exclude)
        migrating_tokens: Counter[str] = Counter()
        for instance in self.target_table.list_recent_departures(
            service, MIGRATION_RESERVE_TIME
        ):
            load = self.loads.get_total(instance.target.id)
            migrating_tokens[instance.target.data_centre] += load.used
        if not migrating_tokens.total():
            return candidates
        engine_counts = Counter(
            c.instance.target.data_centre for c in candidates
        )
        return [
            _reserve_for_migrations(candidate, migrating_tokens, engine_counts)
            for candidate in candidates
        ]

    def choose_destination(
        self, request: DestinationRequest
    ) -> TargetInstance | None:
        """Chooses the engine for a copy of a running generation.

        Returns:
            The engine; ``None`` if no engine has enough free memory.
        """
        choose = (
            target_selection.choose_standby
            if request.standby
            else target_selection.choose_destination
        )
        chosen = choose(
            [
                candidate
                for candidate in self.list_candidates(
                    request.service,
                    exclude=request.exclude,
                    regions=request.regions,
                )
                if not request.avoids_cold
                or not self.target_table.is_cold(candidate.instance)
            ],
            spec=request.spec,
            generation=request.generation,
            data_centre=request.data_centre,
            gap_objective=request.gap_objective,
        )
        if chosen is not None and not request.standby:
            self.count_request(chosen)
        return chosen

    def should_evict_standby(
        self, instance: TargetInstance, spec: EngineSpec
    ) -> bool:
        """Returns whether an engine's standby copies should be evicted."""
        used_tokens = target_selection.count_used_tokens(
            self.loads.get_total(instance.target.id)
        )
        return (
            used_tokens
            > target_selection.STANDBY_EVICTION_UTILIZATION * spec.memory_tokens
        )

    def get_pause_left(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> timedelta | None:
        """Returns the time until the first target of a service ends its pause.

        Returns ``None`` unless all its usable targets are paused.
        """
        pause_end = self.target_table.get_pause_end(service, regions=regions)
        if pause_end is None:
            return None
        return pause_end - self._clock.elapsed()

    def get_closed_time(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> timedelta | None:
        """Returns when a service that takes no requests may take some again.

        Returns ``None`` unless restrictions leave it without target, or all
        its usable targets are paused.
        """
        if self.target_table.is_restricted(service, regions=regions):
            return RESTRICTED_RETRY_AFTER
        return self.get_pause_left(service, regions=regions)

    def estimate_wait(
        self,
        service: str,
        *,
        waiting: int,
        regions: frozenset[str] | None = None,
    ) -> timedelta:
        """Returns how long a refused caller should wait before it retries.

        Args:
            service: the service of the engines.
            waiting: the number of generations that wait for them.
            regions: the regions that the caller's request may reach.
        """
        closed_time = self.get_closed_time(service, regions=regions)
        if closed_time is not None:
            return closed_time
        if self.forecast_limit_wait(service, ahead=0) is not None:
            return self.defer_request(service)
        return self.wait_estimator.estimate(
            waiting=waiting, running=self._count_running(service)
        )

    def forecast_limit_wait(
        self, service: str, *, ahead: int
    ) -> timedelta | None:
        """Returns when the limits allow a request with others ahead.

        Returns ``None`` unless all usable targets of the service are limited.
        """
        grant_wait = self.target_table.forecast_grant(service, ahead=ahead)
        if grant_wait is not None:
            return grant_wait
        limited = self.list_limited(service)
        if not limited or len(limited) < len(
            self.target_table.list_usable(service)
        ):
            return None
        rate = self.target_table.rate_limits.get_total_rate(
            get_lifetime(instance.target) for instance in limited
        )
        return timedelta(seconds=(ahead + 1) / rate)

    def forecast_wait(self, service: str, *, ahead: int) -> timedelta | None:
        """Returns the time until a generation with others ahead can start.

        Returns ``None`` if nothing runs, so that no end can be forecast.
        """
        running = self._count_running(service)
        if not running:
            return None
        return self.wait_estimator.forecast(waiting=ahead, running=running)

    def _count_running(self, service: str) -> float:
        """Returns how many generations run; fewer if slowdowns delay them."""
        return sum(
            candidate.load.requests / candidate.pace.slowdown
            for candidate in self.list_candidates(service)
        )


def _reserve_for_migrations(
    candidate: Candidate,
    migrating_tokens: Counter[str],
    engine_counts: Counter[str],
) -> Candidate:
    """Adds an engine's share of the memory reserved for migrations to its load.

    Args:
        candidate: the engine.
        migrating_tokens: the memory of generations on leaving engines, in
            tokens, by data centre.
        engine_counts: the number of candidate engines, by data centre.
    """
    data_centre = candidate.instance.target.data_centre
    tokens = migrating_tokens[data_centre] // engine_counts[data_centre]
    if not tokens:
        return candidate
    reservation = Load(memory_profile=reserve_memory(tokens))
    return replace(candidate, load=candidate.load + reservation)
