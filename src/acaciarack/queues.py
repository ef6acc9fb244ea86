"""The request queue of one pool: places, queues or refuses requests."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.admission import AdmissionSettings, MemoryForecast
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
from acaciarack.pools import FilteredTargets, TargetPools, build_candidates
from acaciarack.rates import Rate
from acaciarack.refusals import RefusalBuilder
from acaciarack.reservations import Reservations
from acaciarack.time_slots import PeerDemand, SlotSchedule
from acaciarack.views import ViewSettings
from acaciarack.wait_estimates import (
    estimate_call_wait,
    estimate_memory_wait,
    get_last_horizon,
)

# Delay suggested to the caller when no target can run the request.
_RETRY_AFTER = timedelta(seconds=2)
_ARRIVALS_HALF_LIFE = timedelta(seconds=1)
# Time from a placement until peers receive the digest that includes it.
_DIGEST_DELAY = timedelta(milliseconds=150)
# Factor on the admission z-score in wait estimates. Targets free memory
# independently of each other. Their total free memory therefore varies less,
# relative to its mean, than the free memory of one target.
_WAIT_Z_SCORE_FACTOR = 0.5


@dataclass(frozen=True, kw_only=True)
class PlacerSettings:
    """Settings of a node's placement decisions.

    Attributes:
        node: the node's name.
        data_centre: the node's data centre.
        admission: how much memory is kept in reserve.
        views: how the node tracks the load of targets.
        lengths: how output lengths are estimated.
        health: when targets are ejected, and how their concurrency limit is
            adjusted.
        retries: the retry budget of a service.
        affinity_weight: see ``PolicySettings``.
        wait_factor: the longest wait for a target, as a multiple of the
            service's objective for the time to the first token.
        max_queued: the maximum number of queued requests of a pool.
        max_queued_each: the maximum number of queued requests of one
            organisation in a pool.
        max_passed_over: a pass over the queue ends after it has skipped this
            many requests that fit on no target.
        step: the duration of an engine's decode step if none was reported.
        reconsider: the interval at which the waits of queued requests are
            estimated again.
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
class QueuedRequest:
    """A request that waits for its decision.

    Attributes:
        request: the request.
        share: the weight of its organisation.
        forecast: the KV cache memory that it will need.
        queued_at: when it was queued, in elapsed time.
        prior_wait: how long it had waited before it was queued.
        max_wait: the longest total wait, including ``prior_wait``.
    """

    request: PlacementRequest
    share: float
    forecast: MemoryForecast
    queued_at: timedelta
    prior_wait: timedelta
    max_wait: timedelta

    def get_cost(self) -> float:
        """Returns its largest expected memory in tokens; 1 for a plain call."""
        return max(1.0, *self.forecast.means)

    def get_waited(self, now: timedelta) -> timedelta:
        """Returns how long it has waited."""
        return self.prior_wait + now - self.queued_at

    def get_remaining_wait(self, now: timedelta) -> timedelta:
        """Returns how long it may still wait."""
        return self.max_wait - self.get_waited(now)


DecisionSink = Callable[[PlacementRequest, Placement | Refusal], None]


class PoolQueue:
    """The queued requests of one pool."""

    def __init__(
        self,
        *,
        pool: str,
        pools: TargetPools,
        reservations: Reservations,
        settings: PlacerSettings,
        refusals: RefusalBuilder,
        rng: random.Random,
        decide: DecisionSink,
        clock: Clock,
        get_peer_queues: Callable[[str], PeerQueues],
    ) -> None:
        self._pool = pool
        self._pools = pools
        self._reservations = reservations
        self._settings = settings
        self._refusals = refusals
        self._rng = rng
        self._decide = decide
        self._clock = clock
        self._arrivals = Rate(half_life=_ARRIVALS_HALF_LIFE)
        self._get_peer_queues = get_peer_queues
        self._z_score = settings.admission.get_z_score()
        self._policies: dict[str, RoutingPolicy] = {}
        self._queue: FairQueue[QueuedRequest] = FairQueue()

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._queue

    def is_full(self, organisation: str) -> bool:
        """Returns whether the queue is full for an organisation."""
        organisation_count = self._queue.count(organisation)
        return (
            len(self._queue) >= self._settings.max_queued
            or organisation_count >= self._settings.max_queued_each
        )

    def sum_cost(self) -> float:
        """Returns the expected memory of all queued requests, in tokens."""
        return self._queue.sum_cost()

    def get(self, request_id: str) -> QueuedRequest:
        """Returns a queued request.

        Raises:
            KeyError: no request with this id is queued.
        """
        return self._queue.get(request_id).item

    def add(self, queued: QueuedRequest, *, now: timedelta) -> None:
        """Places, refuses or queues a request."""
        request = queued.request
        entry = QueueEntry(
            id=request.request_id,
            organisation=request.organisation,
            share=queued.share,
            cost=queued.get_cost(),
            priority=-request.generated_tokens,
            item=queued,
        )
        self._queue.push(entry)
        self._arrivals.record(now)
        self.serve(now)
        if request.request_id in self._queue:
            self._refuse_if_too_late(queued, now=now, tolerance=1.0)

    def discard(self, request_id: str) -> None:
        """Removes a request from the queue; ignores unknown ids."""
        self._queue.discard(request_id)

    def charge(self, organisation: str, amount: float) -> None:
        """Corrects an organisation's cost; see ``FairQueue.charge``."""
        self._queue.charge(organisation, amount)

    def serve(self, now: timedelta) -> None:
        """Places queued requests in fair order.

        Skips a request that fits on no target, and with it the other requests
        of its organisation. Stops after ``max_passed_over`` skipped requests,
        or at one that has waited for more than half of its longest wait.
        """
        passed_over: set[str] = set()
        while len(passed_over) < self._settings.max_passed_over:
            entry = self._find_next(passed_over)
            if entry is None:
                return
            if self._try_to_place(entry.item, now):
                continue
            passed_over.add(entry.id)
            if entry.item.get_waited(now) > entry.item.max_wait / 2:
                # No later request may overtake this one, so that it gets the
                # memory that targets free next.
                return

    def refuse_expired(self, now: timedelta) -> None:
        """Refuses requests whose longest allowed wait has passed."""
        for queued in self._list_requests():
            if queued.get_remaining_wait(now) <= timedelta():
                self._refuse(
                    queued,
                    code=RefusalCode.DEADLINE_EXCEEDED,
                    detail="no target became free in time",
                    retry_after=self._estimate_wait(queued, now),
                )

    def refuse_late(self, *, now: timedelta) -> None:
        """Refuses requests whose estimated wait has become much too long.

        It is too long if it exceeds twice the remaining allowed wait.
        """
        for queued in self._list_requests():
            self._refuse_if_too_late(queued, now=now, tolerance=2.0)

    def _list_requests(self) -> list[QueuedRequest]:
        return [entry.item for entry in self._queue.iterate()]

    def _find_next(
        self, passed_over: set[str]
    ) -> QueueEntry[QueuedRequest] | None:
        heads: Iterable[QueueEntry[QueuedRequest]] = self._queue.iterate_heads()
        return next(
            (head for head in heads if head.id not in passed_over), None
        )

    def _try_to_place(self, queued: QueuedRequest, now: timedelta) -> bool:
        """Places or refuses a request; returns ``False`` if it must wait."""
        request = queued.request
        filtered = self._pools.filter_targets(request, now)
        if not filtered.eligible:
            reasons = sorted({reason for _, reason in filtered.rejected})
            detail = "; ".join(reasons) or f"pool {self._pool!r} is empty"
            self._refuse(
                queued,
                code=RefusalCode.NO_TARGET,
                detail=f"no target can run the request: {detail}",
                retry_after=_RETRY_AFTER,
            )
            return True
        policy = self._get_policy(request.route.policy)
        selection = policy.select(
            request,
            queued.forecast,
            filtered.eligible,
            peer_demand=self._estimate_peer_demand(now),
            now=now,
        )
        if selection.target is None:
            return False
        if not self._pools.is_accepting(selection.target, now):
            # The cached eligibility is out of date.
            self._pools.clear_cache()
            return self._try_to_place(queued, now)
        self._queue.dequeue(request.request_id)
        self._place(queued, selection.target, selection, filtered, now)
        return True

    def _estimate_peer_demand(self, now: timedelta) -> PeerDemand:
        """Estimates the demand of peers on the pool's targets.

        Assumes that each peer receives requests at the same rate as this
        node. The newest digests do not include the requests that peers placed
        during the last ``_DIGEST_DELAY``.
        """
        peers = self._get_peer_queues(self._pool)
        per_peer = self._arrivals.get(now) * _DIGEST_DELAY.total_seconds()
        schedule = SlotSchedule(
            node=self._settings.node,
            peers=peers.nodes,
            now=self._clock.now(),
        )
        return PeerDemand(
            schedule=schedule,
            unreported_requests=per_peer * len(peers.nodes),
            queued_tokens=peers.tokens,
        )

    def _place(
        self,
        queued: QueuedRequest,
        target: str,
        selection: Selection,
        filtered: FilteredTargets,
        now: timedelta,
    ) -> None:
        request = queued.request
        placement = Placement(
            target=target,
            priority=self._compute_priority(queued, now),
            reserved_tokens=round(queued.get_cost()) if request.choice else 0,
            waited=queued.get_waited(now),
            candidates=build_candidates(filtered, selection.scores, now),
        )
        running = self._reservations.reserve(
            request,
            target=target,
            cost=queued.get_cost(),
            forecast=queued.forecast,
            now=now,
        )
        view = self._pools.get_view(target)
        if view is not None:
            view.add(running, now=now)
            view.prefixes.record_stored(request.prefix_hashes, now)
        self._decide(request, placement)

    def _compute_priority(self, queued: QueuedRequest, now: timedelta) -> int:
        request = queued.request
        waited = queued.get_waited(now)
        is_over_share = self._reservations.exceeds_mean_share(
            request.organisation
        )
        return compute_priority(
            generated_tokens=request.generated_tokens,
            waited_fraction=waited / queued.max_wait
            if queued.max_wait
            else 1.0,
            is_over_share=is_over_share,
        )

    def _get_policy(self, name: str) -> RoutingPolicy:
        policy = self._policies.get(name)
        if policy is None:
            settings = PolicySettings(
                admission=self._settings.admission,
                affinity_weight=self._settings.affinity_weight,
            )
            policy = routing_policies.create(
                name, settings=settings, rng=self._rng
            )
            self._policies[name] = policy
        return policy

    def _estimate_wait(
        self, queued: QueuedRequest, now: timedelta
    ) -> timedelta:
        """Estimates how long a queued request has to wait for a target.

        For a generation, the result is at most the last forecast horizon.
        """
        request = queued.request
        targets = self._pools.filter_targets(request, now).eligible
        ahead = self._queue.sum_cost_before(request.request_id)
        if request.choice is None:
            duration = self._reservations.get_mean_duration(
                request.service.name
            )
            return estimate_call_wait(
                targets, ahead=round(ahead), duration=duration
            )
        peers = self._get_peer_queues(self._pool)
        wait = estimate_memory_wait(
            targets,
            needed_tokens=ahead + peers.tokens + queued.get_cost(),
            z_score=self._z_score * _WAIT_Z_SCORE_FACTOR,
            step=self._settings.step,
            now=now,
        )
        if wait is None:
            return get_last_horizon(self._settings.step)
        return wait

    def _refuse_if_too_late(
        self, queued: QueuedRequest, *, now: timedelta, tolerance: float
    ) -> None:
        """Refuses a request whose estimated wait is too long.

        Args:
            queued: the request.
            now: elapsed time.
            tolerance: the request is refused if its estimated wait is longer
                than its remaining allowed wait times this factor.
        """
        wait = self._estimate_wait(queued, now)
        remaining = queued.get_remaining_wait(now)
        if wait <= remaining * tolerance:
            return
        self._refuse(
            queued,
            code=RefusalCode.OVERLOADED,
            detail=(
                f"a target is forecast to be free in {wait.total_seconds():.1f}"
                f" s; the request may wait {remaining.total_seconds():.1f} s"
            ),
            retry_after=wait - remaining,
        )

    def _refuse(
        self,
        queued: QueuedRequest,
        *,
        code: RefusalCode,
        detail: str,
        retry_after: timedelta,
    ) -> None:
        request = queued.request
        self._queue.discard(request.request_id)
        refusal = self._refusals.build(
            request, code=code, detail=detail, retry_after=retry_after
        )
        self._decide(request, refusal)
