"""Synchronizes state between nodes.

Each node sends heartbeat datagrams to all its peers. Periodic ones are received
in batches. Those that carry news, such as a shutdown notice of an engine, go to
a port that is read at once. A node that lacks
records of a topic fetches them from a peer over TCP.
"""

from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import closing
from datetime import timedelta
from functools import partial
from typing import Any

import logbook
import msgpack
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.malformed_input import InputKind, MalformedInputLog
from acaciarack.gateway.migration.migration_order import EvacuatedRuns
from acaciarack.gateway.peers.datagrams import DatagramSocket
from acaciarack.gateway.peers.differences import MismatchedBaseError
from acaciarack.gateway.peers.fetch_messages import (
    COMPACT_REVISION,
    MAX_RESPONSE_BYTES,
    FetchRequest,
    RecordVersion,
    decode_request,
    decode_response,
    encode_request,
    encode_response,
)
from acaciarack.gateway.peers.messages import (
    DECODE_ERRORS,
    Heartbeat,
    MalformedMessageError,
    NodeInfo,
    NodeState,
    TopicUpdate,
    decode_heartbeat,
    encode_heartbeat,
)
from acaciarack.gateway.peers.peer_table import (
    MIN_READER_INTERVAL,
    Peer,
    PeerTable,
)
from acaciarack.gateway.store.replica import TOPIC_START, Position, Record
from acaciarack.gateway.store.replication import (
    Batch,
    ClusterState,
    Topic,
)
from acaciarack.gateway.store.store_reader import (
    CONFIRMATION_DELAYS,
    StoreReader,
)
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.failure_tracker import FailureTracker
from acaciarack.gateway.targets.reachability import Reachability

FETCH_TIMEOUT = timedelta(seconds=6)
"""Timeout of a fetch from a peer. Many nodes may fetch a long configuration
over the same slow link."""
FETCH_STALL_TIMEOUT = timedelta(milliseconds=700)
"""How long a fetch may go without data from the peer. A stalled one is noticed
well within the contact time, with time left for a fetch from another peer."""
FETCH_RETRY_DELAY = timedelta(seconds=1)
"""How long no records are fetched from a peer after a fetch from it failed."""
CONFIRMATION_FETCH_DELAY = timedelta(seconds=2)
"""How long after the readers a node confirms the keys of a new era."""
FETCH_DELAY = timedelta(milliseconds=100)
"""How long a peer stays ahead before this node fetches from it. The store's
response usually reaches this node within a few milliseconds of the peer's
heartbeat, and makes the fetch unnecessary."""
_CHUNK_BYTES = 65536
MIN_SEND_GAP = timedelta(milliseconds=30)
"""The minimum time between two heartbeats. It limits the CPU time for sending
while loads change constantly."""
NEWS_REPEATS = 3
"""How often news is sent again that only one node may know. At a loss of 3%, a
node misses all four datagrams in one of a million cases."""
QUARANTINE_PERIOD = 4
"""Heartbeats from one that carries quarantines to the next. A quarantine lasts
for minutes, so a node that lacks it may learn of it from any of its peers."""
NEWS_REPEAT_INTERVAL = timedelta(milliseconds=500)
"""The longest time between these heartbeats. All of them are sent well within
the shortest stated time to share knowledge, 3 s."""

_log = logbook.Logger("acaciarack.gateway.exchange")


def get_link_port(node: NodeInfo) -> int:
    """Returns the UDP port of a node for periodic heartbeats."""
    return node.link_port


def get_urgent_port(node: NodeInfo) -> int:
    """Returns the UDP port of a node for heartbeats that carry news."""
    return node.link_port + 2


class StateSync:
    """Sends heartbeats, handles those of peers, and fetches missing records."""

    def __init__(
        self,
        *,
        clock: Clock,
        own_node: NodeInfo,
        peers: PeerTable,
        cluster_state: ClusterState,
        loads: LoadTracker,
        evacuated_runs: EvacuatedRuns,
        failure_tracker: FailureTracker,
        quarantine: RequestQuarantine,
        reachability: Reachability,
        readers: Sequence[StoreReader],
        get_state: Callable[[], NodeState],
        is_reading_store: Callable[[], bool],
        malformed_inputs: MalformedInputLog | None = None,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(clock=clock)
        self._malformed_inputs = malformed_inputs or MalformedInputLog()
        self._clock = clock
        self._own_node = own_node
        self._peers = peers
        self._cluster_state = cluster_state
        self._loads = loads
        self._evacuated_runs = evacuated_runs
        self._failure_tracker = failure_tracker
        self._quarantine = quarantine
        self._reachability = reachability
        self._readers = readers
        self._get_state = get_state
        self._is_reading_store = is_reading_store
        # By topic: the position to reach, and since when this node lags.
        self._lagging: dict[Topic, tuple[Position, timedelta]] = {}
        self._fetching: set[Topic] = set()
        # By peer: when a fetch from it last failed.
        self._failed_fetches: dict[str, timedelta] = {}
        self._pending_updates: list[TopicUpdate] = []
        self._send_triggered = trio.Event()
        self._has_news = False
        self._has_near_news = False
        self._repeats_left = 0
        self._sequence = 0
        # By topic: the replica's end when ``_queue_update`` was last called.
        self._next_update_starts = dict.fromkeys(
            cluster_state.replicas, TOPIC_START
        )
        cluster_state.subscribe(self._queue_update)
        evacuated_runs.subscribe(self.trigger_send)
        quarantine.subscribe(self.trigger_repeated_send)
        self._rate_limits = cluster_state.target_table.rate_limits
        self._rate_limits.subscribe(self.trigger_repeated_send)

    def is_store_overdue(self) -> bool:
        """Returns whether a store response is overdue or a read failed."""
        return any(reader.is_overdue() for reader in self._readers)

    def trigger_send(self) -> None:
        """Sends a heartbeat to all peers as soon as the minimum gap allows."""
        self._has_news = True
        self._send_triggered.set()

    def trigger_repeated_send(self) -> None:
        """Sends heartbeats to all peers now and ``NEWS_REPEATS`` times more."""
        self._repeats_left = NEWS_REPEATS
        self.trigger_send()

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Exchanges heartbeats and records with peers until cancelled."""
        periodic = self._open_socket(self._own_node.link_port)
        urgent = self._open_socket(get_urgent_port(self._own_node))
        with closing(periodic), closing(urgent):
            listeners = await trio.open_tcp_listeners(
                self._own_node.link_port, host=self._own_node.host
            )
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        trio.serve_listeners,
                        partial(
                            self._supervisor.run_alone,
                            "fetch request",
                            self._serve_fetch,
                        ),
                        listeners,
                    )
                    for name, function, *args in (
                        (
                            "periodic heartbeats",
                            self._receive_periodic,
                            periodic,
                            nursery,
                        ),
                        ("heartbeats", self._receive, urgent, nursery),
                        ("heartbeat sender", self._send, periodic),
                    ):
                        nursery.start_soon(
                            self._supervisor.keep_running, name, function, *args
                        )
                    task_status.started()
            finally:
                for listener in listeners:
                    listener.socket.close()

    def _open_socket(self, port: int) -> DatagramSocket:
        return DatagramSocket(
            clock=self._clock, host=self._own_node.host, port=port
        )

    def _queue_update(self, topic: Topic, records: Sequence[Record]) -> None:
        """Queues new records for peers if this node reads the store."""
        replica = self._cluster_state.replicas[topic]
        start, self._next_update_starts[topic] = (
            self._next_update_starts[topic],
            replica.end,
        )
        end = replica.end
        # Peers fetch the whole topic after a change of the era.
        if self._is_reading_store() and start.offset and start.era == end.era:
            batch = Batch(records=tuple(records), end=end.offset, era=end.era)
            self._pending_updates.append(
                TopicUpdate(topic=topic, start=start.offset, batch=batch)
            )
            self._has_near_news = True
            self._send_triggered.set()

    async def _send(self, datagrams: DatagramSocket) -> None:
        """Sends heartbeats when they are due or triggered.

        Peers in this data centre receive them more often than others, and new
        records at once. In other data centres another node reads the store. If
        it reads nothing new, its peers fetch the records once they notice.
        """
        near_due = far_due = timedelta(0)
        while True:
            self._send_triggered = trio.Event()
            now = self._clock.elapsed()
            is_far_due = self._has_news or now >= far_due
            has_near_news = self._has_news or self._has_near_news
            is_near_due = has_near_news or is_far_due or now >= near_due
            self._has_news = self._has_near_news = False
            if is_near_due:
                near_due = now + self._get_near_interval()
            if is_far_due:
                far_due = now + self._get_far_interval()
            get_port = get_urgent_port if has_near_news else get_link_port
            datagrams.send(
                self._encode_heartbeat(has_near_news),
                (
                    (node.host, get_port(node))
                    for node in self._list_recipients(
                        near=is_near_due, far=is_far_due
                    )
                ),
            )
            self._peers.sweep()
            await self._clock.sleep(MIN_SEND_GAP)
            next_due = min(near_due, far_due) - self._clock.elapsed()
            with trio.move_on_after(max(0.0, next_due.total_seconds())):
                await self._send_triggered.wait()

    def _get_near_interval(self) -> timedelta:
        """Returns the interval of heartbeats within the data centre.

        It is short if the peers there depend on this node for new records.
        """
        interval = self._peers.near_interval
        if self._is_reading_store():
            return min(interval, MIN_READER_INTERVAL)
        return interval

    def _get_far_interval(self) -> timedelta:
        """Returns the time until the next heartbeat to all data centres."""
        interval = self._peers.far_interval
        if not self._repeats_left:
            return interval
        self._repeats_left -= 1
        return min(interval, NEWS_REPEAT_INTERVAL)

    def _list_recipients(self, *, near: bool, far: bool) -> Iterator[NodeInfo]:
        for peer in self._peers.list_all():
            if near if self._peers.is_near(peer) else far:
                yield peer.node

    def _encode_heartbeat(self, has_news: bool) -> bytes:
        updates, self._pending_updates = tuple(self._pending_updates), []
        self._sequence += 1
        return encode_heartbeat(
            Heartbeat(
                node=self._own_node,
                sequence=self._sequence,
                state=self._get_state(),
                reads_store=self._is_reading_store(),
                store_overdue=self.is_store_overdue(),
                loads=self._loads.list_local(),
                ends={
                    topic: replica.end
                    for topic, replica in self._cluster_state.replicas.items()
                },
                configuration_version=(
                    self._cluster_state.configuration_version
                ),
                updates=updates,
                evacuated_runs=tuple(self._evacuated_runs.list_local()),
                failures=self._failure_tracker.list_for_broadcast(),
                quarantine=self._quarantine.list_for_broadcast(
                    with_quarantines=has_news
                    or self._sequence % QUARANTINE_PERIOD == 0
                ),
                limits=self._rate_limits.list_for_broadcast(),
                is_cut_off=self._reachability.is_cut_off,
                leaving=tuple(
                    self._cluster_state.target_table.list_for_broadcast()
                ),
            )
        )

    async def _receive_periodic(
        self, datagrams: DatagramSocket, nursery: trio.Nursery
    ) -> None:
        while True:
            self._handle_datagrams(await datagrams.receive(), nursery)
            await datagrams.pause_receiving(len(self._peers))

    async def _receive(
        self, datagrams: DatagramSocket, nursery: trio.Nursery
    ) -> None:
        while True:
            self._handle_datagrams(await datagrams.receive(), nursery)

    def _handle_datagrams(
        self, found: Iterable[bytes], nursery: trio.Nursery
    ) -> None:
        for data in found:
            with self._supervisor.guard("heartbeat"):
                try:
                    self._handle_heartbeat(decode_heartbeat(data), nursery)
                except MalformedMessageError as error:
                    self._malformed_inputs.record(
                        InputKind.MESSAGE, error, source="peer", key="heartbeat"
                    )

    def _handle_heartbeat(
        self, heartbeat: Heartbeat, nursery: trio.Nursery
    ) -> None:
        peer = self._peers.apply(heartbeat)
        if peer is None:
            return
        self._loads.update_peer(peer.node.name, heartbeat.loads)
        self._evacuated_runs.add_remote(heartbeat.evacuated_runs)
        self._failure_tracker.update_peer(peer.node.name, heartbeat.failures)
        self._quarantine.merge(heartbeat.quarantine, peer.node.name)
        self._rate_limits.merge(heartbeat.limits)
        self._cluster_state.target_table.mark_leaving_lifetimes(
            heartbeat.leaving, peer.node.name
        )
        for update in heartbeat.updates:
            self._merge_update(update, peer)
        self._fetch_missing(peer, nursery)

    def _merge_update(self, update: TopicUpdate, peer: Peer) -> None:
        """Merges an update unless earlier records are missing here."""
        replica = self._cluster_state.replicas.get(update.topic)
        if (
            replica is not None
            and update.batch.era == replica.end.era
            and update.start <= replica.end.offset
        ):
            self._cluster_state.merge_batch(
                update.topic,
                update.batch,
                complete=False,
                origin=peer.node.name,
            )

    def _fetch_missing(self, peer: Peer, nursery: trio.Nursery) -> None:
        """Fetches topics in which this node has lagged for ``FETCH_DELAY``."""
        now = self._clock.elapsed()
        for topic, replica in self._cluster_state.replicas.items():
            peer_end = peer.ends.get(topic, TOPIC_START)
            if self._lacks_configuration_of(peer, topic):
                # A restored store does not list what is in force at the peer.
                peer_end = Position(era=replica.end.era + 1)
            if peer_end <= replica.end:
                continue
            needed, lagging_since = self._lagging.get(topic, (TOPIC_START, now))
            if replica.end >= needed:
                # The records missing before have arrived. The delay starts
                # again for the newer ones.
                needed, lagging_since = peer_end, now
                self._lagging[topic] = (needed, lagging_since)
            if now - lagging_since < FETCH_DELAY or topic in self._fetching:
                continue
            source = self._choose_source(peer, topic, peer_end)
            if source is not None:
                self._fetching.add(topic)
                nursery.start_soon(
                    self._supervisor.run_alone,
                    "fetch",
                    self._fetch_missing_records,
                    source,
                    topic,
                )

    def _choose_source(
        self, peer: Peer, topic: Topic, end: Position
    ) -> Peer | None:
        """Returns the peer to fetch from; ``None`` if there is none now.

        Args:
            peer: a peer that is ahead.
            topic: the topic.
            end: the end of the peer's replica of the topic.
        """
        ranked = self._peers.rank_sources(f"{topic}/{end.offset}")
        ahead = (p for p in ranked if p.ends.get(topic, TOPIC_START) >= end)
        return next(filter(self._may_fetch_from, [*ahead, peer]), None)

    def _may_fetch_from(self, peer: Peer) -> bool:
        """Returns whether no fetch from a peer has failed just now."""
        failed_at = self._failed_fetches.get(peer.node.name)
        if failed_at is None:
            return True
        if self._clock.elapsed() - failed_at < FETCH_RETRY_DELAY:
            return False
        del self._failed_fetches[peer.node.name]
        return True

    async def _fetch_missing_records(self, peer: Peer, topic: Topic) -> None:
        """Fetches the records that a peer has and this node lacks."""
        replica = self._cluster_state.replicas[topic]
        start = replica.end if replica.complete else TOPIC_START
        if self._lacks_configuration_of(peer, topic):
            start = TOPIC_START
        era = replica.end.era
        await self._fetch_records(peer, topic, start=start)
        if replica.complete and replica.end.era > era:
            await self._confirm_era(replica.end.era, topic)

    def _lacks_configuration_of(self, peer: Peer, topic: Topic) -> bool:
        return (
            topic is Topic.CONFIGURATION
            and peer.configuration_version
            > self._cluster_state.configuration_version
            and peer.ends.get(topic, TOPIC_START)
            <= self._cluster_state.replicas[topic].end
        )

    async def _confirm_era(self, era: int, topic: Topic) -> None:
        """Fetches a topic again after the readers have confirmed its keys."""
        for delay in CONFIRMATION_DELAYS:
            await self._clock.sleep(delay + CONFIRMATION_FETCH_DELAY)
            readers = self._peers.list_store_readers()
            if self._cluster_state.era != era:
                return
            if readers and topic not in self._fetching:
                self._fetching.add(topic)
                await self._fetch_records(readers[0], topic, start=TOPIC_START)

    async def _fetch_records(
        self, peer: Peer, topic: Topic, *, start: Position
    ) -> None:
        try:
            with trio.move_on_after(FETCH_TIMEOUT.total_seconds()) as scope:
                update = await self._request_update(peer.node, topic, start)
                _log.info(
                    "fetched records from a peer",
                    extra={
                        "node": peer.node.name,
                        "kind": str(topic),
                        "records": len(update.batch.records),
                        "offset": update.batch.end,
                    },
                )
                self._cluster_state.merge_batch(
                    topic,
                    update.batch,
                    complete=update.start == 0,
                    origin=peer.node.name,
                )
            if scope.cancelled_caught:
                self._failed_fetches[peer.node.name] = self._clock.elapsed()
                _log.warning("fetch timed out", extra={"node": peer.node.name})
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            MalformedMessageError,
        ) as error:
            self._failed_fetches[peer.node.name] = self._clock.elapsed()
            if isinstance(error, MalformedMessageError):
                self._malformed_inputs.record(
                    InputKind.MESSAGE,
                    error,
                    source=peer.node.name,
                    key="fetched records",
                )
            _log.warning(
                "fetch failed: {}",
                str(error) or type(error).__name__,
                extra={"node": peer.node.name},
            )
        finally:
            self._fetching.discard(topic)
            self._lagging.pop(topic, None)
        # The pending reads have not returned the records that the peer has.
        for reader in self._readers:
            reader.cancel_waiting_read()

    async def _request_update(
        self, node: NodeInfo, topic: Topic, start: Position
    ) -> TopicUpdate:
        """Fetches records, a configuration as a difference if possible.

        Raises:
            OSError, MalformedMessageError, trio.BrokenResourceError,
                trio.TooSlowError: see ``_request_records``.
        """
        if topic is Topic.CONFIGURATION:
            base = self._cluster_state.configuration_record
            try:
                return await _request_records(node, topic, start, base)
            except MismatchedBaseError as error:
                _log.warning(
                    "fetching the whole configuration: {}",
                    error,
                    extra={"node": node.name},
                )
        return await _request_records(node, topic, start)

    def _build_response(self, request: FetchRequest) -> bytes:
        """Returns the response to a fetch request of a peer.

        Raises:
            MalformedMessageError: nodes do not replicate the topic.
        """
        topic, start, base = request.topic, request.start, request.base
        replica = self._cluster_state.replicas.get(topic)
        if replica is None:
            raise MalformedMessageError(f"no replica of the topic {topic}")
        if start.era != replica.end.era:
            start = TOPIC_START
        # An end of 0 tells the peer that this replica is incomplete.
        batch = Batch(
            records=tuple(self._cluster_state.list_records(topic, start)),
            end=replica.end.offset if replica.complete else 0,
            era=replica.end.era,
        )
        return encode_response(
            TopicUpdate(topic=topic, start=start.offset, batch=batch),
            request,
            self._cluster_state.find_recent_configuration(
                base.key, base.position
            )
            if base is not None
            else None,
        )

    async def _serve_fetch(self, stream: trio.SocketStream) -> None:
        """Responds to one fetch request of a peer."""
        try:
            with trio.move_on_after(FETCH_TIMEOUT.total_seconds()):
                request = decode_request(
                    await _read_object(stream, _CHUNK_BYTES)
                )
                await stream.send_all(self._build_response(request))
        except (
            trio.BrokenResourceError,
            trio.TooSlowError,
            MalformedMessageError,
        ) as error:
            _log.warning(
                "failed to serve a fetch request: {}",
                str(error) or type(error).__name__,
            )
            if isinstance(error, MalformedMessageError):
                self._malformed_inputs.record(
                    InputKind.MESSAGE, error, source="peer", key="fetch request"
                )
        finally:
            await stream.aclose()


async def _request_records(
    node: NodeInfo,
    topic: Topic,
    start: Position,
    base: Record | None = None,
) -> TopicUpdate:
    """Fetches the records of a topic from a peer.

    Args:
        node: the peer.
        topic: the topic.
        start: the position of the first record.
        base: a record that the response may be based on.

    Raises:
        OSError: the peer cannot be connected to.
        MismatchedBaseError: the response is based on another record.
        MalformedMessageError: the response is malformed, or the peer's replica
            is incomplete.
        trio.BrokenResourceError: the connection is reset.
        trio.TooSlowError: the peer sends nothing for ``FETCH_STALL_TIMEOUT``.
    """
    request = FetchRequest(
        topic=topic,
        start=start,
        is_compact=node.revision >= COMPACT_REVISION,
        base=RecordVersion(key=base.key, position=base.position)
        if base is not None
        else None,
    )
    with trio.fail_after(FETCH_STALL_TIMEOUT.total_seconds()):
        stream = await trio.open_tcp_stream(node.host, node.link_port)
    async with stream:
        await stream.send_all(encode_request(request))
        response = await _read_object(stream, MAX_RESPONSE_BYTES)
    update = decode_response(
        response,
        lambda key: base.value if base and base.key == key else None,
    )
    if not update.batch.end:
        raise MalformedMessageError(
            "the peer's replica of the topic is incomplete"
        )
    return update


async def _read_object(stream: trio.SocketStream, max_bytes: int) -> Any:
    """Reads one msgpack object.

    Raises:
        MalformedMessageError: the object is too long, invalid or truncated.
        trio.TooSlowError: no data arrives for ``FETCH_STALL_TIMEOUT``.
    """
    unpacker = msgpack.Unpacker(max_buffer_size=max_bytes)
    while True:
        with trio.fail_after(FETCH_STALL_TIMEOUT.total_seconds()):
            data = await stream.receive_some(_CHUNK_BYTES)
        if not data:
            raise MalformedMessageError(
                "connection closed before the message was complete"
            )
        try:
            unpacker.feed(data)
            return unpacker.unpack()
        except msgpack.OutOfData:
            continue
        except DECODE_ERRORS as error:
            raise MalformedMessageError(str(error)) from error
