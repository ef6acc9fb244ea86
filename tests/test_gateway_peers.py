"""Heartbeats between nodes, store readers, owners of engines, entry nodes."""

import contextlib
from datetime import timedelta

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.gateway.capacity.loads import Load
from acaciarack.gateway.capacity.memory_profile import build_profile
from acaciarack.gateway.evidence.quarantine_messages import decode_age
from acaciarack.gateway.evidence.request_quarantine import (
    CrashReport,
    Quarantine,
    QuarantineNews,
    SoundProof,
)
from acaciarack.gateway.peers.datagrams import DatagramSocket
from acaciarack.gateway.peers.messages import (
    MAX_DATAGRAM_BYTES,
    Heartbeat,
    MalformedMessageError,
    NodeInfo,
    NodeState,
    TopicUpdate,
    decode_heartbeat,
    decode_node,
    encode_heartbeat,
    encode_node,
)
from acaciarack.gateway.peers.peer_table import PeerTable, list_entry_nodes
from acaciarack.gateway.peers.reader_role import ReaderRole
from acaciarack.gateway.store.replica import Position, Record
from acaciarack.gateway.store.replication import Batch, Topic
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.rate_limits import RateNotice
from tests.support import TestCase


def make_node(name, *, data_centre="oslo-a", started=1, speed=1.0):
    return NodeInfo(
        name=name,
        started=started,
        host="10.0.0.1",
        front_port=8740,
        link_port=7200,
        data_centre=data_centre,
        speed=speed,
    )


def make_heartbeat(node, *, state=NodeState.READY, **fields):
    return Heartbeat(node=node, state=state, **{"reads_store": False, **fields})


FINGERPRINTS = frozenset({b"12345678", b"abcdefgh"})
LIFETIME = TargetLifetime(id="s", born=17)
QUARANTINE_NEWS = QuarantineNews(
    crashes=(
        CrashReport(
            target=LIFETIME, age=timedelta(seconds=2), runs=(FINGERPRINTS,)
        ),
    ),
    quarantines=(
        Quarantine(
            fingerprints=FINGERPRINTS, target=LIFETIME, age=timedelta(minutes=1)
        ),
    ),
    proofs=(SoundProof(fingerprint=b"12345678", age=timedelta(seconds=3)),),
)
LIMITS = (
    RateNotice(target=LIFETIME, rate=2.5, age=timedelta(seconds=1)),
    RateNotice(target=LIFETIME, rate=None, age=timedelta(0)),
)


class MessageTest(TestCase):
    def test_ages_that_are_no_finite_numbers_are_malformed(self):
        for age in (float("inf"), float("nan")):
            with self.assertRaises(ValueError):
                decode_age(age)
        self.assertEqual(timedelta(days=1), decode_age(10**30))

    def test_heartbeat_round_trip(self):
        record = Record(key="k", offset=3, value=b"v", era=1)
        batch = Batch(records=(record,), end=4, era=2)
        heartbeat = make_heartbeat(
            make_node("n"),
            reads_store=True,
            sequence=5,
            loads={
                "s": Load(requests=1, used=2, expected=3, pending=4),
                "t": Load(
                    requests=1, memory_profile=build_profile([(2000, 500)])
                ),
            },
            ends={Topic.TARGETS: Position(era=2, offset=7)},
            configuration_version=12,
            updates=(TopicUpdate(topic=Topic.TARGETS, start=3, batch=batch),),
            leaving=(TargetLifetime(id="s", born=17),),
            evacuated_runs=("r",),
            failures={"s": 2.5},
            quarantine=QUARANTINE_NEWS,
            limits=LIMITS,
        )
        self.assertEqual(
            heartbeat, decode_heartbeat(encode_heartbeat(heartbeat))
        )

    def test_updates_too_long_for_a_datagram_are_left_out(self):
        value = b"x" * 2000
        batch = Batch(records=(Record(key="k", offset=0, value=value),), end=1)
        update = TopicUpdate(topic=Topic.CONFIGURATION, start=0, batch=batch)
        data = encode_heartbeat(
            make_heartbeat(make_node("n"), updates=(update,))
        )
        self.assertLess(len(data), MAX_DATAGRAM_BYTES)
        self.assertEqual((), decode_heartbeat(data).updates)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=200))
    def test_random_bytes_decode_or_raise_malformed_message(self, data):
        for decode in (decode_heartbeat, decode_node):
            with contextlib.suppress(MalformedMessageError):
                decode(data)

    @settings(max_examples=200, deadline=None)
    @given(st.data())
    def test_corrupt_heartbeat_decodes_or_raises_malformed_message(self, data):
        good = bytearray(
            encode_heartbeat(
                make_heartbeat(
                    make_node("n"), quarantine=QUARANTINE_NEWS, limits=LIMITS
                )
            )
        )
        index = data.draw(st.integers(0, len(good) - 1))
        good[index] = data.draw(st.integers(0, 255))
        with contextlib.suppress(MalformedMessageError):
            decode_heartbeat(bytes(good))

    def test_node_record_round_trip(self):
        node = make_node("n")
        self.assertEqual(node, decode_node(encode_node(node)))


class PeerTableTest(TestCase):
    def run_with_table(self, function):
        async def run():
            table = PeerTable(
                clock=self.make_clock(), own_node=make_node("own")
            )
            await function(table)

        self.run_trio(run)

    def test_silent_peer_is_not_live(self):
        async def check(table):
            table.apply(make_heartbeat(make_node("a")))
            self.assertEqual(1, len(table.list_live()))
            await trio.sleep(2)
            self.assertEqual([], table.list_live())

        self.run_with_table(check)

    def test_heartbeat_of_an_earlier_start_is_ignored(self):
        async def check(table):
            table.apply(make_heartbeat(make_node("a", started=5)))
            heartbeat = make_heartbeat(make_node("a", started=4))
            self.assertIsNone(table.apply(heartbeat))

        self.run_with_table(check)

    def test_heartbeat_that_is_overtaken_is_ignored(self):
        """Heartbeats with news are read before those that wait in a batch."""

        async def check(table):
            node = make_node("a")
            leaving = make_heartbeat(node, state=NodeState.LEAVING, sequence=8)
            table.apply(leaving)
            self.assertIsNone(table.apply(make_heartbeat(node, sequence=7)))
            self.assertIs(NodeState.LEAVING, table.get("a").state)
            restarted = make_heartbeat(make_node("a", started=2), sequence=1)
            table.apply(restarted)
            self.assertIs(NodeState.READY, table.get("a").state)

        self.run_with_table(check)

    def test_restart_with_a_clock_set_back_is_accepted_after_silence(self):
        async def check(table):
            table.apply(make_heartbeat(make_node("a", started=5)))
            await trio.sleep(2)
            heartbeat = make_heartbeat(make_node("a", started=4))
            self.assertIsNotNone(table.apply(heartbeat))

        self.run_with_table(check)

    def test_one_node_of_a_data_centre_reads_the_store(self):
        async def check(table):
            self.assertTrue(table.should_read_store())
            slow = make_node("a", speed=0.5)
            table.apply(make_heartbeat(slow, reads_store=True))
            self.assertTrue(table.should_read_store())
            far = make_node("b", data_centre="hamar-c")
            table.apply(make_heartbeat(far, reads_store=True))
            self.assertTrue(table.should_read_store())
            table.apply(make_heartbeat(make_node("b"), reads_store=True))
            self.assertFalse(table.should_read_store())
            table.apply(make_heartbeat(make_node("b"), reads_store=False))
            self.assertTrue(table.should_read_store())

        self.run_with_table(check)

    def test_reader_that_is_leaving_or_silent_is_replaced(self):
        async def check(table):
            state = NodeState.LEAVING
            table.apply(
                make_heartbeat(make_node("b"), reads_store=True, state=state)
            )
            self.assertTrue(table.should_read_store())
            table.apply(make_heartbeat(make_node("b"), reads_store=True))
            await trio.sleep(2)
            self.assertTrue(table.should_read_store())

        self.run_with_table(check)

    def test_nodes_agree_on_the_owner_of_an_engine(self):
        async def check(_):
            names = [f"n{number}" for number in range(7)]
            owners = []
            for own_name in names:
                table = PeerTable(
                    clock=self.make_clock(), own_node=make_node(own_name)
                )
                for name in names:
                    table.apply(make_heartbeat(make_node(name)))
                if table.is_owner("engine"):
                    owners.append(own_name)
            self.assertEqual(1, len(owners))

        self.run_with_table(check)


class EntryNodesTest(TestCase):
    def list_entry_names(self, *heartbeats, own_node=None):
        async def run():
            table = PeerTable(
                clock=self.make_clock(), own_node=make_node("own")
            )
            for heartbeat in heartbeats:
                table.apply(heartbeat)
            return list_entry_nodes(
                own_node, table.list_live(), data_centre="oslo-a"
            )

        return [node.name for node in self.run_trio(run)]

    def test_ready_nodes_of_the_data_centre_are_listed(self):
        far = make_heartbeat(make_node("c", data_centre="hamar-c"))
        names = self.list_entry_names(
            make_heartbeat(make_node("a")), make_heartbeat(make_node("b")), far
        )
        self.assertEqual(["a", "b"], names)

    def test_leaving_and_starting_nodes_are_not_listed(self):
        names = self.list_entry_names(
            make_heartbeat(make_node("a"), state=NodeState.LEAVING),
            make_heartbeat(make_node("b"), state=NodeState.STARTING),
            own_node=make_node("own"),
        )
        self.assertEqual(["own"], names)

    def test_single_local_node_is_listed_with_one_node_per_other_data_centre(
        self,
    ):
        names = self.list_entry_names(
            make_heartbeat(make_node("c", data_centre="hamar-c")),
            make_heartbeat(make_node("d", data_centre="hamar-c")),
            own_node=make_node("own"),
        )
        self.assertEqual(["own", "c"], names)

    def test_all_remote_nodes_are_listed_without_a_local_node(self):
        names = self.list_entry_names(
            make_heartbeat(make_node("c", data_centre="hamar-c")),
            make_heartbeat(make_node("d", data_centre="hamar-c")),
        )
        self.assertEqual(["c", "d"], names)


class DatagramSocketTest(TestCase):
    def open_pair(self, clock):
        """Returns two sockets and the address of the second."""
        sockets = []
        for _ in range(2):
            sockets.append(
                DatagramSocket(clock=clock, host="127.0.0.1", port=0)
            )
            self.addCleanup(sockets[-1].close)
        return (*sockets, sockets[1].address)

    def test_pending_datagrams_are_received_in_one_batch(self):
        """Load: 84 peers, each sending a few datagrams per second."""

        async def run():
            first, second, address = self.open_pair(self.make_clock())
            for number in range(40):
                first.send(b"%d" % number, [address])
            self.assertEqual(
                [b"%d" % number for number in range(40)],
                await second.receive(),
            )

        self.run_real(run)

    def test_unreachable_address_does_not_block_other_addresses(self):
        async def run():
            first, second, address = self.open_pair(self.make_clock())
            unreachable = ("240.0.0.1", address[1])
            first.send(b"beat", [unreachable, address])
            self.assertEqual([b"beat"], await second.receive())

        self.run_real(run)

    def test_receive_pause_grows_with_the_peers_up_to_a_limit(self):
        async def run():
            clock = self.make_clock()
            first, _, _ = self.open_pair(clock)
            for peers, expected in ((0, 0.0), (6, 0.0045), (330, 0.15)):
                began = trio.current_time()
                await first.pause_receiving(peers)
                paused = trio.current_time() - began
                self.assertAlmostEqual(expected, paused, places=4)

        self.run_trio(run)


class FakeReader:
    def __init__(self):
        self.read_time = 0.0
        self.is_reading = False

    async def run(self):
        began = trio.current_time()
        self.is_reading = True
        try:
            await trio.sleep_forever()
        finally:
            self.is_reading = False
            self.read_time += trio.current_time() - began

    def mark_stopped(self):
        pass


class ReadyState:
    is_ready = True


class ReaderRoleTest(TestCase):
    def measure_read_time(self, seconds, *, is_peer_reading):
        """Returns for how many seconds a node read the store.

        84 peers send a heartbeat every 0.6 s.

        Args:
            seconds: the simulated time.
            is_peer_reading: returns whether the first peer by name reads the
                store at a given second.
        """
        reader = FakeReader()

        async def run():
            clock = self.make_clock()
            peers = PeerTable(clock=clock, own_node=make_node("n50"))
            reader_role = ReaderRole(
                clock=clock,
                peers=peers,
                readers=[reader],
                cluster_state=ReadyState(),
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(reader_role.run)
                began = trio.current_time()
                while trio.current_time() < began + seconds:
                    now = trio.current_time() - began
                    for number in range(85):
                        if number != 50:
                            node = make_node(f"n{number:02}")
                            reads_store = number == 0 and is_peer_reading(now)
                            peers.apply(
                                make_heartbeat(node, reads_store=reads_store)
                            )
                    await trio.sleep(0.6)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return reader.read_time

    def test_node_stops_reading_soon_after_a_heartbeat_of_a_reader(self):
        """Load: 85 nodes start at once; each record costs a call per reader."""
        self.assertLess(
            self.measure_read_time(30, is_peer_reading=lambda now: True), 0.5
        )

    def test_few_nodes_read_when_the_reader_of_a_fleet_is_lost(self):
        """Load: 60 nodes; a heartbeat reaches the others 10 ms later."""
        count = 60
        readers = [FakeReader() for _ in range(count)]
        reading_counts = []

        async def exchange(tables):
            while True:
                await trio.sleep(0.01)
                reading = [reader.is_reading for reader in readers]
                reading_counts.append(sum(reading))
                for number in range(count):
                    if number == 0 and trio.current_time() - self.began > 5:
                        continue
                    heartbeat = make_heartbeat(
                        make_node(f"n{number:02}"), reads_store=reading[number]
                    )
                    for table in tables:
                        table.apply(heartbeat)

        async def run():
            clock = self.make_clock()
            self.began = trio.current_time()
            tables = [
                PeerTable(clock=clock, own_node=make_node(f"n{number:02}"))
                for number in range(count)
            ]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange, tables)
                for table, reader in zip(tables, readers, strict=True):
                    role = ReaderRole(
                        clock=clock,
                        peers=table,
                        readers=[reader],
                        cluster_state=ReadyState(),
                    )
                    nursery.start_soon(role.run)
                await trio.sleep(4)
                reading_counts.clear()
                await trio.sleep(8)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        # The lost node goes on reading; one of the others takes over.
        self.assertEqual(2, reading_counts[-1])
        self.assertLessEqual(max(reading_counts), 4)

    def test_node_reads_while_no_peer_does(self):
        read_time = self.measure_read_time(
            30, is_peer_reading=lambda now: now < 10 or now > 20
        )
        self.assertGreater(read_time, 9.0)
        self.assertLess(read_time, 11.5)
