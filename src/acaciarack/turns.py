"""Turns of nodes on targets, so that nodes do not fill the same room.

While requests are queued at more than one node, memory that is freed on a
target is seen by all of them at once. Time is cut into slots; in each slot
one node has its turn on a target. The others place on it only if that leaves
room for all that is queued at their peers. The turn lasts for the first half of
the slot, so that its peers have its digest before the next turn. No messages
are needed: every node computes the turns from the names of its peers. A node
that dies leaves its slots unused until its digests have become stale.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

import xxhash

SLOT = timedelta(milliseconds=200)
_OPEN_PART = 0.5
_EPOCH = datetime.min


class Turns:
    """The targets on which a node has its turn at one time."""

    def __init__(
        self, *, node: str, peers: Sequence[str], now: datetime
    ) -> None:
        """Computes the turns.

        Args:
            node: the node's name.
            peers: the names of its live peers.
            now: wall time; nodes' clocks agree to a few milliseconds.
        """
        slot, rest = divmod(now.replace(tzinfo=None) - _EPOCH, SLOT)
        nodes = sorted({node, *peers})
        self._nodes = len(nodes)
        self._place = (nodes.index(node) - slot) % len(nodes)
        self._is_open = rest < SLOT * _OPEN_PART

    def include(self, target: str) -> bool:
        """Returns whether the node may place on the target now."""
        if self._nodes == 1:
            return True
        offset = xxhash.xxh32_intdigest(target.encode())
        return self._is_open and offset % self._nodes == self._place


@dataclass(frozen=True, kw_only=True)
class Rivals:
    """What peers may do at the same time as this node.

    Attributes:
        turns: the targets on which it is this node's turn.
        unseen: how many requests peers may have placed of which no digest
            has told yet.
        queued_tokens: memory that requests queued at peers will need. A node
            leaves room for them, unless it is its turn.
    """

    turns: Turns
    unseen: float = 0.0
    queued_tokens: float = 0.0
