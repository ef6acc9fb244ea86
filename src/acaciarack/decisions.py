"""Places, queues or refuses requests, without I/O and without an event loop.

``placer`` runs ``DecisionCore`` on the event loop of a node. Experiments call
the same class directly. No method blocks: the caller fetches the decisions
with ``take_decisions``.
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
from acaciarack.queues import PlacerSettings, PoolQueue, QueuedRequest
from acaciarack.refusals import RefusalBuilder
from acaciarack.reservations import InFlightRequest, Reservations

# Delay suggested to the caller when a limit is reached.
_RETRY_AFTER = timedelta(seconds=2)
# A pass over the queues is due this long after the previous one. After a
# request has finished, the next pass is due at once.
_PASS_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, kw_only=True)
class Decision:
    """The decision on one request.

    Attributes:
        request_id: the request.
        outcome: the placement, or the refusal.
    """

    request_id: str
    outcome: Placement | Refusal


@dataclass(frozen=True, kw_only=True)
class _ReceivedDigest:
    digest: NodeDigest
    received_at: timedelta


class DecisionCore:
    """Queues, places and refuses requests. No method blocks."""

    def __init__(
        self,
        *,
        clock: Clock,
        get_configuration: Callable[[], Configuration],
        is_available: Callable[[str], bool],
        settings: PlacerSettings,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._get_configuration = get_configuration
        self._settings = settings
        self._rng = rng
        self._refusals = RefusalBuilder(rng=rng)
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
            started_at=clock.elapsed(),
        )
        self._queues: dict[str, PoolQueue] = {}
        self._digests: dict[str, _ReceivedDigest] = {}
        self._decisions: list[Decision] = []
        self._last_recheck = clock.elapsed()
        self._last_pass = clock.elapsed()
        self._has_freed_capacity = False

    def add_request(self, request: PlacementRequest) -> None:
        """Decides on a request at once, or queues it."""
        now = self._clock.elapsed()
        self._pools.apply_configuration(now)
        pool = request.route.pool
        queue = self._get_queue(pool)
        refusal = self._check_limits(request, queue)
        if refusal is not None:
            self._decide(request, refusal)
            return
        queue.add(self._build_queued_request(request, now), now=now)

    def advance(self) -> None:
        """Places queued requests and refuses those that cannot start in time.

        Does nothing if no request is queued, or if the last pass over the
        queues is recent and no request has finished since.
        """
        now = self._clock.elapsed()
        if not self._is_due(now):
            return
        self._last_pass = now
        self._has_freed_capacity = False
        self._pools.apply_configuration(now)
        is_recheck_due = now - self._last_recheck >= self._settings.reconsider
        if is_recheck_due:
            self._last_recheck = now
        for queue in self._queues.values():
            queue.serve(now)
            queue.refuse_expired(now)
            if is_recheck_due:
                queue.refuse_late(now=now)

    def _is_due(self, now: timedelta) -> bool:
        """Returns whether a new pass over the queues is due."""
        if not any(self._queues.values()):
            return False
        return (
            self._has_freed_capacity or now - self._last_pass >= _PASS_INTERVAL
        )

    def get_remaining_wait(self, request_id: str) -> timedelta | None:
        """Returns how long a request may still wait.

        Returns ``None`` if the request is not queued.
        """
        now = self._clock.elapsed()
        for queue in self._queues.values():
            if request_id in queue:
                return queue.get(request_id).get_remaining_wait(now)
        return None

    def take_decisions(self) -> list[Decision]:
        """Returns the decisions since the last call."""
        decisions = self._decisions
        self._decisions = []
        return decisions

    def cancel(self, request_id: str) -> None:
        """Removes a queued or placed request whose caller left."""
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
        """Adds ``count`` tokens to the output of a running generation."""
        self._reservations.record_tokens(request_id, count)

    def finish(self, request_id: str, *, succeeded: bool) -> None:
        """Releases the reservation of a request and records its result.

        Ignores unknown ids.
        """
        now = self._clock.elapsed()
        running = self._reservations.release(
            request_id, succeeded=succeeded, now=now
        )
        if running is None:
            return
        self._has_freed_capacity = True
        self._record_outcome(running, now, succeeded=succeeded)
        request = running.request
        if request.choice is not None:
            queue = self._get_queue(request.route.pool)
            cost_difference = running.count_context() - running.cost
            queue.charge(request.organisation, cost_difference)

    def record_report(self, report: LoadReport) -> None:
        """Applies a load report of a target."""
        now = self._clock.elapsed()
        self._pools.apply_configuration(now)
        view = self._pools.get_view(report.target)
        health = self._pools.get_health(report.target)
        if view is None or health is None:
            return
        if view.changes_eligibility(report):
            self._pools.clear_cache()
        if view.record_report(report, now=now, wall=self._clock.now()):
            step = timedelta(seconds=report.step_seconds)
            health.record_step(step, view.count_running(), now)

    def record_cache_event(self, event: CacheEvent) -> None:
        """Applies a prefix cache event of an engine."""
        view = self._pools.get_view(event.target)
        if view is not None:
            view.record_cache_event(event, now=self._clock.elapsed())

    def record_digest(self, digest: NodeDigest) -> None:
        """Stores the newest digest of a peer; it replaces the previous one."""
        now = self._clock.elapsed()
        self._digests[digest.node] = _ReceivedDigest(
            digest=digest, received_at=now
        )
        for finished in digest.lengths:
            self._reservations.record_peer_length(finished)
        target_digests = {each.target: each for each in digest.targets}
        for view in self._pools.list_views():
            if view.name in target_digests:
                view.record_digest(
                    digest.node, target_digests[view.name], now=now
                )
            else:
                view.remove_digest(digest.node)

    def count_reserved(self) -> dict[str, int]:
        """Returns the KV cache tokens that local requests use, by target."""
        return {
            view.name: view.count_local_context()
            for view in self._pools.list_views()
            if view.in_flight
        }

    def build_digest(self) -> NodeDigest:
        """Builds the digest of this node's placed and queued requests.

        The caller must send each digest to all peers, because each finished
        output length appears in one digest only.
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
                for view in self._pools.list_views()
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
                rng=self._rng,
                decide=self._decide,
                clock=self._clock,
                get_peer_queues=self._get_peer_queues,
            )
            self._queues[pool] = queue
        return queue

    def _check_limits(
        self, request: PlacementRequest, queue: PoolQueue
    ) -> Refusal | None:
        """Returns a refusal if a limit is reached, else ``None``.

        Checks the organisation's requests in flight, the queue length and
        the retry budget. A retry that is not refused consumes a part of the
        budget. The routing policy checks the memory later.
        """
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
        elif request.attempt > 1 and not self._reservations.consume_retry(
            service
        ):
            detail = "too many requests of the service are being retried"
        else:
            return None
        return self._refusals.build(
            request, code=code, detail=detail, retry_after=_RETRY_AFTER
        )

    def _build_queued_request(
        self, request: PlacementRequest, now: timedelta
    ) -> QueuedRequest:
        prior_wait = max(timedelta(), self._clock.now() - request.arrived)
        max_wait = request.deadline
        if request.attempt > 1:
            # Each retry gets the full deadline. The time of earlier attempts
            # does not count.
            prior_wait = timedelta()
        elif request.choice is not None:
            objective = request.service.objectives.ttft_seconds
            wait = timedelta(seconds=objective) * self._settings.wait_factor
            max_wait = min(max_wait, wait)
        organisations = self._get_configuration().organisations
        organisation = organisations.get(request.organisation)
        return QueuedRequest(
            request=request,
            share=organisation.share if organisation else 1.0,
            forecast=self._reservations.forecast(request),
            queued_at=now,
            prior_wait=prior_wait,
            max_wait=max_wait,
        )

    def _get_peer_queues(self, pool: str) -> PeerQueues:
        """Returns the live peers and the memory of their queued requests.

        Counts only requests that are queued for ``pool``. A peer is live if
        its newest digest is not stale.
        """
        now = self._clock.elapsed()
        max_age = self._settings.views.digest_stale
        live_digests = [
            received.digest
            for received in self._digests.values()
            if now - received.received_at < max_age
        ]
        return PeerQueues(
            nodes=tuple(digest.node for digest in live_digests),
            tokens=sum(
                digest.queued_tokens.get(pool, 0.0) for digest in live_digests
            ),
        )

    def _record_outcome(
        self, running: InFlightRequest, now: timedelta, *, succeeded: bool
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
            self._pools.clear_cache()

    def _decide(
        self, request: PlacementRequest, outcome: Placement | Refusal
    ) -> None:
        self._decisions.append(
            Decision(request_id=request.request_id, outcome=outcome)
        )
