"""Turns of nodes on targets, so that nodes do not fill the same room.

While requests are queued at more than one node, memory that is freed on a
target is seen by all of them at once. Time is cut into slots; in each slot
one node has its turn on a target, and it places only in the first half of
the slot, so that its peers have its digest before the next turn. No messages
are needed: every node computes the turns from the names of its peers. A node
that dies leaves its slots unused until its digests have become stale.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta

import xxhash

SLOT = timedelta(milliseconds=200)
_OPEN_PART = 0.5
_EPOCH = datetime.min


def has_turn(
    *, node: str, peers: Sequence[str], target: str, now: datetime
) -> bool:
    """Returns whether a node has its turn on a target.

    Args:
        node: the node's name.
        peers: the names of its live peers.
        target: the target's name.
        now: wall time; nodes' clocks agree to a few milliseconds.
    """
    if not peers:
        return True
    slot, rest = divmod(now.replace(tzinfo=None) - _EPOCH, SLOT)
    if rest >= SLOT * _OPEN_PART:
        return False
    nodes = sorted({node, *peers})
    offset = xxhash.xxh32_intdigest(target.encode())
    return nodes[(offset + slot) % len(nodes)] == node
