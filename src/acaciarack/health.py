"""Ejection of failing targets and concurrency limits of targets."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, kw_only=True)
class HealthSettings:
    """Settings of ejections and of the adaptive concurrency limit.

    Attributes:
        failures: the number of consecutive failures that eject a target.
        ejection: the duration of the first ejection; each further ejection
            lasts twice as long as the one before.
        max_ejection: the maximum duration of an ejection.
        forgive: the time without a failure after which a success resets the
            ejection duration.
        start_limit: the limit at the start of a ramp. A ramp starts when a
            target is new or becomes available again, and after an ejection.
        ramp: the time in which the limit doubles during a ramp.
        min_limit: the minimum limit after decreases.
        max_limit: the maximum limit.
        slow_step: the engine step duration above which the limit decreases.
        decrease: the factor by which the limit decreases.
        adjust: the minimum time between two changes of the limit.
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
    """The health of one target as observed by this node.

    The ``record_`` methods update it; ``is_ejected`` and ``get_limit`` return
    the results. All times are elapsed times of one clock.

    Attributes:
        settings: the settings.
        ramp_start: the start of the current ramp; ``None`` without one.
    """

    settings: HealthSettings
    ramp_start: timedelta | None = None
    _failures: int = 0
    _ejections: int = 0
    _ejected_until: timedelta = field(default_factory=timedelta)
    _last_failure: timedelta = field(default_factory=timedelta)
    _limit: float = 0.0
    _adjusted_at: timedelta = field(default_factory=timedelta)

    def __post_init__(self) -> None:
        self._limit = float(self.settings.max_limit)

    def record_success(self, now: timedelta) -> None:
        """Records a request that the target served successfully."""
        self._failures = 0
        if now - self._last_failure > self.settings.forgive:
            self._ejections = 0

    def record_failure(self, now: timedelta) -> None:
        """Records a failure; ejects the target after too many in a row."""
        self._last_failure = now
        self._failures += 1
        if self._failures < self.settings.failures or self.is_ejected(now):
            return
        duration = self.settings.ejection * 2**self._ejections
        self._ejected_until = now + min(duration, self.settings.max_ejection)
        self._ejections = min(self._ejections + 1, 16)
        self._failures = 0
        self.start_ramp(self._ejected_until)

    def start_ramp(self, at: timedelta) -> None:
        """Starts to ramp up the limit at elapsed time ``at``."""
        self.ramp_start = at

    def record_step(
        self, step: timedelta, running: int, now: timedelta
    ) -> None:
        """Adjusts the limit to the duration of an engine step.

        A slow step multiplies the limit, or the running requests if they are
        fewer, by ``decrease``. Any other step adds 1 to the limit if at least
        80% of it is in use.

        Args:
            step: the duration of the newest step.
            running: the number of requests of all nodes on the target.
            now: the elapsed time.
        """
        if now - self._adjusted_at < self.settings.adjust:
            return
        self._adjusted_at = now
        if step > self.settings.slow_step:
            lowered = min(self._limit, running) * self.settings.decrease
            self._limit = max(self.settings.min_limit, lowered)
        elif running >= 0.8 * self._limit:
            self._limit = min(self.settings.max_limit, self._limit + 1)

    def is_ejected(self, now: timedelta) -> bool:
        """Returns whether the target is ejected, and so gets no requests."""
        return now < self._ejected_until

    def get_limit(self, now: timedelta) -> int:
        """Returns the maximum number of requests of all nodes on the target."""
        limit = self._limit
        if self.ramp_start is not None:
            elapsed = max(timedelta(), now - self.ramp_start)
            exponent = min(16.0, elapsed / self.settings.ramp)
            ramped = self.settings.start_limit * 2.0**exponent
            if ramped >= limit:
                self.ramp_start = None
            limit = min(limit, ramped)
        return int(limit)
