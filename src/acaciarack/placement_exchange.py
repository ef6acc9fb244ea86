"""Tells the other nodes what this node has placed on each target.

The pause between two messages grows with their length and with the number of
peers, so that they stay within their part of the control traffic.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

import msgspec

from acaciarack.clock import Clock
from acaciarack.digests import FinishedLength, NodeDigest, TargetDigest
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message

TRAFFIC_RATE = 3000.0
"""Bytes a second that a node may send for this."""
SHORTEST_PERIOD = timedelta(milliseconds=100)
LONGEST_PERIOD = timedelta(seconds=5)
"""The age at which peers ignore a message; rarer ones are not sent."""


class TargetItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One target of a ``PlacementNews``; see ``TargetDigest``.

    Attributes:
        rate: placements a second, in hundredths.
    """

    target: str
    running: int
    context_tokens: int
    means: tuple[int, ...]
    variances: tuple[int, ...]
    rate: int


class LengthItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One finished answer of a ``PlacementNews``; see ``FinishedLength``."""

    service: str
    organisation: str
    model: str
    tokens: int


class PlacementNews(Message, frozen=True, kw_only=True, tag="p"):
    """What the sender has placed and queued; see ``NodeDigest``."""

    droppable: ClassVar[bool] = True
    queued: dict[str, int]
    targets: tuple[TargetItem, ...]
    lengths: tuple[LengthItem, ...] = ()


class PlacementExchange:
    """Sends this node's digest and takes those of its peers."""

    def __init__(
        self,
        *,
        links: Links,
        clock: Clock,
        build_digest: Callable[[], NodeDigest],
        record_digest: Callable[[NodeDigest], None],
    ) -> None:
        self._links = links
        self._clock = clock
        self._build_digest = build_digest
        self._record_digest = record_digest
        links.register(PlacementNews, self._take)

    async def run(self) -> None:
        """Sends until cancelled."""
        while True:
            await self._clock.sleep(self.send())

    def send(self) -> timedelta:
        """Sends the digest to all linked peers; returns the pause after it.

        Where the traffic limit makes messages too rare to be of use, nothing
        is sent, and peers go by the targets' reports.
        """
        news = encode_news(self._build_digest())
        peers = self._links.list_linked()
        period = compute_period(news, peers=len(peers))
        if period > LONGEST_PERIOD:
            return LONGEST_PERIOD
        for peer in peers:
            self._links.send(peer.node, news)
        return period

    async def _take(self, sender: Identity, news: PlacementNews) -> None:
        self._record_digest(_decode(sender.node, news))


def compute_period(news: PlacementNews, *, peers: int) -> timedelta:
    """Returns the pause after a message that keeps to ``TRAFFIC_RATE``."""
    size = len(msgspec.msgpack.encode(news))
    seconds = size * peers / TRAFFIC_RATE
    return max(SHORTEST_PERIOD, timedelta(seconds=seconds))


def encode_news(digest: NodeDigest) -> PlacementNews:
    """Turns a digest into a message."""
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


def _encode_target(digest: TargetDigest) -> TargetItem:
    return TargetItem(
        target=digest.target,
        running=digest.running,
        context_tokens=digest.context_tokens,
        means=tuple(round(mean) for mean in digest.means),
        variances=tuple(round(variance) for variance in digest.variances),
        rate=round(digest.placements_per_second * 100),
    )


def _decode(node: str, news: PlacementNews) -> NodeDigest:
    return NodeDigest(
        node=node,
        queued_tokens={pool: float(n) for pool, n in news.queued.items()},
        targets=tuple(
            TargetDigest(
                target=item.target,
                running=item.running,
                context_tokens=item.context_tokens,
                means=tuple(float(mean) for mean in item.means),
                variances=tuple(float(value) for value in item.variances),
                placements_per_second=item.rate / 100,
            )
            for item in news.targets
        ),
        lengths=tuple(
            FinishedLength(
                service=item.service,
                organisation=item.organisation,
                model=item.model,
                tokens=item.tokens,
            )
            for item in news.lengths
        ),
    )
