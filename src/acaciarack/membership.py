"""Membership: the nodes and targets, and which of them accept new requests.

States come from the VM list, which lags, heartbeats between nodes, reports of
targets, and the drain flags of the configuration. If they differ, the worst
state applies.
"""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from datetime import timedelta

import trio

from acaciarack.clock import Clock
from acaciarack.configuration_view import ConfigurationView
from acaciarack.entries import Entry
from acaciarack.gossip import SHARED_SOURCES, Gossip
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.member_states import (
    MemberState,
    ObservationSource,
    ObservationTable,
    StateObservation,
)
from acaciarack.membership_messages import (
    CONFIGURATION_DIGEST_BYTES,
    NodeNews,
    Standing,
)
from acaciarack.node_states import NodeRecord, NodeStates, NodeView
from acaciarack.pause_detector import PauseDetector
from acaciarack.peer_selection import PeerSelector
from acaciarack.platform import Vm, VmList, VmState
from acaciarack.target_states import TARGET_TIMEOUT, TargetStates
from acaciarack.vm_polls import VmPoller

HEARTBEAT_INTERVAL = timedelta(seconds=1)
PRUNE_INTERVAL_HEARTBEATS = 3
OBSERVATION_RETENTION = timedelta(hours=1)
StateListener = Callable[[StateObservation], None]


class Membership:
    """This node's view of the nodes and targets of the deployment."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: LinkManager,
        link_port: int,
        vm_list: VmList,
        configuration: ConfigurationView,
        clock: Clock,
    ) -> None:
        """Creates the view; ``run`` keeps it up to date.

        Args:
            identity: this node.
            links: the links to peers; run by the caller.
            link_port: the TCP port for links, the same on every node.
            vm_list: the platform's VM list.
            configuration: provides the configuration in force.
            clock: provides the current times and sleeps.
        """
        self._identity = identity
        self._configuration = configuration
        self._clock = clock
        self._observations = ObservationTable()
        self._targets = TargetStates(
            observations=self._observations,
            configuration=configuration,
            clock=clock,
        )
        self._nodes = NodeStates(
            own_data_centre=identity.data_centre,
            observations=self._observations,
            configuration=configuration,
            clock=clock,
        )
        self._peer_selector = PeerSelector(
            identity=identity,
            links=links,
            link_port=link_port,
            nodes=self._nodes,
        )
        self._vms: dict[str, Vm] = {}
        self._notified_states: dict[str, MemberState] = {}
        self._listeners: list[StateListener] = []
        self._is_stopping = False
        self._sequence = 0
        self._own_state = MemberState.LIVE
        self.pause_detector = PauseDetector(clock=clock)
        self.pause_detector.add_listener(self._targets.clear_contacts)
        self.pause_detector.add_listener(links.reset)
        self._poller = VmPoller(
            vm_list=vm_list,
            clock=clock,
            own_name=identity.node,
            list_local_nodes=self.list_local_nodes,
            sink=self.apply_vm_list,
        )
        self.gossip = Gossip(
            identity=identity, links=links, clock=clock, members=self
        )

    async def run(self) -> None:
        """Keeps the view up to date until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poller.run)
            nursery.start_soon(self.gossip.run)
            for heartbeat_number in itertools.count():
                self.pause_detector.mark_running()
                self.refresh()
                if heartbeat_number % PRUNE_INTERVAL_HEARTBEATS == 0:
                    self._prune()
                self.gossip.send_heartbeats()
                await self._clock.sleep(HEARTBEAT_INTERVAL)

    def add_listener(self, listener: StateListener) -> None:
        """Adds a listener that is called when a member's state changes."""
        self._listeners.append(listener)

    def mark_leaving(self) -> None:
        """Marks this node as leaving until it stops; notifies peers at once."""
        self._is_stopping = True
        self.refresh()

    def is_leaving(self) -> bool:
        """Returns whether this node is leaving, for any reason.

        It leaves if it is about to stop, if the configuration drains it, or if
        the VM list marks it as leaving or no longer contains it.
        """
        return self._compute_own_state() is not MemberState.LIVE

    def list_nodes(self) -> tuple[NodeView, ...]:
        """Returns this node, then the other known nodes sorted by name."""
        own = NodeRecord(
            identity=self._identity,
            standing=self.get_standing(),
            last_heard=self._clock.elapsed(),
        )
        views = [self._nodes.build_view(own, self._compute_own_state())]
        views += [
            self._nodes.build_view(
                record, self.get_node_state(record.identity.node)
            )
            for record in self._nodes
        ]
        return tuple(views)

    def count_nodes(self) -> int:
        """Returns the number of known nodes, this one included."""
        return len(self._nodes) + 1

    def find_newest_version(self) -> int:
        """Returns the highest configuration version on any known node."""
        own = self._configuration.get_configuration().version
        others = (
            record.standing.configuration_version for record in self._nodes
        )
        return max(own, max(others, default=0))

    def list_entries(self) -> tuple[Entry, ...]:
        """Returns the addresses of the live nodes, for callers."""
        return tuple(
            Entry(host=node.host, port=node.port, data_centre=node.data_centre)
            for node in self._iterate_live()
        )

    def list_local_nodes(self) -> tuple[str, ...]:
        """Returns the live nodes of this node's data centre, sorted by name."""
        return self.list_live(self._identity.data_centre)

    def list_live(self, data_centre: str) -> tuple[str, ...]:
        """Returns the live nodes of a data centre, sorted by name."""
        return self.group_live().get(data_centre, ())

    def group_live(self) -> dict[str, tuple[str, ...]]:
        """Returns the live nodes by data centre, sorted by name."""
        groups: dict[str, list[str]] = defaultdict(list)
        for identity in self._iterate_live():
            groups[identity.data_centre].append(identity.node)
        return {
            centre: tuple(sorted(names)) for centre, names in groups.items()
        }

    def list_local_node_news(self) -> tuple[NodeNews, ...]:
        """Returns the news of each live or leaving node in this data centre."""
        local_nodes = [
            NodeNews(identity=record.identity, standing=record.standing)
            for record in self._nodes
            if record.identity.data_centre == self._identity.data_centre
            and self.get_node_state(record.identity.node)
            in (MemberState.LIVE, MemberState.LEAVING)
        ]
        own = NodeNews(identity=self._identity, standing=self.get_standing())
        return (own, *local_nodes)

    def list_lagging_nodes(self) -> tuple[NodeView, ...]:
        """Returns the nodes whose configuration is behind or differs.

        Such a node has an older version than this node, or the same version
        with another digest.
        """
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
        """Returns whether a target may receive new requests.

        A suspect target is not available, since it may have started to drain
        while this node received no reports.
        """
        self.pause_detector.check()
        return self._targets.get_state(name) is MemberState.AVAILABLE

    def get_target_observation(self, name: str) -> StateObservation:
        """Returns the worst observation of a target."""
        self.pause_detector.check()
        return self._targets.get_worst_observation(name)

    def get_node_state(self, name: str) -> MemberState:
        """Returns the worst observed state of another node."""
        return self._nodes.get_state(name)

    def get_standing(self) -> Standing:
        """Returns this node's own state and configuration version."""
        version = self._configuration.get_configuration().version
        digest = self._configuration.get_digest()
        return Standing(
            state=self._own_state,
            sequence=self._sequence,
            configuration_version=version,
            configuration_digest=digest[:CONFIGURATION_DIGEST_BYTES],
        )

    def list_unavailable_observations(self) -> tuple[StateObservation, ...]:
        """Returns the observations to send to a newly linked peer.

        These come from ``SHARED_SOURCES`` and have a state other than live or
        available.
        """
        return tuple(
            observation
            for observation in self._observations.list_unavailable()
            if observation.source in SHARED_SOURCES
        )

    def record_target_report(
        self,
        name: str,
        *,
        leaving: bool,
        age: timedelta = timedelta(),
        fresh_for: timedelta = TARGET_TIMEOUT,
        direct: bool = True,
    ) -> None:
        """Records a report of a target, received directly or through a peer.

        Ignores a report of an unknown target. Also ignores the report if this
        call detects a pause of this process, because it may have been buffered
        during the pause.

        Args:
            name: the target's name.
            leaving: whether the target reports that it is draining.
            age: the age of the report.
            fresh_for: the age after which the report no longer counts and the
                target becomes suspect.
            direct: whether the target sent the report to this node. A changed
                state is then broadcast to peers at once.
        """
        if self.pause_detector.check() or not self._targets.is_configured(name):
            return
        self._targets.record_contact(name, age=age, fresh_for=fresh_for)
        state = MemberState.LEAVING if leaving else MemberState.AVAILABLE
        self._record_own_observation(
            name, ObservationSource.REPORT, state, age=age, broadcast=direct
        )
        # A newer report clears the suspicion after a lost stream.
        self._record_own_observation(
            name,
            ObservationSource.WATCHER,
            MemberState.AVAILABLE,
            age=age,
            broadcast=False,
        )

    def mark_target_suspect(self, name: str) -> None:
        """Records that this node lost the load stream of a target."""
        self._record_own_observation(
            name,
            ObservationSource.WATCHER,
            MemberState.SUSPECT,
            broadcast=False,
        )

    def apply_vm_list(self, vms: Iterable[Vm]) -> None:
        """Applies a new VM list; marks VMs that disappeared from it as gone."""
        if self.pause_detector.check():
            return
        listed = {vm.name: vm for vm in vms}
        for name in self._vms.keys() - listed.keys():
            self._record_own_observation(
                name, ObservationSource.VM_LIST, MemberState.GONE
            )
        for vm in listed.values():
            is_leaving = vm.state is VmState.LEAVING
            state = MemberState.LEAVING if is_leaving else MemberState.LIVE
            self._record_own_observation(
                vm.name, ObservationSource.VM_LIST, state
            )
        self._vms = listed
        self._choose_peers()

    def record_node(self, news: NodeNews) -> bool:
        """Records news of a node.

        Returns:
            Whether this is the first news of the node, or newer than the
            recorded news.
        """
        if news.identity.node == self._identity.node:
            return False
        is_new = self._nodes.update(news.identity, news.standing)
        if is_new:
            self._choose_peers()
            self._notify_listeners(
                self._nodes.get_worst_observation(news.identity.node)
            )
        return is_new

    def record_observation(self, observation: StateObservation) -> bool:
        """Records an observation that a peer sent.

        Returns:
            Whether the source's state for the member changed.
        """
        if self.pause_detector.check() or not self._observations.add(
            observation
        ):
            return False
        self._check_member(observation.name)
        return True

    def record_link_loss(self, name: str) -> None:
        """Records that the link to a node was lost."""
        self._nodes.mark_link_lost(name)
        self._check_member(name)

    def refresh(self) -> None:
        """Re-evaluates the states, which depend on time and configuration.

        Broadcasts a change of this node's own state to peers and notifies
        listeners of other changes. ``run`` calls it every second. Call it also
        when a configuration comes into force.
        """
        state = self._compute_own_state()
        if state is not self._own_state:
            self._own_state = state
            self._sequence += 1
            self.gossip.broadcast_own_standing()
        for record in self._nodes:
            self._check_member(record.identity.node)
        for name in self._targets.list_names():
            self._check_member(name)

    def _prune(self) -> None:
        self._observations.prune(self._clock.now() - OBSERVATION_RETENTION)
        self._nodes.remove_expired()
        self._choose_peers()

    def _record_own_observation(
        self,
        name: str,
        source: ObservationSource,
        state: MemberState,
        *,
        age: timedelta = timedelta(),
        broadcast: bool = True,
    ) -> None:
        observation = StateObservation(
            name=name, source=source, state=state, time=self._clock.now() - age
        )
        if self._observations.add(observation):
            if broadcast:
                self.gossip.broadcast_observation(observation)
            self._check_member(name)

    def _iterate_live(self) -> Iterator[Identity]:
        if self._compute_own_state() is MemberState.LIVE:
            yield self._identity
        for record in self._nodes:
            name = record.identity.node
            if self._nodes.get_state(name) is MemberState.LIVE:
                yield record.identity

    def _compute_own_state(self) -> MemberState:
        name = self._identity.node
        worst = self._observations.find_worst(name)
        if self._is_stopping or self._nodes.is_drained(name):
            return MemberState.LEAVING
        if worst is not None and worst.state is not MemberState.LIVE:
            return MemberState.LEAVING
        return MemberState.LIVE

    def _check_member(self, name: str) -> None:
        if name == self._identity.node:
            if self._compute_own_state() is not self._own_state:
                self.refresh()
        elif self._nodes.find(name) is not None:
            self._notify_if_changed(name, self._nodes)
        elif self._targets.is_configured(name):
            self._notify_if_changed(name, self._targets)

    def _notify_if_changed(
        self, name: str, states: NodeStates | TargetStates
    ) -> None:
        if self._notified_states.get(name) is not states.get_state(name):
            self._notify_listeners(states.get_worst_observation(name))

    def _notify_listeners(self, observation: StateObservation) -> None:
        if self._notified_states.get(observation.name) is observation.state:
            return
        self._notified_states[observation.name] = observation.state
        for listener in self._listeners:
            listener(observation)

    def _choose_peers(self) -> None:
        self._peer_selector.choose(self._vms.values())
