"""Tells peers of changes at once and of everything at intervals.

News from the own data centre goes on to the other ones, and news from others
goes on inside the own one, so that nothing travels more than three links.
"""

from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.facts import Fact, FactSource
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message
from acaciarack.peers import choose_delegates
from acaciarack.statements import (
    Heartbeat,
    NodeNews,
    NodeSummary,
    Standing,
    TargetNews,
    build_news,
    compute_summary_period,
    read_news,
)

SHARED_SOURCES = (FactSource.VM_LIST, FactSource.REPORT)
_REPEAT_FRACTION = 0.8


class Members(Protocol):
    """What is told and what takes in what is heard."""

    def get_standing(self) -> Standing:
        """Returns what this node says of itself."""
        ...

    def count_nodes(self) -> int:
        """Returns how many nodes are known, this one included."""
        ...

    def list_live(self, data_centre: str) -> tuple[str, ...]:
        """Returns the live nodes of a data centre."""
        ...

    def list_near_news(self) -> tuple[NodeNews, ...]:
        """Returns what the heard nodes of the own data centre said."""
        ...

    def list_bad_facts(self) -> tuple[Fact, ...]:
        """Returns what a newly linked peer must know."""
        ...

    def observe_node(self, news: NodeNews) -> bool:
        """Takes in what a node said; returns whether it is new."""
        ...

    def observe_fact(self, fact: Fact) -> bool:
        """Takes in a fact; returns whether it is new."""
        ...

    def lose_node(self, name: str) -> None:
        """Takes in that a link is lost."""
        ...


class Gossip:
    """Sends and receives the messages of membership."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: Links,
        clock: Clock,
        members: Members,
    ) -> None:
        self._identity = identity
        self._links = links
        self._clock = clock
        self._members = members
        self._passed: dict[str, timedelta] = {}
        links.register(Heartbeat, self._take_heartbeat)
        links.register(NodeNews, self._take_node)
        links.register(NodeSummary, self._take_summary)
        links.register(TargetNews, self._take_fact)
        links.add_listener(self._follow_link)

    async def run(self) -> None:
        """Sends summaries to other data centres until cancelled."""
        while True:
            self.send_summary()
            count = self._members.count_nodes()
            await self._clock.sleep(compute_summary_period(count))

    def send_heartbeats(self) -> None:
        """Sends a heartbeat to each peer."""
        heartbeat = Heartbeat(standing=self._members.get_standing())
        for peer in self._links.list_linked():
            self._links.send(peer.node, heartbeat)

    def send_summary(self) -> None:
        """Sends the summary to the linked peers elsewhere."""
        summary = NodeSummary(
            data_centre=self._identity.data_centre,
            nodes=self._members.list_near_news(),
        )
        for peer in self.list_far():
            self._links.send(peer.node, summary)

    def tell_own_news(self) -> None:
        """Tells each peer of this node's standing."""
        self._tell_all(self._build_own_news())

    def tell_fact(self, fact: Fact) -> None:
        """Tells each peer of a fact that this node found out."""
        if fact.source in SHARED_SOURCES:
            self._tell_all(build_news(fact))

    def list_far(self) -> tuple[Identity, ...]:
        """Returns the linked peers in other data centres."""
        return tuple(
            peer
            for peer in self._links.list_linked()
            if peer.data_centre != self._identity.data_centre
        )

    def list_near(self) -> tuple[Identity, ...]:
        """Returns the linked peers in the own data centre."""
        return tuple(
            peer
            for peer in self._links.list_linked()
            if peer.data_centre == self._identity.data_centre
        )

    def pass_on(self, sender: Identity, message: Message) -> None:
        """Passes news to the other side of this data centre's border."""
        is_near = sender.data_centre == self._identity.data_centre
        for peer in self.list_far() if is_near else self.list_near():
            self._links.send(peer.node, message)

    def is_passing_due(
        self, sender: Identity, topic: str, period: timedelta
    ) -> bool:
        """Returns whether this node is to pass a summary on inside.

        The first delegate passes on each one; the second only steps in when
        one was missed. What peers passed on is noted by the same call.

        Args:
            sender: who sent the summary.
            topic: names the summary; a data centre's name is its last word.
            period: how often such a summary is sent.
        """
        now = self._clock.elapsed()
        passed = self._passed.get(topic)
        if sender.data_centre == self._identity.data_centre:
            self._passed[topic] = now
            return False
        here = self._identity.data_centre
        delegates = choose_delegates(
            here,
            sender.data_centre,
            frozenset(self._members.list_live(here)),
        )
        rank = 0 if delegates[:1] == (self._identity.node,) else 1
        if passed is not None and now - passed < period * (
            rank + _REPEAT_FRACTION
        ):
            return False
        self._passed[topic] = now
        return True

    def _build_own_news(self) -> NodeNews:
        return NodeNews(
            identity=self._identity, standing=self._members.get_standing()
        )

    def _tell_all(self, message: Message) -> None:
        for peer in self._links.list_linked():
            self._links.send(peer.node, message)

    def _follow_link(self, peer: Identity, linked: bool) -> None:
        if not linked:
            self._members.lose_node(peer.node)
            return
        self._links.send(peer.node, self._build_own_news())
        for fact in self._members.list_bad_facts():
            self._links.send(peer.node, build_news(fact))

    async def _take_heartbeat(
        self, peer: Identity, heartbeat: Heartbeat
    ) -> None:
        news = NodeNews(identity=peer, standing=heartbeat.standing)
        if self._members.observe_node(news):
            self.pass_on(peer, news)

    async def _take_node(self, peer: Identity, news: NodeNews) -> None:
        if self._members.observe_node(news):
            self.pass_on(peer, news)

    async def _take_summary(self, peer: Identity, summary: NodeSummary) -> None:
        for news in summary.nodes:
            self._members.observe_node(news)
        period = compute_summary_period(self._members.count_nodes())
        topic = f"nodes {summary.data_centre}"
        if self.is_passing_due(peer, topic, period):
            self.pass_on(peer, summary)

    async def _take_fact(self, peer: Identity, news: TargetNews) -> None:
        fact = read_news(news, now=self._clock.now())
        if fact.source not in SHARED_SOURCES:
            return
        if self._members.observe_fact(fact):
            self.pass_on(peer, news)
