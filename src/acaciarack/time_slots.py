"""Time slots in which one node may place requests on a target first.

When a target frees memory, all nodes with queued requests see it at the same
time. Without coordination they would all place requests on that memory.
Therefore time is divided into slots, and one node owns each slot of a target.
Other nodes place a request on the target only if memory remains for all
requests queued at their peers. The owner may use the first half of its slot
only, so that its digest reaches the peers before the next slot. The nodes
exchange no messages for this: each node computes the schedule from the names
of its live peers. The slots of a failed node stay unused until its digests
are stale.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

import xxhash

SLOT_DURATION = timedelta(milliseconds=200)
_OPEN_FRACTION = 0.5
_EPOCH = datetime.min


class SlotSchedule:
    """The targets whose current time slot a node owns."""

    def __init__(
        self, *, node: str, peers: Sequence[str], now: datetime
    ) -> None:
        """Computes the schedule at one time.

        Args:
            node: the node's name.
            peers: the names of its live peers.
            now: wall time. The clocks of nodes must agree to within a few
                milliseconds.
        """
        slot, time_in_slot = divmod(
            now.replace(tzinfo=None) - _EPOCH, SLOT_DURATION
        )
        nodes = sorted({node, *peers})
        self._node_count = len(nodes)
        self._position = (nodes.index(node) - slot) % len(nodes)
        self._is_open = time_in_slot < SLOT_DURATION * _OPEN_FRACTION

    def owns(self, target: str) -> bool:
        """Returns whether the node owns the target's current slot.

        A node without peers owns all slots. A node with peers owns a slot
        during the slot's first half only.
        """
        if self._node_count == 1:
            return True
        offset = xxhash.xxh32_intdigest(target.encode())
        return self._is_open and offset % self._node_count == self._position


@dataclass(frozen=True, kw_only=True)
class PeerDemand:
    """The demand of peers on the targets of a pool.

    Attributes:
        schedule: the targets whose current time slot this node owns.
        unreported_requests: the expected number of requests that peers have
            placed and not yet reported in a digest.
        queued_tokens: memory that requests queued at peers will need. A node
            reserves it on targets whose slot it does not own.
    """

    schedule: SlotSchedule
    unreported_requests: float = 0.0
    queued_tokens: float = 0.0
