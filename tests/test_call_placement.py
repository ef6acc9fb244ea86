"""Where the scheduler places calls, whom it queues and whom it refuses."""

from dataclasses import replace
from datetime import timedelta

import trio

from acaciarack.gateway.scheduling.call_loads import (
    GRANT_TIMEOUT,
    MAX_TARGETS,
    CallGrant,
)
from acaciarack.gateway.scheduling.call_placement import (
    MAX_QUEUED_CALLS,
    CallPlacement,
    CallRequest,
)
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.rate_limits import REFRESH_TIME
from tests.call_fakes import FakePaces, make_sample
from tests.gateway_fakes import make_pool, make_target
from tests.support import TestCase

WORK = 0.07


class CallPlacementTest(TestCase):
    def place(self, play, *, usual=None, targets=None):
        """Runs ``play`` with targets a, b and c, all equal by default."""

        async def run():
            clock = self.make_clock()
            self.clock = clock
            self.targets = targets or [make_target(n) for n in "abc"]
            self.paces = FakePaces(clock, usual or {})
            self.pool = make_pool(clock, *self.targets, paces=self.paces)
            self.placement = CallPlacement(clock=clock, pool=self.pool)
            for target in self.targets:
                factor = (usual or {}).get(target.id, 1.0)
                self.placement.loads.observe(
                    make_sample(target, work=WORK, slowdown=factor, load=(0, 0))
                )
            async with trio.open_nursery() as self.nursery:
                await play()
                self.nursery.cancel_scope.cancel()

        self.run_trio(run)

    def make_request(self, *, objective=0.3, deadline=4.0, **fields):
        now = self.clock.elapsed()
        defaults = {
            "service": "application",
            "rank": (0,),
            "objective": now + timedelta(seconds=objective),
            "deadline": now + timedelta(seconds=deadline),
            "data_centre": "oslo-a",
        }
        return CallRequest(**{**defaults, **fields})

    async def grant(self, **fields):
        outcome = await self.placement.place(self.make_request(**fields))
        self.assertIsInstance(outcome, CallGrant)
        return outcome

    async def grant_many(self, count, **fields):
        return [await self.grant(**fields) for _ in range(count)]

    def count(self, grants, name):
        return sum(g.instance.target.id == name for g in grants)

    def test_equal_targets_get_equal_shares(self):
        async def play():
            grants = await self.grant_many(12)
            for name in "abc":
                self.assertEqual(4, self.count(grants, name))

        self.place(play)

    def test_fast_target_is_filled_first(self):
        async def play():
            grants = await self.grant_many(6)
            self.assertEqual(6, self.count(grants, "b"))

        self.place(play, usual={"a": 1.0, "b": 0.6, "c": 1.6})

    def test_target_in_a_slowdown_period_gets_no_call(self):
        async def play():
            a = self.targets[0]
            self.placement.loads.observe(
                make_sample(a, load=(0, 0), slowdown=2.5)
            )
            self.assertEqual(0, self.count(await self.grant_many(6), "a"))
            # What was reported a while ago tells little of the present.
            await trio.sleep(10)
            self.assertEqual(2, self.count(await self.grant_many(6), "a"))

        self.place(play)

    def test_reported_load_includes_own_grants(self):
        """Calls of other nodes count once; those granted here not twice."""

        async def play():
            a = self.targets[0]
            await self.grant_many(3, exclude=frozenset("bc"))
            await trio.sleep(0.05)
            self.placement.loads.observe(make_sample(a, load=(3, 0)))
            self.assertEqual(1, self.count(await self.grant_many(9), "a"))
            self.placement.loads.observe(make_sample(a, load=(6, 6)))
            self.assertEqual(0, self.count(await self.grant_many(4), "a"))

        self.place(play)

    def test_load_that_others_put_on_a_target_is_forgotten(self):
        async def play():
            a = self.targets[0]
            self.placement.loads.observe(make_sample(a, load=(6, 6)))
            await trio.sleep(3)
            self.assertEqual(2, self.count(await self.grant_many(6), "a"))

        self.place(play)

    def test_false_figures_neither_attract_all_calls_nor_repel_them_forever(
        self,
    ):
        async def play():
            a, b, _ = self.targets
            for load in ((10**9, 10**9), (0, 10**9), (10**9, 0)):
                self.placement.loads.observe(
                    make_sample(a, load=load, work=10**9)
                )
            for _ in range(20):
                self.placement.loads.observe(
                    make_sample(b, load=(0, 0), work=1e-9)
                )
            grants = await self.grant_many(12)
            self.assertEqual(6, self.count(grants, "b"))
            self.assertEqual(6, self.count(grants, "c"))
            await trio.sleep(5)
            self.assertEqual(4, self.count(await self.grant_many(12), "a"))

        self.place(play)

    def test_tried_targets_are_excluded_unless_all_were_tried(self):
        async def play():
            for _ in range(6):
                grant = await self.grant(exclude=frozenset("ab"))
                self.assertEqual("c", grant.instance.target.id)
            await self.grant(exclude=frozenset("abc"))

        self.place(play)

    def test_failing_target_is_avoided(self):
        async def play():
            self.pool.failure_tracker.record_failure("a")
            self.assertEqual(0, self.count(await self.grant_many(4), "a"))
            self.pool.failure_tracker.record_failure("a", weight=3)
            self.assertEqual(0, self.count(await self.grant_many(8), "a"))

        self.place(play)

    def test_limited_target_gets_a_call_when_one_is_due_or_others_are_full(
        self,
    ):
        async def play():
            a = get_lifetime(self.targets[0])
            limits = self.pool.target_table.rate_limits
            limits.observe(a, 2.0, self.clock.elapsed())
            await trio.sleep(1)
            self.assertEqual(0, self.count(await self.grant_many(6), "a"))
            self.assertEqual(1, self.count(await self.fill(), "a"))
            await trio.sleep(REFRESH_TIME.total_seconds())
            self.assertEqual(1, self.count(await self.grant_many(3), "a"))

        self.place(play)

    def test_data_centre_decides_only_between_equal_ends(self):
        async def play():
            grant = await self.grant(data_centre="oslo-b")
            self.assertEqual("b", grant.instance.target.id)
            grants = await self.grant_many(11, data_centre="oslo-b")
            self.assertEqual(6, self.count([grant, *grants], "b"))

        a, b = make_target("a"), make_target("b", data_centre="oslo-b")
        self.place(play, targets=[a, b])

    def test_grant_whose_end_is_not_reported_counts_for_a_while(self):
        """A node dies with its grants, or the withdrawal is lost."""

        async def play():
            await self.grant_many(4, exclude=frozenset("bc"))
            self.assertEqual(0, self.count(await self.grant_many(4), "a"))
            await trio.sleep(GRANT_TIMEOUT.total_seconds() + 0.01)
            self.assertEqual(2, self.count(await self.grant_many(6), "a"))

        self.place(play)

    def test_restarted_target_starts_anew(self):
        async def play():
            await self.grant_many(5, exclude=frozenset("bc"))
            self.pool.target_table.put(replace(self.targets[0], born=2000))
            grants = await self.grant_many(3)
            self.assertEqual(1, self.count(grants, "a"))

        self.place(play)

    def test_state_is_bounded(self):
        async def play():
            for number in range(3 * MAX_TARGETS):
                target = make_target("a", born=2000 + number)
                self.pool.target_table.put(target)
                self.placement.loads.observe(make_sample(target, load=(6, 6)))
            self.assertLessEqual(
                self.placement.loads.count_targets(), MAX_TARGETS
            )
            # Targets in use are not forgotten for those that are gone.
            await self.grant_many(2)
            self.assertEqual(0, self.count(await self.grant_many(4), "a"))

        self.place(play)

    async def fill(self):
        """Fills all targets; returns the grants."""
        grants = []
        while True:
            with trio.move_on_after(0) as scope:
                grants.append(await self.grant())
            if scope.cancelled_caught:
                return grants

    async def queue(self, name, started, **fields):
        await self.grant(**fields)
        started.append(name)

    def test_queue_is_ordered_by_priority_then_by_time_left(self):
        async def play():
            grants = await self.fill()
            started = []
            for name, rank, objective in (
                ("low", 1, 0.1),
                ("late", 0, 0.9),
                ("soon", 0, 0.2),
            ):
                self.nursery.start_soon(
                    lambda n=name, r=rank, o=objective: self.queue(
                        n, started, rank=(r,), objective=o
                    )
                )
                await trio.sleep(0.001)
            for grant in grants[:3]:
                self.placement.end(grant)
                await trio.sleep(0.001)
            self.assertEqual(["soon", "late", "low"], started)

        self.place(play)

    def test_queued_call_waits_for_a_fast_target_rather_than_start_late(self):
        """The slow target is free, but would end the call later."""

        async def play():
            grants = await self.grant_many(6)
            self.assertEqual(6, self.count(grants, "a"))
            started = []
            for name in "xyz":
                self.nursery.start_soon(self.queue, name, started)
            await trio.sleep(0.001)
            # One call more than slots covers the time that reports take.
            self.assertEqual(1, len(started))
            for grant in grants:
                self.placement.end(grant)
            await trio.sleep(0.001)
            self.assertEqual(3, len(started))

        targets = [make_target("a"), make_target("c")]
        self.place(play, targets=targets, usual={"c": 4.0})

    def test_call_that_cannot_start_in_time_is_refused_at_once(self):
        async def play():
            await self.fill()
            for _ in range(100):
                self.nursery.start_soon(self.queue, "x", [])
            await trio.sleep(0.001)
            before = self.clock.elapsed()
            refusal = await self.placement.place(
                self.make_request(deadline=0.1)
            )
            self.assertEqual(before, self.clock.elapsed())
            self.assertNotIsInstance(refusal, CallGrant)
            # 18 slots free 257 places a second, and 100 calls are ahead.
            seconds = refusal.retry_after.total_seconds()
            self.assertTrue(0.3 < seconds < 0.6, seconds)

        self.place(play)

    def test_queue_is_bounded(self):
        async def play():
            await self.fill()
            for _ in range(MAX_QUEUED_CALLS):
                self.nursery.start_soon(
                    self.placement.place, self.make_request(deadline=100)
                )
            await trio.sleep(0.001)
            refusal = await self.placement.place(
                self.make_request(deadline=100)
            )
            self.assertNotIsInstance(refusal, CallGrant)

        self.place(play)

    def test_service_without_targets_refuses_at_once(self):
        async def play():
            refusal = await self.placement.place(
                self.make_request(service="unknown")
            )
            self.assertNotIsInstance(refusal, CallGrant)
            self.assertGreater(refusal.retry_after, timedelta(0))

        self.place(play)
