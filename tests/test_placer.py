import random
from datetime import timedelta

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.admission import AdmissionSettings
from acaciarack.clock import ManualClock
from acaciarack.configuration import (
    Configuration,
    ModelChoice,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.decisions import DecisionCore
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.health import HealthSettings, TargetHealth
from acaciarack.loads import CacheEvent, LoadReport
from acaciarack.placement import Placement, PlacementRequest
from acaciarack.placer import PlacerSettings, QueueingPlacer
from acaciarack.policies import routing_policies
from acaciarack.prefix_index import PrefixIndex
from tests.support import EPOCH, TestCase

CAPACITY = 10_000
SERVICE = Service(name="s", kind=ServiceKind.GENERATION)
CHOICE = ModelChoice(name="c", service="s", model="m", version="1")


def build_configuration(*, targets=2, policy="predicted_memory"):
    return Configuration(
        version=1,
        organisations={"o": Organisation(name="o")},
        services={"s": SERVICE},
        model_choices={"c": CHOICE},
        routes={"r": Route(name="r", service="s", pool="p", policy=policy)},
        targets={
            f"t{number}": Target(
                name=f"t{number}",
                kind=TargetKind.ENGINE,
                host="127.0.0.1",
                port=1,
                data_centre="d",
                pool="p",
            )
            for number in range(targets)
        },
    )


def build_request(number, configuration, clock, **changes):
    fields = {
        "request_id": f"r{number}",
        "organisation": "o",
        "service": SERVICE,
        "route": configuration.routes["r"],
        "choice": CHOICE,
        "prompt_tokens": 100,
        "max_output_tokens": 1000,
        "arrived": clock.now(),
        "deadline": timedelta(seconds=5),
    }
    return PlacementRequest(**(fields | changes))


def build_report(name, clock, *, used=0, running=0):
    return LoadReport(
        target=name,
        time=clock.now(),
        capacity_tokens=CAPACITY,
        used_tokens=used,
        running=running,
        waiting=0,
        step_seconds=0.04,
    )


def build_component(cls, clock, configuration, unavailable=()):
    return cls(
        clock=clock,
        get_configuration=lambda: configuration,
        is_available=lambda name: name not in unavailable,
        settings=PlacerSettings(admission=AdmissionSettings(quantile=0.9)),
        rng=random.Random(1),
    )


class DecisionCoreTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.lists(
            st.tuples(st.integers(1, 6000), st.integers(0, 2)),
            min_size=1,
            max_size=40,
        ),
        st.integers(1, 3),
    )
    def test_placements_fit_memory_if_reports_are_fresh(self, steps, targets):
        clock = ManualClock(epoch=EPOCH)
        configuration = build_configuration(targets=targets)
        core = build_component(DecisionCore, clock, configuration)
        prompts = {}
        target_by_request = {}
        decided = set()
        for number, (prompt, finishes) in enumerate(steps):
            for name in configuration.targets:
                running_prompts = [
                    prompts[each]
                    for each in target_by_request
                    if target_by_request[each] == name
                ]
                core.record_report(
                    build_report(
                        name,
                        clock,
                        used=sum(running_prompts),
                        running=len(running_prompts),
                    )
                )
            prompts[f"r{number}"] = prompt
            core.add_request(
                build_request(
                    number, configuration, clock, prompt_tokens=prompt
                )
            )
            for each in list(target_by_request)[:finishes]:
                core.finish(each, succeeded=True)
                del target_by_request[each]
            core.advance()
            for decision in core.take_decisions():
                self.assertNotIn(decision.request_id, decided)
                decided.add(decision.request_id)
                if isinstance(decision.outcome, Placement):
                    target_by_request[decision.request_id] = (
                        decision.outcome.target
                    )
            for name in configuration.targets:
                running_prompts = [
                    prompts[each]
                    for each in target_by_request
                    if target_by_request[each] == name
                ]
                self.assertTrue(
                    sum(running_prompts) <= CAPACITY
                    or len(running_prompts) == 1
                )
            clock.advance(timedelta(milliseconds=100))
        clock.advance(timedelta(seconds=10))
        core.advance()
        decided |= {each.request_id for each in core.take_decisions()}
        self.assertEqual(set(prompts), decided)

    def test_repeatedly_failing_target_is_ejected_temporarily(self):
        clock = ManualClock(epoch=EPOCH)
        configuration = build_configuration(targets=2, policy="round_robin")
        core = build_component(DecisionCore, clock, configuration)
        chosen = []
        for number in range(40):
            core.add_request(build_request(number, configuration, clock))
            [decision] = core.take_decisions()
            chosen.append(decision.outcome.target)
            failed = decision.outcome.target == "t0"
            core.finish(decision.request_id, succeeded=not failed)
        self.assertEqual(3, chosen.count("t0"))
        clock.advance(timedelta(seconds=3))
        core.add_request(build_request(99, configuration, clock))
        core.add_request(build_request(98, configuration, clock))
        chosen_after_ejection = {
            each.outcome.target for each in core.take_decisions()
        }
        self.assertEqual({"t0", "t1"}, chosen_after_ejection)

    def test_retries_are_refused_if_no_request_succeeds(self):
        clock = ManualClock(epoch=EPOCH)
        configuration = build_configuration()
        core = build_component(DecisionCore, clock, configuration)
        for number in range(50):
            core.add_request(
                build_request(
                    number, configuration, clock, attempt=2, generated_tokens=9
                )
            )
            for decision in core.take_decisions():
                core.cancel(decision.request_id)
        core.add_request(
            build_request(
                99, configuration, clock, attempt=2, generated_tokens=9
            )
        )
        [decision] = core.take_decisions()
        self.assertEqual(RefusalCode.OVERLOADED, decision.outcome.code)
        self.assertEqual(RunOutcome.RAN, decision.outcome.outcome)

    def test_each_policy_chooses_an_available_target(self):
        clock = ManualClock(epoch=EPOCH)
        for policy in routing_policies.list_names():
            configuration = build_configuration(policy=policy)
            core = build_component(DecisionCore, clock, configuration, {"t0"})
            core.add_request(build_request(1, configuration, clock))
            [decision] = core.take_decisions()
            self.assertEqual("t1", decision.outcome.target)
            reasons = {
                each.target: each.rejected
                for each in decision.outcome.candidates
            }
            self.assertEqual({"t0": "it is not available", "t1": ""}, reasons)


class QueueingPlacerTest(TestCase):
    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        async def place_on_full_target():
            clock = self.make_clock()
            configuration = build_configuration(targets=1)
            placer = build_component(QueueingPlacer, clock, configuration)
            placer.record_report(
                build_report("t0", clock, used=CAPACITY - 10, running=1)
            )
            start = clock.elapsed()
            request = build_request(1, configuration, clock)
            outcome = await placer.place(request)
            return outcome, clock.elapsed() - start

        outcome, waited = self.run_trio(place_on_full_target)
        self.assertIsInstance(outcome, Refusal)
        self.assertEqual(RunOutcome.NOT_RUN, outcome.outcome)
        self.assertTrue(outcome.retry_after >= timedelta(seconds=1))
        self.assertEqual(timedelta(), waited)

    def test_queued_request_is_placed_when_memory_is_freed(self):
        async def free_and_cancel():
            clock = self.make_clock()
            configuration = build_configuration(targets=1)
            placer = build_component(QueueingPlacer, clock, configuration)
            placer.record_report(build_report("t0", clock))
            outcomes = {}

            async def place(number, prompt):
                # The output is so short that the estimated wait is acceptable.
                request = build_request(
                    number,
                    configuration,
                    clock,
                    prompt_tokens=prompt,
                    max_output_tokens=20,
                )
                outcomes[number] = await placer.place(request)

            async with trio.open_nursery() as nursery:
                await place(1, 8000)
                with trio.move_on_after(0.1):
                    await place(2, 8000)
                nursery.start_soon(place, 3, 7000)
                await trio.sleep(0.1)
                self.assertEqual({1}, set(outcomes))
                placer.finish("r1", succeeded=True)
            self.assertIsInstance(outcomes[3], Placement)
            self.assertNotIn(2, outcomes)
            digest = placer.build_digest()
            self.assertEqual([1], [each.running for each in digest.targets])
            self.assertEqual({}, digest.queued_tokens)

        self.run_trio(free_and_cancel)


class TargetHealthTest(TestCase):
    def test_ejected_target_ramps_up(self):
        health = TargetHealth(settings=HealthSettings())
        now = timedelta(seconds=100)
        for _ in range(3):
            health.record_failure(now)
        self.assertTrue(health.is_ejected(now + timedelta(seconds=1.9)))
        ejection_end = now + timedelta(seconds=2)
        self.assertFalse(health.is_ejected(ejection_end))
        limits = [
            health.get_limit(ejection_end + timedelta(seconds=second))
            for second in range(8)
        ]
        self.assertEqual([4, 8, 16, 32, 64, 128, 256, 256], limits)

    def test_slow_steps_lower_the_limit_and_fast_steps_raise_it(self):
        health = TargetHealth(settings=HealthSettings())
        now = timedelta()
        for _ in range(10):
            now += timedelta(seconds=1)
            health.record_step(timedelta(seconds=0.06), 50, now)
        lowered = health.get_limit(now)
        self.assertTrue(15 < lowered < 25, lowered)
        for _ in range(10):
            now += timedelta(seconds=1)
            health.record_step(timedelta(seconds=0.03), 50, now)
        self.assertEqual(lowered + 10, health.get_limit(now))


class PrefixIndexTest(TestCase):
    def test_confidence_falls_with_missed_events_and_age(self):
        index = PrefixIndex(max_blocks=10, half_life=timedelta(seconds=10))

        def record(sequence, **changes):
            event = CacheEvent(
                target="t", sequence=sequence, time=EPOCH, **changes
            )
            index.record_event(event, timedelta())

        def count(now=0):
            return index.count_expected_blocks(
                (1, 2, 3, 4), timedelta(seconds=now)
            )

        record(1, stored=(1, 2, 3, 9))
        self.assertEqual(3, count())
        record(2, evicted=(3,))
        self.assertEqual(2, count())
        self.assertEqual(1, count(now=10))
        record(5, stored=(4,))
        self.assertEqual(1, count())
        record(4, evicted=(1, 2, 3))
        self.assertEqual(1, count())
        # An engine stores a block only together with all blocks before it.
        record(6, stored=(3,))
        self.assertEqual(4, count())
