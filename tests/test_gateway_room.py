"""Tests of memory forecasts, output estimates, and the queue for capacity."""

import random

import trio

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.capacity.memory_profile import (
    EMPTY_PROFILE,
    build_profile,
    decode_profile,
    encode_profile,
)
from acaciarack.gateway.capacity.output_lengths import estimate_output
from acaciarack.gateway.meters import NullMeters
from acaciarack.gateway.migration.copies import Copier
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.targets import target_selection
from tests.gateway_fakes import (
    ENGINE_SPEC,
    make_generation,
    make_generation_state,
    make_load,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.support import TestCase


class MemoryProfileTest(TestCase):
    def simulate_peak(self, generations):
        """Returns the peak memory of a simulation token by token."""
        return max(
            sum(
                used + time
                for used, remaining in generations
                if remaining >= time
            )
            for time in range(max(r for _, r in generations) + 1)
        )

    def test_forecast_peak_matches_simulation(self):
        """Forecasts 3 to 12 generations that use 2,000 to 5,000 tokens each.

        Up to 2,000 output tokens remain for each.
        """
        rng = random.Random(3)
        errors = []
        for _ in range(300):
            generations = [
                (rng.randrange(2000, 5000), rng.randrange(1, 2000))
                for _ in range(rng.randrange(3, 13))
            ]
            peak = self.simulate_peak(generations)
            errors.append(build_profile(generations).forecast_peak() / peak - 1)
        self.assertLess(max(errors), 0.25)
        self.assertGreater(min(errors), -0.1)
        self.assertLess(abs(sum(errors) / len(errors)), 0.05)

    def test_profiles_add_and_subtract(self):
        generations = [(3000, 50), (2000, 700), (2500, 9000)]
        parts = [build_profile([generation]) for generation in generations]
        self.assertEqual(
            build_profile(generations), sum(parts, start=EMPTY_PROFILE)
        )
        self.assertEqual(
            build_profile(generations[1:]),
            build_profile(generations) - build_profile(generations[:1]),
        )
        self.assertFalse(parts[0] - parts[0])

    def test_encoded_profile_is_decoded(self):
        profile = build_profile([(3000, 50), (2000, 700)])
        self.assertEqual(profile, decode_profile(encode_profile(profile)))
        self.assertRaises(ValueError, decode_profile, [1, 2, 3])


class OutputEstimateTest(TestCase):
    """Output lengths are log-normal; estimates are off by a factor of e."""

    def generate_outputs(self, count):
        """Yields the limit, the caller's estimate and the length of outputs."""
        rng = random.Random(5)
        for _ in range(count):
            length = min(2196, round(rng.lognormvariate(6.1, 1.0)) + 1)
            hint = round(length * rng.lognormvariate(0, 1.0)) + 1
            yield 2196, hint, length

    def test_estimates_match_actual_lengths(self):
        estimated = actual = hinted = 0
        for limit, hint, length in self.generate_outputs(3000):
            estimated += estimate_output(max_tokens=limit, hint=hint, emitted=0)
            hinted += min(limit, hint)
            actual += length
        self.assertAlmostEqual(1, estimated / actual, delta=0.1)
        self.assertGreater(hinted / actual, 1.1)

    def test_received_tokens_exclude_shorter_outputs(self):
        for emitted in (100, 400, 1500):
            estimated = actual = 0
            for limit, hint, length in self.generate_outputs(6000):
                if length > emitted:
                    estimated += estimate_output(
                        max_tokens=limit, hint=hint, emitted=emitted
                    )
                    actual += length
            self.assertAlmostEqual(1, estimated / actual, delta=0.1)

    def test_estimate_exceeds_received_tokens_but_not_the_limit(self):
        for hint in (None, 1, 300, 10**9):
            for emitted in (0, 4, 500, 2195, 2196, 2200):
                estimated = estimate_output(
                    max_tokens=2196, hint=hint, emitted=emitted
                )
                self.assertLessEqual(estimated, max(2196, emitted))
                if emitted < 2196:
                    self.assertGreater(estimated, emitted)


class MigrationReserveTest(TestCase):
    """An engine with five generations leaves; the others are nearly full."""

    def make_pool(self):
        targets = (make_target(name, service="engines") for name in "abc")
        pool = make_pool(self.make_clock(), *targets)
        loads = {name: make_load([(3200, 500)] * 5) for name in "abc"}
        pool.loads.update_peer("n", loads)
        return pool

    def choose(self, pool, *, tokens):
        generation = make_generation_state(tokens, output_tokens=500)
        chosen = target_selection.choose_engine(
            pool.list_generation_candidates("engines"),
            spec=ENGINE_SPEC,
            generation=generation,
            data_centre="oslo-a",
            draw=lambda: 0.5,
        )
        return chosen and chosen.target.id

    def test_memory_is_reserved_when_an_engine_leaves(self):
        async def run():
            pool = self.make_pool()
            self.assertIsNotNone(self.choose(pool, tokens=9000))
            pool.target_table.mark_leaving("a", "notice")
            self.assertIsNone(self.choose(pool, tokens=9000))
            self.assertIsNotNone(self.choose(pool, tokens=3000))

        self.run_trio(run)

    def test_reserve_ends_when_the_engine_has_no_generations(self):
        async def run():
            pool = self.make_pool()
            pool.target_table.mark_leaving("a", "notice")
            pool.loads.update_peer("n", {"b": make_load([(3200, 500)] * 5)})
            self.assertEqual("c", self.choose(pool, tokens=9000))

        self.run_trio(run)

    def test_reserve_ends_some_time_after_the_departure(self):
        async def run():
            pool = self.make_pool()
            pool.target_table.drop("a")
            loads = {name: make_load([(3200, 500)] * 5) for name in "abc"}
            for _ in range(4):
                await trio.sleep(1)
                pool.loads.update_peer("n", loads)
            self.assertIsNotNone(self.choose(pool, tokens=9000))

        self.run_trio(run)


class QueueTest(TestCase):
    """Short and long generations wait for a full engine.

    When the engine has memory again, it can prefill two prompts within the
    allowed delay.
    """

    def run_queue(self, lengths, running=4):
        """Returns the lengths of the admitted generations, in order.

        Args:
            lengths: the expected output tokens of the queued generations.
            running: generations that run on the engine once it has memory.
        """
        admitted = []

        async def wait(clock, pool, placer, length):
            generation = make_generation_state(2000, output_tokens=length)
            placement = await placer.place(
                make_placement_request(clock, generation, limit=2)
            )
            if placement.instance is not None:
                admitted.append(length)
                pool.loads.add_generation("a", generation)

        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a", service="engines"))
            placer = make_placer(clock, pool)
            full = {"a": make_load([(3000, 1900)] * 11)}
            pool.loads.update_peer("n", full)
            async with trio.open_nursery() as nursery:
                for length in lengths:
                    nursery.start_soon(wait, clock, pool, placer, length)
                    await trio.sleep(0.01)
                await trio.sleep(0.1)
                self.assertEqual([], admitted)
                pool.loads.update_peer(
                    "n", {"a": make_load([(3000, 1900)] * running)}
                )
                await trio.sleep(0.1)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return admitted

    def test_short_generations_go_first(self):
        self.assertEqual([20, 1500], self.run_queue([1500, 900, 20, 400]))

    def test_long_generations_go_in_order_of_arrival(self):
        self.assertEqual([900, 310], self.run_queue([900, 310, 1500, 320]))

    def test_long_generations_leave_headroom(self):
        """Seven running generations will need nearly all memory at their ends.

        Of the queued generations, only short ones may use the rest.
        """
        self.assertEqual([], self.run_queue([300, 400], running=7))
        self.assertEqual([20, 30], self.run_queue([20, 30], running=7))


class CopierTest(TestCase):
    def test_generation_counts_only_where_memory_is_reserved(self):
        """A generation gets a destination for its migration and loses it."""

        async def run():
            clock = self.make_clock()
            pool = make_pool(
                clock,
                make_target("a", service="engines"),
                make_target("b", service="engines"),
            )
            copier = Copier(pool=pool, targets=None, meters=NullMeters())
            task = make_generation(clock)
            moved = Run(
                task=task,
                spec=ENGINE_SPEC,
                generation=Generation(prompt=task.request.prompt),
                instance=pool.target_table.get("a"),
            )
            pool.loads.add_generation("a", moved.generation)
            copier.reserve(moved, pool.target_table.get("b"))
            self.assertEqual(["b"], list(pool.loads.list_local()))
            copier.release(moved)
            self.assertEqual(["a"], list(pool.loads.list_local()))

        self.run_trio(run)
