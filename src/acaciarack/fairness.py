"""A weighted fair queue across organisations, and engine priorities.

The queue implements start-time fair queueing: it serves organisations with a
backlog in proportion to their shares, independently of the size and the
number of their requests.
"""

import math
from bisect import insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from acaciarack.errors import AcaciarackError

T = TypeVar("T")
# The work level of a request is log2(1 + lost output tokens / work unit),
# rounded up and limited to the maximum. Each level is worth 2 priority steps.
_WORK_UNIT_TOKENS = 64
_MAX_WORK_LEVEL = 8
# If there are this many flows, idle flows are evicted before one is added.
_FLOW_EVICTION_THRESHOLD = 4096


class DuplicateEntryError(AcaciarackError):
    """The request is queued already."""


@dataclass(frozen=True, kw_only=True)
class QueueEntry(Generic[T]):
    """One queued request.

    Attributes:
        id: unique in the queue.
        organisation: the caller's organisation.
        share: the organisation's weight; above 0.
        cost: the cost of the request, for instance in tokens; above 0.
        priority: a lower number is served first within the organisation.
        item: the request itself.
    """

    id: str
    organisation: str
    share: float
    cost: float
    priority: int
    item: T


@dataclass(kw_only=True)
class _Flow(Generic[T]):
    """One organisation's entries and its virtual service times.

    Attributes:
        share: the organisation's weight.
        start: virtual start time of the first entry.
        finish: virtual finish time of the last served entry.
        entries: tuples of priority, sequence number and entry, sorted.
    """

    share: float
    start: float
    finish: float
    entries: list[tuple[int, int, QueueEntry[T]]]


class FairQueue(Generic[T]):
    """A queue with weighted fair service of organisations."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._by_id: dict[str, QueueEntry[T]] = {}
        self._virtual_time = 0.0
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, entry_id: str) -> bool:
        return entry_id in self._by_id

    def count(self, organisation: str) -> int:
        """Returns the number of an organisation's entries."""
        flow = self._flows.get(organisation)
        return len(flow.entries) if flow else 0

    def get(self, entry_id: str) -> QueueEntry[T]:
        """Returns a queued entry.

        Raises:
            KeyError: no request with this id is queued.
        """
        return self._by_id[entry_id]

    def push(self, entry: QueueEntry[T]) -> None:
        """Adds a request.

        Raises:
            DuplicateEntryError: a request with this id is queued already.
        """
        if entry.id in self._by_id:
            raise DuplicateEntryError(f"request {entry.id!r} is queued already")
        flow = self._get_flow(entry.organisation)
        flow.share = entry.share
        if not flow.entries:
            flow.start = max(self._virtual_time, flow.finish)
        self._sequence += 1
        self._by_id[entry.id] = entry
        insort(flow.entries, (entry.priority, self._sequence, entry))

    def iterate_heads(self) -> Iterator[QueueEntry[T]]:
        """Yields each organisation's first entry, in the order of service."""
        flows = [flow for flow in self._flows.values() if flow.entries]
        for flow in sorted(flows, key=_get_virtual_start):
            yield flow.entries[0][2]

    def dequeue(self, entry_id: str) -> QueueEntry[T]:
        """Removes a request to serve it, and charges its organisation.

        Raises:
            KeyError: no request with this id is queued.
        """
        entry = self._by_id[entry_id]
        flow = self._flows[entry.organisation]
        self._virtual_time = max(self._virtual_time, flow.start)
        flow.finish = flow.start + entry.cost / flow.share
        flow.start = flow.finish
        self._remove(entry)
        return entry

    def discard(self, entry_id: str) -> None:
        """Removes a request that is not served; ignores unknown ids."""
        entry = self._by_id.get(entry_id)
        if entry is not None:
            self._remove(entry)

    def charge(self, organisation: str, amount: float) -> None:
        """Corrects an organisation's cost once the actual cost is known.

        Args:
            organisation: the organisation.
            amount: the actual cost minus the cost charged by ``dequeue``.
        """
        flow = self._flows.get(organisation)
        if flow is None:
            return
        flow.finish += amount / flow.share
        if flow.entries:
            flow.start += amount / flow.share

    def sum_cost_before(self, entry_id: str) -> float:
        """Sums the cost of the requests that will be served before one.

        These are the earlier entries of the same organisation, and the
        entries of others with an earlier virtual start time.
        """
        entry = self._by_id[entry_id]
        flow = self._flows[entry.organisation]
        own_cost = 0.0
        for _, _, other in flow.entries:
            if other is entry:
                break
            own_cost += other.cost
        virtual_start = flow.start + own_cost / flow.share
        return own_cost + sum(
            _sum_cost_until(other, virtual_start)
            for other in self._flows.values()
            if other is not flow and other.entries
        )

    def sum_cost(self) -> float:
        """Sums the cost of all queued requests."""
        return sum(entry.cost for entry in self._by_id.values())

    def iterate(self) -> Iterator[QueueEntry[T]]:
        """Yields all entries in the order of their arrival."""
        yield from self._by_id.values()

    def _get_flow(self, organisation: str) -> _Flow[T]:
        flow = self._flows.get(organisation)
        if flow is None:
            self._evict_idle_flows()
            flow = _Flow(share=1.0, start=0.0, finish=0.0, entries=[])
            self._flows[organisation] = flow
        return flow

    def _evict_idle_flows(self) -> None:
        if len(self._flows) < _FLOW_EVICTION_THRESHOLD:
            return
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.entries or flow.finish > self._virtual_time
        }

    def _remove(self, entry: QueueEntry[T]) -> None:
        del self._by_id[entry.id]
        flow = self._flows[entry.organisation]
        flow.entries = [each for each in flow.entries if each[2] is not entry]


def iterate_virtual_starts(
    start: float, costs: Iterable[float], share: float
) -> Iterator[float]:
    """Yields the virtual start of each of an organisation's requests.

    Args:
        start: the virtual start of the first one.
        costs: their costs, in the order of service.
        share: the organisation's weight.
    """
    for cost in costs:
        yield start
        start += cost / share


def compute_priority(
    *, generated_tokens: int, waited_fraction: float, is_over_share: bool
) -> int:
    """Computes the priority of a request for the engine.

    Args:
        generated_tokens: lost output tokens of earlier attempts.
        waited_fraction: the fraction of its longest allowed wait that has
            passed.
        is_over_share: whether its organisation has more requests running than
            the average organisation.

    Returns:
        The priority; a lower number runs first and is preempted last. Lost
        tokens have the largest weight: each level of work lowers the number
        by 2. A wait of more than half of the longest wait lowers it by 1;
        ``is_over_share`` raises it by 1.
    """
    work = math.log2(1 + generated_tokens / _WORK_UNIT_TOKENS)
    priority = -2 * min(_MAX_WORK_LEVEL, math.ceil(work))
    if waited_fraction > 0.5:
        priority -= 1
    if is_over_share:
        priority += 1
    return priority


def _get_virtual_start(flow: _Flow[T]) -> float:
    return flow.start


def _sum_cost_until(flow: _Flow[T], virtual_start: float) -> float:
    """Sums the cost of entries with a start time before ``virtual_start``."""
    total = 0.0
    costs = [entry.cost for _, _, entry in flow.entries]
    starts = iterate_virtual_starts(flow.start, costs, flow.share)
    for start, cost in zip(starts, costs, strict=True):
        if start >= virtual_start:
            break
        total += cost
    return total
