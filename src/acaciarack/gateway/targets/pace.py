"""How fast each target works, compared with an average target of its service.

Answers the load of a service whose targets differ in speed, or share their VMs
with other work: requests then end sooner on some targets than on others. Such
targets state in their answers how long work takes on their VM at that moment:
the *factor*, which is 1 for an average target. It rises during slowdown periods
of about 600 ms, which fill 15% of the time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.lifetimes import TargetLifetime

MIN_FACTOR = 0.1
"""Smallest factor that is accepted. The smallest one observed is 0.6."""
MAX_FACTOR = 20.0
"""Largest factor that is accepted. The largest one observed is 4.0, of a slow
target in a slowdown period."""
MAX_SLOWDOWN = 5.0
"""Largest ratio of a target's momentary to its usual factor. The largest one
observed is 2.5. One wrong value then excludes a target only briefly."""
SLOWDOWN_DECAY = timedelta(milliseconds=500)
"""The time constant with which a momentary factor loses its weight. Slowdown
periods last about 600 ms, and a value is learned in the midst of one."""
SAMPLE_SPACING = timedelta(milliseconds=600)
"""The minimum time between two values from which the usual factor is derived.
Values that are closer may come from the same slowdown period."""
MAX_VALUES = 9
"""How many values the usual factor is derived from."""
USUAL_RANK = 4
"""The usual factor is the lower quartile of these values. Slowdown periods only
raise values, and fill 15% of the time; the lowest value may be a wrong one."""
SAMPLE_RETENTION = timedelta(minutes=5)
"""How long a target is remembered that sends nothing."""
MAX_TARGETS = 2048
"""How many targets are remembered; deployments have up to 600."""
FRESH_TIME = timedelta(milliseconds=200)
"""For how long a new sample is in every report. Several reports are sent in
this time, so the loss of one does no harm."""
MAX_REPORTED = 8
"""How many samples a report carries at most, about 40 bytes each."""
MAX_REPORTED_OLD = 2
"""How many of them are old. They tell a scheduler that has just started the
usual factors; 60 nodes with generations name each of 22 engines often enough
within a second."""

_log = logbook.Logger("acaciarack.gateway.pace")


@dataclass(frozen=True, kw_only=True)
class TargetSample:
    """What a node has learned of a target's pace and load from its answers.

    Attributes:
        target: the target.
        age: the time since it was learned.
        load: the load that the target reported; ``None`` if it did not.
        token_time: the usual time per output token of its generations, between
            events; ``None`` if not measured.
        prompt_token_time: the usual time to read one prompt token; ``None`` if
            not measured.
        work_time: the usual time of a plain call on a free slot; ``None`` if
            not measured.
    """

    target: TargetLifetime
    age: timedelta
    load: ReportedLoad | None = None
    token_time: timedelta | None = None
    prompt_token_time: timedelta | None = None
    work_time: timedelta | None = None


@dataclass(frozen=True, kw_only=True)
class Pace:
    """A target's pace.

    Attributes:
        speed: its usual speed, as a multiple of an average target's.
        slowdown: how long work takes at this moment, as a multiple of the time
            that it usually takes there.
        is_reported: whether the target reports its factor.
    """

    speed: float = 1.0
    slowdown: float = 1.0
    is_reported: bool = False

    @property
    def usual_factor(self) -> float:
        """How long work usually takes, as a multiple of an average target's."""
        return 1 / self.speed

    @property
    def time_factor(self) -> float:
        """How long work takes now, as a multiple of an average target's."""
        return self.slowdown / self.speed


USUAL_PACE = Pace()
UNHEARD_PACE = Pace(speed=1 / 1.3)
"""Assumed of a target that has not been heard of while others of its service
report their factors: slow enough that long streams prefer known engines. The
first generation there, usually a short one, tells the pace."""


@dataclass(kw_only=True)
class _Estimate:
    """What is known of one target.

    Attributes:
        newest_at: the elapsed time of the newest value.
        newest: that value.
        usual: the usual factor.
        values: spaced values with their elapsed times, oldest first.
        own_load: the newest load that this node was told itself.
        own_at: the elapsed time of that load.
    """

    newest_at: timedelta
    newest: float
    usual: float
    values: list[tuple[timedelta, float]] = field(default_factory=list)
    own_load: ReportedLoad | None = None
    own_at: timedelta = timedelta(0)

    def add(self, factor: float, learned_at: timedelta) -> None:
        if learned_at >= self.newest_at:
            self.newest, self.newest_at = factor, learned_at
        for index, (other_at, other) in enumerate(self.values):
            if abs(learned_at - other_at) < SAMPLE_SPACING:
                # The lower of two close values is not from a slowdown period.
                if factor >= other:
                    return
                self.values[index] = (other_at, factor)
                break
        else:
            self.values.append((learned_at, factor))
            self.values.sort()
            del self.values[:-MAX_VALUES]
        factors = sorted(value for _, value in self.values)
        self.usual = factors[(len(factors) - 1) // USUAL_RANK]


class TargetPaces:
    """The paces of targets, by lifetime."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        # The target that was heard of longest ago is first.
        self._estimates: dict[TargetLifetime, _Estimate] = {}
        self._invalid_count = 0
        self._cursor = 0
        self._on_sample: Callable[[TargetLifetime], None] | None = None

    def subscribe(self, on_sample: Callable[[TargetLifetime], None]) -> None:
        """Sets the callback for factors that targets tell this node."""
        self._on_sample = on_sample

    def record(self, target: TargetLifetime, load: ReportedLoad) -> None:
        """Records the load that a target has told this node just now."""
        now = self._clock.elapsed()
        estimate = self._add(target, load, now)
        if estimate is None:
            return
        estimate.own_load, estimate.own_at = load, now
        if self._on_sample is not None:
            self._on_sample(target)

    def record_sample(self, sample: TargetSample) -> None:
        """Records what a target has told a peer."""
        if sample.load is not None and sample.age <= SAMPLE_RETENTION:
            now = self._clock.elapsed()
            self._add(sample.target, sample.load, now - sample.age)

    def get_pace(self, target: TargetLifetime) -> Pace:
        """Returns a target's pace; the usual one if nothing is known of it."""
        estimate = self._estimates.get(target)
        if estimate is None:
            return USUAL_PACE
        age = max(timedelta(0), self._clock.elapsed() - estimate.newest_at)
        if age > SAMPLE_RETENTION:
            return USUAL_PACE
        ratio = min(MAX_SLOWDOWN, max(1.0, estimate.newest / estimate.usual))
        return Pace(
            speed=1 / estimate.usual,
            slowdown=1 + (ratio - 1) * exp(-age / SLOWDOWN_DECAY),
            is_reported=True,
        )

    def list_samples(
        self, includes: Callable[[TargetLifetime], bool]
    ) -> tuple[TargetSample, ...]:
        """Returns the samples of this node for its next report.

        These are the newest ones, and a few old ones that change with each
        call.

        Args:
            includes: returns whether samples of a target are wanted.
        """
        if not self._estimates:
            return ()
        now = self._clock.elapsed()
        fresh: list[TargetSample] = []
        old: list[TargetSample] = []
        for target, estimate in reversed(self._estimates.items()):
            age = now - estimate.own_at
            if (
                estimate.own_load is None
                or age > SAMPLE_RETENTION
                or not includes(target)
            ):
                continue
            sample = TargetSample(
                target=target, age=age, load=estimate.own_load
            )
            (fresh if age <= FRESH_TIME else old).append(sample)
        chosen = fresh[:MAX_REPORTED]
        count = min(MAX_REPORTED_OLD, MAX_REPORTED - len(chosen), len(old))
        for _ in range(count):
            self._cursor += 1
            chosen.append(old[self._cursor % len(old)])
        return tuple(chosen)

    def _add(
        self, target: TargetLifetime, load: ReportedLoad, learned_at: timedelta
    ) -> _Estimate | None:
        """Adds a factor; returns ``None`` if there is no valid one."""
        factor = load.slowdown
        if factor is None:
            return None
        if not MIN_FACTOR <= factor <= MAX_FACTOR:
            self._invalid_count += 1
            _log.warning(
                "factor {} of target {} ignored ({} so far)",
                factor,
                target.id,
                self._invalid_count,
            )
            return None
        estimate = self._estimates.pop(target, None)
        if estimate is None:
            estimate = _Estimate(
                newest_at=learned_at, newest=factor, usual=factor
            )
            self._forget()
        self._estimates[target] = estimate
        estimate.add(factor, learned_at)
        return estimate

    def _forget(self) -> None:
        """Deletes targets that send nothing, and the oldest one if needed."""
        oldest = self._clock.elapsed() - SAMPLE_RETENTION
        for target, estimate in list(self._estimates.items()):
            if (
                estimate.newest_at >= oldest
                and len(self._estimates) < MAX_TARGETS
            ):
                return
            del self._estimates[target]
