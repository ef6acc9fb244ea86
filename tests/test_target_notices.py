"""Targets that announce that they leave, or that they want a pause."""

from dataclasses import replace
from datetime import timedelta

import trio

from acaciarack.errors import Refusal, RunOutcome
from acaciarack.gateway.meters import NullMeters
from acaciarack.gateway.migration.copies import Copier
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import AnswerNotice
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.pool import DestinationRequest
from acaciarack.gateway.targets.target_table import (
    MAX_CALLS_IN_PAUSE,
    MAX_PAUSE,
    TargetState,
)
from tests.gateway_fakes import (
    ENGINE_SPEC,
    FakeTargets,
    make_call,
    make_call_server,
    make_generation,
    make_generation_state,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.support import TestCase

LEAVING = AnswerNotice(leaving=True)


def ask_for_pause(seconds):
    return AnswerNotice(retry_after=timedelta(seconds=seconds))


def receive_notice(pool, name, notice):
    """Handles a notice in the answer to a call to a target."""
    address = pool.target_table.get(name).target.address
    pool.target_table.begin_call(address)(notice)


class LeavingNoticeTest(TestCase):
    def run_with_pool(self, check, *names):
        async def run():
            pool = make_pool(
                self.make_clock(), *(make_target(name) for name in names)
            )
            await check(pool)

        self.run_trio(run)

    def list_usable(self, pool):
        return {
            instance.target.id
            for instance in pool.target_table.list_usable("application")
        }

    def test_target_receives_no_requests_after_its_notice(self):
        async def check(pool):
            receive_notice(pool, "a", LEAVING)
            self.assertEqual({"b"}, self.list_usable(pool))
            self.assertTrue(pool.target_table.get("a").leave_event.is_set())

        self.run_with_pool(check, "a", "b")

    def test_notice_outlasts_a_record_that_expires_and_returns(self):
        """The store was down, so the record lags behind the notice."""

        async def check(pool):
            receive_notice(pool, "a", LEAVING)
            pool.target_table.put(make_target("a", sequence=2))
            pool.target_table.drop("a")
            pool.target_table.put(make_target("a", sequence=3))
            self.assertEqual({"b"}, self.list_usable(pool))

        self.run_with_pool(check, "a", "b")

    def test_target_whose_record_said_leaving_does_not_return(self):
        async def check(pool):
            pool.target_table.put(make_target("a", leaving=True, sequence=2))
            pool.target_table.drop("a")
            pool.target_table.put(make_target("a", sequence=2))
            self.assertEqual({"b"}, self.list_usable(pool))

        self.run_with_pool(check, "a", "b")

    def test_restarted_target_is_not_leaving(self):
        async def check(pool):
            receive_notice(pool, "a", LEAVING)
            pool.target_table.put(make_target("a", born=2000))
            self.assertEqual({"a"}, self.list_usable(pool))

        self.run_with_pool(check, "a")

    def test_late_answer_of_an_earlier_lifetime_marks_no_new_one(self):
        async def check(pool):
            address = pool.target_table.get("a").target.address
            handle = pool.target_table.begin_call(address)
            pool.target_table.put(make_target("a", born=2000))
            handle(LEAVING)
            self.assertEqual({"a"}, self.list_usable(pool))

        self.run_with_pool(check, "a")

    def test_peers_learn_of_a_notice_for_that_lifetime_alone(self):
        async def check(pool):
            receive_notice(pool, "a", LEAVING)
            announced = pool.target_table.list_for_broadcast()
            self.assertEqual([TargetLifetime(id="a", born=1000)], announced)
            for born, expected in ((1000, set()), (2000, {"a"})):
                target = make_target("a", born=born)
                peer = make_pool(self.make_clock(), target)
                peer.target_table.mark_leaving_lifetimes(announced, "n1")
                self.assertEqual(expected, self.list_usable(peer))

        self.run_with_pool(check, "a")


class PauseTest(TestCase):
    """A target answered 503 with ``Retry-After``."""

    def serve_call(self, pool, clock, targets):
        calls, _ = make_call_server(clock, pool, targets)
        return calls.serve(make_call(clock, RouteKind.IDEMPOTENT))

    def test_call_is_refused_at_once_with_the_time_at_which_a_pause_ends(self):
        """Load: every server of the service has rejected requests."""

        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a"), make_target("b"))
            receive_notice(pool, "a", ask_for_pause(3))
            receive_notice(pool, "b", ask_for_pause(2))
            targets = FakeTargets()
            started = trio.current_time()
            result = await self.serve_call(pool, clock, targets)
            self.assertEqual(0, trio.current_time() - started)
            self.assertEqual([], targets.sends)
            self.assertIsInstance(result, Refusal)
            self.assertIs(RunOutcome.NOT_RUN, result.outcome)
            self.assertGreaterEqual(result.retry_after, timedelta(seconds=2))
            self.assertLess(result.retry_after, timedelta(seconds=3))

        self.run_trio(run)

    def test_generation_does_not_wait_for_engines_that_return_too_late(self):
        async def run():
            clock = self.make_clock()
            engine = make_target("a", service="engines")
            pool = make_pool(clock, engine)
            generation = make_generation_state(3000, output_tokens=500)
            for pause, expected_wait, expected in (
                (20, 0.0, None),
                (0.5, 0.5, "a"),
            ):
                pool.target_table.get("a").pause_end = timedelta(0)
                receive_notice(pool, "a", ask_for_pause(pause))
                started = trio.current_time()
                placement = await make_placer(clock, pool).place(
                    make_placement_request(clock, generation, limit=0.9)
                )
                found = placement.instance
                self.assertEqual(expected, found and found.target.id)
                waited = trio.current_time() - started
                self.assertAlmostEqual(expected_wait, waited, delta=0.03)

        self.run_trio(run)

    def test_paused_target_is_used_again_after_its_pause(self):
        async def run():
            pool = make_pool(self.make_clock(), make_target("a"))
            receive_notice(pool, "a", ask_for_pause(2))
            self.assertEqual([], pool.list_candidates("application"))
            await trio.sleep(2.01)
            self.assertEqual(1, len(pool.list_candidates("application")))

        self.run_trio(run)

    def test_shorter_pause_does_not_end_a_longer_one(self):
        async def run():
            pool = make_pool(self.make_clock(), make_target("a"))
            receive_notice(pool, "a", ask_for_pause(9))
            receive_notice(pool, "a", ask_for_pause(0.1))
            await trio.sleep(1)
            self.assertEqual([], pool.list_candidates("application"))

        self.run_trio(run)

    def test_pause_without_end_is_shortened(self):
        async def run():
            pool = make_pool(self.make_clock(), make_target("a"))
            receive_notice(pool, "a", ask_for_pause(1e9))
            await trio.sleep(MAX_PAUSE.total_seconds() + 1)
            self.assertEqual(1, len(pool.list_candidates("application")))

        self.run_trio(run)

    def test_paused_engine_receives_few_copy_requests(self):
        """Load: an engine leaves in its pause; each of ten runs is copied."""

        async def run():
            clock = self.make_clock()
            source = make_target("a", service="engines")
            destination = make_target("b", service="engines")
            pool = make_pool(clock, source, destination)
            targets = FakeTargets()
            copier = Copier(pool=pool, targets=targets, meters=NullMeters())
            receive_notice(pool, "a", ask_for_pause(3))
            instances = [pool.target_table.get(name) for name in "ab"]
            for _ in range(10):
                task = make_generation(clock)
                run = Run(
                    task=task,
                    spec=ENGINE_SPEC,
                    generation=make_generation_state(3000, output_tokens=9),
                    instance=instances[0],
                )
                await copier.pre_copy(run, *instances)
                await copier.stop_and_copy(run, *instances)
            self.assertEqual(MAX_CALLS_IN_PAUSE, len(targets.copies))

        self.run_trio(run)

    def test_migrations_avoid_a_paused_engine(self):
        async def run():
            engines = (make_target(n, service="engines") for n in "abc")
            pool = make_pool(self.make_clock(), *engines)
            receive_notice(pool, "b", ask_for_pause(3))
            source = pool.target_table.get("a")
            chosen = pool.choose_destination(
                DestinationRequest(
                    service="engines",
                    spec=ENGINE_SPEC,
                    generation=make_generation_state(3000, output_tokens=9),
                    data_centre="oslo-a",
                    exclude=frozenset({"a"}),
                )
            )
            self.assertEqual("c", chosen.target.id)
            self.assertIs(TargetState.READY, source.target_state)

        self.run_trio(run)


class BrittleNoticeTest(TestCase):
    def test_limit_that_a_brittle_target_names_is_kept(self):
        async def run():
            pool = make_pool(self.make_clock(), make_target("a"))
            lifetime = get_lifetime(pool.target_table.get("a").target)
            limits = pool.target_table.rate_limits
            answer = AnswerNotice(is_brittle=True, is_answer=True)
            receive_notice(pool, "a", answer)
            derived = limits.get_rate(lifetime)
            self.assertGreater(derived, 2.0)
            receive_notice(pool, "a", replace(answer, rate_limit=2.0))
            self.assertEqual(2.0, limits.get_rate(lifetime))
            # A rejection does not repeat the limit, so it says nothing of it.
            rejection = AnswerNotice(is_brittle=True, is_rejection=True)
            receive_notice(pool, "a", rejection)
            self.assertEqual(2.0, limits.get_rate(lifetime))
            await trio.sleep(10)
            taken = 0
            while limits.has_token(lifetime):
                limits.take(lifetime)
                taken += 1
            self.assertEqual(1, taken)
            receive_notice(pool, "a", answer)
            self.assertGreater(limits.get_rate(lifetime), 2.0)
            receive_notice(pool, "a", AnswerNotice(is_unlimited=True))
            self.assertIsNone(limits.get_rate(lifetime))

        self.run_trio(run)
