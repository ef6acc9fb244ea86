"""Decisions about the request rates that targets name, without a network."""

import random
from datetime import timedelta

import trio

from acaciarack.gateway.peers.messages import decode_heartbeat, encode_heartbeat
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import AnswerNotice
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.rate_limits import (
    MAX_DEFERRAL,
    MAX_LIMITS,
    RateLimits,
)
from tests.gateway_fakes import (
    FakeResponse,
    FakeTargets,
    make_call,
    make_call_server,
    make_generation_state,
    make_head,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.support import TestCase
from tests.test_gateway_peers import make_heartbeat, make_node
from tests.test_request_quarantine import ManualClock

WINDOW_SECONDS = 4.0
TARGET = TargetLifetime(id="s", born=1)
MAX_NOTICE_BYTES = 350
"""A quarter of a datagram, so that loads and records still fit."""


def get_allowed(rate):
    """Returns the stated number of requests in a window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


def count_most(times):
    """Returns the largest number of times in a window."""
    return max(
        (sum(t <= u < t + WINDOW_SECONDS for u in times) for t in times),
        default=0,
    )


class RateLimitsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()

    def make_limits(self):
        return RateLimits(clock=self.clock)

    def observe(self, limits, rate, *, ago=0.0):
        sent_at = self.clock.elapsed() - timedelta(seconds=ago)
        limits.observe(TARGET, rate, sent_at)

    def exchange(self, sender, receiver):
        heartbeat = make_heartbeat(
            make_node("n"), limits=sender.list_for_broadcast()
        )
        receiver.merge(decode_heartbeat(encode_heartbeat(heartbeat)).limits)

    def test_requests_stay_under_the_limit_also_when_schedulers_alternate(self):
        for seed in range(50):
            self.play_schedulers(seed)

    def play_schedulers(self, seed):
        """Plays two schedulers, of which one at a time hands out requests."""
        rng = random.Random(seed)
        rate = rng.choice([0.0, 0.3, 1.0, 2.9, 20.0])
        schedulers = [self.make_limits(), self.make_limits()]
        for limits in schedulers:
            self.observe(limits, rate)
        active, sent = 0, []
        for _ in range(400):
            self.clock.advance(rng.uniform(0, 0.2))
            if rng.random() < 0.02:
                active = 1 - active
            if rng.random() < 0.02:
                # The node restarted and learned of the limit again.
                schedulers[active] = self.make_limits()
                self.observe(schedulers[active], rate)
            for _ in range(rng.randrange(30)):
                if schedulers[active].has_token(TARGET):
                    schedulers[active].take(TARGET)
                    sent.append(self.clock.elapsed().total_seconds())
        self.assertLessEqual(count_most(sent), get_allowed(rate), seed)
        self.assertGreater(len(sent), 0, seed)

    def test_newest_answer_decides_on_all_nodes(self):
        first, second = self.make_limits(), self.make_limits()
        self.observe(first, 2.5)
        self.exchange(first, second)
        self.assertTrue(second.is_limited(TARGET))
        self.clock.advance(1)
        self.observe(second, None)
        self.exchange(first, second)
        self.assertFalse(second.is_limited(TARGET))
        self.exchange(second, first)
        self.assertFalse(first.is_limited(TARGET))

    def test_late_answer_to_an_earlier_request_changes_nothing(self):
        limits = self.make_limits()
        self.observe(limits, 2.5)
        self.clock.advance(0.1)
        self.observe(limits, None, ago=0.5)
        self.assertTrue(limits.is_limited(TARGET))

    def test_peers_hear_of_a_limit_and_of_its_end_at_once(self):
        limits = self.make_limits()
        calls = []
        limits.subscribe(lambda: calls.append(self.clock.elapsed()))
        for rate in (None, 2.5, 2.5, 2.45, None, None):
            self.clock.advance(0.1)
            self.observe(limits, rate)
        self.assertEqual(2, len(calls))

    def test_restarted_target_is_not_limited(self):
        limits = self.make_limits()
        self.observe(limits, 2.5)
        restarted = TargetLifetime(id=TARGET.id, born=2)
        self.assertFalse(limits.is_limited(restarted))
        self.assertTrue(limits.has_token(restarted))

    def test_refused_callers_are_asked_to_return_at_the_limit_s_rate(self):
        limits = self.make_limits()
        self.observe(limits, 2.0)
        times = [limits.defer("app", [TARGET]) for _ in range(100)]
        self.assertEqual(timedelta(seconds=0.5), times[0])
        self.assertEqual(timedelta(seconds=2), times[3])
        self.assertEqual(MAX_DEFERRAL, times[-1])
        self.clock.advance(20)
        self.assertEqual(times[0], limits.defer("app", [TARGET]))

    def test_memory_and_messages_are_bounded(self):
        limits = self.make_limits()
        for number in range(4 * MAX_LIMITS):
            target = TargetLifetime(
                id=f"i-{number:010}", born=1_700_000_000_000
            )
            limits.observe(target, 2.123456, self.clock.elapsed())
        empty = encode_heartbeat(make_heartbeat(make_node("n")))
        full = encode_heartbeat(
            make_heartbeat(make_node("n"), limits=limits.list_for_broadcast())
        )
        self.assertLess(len(full) - len(empty), MAX_NOTICE_BYTES)
        self.assertLessEqual(len(limits._limits), MAX_LIMITS)


def name_limit(pool, name, rate):
    """Handles an answer of a target that names a limit."""
    address = pool.target_table.get(name).target.address
    pool.target_table.begin_call(address)(AnswerNotice(rate_limit=rate))


def respond():
    return FakeResponse(make_head(), body=b"whole")


class LimitedPoolTest(TestCase):
    def test_calls_avoid_limited_targets_while_others_have_slots(self):
        async def run():
            clock = self.make_clock()
            targets = FakeTargets(a=respond, b=respond)
            pool = make_pool(clock, make_target("a"), make_target("b"))
            calls, _ = make_call_server(clock, pool, targets)
            name_limit(pool, "a", 2.0)
            for _ in range(10):
                await calls.serve(make_call(clock, RouteKind.IDEMPOTENT))
            self.assertEqual({"b"}, set(targets.sends))
            # The scheduler asks the limited target again after a while.
            await trio.sleep(3)
            for _ in range(10):
                await calls.serve(make_call(clock, RouteKind.IDEMPOTENT))
            self.assertIn(targets.sends.count("a"), (1, 2))

        self.run_trio(run)

    def test_generations_go_to_a_limited_engine_at_its_rate(self):
        async def run():
            clock = self.make_clock()
            engine = make_target("a", service="engines", slots=24)
            pool = make_pool(clock, engine)
            placer = make_placer(clock, pool)
            name_limit(pool, "a", 2.0)
            placed = []

            async def place():
                generation = make_generation_state(100, output_tokens=10)
                placement = await placer.place(
                    make_placement_request(clock, generation, limit=30)
                )
                if placement.instance is not None:
                    placed.append(clock.elapsed().total_seconds())

            async with trio.open_nursery() as nursery:
                for _ in range(40):
                    nursery.start_soon(place)
                await trio.sleep(10)
                nursery.cancel_scope.cancel()
            self.assertLessEqual(count_most(placed), get_allowed(2.0))
            self.assertGreater(len(placed), 15)

        self.run_trio(run)

    def test_generation_over_the_limits_of_all_engines_is_refused_at_once(self):
        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a", service="engines"))
            placer = make_placer(clock, pool)
            name_limit(pool, "a", 2.0)
            refusals = []

            async def place():
                generation = make_generation_state(100, output_tokens=10)
                placement = await placer.place(
                    make_placement_request(clock, generation, limit=1)
                )
                if placement.instance is None:
                    refusals.append((clock.elapsed(), placement.retry_after))

            started_at = clock.elapsed()
            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    nursery.start_soon(place)
            at_once = [time for time, _ in refusals if time == started_at]
            self.assertGreaterEqual(len(at_once), 16)
            # Each one has its own turn, half a second after the one before.
            self.assertGreater(max(refusals)[1], timedelta(seconds=7))

        self.run_trio(run)

    def test_node_without_a_scheduler_avoids_limited_engines(self):
        async def run():
            clock = self.make_clock()
            engines = [
                make_target(name, service="engines", slots=24)
                for name in ("a", "b")
            ]
            pool = make_pool(clock, *engines)
            placer = make_placer(clock, pool)
            name_limit(pool, "a", 5.0)
            await trio.sleep(5)
            for _ in range(5):
                placement = await placer.place(
                    make_placement_request(
                        clock,
                        make_generation_state(100, output_tokens=10),
                        limit=1,
                        avoids_limited=True,
                    )
                )
                self.assertEqual("b", placement.instance.target.id)

        self.run_trio(run)
