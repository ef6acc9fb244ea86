"""Chooses targets for requests and queues generations until one has capacity.

The choice uses the targets' states, loads and recent failures.
"""

import random
from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway import target_selection
from acaciarack.gateway.failure_tracker import FailureTracker
from acaciarack.gateway.loads import Generation, Load, LoadTracker
from acaciarack.gateway.memory_profile import reserve_memory
from acaciarack.gateway.queue_classes import (
    NONE_WAITING,
    SHORT_CLASS,
    ClassCounts,
    classify_generation,
    count_classes,
    sum_counts,
)
from acaciarack.gateway.spec import EngineSpec, Service
from acaciarack.gateway.target_selection import Candidate
from acaciarack.gateway.target_table import TargetInstance, TargetTable
from acaciarack.gateway.wait_estimates import WaitEstimator

UPDATE_DELAY_PER_NODE = timedelta(milliseconds=1.5)
"""Time, per node, until all peers know of a generation that a node has started.
It covers the sender's pause between two datagrams and the receivers' pause
between two batches."""
MIN_UPDATE_DELAY = timedelta(milliseconds=40)
"""Lower limit of the time until all peers know, for small fleets."""
MIGRATION_RESERVE_TIME = timedelta(seconds=3)
"""How long memory is reserved for an engine's generations after the engine
began to leave. The longest known notice period is 2 s, and generations continue
for some steps after it."""
_POLL_INTERVAL = timedelta(milliseconds=15)
"""How often a queued generation checks for free capacity. The interval is far
below the shortest time to the first token that callers require, 1.5 s."""


@dataclass(frozen=True, kw_only=True, order=True)
class _QueueEntry:
    """A generation in this node's queue.

    Entries are ordered by their fields. The smallest entry goes first.
    """

    rank: tuple[int, ...]
    queue_class: int
    arrival: int


class TargetPool:
    """Chooses targets for requests.

    Attributes:
        target_table: the targets and their states.
        loads: the load of each target.
        failure_tracker: the recent failures of each target.
        nodes: the number of nodes that choose targets, including this one.
        wait_estimator: estimates how long refused callers should wait.

    ``count_waiting_on_peers`` returns the number of generations of a service
    that are queued on other nodes, per class.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        target_table: TargetTable,
        loads: LoadTracker,
        failure_tracker: FailureTracker,
        data_centre: str,
        draw: Callable[[], float] = random.random,
        count_waiting_on_peers: Callable[[str], ClassCounts] = lambda service: (
            NONE_WAITING
        ),
    ) -> None:
        self.nodes = 1
        self.wait_estimator = WaitEstimator()
        self._count_waiting_on_peers = count_waiting_on_peers
        self._on_waiting: Callable[[], None] | None = None
        self._draw = draw
        self.target_table = target_table
        self.loads = loads
        self.failure_tracker = failure_tracker
        self._clock = clock
        self._data_centre = data_centre
        self._queues: dict[str, list[_QueueEntry]] = {}
        self._arrival_count = 0

    def list_candidates(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> list[Candidate]:
        """Returns the targets that a new request may go to."""
        instances = [
            instance
            for instance in self.target_table.list_usable(service)
            if instance.target.id not in exclude
            and not self.target_table.is_paused(instance)
        ]
        return [
            Candidate(
                instance=instance,
                load=self.loads.get_total(instance.target.id),
                penalty=self.failure_tracker.get_penalty(instance.target.id),
            )
            for instance in self.failure_tracker.exclude_ejected(instances)
        ]

    def choose_for_call(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> TargetInstance | None:
        """Chooses the target of a plain call."""
        return target_selection.choose_call_target(
            self.list_candidates(service, exclude=exclude),
            data_centre=self._data_centre,
        )

    def list_generation_candidates(
        self, service: str, *, exclude: Collection[str] = ()
    ) -> list[Candidate]:
        """Returns the engines that a new generation may go to.

        Their loads include memory that is reserved for migrations. If an engine
        leaves while the fleet is full, its generations have nowhere else to go
        once new generations have taken the free memory. Memory is reserved only
        in the data centre of the leaving engine, since copies to another data
        centre take twice as long and do not finish within the notice period.
        """
        candidates = self.list_candidates(service, exclude=exclude)
        migrating_tokens: Counter[str] = Counter()
        for instance in self.target_table.list_recent_departures(
            service, MIGRATION_RESERVE_TIME
        ):
            load = self.loads.get_total(instance.target.id)
            migrating_tokens[instance.target.data_centre] += load.used
        if not migrating_tokens.total():
            return candidates
        engine_counts = Counter(
            c.instance.target.data_centre for c in candidates
        )
        return [
            _reserve_for_migrations(candidate, migrating_tokens, engine_counts)
            for candidate in candidates
        ]

    def choose_for_migration(
        self,
        source: TargetInstance,
        spec: EngineSpec,
        *,
        used_tokens: int,
        exclude: Collection[str] = (),
    ) -> TargetInstance | None:
        """Chooses the engine that a running generation migrates to.

        Returns:
            The engine; ``None`` if no engine has a free slot and enough memory.
        """
        candidates = self.list_candidates(
            source.target.service, exclude={source.target.id, *exclude}
        )
        return target_selection.choose_destination(
            candidates,
            spec=spec,
            used_tokens=used_tokens,
            data_centre=source.target.data_centre,
        )

    def choose_for_standby(
        self, source: TargetInstance, spec: EngineSpec, *, used_tokens: int
    ) -> TargetInstance | None:
        """Chooses the engine that keeps a standby copy of a generation.

        Returns:
            The engine; ``None`` if no engine has enough free memory.
        """
        return target_selection.choose_standby(
            self.list_candidates(
                source.target.service, exclude={source.target.id}
            ),
            spec=spec,
            used_tokens=used_tokens,
            data_centre=source.target.data_centre,
        )

    def should_evict_standby(
        self, instance: TargetInstance, spec: EngineSpec
    ) -> bool:
        """Returns whether an engine's standby copies should be evicted."""
        used_tokens = target_selection.count_used_tokens(
            self.loads.get_total(instance.target.id)
        )
        return (
            used_tokens
            > target_selection.STANDBY_EVICTION_UTILIZATION * spec.memory_tokens
        )

    def subscribe(self, on_waiting: Callable[[], None]) -> None:
        """Sets the callback for when a generation starts to wait here."""
        self._on_waiting = on_waiting

    def list_waiting(self) -> dict[str, ClassCounts]:
        """Returns the number of generations queued here, by service and class.

        Services without queued generations are omitted.
        """
        return {
            service: self._count_local(service)
            for service, queue in self._queues.items()
            if queue
        }

    def count_waiting(self, service: str) -> ClassCounts:
        """Returns the number of generations queued on all nodes, per class."""
        return sum_counts(
            [self._count_local(service), self._count_waiting_on_peers(service)]
        )

    def _count_local(self, service: str) -> ClassCounts:
        return count_classes(
            entry.queue_class for entry in self._queues.get(service, ())
        )

    def get_pause_left(self, service: str) -> timedelta | None:
        """Returns the time until the first target of a service ends its pause.

        Returns ``None`` unless all its usable targets are paused.
        """
        pause_end = self.target_table.get_pause_end(service)
        if pause_end is None:
            return None
        return pause_end - self._clock.elapsed()

    def estimate_wait(self, service: str) -> timedelta:
        """Returns how long a refused caller should wait before it retries."""
        pause_left = self.get_pause_left(service)
        if pause_left is not None:
            return pause_left
        running = sum(
            candidate.load.requests
            for candidate in self.list_candidates(service)
        )
        waiting = sum(self.count_waiting(service))
        return self.wait_estimator.estimate(waiting=waiting, running=running)

    async def wait_for_capacity(
        self,
        service: Service,
        spec: EngineSpec,
        *,
        generation: Generation,
        rank: tuple[int, ...],
        limit: timedelta,
        exclude: Collection[str] = (),
    ) -> TargetInstance | None:
        """Waits until an engine has capacity for a generation.

        The generations queued on this node are admitted in the order of their
        ranks. Within a rank, short generations go first, and each class is
        admitted in order of arrival. A random draw decides which node admits
        the next generation.

        Args:
            service: the engines' service.
            spec: slots and memory of its engines.
            generation: the new generation.
            rank: the priority; the lowest rank goes first.
            limit: the longest wait.
            exclude: ids of engines that have refused the generation.

        Returns:
            The engine; ``None`` if no engine had capacity in time.
        """
        queue = self._queues.setdefault(service.name, [])
        self._arrival_count += 1
        entry = _QueueEntry(
            rank=rank,
            queue_class=classify_generation(generation.estimate_remaining()),
            arrival=self._arrival_count,
        )
        queue.append(entry)
        deadline = self._clock.elapsed() + limit
        has_waited = False
        try:
            while True:
                if entry == min(queue):
                    candidates = self.list_generation_candidates(
                        service.name, exclude=exclude
                    )
                    instance = self._try_admit(
                        service, spec, generation, candidates, entry.queue_class
                    )
                    if instance is not None:
                        return instance
                if self._clock.elapsed() >= deadline:
                    return None
                pause_left = self.get_pause_left(service.name)
                if (
                    pause_left is not None
                    and self._clock.elapsed() + pause_left >= deadline
                ):
                    # No engine takes requests in time.
                    return None
                if not has_waited and self._on_waiting:
                    self._on_waiting()
                has_waited = True
                await self._clock.sleep(self._get_poll_delay(service.name))
        finally:
            queue.remove(entry)

    def _try_admit(
        self,
        service: Service,
        spec: EngineSpec,
        generation: Generation,
        candidates: list[Candidate],
        queue_class: int,
    ) -> TargetInstance | None:
        """Chooses an engine with capacity, if there is one.

        While generations of the same class or of a class that goes first are
        queued on other nodes, this node takes only its share of the capacity.
        """
        peer_counts = self._count_waiting_on_peers(service.name)
        ahead = sum(peer_counts[:queue_class])
        same_class = peer_counts[queue_class]
        max_utilization = target_selection.ADMIT_MAX_UTILIZATION
        if queue_class != SHORT_CLASS:
            max_utilization = target_selection.LONG_MAX_UTILIZATION
        if not ahead and not same_class:
            return target_selection.choose_engine(
                candidates,
                spec=spec,
                generation=generation,
                data_centre=self._data_centre,
                draw=self._draw,
                max_utilization=max_utilization,
            )
        local_count = self._count_local(service.name)[queue_class]
        return target_selection.draw_engine(
            candidates,
            spec=spec,
            generation=generation,
            ahead=ahead,
            contenders=(local_count + same_class) / local_count,
            data_centre=self._data_centre,
            draw=self._draw,
            max_utilization=max_utilization,
        )

    def _get_poll_delay(self, service: str) -> timedelta:
        """Returns the delay until the next check for free capacity.

        While generations are queued on other nodes, the delay is random. On
        average, it is as long as updates need to reach all peers, so this node
        usually knows by then which capacity the other nodes have taken.
        """
        if self._count_waiting_on_peers(service) == NONE_WAITING:
            return _POLL_INTERVAL
        update_delay = max(MIN_UPDATE_DELAY, UPDATE_DELAY_PER_NODE * self.nodes)
        return update_delay * (0.5 + self._draw())


def _reserve_for_migrations(
    candidate: Candidate,
    migrating_tokens: Counter[str],
    engine_counts: Counter[str],
) -> Candidate:
    """Adds an engine's share of the memory reserved for migrations to its load.

    Args:
        candidate: the engine.
        migrating_tokens: the memory of generations on leaving engines, in
            tokens, by data centre.
        engine_counts: the number of candidate engines, by data centre.
    """
    data_centre = candidate.instance.target.data_centre
    tokens = migrating_tokens[data_centre] // engine_counts[data_centre]
    if not tokens:
        return candidate
    reservation = Load(memory_profile=reserve_memory(tokens))
    return replace(candidate, load=candidate.load + reservation)
