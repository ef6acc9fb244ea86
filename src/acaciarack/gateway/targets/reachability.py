"""Decides when connections to targets are also tried through peers."""

from dataclasses import dataclass
from datetime import timedelta

import logbook
from cachetools import LRUCache

from acaciarack.clock import Clock
from acaciarack.gateway.targets.lifetimes import TargetLifetime

HEDGE_DELAY = timedelta(milliseconds=100)
"""Time after which a connection that is not made yet is tried on one more path.
It usually takes 1 to 3 ms."""
MAX_PEERS = 3
"""Peers that one connection is tried through. Those of one data centre may be
cut off together."""
UNREACHABLE_TIME = timedelta(seconds=1)
"""How long a target that no path leads to is not tried through peers again."""
AVOID_TIME = timedelta(seconds=2)
"""How long a peer is asked last after it could not help."""
_MAX_TARGETS = 1024
_MAX_PEERS_REMEMBERED = 512

_log = logbook.Logger("acaciarack.gateway.reachability")


@dataclass(frozen=True, kw_only=True)
class PathPlan:
    """How to connect to a target.

    Attributes:
        peer_delay: the time until the first peer is asked, unless the direct
            connection fails before.
        max_peers: how many peers may be asked.
    """

    peer_delay: timedelta
    max_peers: int


class Reachability:
    """What this node knows of its paths to targets.

    Attributes:
        is_cut_off: whether the last connection to a target was made through a
            peer, because the direct one failed or took long.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self.is_cut_off = False
        # By target: when no path led to it.
        self._unreachable: LRUCache[TargetLifetime, timedelta] = LRUCache(
            _MAX_TARGETS
        )
        # By name: when a peer could not help.
        self._avoided: LRUCache[str, timedelta] = LRUCache(
            _MAX_PEERS_REMEMBERED
        )

    def plan(self, target: TargetLifetime) -> PathPlan:
        """Returns how to connect to a target now."""
        failed_at = self._unreachable.get(target)
        is_down = (
            failed_at is not None
            and self._clock.elapsed() - failed_at < UNREACHABLE_TIME
        )
        return PathPlan(
            peer_delay=timedelta(0) if self.is_cut_off else HEDGE_DELAY,
            max_peers=0 if is_down else MAX_PEERS,
        )

    def is_avoided(self, peer: str) -> bool:
        """Returns whether a peer could not help of late."""
        avoided_at = self._avoided.get(peer)
        return (
            avoided_at is not None
            and self._clock.elapsed() - avoided_at < AVOID_TIME
        )

    def record_direct(self) -> None:
        """Records a direct connection to a target."""
        if self.is_cut_off:
            self.is_cut_off = False
            _log.info("targets reached directly again")

    def record_through_peer(self, peer: str) -> None:
        """Records that a peer was faster than the direct connection."""
        self._avoided.pop(peer, None)
        if not self.is_cut_off:
            self.is_cut_off = True
            _log.warning(
                "targets not reached directly; connecting through peers",
                extra={"node": peer},
            )

    def record_unreachable(self, target: TargetLifetime) -> None:
        """Records that no path leads to a target."""
        self._unreachable[target] = self._clock.elapsed()

    def record_unhelpful(self, peer: str) -> None:
        """Records that a peer could not try to connect."""
        self._avoided[peer] = self._clock.elapsed()
