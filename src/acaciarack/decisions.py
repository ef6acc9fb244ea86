"""Decides which request goes where, waits or is refused; never waits itself.

``DecisionCore`` is the placer without its event loop, so that experiments
drive the code that nodes run. Every method returns at once; what was decided
is fetched with ``take_decisions``.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.configuration import Configuration
from acaciarack.digests import NodeDigest, PeerQueues
from acaciarack.errors import Refusal, RefusalCode
from acaciarack.loads import CacheEvent, LoadReport
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.pools import TargetPools
from acaciarack.queues import Offer, PlacerSettings, PoolQueue
from acaciarack.refusals import RefusalBuilder
from acaciarack.reservations import InFlight, Reservations

_SHORT_RETRY = timedelta(seconds=2)
_SERVE_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True)
class Decision:
    """What became of a request that was offered.

    Attributes:
        request_id: the request.
        outcome: its placement, or why it has none.
    """

    request_id: str
    outcome: Placement | Refusal


@dataclass(frozen=True, kw_only=True)
class _Received:
    digest: NodeDigest
    time: timedelta


class DecisionCore:
    """Queues, places and refuses requests without ever waiting."""

    def __init__(
        self,
        *,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_available: Callable[[str], bool],
        settings: PlacerSettings,
        source: random.Random,
    ) -> None:
        self._clock = clock
        self._get_configuration = get_configuration
        self._settings = settings
        self._random = source
        self._refusals = RefusalBuilder(source=source)
        self._reservations = Reservations(
            clock=clock, lengths=settings.lengths, retries=settings.retries
        )
        self._pools = TargetPools(
            get_configuration=get_configuration,
            is_available=is_available,
            get_profile=self._reservations.get_profile,
            views=settings.views,
            admission=settings.admission,
            health=settings.health,
            data_centre=settings.data_centre,
            started=clock.elapsed(),
        )
        self._queues: dict[str, PoolQueue] = {}
        self._digests: dict[str, _Received] = {}
        self._decisions: list[Decision] = []
        self._reconsidered = clock.elapsed()
        self._served = clock.elapsed()
        self._freed = False

    def offer(self, request: PlacementRequest) -> None:
        """Takes a request; its decision is there at once, or it is queued."""
        now = self._clock.elapsed()
        self._pools.synchronise(now)
        pool = request.route.pool
        queue = self._get_queue(pool)
        refusal = self._check_limits(request, queue)
        if refusal is not None:
            self._decide(request, refusal)
            return
        queue.add(self._build_offer(request, now), now=now)

    def advance(self) -> None:
        """Serves the queues and refuses what can no longer start in time."""
        now = self._clock.elapsed()
        if not self._is_due(now):
            return
        self._served = now
        self._freed = False
        self._pools.synchronise(now)
        again = now - self._reconsidered >= self._settings.reconsider
        if again:
            self._reconsidered = now
        for queue in self._queues.values():
            queue.serve(now)
            queue.drop_expired(now)
            if again:
                queue.drop_late(now=now)

    def _is_due(self, now: timedelta) -> bool:
        """Returns whether a queued request might be decided on now."""
        if not any(self._queues.values()):
            return False
        return self._freed or now - self._served >= _SERVE_INTERVAL

    def get_time_left(self, request_id: str) -> timedelta | None:
        """Returns how long a queued request may still wait, if it is one."""
        now = self._clock.elapsed()
        for queue in self._queues.values():
            if request_id in queue:
                return queue.get(request_id).get_left(now)
        return None

    def take_decisions(self) -> list[Decision]:
        """Returns the decisions since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def withdraw(self, request_id: str) -> None:
        """Forgets a request whose caller left, queued or just placed."""
        for queue in self._queues.values():
            queue.discard(request_id)
        running = self._reservations.release(
            request_id, succeeded=False, now=self._clock.elapsed()
        )
        if running is None:
            return
        view = self._pools.get_view(running.target)
        if view is not None:
            view.remove(request_id)

    def record_tokens(self, request_id: str, count: int) -> None:
        """Notes more tokens of a running generation."""
        self._reservations.record_tokens(request_id, count)

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases what a placed request holds; unknown ids are ignored."""
        now = self._clock.elapsed()
        running = self._reservations.release(
            request_id, succeeded=succeeded, now=now
        )
        if running is None:
            return
        self._freed = True
        self._record_outcome(running, now, succeeded=succeeded)
        request = running.request
        if request.choice is not None:
            queue = self._get_queue(request.route.pool)
            spent = running.count_context() - running.cost
            queue.charge(request.organisation, spent)

    def record_report(self, report: LoadReport) -> None:
        """Takes a load report of a target."""
        now = self._clock.elapsed()
        self._pools.synchronise(now)
        view = self._pools.get_view(report.target)
        health = self._pools.get_health(report.target)
        if view is None or health is None:
            return
        if view.is_changed_by(report):
            self._pools.forget_options()
        if view.record_report(report, now=now, wall=self._clock.now()):
            step = timedelta(seconds=report.step_seconds)
            health.record_step(step, view.count_running(), now)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Takes a cache event of an engine."""
        view = self._pools.get_view(event.target)
        if view is not None:
            view.record_cache_event(event, now=self._clock.elapsed())

    def record_digest(self, digest: NodeDigest) -> None:
        """Takes the newest digest of a peer, in place of its last one."""
        now = self._clock.elapsed()
        self._digests[digest.node] = _Received(digest=digest, time=now)
        for finished in digest.lengths:
            self._reservations.record_shared(finished)
        used = {each.target: each for each in digest.targets}
        for view in self._pools.iterate_views():
            if view.name in used:
                view.record_digest(digest.node, used[view.name], now=now)
            else:
                view.forget_digest(digest.node)

    def count_reserved(self) -> dict[str, int]:
        """Returns the tokens that own requests use now, by target."""
        return {
            view.name: view.count_own_context()
            for view in self._pools.iterate_views()
            if view.in_flight
        }

    def build_digest(self) -> NodeDigest:
        """Builds what peers should know; each digest goes to all peers.

        The lengths of finished answers are in one digest only.
        """
        now = self._clock.elapsed()
        return NodeDigest(
            node=self._settings.node,
            queued_tokens={
                pool: queue.sum_cost()
                for pool, queue in self._queues.items()
                if len(queue)
            },
            targets=tuple(
                view.build_digest(now)
                for view in self._pools.iterate_views()
                if view.in_flight
            ),
            lengths=self._reservations.take_finished(),
        )

    def _get_queue(self, pool: str) -> PoolQueue:
        queue = self._queues.get(pool)
        if queue is None:
            queue = PoolQueue(
                pool=pool,
                pools=self._pools,
                reservations=self._reservations,
                settings=self._settings,
                refusals=self._refusals,
                source=self._random,
                decide=self._decide,
                clock=self._clock,
                get_peers=self._get_peers,
            )
            self._queues[pool] = queue
        return queue

    def _check_limits(
        self, request: PlacementRequest, queue: PoolQueue
    ) -> Refusal | None:
        """Returns a refusal if a limit other than memory is reached."""
        name = request.organisation
        organisation = self._get_configuration().organisations.get(name)
        running = self._reservations.count_running(name)
        service = request.service.name
        code = RefusalCode.OVERLOADED
        if organisation and running >= organisation.max_in_flight:
            code = RefusalCode.RATE_LIMITED
            detail = (
                f"{running} requests of the organisation are running; "
                f"allowed are {organisation.max_in_flight}"
            )
        elif queue.is_full(name):
            detail = "the queue of the service's targets is full"
        elif request.attempt > 1 and not self._reservations.take_retry(service):
            detail = "too many requests of the service are being retried"
        else:
            return None
        return self._refusals.build(
            request, code=code, detail=detail, retry_after=_SHORT_RETRY
        )

    def _build_offer(self, request: PlacementRequest, now: timedelta) -> Offer:
        waited = max(timedelta(), self._clock.now() - request.arrived)
        limit = request.deadline
        if request.attempt > 1:
            # The time of the attempts before is gone; what counts is
            # whether this one starts within a deadline of its own.
            waited = timedelta()
        elif request.choice is not None:
            objective = request.service.objectives.ttft_seconds
            wait = timedelta(seconds=objective) * self._settings.wait_factor
            limit = min(limit, wait)
        organisations = self._get_configuration().organisations
        organisation = organisations.get(request.organisation)
        return Offer(
            request=request,
            share=organisation.share if organisation else 1.0,
            forecast=self._reservations.forecast(request),
            offered=now,
            waited_before=waited,
            limit=limit,
        )

    def _get_peers(self, pool: str) -> PeerQueues:
        """Returns what live peers have queued for a pool."""
        now = self._clock.elapsed()
        stale = self._settings.views.digest_stale
        live = [
            received.digest
            for received in self._digests.values()
            if now - received.time < stale
        ]
        return PeerQueues(
            nodes=tuple(digest.node for digest in live),
            tokens=sum(digest.queued_tokens.get(pool, 0.0) for digest in live),
        )

    def _record_outcome(
        self, running: InFlight, now: timedelta, *, succeeded: bool
    ) -> None:
        view = self._pools.get_view(running.target)
        health = self._pools.get_health(running.target)
        if view is None or health is None:
            return
        view.remove(running.request.request_id)
        if succeeded:
            health.record_success(now)
        else:
            health.record_failure(now)
            self._pools.forget_options()

    def _decide(
        self, request: PlacementRequest, outcome: Placement | Refusal
    ) -> None:
        self._decisions.append(
            Decision(request_id=request.request_id, outcome=outcome)
        )
