"""Places plain calls by the time at which targets are expected to end them.

Answers the load of services whose targets differ in speed, or work slowly now
and then: 86 nodes before 4 servers send 69 calls per second, so that each node
hears of a server once in a second or less, while a slowdown period lasts 600
ms. The scheduler of the service knows all calls and each server's newest load.

A target gets a call only shortly before it can start it. Until then the call is
queued, because a target that is fast now may be slow when the call would start.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.gateway.scheduling.call_loads import CallGrant, CallLoads
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

START_SLACK = timedelta(milliseconds=20)
"""Expected wait at a target up to which a call is sent there. The report of an
end and the next grant take about this long, as nodes read datagrams every 10
ms, and the slot would be idle meanwhile."""
SCHEDULE_INTERVAL = timedelta(milliseconds=15)
"""How often queued calls are matched with targets if no end is reported."""
MAX_QUEUED_CALLS = 512
"""Largest number of queued calls of a service. 24 slots run as many calls of 70
ms in 1.5 s; callers of later ones would have given up."""
PENALTY_COST = 0.3
"""Share of the work time that each recent failure of a target, weighted by age,
adds to the expected end there. It is the weight that ``target_selection``
gives failures."""
WARMUP_COST = 0.3
"""The same for a target that warms up."""
END_RESOLUTION = 0.005
"""Difference in seconds below which two expected ends count as equal."""
NO_TARGET_RETRY = timedelta(milliseconds=250)
"""When to come back if the service has no target that can be used."""


@dataclass(frozen=True, kw_only=True)
class CallRequest:
    """A plain call that needs a target.

    Attributes:
        service: the service of the targets.
        rank: the priority; the lowest rank goes first.
        objective: the elapsed time at which its answer is due.
        deadline: the elapsed time until which it may wait.
        data_centre: the data centre of the node that serves it.
        exclude: ids of targets that were tried.
    """

    service: str
    rank: tuple[int, ...]
    objective: timedelta
    deadline: timedelta
    data_centre: str
    exclude: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class CallRefusal:
    """A call that cannot start in time.

    Attributes:
        retry_after: the time after which a place is expected.
    """

    retry_after: timedelta


@dataclass(kw_only=True, eq=False)
class _Option:
    """A target that a call may go to.

    Attributes:
        instance: the target.
        slots: the number of calls that it runs at the same time.
        ahead: the expected number of calls there, and of queued calls that are
            to go there.
        work_time: the seconds that a call takes on a slot there.
        cost: the seconds that failures and warm-up count.
        is_due: whether it limits requests, and a call is due that tells whether
            it still does.
    """

    instance: TargetInstance
    slots: int
    ahead: float
    work_time: float
    cost: float
    is_due: bool

    @property
    def wait(self) -> float:
        """The seconds until a call can start there."""
        excess = self.ahead - self.slots + 1
        return max(0.0, excess) * self.work_time / self.slots

    @property
    def can_start(self) -> bool:
        return self.wait <= START_SLACK.total_seconds()

    def get_order(self, data_centre: str) -> tuple[bool, int, float, bool]:
        """Returns the sort key of a target; the lowest is chosen."""
        end = self.wait + self.work_time + self.cost
        return (
            not self.is_due,
            round(end / END_RESOLUTION),
            round(self.ahead / self.slots, 1),
            self.instance.target.data_centre != data_centre,
        )


@dataclass(kw_only=True, eq=False)
class _Entry:
    """A queued call; ``changed`` is set if it is granted or the first one."""

    request: CallRequest
    number: int
    grant: CallGrant | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    def get_order(self) -> tuple[tuple[int, ...], timedelta, int]:
        return (self.request.rank, self.request.objective, self.number)


class CallPlacement:
    """Places the plain calls of all nodes on targets.

    Attributes:
        loads: the calls on each target.
    """

    def __init__(self, *, clock: Clock, pool: TargetPool) -> None:
        self._clock = clock
        self._pool = pool
        self.loads = CallLoads(clock=clock, pool=pool)
        self._queues: dict[str, list[_Entry]] = {}
        self._entry_count = 0

    async def place(
        self,
        request: CallRequest,
        *,
        on_queued: Callable[[], None] = lambda: None,
    ) -> CallGrant | CallRefusal:
        """Waits until a target can start a call.

        The caller ends the grant with ``end``.

        Args:
            request: the call.
            on_queued: called if the call has to wait.
        """
        self._entry_count += 1
        entry = _Entry(request=request, number=self._entry_count)
        queue = self._queues.setdefault(request.service, [])
        queue.append(entry)
        try:
            self._schedule(request.service)
            if entry.grant is None:
                refusal = self._refuse_early(entry)
                if refusal is not None:
                    return refusal
                on_queued()
                await self._wait(entry)
        except trio.Cancelled:
            if entry.grant is not None:
                self.end(entry.grant)
            raise
        finally:
            self._remove(entry)
        return entry.grant or self._refuse(entry)

    def end(self, grant: CallGrant) -> None:
        """Ends a grant: its call has ended or is not sent."""
        self.loads.remove(grant)
        service = grant.instance.target.service
        if service in self._queues:
            self._schedule(service)

    def _list_options(self, service: str) -> list[_Option]:
        options = []
        for instance in self._pool.list_available(service):
            target = instance.target
            work_time = self.loads.get_work_time(target)
            penalty = self._pool.failure_tracker.get_penalty(target.id)
            cost = PENALTY_COST * penalty
            if target.warmup > timedelta(0):
                cost += WARMUP_COST
            options.append(
                _Option(
                    instance=instance,
                    slots=max(1, target.slots),
                    ahead=self.loads.count_calls(target),
                    work_time=work_time,
                    cost=cost * work_time,
                    is_due=self._is_limited(instance)
                    and self._pool.is_limit_stale(instance),
                )
            )
        return options

    def _is_limited(self, instance: TargetInstance) -> bool:
        return self._pool.target_table.is_limited(instance)

    def _schedule(self, service: str) -> None:
        """Grants targets to the queued calls that can start soon.

        A call whose expected end is the earliest on a target that is full waits
        for that target, and counts there for the calls behind it.
        """
        waiting = [e for e in self._queues[service] if e.grant is None]
        if not waiting:
            return
        options = self._list_options(service)
        for entry in sorted(waiting, key=_Entry.get_order):
            if not any(option.can_start for option in options):
                return
            option = self._choose(entry.request, options)
            if option.can_start:
                self._grant(entry, option)
                if not self._pool.target_table.may_take(option.instance):
                    options.remove(option)
            option.ahead += 1

    def _choose(
        self, request: CallRequest, options: Iterable[_Option]
    ) -> _Option:
        """Returns the target that is expected to end a call first.

        A target that limits requests is used if no other can start the call, or
        if a call is due there.
        """
        untried = [
            option
            for option in options
            if option.instance.target.id not in request.exclude
        ] or list(options)
        unlimited = [o for o in untried if not self._is_limited(o.instance)]
        if any(option.can_start for option in unlimited):
            untried = unlimited + [o for o in untried if o.is_due]
        return min(untried, key=lambda o: o.get_order(request.data_centre))

    def _grant(self, entry: _Entry, option: _Option) -> None:
        instance = option.instance
        grant = CallGrant(
            instance=instance,
            granted_at=self._clock.elapsed(),
            expected_time=timedelta(seconds=option.wait + option.work_time),
        )
        self.loads.add(grant)
        self._pool.count_request(instance)
        entry.grant = grant
        entry.changed.set()

    def _refuse_early(self, entry: _Entry) -> CallRefusal | None:
        """Refuses a call that is not expected to start by its deadline."""
        request = entry.request
        wait = self._forecast_wait(entry)
        time_left = request.deadline - self._clock.elapsed()
        if (
            wait is not None
            and wait <= time_left
            and len(self._queues[request.service]) <= MAX_QUEUED_CALLS
        ):
            return None
        return self._refuse(entry)

    def _refuse(self, entry: _Entry) -> CallRefusal:
        service = entry.request.service
        wait = self._forecast_wait(entry)
        if wait is None:
            wait = self._pool.get_pause_left(service)
        if wait is None and self._pool.list_limited(service):
            wait = self._pool.defer_request(service)
        return CallRefusal(retry_after=wait or NO_TARGET_RETRY)

    def _forecast_wait(self, entry: _Entry) -> timedelta | None:
        """Returns the time until a call can start behind those before it.

        Returns ``None`` if no target can be used.
        """
        options = self._list_options(entry.request.service)
        if not options:
            return None
        order = entry.get_order()
        ahead = 1 + sum(
            other.grant is None and other.get_order() < order
            for other in self._queues[entry.request.service]
        )
        excess = sum(max(0.0, o.ahead - o.slots) for o in options)
        rate = sum(option.slots / option.work_time for option in options)
        return timedelta(seconds=(ahead + excess) / rate)

    async def _wait(self, entry: _Entry) -> None:
        """Waits until a call is granted or its deadline has passed.

        Only the first call of a queue schedules the queue periodically.
        """
        service = entry.request.service
        while entry.grant is None:
            remaining = entry.request.deadline - self._clock.elapsed()
            if remaining <= timedelta(0):
                return
            is_first = entry is min(self._queues[service], key=_Entry.get_order)
            delay = min(SCHEDULE_INTERVAL, remaining) if is_first else remaining
            entry.changed = trio.Event()
            with trio.move_on_after(delay.total_seconds()):
                await entry.changed.wait()
            if entry.grant is None:
                self._schedule(service)

    def _remove(self, entry: _Entry) -> None:
        service = entry.request.service
        queue = self._queues[service]
        queue.remove(entry)
        if queue:
            min(queue, key=_Entry.get_order).changed.set()
        else:
            del self._queues[service]
