"""Fair shares of organisations in the queue of generations."""

import time
from collections import Counter
from datetime import timedelta
from typing import ClassVar

import trio
import trio.lowlevel

from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.capacity.usage import estimate_cost
from acaciarack.gateway.scheduling.placement_queue import PlacementQueue
from acaciarack.gateway.scheduling.shares import (
    BURST,
    Shares,
    estimate_usage,
)
from acaciarack_bench.measures import compute_fairness
from tests.gateway_fakes import (
    ENGINE_SPEC,
    make_generation_state,
    make_load,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.played_load import PlayedLoad
from tests.scheduling_fleet import Fleet
from tests.support import TestCase

SECOND = timedelta(seconds=1)


class SharesTest(TestCase):
    def make_shares(self, **fields):
        self.clock = self.make_clock()
        self.loads = LoadTracker(clock=self.clock)
        return Shares(clock=self.clock, usage=self.loads.usage, **fields)

    def order(self, shares, waiting):
        starts = shares.compute_starts("s", [(o, 10.0) for o in waiting])
        ranked = sorted(range(len(waiting)), key=starts.__getitem__)
        return [waiting[index] for index in ranked]

    def test_organisations_take_turns_by_weight(self):
        """Failure: many requests of one organisation delay all others."""

        async def run():
            shares = self.make_shares(get_weight={"a": 1, "b": 2}.get)
            waiting = ["a"] * 3 + ["b"] * 4
            self.assertEqual(
                ["a", "b", "b", "a", "b", "b", "a"],
                self.order(shares, waiting),
            )

        self.run_trio(run)

    def test_reports_restore_the_shares_of_a_new_scheduler(self):
        """Failure: a new scheduler starts with equal services."""

        async def run():
            shares = self.make_shares()
            shares.update_node("n1", 1, {"a": 9e4, "b": 5e4})
            shares.update_node("n2", 1, {"a": 1e4, "c": 1e4})
            self.assertEqual(["c", "b", "a"], self.order(shares, "abc"))
            # Organisations that a report does not name keep their costs.
            shares.update_node("n1", 1, {"b": 2e5})
            self.assertEqual(["c", "a", "b"], self.order(shares, "abc"))
            # A node that restarts has lost its generations.
            shares.update_node("n1", 2, {})
            self.assertAlmostEqual(0, shares.get_service("b"), delta=1)

        self.run_trio(run)

    def test_shares_last_for_hours(self):
        """Failure: the factor of new costs overflows if nothing waits."""

        async def run():
            shares = self.make_shares()
            for _ in range(3):
                shares.update_node("n1", 1, {"a": 5e4})
                await self.clock.sleep(timedelta(hours=3))
            self.assertAlmostEqual(0, shares.get_service("a"), delta=1)

        self.run_trio(run)

    def test_shares_are_built_before_the_loop_runs(self):
        """Failure: a node does not start, as the clock needs the loop."""
        self.make_shares()

    def test_costs_are_corrected(self):
        """Failure: a generation that ends early is charged in full."""

        async def run():
            shares = self.make_shares()
            generation = make_generation_state(3000, output_tokens=1000)
            shares.add_grant("a", generation)
            expected = estimate_cost(generation)
            self.assertAlmostEqual(expected, shares.get_service("a"))
            shares.remove_grant(generation)
            self.assertAlmostEqual(0, shares.get_service("a"))
            self.loads.usage.start("a", generation)
            self.assertAlmostEqual(expected, shares.get_service("a"))
            await trio.sleep(1)
            self.loads.usage.end(generation)
            self.assertAlmostEqual(3000, shares.get_service("a"), delta=1)
            await trio.sleep(60)
            self.assertAlmostEqual(0, shares.get_service("a"), delta=50)

        self.run_trio(run)

    def test_idle_organisation_saves_up_a_burst_at_most(self):
        """Failure: one that was idle takes all engines for a long time."""

        async def run():
            shares = self.make_shares()
            shares.update_node("n", 1, {"a": 9 * BURST, "b": 9 * BURST})
            self.order(shares, "ab")
            self.order(shares, "abc")
            self.assertAlmostEqual(
                8 * BURST, shares.get_service("c"), delta=1e-6 * BURST
            )

        self.run_trio(run)

    def test_order_does_not_change_while_costs_decay(self):
        async def run():
            shares = self.make_shares()
            shares.update_node("n", 1, {"a": 3e5, "b": 2e5, "c": 1e5})
            for _ in range(10):
                self.assertEqual(["c", "b", "a"], self.order(shares, "abc"))
                await trio.sleep(3)

        self.run_trio(run)

    def test_released_node_counts_as_callers_without_organisation(self):
        usage = estimate_usage({"a": make_load([(3000, 1000)])}, SECOND * 3)
        self.assertEqual({"": 3500 * 3}, usage)

    def test_state_is_bounded_and_decisions_are_fast(self):
        """Load: 330 nodes, 2,600 organisations, 110 asks per second."""

        async def run():
            import tracemalloc

            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            shares = self.make_shares()
            for node in range(330):
                usage = {
                    f"organisation-{(node * 40 + i) % 2600}": 1e4 + i
                    for i in range(64)
                }
                shares.update_node(f"node-{node}", 1, usage)
            for number in range(10_000):
                shares.update_node("node-0", 1, {f"other-{number}": 1e4})
            used = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            self.assertLess(used, 4e6)
            waiting = [(f"organisation-{i % 150}", 1e4) for i in range(200)]
            times = []
            for _ in range(300):
                # Other processes of a busy machine take no part.
                began = time.thread_time()
                shares.compute_starts("s", waiting)
                times.append(time.thread_time() - began)
                await trio.sleep(1 / 110)
            self.assertLess(sorted(times)[-len(times) // 100], 0.001)

        self.run_trio(run)


class QueueTest(TestCase):
    def run_queue(self, organisations):
        """Returns the numbers of those admitted in one pass; three fit."""
        admitted = []

        async def wait(clock, pool, placer, number, organisation):
            generation = make_generation_state(1800, output_tokens=400)
            request = make_placement_request(
                clock, generation, limit=9, organisation=organisation
            )
            placement = await placer.place(request)
            if placement.instance is not None:
                admitted.append(number)
                pool.loads.add_generation("a", generation)
                pool.loads.usage.start(organisation, generation)

        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a", service="engines"))
            placer = make_placer(clock, pool)
            pool.wait_estimator.mean = SECOND / 10
            pool.loads.update_peer("n", {"a": make_load([(3000, 1900)] * 11)})
            async with trio.open_nursery() as nursery:
                for item in enumerate(organisations):
                    nursery.start_soon(wait, clock, pool, placer, *item)
                    await trio.sleep(0.01)
                pool.loads.update_peer("n", {"a": make_load([(2000, 100)] * 2)})
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return sorted(admitted)

    def test_placement_decision_is_fast(self):
        """Load: 36 full engines, 2,600 organisations, 110 asks per second."""

        async def run():
            clock = self.make_clock()
            names = [f"e{number}" for number in range(36)]
            targets = [make_target(name, service="engines") for name in names]
            pool = make_pool(clock, *targets)
            pool.wait_estimator.mean = SECOND / 1000
            queue = PlacementQueue(clock=clock, pool=pool)
            full = dict.fromkeys(names, make_load([(3000, 1900)] * 11))
            times = []
            async with trio.open_nursery() as nursery:
                for number in range(250):
                    pool.loads.update_peer("n", full)
                    request = make_placement_request(
                        clock,
                        make_generation_state(3079, output_tokens=748),
                        limit=1.4,
                        organisation=f"o{number * 7 % 2600}",
                    )
                    began = time.thread_time()
                    nursery.start_soon(queue.place, request)
                    await trio.lowlevel.checkpoint()
                    times.append(time.thread_time() - began)
                    await trio.sleep(1 / 110)
                nursery.cancel_scope.cancel()
            self.assertLess(sorted(times)[-len(times) // 100], 0.001)

        self.run_trio(run)

    def test_node_that_decides_alone_orders_by_shares(self):
        self.assertEqual([0, 4, 5], self.run_queue("aaaabc"))

    def test_one_organisation_is_served_in_order_of_arrival(self):
        for organisation in ("", "a"):
            admitted = self.run_queue([organisation] * 6)
            self.assertEqual([0, 1, 2], admitted)


class FleetTest(TestCase):
    def run_fleet(self, check, count):
        async def run():
            fleet = Fleet(self.make_clock(), count, engines=tuple("abcdef"))
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                await check(fleet)
                nursery.cancel_scope.cancel()

        self.run_trio(run)

    def assert_shares(self, fleet, scheduler):
        """Checks a scheduler's shares against what runs in the fleet."""
        actual = Counter()
        for node in fleet.nodes:
            actual.update(node.pool.loads.usage.list_costs())
        generation = make_generation_state(1000, output_tokens=400)
        for name, cost in actual.items():
            service = scheduler.queue.shares.get_service(name)
            self.assertAlmostEqual(
                cost, service, delta=estimate_cost(generation)
            )

    async def place_all(self, fleet, count):
        for number in range(count):
            nodes = [node for node in fleet.nodes if not node.is_down]
            await nodes[number % len(nodes)].place(
                tokens=1000, organisation="abc"[number % 3]
            )

    def test_shares_outlast_a_scheduler(self):
        """Failure: the scheduler is cut off or frozen, and comes back."""

        async def check(fleet):
            await self.place_all(fleet, 12)
            await trio.sleep(0.1)
            first = fleet.find_scheduler()
            second = fleet.find_scheduler(1)
            # Two at a time have the same shares.
            self.assert_shares(fleet, first)
            self.assert_shares(fleet, second)
            first.is_down = True
            await self.place_all(fleet, 6)
            await trio.sleep(0.1)
            self.assert_shares(fleet, second)
            first.is_down = False
            await trio.sleep(0.05)
            self.assert_shares(fleet, first)

        self.run_fleet(check, 6)


ORGANISATIONS = [f"o{number:02}" for number in range(12)]
USUAL_RATE = 0.45
"""Five generations per second, of 8.5 that the engines can serve."""
SURGE_RATE = 8.0
"""One organisation at ten times its usual rate."""


class PlayedSharesTest(TestCase):
    """Load: one of twelve organisations asks for all of what engines serve."""

    plays: ClassVar[dict[int, PlayedLoad]] = {}

    def play(self, *, repeats=0):
        if repeats in self.plays:
            return self.plays[repeats]
        rates = dict.fromkeys(ORGANISATIONS, USUAL_RATE)
        rates["o00"] = SURGE_RATE
        load = PlayedLoad(rates, seed=1, seconds=25, repeats={"o00": repeats})

        async def run():
            await load.play(self.make_clock())

        self.run_trio(run)
        self.plays[repeats] = load
        return load

    def test_served_shares_are_even(self):
        load = self.play()
        # The load is more than the engines can take.
        self.assertGreater(load.refused.total(), 0.1 * load.asked.total())
        index = compute_fairness(load.asked, load.served)
        self.assertGreaterEqual(index, 0.9)
        in_objective = load.served.total()
        self.assertGreaterEqual(
            in_objective, 0.95 * (in_objective + load.late.total())
        )
        for engine in load.engines.values():
            self.assertLess(engine.peak_tokens, ENGINE_SPEC.memory_tokens)

    def test_organisation_below_its_share_is_not_refused(self):
        load = self.play()
        refused = sum(load.refused[name] for name in ORGANISATIONS[1:])
        self.assertEqual(0, refused)

    def test_repeats_do_not_change_the_shares_of_others(self):
        usual, repeated = self.play(), self.play(repeats=10)
        others = ORGANISATIONS[1:]
        shares = [
            sum(load.served[name] for name in others)
            / sum(load.asked[name] for name in others)
            for load in (usual, repeated)
        ]
        self.assertAlmostEqual(shares[0], shares[1], delta=0.05 * shares[0])
