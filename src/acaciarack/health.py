"""Ejection of failing targets and limits on what runs on a target."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, kw_only=True)
class HealthSettings:
    """When a target is ejected, and how its limit moves.

    Attributes:
        failures: failures in a row that eject a target.
        ejection: how long the first ejection lasts; doubles each time.
        max_ejection: the longest ejection.
        forgive: time without a failure after which ejections are forgotten.
        start_limit: the limit of a target that is new or comes back.
        ramp: the time in which that limit doubles.
        min_limit: the lowest limit.
        max_limit: the highest limit.
        slow_step: a step of the engine longer than this lowers its limit.
        decrease: the factor by which the limit is lowered.
        adjust: the shortest time between two changes of the limit.
    """

    failures: int = 3
    ejection: timedelta = timedelta(seconds=2)
    max_ejection: timedelta = timedelta(seconds=60)
    forgive: timedelta = timedelta(seconds=120)
    start_limit: int = 4
    ramp: timedelta = timedelta(seconds=1)
    min_limit: int = 2
    max_limit: int = 256
    slow_step: timedelta = timedelta(milliseconds=47)
    decrease: float = 0.9
    adjust: timedelta = timedelta(milliseconds=500)


@dataclass(kw_only=True)
class TargetHealth:
    """The health of one target as this node has seen it.

    Use ``is_ejected`` and ``get_limit`` to decide, and the ``record_``
    methods to tell what happened. Times are elapsed times of one clock.
    """

    settings: HealthSettings
    ramp_start: timedelta | None = None
    _failures: int = 0
    _ejections: int = 0
    _ejected_until: timedelta = field(default_factory=timedelta)
    _last_failure: timedelta = field(default_factory=timedelta)
    _limit: float = 0.0
    _adjusted: timedelta = field(default_factory=timedelta)

    def __post_init__(self) -> None:
        self._limit = float(self.settings.max_limit)

    def record_success(self, now: timedelta) -> None:
        """Notes that the target served a request."""
        self._failures = 0
        if now - self._last_failure > self.settings.forgive:
            self._ejections = 0

    def record_failure(self, now: timedelta) -> None:
        """Notes a failure; ejects the target after enough in a row."""
        self._last_failure = now
        self._failures += 1
        if self._failures < self.settings.failures or self.is_ejected(now):
            return
        length = self.settings.ejection * 2**self._ejections
        self._ejected_until = now + min(length, self.settings.max_ejection)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        self.start_ramp(self._ejected_until)

    def start_ramp(self, at: timedelta) -> None:
        """Lets the limit grow slowly from ``at`` on."""
        self.ramp_start = at

    def record_step(
        self, step: timedelta, running: int, now: timedelta
    ) -> None:
        """Moves the limit by the duration of an engine's step.

        Args:
            step: the newest step's duration.
            running: requests of all nodes on the target.
            now: the present time.
        """
        if now - self._adjusted < self.settings.adjust:
            return
        self._adjusted = now
        if step > self.settings.slow_step:
            lowered = min(self._limit, running) * self.settings.decrease
            self._limit = max(self.settings.min_limit, lowered)
        elif running >= 0.8 * self._limit:
            self._limit = min(self.settings.max_limit, self._limit + 1)

    def is_ejected(self, now: timedelta) -> bool:
        """Returns whether the target gets no requests for now."""
        return now < self._ejected_until

    def get_limit(self, now: timedelta) -> int:
        """Returns the most requests of all nodes on the target."""
        limit = self._limit
        if self.ramp_start is not None:
            doublings = max(timedelta(), now - self.ramp_start)
            exponent = min(16.0, doublings / self.settings.ramp)
            ramped = self.settings.start_limit * 2.0**exponent
            if ramped >= limit:
                self.ramp_start = None
            limit = min(limit, ramped)
        return int(limit)
