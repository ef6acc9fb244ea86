"""The queue of generations that wait for capacity on an engine.

One node, the scheduler, queues the generations of a service for all nodes (see
``scheduling``), so the order of the queue is the order of the whole fleet. The
queue answers the load of a fleet whose engines are full: more generations
arrive than engines can start, and most of them wait for memory.

Generations are admitted by rank, then short ones before long ones, then by fair
shares of organisations (see ``shares``), then by arrival. A generation that
fits on no engine lets smaller ones pass. The first large one of them keeps the
engine that is expected to have room for it first; otherwise, smaller ones take
all memory that becomes free. While several organisations wait, the first one of
any size keeps that engine; otherwise, the smallest prompts would go first, not
the organisation with the least service. A generation that cannot start before
its deadline is refused at once.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field, replace
from datetime import timedelta
from typing import Any

import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.capacity.usage import estimate_cost
from acaciarack.gateway.evidence.fingerprints import Fingerprint
from acaciarack.gateway.scheduling.queue_classes import (
    SHORT_CLASS,
    classify_generation,
)
from acaciarack.gateway.scheduling.shares import Shares
from acaciarack.gateway.scheduling.tickets import Tickets
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets import target_selection
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_selection import Candidate
from acaciarack.gateway.targets.target_table import TargetInstance

SCHEDULE_INTERVAL = timedelta(milliseconds=15)
"""How often waiting generations are matched with engines. The interval is far
below the shortest time to the first token that callers require, 1.5 s."""
LARGE_PROMPT_SHARE = 0.12
"""Fraction of an engine's memory from which a waiting prompt is large. Smaller
ones find room often enough on engines that no reservation keeps free."""
PROMPT_SIZE_STEP = 1000
"""Prompts within this many tokens count as equally large."""
FORECAST_MARGIN = 2.0
"""A generation is refused on arrival if its expected wait exceeds the time left
by this factor. Expected waits are off by a factor of two at times."""


@dataclass(frozen=True, kw_only=True)
class PlacementRequest:
    """A generation that needs an engine.

    Attributes:
        service: the service of the engines.
        spec: slots and memory of these engines.
        generation: the new generation.
        rank: the priority; the lowest rank goes first.
        arrived: the elapsed time at which it arrived at its first node.
        deadline: the elapsed time until which it may wait.
        data_centre: the data centre of the node that serves it.
        exclude: ids of engines that have refused it.
        avoids_limited: whether it cannot go to engines that limit requests,
            or are cold, because this node does not know what others send there.
        objective_at: the elapsed time at which its first event is due; ``None``
            if unknown.
        gap_objective: the objective for the pause between two of its events;
            zero if it has none.
        regions: the regions that it may reach; ``None`` for all.
        organisation: the caller's organisation; empty if it has none.
        fingerprint: what all attempts of the request have in common; empty if
            unknown.
    """

    service: str
    spec: EngineSpec
    generation: Generation
    rank: tuple[int, ...]
    arrived: timedelta
    deadline: timedelta
    data_centre: str
    exclude: frozenset[str] = frozenset()
    avoids_limited: bool = False
    objective_at: timedelta | None = None
    gap_objective: timedelta = timedelta(0)
    regions: frozenset[str] | None = None
    organisation: str = ""
    fingerprint: Fingerprint = b""


@dataclass(kw_only=True, eq=False)
class _Entry:
    """A queued generation.

    Attributes:
        request: the generation and its requirements.
        queue_class: its class (see ``queue_classes``).
        number: the order in which entries were added.
        cost: what it is expected to cost (see ``estimate_cost``).
        virtual_start: its place by fair shares (see ``Shares``).
        instance: the engine that admits it; ``None`` while it waits.
        changed: set when the entry is admitted or becomes the first one.
    """

    request: PlacementRequest
    queue_class: int
    number: int
    cost: float
    virtual_start: float = 0.0
    instance: TargetInstance | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    def get_order(self) -> tuple[tuple[int, ...], int, float, timedelta, int]:
        request = self.request
        return (
            request.rank,
            self.queue_class,
            self.virtual_start,
            request.arrived,
            self.number,
        )

    def get_own_order(self) -> tuple[tuple[int, ...], int, timedelta, int]:
        """Returns the order among the entries of the same organisation."""
        request = self.request
        return (request.rank, self.queue_class, request.arrived, self.number)

    def get_cheap_order(self) -> tuple[Any, ...]:
        """Returns the order while targets are cold: small prompts go first."""
        size = self.request.generation.used_tokens // PROMPT_SIZE_STEP
        rank, queue_class, *rest = self.get_order()
        return (rank, queue_class, size, *rest)


class PlacementQueue:
    """Queues generations and admits them to engines.

    Attributes:
        shares: the virtual service of organisations.
    """

    def __init__(self, *, clock: Clock, pool: TargetPool) -> None:
        self.shares = Shares(clock=clock, usage=pool.loads.usage)
        self._tickets = Tickets(clock=clock)
        self._clock = clock
        self._pool = pool
        self._queues: dict[str, list[_Entry]] = {}
        self._entry_count = 0

    def count_waiting(self, service: str) -> int:
        """Returns the number of generations queued for a service."""
        return len(self._queues.get(service, ()))

    def estimate_wait(
        self, service: str, *, regions: frozenset[str] | None = None
    ) -> timedelta:
        """Returns when the service is expected to have room for one more."""
        return self._pool.estimate_wait(
            service, waiting=self.count_waiting(service), regions=regions
        )

    def refuse(self, request: PlacementRequest) -> timedelta:
        """Returns how long a refused caller should wait before it retries.

        A caller with an organisation has the place of its first arrival then.
        """
        service = request.service
        if not request.organisation:
            return self.estimate_wait(service, regions=request.regions)
        retry_after = self._pool.estimate_wait(
            service,
            waiting=self.count_waiting(service)
            + self._tickets.count_due(service),
            regions=request.regions,
        )
        self._tickets.issue(
            service,
            request.organisation,
            request.fingerprint,
            arrived=request.arrived,
            retry_after=retry_after,
        )
        return retry_after

    async def place(
        self,
        request: PlacementRequest,
        *,
        on_queued: Callable[[], None] = lambda: None,
    ) -> TargetInstance | None:
        """Waits until an engine admits a generation.

        Until the caller adds the generation to the engine's load, the pool
        counts it as granted; the caller ends that with ``end_grant``.

        Args:
            request: the generation.
            on_queued: called if the generation has to wait.

        Returns:
            The engine; ``None`` if none has capacity before the deadline.
        """
        self._entry_count += 1
        arrived = self._tickets.redeem(
            request.service,
            request.organisation,
            request.fingerprint,
            request.arrived,
        )
        if arrived != request.arrived:
            request = replace(request, arrived=arrived)
        entry = _Entry(
            request=request,
            queue_class=classify_generation(
                request.generation.estimate_remaining()
            ),
            number=self._entry_count,
            cost=estimate_cost(request.generation),
        )
        queue = self._queues.setdefault(request.service, [])
        queue.append(entry)
        try:
            self._schedule(request.service)
            if entry.instance is None and not self._may_start_in_time(entry):
                return None
            if entry.instance is None:
                on_queued()
            await self._wait(entry)
        except trio.Cancelled:
            if entry.instance is not None:
                self.end_grant(entry.instance.target.id, request.generation)
            raise
        finally:
            queue.remove(entry)
            if queue:
                min(queue, key=_Entry.get_order).changed.set()
            else:
                self.shares.end_queue(request.service)
        return entry.instance

    def end_grant(self, target_id: str, generation: Generation) -> None:
        """Stops counting a generation as granted."""
        self._pool.loads.remove_grant(target_id, generation)
        self.shares.remove_grant(generation)

    async def _wait(self, entry: _Entry) -> None:
        """Waits until an entry is admitted or its deadline has passed.

        Only the first entry of a queue schedules the queue periodically.
        """
        service = entry.request.service
        while entry.instance is None:
            remaining = entry.request.deadline - self._clock.elapsed()
            if remaining <= timedelta(0) or self._is_restricted(entry):
                return
            is_first = entry is min(self._queues[service], key=_Entry.get_order)
            delay = min(SCHEDULE_INTERVAL, remaining) if is_first else remaining
            entry.changed = trio.Event()
            with trio.move_on_after(delay.total_seconds()):
                await entry.changed.wait()
            if entry.instance is None:
                self._schedule(service)

    def _is_restricted(self, entry: _Entry) -> bool:
        """Returns whether only restrictions leave no engine for an entry."""
        request = entry.request
        return self._pool.target_table.is_restricted(
            request.service, regions=request.regions
        )

    def _may_start_in_time(self, entry: _Entry) -> bool:
        """Returns whether an entry is likely to be admitted by its deadline."""
        request = entry.request
        time_left = request.deadline - self._clock.elapsed()
        if self._is_restricted(entry):
            return False
        if request.avoids_limited:
            warm_wait = self._pool.target_table.get_warm_wait(request.service)
            if warm_wait is not None:
                return warm_wait < time_left
        pause_left = self._pool.get_pause_left(
            request.service, regions=request.regions
        )
        if pause_left is not None:
            return pause_left < time_left
        order = entry.get_order()
        limit_wait = self._pool.forecast_limit_wait(
            request.service,
            ahead=sum(
                other.get_order() < order
                for other in self._queues[request.service]
            ),
        )
        if limit_wait is not None and limit_wait > time_left:
            return False
        if entry.queue_class == SHORT_CLASS:
            # Short ones need little memory, and wait for no long one to end.
            return True
        ahead = sum(
            other.queue_class == entry.queue_class and other.get_order() < order
            for other in self._queues[request.service]
        )
        wait = self._pool.forecast_wait(request.service, ahead=ahead)
        return wait is None or wait <= time_left * FORECAST_MARGIN

    def _schedule(self, service: str) -> None:
        """Admits the queued generations that engines have capacity for."""
        waiting = [e for e in self._queues[service] if e.instance is None]
        if not waiting:
            return
        self._update_order(service, waiting)
        candidates = {
            candidate.instance.target.id: candidate
            for candidate in self._pool.list_generation_candidates(service)
        }
        rejected: list[_Entry] = []
        reserved: set[str] = set()
        share_engines = len({e.request.organisation for e in waiting}) > 1
        order = (
            _Entry.get_cheap_order
            if self._pool.has_cold_targets(service)
            else _Entry.get_order
        )
        for entry in sorted(waiting, key=order):
            if any(_needs_at_least(entry, other) for other in rejected):
                continue
            chosen = self._choose(entry, candidates.values(), reserved)
            if chosen is not None:
                self._admit(entry, chosen, candidates)
                continue
            rejected.append(entry)
            if not reserved and (share_engines or _is_large(entry)):
                reserved.update(
                    _find_soonest(
                        candidate
                        for candidate in candidates.values()
                        if self._allows(entry, candidate)
                    )
                )

    def _allows(self, entry: _Entry, candidate: Candidate) -> bool:
        regions = entry.request.regions
        return regions is None or self._pool.target_table.restrictions.allows(
            candidate.instance.target, regions
        )

    def _update_order(self, service: str, waiting: list[_Entry]) -> None:
        """Orders entries by the virtual service of their organisations."""
        queue = self._queues[service]
        first = min(queue, key=_Entry.get_order)
        waiting.sort(key=_Entry.get_own_order)
        starts = self.shares.compute_starts(
            service, [(e.request.organisation, e.cost) for e in waiting]
        )
        for entry, start in zip(waiting, starts, strict=True):
            entry.virtual_start = start
        new_first = min(queue, key=_Entry.get_order)
        if new_first is not first:
            new_first.changed.set()

    def _choose(
        self,
        entry: _Entry,
        candidates: Iterable[Candidate],
        reserved: set[str],
    ) -> TargetInstance | None:
        request = entry.request
        is_short = entry.queue_class == SHORT_CLASS
        return target_selection.choose_engine(
            (
                candidate
                for candidate in candidates
                if candidate.instance.target.id not in request.exclude
                and self._allows(entry, candidate)
                and self._pool.target_table.may_take(candidate.instance)
                and not (
                    request.avoids_limited
                    and (
                        self._pool.target_table.is_limited(candidate.instance)
                        or self._pool.target_table.is_cold(candidate.instance)
                    )
                )
                and (is_short or candidate.instance.target.id not in reserved)
            ),
            spec=request.spec,
            generation=request.generation,
            data_centre=request.data_centre,
            draw=self._pool.draw,
            max_utilization=target_selection.ADMIT_MAX_UTILIZATION
            if is_short
            else target_selection.LONG_MAX_UTILIZATION,
            gap_objective=request.gap_objective,
            time_to_objective=None
            if request.objective_at is None
            else request.objective_at - self._clock.elapsed(),
        )

    def _admit(
        self,
        entry: _Entry,
        instance: TargetInstance,
        candidates: dict[str, Candidate],
    ) -> None:
        generation = entry.request.generation
        target_id = instance.target.id
        entry.instance = instance
        entry.changed.set()
        self._pool.loads.add_grant(target_id, generation)
        self.shares.add_grant(entry.request.organisation, generation)
        self._pool.count_request(instance)
        candidates[target_id] = replace(
            candidates[target_id],
            load=candidates[target_id].load + generation.build_load(),
        )


def _needs_at_least(entry: _Entry, rejected: _Entry) -> bool:
    """Returns whether an entry fits on no engine because another one does not.

    Engines that refused the rejected entry may have room for others.
    """
    request, other = entry.request, rejected.request
    return (
        not other.exclude
        and other.regions in (None, request.regions)
        and entry.queue_class >= rejected.queue_class
        and request.generation.used_tokens >= other.generation.used_tokens
        and request.generation.estimate_remaining()
        >= other.generation.estimate_remaining()
    )


def _is_large(entry: _Entry) -> bool:
    request = entry.request
    return (
        request.generation.used_tokens
        >= LARGE_PROMPT_SHARE * request.spec.memory_tokens
    )


def _find_soonest(candidates: Iterable[Candidate]) -> Iterator[str]:
    """Yields the engine that is expected to have the most room first."""
    soonest = min(
        candidates, key=lambda c: c.load.forecast_peak(), default=None
    )
    if soonest is not None:
        yield soonest.instance.target.id
