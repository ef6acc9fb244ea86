"""The targets of each pool: their load, their health and their eligibility."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.admission import AdmissionSettings
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    list_pool_targets,
)
from acaciarack.health import HealthSettings, TargetHealth
from acaciarack.lengths import LengthProfile
from acaciarack.loads import LoadedModel
from acaciarack.placement import Candidate, PlacementRequest
from acaciarack.policies import EligibleTarget
from acaciarack.views import TargetView, ViewSettings

# If a target appears later than this after the node's start, its concurrency
# limit is ramped up.
_STARTUP_PERIOD = timedelta(seconds=5)
# Maximum number of targets that the node considers in a pool. In a larger
# pool it considers only targets in its own data centre, if there are any.
_MAX_TARGETS = 67
_MAX_REPORTED_CANDIDATES = 6
_CACHE_TTL = timedelta(seconds=1)


@dataclass(frozen=True, kw_only=True)
class FilteredTargets:
    """The targets of a pool, split by whether they may run a request.

    Attributes:
        eligible: targets that may run the request.
        rejected: the name of each other target and the reason of its
            rejection.
    """

    eligible: tuple[EligibleTarget, ...]
    rejected: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class _CacheEntry:
    filtered: FilteredTargets
    expires_at: timedelta


class TargetPools:
    """Views and health of all targets in the current configuration."""

    def __init__(
        self,
        *,
        get_configuration: Callable[[], Configuration],
        is_available: Callable[[str], bool],
        get_profile: Callable[[], LengthProfile],
        views: ViewSettings,
        admission: AdmissionSettings,
        health: HealthSettings,
        data_centre: str,
        started_at: timedelta,
    ) -> None:
        self._get_configuration = get_configuration
        self._is_available = is_available
        self._get_profile = get_profile
        self._view_settings = views
        self._admission = admission
        self._health_settings = health
        self._data_centre = data_centre
        self._started_at = started_at
        self._version = -1
        self._target_names: dict[str, tuple[str, ...]] = {}
        self._views: dict[str, TargetView] = {}
        self._health: dict[str, TargetHealth] = {}
        self._unavailable: set[str] = set()
        self._cache: dict[tuple[str, LoadedModel | None], _CacheEntry] = {}

    def get_view(self, target: str) -> TargetView | None:
        """Returns the view of a target, or ``None`` if it is unknown."""
        return self._views.get(target)

    def get_health(self, target: str) -> TargetHealth | None:
        """Returns the health of a target, or ``None`` if it is unknown."""
        return self._health.get(target)

    def list_views(self) -> list[TargetView]:
        """Returns the views of all known targets."""
        return list(self._views.values())

    def apply_configuration(self, now: timedelta) -> None:
        """Adds and removes targets if the configuration has changed.

        A target that still runs requests of this node is kept. The first
        configuration change after they have finished removes it.
        """
        configuration = self._get_configuration()
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._target_names.clear()
        self.clear_cache()
        for name in configuration.targets:
            if name not in self._views:
                self._add_target(name, now)
        removed = [
            name
            for name, view in self._views.items()
            if name not in configuration.targets and not view.in_flight
        ]
        for name in removed:
            del self._views[name]
            del self._health[name]
            self._unavailable.discard(name)

    def filter_targets(
        self, request: PlacementRequest, now: timedelta
    ) -> FilteredTargets:
        """Splits the targets of the request's pool by eligibility.

        The result is the same for all requests of a pool and a model, and is
        cached for ``_CACHE_TTL``. A caller must check the chosen target with
        ``is_accepting``, because the cached result may be out of date.
        """
        key = (request.route.pool, _get_model(request.choice))
        entry = self._cache.get(key)
        if entry is None or now >= entry.expires_at:
            filtered = self._filter_pool(*key, now)
            entry = _CacheEntry(filtered=filtered, expires_at=now + _CACHE_TTL)
            self._cache[key] = entry
        if request.excluded:
            return _exclude_targets(entry.filtered, request.excluded)
        return entry.filtered

    def is_accepting(self, name: str, now: timedelta) -> bool:
        """Returns whether a target may get new requests now."""
        return not self._get_rejection_reason(self._views[name], now)

    def clear_cache(self) -> None:
        """Clears the cached results of ``filter_targets``."""
        self._cache.clear()

    def _filter_pool(
        self, pool: str, model: LoadedModel | None, now: timedelta
    ) -> FilteredTargets:
        eligible = []
        rejected = []
        for name in self._list_target_names(pool):
            view = self._views[name]
            reason = self._get_rejection_reason(view, now)
            if not reason and not view.can_run(model):
                reason = "the model is not loaded"
            if reason:
                rejected.append((name, reason))
            else:
                limit = self._health[name].get_limit(now)
                eligible.append(EligibleTarget(view=view, limit=limit))
        return FilteredTargets(
            eligible=tuple(eligible), rejected=tuple(rejected)
        )

    def _add_target(self, name: str, now: timedelta) -> None:
        self._views[name] = TargetView(
            name=name,
            first_seen=now,
            settings=self._view_settings,
            admission=self._admission,
            get_profile=self._get_profile,
        )
        self._health[name] = TargetHealth(settings=self._health_settings)
        if now - self._started_at > _STARTUP_PERIOD:
            self._health[name].start_ramp(now)

    def _list_target_names(self, pool: str) -> tuple[str, ...]:
        names = self._target_names.get(pool)
        if names is None:
            targets = list_pool_targets(self._get_configuration(), pool)
            if len(targets) > _MAX_TARGETS:
                nearby = [
                    target
                    for target in targets
                    if target.data_centre == self._data_centre
                ]
                targets = (nearby or targets)[:_MAX_TARGETS]
            names = tuple(target.name for target in targets)
            self._target_names[pool] = names
        return names

    def _get_rejection_reason(self, view: TargetView, now: timedelta) -> str:
        """Returns why a target gets no new requests, or an empty string.

        Starts to ramp up the concurrency limit of a target that has become
        available again.
        """
        name = view.name
        if not self._is_available(name):
            self._unavailable.add(name)
            return "it is not available"
        health = self._health[name]
        if name in self._unavailable:
            self._unavailable.discard(name)
            health.start_ramp(now)
        if health.is_ejected(now):
            return "it was ejected after failures"
        if view.report is not None and view.report.leaving:
            return "it is leaving"
        return ""


def _exclude_targets(
    filtered: FilteredTargets, excluded: frozenset[str]
) -> FilteredTargets:
    """Moves targets that failed this request from eligible to rejected."""
    eligible = tuple(
        target
        for target in filtered.eligible
        if target.view.name not in excluded
    )
    excluded_targets = tuple(
        (target.view.name, "it failed this request before")
        for target in filtered.eligible
        if target.view.name in excluded
    )
    return FilteredTargets(
        eligible=eligible, rejected=filtered.rejected + excluded_targets
    )


def _get_model(choice: ModelChoice | None) -> LoadedModel | None:
    if choice is None:
        return None
    return LoadedModel(
        model=choice.model, adapter=choice.adapter, version=choice.version
    )


def build_candidates(
    filtered: FilteredTargets, scores: tuple[float, ...], now: timedelta
) -> tuple[Candidate, ...]:
    """Describes the best targets of a decision for explanations.

    Returns at most ``_MAX_REPORTED_CANDIDATES``: the eligible targets, the
    lowest score first, then the rejected ones.
    """
    best = sorted(range(len(scores)), key=scores.__getitem__)
    candidates = [
        _build_candidate(scores[index], filtered.eligible[index].view, now)
        for index in best[:_MAX_REPORTED_CANDIDATES]
    ]
    remaining = _MAX_REPORTED_CANDIDATES - len(candidates)
    candidates += [
        Candidate(
            target=name,
            score=0.0,
            free_tokens=0.0,
            report_age=None,
            rejected=reason,
        )
        for name, reason in filtered.rejected[:remaining]
    ]
    return tuple(candidates)


def _build_candidate(
    score: float, view: TargetView, now: timedelta
) -> Candidate:
    return Candidate(
        target=view.name,
        score=score,
        free_tokens=view.get_usable_tokens(now) - view.peak,
        report_age=view.get_report_age(now),
    )
