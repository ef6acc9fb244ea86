"""What all nodes hold reserved on the targets that this node reports."""

from collections import defaultdict
from datetime import timedelta

from acaciarack.clock import Clock

FORGET_AFTER = timedelta(seconds=5)


class ReservationTable:
    """Tokens by target and node; what is not repeated is forgotten."""

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, dict[str, tuple[int, timedelta]]] = defaultdict(
            dict
        )

    def put(self, target: str, node: str, tokens: int) -> None:
        """Takes in what a node holds reserved on a target."""
        self._items[target][node] = (max(0, tokens), self._clock.elapsed())

    def clear_node(self, node: str) -> None:
        """Removes what a node held."""
        for items in self._items.values():
            items.pop(node, None)

    def sum_tokens(self, target: str) -> int:
        """Returns what all other nodes together hold on a target."""
        limit = self._clock.elapsed() - FORGET_AFTER
        items = self._items.get(target, {})
        return sum(tokens for tokens, heard in items.values() if heard >= limit)
