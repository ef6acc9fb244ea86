"""Sends a digest of this node's placed and queued requests to its peers.

The period grows with the message size and the number of peers. This keeps the
messages within their share of the control traffic.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

import msgspec

from acaciarack.clock import Clock
from acaciarack.digests import FinishedLength, NodeDigest, NodeTargetDigest
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.messages import Message

MAX_BYTES_PER_SECOND = 3000.0
"""Traffic limit of the messages that a node sends to all peers."""
MIN_PERIOD = timedelta(milliseconds=100)
MAX_PERIOD = timedelta(seconds=5)
"""Peers ignore older digests, so a node with a longer period sends none."""


class TargetItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The wire form of a ``NodeTargetDigest``.

    Attributes:
        rate: placements per second, multiplied by 100.
    """

    target: str
    running: int
    context_tokens: int
    means: tuple[int, ...]
    variances: tuple[int, ...]
    rate: int


class LengthItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The wire form of a ``FinishedLength``."""

    service: str
    organisation: str
    model: str
    tokens: int


class PlacementNews(Message, frozen=True, kw_only=True, tag="p"):
    """The wire form of the sender's ``NodeDigest``."""

    droppable: ClassVar[bool] = True
    queued: dict[str, int]
    targets: tuple[TargetItem, ...]
    lengths: tuple[LengthItem, ...] = ()


class PlacementExchange:
    """Sends this node's digest and records the digests of its peers."""

    def __init__(
        self,
        *,
        links: LinkManager,
        clock: Clock,
        build_digest: Callable[[], NodeDigest],
        record_digest: Callable[[NodeDigest], None],
    ) -> None:
        self._links = links
        self._clock = clock
        self._build_digest = build_digest
        self._record_digest = record_digest
        links.register(PlacementNews, self._handle_digest)

    async def run(self) -> None:
        """Sends digests until cancelled."""
        while True:
            await self._clock.sleep(self.send())

    def send(self) -> timedelta:
        """Sends the digest to all linked peers; returns the time to the next.

        Sends nothing if the traffic limit requires a period above
        ``MAX_PERIOD``. Peers then rely on the targets' load reports.
        """
        message = encode_digest(self._build_digest())
        peers = self._links.list_linked_peers()
        period = compute_period(message, peers=len(peers))
        if period > MAX_PERIOD:
            return MAX_PERIOD
        for peer in peers:
            self._links.send(peer.node, message)
        return period

    async def _handle_digest(
        self, sender: Identity, message: PlacementNews
    ) -> None:
        self._record_digest(_decode_digest(sender.node, message))


def compute_period(message: PlacementNews, *, peers: int) -> timedelta:
    """Returns the shortest period allowed for messages of this size.

    It keeps to ``MAX_BYTES_PER_SECOND`` and is at least ``MIN_PERIOD``.
    """
    size = len(msgspec.msgpack.encode(message))
    seconds = size * peers / MAX_BYTES_PER_SECOND
    return max(MIN_PERIOD, timedelta(seconds=seconds))


def encode_digest(digest: NodeDigest) -> PlacementNews:
    """Encodes a digest as a message."""
    return PlacementNews(
        queued={
            pool: round(tokens) for pool, tokens in digest.queued_tokens.items()
        },
        targets=tuple(_encode_target(item) for item in digest.targets),
        lengths=tuple(
            LengthItem(
                service=length.service,
                organisation=length.organisation,
                model=length.model,
                tokens=length.tokens,
            )
            for length in digest.lengths
        ),
    )


def _encode_target(digest: NodeTargetDigest) -> TargetItem:
    return TargetItem(
        target=digest.target,
        running=digest.running,
        context_tokens=digest.context_tokens,
        means=tuple(round(mean) for mean in digest.means),
        variances=tuple(round(variance) for variance in digest.variances),
        rate=round(digest.placements_per_second * 100),
    )


def _decode_digest(node: str, message: PlacementNews) -> NodeDigest:
    return NodeDigest(
        node=node,
        queued_tokens={pool: float(n) for pool, n in message.queued.items()},
        targets=tuple(
            NodeTargetDigest(
                target=item.target,
                running=item.running,
                context_tokens=item.context_tokens,
                means=tuple(float(mean) for mean in item.means),
                variances=tuple(float(value) for value in item.variances),
                placements_per_second=item.rate / 100,
            )
            for item in message.targets
        ),
        lengths=tuple(
            FinishedLength(
                service=item.service,
                organisation=item.organisation,
                model=item.model,
                tokens=item.tokens,
            )
            for item in message.lengths
        ),
    )
