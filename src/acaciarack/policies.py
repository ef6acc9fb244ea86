"""Routing policies: which of the eligible targets gets a request.

A policy registers its factory in ``routing_policies``; a new policy is one
new module. The baselines dispatch at once; ``predicted_memory`` lets a
request wait while no target's forecast has room for it.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack.admission import (
    HORIZONS_TOKENS,
    AdmissionSettings,
    Forecast,
    add_forecasts,
    estimate_joint_peak,
    scale_forecast,
)
from acaciarack.placement import PlacementRequest
from acaciarack.registry import Registry
from acaciarack.turns import Rivals
from acaciarack.views import TargetView


@dataclass(frozen=True, kw_only=True)
class PolicySettings:
    """What policies are built with.

    Attributes:
        admission: how much memory is left free.
        affinity_weight: the fraction of memory use that a prompt whose
            prefix is cached as a whole makes up for.
        spread: targets whose scores differ by less than this are taken at
            random, so that nodes with equal views do not choose alike.
        max_checked: the most targets whose forecast is computed in full.
    """

    admission: AdmissionSettings
    affinity_weight: float = 0.05
    spread: float = 0.1
    max_checked: int = 8


@dataclass(frozen=True, kw_only=True)
class Option:
    """An eligible target.

    Attributes:
        view: what the node knows of it.
        limit: the most requests of all nodes on it.
    """

    view: TargetView
    limit: int


@dataclass(frozen=True, kw_only=True)
class Selection:
    """What a policy decided.

    Attributes:
        target: the target chosen; ``None`` if the request should wait.
        scores: the score of each option; lower is better.
    """

    target: str | None
    scores: tuple[float, ...]


class RoutingPolicy(Protocol):
    """Chooses among targets that may run a request."""

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Chooses a target for a request.

        Args:
            request: the request.
            forecast: the memory it will need.
            options: eligible targets; at least one.
            rivals: what peers may do at the same time.
            now: elapsed time of the views' clock.
        """
        ...


routing_policies: Registry[RoutingPolicy] = Registry(kind="routing policy")


@routing_policies.register("predicted_memory")
class PredictedMemory:
    """Takes the target with the most room by forecast, if there is any.

    The score is the forecast's peak as a fraction of usable memory, less a
    bonus for the part of the prompt that is probably cached there.
    """

    def __init__(
        self, *, settings: PolicySettings, source: random.Random
    ) -> None:
        self._settings = settings
        self._random = source.random
        self._deviations = settings.admission.get_deviations()

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Chooses a target, or none if the request fits nowhere."""
        scores = [self._score(request, option, now) for option in options]
        spread = self._settings.spread
        draw = self._random
        drawn = [score + spread * draw() for score in scores]
        ranked = sorted(range(len(drawn)), key=drawn.__getitem__)
        target = self._find_fit(forecast, options, ranked, rivals, now)
        return Selection(target=target, scores=tuple(scores))

    def _find_fit(
        self,
        forecast: Forecast,
        options: Sequence[Option],
        ranked: Sequence[int],
        rivals: Rivals,
        now: timedelta,
    ) -> str | None:
        queued = (rivals.queued_tokens,) * len(HORIZONS_TOKENS)
        shared = add_forecasts(
            (
                scale_forecast(forecast, 1 + rivals.unseen),
                Forecast(means=queued),
            )
        )
        for index in ranked[: self._settings.max_checked]:
            name = options[index].view.name
            has_turn = rivals.turns.include(name)
            # On its turn a node has no rivals.
            need = forecast if has_turn else shared
            if self._fits(need, options[index], now):
                return name
        return None

    def _score(
        self, request: PlacementRequest, option: Option, now: timedelta
    ) -> float:
        view = option.view
        score = view.pressure
        if not score:
            return view.count_running() / max(option.limit, 1)
        hashes = request.prefix_hashes
        if hashes and view.prefixes.holds(hashes[0]):
            blocks = view.prefixes.count_expected_blocks(hashes, now)
            score -= self._settings.affinity_weight * blocks / len(hashes)
        return score

    def _fits(self, forecast: Forecast, option: Option, now: timedelta) -> bool:
        view = option.view
        if view.count_running() >= option.limit:
            return False
        usable = view.get_usable_tokens(now)
        if not usable or view.is_blind(now):
            blind = self._settings.admission.blind_in_flight
            is_plain = view.report is not None and not usable
            if not is_plain and len(view.in_flight) >= blind:
                return False
        if not usable:
            return True
        peak = estimate_joint_peak(
            view.get_forecast(now), forecast, self._deviations
        )
        # A request that needs more than the reserve leaves still runs on an
        # engine that has nothing else to do.
        return peak <= usable or not view.count_running()


@routing_policies.register("round_robin")
class RoundRobin:
    """Takes the targets in turn."""

    def __init__(
        self, *, settings: PolicySettings, source: random.Random
    ) -> None:
        self._next = source.randrange(1 << 16)

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Takes the next target."""
        index = self._next % len(options)
        self._next += 1
        return _take(index, [0.0] * len(options), options)


@routing_policies.register("least_in_flight")
class LeastInFlight:
    """Takes the target on which this node has the fewest requests."""

    def __init__(
        self, *, settings: PolicySettings, source: random.Random
    ) -> None:
        self._random = source.random

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Takes the target with the fewest requests of this node."""
        scores = [float(len(option.view.in_flight)) for option in options]
        return _take(_find_least(scores, self._random), scores, options)


@routing_policies.register("two_choices")
class TwoChoices:
    """Draws two targets and takes the one with fewer requests."""

    def __init__(
        self, *, settings: PolicySettings, source: random.Random
    ) -> None:
        self._source = source

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Takes the better of two targets drawn at random."""
        count = min(2, len(options))
        drawn = self._source.sample(range(len(options)), count)
        scores = [_count_reported(option.view) for option in options]
        index = min(drawn, key=scores.__getitem__)
        return _take(index, scores, options)


@routing_policies.register("least_reported_memory")
class LeastReportedMemory:
    """Takes the target whose newest report shows the least memory used.

    A target that has requests waiting comes after all that have none.
    """

    def __init__(
        self, *, settings: PolicySettings, source: random.Random
    ) -> None:
        self._random = source.random

    def select(
        self,
        request: PlacementRequest,
        forecast: Forecast,
        options: Sequence[Option],
        *,
        rivals: Rivals,
        now: timedelta,
    ) -> Selection:
        """Takes the target with the least reported memory in use."""
        scores = [_get_reported_memory(option.view) for option in options]
        return _take(_find_least(scores, self._random), scores, options)


def _find_least(scores: list[float], draw: Callable[[], float]) -> int:
    return min(range(len(scores)), key=lambda index: (scores[index], draw()))


def _take(
    index: int, scores: list[float], options: Sequence[Option]
) -> Selection:
    return Selection(target=options[index].view.name, scores=tuple(scores))


def _count_reported(view: TargetView) -> float:
    report = view.report
    reported = report.running + report.waiting if report else 0
    return float(max(reported, len(view.in_flight)))


def _get_reported_memory(view: TargetView) -> float:
    report = view.report
    if report is None or not report.capacity_tokens:
        return float(len(view.in_flight))
    return report.used_tokens / report.capacity_tokens + report.waiting
