"""Counts reach the log exactly once despite lost messages and retries."""

import random

import trio
from hypothesis import example, given, settings
from hypothesis import strategies as st

from acaciarack.burn_collector import PendingMinutes
from acaciarack.burn_counts import (
    OBJECTIVES,
    BurnRecordError,
    Counts,
    Part,
    Row,
    decode,
    encode,
)
from acaciarack.burn_records import (
    Record,
    Watermarks,
    build_record,
    build_stream_name,
    iterate_accepted_counts,
)
from acaciarack.links import PeerAddress
from acaciarack.platform import LogEntry
from acaciarack_bench.log import LogFaults, LostAppend
from tests.burn_nodes import MINUTE, BurnNode, BurnNodes, make_observation
from tests.memory_network import MemoryNetwork, make_identity
from tests.support import EPOCH, TestCase

BASE_MINUTE = int(EPOCH.timestamp()) // 60
NODES = 3
INDEX = st.integers(0, NODES - 1)
PARTS = st.lists(
    st.builds(
        lambda node, incarnation, minute: (
            node,
            incarnation,
            BASE_MINUTE + minute,
        ),
        st.sampled_from("abc"),
        st.integers(1, 2),
        st.integers(0, 3),
    ),
    max_size=12,
    unique=True,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("count"), INDEX),
        st.tuples(st.just("minute"), st.just(0)),
        st.tuples(st.just("send"), INDEX, INDEX),
        st.tuples(st.just("deliver"), st.booleans()),
        st.tuples(
            st.just("append"), INDEX, st.sampled_from([None, *LostAppend])
        ),
        st.tuples(st.just("down"), INDEX),
        st.tuples(st.just("restart"), INDEX),
    ),
    max_size=40,
)

LOST_CONFIRMATION = [
    ("count", 1),
    ("minute", 0),
    ("send", 1, 0),
    ("deliver", False),
    ("append", 0, None),
    ("deliver", True),
]


def make_part(key):
    """Builds a part with one request of an organisation unique to ``key``."""
    node, incarnation, minute = key
    ones = (1,) * len(OBJECTIVES)
    row = Row(
        service="s",
        organisation=f"{node}{incarnation}-{minute - BASE_MINUTE}",
        requests=ones,
        bad=ones,
    )
    counts = Counts(minute=minute, rows=(row,))
    return Part(node=node, incarnation=incarnation, counts=counts)


def list_rows(minutes):
    return [row.organisation for counts in minutes for row in counts.rows]


class RecordsTest(TestCase):
    @given(PARTS, st.randoms(use_true_random=False))
    def test_merging_is_commutative_and_idempotent(self, keys, randomness):
        parts = [make_part(key) for key in keys]
        record = build_record(parts, watermarks=Watermarks(), oldest=0)
        shuffled = parts + randomness.choices(parts, k=5) if parts else []
        randomness.shuffle(shuffled)
        self.assertEqual(
            record, build_record(shuffled, watermarks=Watermarks(), oldest=0)
        )
        self.assertEqual(record, decode(encode(record), Record))
        self.assertEqual(len(keys), len(list_rows(record.minutes)))

    @given(st.lists(PARTS, max_size=6), st.randoms(use_true_random=False))
    def test_records_in_any_order_count_no_part_twice(self, groups, randomness):
        records = [
            build_record(
                map(make_part, keys), watermarks=Watermarks(), oldest=0
            )
            for keys in groups
        ]
        records += records[:2]
        randomness.shuffle(records)
        entries = [
            LogEntry(offset=number, time=EPOCH, body=encode(record))
            for number, record in enumerate(records, 1)
        ]
        rows = list_rows(iterate_accepted_counts(entries, Watermarks()))
        self.assertEqual(sorted(set(rows)), sorted(rows))
        if records:
            first = list_rows(records[0].minutes)
            self.assertEqual(first, rows[: len(first)])

    def test_record_appended_too_late_is_rejected(self):
        record = build_record(
            [make_part(("a", 1, BASE_MINUTE))],
            watermarks=Watermarks(),
            oldest=0,
        )
        for minutes, expected in ((119, 1), (122, 0)):
            time = EPOCH + minutes * MINUTE
            entry = LogEntry(offset=1, time=time, body=encode(record))
            found = list(iterate_accepted_counts([entry], Watermarks()))
            self.assertEqual(expected, len(found))

    @given(st.binary(max_size=60))
    def test_invalid_bytes_are_rejected_and_skipped(self, body):
        self.assertRaises(BurnRecordError, decode, body, Part)
        entry = LogEntry(offset=1, time=EPOCH, body=body)
        self.assertEqual(
            [], list(iterate_accepted_counts([entry], Watermarks()))
        )

    @given(st.lists(st.integers(0, 60), max_size=30))
    def test_pending_minutes_stay_within_their_limit(self, sizes):
        pending = PendingMinutes(max_bytes=100)
        for minute, size in enumerate(sizes):
            pending.put(minute, bytes(size))
        bodies = pending.list_bodies()
        self.assertTrue(sum(map(len, bodies)) <= 100)
        self.assertEqual(len(sizes), len(bodies) + pending.dropped)
        kept = sizes[len(sizes) - len(bodies) :]
        self.assertEqual(kept, [len(body) for body in bodies])


class CollectorTest(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @example(LOST_CONFIRMATION)
    @given(STEPS)
    def test_every_request_is_counted_once(self, steps):
        """Messages and responses are lost, aggregators change, nodes restart.

        Only counts that a restarted node had not yet appended may be missing.
        """
        self.run_trio(self.run_steps, steps)

    async def run_steps(self, steps):
        deployment = BurnNodes(clock=self.make_clock(), number=NODES)
        expected, uncertain = set(), set()
        for number, (step, *arguments) in enumerate(steps):
            if step == "count":
                node = deployment.nodes[arguments[0]]
                name = f"{number} by {arguments[0]}"
                observation = make_observation(name, organisation=name)
                node.component.observe(observation)
                expected.add(name)
            elif step == "restart":
                own_suffix = f" by {arguments[0]}"
                uncertain |= {name for name in expected if own_suffix in name}
                deployment.restart(arguments[0])
            else:
                await self.take_step(deployment, step, arguments)
        for node in deployment.nodes:
            self.assertFalse(set((await node.count()).values()) - {1})
        await deployment.append_all_pending()
        for node in deployment.nodes:
            counts = await node.count()
            self.assertEqual(set(), set(counts) - expected)
            self.assertEqual(set(), expected - uncertain - set(counts))
            self.assertEqual(set(), set(counts.values()) - {1})

    async def take_step(self, deployment, step, arguments):
        if step == "minute":
            await trio.sleep(60)
        elif step == "send":
            node, aggregator = (deployment.nodes[i] for i in arguments)
            node.members.local_nodes = {aggregator.identity.node}
            node.collector.send()
        elif step == "deliver":
            await deployment.deliver(lost=arguments[0])
        elif step == "append":
            await deployment.append(arguments[0], lost=arguments[1])
        elif step == "down":
            await deployment.append(arguments[0], down=True)

    def test_log_outage_delays_the_counts(self):
        async def run():
            deployment = BurnNodes(clock=self.make_clock(), number=2)
            for minute in range(90):
                for index, node in enumerate(deployment.nodes):
                    name = f"{index}-{minute}"
                    node.component.observe(
                        make_observation(name, organisation=f"o{index}")
                    )
                deployment.log.faults = LogFaults(down=True)
                await trio.sleep(60)
            own = await deployment.nodes[1].count()
            self.assertEqual({"o1": 90}, own)
            await deployment.append_all_pending()
            for node in deployment.nodes:
                self.assertEqual({"o0": 90, "o1": 90}, await node.count())
                self.assertEqual(0, node.collector.pending.dropped)
                self.assertEqual((), node.collector.pending.list_bodies())

        self.run_trio(run)

    def test_next_node_takes_over_from_a_stopped_aggregator(self):
        """Three nodes run on real links. The aggregator stops mid-minute."""

        async def run():
            async with trio.open_nursery() as nursery:
                deployment = BurnNodes(clock=self.make_clock(), number=0)
                network = MemoryNetwork(nursery)
                identities = [make_identity(n) for n in (1, 2, 3)]
                names = {identity.node for identity in identities}
                nodes = {}
                scopes = {}
                for identity in identities:
                    links = network.make_links(identity)
                    links.set_peers(
                        PeerAddress(node=item.node, host=item.host, port=1)
                        for item in identities
                    )
                    node = BurnNode(
                        deployment=deployment, identity=identity, links=links
                    )
                    node.members.local_nodes = set(names)
                    nodes[identity.node] = node
                    scopes[identity.node] = trio.CancelScope()
                    nursery.start_soon(links.run)
                    nursery.start_soon(self.run_in_scope, scopes, node)
                request_count = await self.observe_and_stop_aggregator(
                    nodes, scopes
                )
                await trio.sleep(130)
                totals = [await node.count() for node in nodes.values()]
                # The stopped node loses only the request of its open minute.
                self.assertEqual([{"clinic": request_count - 1}] * 2, totals)
                nursery.cancel_scope.cancel()

        self.run_trio(run)

    async def observe_and_stop_aggregator(self, nodes, scopes):
        aggregator = next(iter(nodes.values())).collector.choose_aggregator()
        request_count = 0
        for second in range(90):
            request_count += len(nodes)
            for name in list(nodes):
                observation = make_observation(f"{name}-{second}")
                nodes[name].component.observe(observation)
            await trio.sleep(1)
            if second == 60:
                scopes[aggregator].cancel()
                del nodes[aggregator]
                for node in nodes.values():
                    node.members.local_nodes = set(nodes)
        return request_count

    async def run_in_scope(self, scopes, node):
        with scopes[node.identity.node]:
            await node.component.run()


class SizeTest(TestCase):
    def test_a_record_of_a_busy_data_centre_stays_small(self):
        """37 nodes with 364 requests each, from 2,600 organisations."""
        randomness = random.Random(1)
        parts = []
        for node in range(37):
            rows = {}
            for _ in range(364):
                name = f"organisation-{randomness.randrange(2600)}"
                service = f"service-{randomness.randrange(6)}"
                rows[service, name] = Row(
                    service=service,
                    organisation=name,
                    requests=(1,) * 5,
                    bad=(0, 0, randomness.randrange(2), 0, 0),
                )
            counts = Counts(minute=BASE_MINUTE, rows=tuple(rows.values()))
            parts.append(Part(node=f"n{node}", incarnation=1, counts=counts))
        record = build_record(parts, watermarks=Watermarks(), oldest=0)
        size = len(encode(record))
        sent = max(len(encode(part)) for part in parts)
        self.assertTrue(size < 128 * 1024 and sent < 16 * 1024, (size, sent))
        self.assertEqual("burn-oslo-a", build_stream_name("oslo-a"))
