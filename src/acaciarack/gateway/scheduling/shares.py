"""Fair shares between organisations in the queue of generations.

Inside a priority and class, the next generation is the one of the organisation
with the least virtual service. The virtual service of an organisation is the
cost of its generations in the whole fleet: what running ones are expected to
cost in all, what ended ones have cost, and what was granted and is not reported
yet. The cost of the past decays, so that shares follow the demand.

Nodes report these costs (see ``capacity.usage``), and a scheduler adds only its
own grants of the last moments. A new scheduler therefore continues with the
first reports, and two schedulers at a time differ by one report.

All costs decay at the same rate. Instead of multiplying each of them by a
falling factor, this module multiplies new ones by a rising one (forward decay).
So the order of organisations does not change while nothing is charged.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.fairness import iterate_virtual_starts
from acaciarack.gateway.capacity.loads import Generation, Load
from acaciarack.gateway.capacity.usage import (
    DECAY_TIME,
    MAX_ORGANISATIONS,
    MIN_COST,
    UsageTracker,
    estimate_cost,
)

BURST = 250_000.0
"""Most that an organisation may be behind the others when its generations begin
to wait, in tokens of memory times seconds. Ten long generations cost this
much."""
OWN_REFRESH_INTERVAL = timedelta(milliseconds=250)
"""How often the costs of generations that run at this node are read again."""
SWEEP_INTERVAL = timedelta(seconds=5)
"""How often costs that have decayed are removed."""
MAX_EXPONENT = 500.0
"""Largest exponent of the factor of costs. Costs have decayed to nothing long
before, and larger exponents exceed the range of floating-point numbers."""
_OWN_NODE = ""


@dataclass(kw_only=True)
class _NodeCosts:
    """The costs that one node has reported.

    Attributes:
        started: the start of the node's lifetime.
        costs: the inflated cost of each organisation.
    """

    started: int
    costs: dict[str, float] = field(default_factory=dict)


def estimate_usage(
    loads: Mapping[str, Load], duration: timedelta
) -> dict[str, float]:
    """Returns the usage of a node that does not report it.

    Nodes of the released version do not. Their callers count as one
    organisation, the one without a name.

    Args:
        loads: the node's load on each target.
        duration: how long generations run on average.
    """
    tokens = sum((load.used + load.expected) / 2 for load in loads.values())
    return {"": tokens * duration.total_seconds()}


class Shares:
    """Keeps the virtual service of organisations."""

    def __init__(
        self,
        *,
        clock: Clock,
        usage: UsageTracker,
        get_weight: Callable[[str], float] = lambda organisation: 1.0,
    ) -> None:
        """Initialises the shares.

        Args:
            clock: the clock.
            usage: the costs at this node.
            get_weight: returns the weight of an organisation's share; above 0.
        """
        self._clock = clock
        self._usage = usage
        self._get_weight = get_weight
        # When costs were last deflated, which makes the factor of new ones 1;
        # ``None`` before the first cost, as the loop may not run yet.
        self._epoch: timedelta | None = None
        self._nodes: dict[str, _NodeCosts] = {}
        self._grants: dict[int, tuple[str, float]] = {}
        # What organisations could not save up while they were idle.
        self._forfeited: dict[str, float] = {}
        # Sums of the three, by organisation.
        self._services: dict[str, float] = {}
        self._waiting: dict[str, frozenset[str]] = {}
        self._own_change_count = 0
        self._own_read_at = timedelta(0)

    def update_node(
        self, name: str, started: int, usage: Mapping[str, float]
    ) -> None:
        """Takes over the costs that a node reports.

        Organisations that the report does not name keep their costs.

        Args:
            name: the node.
            started: the start of its lifetime; a new one replaces all costs.
            usage: the cost of each organisation.
        """
        self._sweep()
        node = self._nodes.get(name)
        if node is None or node.started != started:
            if node is not None:
                for organisation, cost in node.costs.items():
                    self._add(organisation, -cost)
            node = self._nodes[name] = _NodeCosts(started=started)
        factor = self._get_factor()
        for organisation, cost in usage.items():
            if not self._may_keep(organisation):
                continue
            inflated = cost * factor
            change = inflated - node.costs.get(organisation, 0.0)
            node.costs[organisation] = inflated
            self._add(organisation, change)

    def add_grant(self, organisation: str, generation: Generation) -> None:
        """Charges a generation that was granted an engine."""
        self._sweep()
        self.remove_grant(generation)
        if self._may_keep(organisation):
            cost = estimate_cost(generation) * self._get_factor()
            self._grants[id(generation)] = (organisation, cost)
            self._add(organisation, cost)

    def remove_grant(self, generation: Generation) -> None:
        """Removes the charge of a grant that its node reports, or gave back."""
        organisation, cost = self._grants.pop(id(generation), ("", 0.0))
        if cost:
            self._add(organisation, -cost)

    def get_service(self, organisation: str) -> float:
        """Returns an organisation's virtual service.

        The unit is tokens of memory times seconds, divided by the weight.
        """
        self._read_own_usage()
        return self._get_start(organisation) / self._get_factor()

    def compute_starts(
        self, service: str, waiting: Sequence[tuple[str, float]]
    ) -> list[float]:
        """Returns the virtual start of each generation in a queue.

        Generations start in the order of these values. They are comparable
        until the next call.

        Args:
            service: the service of the queue.
            waiting: the organisation and the expected cost of each generation,
                with the generations of an organisation in their order.
        """
        self._sweep()
        by_organisation: dict[str, list[int]] = defaultdict(list)
        for index, (organisation, _) in enumerate(waiting):
            by_organisation[organisation].append(index)
        starts = [0.0] * len(waiting)
        if len(by_organisation) > 1:
            self._read_own_usage()
            factor = self._get_factor()
            first_starts = {o: self._get_start(o) for o in by_organisation}
            self._limit_bursts(service, first_starts, factor)
            for organisation, indices in by_organisation.items():
                if len(indices) == 1:
                    starts[indices[0]] = first_starts[organisation]
                    continue
                virtual_starts = iterate_virtual_starts(
                    first_starts[organisation],
                    [waiting[index][1] * factor for index in indices],
                    self._get_weight(organisation),
                )
                for index, start in zip(indices, virtual_starts, strict=True):
                    starts[index] = start
        self._waiting[service] = frozenset(by_organisation)
        return starts

    def end_queue(self, service: str) -> None:
        """Notes that nothing waits for a service any more."""
        self._waiting.pop(service, None)

    def _limit_bursts(
        self, service: str, starts: dict[str, float], factor: float
    ) -> None:
        """Limits what organisations have saved up while none of theirs waited.

        Args:
            service: the service of the queue.
            starts: the virtual service of the organisations that wait now;
                changed for those that have saved up too much.
            factor: the factor of new costs.
        """
        waited = self._waiting.get(service, frozenset())
        idle = starts.keys() - waited
        if not idle or len(idle) == len(starts):
            return
        level = min(s for o, s in starts.items() if o in waited)
        floor = level - BURST * factor
        for organisation in idle:
            lacking = floor - starts[organisation]
            if lacking > 0 and self._may_keep(organisation):
                starts[organisation] = floor
                lacking *= self._get_weight(organisation)
                self._forfeited[organisation] = (
                    self._forfeited.get(organisation, 0.0) + lacking
                )
                self._add(organisation, lacking)

    def _read_own_usage(self) -> None:
        now = self._clock.elapsed()
        count = self._usage.change_count
        if (
            count != self._own_change_count
            or now - self._own_read_at >= OWN_REFRESH_INTERVAL
        ):
            self._own_change_count, self._own_read_at = count, now
            self.update_node(_OWN_NODE, 0, self._usage.list_costs())

    def _get_start(self, organisation: str) -> float:
        service = self._services.get(organisation, 0.0)
        return service / self._get_weight(organisation)

    def _get_factor(self) -> float:
        """Returns the factor of costs that are charged now."""
        now = self._clock.elapsed()
        if self._epoch is None:
            self._epoch = now
        return math.exp(min((now - self._epoch) / DECAY_TIME, MAX_EXPONENT))

    def _may_keep(self, organisation: str) -> bool:
        return (
            organisation in self._services
            or len(self._services) < MAX_ORGANISATIONS
        )

    def _add(self, organisation: str, cost: float) -> None:
        self._services[organisation] = (
            self._services.get(organisation, 0.0) + cost
        )

    def _sweep(self) -> None:
        """Removes decayed costs, and sets the factor of new costs to 1."""
        now = self._clock.elapsed()
        factor = self._get_factor()
        if self._epoch is None or now - self._epoch < SWEEP_INTERVAL:
            return
        self._epoch = now
        self._services = {}
        for name, node in list(self._nodes.items()):
            node.costs = self._deflate(node.costs, factor)
            if not node.costs:
                del self._nodes[name]
        self._forfeited = self._deflate(self._forfeited, factor)
        for key, (organisation, cost) in self._grants.items():
            self._grants[key] = (organisation, cost / factor)
            self._add(organisation, cost / factor)

    def _deflate(
        self, costs: Mapping[str, float], factor: float
    ) -> dict[str, float]:
        """Divides costs by a factor, and adds those that are left."""
        left = {
            organisation: cost / factor
            for organisation, cost in costs.items()
            if cost / factor >= MIN_COST
        }
        for organisation, cost in left.items():
            self._add(organisation, cost)
        return left
