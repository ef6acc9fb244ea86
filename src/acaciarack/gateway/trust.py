"""How far each target is trusted, by what it did with requests.

Answers targets that fail part of their requests while their liveness check
is good, and targets that have gone dark: failures eject a target for a time
that doubles, and it is never the last one that is ejected.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.roster import Member

EJECTION = timedelta(seconds=1)
"""The first ejection; as long as a new target is slow."""
MAX_EJECTION = timedelta(seconds=8)
"""The longest ejection; the longest disturbance of a target that is known
lasts a few seconds."""
SCORE_HALF_LIFE = timedelta(seconds=3)
"""The age at which a failure counts half."""
EJECT_SCORE = 2.5
"""Failures, weighed by age, that eject a target; two in a row do not, so
that a single lost answer and its repeat leave it in use."""

_log = logbook.Logger("acaciarack.gateway.trust")


@dataclass(kw_only=True)
class _Score:
    value: float = 0.0
    time: timedelta = timedelta(0)
    ejections: int = 0
    ejected_until: timedelta = timedelta(0)


class Trust:
    """Scores of failures by target id."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._scores: dict[str, _Score] = {}

    def record_success(self, target_id: str) -> None:
        """Halves what counts against a target."""
        score = self._scores.get(target_id)
        if score is not None:
            score.value /= 2

    def record_failure(self, target_id: str, *, weight: float = 1.0) -> None:
        """Counts a failure; ejects the target if there were too many.

        Args:
            target_id: which target failed.
            weight: 1 for a failed request; more for a refused connection.
        """
        now = self._clock.elapsed()
        score = self._scores.setdefault(target_id, _Score())
        score.value = self._get_value(score, now) + weight
        score.time = now
        if score.value < EJECT_SCORE or now < score.ejected_until:
            return
        length = min(EJECTION * 2**score.ejections, MAX_EJECTION)
        score.ejections += 1
        score.ejected_until = now + length
        score.value = EJECT_SCORE / 2
        _log.info(
            "target ejected",
            extra={"target": target_id, "seconds": length.total_seconds()},
        )

    def get_penalty(self, target_id: str) -> float:
        """Returns the failures, weighed by age, that count against it."""
        score = self._scores.get(target_id)
        if score is None:
            return 0.0
        return self._get_value(score, self._clock.elapsed())

    def select(self, members: Sequence[Member]) -> list[Member]:
        """Returns the targets that are not ejected; all, if all are."""
        now = self._clock.elapsed()
        trusted = [
            member
            for member in members
            if now >= self._get_ejection(member.target.id)
        ]
        return trusted or list(members)

    def _get_ejection(self, target_id: str) -> timedelta:
        score = self._scores.get(target_id)
        return timedelta(0) if score is None else score.ejected_until

    def _get_value(self, score: _Score, now: timedelta) -> float:
        return float(
            score.value * 0.5 ** ((now - score.time) / SCORE_HALF_LIFE)
        )
