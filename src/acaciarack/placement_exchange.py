"""Tells the linked peers of this node's placements, target by target.

This costs bytes for each target, node and peer, so it is for deployments of a
few nodes. With more peers than ``MAX_PEERS`` nothing is sent, and what others
hold reserved is known only as the sums in the load digests.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

import msgspec

from acaciarack.clock import Clock
from acaciarack.digests import NodeDigest, TargetDigest
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message

MAX_PEERS = 16
PLACEMENT_RATE = 5000.0
"""Bytes a second, sent and received, for placements."""
MIN_PERIOD = timedelta(seconds=0.25)
MAX_PERIOD = timedelta(seconds=2.5)
_TARGET_BYTES = 100
_RATE_SCALE = 1000


class PlacedTarget(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The sender's requests on one target; see ``TargetDigest``.

    Attributes:
        target: the target's name.
        running: the sender's requests on it.
        context: their prompts and what they have generated, in tokens.
        means: their expected memory at each horizon, in whole tokens.
        variances: its variance at each horizon, rounded.
        rate: placements in a thousand seconds.
    """

    target: str
    running: int
    context: int
    means: tuple[int, ...]
    variances: tuple[int, ...]
    rate: int


class Placements(Message, frozen=True, kw_only=True, tag="p"):
    """All that the sender has placed and queued.

    Attributes:
        targets: the targets that it uses.
        queued: memory that its queued requests will need, by pool, in tokens.
    """

    droppable: ClassVar[bool] = True
    targets: tuple[PlacedTarget, ...]
    queued: dict[str, int]


def encode_placements(digest: NodeDigest) -> Placements:
    """Encodes what this node has placed."""
    targets = tuple(
        PlacedTarget(
            target=each.target,
            running=each.running,
            context=each.context_tokens,
            means=tuple(round(mean) for mean in each.means),
            variances=tuple(round(variance) for variance in each.variances),
            rate=round(each.placements_per_second * _RATE_SCALE),
        )
        for each in digest.targets
    )
    queued = {
        pool: round(tokens) for pool, tokens in digest.queued_tokens.items()
    }
    return Placements(targets=targets, queued=queued)


def decode_placements(placements: Placements, *, node: str) -> NodeDigest:
    """Decodes what ``node`` has placed."""
    targets = tuple(
        TargetDigest(
            target=each.target,
            running=each.running,
            context_tokens=each.context,
            means=tuple(map(float, each.means)),
            variances=tuple(map(float, each.variances)),
            placements_per_second=each.rate / _RATE_SCALE,
        )
        for each in placements.targets
    )
    queued = {pool: float(tokens) for pool, tokens in placements.queued.items()}
    return NodeDigest(node=node, queued_tokens=queued, targets=targets)


def compute_period(*, targets: int, peers: int) -> timedelta:
    """Computes how often placements are sent.

    Args:
        targets: how many targets the sender uses.
        peers: how many peers get them.
    """
    size = 2 * peers * targets * _TARGET_BYTES
    period = timedelta(seconds=size / PLACEMENT_RATE)
    return min(MAX_PERIOD, max(MIN_PERIOD, period))


class PlacementExchange:
    """Sends this node's placements and takes in those of peers."""

    def __init__(
        self,
        *,
        links: Links,
        clock: Clock,
        build_digest: Callable[[], NodeDigest],
        record_digest: Callable[[NodeDigest], None],
    ) -> None:
        """Creates the exchange; ``run`` starts it.

        Args:
            links: the links to peers.
            clock: gives the times.
            build_digest: returns what this node has placed.
            record_digest: takes what a peer has placed.
        """
        self._links = links
        self._clock = clock
        self._build_digest = build_digest
        self._record_digest = record_digest
        links.register(Placements, self._take)

    async def run(self) -> None:
        """Sends placements until cancelled."""
        while True:
            peers = self._links.list_linked()
            placements = encode_placements(self._build_digest())
            if len(peers) <= MAX_PEERS:
                for peer in peers:
                    self._links.send(peer.node, placements)
            await self._clock.sleep(
                compute_period(
                    targets=len(placements.targets), peers=len(peers)
                )
            )

    async def _take(self, peer: Identity, placements: Placements) -> None:
        self._record_digest(decode_placements(placements, node=peer.node))
