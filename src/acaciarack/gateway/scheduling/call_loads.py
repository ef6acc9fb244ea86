"""Counts the plain calls on each target, and how long they take there.

The scheduler of a service counts the calls that it has granted. Of the load
that a target reports, it adds only what exceeds its own count, which are calls
of nodes that decide alone or ask another scheduler.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.spec import Target
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.pace import TargetSample
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

GRANT_TIMEOUT = timedelta(seconds=2)
"""How long a grant counts at most if its end is not reported. A call that runs
longer still counts through the load that its target reports."""
MAX_TARGETS = 1024
"""Largest number of target lifetimes whose state is kept. The largest fleet has
600 targets."""
DEFAULT_WORK_TIME = 0.05
"""Work time of a call in seconds, until one is measured."""
MIN_WORK_TIME = 0.001
MAX_WORK_TIME = 10.0
WORK_TIME_STEP = 0.05
"""Relative step of the median work time with each sample. After a first value
that is 100 times too large, 95 calls correct it, 1.4 s at 69 calls per
second."""
MAX_REPORT_AGE = timedelta(seconds=1)
"""Age from which a reported load tells nothing. Most calls have ended since."""
TRANSIT_TIME = timedelta(milliseconds=5)
"""Time from a grant to the arrival of its call at the target: two hops within a
region. The load that a target reports lacks calls that are under way."""
OTHERS_HALF_LIFE = 0.3
"""Seconds after which half of others' calls are assumed to have ended."""
OTHERS_WEIGHT = 0.5
"""Weight of a new report in the estimate of others' calls. Single reports are
off by the calls that are under way."""
MAX_OTHERS_PER_SLOT = 4.0
"""Most calls of others per slot that are believed. A target that reports more
is not used in either case."""
MIN_TIME_FACTOR = 0.5
MAX_TIME_FACTOR = 20.0
"""Bounds for the time factor of a target. Known targets take 0.6 to 4 times the
usual time. A target with a lower one would get more calls ahead of time
than it can run soon."""


@dataclass(frozen=True, kw_only=True, eq=False)
class CallGrant:
    """A call that may be sent to a target.

    Attributes:
        instance: the target.
        granted_at: the elapsed time of the grant.
        expected_time: the time that the call is expected to take there.
    """

    instance: TargetInstance
    granted_at: timedelta
    expected_time: timedelta


@dataclass(kw_only=True, eq=False)
class _TargetState:
    """The calls on one target.

    Attributes:
        grants: the grants whose ends were not reported, oldest first.
        others: the number of other calls there, as of ``others_at``.
        others_at: the elapsed time of the newest reported load.
    """

    grants: dict[CallGrant, None] = field(default_factory=dict)
    others: float = 0.0
    others_at: timedelta = timedelta(0)

    def expire(self, now: timedelta) -> None:
        while self.grants:
            grant = next(iter(self.grants))
            if now - grant.granted_at < GRANT_TIMEOUT:
                return
            del self.grants[grant]

    def count_others(self, now: timedelta) -> float:
        """Returns the expected number of calls that others have there now."""
        age = (now - self.others_at).total_seconds()
        return float(self.others * 0.5 ** (age / OTHERS_HALF_LIFE))

    def record_load(
        self, calls: int, slots: int, learned_at: timedelta, now: timedelta
    ) -> None:
        """Takes over the number of calls that a target reported."""
        self.expire(now)
        own = sum(
            grant.granted_at <= learned_at - TRANSIT_TIME
            for grant in self.grants
        )
        others = min(max(0.0, calls - own), MAX_OTHERS_PER_SLOT * slots)
        known = self.count_others(learned_at)
        self.others = known + OTHERS_WEIGHT * (others - known)
        self.others_at = learned_at


class CallLoads:
    """The calls on each target, by lifetime, and the work time of calls."""

    def __init__(self, *, clock: Clock, pool: TargetPool) -> None:
        self._clock = clock
        self._pool = pool
        self._targets: dict[TargetLifetime, _TargetState] = {}
        # By service: the median work time in seconds at the usual pace.
        self._work_times: dict[str, float] = {}

    def count_targets(self) -> int:
        """Returns the number of target lifetimes whose state is kept."""
        return len(self._targets)

    def add(self, grant: CallGrant) -> None:
        """Counts a call that may be sent to a target."""
        lifetime = get_lifetime(grant.instance.target)
        self._get_state(lifetime).grants[grant] = None

    def remove(self, grant: CallGrant) -> None:
        """Stops counting a call."""
        state = self._targets.get(get_lifetime(grant.instance.target))
        if state is not None:
            state.grants.pop(grant, None)

    def count_calls(self, target: Target) -> float:
        """Returns the expected number of calls on a target."""
        state = self._targets.get(get_lifetime(target))
        if state is None:
            return 0.0
        now = self._clock.elapsed()
        state.expire(now)
        return len(state.grants) + state.count_others(now)

    def get_work_time(self, target: Target) -> float:
        """Returns the seconds that a call takes on a slot of a target."""
        usual_time = self._work_times.get(target.service, DEFAULT_WORK_TIME)
        factor = self._pool.target_table.paces.get_pace(
            get_lifetime(target)
        ).time_factor
        return usual_time * min(max(factor, MIN_TIME_FACTOR), MAX_TIME_FACTOR)

    def observe(self, sample: TargetSample) -> None:
        """Takes over what the answer to a call told of its target."""
        instance = self._pool.target_table.get(sample.target.id)
        if instance is None or get_lifetime(instance.target) != sample.target:
            return
        self._pool.target_table.paces.record_sample(sample)
        if sample.work_time is not None:
            self._record_work_time(
                instance.target.service, sample.work_time.total_seconds()
            )
        now = self._clock.elapsed()
        load, learned_at = sample.load, now - sample.age
        if load is None or sample.age > MAX_REPORT_AGE:
            return
        state = self._get_state(sample.target)
        if learned_at >= state.others_at:
            state.record_load(
                load.running + load.waiting,
                max(1, instance.target.slots),
                learned_at,
                now,
            )

    def _record_work_time(self, service: str, seconds: float) -> None:
        """Moves the estimate towards the median of the work times.

        A target that reports a false pace moves the median little.
        """
        known = self._work_times.get(service)
        if known is None:
            known = seconds
        elif seconds > known:
            known *= 1 + WORK_TIME_STEP
        else:
            known /= 1 + WORK_TIME_STEP
        self._work_times[service] = min(
            max(known, MIN_WORK_TIME), MAX_WORK_TIME
        )

    def _get_state(self, target: TargetLifetime) -> _TargetState:
        state = self._targets.get(target)
        if state is None:
            if len(self._targets) >= MAX_TARGETS:
                self._forget_targets()
            state = self._targets[target] = _TargetState()
        return state

    def _forget_targets(self) -> None:
        """Drops the state of targets that are gone, or else the oldest."""
        for lifetime in list(self._targets):
            instance = self._pool.target_table.get(lifetime.id)
            if instance is None or get_lifetime(instance.target) != lifetime:
                del self._targets[lifetime]
        while len(self._targets) >= MAX_TARGETS:
            del self._targets[next(iter(self._targets))]
