"""Evacuated data centres: records, and who may still receive requests."""

from datetime import timedelta
from functools import partial

import trio
from acaciarack_platform.records import JsonRecordDecoder
from acaciarack_platform.targets import TargetClient

from acaciarack.errors import Refusal, RunOutcome
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.requests.generations import CompletedStream
from acaciarack.gateway.requests.request_handling import BufferedResponse
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.store.replica import Record
from acaciarack.gateway.store.replication import Batch, ClusterState, Topic
from acaciarack.gateway.targets.client import (
    ForwardOptions,
    TargetRestrictedError,
)
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.restrictions import RESTRICTED_RETRY_AFTER
from acaciarack.gateway.targets.target_table import TargetTable
from acaciarack.settings import Address
from tests import test_gateway_generations
from tests.gateway_fakes import (
    EngineFleet,
    FakeResponse,
    FakeTargets,
    RecordingWriter,
    make_call,
    make_call_server,
    make_generation,
    make_head,
    make_placement_request,
    make_placer,
    make_pool,
    make_request,
    make_target,
)
from tests.scheduling_fleet import Fleet
from tests.support import TestCase
from tests.test_gateway_generations import make_engine, make_event_data

AWAY = "drammen-b"
KEY = f"evacuate/{AWAY}"


def record(key, offset, value=b"{}", *, era=0):
    return Record(key=key, offset=offset, value=value, era=era)


def respond():
    return FakeResponse(make_head(), body=b"whole")


class RecordTest(TestCase):
    """The set of evacuated data centres follows the replica."""

    def setUp(self):
        super().setUp()
        self.start()

    def start(self):
        clock = self.make_clock()
        self.state = ClusterState(
            clock=clock,
            target_table=TargetTable(clock=clock),
            decoder=JsonRecordDecoder(),
        )

    def merge(self, *records, end, era=0, complete=False, **fields):
        batch = Batch(records=records, end=end, era=era)
        self.state.merge_batch(
            Topic.CONFIGURATION,
            batch,
            complete=complete,
            origin="store",
            **fields,
        )
        return self.state.target_table.restrictions.evacuated

    def test_record_begins_and_its_removal_ends_an_evacuation(self):
        self.assertEqual({AWAY}, self.merge(record(KEY, 1), end=2))
        self.assertEqual(set(), self.merge(record(KEY, 2, None), end=3))
        self.assertEqual({AWAY}, self.merge(record(KEY, 3), end=4))

    def test_order_of_arrival_does_not_matter(self):
        """Peers and the store send the same records at different times."""
        self.merge(record(KEY, 3), end=4)
        self.assertEqual({AWAY}, self.merge(record(KEY, 2, None), end=3))
        self.merge(record(KEY, 6, None), end=7)
        self.assertEqual(set(), self.merge(record(KEY, 5), end=6))

    def test_removal_that_was_compacted_away_ends_an_evacuation(self):
        self.merge(record(KEY, 1), end=2, complete=True)
        self.assertEqual(set(), self.merge(end=5, complete=True))

    def test_older_snapshot_does_not_end_an_evacuation(self):
        self.merge(record(KEY, 7), end=8)
        self.assertEqual({AWAY}, self.merge(end=5, complete=True))

    def test_evacuation_outlives_the_first_list_of_an_era(self):
        self.merge(record(KEY, 7), end=8, complete=True)
        self.assertEqual({AWAY}, self.merge(end=3, era=1, complete=True))
        self.assertEqual(set(), self.merge(end=5, era=1, complete=True))

    def test_evacuation_that_a_new_era_lists_is_in_force_at_once(self):
        """Other deleted keys come back after 5 s, which is too late here."""
        self.merge(record(KEY, 1), end=2, complete=True)
        self.merge(record(KEY, 5, None), end=6)
        listed = record(KEY, 3, era=1)
        self.assertEqual(
            {AWAY}, self.merge(listed, end=4, era=1, complete=True)
        )
        self.assertEqual(
            {AWAY},
            self.merge(listed, end=5, era=1, complete=True, keep_deleted=True),
        )
        removal = record(KEY, 5, None, era=1)
        self.assertEqual(set(), self.merge(removal, end=6, era=1))

    def test_unreadable_value_is_in_force(self):
        for value in (b"\xff\xfe", b"null", b"[1]", b"{", b"x" * 100_000):
            with self.subTest(value=value[:4]):
                self.start()
                found = self.merge(record(KEY, 1, value), end=2)
                self.assertEqual({AWAY}, found)

    def test_key_without_a_name_changes_nothing(self):
        self.assertEqual(set(), self.merge(record("evacuate/", 1), end=2))
        self.assertEqual(set(), self.merge(record("evacuated/x", 2), end=3))

    def test_changes_are_reported_once(self):
        changes = []
        restrictions = self.state.target_table.restrictions
        restrictions.subscribe(lambda *change: changes.append(change))
        self.merge(record(KEY, 1), end=2)
        self.merge(record(KEY, 2, b"{ }"), end=3)
        self.merge(record("evacuate/nowhere", 3), end=4)
        self.merge(record(KEY, 4, None), end=5)
        self.assertEqual(
            [(AWAY, True), ("nowhere", True), (AWAY, False)], changes
        )


class CallTest(TestCase):
    def serve(self, evacuated, *, before=None):
        """Serves a call with targets a and b, b in the other data centre."""

        async def run():
            clock = self.make_clock()
            pool = make_pool(
                clock, make_target("a"), make_target("b", data_centre=AWAY)
            )
            restrictions = pool.target_table.restrictions
            restrictions.set_evacuated(frozenset(evacuated))
            targets = FakeTargets(a=respond, b=respond)
            if before is not None:
                targets.before_send = lambda: before(restrictions)
            calls, _ = make_call_server(clock, pool, targets)
            result = await calls.serve(
                make_call(clock, RouteKind.NON_IDEMPOTENT)
            )
            return result, targets.sends, trio.current_time()

        return self.run_trio(run)

    def test_calls_go_elsewhere(self):
        _, sends, _ = self.serve({"oslo-a"})
        self.assertEqual(["b"], sends)

    def test_call_is_refused_at_once_if_no_target_is_left(self):
        refusal, sends, _ = self.serve({"oslo-a", AWAY})
        self.assertIsInstance(refusal, Refusal)
        self.assertIs(RunOutcome.NOT_RUN, refusal.outcome)
        self.assertGreaterEqual(
            refusal.retry_after, RESTRICTED_RETRY_AFTER * 0.5
        )
        self.assertEqual([], sends)

    def test_call_whose_target_is_evacuated_before_the_send_goes_elsewhere(
        self,
    ):
        def evacuate(restrictions):
            restrictions.set_evacuated(frozenset({"oslo-a"}))

        result, sends, _ = self.serve((), before=evacuate)
        self.assertIsInstance(result, BufferedResponse)
        self.assertEqual(["b"], sends)

    def test_limited_target_gets_no_calls(self):
        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a"))
            target = pool.target_table.get("a").target
            pool.target_table.rate_limits.observe(
                get_lifetime(target), 100.0, clock.elapsed()
            )
            await trio.sleep(1)
            self.assertEqual(1, len(pool.list_limited("application")))
            pool.target_table.restrictions.set_evacuated(frozenset({"oslo-a"}))
            self.assertIsNone(pool.take_limited("application"))

        self.run_trio(run)


class ClientTest(TestCase):
    def test_nothing_is_sent_if_the_evacuation_begins_while_connecting(self):
        received = []
        ended = trio.Event()

        async def serve(stream):
            received.append(await stream.receive_some())
            ended.set()

        async def run():
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(
                    partial(trio.serve_tcp, serve, 0, host="127.0.0.1")
                )
                port = listeners[0].socket.getsockname()[1]
                target = make_target(
                    "a", address=Address(host="127.0.0.1", port=port)
                )
                options = ForwardOptions(
                    remaining=timedelta(seconds=1), may_send=lambda: False
                )
                with self.assertRaises(TargetRestrictedError):
                    await TargetClient().open(target, make_request(), options)
                await ended.wait()
                nursery.cancel_scope.cancel()

        self.run_real(run)
        self.assertEqual([b""], received)


class GenerationTest(TestCase):
    """Generations, their copies and their destinations."""

    make_server = test_gateway_generations.GenerationTest.make_server

    def play(self, play, *, engines, events=60, **fields):
        async def run():
            clock = self.make_clock()
            fleet = EngineFleet(events=events, **fields)
            server, pool = self.make_server(fleet, clock, *engines)
            restrictions = pool.target_table.restrictions
            writer = RecordingWriter()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(play, pool, restrictions, fleet)
                result = await server.serve(make_generation(clock), writer)
                nursery.cancel_scope.cancel()
            return result, writer, fleet

        return self.run_trio(run)

    def test_running_stream_ends_where_it_is(self):
        """A move would take capacity that new requests need."""

        async def evacuate(pool, restrictions, fleet):
            await trio.sleep(0.5)
            restrictions.set_evacuated(frozenset({"oslo-a"}))

        result, writer, fleet = self.play(
            evacuate, engines=[make_engine("a"), make_engine("b")]
        )
        self.assertIsInstance(result, CompletedStream)
        self.assertEqual(make_event_data(60), writer.data)
        self.assertEqual(1, len(fleet.opens))

    def test_leaving_engine_of_an_evacuated_data_centre_is_left(self):
        async def leave(pool, restrictions, fleet):
            await trio.sleep(0.5)
            restrictions.set_evacuated(frozenset({"oslo-a"}))
            await trio.sleep(0.2)
            name = fleet.opens[0][0]
            pool.target_table.mark_leaving(name, "test")

        engines = [
            make_engine("a"),
            make_engine("b"),
            make_engine("c", data_centre=AWAY),
        ]
        # A random part of the score is constant, so a or b is chosen first.
        result, writer, fleet = self.play(leave, engines=engines)
        self.assertIsInstance(result, CompletedStream)
        self.assertEqual(make_event_data(60), writer.data)
        self.assertEqual("c", fleet.opens[-1][0])
        self.assertEqual(2, len(fleet.opens))

    def test_copy_at_an_evacuated_destination_is_given_up(self):
        """The evacuation begins while the first copy is made."""

        async def leave(pool, restrictions, fleet):
            await trio.sleep(0.3)
            pool.target_table.mark_leaving("a", "test")
            await trio.sleep(0.6)
            restrictions.set_evacuated(frozenset({AWAY}))

        engines = [
            make_engine("a"),
            make_engine("b", data_centre=AWAY),
            make_engine("c", data_centre="x"),
        ]
        # A copy that is complete so late is the last one before the stop.
        result, writer, fleet = self.play(
            leave, engines=engines, events=120, copy_seconds=1.2
        )
        self.assertIsInstance(result, CompletedStream)
        self.assertEqual(make_event_data(120), writer.data)
        self.assertEqual(["a", "c"], [name for name, _, _ in fleet.opens])

    def test_standby_copy_at_an_evacuated_destination_is_dropped(self):
        async def evacuate(pool, restrictions, fleet):
            await trio.sleep(1.5)
            self.assertEqual(1, len(fleet.copied))
            restrictions.set_evacuated(frozenset({AWAY}))
            await trio.sleep(1.0)
            self.assertEqual(1, len(fleet.dropped))
            self.assertEqual(0, pool.loads.get_total("b").standby)

        result, _, _ = self.play(
            evacuate,
            engines=[make_engine("a"), make_engine("b", data_centre=AWAY)],
            events=150,
        )
        self.assertIsInstance(result, CompletedStream)

    def test_lost_connection_is_not_mended_at_an_evacuated_engine(self):
        """The standby copy is there, and is not yet dropped."""

        async def cut(pool, restrictions, fleet):
            await trio.sleep(1.5)
            restrictions.set_evacuated(frozenset({AWAY}))
            fleet.fails_once = True

        engines = [
            make_engine("a"),
            make_engine("b", data_centre=AWAY),
            make_engine("c", data_centre="x"),
        ]
        result, writer, fleet = self.play(cut, engines=engines, events=150)
        self.assertIsInstance(result, CompletedStream)
        self.assertEqual(make_event_data(150), writer.data)
        self.assertEqual(["a", "c"], [name for name, _, _ in fleet.opens])

    def test_no_run_resumes_at_an_evacuated_engine(self):
        """A resume takes a slot, also at the engine that had the run."""

        async def evacuate(pool, restrictions, fleet):
            await trio.sleep(0.5)
            restrictions.set_evacuated(frozenset({"oslo-a"}))
            fleet.dead.add("b")
            pool.target_table.mark_leaving("a", "test")

        with self.assertRaises(Exception) as raised:
            self.play(
                evacuate,
                engines=[make_engine("a"), make_engine("b", data_centre=AWAY)],
            )
        self.assertIn("no target resumed", repr(raised.exception))


class PlacementTest(TestCase):
    def place(self, evacuate_at, *, limit=0.9, engines, full=False):
        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, *engines)
            placer = make_placer(clock, pool)
            task = make_generation(clock)
            if full:
                for engine in engines:
                    for _ in range(24):
                        pool.loads.add_call(engine.id)

            async def evacuate():
                await trio.sleep(evacuate_at)
                pool.target_table.restrictions.set_evacuated(
                    frozenset({"oslo-a"})
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(evacuate)
                await trio.sleep(0.01)
                started_at = trio.current_time()
                placement = await placer.place(
                    make_placement_request(
                        clock,
                        Generation(prompt=task.request.prompt),
                        limit=limit,
                    )
                )
                waited = trio.current_time() - started_at
                nursery.cancel_scope.cancel()
            return placement, waited

        return self.run_trio(run)

    def test_generation_is_refused_at_once_if_no_engine_is_left(self):
        placement, waited = self.place(0, engines=[make_engine("a")])
        self.assertIsNone(placement.instance)
        self.assertEqual(RESTRICTED_RETRY_AFTER, placement.retry_after)
        self.assertEqual(0, waited)

    def test_queued_generation_is_refused_once_no_engine_is_left(self):
        placement, waited = self.place(
            0.2, engines=[make_engine("a")], full=True
        )
        self.assertIsNone(placement.instance)
        self.assertLess(waited, 0.25)

    def test_grant_of_a_scheduler_that_knows_less_is_not_used(self):
        """The scheduler learns of an evacuation later than the node."""

        async def run():
            fleet = Fleet(self.make_clock(), 4, engines=("a", "b"))
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                scheduler = fleet.find_scheduler()
                node = next(n for n in fleet.nodes if n is not scheduler)
                for other in fleet.nodes:
                    other.pool.target_table.put(
                        make_engine("b", data_centre=AWAY, sequence=2)
                    )
                node.pool.target_table.restrictions.set_evacuated(
                    frozenset({"oslo-a"})
                )
                for _ in range(5):
                    placement = await node.place(tokens=500)
                    self.assertEqual("b", placement.instance.target.id)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
