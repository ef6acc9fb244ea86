"""Fair shares of organisations in the queue of generations."""

import time
from datetime import timedelta

import trio

from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.capacity.usage import estimate_cost
from acaciarack.gateway.scheduling.shares import (
    BURST,
    Shares,
    estimate_usage,
)
from tests.gateway_fakes import (
    make_generation_state,
    make_load,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.support import TestCase


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


SECOND = timedelta(seconds=1)


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

    def test_node_that_decides_alone_orders_by_shares(self):
        self.assertEqual([0, 4, 5], self.run_queue("aaaabc"))

    def test_one_organisation_is_served_in_order_of_arrival(self):
        for organisation in ("", "a"):
            admitted = self.run_queue([organisation] * 6)
            self.assertEqual([0, 1, 2], admitted)
