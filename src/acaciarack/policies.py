"""Routing policies, which choose one of the eligible targets of a request.

A policy registers its factory in ``routing_policies``. A new policy needs one
new module. The baseline policies always choose a target. With
``predicted_memory`` a request waits until it fits the forecast free memory of
a target.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack.admission import (
    HORIZONS_TOKENS,
    AdmissionSettings,
    MemoryForecast,
    estimate_joint_peak,
    scale_forecast,
    sum_forecasts,
)
from acaciarack.placement import PlacementRequest
from acaciarack.registry import Registry
from acaciarack.time_slots import PeerDemand
from acaciarack.views import TargetView


@dataclass(frozen=True, kw_only=True)
class PolicySettings:
    """Settings of routing policies.

    Attributes:
        admission: how much memory is kept in reserve.
        affinity_weight: how much the score of a target is lowered if its
            prefix cache has the whole prompt, as a fraction of usable memory.
        spread: the range of random jitter added to each score, so that nodes
            with equal views choose different targets. The order of targets
            whose scores differ by less is partly random.
        max_checked: the maximum number of targets, the best first, whose full
            forecast is computed to find out whether the request fits.
    """

    admission: AdmissionSettings
    affinity_weight: float = 0.05
    spread: float = 0.1
    max_checked: int = 8


@dataclass(frozen=True, kw_only=True)
class EligibleTarget:
    """A target that may run a request.

    Attributes:
        view: the node's view of its load.
        limit: the maximum number of concurrent requests on it, from all nodes
            together.
    """

    view: TargetView
    limit: int


@dataclass(frozen=True, kw_only=True)
class Selection:
    """The choice of a policy.

    Attributes:
        target: the target chosen; ``None`` if the request should wait.
        scores: the score of each target; lower is better.
    """

    target: str | None
    scores: tuple[float, ...]


class RoutingPolicy(Protocol):
    """Chooses among targets that may run a request."""

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses a target for a request.

        Args:
            request: the request.
            forecast: the KV cache memory that the request will need.
            targets: eligible targets; at least one.
            peer_demand: the demand of peers on the same targets.
            now: elapsed time of the views' clock.
        """
        ...


routing_policies: Registry[RoutingPolicy] = Registry(kind="routing policy")


@routing_policies.register("predicted_memory")
class PredictedMemory:
    """Chooses the target with the lowest forecast memory utilization.

    The score is the peak of the target's forecast as a fraction of usable
    memory, minus a bonus for the part of the prompt that is probably cached
    there. If the peak is 0 or unknown, the score is the number of requests on
    the target as a fraction of its limit. Chooses no target if the request
    fits on none.
    """

    def __init__(self, *, settings: PolicySettings, rng: random.Random) -> None:
        self._settings = settings
        self._draw = rng.random
        self._z_score = settings.admission.get_z_score()

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses a target, or none if the request fits on none."""
        scores = [self._score(request, target, now) for target in targets]
        spread = self._settings.spread
        draw = self._draw
        jittered = [score + spread * draw() for score in scores]
        ranked = sorted(range(len(jittered)), key=jittered.__getitem__)
        target = self._find_fitting_target(
            forecast, targets, ranked, peer_demand, now
        )
        return Selection(target=target, scores=tuple(scores))

    def _find_fitting_target(
        self,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        ranked: Sequence[int],
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> str | None:
        queued = (peer_demand.queued_tokens,) * len(HORIZONS_TOKENS)
        combined = sum_forecasts(
            (
                scale_forecast(forecast, 1 + peer_demand.unreported_requests),
                MemoryForecast(means=queued),
            )
        )
        for index in ranked[: self._settings.max_checked]:
            name = targets[index].view.name
            owns_slot = peer_demand.schedule.owns(name)
            # In its own time slot, the node ignores the demand of peers. Peers
            # then place requests on the target only if memory remains for all
            # requests that are queued at their own peers.
            required = forecast if owns_slot else combined
            if self._fits(required, targets[index], now):
                return name
        return None

    def _score(
        self, request: PlacementRequest, target: EligibleTarget, now: timedelta
    ) -> float:
        view = target.view
        score = view.pressure
        if not score:
            return view.count_running() / max(target.limit, 1)
        hashes = request.prefix_hashes
        if hashes and view.prefixes.contains(hashes[0]):
            blocks = view.prefixes.count_expected_blocks(hashes, now)
            score -= self._settings.affinity_weight * blocks / len(hashes)
        return score

    def _fits(
        self, forecast: MemoryForecast, target: EligibleTarget, now: timedelta
    ) -> bool:
        view = target.view
        if view.count_running() >= target.limit:
            return False
        usable = view.get_usable_tokens(now)
        if not usable or view.lacks_fresh_report(now):
            # The load is unknown, unless the target reports no capacity: it
            # then has no KV cache, and only its concurrency limit applies.
            max_in_flight = self._settings.admission.blind_in_flight
            has_no_kv_cache = view.report is not None and not usable
            if not has_no_kv_cache and len(view.in_flight) >= max_in_flight:
                return False
        if not usable:
            return True
        peak = estimate_joint_peak(
            view.get_forecast(now), forecast, self._z_score
        )
        # A request that exceeds the usable memory may still run alone, on an
        # idle engine.
        return peak <= usable or not view.count_running()


@routing_policies.register("round_robin")
class RoundRobin:
    """Chooses the targets in rotation."""

    def __init__(self, *, settings: PolicySettings, rng: random.Random) -> None:
        self._next = rng.randrange(1 << 16)

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses the next target."""
        index = self._next % len(targets)
        self._next += 1
        return _build_selection(index, [0.0] * len(targets), targets)


@routing_policies.register("least_in_flight")
class LeastInFlight:
    """Chooses the target with the fewest in-flight requests of this node."""

    def __init__(self, *, settings: PolicySettings, rng: random.Random) -> None:
        self._draw = rng.random

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses the target with the fewest requests of this node."""
        scores = [float(len(target.view.in_flight)) for target in targets]
        return _build_selection(
            _find_lowest_score(scores, self._draw), scores, targets
        )


@routing_policies.register("two_choices")
class TwoChoices:
    """Draws two targets at random and chooses the one with fewer requests."""

    def __init__(self, *, settings: PolicySettings, rng: random.Random) -> None:
        self._rng = rng

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses the less loaded of two random targets."""
        count = min(2, len(targets))
        drawn = self._rng.sample(range(len(targets)), count)
        scores = [_count_requests(target.view) for target in targets]
        index = min(drawn, key=scores.__getitem__)
        return _build_selection(index, scores, targets)


@routing_policies.register("least_reported_memory")
class LeastReportedMemory:
    """Chooses the target with the lowest reported memory utilization.

    Targets with waiting requests rank after those without. The score of a
    target without a report is this node's number of requests on it.
    """

    def __init__(self, *, settings: PolicySettings, rng: random.Random) -> None:
        self._draw = rng.random

    def select(
        self,
        request: PlacementRequest,
        forecast: MemoryForecast,
        targets: Sequence[EligibleTarget],
        *,
        peer_demand: PeerDemand,
        now: timedelta,
    ) -> Selection:
        """Chooses the target with the lowest reported memory utilization."""
        scores = [_score_reported_memory(target.view) for target in targets]
        return _build_selection(
            _find_lowest_score(scores, self._draw), scores, targets
        )


def _find_lowest_score(scores: list[float], draw: Callable[[], float]) -> int:
    return min(range(len(scores)), key=lambda index: (scores[index], draw()))


def _build_selection(
    index: int, scores: list[float], targets: Sequence[EligibleTarget]
) -> Selection:
    return Selection(target=targets[index].view.name, scores=tuple(scores))


def _count_requests(view: TargetView) -> float:
    report = view.report
    reported = report.running + report.waiting if report else 0
    return float(max(reported, len(view.in_flight)))


def _score_reported_memory(view: TargetView) -> float:
    report = view.report
    if report is None or not report.capacity_tokens:
        return float(len(view.in_flight))
    return report.used_tokens / report.capacity_tokens + report.waiting
