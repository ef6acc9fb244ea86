"""Sends membership changes to peers at once, and full state at intervals.

A node forwards news from its own data centre to the other data centres, and
news from other data centres inside its own. No message crosses more than three
links.
"""

from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.member_states import ObservationSource, StateObservation
from acaciarack.membership_messages import (
    Heartbeat,
    NodeNews,
    NodeSummary,
    Standing,
    TargetNews,
    compute_summary_period,
    decode_observation,
    encode_observation,
)
from acaciarack.messages import Message
from acaciarack.peers import choose_delegates

SHARED_SOURCES = (ObservationSource.VM_LIST, ObservationSource.REPORT)
"""The sources whose observations nodes send to each other."""
_MIN_INTERVAL_FRACTION = 0.8
"""The fraction of a period that must pass between two forwarded summaries."""


class MembershipStore(Protocol):
    """Provides the membership state to send and records received news."""

    def get_standing(self) -> Standing:
        """Returns this node's own state and configuration version."""
        ...

    def count_nodes(self) -> int:
        """Returns the number of known nodes, this one included."""
        ...

    def list_live(self, data_centre: str) -> tuple[str, ...]:
        """Returns the live nodes of a data centre."""
        ...

    def list_local_node_news(self) -> tuple[NodeNews, ...]:
        """Returns the news of each live or leaving node in this data centre."""
        ...

    def list_unavailable_observations(self) -> tuple[StateObservation, ...]:
        """Returns the observations to send to a newly linked peer."""
        ...

    def record_node(self, news: NodeNews) -> bool:
        """Records news of a node.

        Returns:
            Whether this is the first news of the node, or newer than the
            recorded news.
        """
        ...

    def record_observation(self, observation: StateObservation) -> bool:
        """Records an observation; returns whether the state changed."""
        ...

    def record_link_loss(self, name: str) -> None:
        """Records that the link to a node was lost."""
        ...


class Gossip:
    """Sends, receives and forwards membership messages."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: LinkManager,
        clock: Clock,
        members: MembershipStore,
    ) -> None:
        self._identity = identity
        self._links = links
        self._clock = clock
        self._members = members
        self._last_forwarded: dict[str, timedelta] = {}
        links.register(Heartbeat, self._handle_heartbeat)
        links.register(NodeNews, self._handle_node_news)
        links.register(NodeSummary, self._handle_summary)
        links.register(TargetNews, self._handle_target_news)
        links.add_listener(self._handle_link_change)

    async def run(self) -> None:
        """Sends summaries to other data centres until cancelled."""
        while True:
            self.send_summary()
            count = self._members.count_nodes()
            await self._clock.sleep(compute_summary_period(count))

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each peer."""
        heartbeat = Heartbeat(standing=self._members.get_standing())
        for peer in self._links.list_linked_peers():
            self._links.send(peer.node, heartbeat)

    def send_summary(self) -> None:
        """Sends the summary to the linked peers in other data centres."""
        summary = NodeSummary(
            data_centre=self._identity.data_centre,
            nodes=self._members.list_local_node_news(),
        )
        for peer in self.list_remote_peers():
            self._links.send(peer.node, summary)

    def broadcast_own_standing(self) -> None:
        """Sends this node's standing to each peer."""
        self._broadcast(self._build_own_node_news())

    def broadcast_observation(self, observation: StateObservation) -> None:
        """Sends an observation from ``SHARED_SOURCES`` to each peer.

        Does nothing if the observation has another source.
        """
        if observation.source in SHARED_SOURCES:
            self._broadcast(encode_observation(observation))

    def list_remote_peers(self) -> tuple[Identity, ...]:
        """Returns the linked peers in other data centres."""
        return tuple(
            peer
            for peer in self._links.list_linked_peers()
            if peer.data_centre != self._identity.data_centre
        )

    def list_local_peers(self) -> tuple[Identity, ...]:
        """Returns the linked peers in this node's data centre."""
        return tuple(
            peer
            for peer in self._links.list_linked_peers()
            if peer.data_centre == self._identity.data_centre
        )

    def forward(self, sender: Identity, message: Message) -> None:
        """Forwards a message between this data centre and the other ones.

        A message from a local peer goes to the remote peers. One from a remote
        peer goes to the local peers.
        """
        is_local = sender.data_centre == self._identity.data_centre
        for peer in (
            self.list_remote_peers() if is_local else self.list_local_peers()
        ):
            self._links.send(peer.node, message)

    def should_forward_summary(
        self, sender: Identity, topic: str, period: timedelta
    ) -> bool:
        """Returns whether this node must forward a summary to local peers.

        The first delegate forwards one summary per period, although several
        remote delegates may send it. The second delegate forwards one only if
        the first missed one. If the sender is a local peer, another delegate
        has already forwarded the summary; this call then records the time and
        returns False.

        Args:
            sender: the peer that sent the summary.
            topic: identifies the summary; ends with the name of the data centre
                that it describes.
            period: the time between two summaries of the topic.
        """
        now = self._clock.elapsed()
        last_forwarded = self._last_forwarded.get(topic)
        if sender.data_centre == self._identity.data_centre:
            self._last_forwarded[topic] = now
            return False
        own_data_centre = self._identity.data_centre
        delegates = choose_delegates(
            own_data_centre,
            sender.data_centre,
            frozenset(self._members.list_live(own_data_centre)),
        )
        rank = 0 if delegates[:1] == (self._identity.node,) else 1
        if last_forwarded is not None and now - last_forwarded < period * (
            rank + _MIN_INTERVAL_FRACTION
        ):
            return False
        self._last_forwarded[topic] = now
        return True

    def _build_own_node_news(self) -> NodeNews:
        return NodeNews(
            identity=self._identity, standing=self._members.get_standing()
        )

    def _broadcast(self, message: Message) -> None:
        for peer in self._links.list_linked_peers():
            self._links.send(peer.node, message)

    def _handle_link_change(self, peer: Identity, linked: bool) -> None:
        if not linked:
            self._members.record_link_loss(peer.node)
            return
        self._links.send(peer.node, self._build_own_node_news())
        for observation in self._members.list_unavailable_observations():
            self._links.send(peer.node, encode_observation(observation))

    async def _handle_heartbeat(
        self, peer: Identity, heartbeat: Heartbeat
    ) -> None:
        news = NodeNews(identity=peer, standing=heartbeat.standing)
        if self._members.record_node(news):
            self.forward(peer, news)

    async def _handle_node_news(self, peer: Identity, news: NodeNews) -> None:
        if self._members.record_node(news):
            self.forward(peer, news)

    async def _handle_summary(
        self, peer: Identity, summary: NodeSummary
    ) -> None:
        for news in summary.nodes:
            self._members.record_node(news)
        period = compute_summary_period(self._members.count_nodes())
        topic = f"nodes {summary.data_centre}"
        if self.should_forward_summary(peer, topic, period):
            self.forward(peer, summary)

    async def _handle_target_news(
        self, peer: Identity, news: TargetNews
    ) -> None:
        observation = decode_observation(news, now=self._clock.now())
        if observation.source not in SHARED_SOURCES:
            return
        if self._members.record_observation(observation):
            self.forward(peer, news)
