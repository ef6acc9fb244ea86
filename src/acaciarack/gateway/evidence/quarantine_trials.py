"""Decides when a request in quarantine is sent to a target as a trial.

A verdict can be wrong, and as long as it holds, no response can refute it. So
single requests are let through, for the whole fleet, at intervals that grow
with each trial. A response to one ends the quarantine on all nodes; a crash
confirms it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.evidence.fingerprints import Fingerprints

TRIAL_DELAY = timedelta(seconds=2)
"""Time without a crash after which the first trial is due. Targets that crashed
are back after some seconds, and the trial takes a second to show an outcome."""
TRIAL_BACKOFF = 6
"""Factor by which the time to the next trial grows with each one. Three trials
take 86 s, and each may cost a target."""


@dataclass(frozen=True, kw_only=True)
class Trials:
    """The trials of one quarantine.

    Attributes:
        count: how many there have been.
        time: the elapsed time of the last one.
    """

    count: int = 0
    time: timedelta = timedelta(0)


NO_TRIALS = Trials()


class TrialSchedule:
    """The trials of all quarantines that this node knows of."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._trials: dict[Fingerprints, Trials] = {}

    def get(self, quarantined: Fingerprints) -> Trials:
        """Returns the trials of a quarantine."""
        return self._trials.get(quarantined, NO_TRIALS)

    def get_age(self, quarantined: Fingerprints) -> timedelta:
        """Returns the time since the last trial; zero if there was none."""
        trials = self.get(quarantined)
        if not trials.count:
            return timedelta(0)
        return self._clock.elapsed() - trials.time

    def get_due_time(
        self, quarantined: Fingerprints, *, last_crash: timedelta
    ) -> timedelta:
        """Returns the elapsed time at which the next trial is due.

        Args:
            quarantined: the fingerprints in quarantine.
            last_crash: the elapsed time of the last crash that they explain.
        """
        due = last_crash + TRIAL_DELAY
        trials = self.get(quarantined)
        if not trials.count:
            return due
        delay: timedelta = TRIAL_DELAY * TRIAL_BACKOFF**trials.count
        return max(due, trials.time + delay)

    def begin(self, quarantined: Fingerprints) -> None:
        """Counts a trial that begins now."""
        self._trials[quarantined] = Trials(
            count=self.get(quarantined).count + 1, time=self._clock.elapsed()
        )

    def merge(self, quarantined: Fingerprints, trials: Trials) -> None:
        """Takes over the trials that a peer knows of, if they are more."""
        if trials.count > self.get(quarantined).count:
            self._trials[quarantined] = trials

    def retain(self, quarantines: Iterable[Fingerprints]) -> None:
        """Forgets the trials of all other quarantines."""
        self._trials = {
            quarantined: self._trials[quarantined]
            for quarantined in quarantines
            if quarantined in self._trials
        }
