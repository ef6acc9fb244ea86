"""What a generation costs on an engine, and the choice of engines."""

import random
from dataclasses import replace
from datetime import timedelta

import trio
from hypothesis import given
from hypothesis import strategies as st

from acaciarack.gateway.capacity.loads import Load
from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.engine_costs import estimate_cost
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.pace import USUAL_PACE, Pace
from acaciarack.gateway.targets.target_selection import (
    PREFILL_TOKENS_PER_SECOND,
    SCORE_JITTER,
    Candidate,
    choose_destination,
    choose_engine,
    choose_standby,
    may_admit,
)
from tests.gateway_fakes import (
    ENGINE_SPEC,
    make_generation_state,
    make_load,
    make_pool,
    make_target,
)
from tests.support import TestCase

GAP = timedelta(milliseconds=180)
FAST, USUAL, SLOW = (
    Pace(speed=1 / factor, is_reported=True) for factor in (0.6, 1.0, 1.6)
)
LONG = make_generation_state(3_079, output_tokens=744)
SHORT = make_generation_state(2_550, output_tokens=12)
LONG_RUN = (3_300, 600)


def make_candidates(test, *parts):
    """Returns candidates "a", "b", ... of the given paces and loads."""
    names = "abcdef"[: len(parts)]
    pool = make_pool(
        test.make_clock(), *(make_target(n, service="engines") for n in names)
    )
    return [
        Candidate(instance=pool.target_table.get(name), load=load, pace=pace)
        for name, (pace, load) in zip(names, parts, strict=True)
    ]


def choose(test, generation, *parts, draw=lambda: 0.5, **fields):
    async def run():
        chosen = choose_engine(
            make_candidates(test, *parts),
            spec=ENGINE_SPEC,
            generation=generation,
            data_centre="oslo-a",
            draw=draw,
            **{"gap_objective": GAP, **fields},
        )
        return chosen and chosen.target.id

    return test.run_trio(run)


class EngineCostTest(TestCase):
    def estimate(self, generation, pace, runs=0, **fields):
        load = make_load([LONG_RUN] * runs)
        return estimate_cost(
            generation.build_load(),
            load,
            pace=pace,
            spec=ENGINE_SPEC,
            **{"gap_objective": GAP, **fields},
        )

    def test_pauses_are_those_observed(self):
        """With 12 generations, 264 ms at factor 1.6, and 165 ms at 1.0."""
        slow = self.estimate(LONG, SLOW, runs=11)
        usual = self.estimate(LONG, USUAL, runs=11)
        self.assertAlmostEqual(0.264, slow.pause, delta=0.002)
        self.assertAlmostEqual(0.165, usual.pause, delta=0.002)

    def test_only_streams_on_slow_engines_are_late(self):
        self.assertEqual(0, self.estimate(LONG, FAST, runs=6).late)
        self.assertEqual(0, self.estimate(LONG, USUAL, runs=6).late)
        self.assertGreater(self.estimate(LONG, SLOW).late, 0.5)
        self.assertLess(self.estimate(SHORT, SLOW).late, 0.15)

    def test_prompt_harms_the_streams_of_a_slow_engine(self):
        """Each stream there has a long pause if a slowdown period begins."""
        alone = self.estimate(SHORT, SLOW).late
        beside = self.estimate(SHORT, SLOW, runs=4).late
        self.assertGreater(beside - alone, 4 * 0.2)
        slowed = Pace(speed=1 / 1.6, slowdown=2.5, is_reported=True)
        self.assertGreater(
            self.estimate(SHORT, slowed, runs=4).late, alone + 3.9
        )

    def test_route_without_objective_for_pauses(self):
        cost = self.estimate(LONG, SLOW, runs=4, gap_objective=timedelta(0))
        self.assertEqual(0, cost.late)

    def test_late_first_event(self):
        in_time = timedelta(seconds=1.8)
        late = timedelta(seconds=0.5)
        self.assertEqual(
            0, self.estimate(LONG, FAST, time_to_objective=in_time).late
        )
        self.assertEqual(
            1, self.estimate(LONG, SLOW, time_to_objective=late).late
        )

    def test_times_are_at_the_engine_s_pace(self):
        fast, slow = self.estimate(LONG, FAST), self.estimate(LONG, SLOW)
        self.assertAlmostEqual(
            1.6 / 0.6, slow.first_event / fast.first_event, places=3
        )
        self.assertAlmostEqual(1.6 / 0.6, slow.held / fast.held, places=3)


class EngineChoiceTest(TestCase):
    def test_long_stream_goes_to_a_fuller_fast_engine(self):
        """On a slow engine, a long stream nearly surely had a long pause."""
        full = make_load([LONG_RUN] * 6)
        self.assertEqual("b", choose(self, LONG, (SLOW, Load()), (FAST, full)))
        self.assertEqual("b", choose(self, LONG, (SLOW, Load()), (USUAL, full)))

    def test_long_stream_prefers_engines_that_have_been_heard_of(self):
        """A third of the engines that start are slow."""
        full = make_load([LONG_RUN] * 6)
        chosen = choose(self, LONG, (USUAL_PACE, Load()), (USUAL, full))
        self.assertEqual("b", chosen)
        chosen = choose(self, LONG, (USUAL_PACE, Load()), (SLOW, Load()))
        self.assertEqual("a", chosen)

    def test_slow_engine_is_used_if_no_other_has_room(self):
        """No capacity is left unused while callers wait."""
        full = make_load([LONG_RUN] * 10)
        self.assertEqual("a", choose(self, LONG, (SLOW, Load()), (FAST, full)))

    def test_prompts_avoid_slow_engines_with_long_streams(self):
        streams = make_load([LONG_RUN] * 2)
        for generation in (LONG, SHORT):
            chosen = choose(self, generation, (SLOW, streams), (SLOW, Load()))
            self.assertEqual("b", chosen)

    def test_short_generations_go_to_idle_slow_engines(self):
        """Their prompts delayed the long streams on the fast engines."""
        busy = make_load([LONG_RUN] * 6)
        chosen = choose(self, SHORT, (SLOW, Load()), (FAST, busy))
        self.assertEqual("a", chosen)

    def test_engine_in_a_slowdown_period_is_avoided(self):
        slowed = Pace(slowdown=2.5, is_reported=True)
        chosen = choose(self, LONG, (slowed, Load()), (USUAL, Load()))
        self.assertEqual("b", chosen)

    def test_prefill_limit_is_at_the_engine_s_pace(self):
        """A slow engine reads a prompt of 3,079 tokens in 0.7 s."""

        async def run():
            pending = make_load([(2_500, 12)], pending=2_500)
            slow, usual = make_candidates(
                self, (SLOW, pending), (USUAL, pending)
            )
            new_load = LONG.build_load()
            self.assertTrue(may_admit(usual, ENGINE_SPEC, new_load, 0.97))
            self.assertFalse(may_admit(slow, ENGINE_SPEC, new_load, 0.97))

        self.run_trio(run)

    def test_slowdowns_lengthen_forecasts_of_waits(self):
        """Refused callers came back before an engine in a slowdown period."""

        async def run():
            pool = make_pool(
                self.make_clock(), make_target("a", service="engines")
            )
            for _ in range(5):
                pool.loads.add_generation("a", replace(LONG))
            usual = pool.forecast_wait("engines", ahead=0)
            lifetime = get_lifetime(pool.target_table.get("a").target)
            for factor in (1.0, 2.5):
                await trio.sleep(1)
                pool.target_table.paces.record(
                    lifetime,
                    ReportedLoad(
                        running=1, waiting=0, slots=24, slowdown=factor
                    ),
                )
            slowed = pool.forecast_wait("engines", ahead=0)
            self.assertAlmostEqual(2.5, slowed / usual)

        self.run_trio(run)

    @given(
        runs=st.lists(st.integers(0, 8), min_size=1, max_size=6),
        seed=st.integers(0, 10**6),
    )
    def test_nothing_changes_without_factors(self, runs, seed):
        """Other deployments keep their decisions, score by score."""
        loads = [make_load([LONG_RUN] * n, pending=300 * n) for n in runs]
        rng = random.Random(seed)
        scores = {}
        for name, load in zip("abcdef", loads, strict=False):
            prompts = load.pending + LONG.prompt.tokens
            peak = (load + LONG.build_load()).forecast_peak()
            if load.requests and (
                peak > 0.97 * ENGINE_SPEC.memory_tokens
                or (load.pending and prompts / 7000 > 0.8)
            ):
                continue
            scores[name] = (
                load.pending / PREFILL_TOKENS_PER_SECOND
                + load.expected / ENGINE_SPEC.memory_tokens / 2
                + SCORE_JITTER * rng.random()
            )
        expected = min(scores, key=scores.get) if scores else None
        parts = [(USUAL_PACE, load) for load in loads]
        draw = random.Random(seed).random
        self.assertEqual(expected, choose(self, LONG, *parts, draw=draw))


class CopyChoiceTest(TestCase):
    """The engines for copies of a long stream that runs."""

    def choose(self, function, *parts, far=()):
        async def run():
            stream = make_generation_state(3_079, output_tokens=744)
            stream.emitted = 40
            chosen = function(
                [
                    self.move(candidate, far)
                    for candidate in make_candidates(self, *parts)
                ],
                spec=ENGINE_SPEC,
                generation=stream,
                data_centre="oslo-a",
                gap_objective=GAP,
            )
            return chosen and chosen.target.id

        return self.run_trio(run)

    def move(self, candidate, far):
        instance = candidate.instance
        if instance.target.id in far:
            instance.target = replace(instance.target, data_centre="hamar-c")
        return candidate

    def test_copies_avoid_slow_engines(self):
        """A stream that migrated to a slow engine had long pauses there."""
        busy = make_load([LONG_RUN] * 4)
        for function in (choose_destination, choose_standby):
            chosen = self.choose(function, (SLOW, Load()), (USUAL, busy))
            self.assertEqual("b", chosen)

    def test_slow_engine_saves_a_stream_if_no_other_has_room(self):
        full = make_load([LONG_RUN] * 10)
        chosen = self.choose(choose_destination, (SLOW, Load()), (FAST, full))
        self.assertEqual("a", chosen)

    def test_migration_stays_in_its_data_centre(self):
        """A migration to another one does not end within the notice."""
        parts = ((SLOW, Load()), (FAST, Load()))
        chosen = self.choose(choose_destination, *parts, far={"b"})
        self.assertEqual("a", chosen)
        # A standby copy is made long before it is needed.
        chosen = self.choose(choose_standby, *parts, far={"b"})
        self.assertEqual("b", chosen)

    def test_nothing_changes_without_factors(self):
        busy = make_load([LONG_RUN] * 4)
        for function in (choose_destination, choose_standby):
            chosen = self.choose(
                function, (USUAL_PACE, Load()), (USUAL_PACE, busy)
            )
            self.assertEqual("a", chosen)
