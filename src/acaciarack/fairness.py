"""A weighted fair queue across organisations, and engine priorities.

The queue does start-time fair queueing: an organisation that has a backlog
is served in proportion to its share, whatever the size of its requests and
however many it sends.
"""

import math
from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

from acaciarack.errors import AcaciarackError

T = TypeVar("T")
_PRIORITY_TOKENS = 64
_MAX_WORK_PRIORITY = 8
_MAX_IDLE_FLOWS = 4096


class DuplicateEntryError(AcaciarackError):
    """A request with this id is queued already."""


@dataclass(frozen=True, kw_only=True)
class QueueEntry(Generic[T]):
    """One queued request.

    Attributes:
        id: unique in the queue.
        organisation: whose request it is.
        share: the organisation's weight; above 0.
        cost: what serving it takes, for instance tokens; above 0.
        priority: a lower number goes first within the organisation.
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
    """One organisation's entries, and the virtual times of its service."""

    share: float
    start: float
    finish: float
    entries: list[tuple[int, int, QueueEntry[T]]]


class FairQueue(Generic[T]):
    """Queued requests in the order of fair service."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._by_id: dict[str, QueueEntry[T]] = {}
        self._virtual_time = 0.0
        self._pushed = 0

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
            DuplicateEntryError: its id is queued already.
        """
        if entry.id in self._by_id:
            raise DuplicateEntryError(f"{entry.id!r} is queued already")
        flow = self._get_flow(entry.organisation)
        flow.share = entry.share
        if not flow.entries:
            flow.start = max(self._virtual_time, flow.finish)
        self._pushed += 1
        self._by_id[entry.id] = entry
        insort(flow.entries, (entry.priority, self._pushed, entry))

    def iterate_heads(self) -> Iterator[QueueEntry[T]]:
        """Yields each organisation's first entry, the next to serve first."""
        flows = [flow for flow in self._flows.values() if flow.entries]
        for flow in sorted(flows, key=_get_start):
            yield flow.entries[0][2]

    def take(self, entry_id: str) -> QueueEntry[T]:
        """Removes a request that is served now, at its organisation's cost.

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
        """Removes a request that is not served; unknown ids are ignored."""
        entry = self._by_id.get(entry_id)
        if entry is not None:
            self._remove(entry)

    def charge(self, organisation: str, amount: float) -> None:
        """Corrects an organisation's cost once the real one is known.

        Args:
            organisation: whose cost it is.
            amount: the real cost less the one it was taken at.
        """
        flow = self._flows.get(organisation)
        if flow is None:
            return
        flow.finish += amount / flow.share
        if flow.entries:
            flow.start += amount / flow.share

    def sum_cost_before(self, entry_id: str) -> float:
        """Sums the cost of the requests that are to be served before one.

        Organisations with a backlog are taken to be served by turns until
        the request's own turn in virtual time.
        """
        entry = self._by_id[entry_id]
        flow = self._flows[entry.organisation]
        own = 0.0
        for _, _, other in flow.entries:
            if other is entry:
                break
            own += other.cost
        turn = flow.start + own / flow.share
        return own + sum(
            _sum_cost_until(other, turn)
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
            self._drop_idle_flows()
            flow = _Flow(share=1.0, start=0.0, finish=0.0, entries=[])
            self._flows[organisation] = flow
        return flow

    def _drop_idle_flows(self) -> None:
        if len(self._flows) < _MAX_IDLE_FLOWS:
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


def compute_priority(
    *, tokens_done: int, waited_fraction: float, over_share: bool
) -> int:
    """Computes the priority of a request for the engine.

    Args:
        tokens_done: tokens already generated for it and lost.
        waited_fraction: the part of its deadline that has passed.
        over_share: whether its organisation has more than its share running.

    Returns:
        The priority; a lower number runs first and is preempted last. Work
        that was invested counts more than a long wait, which counts more
        than the organisation's share.
    """
    work = math.log2(1 + tokens_done / _PRIORITY_TOKENS)
    priority = -2 * min(_MAX_WORK_PRIORITY, math.ceil(work))
    if waited_fraction > 0.5:
        priority -= 1
    if over_share:
        priority += 1
    return priority


def _get_start(flow: _Flow[T]) -> float:
    return flow.start


def _sum_cost_until(flow: _Flow[T], turn: float) -> float:
    """Sums the cost of a flow's entries that start before ``turn``."""
    total = 0.0
    start = flow.start
    for _, _, entry in flow.entries:
        if start >= turn:
            break
        total += entry.cost
        start += entry.cost / flow.share
    return total
