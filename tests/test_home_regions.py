"""Home regions of routes and organisations: where requests may go."""

from dataclasses import replace
from datetime import timedelta
from functools import partial

import trio

from acaciarack.errors import RunOutcome
from acaciarack.gateway.peers.messages import NodeState
from acaciarack.gateway.peers.peer_table import Peer, list_entry_nodes
from acaciarack.gateway.scheduling.schedule_codec import (
    _decode_option,
    _decode_regions,
)
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.pool import DestinationRequest
from acaciarack.gateway.targets.restrictions import (
    RESTRICTED_RETRY_AFTER,
    Restrictions,
    combine_regions,
)
from tests import gateway_fakes as fakes
from tests import test_gateway_generations
from tests.scheduling_fleet import Fleet
from tests.support import TestCase
from tests.test_gateway_generations import make_engine
from tests.test_gateway_node import CONFIGURATION, Deployment
from tests.test_message_revisions import NODE

AWAY = "drammen-b"
REGIONS = {"oslo-a": "east", "oslo-b": "east", AWAY: "west"}
EAST, WEST = frozenset({"east"}), frozenset({"west"})


class RegionTest(TestCase):
    def test_both_lists_apply(self):
        self.assertIsNone(combine_regions(frozenset(), frozenset()))
        self.assertEqual(EAST, combine_regions(frozenset(), EAST))
        self.assertEqual(EAST, combine_regions(EAST | WEST, EAST))
        self.assertEqual(frozenset(), combine_regions(EAST, WEST))

    def test_data_centre_without_a_region_is_one_of_its_own(self):
        restrictions = Restrictions(regions=REGIONS)
        target = fakes.make_target("a", data_centre="x")
        self.assertFalse(restrictions.allows(target, EAST))
        self.assertTrue(restrictions.allows(target, frozenset({"x"})))
        self.assertFalse(restrictions.allows(target, frozenset({""})))

    def test_invalid_regions_of_an_ask_are_ignored(self):
        for value in (None, "east", 5, [1], ["x" * 300], {"east": 1}):
            options = [{"regions": value}]
            self.assertIsNone(
                _decode_option(options, "regions", _decode_regions, None)
            )

    def list_entries(self, regions, data_centre):
        """Lists a node of each data centre that callers may use."""
        restrictions = Restrictions(regions=REGIONS)
        peers = [
            Peer(
                node=replace(NODE, name=name, data_centre=name),
                added_at=timedelta(0),
                state=NodeState.READY,
            )
            for name in REGIONS
        ]
        nodes = list_entry_nodes(
            None,
            peers,
            data_centre=data_centre,
            allows=lambda node: restrictions.allows_node(
                node.data_centre, regions, caller_data_centre=data_centre
            ),
        )
        return {node.data_centre for node in nodes}

    def test_entries_are_in_an_allowed_region_or_the_callers(self):
        neither = EAST & WEST
        self.assertEqual(set(REGIONS), self.list_entries(None, ""))
        self.assertEqual({AWAY}, self.list_entries(WEST, ""))
        self.assertEqual(set(REGIONS), self.list_entries(WEST, "oslo-a"))
        self.assertEqual({AWAY}, self.list_entries(neither, AWAY))
        self.assertEqual(set(), self.list_entries(neither, "elsewhere"))


class RequestTest(TestCase):
    """Calls and generations, and the copies of generations."""

    make_server = test_gateway_generations.GenerationTest.make_server

    def test_calls_stay_in_their_regions(self):
        async def run():
            clock = self.make_clock()
            pool = fakes.make_pool(
                clock,
                fakes.make_target("a"),
                fakes.make_target("b", data_centre=AWAY),
            )
            pool.target_table.restrictions = Restrictions(regions=REGIONS)
            targets = fakes.FakeTargets(
                a=lambda: fakes.FakeResponse(fakes.make_head(500)),
                b=lambda: fakes.FakeResponse(fakes.make_head(500)),
            )
            calls, _ = fakes.make_call_server(clock, pool, targets)
            task = fakes.make_call(clock, RouteKind.IDEMPOTENT, max_attempts=3)
            await calls.serve(replace(task, regions=WEST))
            self.assertEqual({"b"}, set(targets.sends))
            refusal = await calls.serve(replace(task, regions=EAST & WEST))
            self.assertIs(RunOutcome.NOT_RUN, refusal.outcome)
            self.assertGreaterEqual(
                refusal.retry_after, RESTRICTED_RETRY_AFTER * 0.5
            )

        self.run_trio(run)

    def test_runs_move_within_their_regions(self):
        async def run():
            clock = self.make_clock()
            fleet = fakes.EngineFleet(events=60)
            server, pool = self.make_server(
                fleet,
                clock,
                make_engine("a"),
                make_engine("b", data_centre=AWAY),
                make_engine("c", data_centre="oslo-b"),
            )
            pool.target_table.restrictions = Restrictions(regions=REGIONS)
            for _ in range(10):
                pool.loads.add_call("c")

            async def leave():
                await trio.sleep(0.5)
                pool.target_table.mark_leaving("a", "test")

            writer = fakes.RecordingWriter()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(leave)
                task = replace(fakes.make_generation(clock), regions=EAST)
                await server.serve(task, writer)
            self.assertEqual(["a", "c"], [name for name, _, _ in fleet.opens])
            self.assertEqual(
                test_gateway_generations.make_event_data(60), writer.data
            )

        self.run_trio(run)

    def test_schedulers_grant_engines_of_the_regions(self):
        """Released nodes ignore the field and are told what to exclude."""
        for revision in (0, 1):
            self.run_trio(self.place, revision)

    async def place(self, revision):
        engines = [
            make_engine(name, data_centre=data_centre)
            for name, data_centre in (("a", "oslo-a"), ("b", AWAY))
        ]
        fleet = Fleet(self.make_clock(), 4, engines=engines, revision=revision)
        for node in fleet.nodes:
            node.pool.target_table.restrictions = Restrictions(regions=REGIONS)
        async with trio.open_nursery() as nursery:
            await nursery.start(fleet.run)
            scheduler = fleet.find_scheduler()
            for node in fleet.nodes:
                placement = await node.place(regions=WEST, tokens=500)
                self.assertEqual("b", placement.instance.target.id)
                asked = trio.current_time()
                placement = await node.place(regions=EAST & WEST, tokens=500)
                self.assertIsNone(placement.instance)
                self.assertEqual(asked, trio.current_time())
                destination = await node.placer.choose_destination(
                    DestinationRequest(
                        service="engines",
                        spec=fakes.ENGINE_SPEC,
                        generation=fakes.make_generation_state(
                            9, output_tokens=9
                        ),
                        data_centre="oslo-a",
                        exclude=frozenset(),
                        regions=WEST,
                    )
                )
                self.assertEqual("b", destination.target.id)
            # A request that waits for its regions holds up no others.
            for _ in range(24):
                scheduler.pool.loads.add_call("b")
            nursery.start_soon(partial(scheduler.place, regions=WEST))
            await trio.sleep(0.01)
            placement = await scheduler.place(limit=0.01)
            self.assertEqual("a", placement.instance.target.id)
            nursery.cancel_scope.cancel()


class NodeTest(TestCase):
    """A node with one data centre, oslo-a, which is a region of its own."""

    def configure(self, deployment, version, route_region, own_region):
        document = {
            **CONFIGURATION,
            "version": version,
            "routes": [
                {**route, "allowed_regions": [route_region]}
                for route in CONFIGURATION["routes"]
            ],
            "tenants": [
                {
                    **CONFIGURATION["tenants"][0],
                    "allowed_regions": [own_region],
                }
            ],
        }
        deployment.store.put("keyed.op", "config", document)

    def test_lists_and_evacuations_apply_to_callers(self):
        async def run():
            deployment = Deployment()
            path = "/v1/resolutions?name=h.example:80&zone="

            async def check(status, entry_status):
                """Checks a call, and the entries for callers elsewhere."""
                await trio.sleep(0.2)
                answer = await deployment.send_request("/call/x")
                self.assertEqual(status, answer.status)
                fields = {name.lower() for name, _ in answer.headers}
                self.assertEqual(status == 503, b"retry-after" in fields)
                for zone, expected in (("x", entry_status), ("oslo-a", 200)):
                    answer = await deployment.get(path + zone, port="entries")
                    self.assertEqual(expected, answer.status)

            async with trio.open_nursery() as nursery:
                deployment.store.put("keyed.op", "config", CONFIGURATION)
                await deployment.start(nursery)
                await deployment.wait_for(200)
                deployment.store.put("keyed.op", "evacuate/oslo-a", {})
                await check(503, 200)
                answer = await deployment.get("/metrics", port="metrics")
                self.assertIn(
                    b'evacuations_total{outcome="begun"} 1', answer.content
                )
                deployment.store.put("keyed.op", "evacuate/oslo-a", None)
                await check(200, 200)
                self.configure(deployment, 2, "west", "oslo-a")
                await check(503, 503)
                self.configure(deployment, 3, "oslo-a", "west")
                await check(503, 200)
                self.configure(deployment, 4, "oslo-a", "oslo-a")
                await check(200, 200)
                nursery.cancel_scope.cancel()

        self.run_real(run)
