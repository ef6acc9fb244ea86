"""The targets of each pool with what the node knows of them."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.admission import AdmissionSettings
from acaciarack.configuration import Configuration, ModelChoice, list_pool
from acaciarack.health import HealthSettings, TargetHealth
from acaciarack.lengths import LengthProfile
from acaciarack.loads import LoadedModel
from acaciarack.placement import Candidate, PlacementRequest
from acaciarack.policies import Option
from acaciarack.views import TargetView, ViewSettings

_SETTLING = timedelta(seconds=5)
_MAX_CANDIDATES = 67
_MAX_EXPLAINED = 6
_OPTIONS_KEPT = timedelta(seconds=1)


@dataclass(frozen=True, kw_only=True)
class Options:
    """The targets of a pool as one decision sees them.

    Attributes:
        eligible: targets that may run the request.
        rejected: names of the others, each with the reason.
    """

    eligible: tuple[Option, ...]
    rejected: tuple[tuple[str, str], ...]


@dataclass(frozen=True, kw_only=True)
class _Kept:
    options: Options
    until: timedelta


class TargetPools:
    """Views and health of all targets in the present configuration."""

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
        started: timedelta,
    ) -> None:
        self._get_configuration = get_configuration
        self._is_available = is_available
        self._get_profile = get_profile
        self._view_settings = views
        self._admission = admission
        self._health_settings = health
        self._data_centre = data_centre
        self._started = started
        self._version = -1
        self._names: dict[str, tuple[str, ...]] = {}
        self._views: dict[str, TargetView] = {}
        self._health: dict[str, TargetHealth] = {}
        self._absent: set[str] = set()
        self._options: dict[tuple[str, LoadedModel | None], _Kept] = {}

    def get_view(self, target: str) -> TargetView | None:
        """Returns the view of a target, if it is known."""
        return self._views.get(target)

    def get_health(self, target: str) -> TargetHealth | None:
        """Returns the health of a target, if it is known."""
        return self._health.get(target)

    def iterate_views(self) -> list[TargetView]:
        """Returns the views of all known targets."""
        return list(self._views.values())

    def synchronise(self, now: timedelta) -> None:
        """Follows the configuration in force."""
        configuration = self._get_configuration()
        if configuration.version == self._version:
            return
        self._version = configuration.version
        self._names.clear()
        self.forget_options()
        for name in configuration.targets:
            if name not in self._views:
                self._add_target(name, now)
        gone = [
            name
            for name, view in self._views.items()
            if name not in configuration.targets and not view.in_flight
        ]
        for name in gone:
            del self._views[name]
            del self._health[name]
            self._absent.discard(name)

    def list_options(
        self, request: PlacementRequest, now: timedelta
    ) -> Options:
        """Lists the targets of the request's pool.

        What is found is used again for a moment, since it is the same for
        all requests of a pool and a model; ``is_usable`` tells in the end
        whether a target that was chosen can still be used.
        """
        key = (request.route.pool, _get_model(request.choice))
        kept = self._options.get(key)
        if kept is None or now >= kept.until:
            options = self._find_options(*key, now)
            kept = _Kept(options=options, until=now + _OPTIONS_KEPT)
            self._options[key] = kept
        if request.excluded:
            return _exclude(kept.options, request.excluded)
        return kept.options

    def is_usable(self, name: str, now: timedelta) -> bool:
        """Returns whether a target may get a request at this moment."""
        return not self._find_reason(self._views[name], now)

    def forget_options(self) -> None:
        """Makes the next decision look at each target anew."""
        self._options.clear()

    def _find_options(
        self, pool: str, model: LoadedModel | None, now: timedelta
    ) -> Options:
        eligible = []
        rejected = []
        for name in self._list_names(pool):
            view = self._views[name]
            reason = self._find_reason(view, now)
            if not reason and not view.can_run(model):
                reason = "the model is not loaded"
            if reason:
                rejected.append((name, reason))
            else:
                limit = self._health[name].get_limit(now)
                eligible.append(Option(view=view, limit=limit))
        return Options(eligible=tuple(eligible), rejected=tuple(rejected))

    def _add_target(self, name: str, now: timedelta) -> None:
        self._views[name] = TargetView(
            name=name,
            first_seen=now,
            settings=self._view_settings,
            admission=self._admission,
            get_profile=self._get_profile,
        )
        self._health[name] = TargetHealth(settings=self._health_settings)
        if now - self._started > _SETTLING:
            self._health[name].start_ramp(now)

    def _list_names(self, pool: str) -> tuple[str, ...]:
        names = self._names.get(pool)
        if names is None:
            targets = list_pool(self._get_configuration(), pool)
            if len(targets) > _MAX_CANDIDATES:
                near = [
                    target
                    for target in targets
                    if target.data_centre == self._data_centre
                ]
                targets = (near or targets)[:_MAX_CANDIDATES]
            names = tuple(target.name for target in targets)
            self._names[pool] = names
        return names

    def _find_reason(self, view: TargetView, now: timedelta) -> str:
        """Returns why a target gets nothing new; empty if it may."""
        name = view.name
        if not self._is_available(name):
            self._absent.add(name)
            return "it is not available"
        health = self._health[name]
        if name in self._absent:
            self._absent.discard(name)
            health.start_ramp(now)
        if health.is_ejected(now):
            return "it was ejected after failures"
        if view.report is not None and view.report.leaving:
            return "it is leaving"
        return ""


def _exclude(options: Options, excluded: frozenset[str]) -> Options:
    """Moves targets that failed the request before to those rejected."""
    eligible = tuple(
        option
        for option in options.eligible
        if option.view.name not in excluded
    )
    failed = tuple(
        (option.view.name, "it failed this request before")
        for option in options.eligible
        if option.view.name in excluded
    )
    return Options(eligible=eligible, rejected=options.rejected + failed)


def _get_model(choice: ModelChoice | None) -> LoadedModel | None:
    if choice is None:
        return None
    return LoadedModel(
        model=choice.model, adapter=choice.adapter, version=choice.version
    )


def explain_options(
    options: Options, scores: tuple[float, ...], now: timedelta
) -> tuple[Candidate, ...]:
    """Builds the explanation of a decision, the best candidates first."""
    best = sorted(range(len(scores)), key=scores.__getitem__)
    candidates = [
        _explain_option(scores[index], options.eligible[index].view, now)
        for index in best[:_MAX_EXPLAINED]
    ]
    room = _MAX_EXPLAINED - len(candidates)
    candidates += [
        Candidate(
            target=name,
            score=0.0,
            free_tokens=0.0,
            report_age=None,
            rejected=reason,
        )
        for name, reason in options.rejected[:room]
    ]
    return tuple(candidates)


def _explain_option(
    score: float, view: TargetView, now: timedelta
) -> Candidate:
    return Candidate(
        target=view.name,
        score=score,
        free_tokens=view.get_usable_tokens(now) - view.peak,
        report_age=view.get_report_age(now),
    )
