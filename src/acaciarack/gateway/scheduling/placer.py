"""Finds engines for generations: through the service's scheduler, or alone.

Each service with engines has one *scheduler* at a time: the live node that
rendezvous hashing ranks first among those with the fastest processors. The
scheduler queues the generations of all nodes and knows every node's load, so
the fleet has one order, and free memory is granted once.

No agreement is needed for safety. An engine rejects what does not fit, so two
schedulers at a time, or a grant of a paused one, cost some room but break no
promise. A node that gets no answer asks the next in rank with the age that the
generation has by then, which rebuilds the queue in order of arrival. A node
that reaches no scheduler decides alone.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.evidence.fingerprints import Fingerprint, Fingerprints
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.peers.messages import NodeInfo
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.scheduling.placement_queue import (
    PlacementQueue,
    PlacementRequest,
)
from acaciarack.gateway.scheduling.schedule_messages import (
    Answer,
    Ask,
    AskKind,
    Withdrawal,
)
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.cold_budgets import MAX_GRANT_AGE
from acaciarack.gateway.targets.pace import TargetSample
from acaciarack.gateway.targets.pool import DestinationRequest, TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

SCHEDULER_RANKS = 2
"""How many schedulers in rank a node asks before it decides alone. Nodes report
their loads to as many, so that the second one can take over at once."""
ANSWER_TIMEOUT = timedelta(milliseconds=60)
"""How long a node waits for the first answer before it repeats an ask. A round
trip within a region takes 3 ms, and a node reads datagrams every 10 ms."""
REFRESH_INTERVAL = timedelta(milliseconds=150)
"""How often a node repeats an ask that is queued."""
MAX_UNANSWERED = 2
"""Asks in a row without an answer after which the next scheduler is asked."""
MAX_ANSWER_AGE = timedelta(milliseconds=600)
"""Age of an attempt above which an answer to it is ignored. The node was paused
since then, and the engine may be full or gone."""
REFUSAL_GRACE = timedelta(milliseconds=100)
"""How long after the deadline a node waits for the scheduler's refusal."""
NO_GENERATION = Generation(prompt=Prompt(tokens=0, max_tokens=0))
"""Stands for the generation in the ask of a plain call."""
RECENT_GRANT_TIME = timedelta(seconds=1)
"""How long a node names a grant in its reports to schedulers."""

_log = logbook.Logger("acaciarack.gateway.scheduling")


@dataclass(frozen=True, kw_only=True)
class Placement:
    """The outcome of a search for an engine.

    Attributes:
        instance: the engine; ``None`` if none has room in time.
        retry_after: when a refused caller should retry.
    """

    instance: TargetInstance | None
    retry_after: timedelta


class Placer(Protocol):
    """Finds engines for generations."""

    async def place(self, request: PlacementRequest) -> Placement:
        """Finds an engine for a new generation; waits until its deadline."""
        ...

    async def choose_destination(
        self, request: DestinationRequest
    ) -> TargetInstance | None:
        """Chooses the engine for a copy of a running generation."""
        ...


class LocalPlacer:
    """Finds engines with what this node knows."""

    def __init__(self, *, queue: PlacementQueue, pool: TargetPool) -> None:
        self._queue = queue
        self._pool = pool

    async def place(self, request: PlacementRequest) -> Placement:
        """Finds an engine for a new generation; waits until its deadline."""
        instance = await self._queue.place(request)
        if instance is not None:
            # The caller adds the generation to the load before it waits again.
            self._queue.end_grant(instance.target.id, request.generation)
        warm_wait = None
        if request.avoids_limited:
            warm_wait = self._pool.target_table.get_warm_wait(request.service)
        return Placement(
            instance=instance,
            retry_after=timedelta(0)
            if instance is not None
            else warm_wait or self._queue.refuse(request),
        )

    async def choose_destination(
        self, request: DestinationRequest
    ) -> TargetInstance | None:
        """Chooses the engine for a copy of a running generation."""
        return self._pool.choose_destination(request)


@dataclass(kw_only=True, eq=False)
class _PendingAsk:
    """An ask without a final answer.

    Attributes:
        max_age: age of an attempt above which an answer to it is ignored.
        sent_at: the elapsed time of each attempt.
        answer: the newest answer; ``None`` since it was last sent.
        answered: set with each answer.
    """

    max_age: timedelta
    sent_at: list[timedelta] = field(default_factory=list)
    answer: Answer | None = None
    answered: trio.Event = field(default_factory=trio.Event)


class FleetPlacer:
    """Finds engines through the scheduler of their service.

    ``send`` sends a message to a node without blocking.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_node: NodeInfo,
        peers: PeerTable,
        pool: TargetPool,
        local: Placer,
        quarantine: RequestQuarantine,
        send: Callable[[Ask | Withdrawal, NodeInfo], None],
    ) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._own_node = own_node
        self._peers = peers
        self._pool = pool
        self._local = local
        self._send = send
        self._ask_count = 0
        self._pending: dict[int, _PendingAsk] = {}
        # By name: when a scheduler did not answer.
        self._silent_since: dict[str, timedelta] = {}
        # By number: when this node accepted a grant.
        self._grants: dict[int, timedelta] = {}

    def handle_answer(self, answer: Answer) -> None:
        """Handles an answer of a scheduler."""
        pending = self._pending.get(answer.number)
        if pending is None or answer.started != self._own_node.started:
            return
        if not 0 < answer.attempt <= len(pending.sent_at):
            _log.warning("answer to an attempt that was not made ignored")
            return
        age = self._clock.elapsed() - pending.sent_at[answer.attempt - 1]
        if age > pending.max_age:
            return
        pending.answer = answer
        pending.answered.set()

    def list_recent_grants(self) -> list[int]:
        """Returns the numbers of the asks whose grants were accepted lately."""
        oldest = self._clock.elapsed() - RECENT_GRANT_TIME
        self._grants = {
            number: accepted_at
            for number, accepted_at in self._grants.items()
            if accepted_at >= oldest
        }
        return list(self._grants)

    async def place(self, request: PlacementRequest) -> Placement:
        """Finds an engine for a new generation; waits until its deadline."""
        if self._pool.target_table.is_restricted(
            request.service, regions=request.regions
        ):
            # A scheduler that knows less would queue the generation.
            return await self._local.place(request)
        for scheduler in self._list_schedulers(request.service):
            if scheduler == self._own_node:
                break
            placement = await self._place_through(scheduler, request)
            if placement is not None:
                return placement
        else:
            request = replace(request, avoids_limited=True)
        return await self._local.place(request)

    async def place_limited_call(
        self,
        service: str,
        *,
        exclude: frozenset[str],
        time_left: timedelta,
        regions: frozenset[str] | None = None,
    ) -> Placement:
        """Finds a target that limits requests for a plain call.

        All targets of a service with a cold rate do. Without a scheduler, the
        call goes to one that is not known to be cold.

        Args:
            service: the service of the targets.
            exclude: ids of targets that the call cannot go to.
            time_left: the time until the call's deadline.
            regions: the regions that the call may reach; ``None`` for all.
        """
        now = self._clock.elapsed()
        for scheduler in self._list_schedulers(service):
            if scheduler == self._own_node:
                instance = self._pool.take_limited(
                    service, exclude=exclude, regions=regions
                )
                return Placement(
                    instance=instance,
                    retry_after=timedelta(0)
                    if instance
                    else self._pool.defer_request(service, regions=regions),
                )
            answer = await self._ask(
                scheduler,
                kind=AskKind.CALL,
                service=service,
                generation=NO_GENERATION,
                data_centre=self._pool.data_centre,
                exclude=exclude,
                rank=(),
                arrived=now,
                deadline=now + min(time_left, ANSWER_TIMEOUT * MAX_UNANSWERED),
                regions=regions,
            )
            if answer is not None:
                return Placement(
                    instance=self._find_usable(answer, regions),
                    retry_after=answer.retry_after
                    or self._pool.defer_request(service, regions=regions),
                )
        # Without a scheduler, what other nodes send is not known.
        instance = None
        if self._pool.needs_grants(service):
            instance = self._pool.choose_for_call(
                service, exclude=exclude, regions=regions
            )
        return Placement(
            instance=instance,
            retry_after=self._pool.target_table.get_warm_wait(service)
            or self._pool.defer_request(service, regions=regions),
        )

    async def ask_trial(self, service: str, quarantined: Fingerprints) -> bool:
        """Returns whether a request may be let through as a trial.

        Args:
            service: the service that the request goes to.
            quarantined: the fingerprints in quarantine that it has.
        """
        now = self._clock.elapsed()
        for scheduler in self._list_schedulers(service):
            if scheduler == self._own_node:
                return self._quarantine.grant_trial(quarantined)
            answer = await self._ask(
                scheduler,
                kind=AskKind.TRIAL,
                service=service,
                generation=NO_GENERATION,
                data_centre=self._pool.data_centre,
                exclude=frozenset(),
                rank=(),
                arrived=now,
                deadline=now + ANSWER_TIMEOUT * MAX_UNANSWERED,
                quarantined=quarantined,
            )
            if answer is not None:
                return answer.retry_after == timedelta(0)
        # Without a scheduler, the trials of other nodes are not known.
        return False

    def schedules(self, service: str) -> bool:
        """Returns whether this node is the first scheduler of a service."""
        return self._list_schedulers(service)[:1] == [self._own_node]

    async def _place_through(
        self, scheduler: NodeInfo, request: PlacementRequest
    ) -> Placement | None:
        """Asks one scheduler until it grants an engine that can be used.

        Returns:
            The outcome; ``None`` if the scheduler does not answer.
        """
        exclude = set(request.exclude)
        while True:
            answer = await self._ask(
                scheduler,
                kind=AskKind.START,
                service=request.service,
                generation=request.generation,
                data_centre=request.data_centre,
                exclude=frozenset(exclude),
                rank=request.rank,
                arrived=request.arrived,
                deadline=request.deadline,
                objective_at=request.objective_at,
                gap_objective=request.gap_objective,
                regions=request.regions,
                organisation=request.organisation,
                fingerprint=request.fingerprint,
            )
            if answer is None:
                return None
            if answer.target is None:
                assert answer.retry_after is not None
                return Placement(instance=None, retry_after=answer.retry_after)
            instance = self._find_usable(answer, request.regions)
            if instance is not None:
                return Placement(instance=instance, retry_after=timedelta(0))
            # This node knows more than the scheduler, such as a notice of the
            # engine itself.
            exclude.add(answer.target.id)
            exclude |= self._list_forbidden(request.service, request.regions)
            self._withdraw(answer.number, scheduler)

    async def choose_destination(
        self, request: DestinationRequest
    ) -> TargetInstance | None:
        """Chooses the engine for a copy of a running generation."""
        now = self._clock.elapsed()
        for scheduler in self._list_schedulers(request.service):
            if scheduler == self._own_node:
                break
            answer = await self._ask(
                scheduler,
                kind=AskKind.STANDBY if request.standby else AskKind.MIGRATE,
                service=request.service,
                generation=request.generation,
                data_centre=request.data_centre,
                exclude=request.exclude,
                rank=(),
                arrived=now,
                deadline=now + ANSWER_TIMEOUT * MAX_UNANSWERED,
                gap_objective=request.gap_objective,
                regions=request.regions,
            )
            if answer is not None:
                return self._find_usable(answer, request.regions)
        else:
            request = replace(request, avoids_cold=True)
        return await self._local.choose_destination(request)

    def _list_schedulers(self, service: str) -> list[NodeInfo]:
        """Returns the nodes to ask, without those that did not answer."""
        return [
            node
            for node in self._peers.rank_schedulers(service, SCHEDULER_RANKS)
            if node == self._own_node or not self._is_silent(node)
        ]

    def _is_silent(self, node: NodeInfo) -> bool:
        """Returns whether a node has not been heard of since it was silent."""
        return self._is_unheard_since(node, self._silent_since.get(node.name))

    def _is_unheard_since(
        self, node: NodeInfo, silent_since: timedelta | None
    ) -> bool:
        peer = self._peers.get(node.name)
        return (
            silent_since is not None
            and peer is not None
            and (peer.last_heard is None or peer.last_heard <= silent_since)
        )

    async def _ask(
        self,
        scheduler: NodeInfo,
        *,
        kind: AskKind,
        service: str,
        generation: Generation,
        data_centre: str,
        exclude: frozenset[str],
        rank: tuple[int, ...],
        arrived: timedelta,
        deadline: timedelta,
        quarantined: Fingerprints = frozenset(),
        objective_at: timedelta | None = None,
        gap_objective: timedelta = timedelta(0),
        regions: frozenset[str] | None = None,
        max_unanswered: int = MAX_UNANSWERED,
        organisation: str = "",
        fingerprint: Fingerprint = b"",
    ) -> Answer | None:
        """Asks a scheduler until it answers finally.

        Returns:
            The answer; ``None`` if the scheduler does not answer.
        """
        if scheduler.revision == 0:
            # It knows neither evacuations nor regions.
            exclude |= self._list_forbidden(service, regions)
        self._ask_count += 1
        number = self._ask_count
        pending = _PendingAsk(
            max_age=MAX_GRANT_AGE
            if self._pool.needs_grants(service)
            else MAX_ANSWER_AGE
        )
        self._pending[number] = pending
        answer: Answer | None = None
        is_final = False

        def send() -> None:
            now = self._clock.elapsed()
            pending.sent_at.append(now)
            self._send(
                Ask(
                    node=self._own_node,
                    number=number,
                    attempt=len(pending.sent_at),
                    kind=kind,
                    service=service,
                    generation=generation,
                    rank=rank,
                    age=now - arrived,
                    patience=deadline - now,
                    data_centre=data_centre,
                    exclude=exclude,
                    recent_duration=self._pool.wait_estimator.mean,
                    quarantined=quarantined,
                    time_to_objective=None
                    if objective_at is None
                    else objective_at - now,
                    gap_objective=gap_objective,
                    regions=regions,
                    organisation=organisation,
                    fingerprint=fingerprint,
                ),
                scheduler,
            )

        try:
            unanswered = 0
            while unanswered < max_unanswered:
                send()
                is_queued = answer is not None
                answer = await self._await_answer(pending, is_queued)
                if answer is not None and answer.is_final:
                    is_final = True
                    if answer.target is not None:
                        self._grants[number] = self._clock.elapsed()
                    return answer
                if self._clock.elapsed() > deadline + REFUSAL_GRACE:
                    break
                unanswered = 0 if answer is not None else unanswered + 1
            if max_unanswered >= MAX_UNANSWERED:
                # Fewer may be due to lost datagrams.
                self._silent_since[scheduler.name] = self._clock.elapsed()
            _log.info(
                "scheduler does not answer",
                extra={"node": scheduler.name, "service": service},
            )
            return None
        finally:
            del self._pending[number]
            if not is_final:
                self._withdraw(number, scheduler)

    async def _await_answer(
        self, pending: _PendingAsk, is_queued: bool
    ) -> Answer | None:
        """Waits for an answer until the ask is to be repeated.

        A queued ask is repeated after ``REFRESH_INTERVAL`` also if the
        scheduler has answered that it is queued.
        """
        sent_at = pending.sent_at[-1]
        pending.answer = None
        repeat_at = sent_at + (
            REFRESH_INTERVAL if is_queued else ANSWER_TIMEOUT
        )
        answer: Answer | None = None
        while True:
            pending.answered = trio.Event()
            delay = repeat_at - self._clock.elapsed()
            with trio.move_on_after(max(0.0, delay.total_seconds())) as scope:
                await pending.answered.wait()
            if scope.cancelled_caught:
                return answer
            answer = pending.answer
            if answer is not None and answer.is_final:
                return answer
            repeat_at = sent_at + REFRESH_INTERVAL

    def _withdraw(
        self,
        number: int,
        scheduler: NodeInfo,
        sample: TargetSample | None = None,
    ) -> None:
        self._grants.pop(number, None)
        self._send(
            Withdrawal(node=self._own_node, number=number, sample=sample),
            scheduler,
        )

    def _list_forbidden(
        self, service: str, regions: frozenset[str] | None
    ) -> frozenset[str]:
        """Returns the ids of the targets that restrictions forbid."""
        table = self._pool.target_table
        if regions is None and not table.restrictions.evacuated:
            return frozenset()
        return frozenset(
            instance.target.id
            for instance in table.list_instances(service)
            if not table.restrictions.allows(instance.target, regions)
        )

    def _find_usable(
        self, answer: Answer, regions: frozenset[str] | None
    ) -> TargetInstance | None:
        """Returns the granted engine if this node may use it."""
        if answer.target is None:
            return None
        instance = self._pool.target_table.get(answer.target.id)
        if (
            instance is None
            or instance.target.born != answer.target.born
            or not self._pool.target_table.may_receive(instance, regions)
            or self._pool.target_table.is_paused(instance)
        ):
            return None
        return instance
