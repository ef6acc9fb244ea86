"""The queue of one pool: places requests, lets them wait or refuses them."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.admission import AdmissionSettings, Forecast
from acaciarack.budgets import RetryBudgetSettings
from acaciarack.clock import Clock
from acaciarack.digests import PeerQueues
from acaciarack.errors import Refusal, RefusalCode
from acaciarack.fairness import FairQueue, QueueEntry, compute_priority
from acaciarack.health import HealthSettings
from acaciarack.lengths import LengthSettings
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.policies import (
    PolicySettings,
    RoutingPolicy,
    Selection,
    routing_policies,
)
from acaciarack.pools import Options, TargetPools, explain_options
from acaciarack.rates import Rate
from acaciarack.refusals import RefusalBuilder
from acaciarack.reservations import Reservations
from acaciarack.turns import Rivals, Turns
from acaciarack.views import ViewSettings
from acaciarack.waits import (
    forecast_call_wait,
    forecast_memory_wait,
    get_last_horizon,
)

_SHORT_RETRY = timedelta(seconds=2)
_ARRIVALS_HALF_LIFE = timedelta(seconds=1)
# The time from a placement until peers have the digest that tells of it.
_BLIND = timedelta(milliseconds=150)
# Targets free memory independently of each other, so all of them together
# vary less than each one does.
_WAIT_DEVIATIONS = 0.5


@dataclass(frozen=True, kw_only=True)
class PlacerSettings:
    """How a node decides.

    Attributes:
        node: the node's name, for its peers.
        data_centre: where it stands.
        admission: how much memory is left free.
        views: how views are kept.
        lengths: how lengths are estimated.
        health: when targets are ejected and limited.
        retries: how many retries are allowed.
        affinity_weight: see ``PolicySettings``.
        wait_factor: the longest wait for a target, as a multiple of the
            service's objective for the first token.
        max_queued: the most queued requests of a pool.
        max_queued_each: the most of them from one organisation.
        max_passed_over: the most requests that do not fit before the search
            for one that does ends.
        step: the duration of an engine's step if none was reported.
        reconsider: how often queued requests are forecast anew.
    """

    node: str = "node"
    data_centre: str = ""
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    views: ViewSettings = field(default_factory=ViewSettings)
    lengths: LengthSettings = field(default_factory=LengthSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    retries: RetryBudgetSettings = field(default_factory=RetryBudgetSettings)
    affinity_weight: float = 0.05
    wait_factor: float = 1.0
    max_queued: int = 1024
    max_queued_each: int = 512
    max_passed_over: int = 8
    step: timedelta = timedelta(milliseconds=40)
    reconsider: timedelta = timedelta(milliseconds=500)


@dataclass(frozen=True, kw_only=True)
class Offer:
    """A request that waits for its decision.

    Attributes:
        request: the request.
        share: its organisation's weight.
        forecast: the memory that it will need.
        offered: when it was offered, in elapsed time.
        waited_before: how long it had waited by then.
        limit: the longest that it may wait in all.
    """

    request: PlacementRequest
    share: float
    forecast: Forecast
    offered: timedelta
    waited_before: timedelta
    limit: timedelta

    def get_cost(self) -> float:
        """Returns its expected memory in tokens; 1 for a plain call."""
        return max(1.0, *self.forecast.means)

    def get_waited(self, now: timedelta) -> timedelta:
        """Returns how long it has waited."""
        return self.waited_before + now - self.offered

    def get_left(self, now: timedelta) -> timedelta:
        """Returns how long it may still wait."""
        return self.limit - self.get_waited(now)


DecisionSink = Callable[[PlacementRequest, Placement | Refusal], None]


class PoolQueue:
    """The requests of one pool that have not been decided on."""

    def __init__(
        self,
        *,
        pool: str,
        pools: TargetPools,
        reservations: Reservations,
        settings: PlacerSettings,
        refusals: RefusalBuilder,
        source: random.Random,
        decide: DecisionSink,
        clock: Clock,
        get_peers: Callable[[str], PeerQueues],
    ) -> None:
        self._pool = pool
        self._pools = pools
        self._reservations = reservations
        self._settings = settings
        self._refusals = refusals
        self._random = source
        self._decide = decide
        self._clock = clock
        self._arrivals = Rate(half_life=_ARRIVALS_HALF_LIFE)
        self._get_peers = get_peers
        self._deviations = settings.admission.get_deviations()
        self._policies: dict[str, RoutingPolicy] = {}
        self._queue: FairQueue[Offer] = FairQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queue

    def is_full(self, organisation: str) -> bool:
        """Returns whether the queue takes nothing from an organisation."""
        own = self._queue.count(organisation)
        return (
            len(self._queue) >= self._settings.max_queued
            or own >= self._settings.max_queued_each
        )

    def sum_cost(self) -> float:
        """Returns the memory that the queued requests will need."""
        return self._queue.sum_cost()

    def get(self, request_id: str) -> Offer:
        """Returns a queued offer.

        Raises:
            KeyError: no request with this id is queued.
        """
        return self._queue.get(request_id).item

    def add(self, offer: Offer, *, now: timedelta) -> None:
        """Takes a request: places it, refuses it or lets it wait."""
        request = offer.request
        entry = QueueEntry(
            id=request.request_id,
            organisation=request.organisation,
            share=offer.share,
            cost=offer.get_cost(),
            priority=-request.tokens_done,
            item=offer,
        )
        self._queue.push(entry)
        self._arrivals.record(now)
        self.serve(now)
        if request.request_id in self._queue:
            self._refuse_if_late(offer, now=now, slack=1.0)

    def discard(self, request_id: str) -> None:
        """Takes a request out; unknown ids are ignored."""
        self._queue.discard(request_id)

    def charge(self, organisation: str, amount: float) -> None:
        """Corrects an organisation's cost, see ``FairQueue.charge``."""
        self._queue.charge(organisation, amount)

    def serve(self, now: timedelta) -> None:
        """Places queued requests in fair order while they fit."""
        passed_over: set[str] = set()
        while len(passed_over) < self._settings.max_passed_over:
            entry = self._find_next(passed_over)
            if entry is None:
                return
            if self._try_to_place(entry.item, now):
                continue
            passed_over.add(entry.id)
            if entry.item.get_waited(now) > entry.item.limit / 2:
                # What is freed from now on goes to this request first.
                return

    def drop_expired(self, now: timedelta) -> None:
        """Refuses requests that have waited as long as they may."""
        for offer in self._list_offers():
            if offer.get_left(now) <= timedelta():
                self._refuse(
                    offer,
                    code=RefusalCode.DEADLINE_EXCEEDED,
                    detail="no target became free in time",
                    retry_after=self._forecast_wait(offer, now),
                )

    def drop_late(self, *, now: timedelta) -> None:
        """Refuses requests whose forecast has become much too late."""
        for offer in self._list_offers():
            self._refuse_if_late(offer, now=now, slack=2.0)

    def _list_offers(self) -> list[Offer]:
        return [entry.item for entry in self._queue.iterate()]

    def _find_next(self, passed_over: set[str]) -> QueueEntry[Offer] | None:
        heads: Iterable[QueueEntry[Offer]] = self._queue.iterate_heads()
        return next(
            (head for head in heads if head.id not in passed_over), None
        )

    def _try_to_place(self, offer: Offer, now: timedelta) -> bool:
        """Places or refuses a request; returns false if it has to wait."""
        request = offer.request
        options = self._pools.list_options(request, now)
        if not options.eligible:
            reasons = sorted({reason for _, reason in options.rejected})
            detail = "; ".join(reasons) or f"pool {self._pool!r} is empty"
            self._refuse(
                offer,
                code=RefusalCode.NO_TARGET,
                detail=f"no target can run the request: {detail}",
                retry_after=_SHORT_RETRY,
            )
            return True
        policy = self._get_policy(request.route.policy)
        selection = policy.select(
            request,
            offer.forecast,
            options.eligible,
            rivals=self._find_rivals(now),
            now=now,
        )
        if selection.target is None:
            return False
        if not self._pools.is_usable(selection.target, now):
            self._pools.forget_options()
            return self._try_to_place(offer, now)
        self._queue.take(request.request_id)
        self._place(offer, selection.target, selection, options, now)
        return True

    def _find_rivals(self, now: timedelta) -> Rivals:
        """Finds what peers may do before their digests tell of it."""
        peers = self._get_peers(self._pool)
        each = self._arrivals.get(now) * _BLIND.total_seconds()
        turns = Turns(
            node=self._settings.node,
            peers=peers.nodes,
            now=self._clock.now(),
        )
        return Rivals(
            turns=turns,
            unseen=each * len(peers.nodes),
            queued_tokens=peers.tokens,
        )

    def _place(
        self,
        offer: Offer,
        target: str,
        selection: Selection,
        options: Options,
        now: timedelta,
    ) -> None:
        request = offer.request
        placement = Placement(
            target=target,
            priority=self._compute_priority(offer, now),
            reserved_tokens=round(offer.get_cost()) if request.choice else 0,
            waited=offer.get_waited(now),
            candidates=explain_options(options, selection.scores, now),
        )
        running = self._reservations.reserve(
            request,
            target=target,
            cost=offer.get_cost(),
            forecast=offer.forecast,
            now=now,
        )
        view = self._pools.get_view(target)
        if view is not None:
            view.add(running, now=now)
            view.prefixes.record_stored(request.prefix_hashes, now)
        self._decide(request, placement)

    def _compute_priority(self, offer: Offer, now: timedelta) -> int:
        request = offer.request
        waited = offer.get_waited(now)
        over_share = self._reservations.has_over_share(request.organisation)
        return compute_priority(
            tokens_done=request.tokens_done,
            waited_fraction=waited / offer.limit if offer.limit else 1.0,
            over_share=over_share,
        )

    def _get_policy(self, name: str) -> RoutingPolicy:
        policy = self._policies.get(name)
        if policy is None:
            settings = PolicySettings(
                admission=self._settings.admission,
                affinity_weight=self._settings.affinity_weight,
            )
            policy = routing_policies.create(
                name, settings=settings, source=self._random
            )
            self._policies[name] = policy
        return policy

    def _forecast_wait(self, offer: Offer, now: timedelta) -> timedelta:
        """Forecasts a queued request's wait, up to the last horizon."""
        request = offer.request
        options = self._pools.list_options(request, now).eligible
        ahead = self._queue.sum_cost_before(request.request_id)
        if request.choice is None:
            duration = self._reservations.get_duration(request.service.name)
            return forecast_call_wait(
                options, ahead=round(ahead), duration=duration
            )
        peers = self._get_peers(self._pool)
        wait = forecast_memory_wait(
            options,
            needed_tokens=ahead + peers.tokens + offer.get_cost(),
            deviations=self._deviations * _WAIT_DEVIATIONS,
            step=self._settings.step,
            now=now,
        )
        if wait is None:
            return get_last_horizon(self._settings.step)
        return wait

    def _refuse_if_late(
        self, offer: Offer, *, now: timedelta, slack: float
    ) -> None:
        """Refuses a request that is forecast to start too late.

        Args:
            offer: the request.
            now: the present time.
            slack: by which factor the forecast must exceed the time left.
        """
        wait = self._forecast_wait(offer, now)
        left = offer.get_left(now)
        if wait <= left * slack:
            return
        self._refuse(
            offer,
            code=RefusalCode.OVERLOADED,
            detail=(
                f"a target is forecast to be free in {wait.total_seconds():.1f}"
                f" s; the request may wait {left.total_seconds():.1f} s"
            ),
            retry_after=wait - left,
        )

    def _refuse(
        self,
        offer: Offer,
        *,
        code: RefusalCode,
        detail: str,
        retry_after: timedelta,
    ) -> None:
        request = offer.request
        self._queue.discard(request.request_id)
        refusal = self._refusals.build(
            request, code=code, detail=detail, retry_after=retry_after
        )
        self._decide(request, refusal)
