"""A node's view of each target, from load reports, peers and own requests."""

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from acaciarack.admission import (
    HORIZONS_TOKENS,
    AdmissionSettings,
    MemoryForecast,
    estimate_peak,
    forecast_generation,
    scale_forecast,
    sum_forecasts,
)
from acaciarack.digests import NodeTargetDigest
from acaciarack.lengths import LengthProfile
from acaciarack.loads import CacheEvent, LoadedModel, LoadReport
from acaciarack.prefix_index import PrefixIndex
from acaciarack.rates import Rate
from acaciarack.reservations import InFlightRequest

_MAX_REPORT_LAG = timedelta(seconds=30)
"""Maximum lag of a report; the clocks of target and node can differ."""
_MAX_SNAPSHOTS = 64
_EXPIRED = timedelta.min
"""A value of ``_valid_until`` that is always in the past."""
_RATE_HALF_LIFE = timedelta(seconds=5)
_DEFAULT_PROMPT_TOKENS = 500
"""Prompt length assumed for a request that this node did not place."""


@dataclass(frozen=True, kw_only=True)
class ViewSettings:
    """Settings of the target views.

    Attributes:
        refresh: how long a cached memory forecast stays valid.
        digest_stale: the age at which a peer's digest expires.
        max_prefix_blocks: maximum number of prefix blocks indexed per target.
        prefix_half_life: the age at which the confidence that a block is
            still cached has halved.
    """

    refresh: timedelta = timedelta(milliseconds=100)
    digest_stale: timedelta = timedelta(seconds=5)
    max_prefix_blocks: int = 512
    prefix_half_life: timedelta = timedelta(seconds=60)


@dataclass(frozen=True, kw_only=True)
class _LoadSnapshot:
    """The load of this node's and its peers' requests at one time."""

    time: timedelta
    running: int
    context_tokens: int


@dataclass(frozen=True, kw_only=True)
class _ReceivedDigest:
    digest: NodeTargetDigest
    time: timedelta


@dataclass(frozen=True, kw_only=True)
class _Residual:
    """The reported load beyond this node's requests and the peer digests."""

    running: int = 0
    context_tokens: int = 0


class TargetView:
    """A node's view of one target.

    Attributes:
        name: the target's name.
        first_seen: the elapsed time at which the node first saw the target.
        report: the newest load report; ``None`` before the first.
        in_flight: this node's requests on the target, by request id.
        prefixes: the estimated contents of the target's prefix cache.
        peak: the peak memory of the cached forecast, in tokens.
        pressure: the peak as a fraction of usable memory; 0 if unknown.
            Reading it does not refresh the forecast, so that all targets can
            be compared at low cost. It can be as old as the newest report or
            placement.
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
        self.in_flight: dict[str, InFlightRequest] = {}
        self.prefixes = PrefixIndex(
            max_blocks=settings.max_prefix_blocks,
            half_life=settings.prefix_half_life,
        )
        self._settings = settings
        self._admission = admission
        self._z_score = admission.get_z_score()
        self._get_profile = get_profile
        self._measured_at = timedelta()
        self._loaded: frozenset[LoadedModel] = frozenset()
        self._digests: dict[str, _ReceivedDigest] = {}
        self._residual = _Residual()
        self._snapshots: list[_LoadSnapshot] = []
        self._rate = Rate(half_life=_RATE_HALF_LIFE)
        self._forecast = MemoryForecast()
        self.peak = 0.0
        self.pressure = 0.0
        self._valid_until = _EXPIRED

    def record_report(
        self, report: LoadReport, *, now: timedelta, wall: datetime
    ) -> bool:
        """Records a load report; ignores it unless it is newer than the last.

        Args:
            report: the report.
            now: elapsed time of its receipt.
            wall: wall time of its receipt, from which its lag is computed.

        Returns:
            Whether the report was newer.
        """
        previous = self.report
        if previous is not None and report.time <= previous.time:
            return False
        lag = min(max(wall - report.time, timedelta()), _MAX_REPORT_LAG)
        self.report = report
        self._measured_at = now - lag
        self._loaded = frozenset(report.loaded)
        self._record_snapshot(now)
        self._residual = self._compute_residual(report)
        if previous is None:
            self._valid_until = _EXPIRED
        # Refreshes an expired forecast now, so that placements need not.
        self._refresh(now)
        return True

    def changes_eligibility(self, report: LoadReport) -> bool:
        """Returns whether a report changes which requests the target takes."""
        current = self.report
        return (
            current is None
            or current.leaving != report.leaving
            or current.loaded != report.loaded
        )

    def record_digest(
        self, node: str, digest: NodeTargetDigest, *, now: timedelta
    ) -> None:
        """Replaces the digest of a peer."""
        self._digests[node] = _ReceivedDigest(digest=digest, time=now)

    def remove_digest(self, node: str) -> None:
        """Removes the digest of a peer without requests on the target."""
        self._digests.pop(node, None)

    def record_cache_event(self, event: CacheEvent, *, now: timedelta) -> None:
        """Applies a cache event to the prefix index."""
        self.prefixes.record_event(event, now)

    def add(self, request: InFlightRequest, *, now: timedelta) -> None:
        """Reserves memory for a request that is placed on the target."""
        self._rate.record(now)
        self._refresh(now)
        added = (self._forecast, request.get_forecast())
        self._set_forecast(sum_forecasts(added), now)
        self.in_flight[request.request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Releases the memory of a request."""
        request = self.in_flight.pop(request_id, None)
        if request is None:
            return
        self._valid_until = _EXPIRED
        # Approximate values until the next refresh of the forecast.
        if self.peak:
            remaining = max(0.0, self.peak - request.count_context())
            self.pressure *= remaining / self.peak
            self.peak = remaining

    def can_run(self, model: LoadedModel | None) -> bool:
        """Returns whether the target has loaded the model.

        Also returns true without a model, or if the loaded models are unknown.
        """
        return model is None or not self._loaded or model in self._loaded

    def get_report_age(self, now: timedelta) -> timedelta | None:
        """Returns the time since the newest report was measured, if any."""
        return None if self.report is None else now - self._measured_at

    def lacks_fresh_report(self, now: timedelta) -> bool:
        """Returns whether there is no load report or only a stale one."""
        age = self.get_report_age(now)
        return age is None or age >= self._admission.stale

    def get_usable_tokens(self, now: timedelta) -> float:
        """Returns the memory available for placements; 0 without a report.

        The usable fraction of the capacity depends on the report's age.
        """
        if self.report is None:
            return 0.0
        age = now - self._measured_at
        fraction = self._admission.get_usable_fraction(age)
        return self.report.capacity_tokens * fraction

    def count_running(self) -> int:
        """Returns the estimated number of all nodes' requests on the target."""
        peers = sum(
            received.digest.running for received in self._digests.values()
        )
        return len(self.in_flight) + peers + self._residual.running

    def get_forecast(self, now: timedelta) -> MemoryForecast:
        """Returns the memory forecast for the requests of all nodes."""
        self._refresh(now)
        return self._forecast

    def build_digest(self, now: timedelta) -> NodeTargetDigest:
        """Builds the digest of this node's requests on the target."""
        local = sum_forecasts(self._list_local_forecasts())
        return NodeTargetDigest(
            target=self.name,
            running=len(self.in_flight),
            context_tokens=self.count_local_context(),
            means=local.means,
            variances=local.variances,
            placements_per_second=self._rate.get(now),
        )

    def _refresh(self, now: timedelta) -> None:
        if now < self._valid_until:
            return
        self._evict_stale_digests(now)
        forecasts = self._list_local_forecasts()
        forecasts += self._list_peer_forecasts(now)
        self._set_forecast(sum_forecasts(forecasts), now)
        self._valid_until = now + self._settings.refresh

    def _list_local_forecasts(self) -> list[MemoryForecast]:
        """Lists the forecasts of this node's requests.

        The last item adds the tokens received since those forecasts.
        """
        local = self.in_flight.values()
        forecasts = [request.get_forecast() for request in local]
        drift = float(
            sum(request.count_tokens_since_forecast() for request in local)
        )
        means = (drift,) * len(HORIZONS_TOKENS)
        forecasts.append(MemoryForecast(means=means))
        return forecasts

    def _set_forecast(self, forecast: MemoryForecast, now: timedelta) -> None:
        self._forecast = forecast
        self.peak = estimate_peak(forecast, self._z_score)
        usable = self.get_usable_tokens(now)
        self.pressure = self.peak / usable if usable else 0.0

    def _evict_stale_digests(self, now: timedelta) -> None:
        limit = self._settings.digest_stale
        old = [
            node
            for node, received in self._digests.items()
            if now - received.time > limit
        ]
        for node in old:
            del self._digests[node]

    def _list_peer_forecasts(self, now: timedelta) -> list[MemoryForecast]:
        """Lists forecasts of the requests that this node did not place.

        They cover the peer digests, the estimated placements of the peers
        since then, and the residual load.
        """
        forecasts = []
        unreported_requests = 0.0
        for received in self._digests.values():
            digest = received.digest
            forecasts.append(
                MemoryForecast(means=digest.means, variances=digest.variances)
            )
            age = (now - received.time).total_seconds()
            unreported_requests += digest.placements_per_second * age
        if unreported_requests:
            forecasts.append(self._forecast_untracked(unreported_requests, 0.0))
        residual = self._residual
        if residual.running:
            context = residual.context_tokens / residual.running
            forecasts.append(
                self._forecast_untracked(residual.running, context)
            )
        return forecasts

    def _forecast_untracked(
        self, count: float, context: float
    ) -> MemoryForecast:
        """Forecasts requests from their number and mean context size.

        A ``context`` of 0 stands for an unknown size.
        """
        context = context or _DEFAULT_PROMPT_TOKENS
        one = forecast_generation(
            profile=self._get_profile(),
            context_tokens=round(context),
            age_tokens=max(0, round(context - _DEFAULT_PROMPT_TOKENS)),
            max_output_tokens=1 << 30,
        )
        return scale_forecast(one, count)

    def _record_snapshot(self, now: timedelta) -> None:
        digests = [received.digest for received in self._digests.values()]
        peers = sum(digest.context_tokens for digest in digests)
        running = sum(digest.running for digest in digests)
        del self._snapshots[:-_MAX_SNAPSHOTS]
        self._snapshots.append(
            _LoadSnapshot(
                time=now,
                running=len(self.in_flight) + running,
                context_tokens=self.count_local_context() + peers,
            )
        )

    def count_local_context(self) -> int:
        """Returns the tokens of memory that this node's requests use now."""
        return sum(
            request.count_context() for request in self.in_flight.values()
        )

    def _compute_residual(self, report: LoadReport) -> _Residual:
        """Returns the reported load minus the load in a snapshot.

        Uses the first snapshot taken at or after the measurement. Returns no
        load unless both differences are positive.
        """
        index = bisect_left(
            self._snapshots, self._measured_at, key=_get_snapshot_time
        )
        snapshot = self._snapshots[min(index, len(self._snapshots) - 1)]
        running = report.running + report.waiting - snapshot.running
        context = report.used_tokens - snapshot.context_tokens
        if running <= 0 or context <= 0:
            return _Residual()
        return _Residual(running=running, context_tokens=context)


def _get_snapshot_time(snapshot: _LoadSnapshot) -> timedelta:
    return snapshot.time
