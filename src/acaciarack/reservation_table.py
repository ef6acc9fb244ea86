"""Reservations of other nodes on the targets that this node reports."""

from collections import defaultdict
from datetime import timedelta

from acaciarack.clock import Clock

RESERVATION_TTL = timedelta(seconds=5)
"""A reservation expires if its node does not repeat it within this time."""


class ReservationTable:
    """Reserved tokens by target and node."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._reservations: dict[str, dict[str, tuple[int, timedelta]]] = (
            defaultdict(dict)
        )

    def update(self, target: str, node: str, tokens: int) -> None:
        """Records the tokens that a node reserves on a target."""
        self._reservations[target][node] = (
            max(0, tokens),
            self._clock.elapsed(),
        )

    def clear_node(self, node: str) -> None:
        """Removes all reservations of a node."""
        for reservations in self._reservations.values():
            reservations.pop(node, None)

    def sum_tokens(self, target: str) -> int:
        """Returns the tokens reserved on a target by all other nodes."""
        cutoff = self._clock.elapsed() - RESERVATION_TTL
        reservations = self._reservations.get(target, {})
        return sum(
            tokens
            for tokens, received_at in reservations.values()
            if received_at >= cutoff
        )
