"""Which nodes and targets there are and which take new work.

Sources are the VM list, which lags, heartbeats between nodes, what targets
report, and the flags of the configuration; the worst of them wins.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.configured import ConfigurationView
from acaciarack.entries import Entry
from acaciarack.facts import Fact, FactSource, FactTable, MemberState
from acaciarack.gossip import SHARED_SOURCES, Gossip
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.node_states import NodeRecord, NodeStates, NodeView
from acaciarack.pauses import PauseDetector
from acaciarack.peer_choice import PeerChoice
from acaciarack.platform import Vm, VmList, VmState
from acaciarack.statements import DIGEST_BYTES, NodeNews, Standing
from acaciarack.target_states import TARGET_SILENCE, TargetStates
from acaciarack.vm_polls import VmPoller

HEARTBEAT = timedelta(seconds=1)
TIDY_BEATS = 3
FACT_LIFETIME = timedelta(hours=1)
StateListener = Callable[[Fact], None]


class Membership:
    """The members of the deployment as this node sees them."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: Links,
        link_port: int,
        vm_list: VmList,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        """Creates the view; ``run`` keeps it up to date.

        Args:
            identity: who this node is.
            links: the links to peers; run by the caller.
            link_port: the TCP port for links, the same on every node.
            vm_list: the platform's list.
            configuration: what is in force.
            clock: gives the times.
        """
        self._identity = identity
        self._configuration = configuration
        self._clock = clock
        self._facts = FactTable()
        self._targets = TargetStates(
            facts=self._facts, configuration=configuration, clock=clock
        )
        self._nodes = NodeStates(
            own_data_centre=identity.data_centre,
            facts=self._facts,
            configuration=configuration,
            clock=clock,
        )
        self._peer_choice = PeerChoice(
            identity=identity,
            links=links,
            link_port=link_port,
            nodes=self._nodes,
        )
        self._vms: dict[str, Vm] = {}
        self._told: dict[str, MemberState] = {}
        self._listeners: list[StateListener] = []
        self._stopping = False
        self._sequence = 0
        self._own_state = MemberState.LIVE
        self.pauses = PauseDetector(clock=clock)
        self.pauses.add_listener(self._targets.distrust)
        self.pauses.add_listener(links.reset)
        self._poller = VmPoller(
            vm_list=vm_list,
            clock=clock,
            own_name=identity.node,
            list_turns=self.list_near,
            sink=self.observe_vms,
        )
        self.gossip = Gossip(
            identity=identity, links=links, clock=clock, members=self
        )

    async def run(self) -> None:
        """Keeps the view up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self.gossip.run)
            for beat in itertools.count():
                self.pauses.beat()
                self.refresh()
                if beat % TIDY_BEATS == 0:
                    self._tidy()
                self.gossip.send_heartbeats()
                await self._clock.sleep(HEARTBEAT)

    def add_listener(self, listener: StateListener) -> None:
        """Adds what is told when a member's state changes."""
        self._listeners.append(listener)

    def mark_leaving(self) -> None:
        """Makes this node leave for good; every peer is told at once."""
        self._stopping = True
        self.refresh()

    def is_leaving(self) -> bool:
        """Returns whether this node takes nothing new, for any reason."""
        return self._find_own_state() is not MemberState.LIVE

    def list_nodes(self) -> tuple[NodeView, ...]:
        """Returns every known node, this one first, then by name."""
        own = NodeRecord(
            identity=self._identity,
            standing=self.get_standing(),
            heard=self._clock.elapsed(),
        )
        views = [self._nodes.view(own, self._find_own_state())]
        views += [
            self._nodes.view(record, self.get_node_state(record.identity.node))
            for record in self._nodes
        ]
        return tuple(views)

    def count_nodes(self) -> int:
        """Returns how many nodes are known, this one included."""
        return len(self._nodes) + 1

    def find_newest_version(self) -> int:
        """Returns the highest configuration version that a node has."""
        own = self._configuration.get_configuration().version
        others = (
            record.standing.configuration_version for record in self._nodes
        )
        return max(own, max(others, default=0))

    def list_entries(self) -> tuple[Entry, ...]:
        """Returns the addresses of the nodes that take new requests."""
        return tuple(
            Entry(host=each.host, port=each.port, data_centre=each.data_centre)
            for each in self._iterate_live()
        )

    def list_near(self) -> tuple[str, ...]:
        """Returns the live nodes of the own data centre, in order."""
        return self.list_live(self._identity.data_centre)

    def list_live(self, data_centre: str) -> tuple[str, ...]:
        """Returns the live nodes of a data centre, in order of name."""
        return self.group_live().get(data_centre, ())

    def group_live(self) -> dict[str, tuple[str, ...]]:
        """Returns the live nodes by data centre, in order of name."""
        groups: dict[str, list[str]] = defaultdict(list)
        for identity in self._iterate_live():
            groups[identity.data_centre].append(identity.node)
        return {
            centre: tuple(sorted(names)) for centre, names in groups.items()
        }

    def list_near_news(self) -> tuple[NodeNews, ...]:
        """Returns what the heard nodes of the own data centre said."""
        near = [
            NodeNews(identity=record.identity, standing=record.standing)
            for record in self._nodes
            if record.identity.data_centre == self._identity.data_centre
            and self.get_node_state(record.identity.node)
            in (MemberState.LIVE, MemberState.LEAVING)
        ]
        own = NodeNews(identity=self._identity, standing=self.get_standing())
        return (own, *near)

    def lagging_nodes(self) -> tuple[NodeView, ...]:
        """Returns the nodes whose configuration is older or differs."""
        own = self.get_standing()
        return tuple(
            node
            for node in self.list_nodes()
            if node.configuration_version < own.configuration_version
            or (
                node.configuration_version == own.configuration_version
                and node.configuration_digest != own.configuration_digest
            )
        )

    def is_target_available(self, name: str) -> bool:
        """Returns whether a target may get new work.

        A suspect one may not: this node may not have heard that it leaves.
        """
        self.pauses.check()
        return self._targets.find_state(name) is MemberState.AVAILABLE

    def get_target_state(self, name: str) -> Fact:
        """Returns the worst statement about a target."""
        self.pauses.check()
        return self._targets.get_state(name)

    def get_node_state(self, name: str) -> MemberState:
        """Returns the worst that is said of another node."""
        return self._nodes.find_state(name)

    def get_standing(self) -> Standing:
        """Returns what this node says of itself."""
        version = self._configuration.get_configuration().version
        digest = self._configuration.get_digest()
        return Standing(
            state=self._own_state,
            sequence=self._sequence,
            configuration_version=version,
            configuration_digest=digest[:DIGEST_BYTES],
        )

    def list_bad_facts(self) -> tuple[Fact, ...]:
        """Returns what a newly linked peer must know."""
        return tuple(
            fact
            for fact in self._facts.list_bad()
            if fact.source in SHARED_SOURCES
        )

    def observe_report(
        self,
        name: str,
        *,
        leaving: bool,
        age: timedelta = timedelta(),
        fresh_for: timedelta = TARGET_SILENCE,
        direct: bool = True,
    ) -> None:
        """Takes in that a target was heard of.

        Args:
            name: the target's name.
            leaving: whether it says that it leaves.
            age: how long ago it was heard of.
            fresh_for: for how long that counts.
            direct: whether this node heard it from the target itself; peers
                are then told at once if it leaves.
        """
        if self.pauses.check() or not self._targets.knows(name):
            return
        self._targets.hear(name, age=age, fresh_for=fresh_for)
        state = MemberState.LEAVING if leaving else MemberState.AVAILABLE
        self._observe(name, FactSource.REPORT, state, age=age, tell=direct)
        self._observe(
            name, FactSource.WATCHER, MemberState.AVAILABLE, age=age, tell=False
        )

    def suspect_target(self, name: str) -> None:
        """Takes in that a watcher lost a target's stream."""
        self._observe(name, FactSource.WATCHER, MemberState.SUSPECT, tell=False)

    def observe_vms(self, vms: Iterable[Vm]) -> None:
        """Takes in the VM list."""
        if self.pauses.check():
            return
        listed = {vm.name: vm for vm in vms}
        for name in self._vms.keys() - listed.keys():
            self._observe(name, FactSource.VM_LIST, MemberState.GONE)
        for vm in listed.values():
            is_leaving = vm.state is VmState.LEAVING
            state = MemberState.LEAVING if is_leaving else MemberState.LIVE
            self._observe(vm.name, FactSource.VM_LIST, state)
        self._vms = listed
        self._choose_peers()

    def observe_node(self, news: NodeNews) -> bool:
        """Takes in what a node said of itself; returns whether it is new."""
        if news.identity.node == self._identity.node:
            return False
        is_new = self._nodes.observe(news.identity, news.standing)
        if is_new:
            self._choose_peers()
            self._tell(self._nodes.get_state(news.identity.node))
        return is_new

    def observe_fact(self, fact: Fact) -> bool:
        """Takes in what a peer passed on; returns whether it is new."""
        if self.pauses.check() or not self._facts.observe(fact):
            return False
        self._tell_of(fact.name)
        return True

    def lose_node(self, name: str) -> None:
        """Takes in that the link to a node is lost."""
        self._nodes.lose(name)
        self._tell_of(name)

    def refresh(self) -> None:
        """Updates what depends on time and on the configuration.

        Runs every second; to be called as well when a configuration comes
        into force.
        """
        state = self._find_own_state()
        if state is not self._own_state:
            self._own_state = state
            self._sequence += 1
            self.gossip.tell_own_news()
        for record in self._nodes:
            self._tell_of(record.identity.node)
        for name in self._targets.list_names():
            self._tell_of(name)

    def _tidy(self) -> None:
        self._facts.prune(self._clock.now() - FACT_LIFETIME)
        self._nodes.forget_old()
        self._choose_peers()

    def _observe(
        self,
        name: str,
        source: FactSource,
        state: MemberState,
        *,
        age: timedelta = timedelta(),
        tell: bool = True,
    ) -> None:
        fact = Fact(
            name=name, source=source, state=state, time=self._clock.now() - age
        )
        if self._facts.observe(fact):
            if tell:
                self.gossip.tell_fact(fact)
            self._tell_of(name)

    def _iterate_live(self) -> Iterator[Identity]:
        if self._find_own_state() is MemberState.LIVE:
            yield self._identity
        for record in self._nodes:
            name = record.identity.node
            if self._nodes.find_state(name) is MemberState.LIVE:
                yield record.identity

    def _find_own_state(self) -> MemberState:
        name = self._identity.node
        worst = self._facts.find_worst(name)
        if self._stopping or self._nodes.is_drained(name):
            return MemberState.LEAVING
        if worst is not None and worst.state is not MemberState.LIVE:
            return MemberState.LEAVING
        return MemberState.LIVE

    def _tell_of(self, name: str) -> None:
        if name == self._identity.node:
            if self._find_own_state() is not self._own_state:
                self.refresh()
        elif self._nodes.find(name) is not None:
            self._tell_change(name, self._nodes)
        elif self._targets.knows(name):
            self._tell_change(name, self._targets)

    def _tell_change(
        self, name: str, states: NodeStates | TargetStates
    ) -> None:
        if self._told.get(name) is not states.find_state(name):
            self._tell(states.get_state(name))

    def _tell(self, fact: Fact) -> None:
        if self._told.get(fact.name) is fact.state:
            return
        self._told[fact.name] = fact.state
        for listener in self._listeners:
            listener(fact)

    def _choose_peers(self) -> None:
        self._peer_choice.choose(self._vms.values())
