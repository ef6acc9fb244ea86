"""Answers the asks of other nodes as the scheduler of a service.

A scheduler keeps only soft state: the queue, and the grants that nodes have not
reported yet. It is rebuilt within one repetition of the asks.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.peers.messages import NodeInfo
from acaciarack.gateway.scheduling.call_loads import CallGrant
from acaciarack.gateway.scheduling.call_placement import (
    CallPlacement,
    CallRefusal,
    CallRequest,
)
from acaciarack.gateway.scheduling.placement_queue import (
    PlacementQueue,
    PlacementRequest,
)
from acaciarack.gateway.scheduling.placer import FleetPlacer
from acaciarack.gateway.scheduling.schedule_messages import (
    Answer,
    Ask,
    AskKind,
    LoadReport,
    ScheduleMessage,
    Withdrawal,
)
from acaciarack.gateway.scheduling.shares import estimate_usage
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.store.replication import ClusterState
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.cold_budgets import RENEWAL_AGE
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.pool import DestinationRequest, TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

ASK_EXPIRY = timedelta(milliseconds=500)
"""An ask that is not repeated for this long is dropped: its node is gone, or
asks another scheduler. Nodes repeat asks every 150 ms."""
ANSWER_RETENTION = timedelta(seconds=2)
"""How long the answer to an ask is kept, in case it is asked again."""
GRANT_EXPIRY = timedelta(seconds=1)
"""How long a grant counts as load if its node does not report it."""
NO_TRIAL = timedelta(seconds=1)
"""Answers an ask for a trial that is not granted; the value has no meaning."""
SWEEP_INTERVAL = timedelta(milliseconds=100)

_log = logbook.Logger("acaciarack.gateway.scheduler")

_AskId = tuple[str, int, int]


@dataclass(kw_only=True, eq=False)
class _AskState:
    """An ask with its outcome.

    Attributes:
        ask: the ask as it was first received.
        attempt: the newest attempt received.
        refreshed_at: the elapsed time at which it was last received.
        answer: the final answer; ``None`` while it is queued.
        answered_at: the elapsed time of the final answer.
        granted_at: the elapsed time at which its grant was last counted.
        granted: the engine whose load still includes the grant.
        call: the grant of a plain call that is placed by its expected end.
        scope: cancels the wait in the queue.
    """

    ask: Ask
    attempt: int
    refreshed_at: timedelta
    answer: Answer | None = None
    answered_at: timedelta = timedelta(0)
    granted_at: timedelta = timedelta(0)
    granted: str | None = None
    call: CallGrant | None = None
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class Scheduler:
    """Queues the generations of other nodes and grants them engines.

    ``send`` sends an answer to a node without blocking.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        cluster_state: ClusterState,
        queue: PlacementQueue,
        pool: TargetPool,
        quarantine: RequestQuarantine,
        call_placement: CallPlacement,
        send: Callable[[Answer, NodeInfo], None],
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(clock=clock)
        self._quarantine = quarantine
        self._call_placement = call_placement
        self._clock = clock
        self._cluster_state = cluster_state
        self._queue = queue
        self._pool = pool
        self._loads: LoadTracker = pool.loads
        self._send = send
        self._asks: dict[_AskId, _AskState] = {}
        self._has_asks = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves asks and drops old ones until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            while True:
                await self._has_asks.wait()
                await self._clock.sleep(SWEEP_INTERVAL)
                with self._supervisor.guard("scheduler"):
                    self._sweep()

    def handle_ask(self, ask: Ask) -> None:
        """Handles an ask that is new or repeated."""
        ask_id = _get_id(ask.node, ask.number)
        now = self._clock.elapsed()
        state = self._asks.get(ask_id)
        if state is not None:
            state.refreshed_at = now
            state.attempt = max(state.attempt, ask.attempt)
            if not self._renew_grant(state):
                return
            answer = state.answer or _build_queued(ask)
            self._send(replace(answer, attempt=state.attempt), ask.node)
            return
        spec = self._find_spec(ask.service)
        if self._nursery is None or (
            spec is None and ask.kind not in (AskKind.CALL, AskKind.TRIAL)
        ):
            # The node asks another scheduler, or decides alone.
            _log.info("ask for an unknown service", extra={"kind": ask.service})
            return
        state = _AskState(ask=ask, attempt=ask.attempt, refreshed_at=now)
        self._asks[ask_id] = state
        self._has_asks.set()
        if ask.kind is AskKind.TRIAL:
            granted = self._quarantine.grant_trial(ask.quarantined)
            self._finish(
                state, retry_after=timedelta(0) if granted else NO_TRIAL
            )
        elif spec is None or ask.kind is AskKind.CALL:
            if ask.time_to_objective is None:
                self._place_call(state)
            else:
                self._nursery.start_soon(self._serve, state, self._queue_call)
        elif ask.kind is AskKind.START:
            self._nursery.start_soon(self._serve, state, self._queue_ask, spec)
        else:
            self._choose_destination(state, spec)

    def handle_withdrawal(self, withdrawal: Withdrawal) -> None:
        """Drops an ask whose node needs no answer any more."""
        if withdrawal.sample is not None:
            self._call_placement.loads.observe(withdrawal.sample)
        ask_id = _get_id(withdrawal.node, withdrawal.number)
        state = self._asks.pop(ask_id, None)
        if state is not None:
            self._end_grant(state)
            state.scope.cancel()
            if state.call is not None:
                self._call_placement.end(state.call)

    def handle_report(self, report: LoadReport) -> None:
        """Takes over a node's loads, and ends the grants that they include."""
        name = report.node.name
        self._loads.update_peer(name, report.loads)
        self._pool.failure_tracker.update_peer(name, report.failures)
        for sample in report.samples:
            self._pool.target_table.paces.record_sample(sample)
        self._queue.shares.update_node(
            name,
            report.node.started,
            {u.organisation: u.cost for u in report.usage}
            if report.node.revision
            else estimate_usage(report.loads, self._pool.wait_estimator.mean),
        )
        for number in report.grants:
            state = self._asks.get(_get_id(report.node, number))
            if state is not None:
                self._end_grant(state)

    async def _serve(
        self,
        state: _AskState,
        serve: Callable[..., Awaitable[None]],
        *args: EngineSpec,
    ) -> None:
        """Serves an ask; forgets it if that fails.

        Its node then gets no answer, and asks again or decides alone.
        """
        if not await self._supervisor.run_alone("ask", serve, state, *args):
            self._asks.pop(_get_id(state.ask.node, state.ask.number), None)

    async def _queue_ask(self, state: _AskState, spec: EngineSpec) -> None:
        ask = state.ask
        now = self._clock.elapsed()
        if ask.recent_duration:
            self._pool.wait_estimator.record(ask.recent_duration)
        # A generation that has emitted tokens asks for a start only if it
        # resumes without a copy.
        ask.generation.is_reread = ask.generation.emitted > 0
        request = PlacementRequest(
            service=ask.service,
            spec=spec,
            generation=ask.generation,
            rank=ask.rank,
            arrived=now - ask.age,
            deadline=now + ask.patience,
            data_centre=ask.data_centre,
            exclude=ask.exclude,
            objective_at=None
            if ask.time_to_objective is None
            else now + ask.time_to_objective,
            gap_objective=ask.gap_objective,
            regions=ask.regions,
            organisation=ask.organisation,
            fingerprint=ask.fingerprint,
        )
        with state.scope:
            instance = await self._queue.place(
                request,
                on_queued=lambda: self._send(_build_queued(ask), ask.node),
            )
            if instance is None:
                self._finish(state, retry_after=self._queue.refuse(request))
            else:
                self._answer(state, instance)

    def _place_call(self, state: _AskState) -> None:
        """Lets a call go to a limited target if its limit allows it."""
        ask = state.ask
        instance = self._pool.take_limited(
            ask.service, exclude=ask.exclude, regions=ask.regions
        )
        self._answer(state, instance, counts=False)

    async def _queue_call(self, state: _AskState) -> None:
        """Places a call by its expected end, or refuses it."""
        ask = state.ask
        now = self._clock.elapsed()
        with state.scope:
            outcome = await self._call_placement.place(
                CallRequest(
                    service=ask.service,
                    rank=ask.rank,
                    objective=now + (ask.time_to_objective or timedelta(0)),
                    deadline=now + ask.patience,
                    data_centre=ask.data_centre,
                    exclude=ask.exclude,
                ),
                on_queued=lambda: self._send(_build_queued(ask), ask.node),
            )
            if isinstance(outcome, CallRefusal):
                self._finish(state, retry_after=outcome.retry_after)
            elif state.scope.cancel_called:
                # The ask was withdrawn while its grant was on the way here.
                self._call_placement.end(outcome)
            else:
                state.call = outcome
                self._finish(
                    state, target=get_lifetime(outcome.instance.target)
                )

    def _choose_destination(self, state: _AskState, spec: EngineSpec) -> None:
        ask = state.ask
        standby = ask.kind is AskKind.STANDBY
        instance = self._pool.choose_destination(
            DestinationRequest(
                service=ask.service,
                spec=spec,
                generation=ask.generation,
                data_centre=ask.data_centre,
                exclude=ask.exclude,
                standby=standby,
                gap_objective=ask.gap_objective,
                regions=ask.regions,
            )
        )
        if instance is not None and not standby:
            self._loads.add_grant(instance.target.id, ask.generation)
        self._answer(state, instance, counts=not standby)

    def _answer(
        self,
        state: _AskState,
        instance: TargetInstance | None,
        *,
        counts: bool = True,
    ) -> None:
        """Answers an ask finally.

        Args:
            state: the ask.
            instance: the engine that is granted; ``None`` if it is refused.
            counts: whether the engine's load includes the grant.
        """
        ask = state.ask
        if instance is None:
            retry_after = (
                self._pool.defer_request(ask.service, regions=ask.regions)
                if ask.kind is AskKind.CALL
                else self._queue.estimate_wait(ask.service, regions=ask.regions)
            )
            self._finish(state, retry_after=retry_after)
        else:
            state.granted = instance.target.id if counts else None
            self._finish(state, target=get_lifetime(instance.target))

    def _finish(
        self,
        state: _AskState,
        *,
        target: TargetLifetime | None = None,
        retry_after: timedelta | None = None,
    ) -> None:
        """Sends the final answer to an ask."""
        state.answer = Answer(
            number=state.ask.number,
            attempt=state.attempt,
            started=state.ask.node.started,
            target=target,
            retry_after=retry_after,
        )
        state.answered_at = state.granted_at = self._clock.elapsed()
        self._send(state.answer, state.ask.node)

    def _renew_grant(self, state: _AskState) -> bool:
        """Counts an old grant again that is sent again.

        Returns:
            Whether the answer may be sent. If not, the node asks again.
        """
        if state.answer is None or state.answer.target is None:
            return True
        now = self._clock.elapsed()
        if (
            not self._pool.needs_grants(state.ask.service)
            or now - state.granted_at <= RENEWAL_AGE
        ):
            return True
        instance = self._pool.target_table.get(state.answer.target.id)
        if instance is None or not self._pool.target_table.may_take(instance):
            return False
        self._pool.count_request(instance)
        state.granted_at = now
        return True

    def _end_grant(self, state: _AskState) -> None:
        if state.granted is not None:
            self._queue.end_grant(state.granted, state.ask.generation)
            state.granted = None

    def _find_spec(self, service: str) -> EngineSpec | None:
        configuration = self._cluster_state.configuration
        if configuration is None or service not in configuration.services:
            return None
        return configuration.services[service].engine

    def _sweep(self) -> None:
        """Drops asks that are not repeated, old answers and old grants."""
        now = self._clock.elapsed()
        for ask_id, state in list(self._asks.items()):
            if state.answer is None:
                if now - state.refreshed_at > ASK_EXPIRY:
                    del self._asks[ask_id]
                    state.scope.cancel()
                continue
            answer_age = now - state.answered_at
            if answer_age > GRANT_EXPIRY:
                self._end_grant(state)
            if answer_age > ANSWER_RETENTION:
                del self._asks[ask_id]
        if not self._asks:
            self._has_asks = trio.Event()


class ScheduleRouter:
    """Passes messages of other nodes to this node's scheduler and placer."""

    def __init__(self, *, scheduler: Scheduler, placer: FleetPlacer) -> None:
        self._scheduler = scheduler
        self._placer = placer

    def handle(self, message: ScheduleMessage) -> None:
        """Handles a message of another node."""
        if isinstance(message, Ask):
            self._scheduler.handle_ask(message)
        elif isinstance(message, Answer):
            self._placer.handle_answer(message)
        elif isinstance(message, LoadReport):
            self._scheduler.handle_report(message)
        else:
            self._scheduler.handle_withdrawal(message)

    def list_recent_grants(self) -> Iterable[int]:
        """Returns the numbers of the grants that this node's loads include."""
        return self._placer.list_recent_grants()


def _get_id(node: NodeInfo, number: int) -> _AskId:
    return (node.name, node.started, number)


def _build_queued(ask: Ask) -> Answer:
    return Answer(
        number=ask.number, attempt=ask.attempt, started=ask.node.started
    )
