"""Membership and liveness of the other nodes.

Nodes send each other heartbeat datagrams several times a second. The next
heartbeat makes up for a lost one. A heartbeat carries the records that its
sender has just read from the store. A node that lacks older records fetches
them over TCP.
"""

import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

import logbook

from acaciarack.clock import Clock
from acaciarack.gateway.peers.messages import Heartbeat, NodeInfo, NodeState
from acaciarack.gateway.store.replica import Position
from acaciarack.gateway.store.replication import Topic

MIN_HEARTBEAT_INTERVAL = timedelta(milliseconds=250)
"""The heartbeat interval on small fleets."""
NEAR_INTERVAL_PER_PEER = timedelta(milliseconds=16)
"""The heartbeat interval within a data centre, per node there. Callers are sent
to the live nodes of their data centre, so these are told soon of a loss: 40
nodes within 3.2 s."""
FAR_INTERVAL_PER_PEER = timedelta(milliseconds=32)
"""The heartbeat interval to other data centres, per node of the fleet. Whether
those nodes are live matters only to schedulers, which answer each ask."""
MIN_READER_INTERVAL = timedelta(milliseconds=400)
"""The longest heartbeat interval, within its data centre, of a node that reads
the store. The others notice its loss after 2 s and read for themselves."""
LIVENESS_INTERVALS = 5
"""Heartbeat intervals of silence after which a peer is not live. Losing four
datagrams in a row by chance is very unlikely."""
MIN_SCHEDULER_SPEED = 0.5
"""The slowest processor of a scheduler, as a fraction of the fastest one."""
MEMBER_TIMEOUT = timedelta(seconds=60)
"""How long a silent peer counts as one of the nodes. Outages of a peer's links
are mostly shorter."""
SILENT_PEER_RETENTION = timedelta(hours=2)
"""How long a node keeps sending to a silent peer. Regions lose each other for
an hour, and no other message tells their nodes of each other again. At 330
nodes, fewer than ten are replaced in this time on an ordinary day."""
_log = logbook.Logger("acaciarack.gateway.peers")


@dataclass(kw_only=True)
class Peer:
    """Another node.

    Attributes:
        node: its identity and addresses.
        state: its lifecycle state.
        last_heard: elapsed time of its newest heartbeat; ``None`` before the
            first.
        added_at: elapsed time at which it was added.
        sequence: the sequence number of its newest heartbeat.
        reads_store: whether it reads the store and the store responds.
        store_overdue: whether a store response to it is overdue or a read
            failed.
        ends: the end of its replica of each topic.
        configuration_version: the version of the configuration in force there.
        logged_live: whether it was logged last as live.
        is_cut_off: whether it needs peers to reach targets.
    """

    node: NodeInfo
    added_at: timedelta
    state: NodeState = NodeState.STARTING
    last_heard: timedelta | None = None
    sequence: int = 0
    reads_store: bool = False
    store_overdue: bool = False
    ends: Mapping[Topic, Position] = field(default_factory=dict)
    configuration_version: int = -1
    logged_live: bool = False
    is_cut_off: bool = False


class PeerTable:
    """All other nodes by name.

    Attributes:
        is_own_node_leaving: whether this node drains, so that it schedules no
            service.
    """

    def __init__(self, *, clock: Clock, own_node: NodeInfo) -> None:
        self._clock = clock
        self._own_node = own_node
        self.is_own_node_leaving = False
        self._near_count = 0
        self._peers: dict[str, Peer] = {}

    @property
    def own_data_centre(self) -> str:
        """The data centre of this node."""
        return self._own_node.data_centre

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def near_interval(self) -> timedelta:
        """The time between two heartbeats to peers in this data centre."""
        return max(
            MIN_HEARTBEAT_INTERVAL, NEAR_INTERVAL_PER_PEER * self._near_count
        )

    @property
    def far_interval(self) -> timedelta:
        """The time between two heartbeats to peers in other data centres."""
        return max(self.near_interval, FAR_INTERVAL_PER_PEER * len(self._peers))

    def _put(self, peer: Peer) -> None:
        self._remove(peer.node.name)
        self._peers[peer.node.name] = peer
        self._near_count += self.is_near(peer)

    def _remove(self, name: str) -> None:
        peer = self._peers.pop(name, None)
        if peer is not None:
            self._near_count -= self.is_near(peer)

    def is_near(self, peer: Peer) -> bool:
        """Returns whether a peer is in this node's data centre."""
        return peer.node.data_centre == self._own_node.data_centre

    def get(self, name: str) -> Peer | None:
        """Returns a peer by name."""
        return self._peers.get(name)

    def is_leaving(self, name: str) -> bool:
        """Returns whether a peer has said that it drains."""
        peer = self._peers.get(name)
        return peer is not None and peer.state is NodeState.LEAVING

    def add(self, node: NodeInfo) -> None:
        """Adds a node that the store lists, or replaces a restarted one."""
        known = self._peers.get(node.name)
        if node.name == self._own_node.name:
            return
        if known is None or known.node.started < node.started:
            self._put(Peer(node=node, added_at=self._clock.elapsed()))

    def apply(self, heartbeat: Heartbeat) -> Peer | None:
        """Updates the peer that sent a heartbeat, and returns the peer.

        Returns ``None`` if the heartbeat is this node's own, was overtaken by a
        newer one, or was sent before the last restart of a live peer.
        """
        name = heartbeat.node.name
        if name == self._own_node.name:
            return None
        known = self._peers.get(name)
        if (
            known is not None
            and known.node.started > heartbeat.node.started
            and self._is_live(known)
        ):
            # The peer's wall clock may have been set back before a restart, so
            # the start times are compared only while the known process is live.
            return None
        if known is None or known.node != heartbeat.node:
            known = Peer(node=heartbeat.node, added_at=self._clock.elapsed())
            self._put(known)
        elif heartbeat.sequence < known.sequence:
            return None
        known.sequence = heartbeat.sequence
        known.last_heard = self._clock.elapsed()
        known.state = heartbeat.state
        known.reads_store = heartbeat.reads_store
        known.store_overdue = heartbeat.store_overdue
        known.ends = heartbeat.ends
        known.configuration_version = heartbeat.configuration_version
        known.is_cut_off = heartbeat.is_cut_off
        return known

    def list_all(self) -> Iterator[Peer]:
        """Returns all known peers, including silent ones."""
        yield from self._peers.values()

    def list_live(self) -> list[Peer]:
        """Returns the peers whose last heartbeat is recent."""
        now = self._clock.elapsed()
        near_cutoff = now - self.near_interval * LIVENESS_INTERVALS
        far_cutoff = now - self.far_interval * LIVENESS_INTERVALS
        return [
            peer
            for peer in self._peers.values()
            if peer.last_heard is not None
            and peer.last_heard
            >= (near_cutoff if self.is_near(peer) else far_cutoff)
        ]

    def _is_live(self, peer: Peer) -> bool:
        interval = (
            self.near_interval if self.is_near(peer) else self.far_interval
        )
        cutoff = self._clock.elapsed() - interval * LIVENESS_INTERVALS
        return peer.last_heard is not None and peer.last_heard >= cutoff

    def sweep(self) -> None:
        """Logs liveness changes and removes peers that are silent too long."""
        live = {peer.node.name for peer in self.list_live()}
        now = self._clock.elapsed()
        for name, peer in list(self._peers.items()):
            if peer.logged_live != (name in live):
                peer.logged_live = name in live
                state = "live" if peer.logged_live else "silent"
                _log.info(
                    "peer {}", state, extra={"node": name, "state": state}
                )
            if now - (peer.last_heard or peer.added_at) > SILENT_PEER_RETENTION:
                self._remove(name)

    def has_store_reader(self) -> bool:
        """Returns whether the store responds to a live peer that reads it."""
        return bool(self.list_store_readers())

    def list_store_readers(self) -> list[Peer]:
        """Returns the live peers that read the store and get responses."""
        cutoff = (
            self._clock.elapsed()
            - min(self.near_interval, MIN_READER_INTERVAL) * LIVENESS_INTERVALS
        )
        return [
            peer
            for peer in self._peers.values()
            if peer.reads_store
            and peer.last_heard is not None
            and peer.last_heard >= cutoff
        ]

    def rank_sources(self, key: str) -> list[Peer]:
        """Returns the live peers in the order in which to fetch a key's state.

        Those in this data centre come first. Each node has an order of its own,
        so that no peer serves all of them.
        """
        own_key = f"{self._own_node.name}/{key}"
        return sorted(
            self.list_live(),
            key=lambda peer: (
                not self.is_near(peer),
                _rank(peer.node.name, own_key),
            ),
        )

    def has_overdue_store(self) -> bool:
        """Returns whether a live peer reports that the store is overdue."""
        return any(peer.store_overdue for peer in self.list_live())

    def is_owner(self, key: str) -> bool:
        """Returns whether this node owns a key among all live nodes.

        Uses rendezvous hashing, so nodes that receive each other's heartbeats
        agree on the owner without coordination.
        """
        names = [peer.node.name for peer in self.list_live()]
        own_rank = _rank(self._own_node.name, key)
        return all(own_rank <= _rank(name, key) for name in names)

    def rank_schedulers(self, service: str, count: int) -> list[NodeInfo]:
        """Returns the first nodes in rank that may schedule a service.

        These are ready nodes with fast processors, in the order of rendezvous
        hashing, so that a lost node changes the order of no others.
        """
        ready = [
            peer.node
            for peer in self.list_live()
            if peer.state is NodeState.READY
        ]
        if not self.is_own_node_leaving or not ready:
            ready.append(self._own_node)
        fastest = max(node.speed for node in ready)
        able = [
            node
            for node in ready
            if node.speed >= MIN_SCHEDULER_SPEED * fastest
        ]
        able.sort(key=lambda node: _rank(node.name, service))
        return able[:count]

    def count_nodes(self) -> int:
        """Returns the number of nodes of the last ``MEMBER_TIMEOUT``.

        This node counts too.
        """
        cutoff = self._clock.elapsed() - MEMBER_TIMEOUT
        return 1 + sum(
            (peer.last_heard or peer.added_at) >= cutoff
            for peer in self._peers.values()
        )

    def hears_majority(self) -> bool:
        """Returns whether more than half of the nodes are live.

        Those of the last ``MEMBER_TIMEOUT`` count. Of nodes that are cut off
        from each other for less, at most one group hears a majority.
        """
        return 2 * (1 + len(self.list_live())) > self.count_nodes()

    def should_read_store(self) -> bool:
        """Returns whether this node should read the store itself.

        In each data centre, the fastest node to which the store responds reads
        for all. A leaving reader is replaced. A node that receives no
        heartbeats of a reader reads for itself.
        """
        own_rank = _rank_reader(self._own_node)
        return not any(
            peer.state is not NodeState.LEAVING
            and self.is_near(peer)
            and _rank_reader(peer.node) < own_rank
            for peer in self.list_store_readers()
        )

    def count_readers_before(self) -> int:
        """Returns how many live peers read the store rather than this node."""
        own_rank = _rank_reader(self._own_node)
        return sum(
            peer.state is not NodeState.LEAVING
            and self.is_near(peer)
            and _rank_reader(peer.node) < own_rank
            for peer in self.list_live()
        )


def list_entry_nodes(
    own_node: NodeInfo | None,
    peers: Iterable[Peer],
    *,
    data_centre: str,
    allows: Callable[[NodeInfo], bool] = lambda node: True,
) -> list[NodeInfo]:
    """Returns the nodes that callers in a data centre should send requests to.

    These are the ready nodes of that data centre, to keep traffic between data
    centres low. If only one node there is ready, one ready node of each other
    data centre is added as a fallback. If none there is ready, all ready nodes
    are returned.

    Args:
        own_node: this node, if it is ready.
        peers: the live peers.
        data_centre: the data centre of the callers.
        allows: returns whether a node may get the callers' requests.
    """
    ready = [peer.node for peer in peers if peer.state is NodeState.READY]
    if own_node is not None:
        ready.append(own_node)
    ready = list(filter(allows, ready))
    near = [node for node in ready if node.data_centre == data_centre]
    far: dict[str, NodeInfo] = {}
    for node in sorted(ready, key=lambda node: node.name):
        if node.data_centre != data_centre:
            far.setdefault(node.data_centre, node)
    if len(near) > 1:
        return near
    return [*near, *far.values()] if near else ready


def _rank_reader(node: NodeInfo) -> tuple[float, str]:
    """Returns a node's place in the order of readers; the lowest reads."""
    return (-node.speed, node.name)


def _rank(name: str, key: str) -> int:
    """Returns a node's rank for a key; each key ranks nodes differently."""
    return zlib.crc32(f"{key}/{name}".encode())
