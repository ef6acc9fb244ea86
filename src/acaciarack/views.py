"""What a node knows of its targets: reports, own and peers' generations."""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from acaciarack.admission import (
    HORIZONS_TOKENS,
    AdmissionSettings,
    Forecast,
    add_forecasts,
    estimate_peak,
    forecast_generation,
    scale_forecast,
)
from acaciarack.caches import PrefixIndex
from acaciarack.digests import TargetDigest
from acaciarack.lengths import LengthProfile
from acaciarack.loads import CacheEvent, LoadedModel, LoadReport
from acaciarack.rates import Rate
from acaciarack.reservations import InFlight

_MAX_REPORT_LAG = timedelta(seconds=30)
_SNAPSHOTS = 64
_EXPIRED = timedelta.min
_RATE_HALF_LIFE = timedelta(seconds=5)
_UNKNOWN_PROMPT_TOKENS = 500


@dataclass(frozen=True, kw_only=True)
class ViewSettings:
    """How a node keeps its views.

    Attributes:
        refresh: the longest time that a forecast is used unchanged.
        digest_stale: the age from which a peer's digest is ignored.
        max_prefix_blocks: the most prefix blocks remembered for a target.
        prefix_half_life: the age at which trust in a block has halved.
    """

    refresh: timedelta = timedelta(milliseconds=100)
    digest_stale: timedelta = timedelta(seconds=5)
    max_prefix_blocks: int = 512
    prefix_half_life: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, kw_only=True)
class _Known:
    """What own and peers' requests amount to at a time."""

    time: timedelta
    running: int
    context_tokens: int


@dataclass(frozen=True, kw_only=True)
class _Received:
    digest: TargetDigest
    time: timedelta


@dataclass(frozen=True, kw_only=True)
class _Residual:
    """What a report shows beyond own requests and peers' digests."""

    running: int = 0
    context_tokens: int = 0


class TargetView:
    """What a node knows of one target.

    Attributes:
        name: the target's name.
        first_seen: when the node first knew of the target, in the clock's
            elapsed time.
        report: the newest load report; ``None`` if there was none.
        in_flight: this node's requests on it, by request id.
        prefixes: what its prefix cache probably holds.
        peak: the highest use that the kept forecast shows, in tokens.
        pressure: that peak as a fraction of usable memory; 0 if unknown. It
            is as old as the newest report or placement, so that all targets
            can be compared without renewing every forecast.
    """

    def __init__(
        self,
        *,
        name: str,
        first_seen: timedelta,
        settings: ViewSettings,
        admission: AdmissionSettings,
        get_profile: Callable[[], LengthProfile],
    ) -> None:
        self.name = name
        self.first_seen = first_seen
        self.report: LoadReport | None = None
        self.in_flight: dict[str, InFlight] = {}
        self.prefixes = PrefixIndex(
            max_blocks=settings.max_prefix_blocks,
            half_life=settings.prefix_half_life,
        )
        self._settings = settings
        self._admission = admission
        self._deviations = admission.get_deviations()
        self._get_profile = get_profile
        self._measured = timedelta()
        self._loaded: frozenset[LoadedModel] = frozenset()
        self._digests: dict[str, _Received] = {}
        self._residual = _Residual()
        self._snapshots: list[_Known] = []
        self._rate = Rate(half_life=_RATE_HALF_LIFE)
        self._forecast = Forecast()
        self.peak = 0.0
        self.pressure = 0.0
        self._valid_until = _EXPIRED

    def record_report(
        self, report: LoadReport, *, now: timedelta, wall: datetime
    ) -> bool:
        """Takes a load report unless a newer one is known.

        Args:
            report: the report.
            now: elapsed time of its receipt.
            wall: wall time of its receipt, to tell its lag.

        Returns:
            Whether it was newer than the one known.
        """
        known = self.report
        if known is not None and report.time <= known.time:
            return False
        lag = min(max(wall - report.time, timedelta()), _MAX_REPORT_LAG)
        self.report = report
        self._measured = now - lag
        self._loaded = frozenset(report.loaded)
        self._record_known(now)
        self._residual = self._compute_residual(report)
        if known is None:
            self._valid_until = _EXPIRED
        # Keeps the forecast ready, so that decisions need not compute it.
        self._refresh(now)
        return True

    def is_changed_by(self, report: LoadReport) -> bool:
        """Returns whether a report changes what the target may run."""
        known = self.report
        return (
            known is None
            or known.leaving != report.leaving
            or known.loaded != report.loaded
        )

    def record_digest(
        self, node: str, digest: TargetDigest, *, now: timedelta
    ) -> None:
        """Takes the newest digest of a peer."""
        self._digests[node] = _Received(digest=digest, time=now)

    def forget_digest(self, node: str) -> None:
        """Drops the digest of a peer that no longer uses the target."""
        self._digests.pop(node, None)

    def record_cache_event(self, event: CacheEvent, *, now: timedelta) -> None:
        """Takes a cache event."""
        self.prefixes.record_event(event, now)

    def add(self, request: InFlight, *, now: timedelta) -> None:
        """Reserves memory for a request that goes to the target."""
        self._rate.record(now)
        self._refresh(now)
        added = (self._forecast, request.get_forecast())
        self._set_forecast(add_forecasts(added), now)
        self.in_flight[request.request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Releases the memory of a request."""
        request = self.in_flight.pop(request_id, None)
        if request is None:
            return
        self._valid_until = _EXPIRED
        if self.peak:
            left = max(0.0, self.peak - request.count_context())
            self.pressure *= left / self.peak
            self.peak = left

    def can_run(self, model: LoadedModel | None) -> bool:
        """Returns whether the model is loaded, as far as is known."""
        return model is None or not self._loaded or model in self._loaded

    def get_report_age(self, now: timedelta) -> timedelta | None:
        """Returns the time since the newest report was measured."""
        return None if self.report is None else now - self._measured

    def is_blind(self, now: timedelta) -> bool:
        """Returns whether the load is unknown or known too long ago."""
        age = self.get_report_age(now)
        return age is None or age >= self._admission.stale

    def get_usable_tokens(self, now: timedelta) -> float:
        """Returns the memory to plan with; 0 if none was reported."""
        if self.report is None:
            return 0.0
        age = now - self._measured
        fraction = self._admission.get_usable_fraction(age)
        return self.report.capacity_tokens * fraction

    def count_running(self) -> int:
        """Returns the requests of all nodes on it, as far as is known."""
        peers = sum(
            received.digest.running for received in self._digests.values()
        )
        return len(self.in_flight) + peers + self._residual.running

    def get_forecast(self, now: timedelta) -> Forecast:
        """Returns the forecast of its memory over all nodes' requests."""
        self._refresh(now)
        return self._forecast

    def build_digest(self, now: timedelta) -> TargetDigest:
        """Builds what peers should know of this node's requests on it."""
        own = add_forecasts(self._list_own_forecasts())
        return TargetDigest(
            target=self.name,
            running=len(self.in_flight),
            context_tokens=self.count_own_context(),
            means=own.means,
            variances=own.variances,
            placements_per_second=self._rate.get(now),
        )

    def _refresh(self, now: timedelta) -> None:
        if now < self._valid_until:
            return
        self._drop_old_digests(now)
        parts = self._list_own_forecasts()
        parts += self._list_peer_forecasts(now)
        self._set_forecast(add_forecasts(parts), now)
        self._valid_until = now + self._settings.refresh

    def _list_own_forecasts(self) -> list[Forecast]:
        """Lists own requests' forecasts, and what has come since then."""
        own = self.in_flight.values()
        forecasts = [each.get_forecast() for each in own]
        drift = float(sum(each.count_drift() for each in own))
        means = (drift,) * len(HORIZONS_TOKENS)
        forecasts.append(Forecast(means=means))
        return forecasts

    def _set_forecast(self, forecast: Forecast, now: timedelta) -> None:
        self._forecast = forecast
        self.peak = estimate_peak(forecast, self._deviations)
        usable = self.get_usable_tokens(now)
        self.pressure = self.peak / usable if usable else 0.0

    def _drop_old_digests(self, now: timedelta) -> None:
        limit = self._settings.digest_stale
        old = [
            node
            for node, received in self._digests.items()
            if now - received.time > limit
        ]
        for node in old:
            del self._digests[node]

    def _list_peer_forecasts(self, now: timedelta) -> list[Forecast]:
        forecasts = []
        unseen = 0.0
        for received in self._digests.values():
            digest = received.digest
            forecasts.append(
                Forecast(means=digest.means, variances=digest.variances)
            )
            age = (now - received.time).total_seconds()
            unseen += digest.placements_per_second * age
        if unseen:
            forecasts.append(self._forecast_unknown(unseen, 0.0))
        residual = self._residual
        if residual.running:
            context = residual.context_tokens / residual.running
            forecasts.append(self._forecast_unknown(residual.running, context))
        return forecasts

    def _forecast_unknown(self, count: float, context: float) -> Forecast:
        """Forecasts requests of which only number and size are known."""
        context = context or _UNKNOWN_PROMPT_TOKENS
        one = forecast_generation(
            profile=self._get_profile(),
            context_tokens=round(context),
            age_tokens=max(0, round(context - _UNKNOWN_PROMPT_TOKENS)),
            max_output_tokens=1 << 30,
        )
        return scale_forecast(one, count)

    def _record_known(self, now: timedelta) -> None:
        digests = [received.digest for received in self._digests.values()]
        peers = sum(digest.context_tokens for digest in digests)
        running = sum(digest.running for digest in digests)
        del self._snapshots[:-_SNAPSHOTS]
        self._snapshots.append(
            _Known(
                time=now,
                running=len(self.in_flight) + running,
                context_tokens=self.count_own_context() + peers,
            )
        )

    def count_own_context(self) -> int:
        """Returns the tokens that this node's requests use now."""
        return sum(each.count_context() for each in self.in_flight.values())

    def _compute_residual(self, report: LoadReport) -> _Residual:
        """Compares a report with what was known when it was measured."""
        index = bisect_left(self._snapshots, self._measured, key=_get_time)
        known = self._snapshots[min(index, len(self._snapshots) - 1)]
        running = report.running + report.waiting - known.running
        context = report.used_tokens - known.context_tokens
        if running <= 0 or context <= 0:
            return _Residual()
        return _Residual(running=running, context_tokens=context)


def _get_time(known: _Known) -> timedelta:
    return known.time
