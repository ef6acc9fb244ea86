"""Ejects targets that fail requests.

Some targets pass their liveness check and still fail part of their requests.
Others no longer respond at all. Repeated failures eject a target for a time
that doubles with each ejection. If all targets that a request may go to are
ejected, all of them are used.

An engine that fails requests immediately looks idle to every node. Each node
alone sees too few failures to eject it. So nodes broadcast the failures of
engines to their peers.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.targets.target_table import TargetInstance

INITIAL_EJECTION = timedelta(seconds=1)
"""Duration of the first ejection. It equals the warm-up time of a new
target."""
MAX_EJECTION = timedelta(seconds=8)
"""Longest ejection. The longest known disturbance of a target lasts a few
seconds."""
SCORE_HALF_LIFE = timedelta(seconds=3)
"""Time after which a failure counts half."""
EJECTION_THRESHOLD = 2.5
"""Number of failures, weighted by age, that ejects a target. It is above 2, so
that a single lost response and its failed retry do not eject the target."""
MIN_BROADCAST_SCORE = 0.2
"""Lowest number of failures, weighted by age, that is broadcast to peers. A
single failure is broadcast for 7 s."""

_log = logbook.Logger("acaciarack.gateway.trust")


@dataclass(kw_only=True)
class _Score:
    """The failures of a target that this node has counted.

    ``value`` and ``broadcast_value`` are weighted by age as of ``time``.
    """

    value: float = 0.0
    time: timedelta = timedelta(0)
    broadcast_value: float = 0.0
    ejections: int = 0
    ejected_until: timedelta = timedelta(0)


class FailureTracker:
    """Tracks failures and ejections, by target id."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._scores: dict[str, _Score] = {}
        # By target id and peer: the peer's failures and when they arrived.
        self._peer_scores: dict[str, dict[str, tuple[float, timedelta]]] = {}

    def record_success(self, target_id: str) -> None:
        """Halves the failures that this node has counted for a target."""
        score = self._scores.get(target_id)
        if score is not None:
            score.value /= 2
            score.broadcast_value /= 2

    def record_failure(
        self, target_id: str, *, weight: float = 1.0, broadcast: bool = False
    ) -> None:
        """Counts a failure; ejects the target if it has too many.

        Args:
            target_id: the target that failed.
            weight: 1 for a failed request; more if the target cannot be reached
                or another target answers; less if it declines the request.
            broadcast: whether the failure is also broadcast to peers.
        """
        now = self._clock.elapsed()
        score = self._scores.setdefault(target_id, _Score())
        score.broadcast_value = self._decay(
            score.broadcast_value, score.time, now
        )
        score.value = self._decay(score.value, score.time, now) + weight
        score.time = now
        if broadcast:
            score.broadcast_value += weight
        self._eject_if_failing(target_id, score, now)

    def update_peer(self, node: str, failures: Mapping[str, float]) -> None:
        """Stores a peer's failures and ejects targets that have too many.

        Args:
            node: the peer.
            failures: the peer's failures, weighted by age, by target id.
        """
        now = self._clock.elapsed()
        for target_id, value in failures.items():
            self._peer_scores.setdefault(target_id, {})[node] = (value, now)
            score = self._scores.setdefault(target_id, _Score(time=now))
            self._eject_if_failing(target_id, score, now)

    def list_for_broadcast(self) -> dict[str, float]:
        """Returns the failures to broadcast, weighted by age, by target id."""
        now = self._clock.elapsed()
        decayed = {
            target_id: self._decay(score.broadcast_value, score.time, now)
            for target_id, score in self._scores.items()
            if score.broadcast_value
        }
        return {
            name: value
            for name, value in decayed.items()
            if value >= MIN_BROADCAST_SCORE
        }

    def _eject_if_failing(
        self, target_id: str, score: _Score, now: timedelta
    ) -> None:
        total = self.get_penalty(target_id)
        if total < EJECTION_THRESHOLD or now < score.ejected_until:
            return
        length = min(INITIAL_EJECTION * 2**score.ejections, MAX_EJECTION)
        score.ejections += 1
        score.ejected_until = now + length
        score.value = min(score.value, EJECTION_THRESHOLD / 2)
        _log.info(
            "target ejected",
            extra={
                "target": target_id,
                "seconds": length.total_seconds(),
                "failures": round(total, 1),
            },
        )

    def get_penalty(self, target_id: str) -> float:
        """Returns a target's failures on all nodes, weighted by age."""
        now = self._clock.elapsed()
        score = self._scores.get(target_id)
        total = (
            0.0 if score is None else self._decay(score.value, score.time, now)
        )
        peer_scores = self._peer_scores.get(target_id, {})
        for node, (value, time) in list(peer_scores.items()):
            decayed = self._decay(value, time, now)
            total += decayed
            if decayed < MIN_BROADCAST_SCORE / 2:
                del peer_scores[node]
        return total

    def is_ejected(self, target_id: str) -> bool:
        """Returns whether a target is ejected now."""
        return self._clock.elapsed() < self._get_ejection_end(target_id)

    def exclude_ejected(
        self, instances: Sequence[TargetInstance]
    ) -> list[TargetInstance]:
        """Returns the targets that are not ejected, or all if none is left."""
        available = [
            instance
            for instance in instances
            if not self.is_ejected(instance.target.id)
        ]
        return available or list(instances)

    def _get_ejection_end(self, target_id: str) -> timedelta:
        score = self._scores.get(target_id)
        return timedelta(0) if score is None else score.ejected_until

    def _decay(self, value: float, time: timedelta, now: timedelta) -> float:
        return float(value * 0.5 ** ((now - time) / SCORE_HALF_LIFE))
