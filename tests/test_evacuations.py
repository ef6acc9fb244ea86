"""Evacuated data centres: records, and who may still receive requests."""

import trio
from acaciarack_platform.records import JsonRecordDecoder

from acaciarack.gateway.store.replica import Record
from acaciarack.gateway.store.replication import Batch, ClusterState, Topic
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.restrictions import RESTRICTED_RETRY_AFTER
from acaciarack.gateway.targets.target_table import TargetTable
from tests import gateway_fakes as fakes
from tests import test_gateway_generations
from tests.scheduling_fleet import Fleet
from tests.support import TestCase
from tests.test_gateway_generations import make_engine, make_event_data

HERE, AWAY = frozenset({"oslo-a"}), frozenset({"drammen-b"})
KEY = "evacuate/drammen-b"


def record(offset, value=b"{}", *, era=0, key=KEY):
    return Record(key=key, offset=offset, value=value, era=era)


class RecordTest(TestCase):
    """The set of evacuated data centres follows the replica."""

    def start(self):
        clock = self.make_clock()
        self.state = ClusterState(
            clock=clock,
            target_table=TargetTable(clock=clock),
            decoder=JsonRecordDecoder(),
        )

    def merge(self, *records, end, era=0, complete=False, **fields):
        self.state.merge_batch(
            Topic.CONFIGURATION,
            Batch(records=records, end=end, era=era),
            complete=complete,
            origin="store",
            **fields,
        )
        return self.state.target_table.restrictions.evacuated

    def test_changes_are_reported_once_each(self):
        self.start()
        changes = []
        self.state.target_table.restrictions.subscribe(
            lambda *change: changes.append(change)
        )
        self.merge(record(1), end=2)
        self.merge(record(2, b"{ }"), end=3)
        self.merge(record(3, key="evacuate/x"), end=4)
        self.merge(record(4, None), end=5)
        self.assertEqual(
            [("drammen-b", True), ("x", True), ("drammen-b", False)], changes
        )

    def test_order_of_arrival_does_not_matter(self):
        """Peers and the store send the same records at different times."""
        self.start()
        self.merge(record(3), end=4)
        self.assertEqual(AWAY, self.merge(record(2, None), end=3))
        # An older list lacks the key.
        self.assertEqual(AWAY, self.merge(end=2, complete=True))
        self.merge(record(6, None), end=7)
        self.assertEqual(set(), self.merge(record(5), end=6))
        self.assertEqual(AWAY, self.merge(record(7), end=8))
        # The removal was compacted away.
        self.assertEqual(set(), self.merge(end=10, complete=True))

    def test_evacuation_outlives_the_first_list_of_an_era(self):
        self.start()
        self.merge(record(7), end=8, complete=True)
        self.assertEqual(AWAY, self.merge(end=3, era=1, complete=True))
        self.assertEqual(set(), self.merge(end=5, era=1, complete=True))

    def test_evacuation_that_a_new_era_lists_is_in_force_at_once(self):
        """Other deleted keys come back after 5 s, which is too late here."""
        self.start()
        self.merge(record(1), end=2, complete=True)
        self.merge(record(5, None), end=6)
        listed = record(3, era=1)
        for fields in ({"end": 4}, {"end": 5, "keep_deleted": True}):
            found = self.merge(listed, era=1, complete=True, **fields)
            self.assertEqual(AWAY, found)
        found = self.merge(record(5, None, era=1), end=6, era=1)
        self.assertEqual(set(), found)

    def test_key_decides_and_not_the_value(self):
        for value in (b"\xff\xfe", b"null", b"[1]", b"{", b"x" * 100_000):
            self.start()
            self.assertEqual(AWAY, self.merge(record(1, value), end=2))
        self.start()
        for offset, key in enumerate(("evacuate/", "evacuated/x", "evacuate")):
            found = self.merge(record(offset, key=key), end=offset + 1)
            self.assertEqual(set(), found)


class CallTest(TestCase):
    def serve(self, evacuated, *, evacuated_at_send=frozenset()):
        """Serves a call with targets a, which has a limit, and b, elsewhere."""

        async def run():
            clock = self.make_clock()
            pool = fakes.make_pool(
                clock,
                fakes.make_target("a"),
                fakes.make_target("b", data_centre="drammen-b"),
            )
            table = pool.target_table
            table.rate_limits.observe(
                get_lifetime(table.get("a").target), 9.0, clock.elapsed()
            )
            await trio.sleep(1)
            table.restrictions.set_evacuated(evacuated)
            response = fakes.FakeResponse(fakes.make_head(), body=b"whole")
            targets = fakes.FakeTargets(a=response, b=response)
            targets.before_send = lambda: table.restrictions.set_evacuated(
                evacuated | evacuated_at_send
            )
            calls, _ = fakes.make_call_server(clock, pool, targets)
            task = fakes.make_call(clock, fakes.RouteKind.NON_IDEMPOTENT)
            return await calls.serve(task), targets.sends

        return self.run_trio(run)

    def test_calls_go_elsewhere(self):
        self.assertEqual(["b"], self.serve(HERE)[1])
        self.assertEqual(["a"], self.serve(AWAY)[1])
        # The evacuation begins between choice and send.
        self.assertEqual(
            ["a"], self.serve(frozenset(), evacuated_at_send=AWAY)[1]
        )

    def test_call_is_refused_at_once_if_no_target_is_left(self):
        refusal, sends = self.serve(HERE | AWAY)
        self.assertEqual("not_run", str(refusal.outcome))
        self.assertGreaterEqual(
            refusal.retry_after, RESTRICTED_RETRY_AFTER * 0.5
        )
        self.assertEqual([], sends)


class GenerationTest(TestCase):
    """A run on a; b is in the second data centre and c in a third."""

    make_server = test_gateway_generations.GenerationTest.make_server

    def play(
        self, evacuated, *, begins, leaves=None, near=(), events=150, **fields
    ):
        """Returns the engines that had the run; their stream is complete."""

        async def run():
            clock = self.make_clock()
            self.fleet = fakes.EngineFleet(events=events, **fields)
            server, pool = self.make_server(
                self.fleet,
                clock,
                make_engine("a"),
                *map(make_engine, near),
                make_engine("b", data_centre="drammen-b"),
                make_engine("c", data_centre="x"),
            )

            async def leave():
                if leaves is not None:
                    await trio.sleep(leaves)
                    pool.target_table.mark_leaving("a", "test")

            async def evacuate():
                await trio.sleep(begins)
                pool.target_table.restrictions.set_evacuated(evacuated)
                self.on_evacuation()
                await trio.sleep(1)
                self.dropped = len(self.fleet.dropped)
                self.standby = pool.loads.get_total("b").standby

            writer = fakes.RecordingWriter()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                nursery.start_soon(evacuate)
                task = fakes.make_generation(clock)
                await server.serve(task, writer)
                nursery.cancel_scope.cancel()
            self.assertEqual(make_event_data(events), writer.data)
            return "".join(name for name, _, _ in self.fleet.opens)

        return self.run_trio(run)

    def on_evacuation(self):
        """Is called when the evacuation has begun."""

    def test_running_stream_ends_where_it_is(self):
        """A move would take capacity that new requests need."""
        self.assertEqual("a", self.play(HERE, begins=0.5))

    def test_leaving_engine_of_an_evacuated_data_centre_is_left(self):
        found = self.play(HERE, begins=0.5, leaves=0.7, near="d")
        self.assertEqual("ab", found)

    def test_copy_at_an_evacuated_destination_is_given_up(self):
        """A copy that is complete so late is the last one before the stop."""
        found = self.play(AWAY, begins=0.9, leaves=0.3, copy_seconds=1.2)
        self.assertEqual("ac", found)

    def test_standby_copy_at_an_evacuated_destination_is_dropped(self):
        self.assertEqual("a", self.play(AWAY, begins=1.5))
        self.assertEqual((1, 0), (self.dropped, self.standby))

    def test_lost_connection_is_not_mended_at_an_evacuated_engine(self):
        """The standby copy is there, and is not yet dropped."""
        self.on_evacuation = lambda: setattr(self.fleet, "fails_once", True)
        self.assertEqual("ac", self.play(AWAY, begins=1.5))

    def test_no_run_resumes_at_an_evacuated_engine(self):
        """A resume takes a slot, also at the engine that had the run."""
        self.on_evacuation = lambda: self.fleet.dead.update("bc")
        with self.assertRaises(Exception) as raised:
            self.play(HERE, begins=0.5, leaves=0.7)
        self.assertIn("no target resumed", repr(raised.exception))


class PlacementTest(TestCase):
    def test_generations_are_refused_once_no_engine_is_left(self):
        """Also if they are queued already."""

        async def run():
            clock = self.make_clock()
            pool = fakes.make_pool(clock, make_engine("a"))
            placer = fakes.make_placer(clock, pool)
            for _ in range(24):
                pool.loads.add_call("a")

            async def evacuate():
                await trio.sleep(0.2)
                pool.target_table.restrictions.set_evacuated(HERE)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(evacuate)
                for _ in range(2):
                    placement = await placer.place(
                        fakes.make_placement_request(
                            clock,
                            fakes.make_generation_state(9, output_tokens=9),
                            limit=0.9,
                        )
                    )
                    self.assertIsNone(placement.instance)
                    self.assertEqual(
                        RESTRICTED_RETRY_AFTER, placement.retry_after
                    )
            self.assertLess(trio.current_time(), 0.25)

        self.run_trio(run)

    def test_grant_of_a_scheduler_that_knows_less_is_not_used(self):
        """The scheduler learns of an evacuation later than the node."""

        async def run():
            engines = make_engine("a"), make_engine("b", data_centre="x")
            fleet = Fleet(self.make_clock(), 4, engines=engines, revision=1)
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                scheduler = fleet.find_scheduler()
                node = next(n for n in fleet.nodes if n is not scheduler)
                node.pool.target_table.restrictions.set_evacuated(HERE)
                for _ in range(5):
                    placement = await node.place(tokens=500)
                    self.assertEqual("b", placement.instance.target.id)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
