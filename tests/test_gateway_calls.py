"""Plain calls: what is sent again, and what is said of what was not."""

from datetime import timedelta

from acaciarack.errors import Refusal, RunOutcome
from acaciarack.gateway.calls import CallServer
from acaciarack.gateway.facts import RouteKind
from acaciarack.gateway.meters import NoMeters
from acaciarack.gateway.serving import WholeAnswer
from acaciarack.gateway.targets import AnswerLostError, NotReachedError
from tests.gateway_fakes import (
    FakeAnswer,
    FakeTargets,
    make_budgets,
    make_call,
    make_head,
    make_pool,
    make_target,
)
from tests.support import TestCase

ONCE = RouteKind.NON_IDEMPOTENT
AGAIN = RouteKind.IDEMPOTENT


def answer(status=200, **fields):
    return lambda: FakeAnswer(make_head(status, **fields), body=b"whole")


def lost():
    return FakeAnswer(make_head(), error=AnswerLostError("reset"))


class CallTest(TestCase):
    def serve(self, targets, kind, *, extra=50, nodes=1, **fields):
        async def run():
            clock = self.make_clock()
            members = [make_target(name) for name in targets.answers]
            calls = CallServer(
                pool=make_pool(clock, *members),
                targets=targets,
                budgets=make_budgets(clock, extra=extra),
                meters=NoMeters(),
            )
            calls.nodes = nodes
            return await calls.serve(make_call(clock, kind, **fields))

        return self.run_trio(run)

    def test_answer_is_passed_on(self):
        targets = FakeTargets(a=answer())
        result = self.serve(targets, ONCE)
        self.assertIsInstance(result, WholeAnswer)
        self.assertEqual(b"whole", result.body)

    def test_lost_answer_is_not_sent_again_if_it_may_run_once(self):
        targets = FakeTargets(a=lost, b=lost)
        result = self.serve(targets, ONCE)
        self.assertEqual(1, len(targets.sends))
        self.assertIs(RunOutcome.UNKNOWN, result.outcome)

    def test_failure_of_a_call_that_may_run_once_is_passed_on(self):
        targets = FakeTargets(a=answer(500), b=answer(500))
        result = self.serve(targets, ONCE)
        self.assertEqual(500, result.head.status)
        self.assertEqual(1, len(targets.sends))

    def test_lost_answer_is_sent_again_if_it_may(self):
        targets = FakeTargets(a=lost, b=answer())
        result = self.serve(targets, AGAIN, max_attempts=2)
        while targets.sends[0] == "b":
            return  # The first target answered.
        self.assertEqual(b"whole", result.body)

    def test_attempts_of_a_route_are_kept(self):
        targets = FakeTargets(a=lost, b=lost, c=answer())
        self.serve(targets, AGAIN, max_attempts=2)
        self.assertLessEqual(len(targets.sends), 2)

    def test_unreached_target_leaves_the_call_unsent(self):
        dark = NotReachedError("dark")
        targets = FakeTargets(a=dark, b=dark, c=answer())
        result = self.serve(targets, ONCE)
        self.assertEqual(b"whole", result.body)

    def test_refused_everywhere_was_not_run(self):
        full = answer(503, not_run=True, is_proven=False)
        targets = FakeTargets(a=full, b=full)
        result = self.serve(targets, ONCE)
        self.assertIs(RunOutcome.NOT_RUN, result.outcome)
        self.assertIsNotNone(result.retry_after)

    def test_refused_after_a_loss_is_not_called_not_run(self):
        full = answer(503, not_run=True, is_proven=False)
        answers = iter([lost(), full(), full(), full(), full()])
        targets = FakeTargets(a=lambda: next(answers))
        result = self.serve(targets, AGAIN, max_attempts=3)
        self.assertIsInstance(result, Refusal)
        self.assertIs(RunOutcome.UNKNOWN, result.outcome)

    def test_unproven_success_is_never_passed_on(self):
        targets = FakeTargets(a=answer(is_proven=False))
        result = self.serve(targets, ONCE)
        self.assertIsInstance(result, Refusal)

    def test_silence_ends_at_the_deadline_and_is_not_called_not_run(self):
        def silent():
            return FakeAnswer(make_head(), delay=1000)

        targets = FakeTargets(a=silent)
        result = self.serve(targets, ONCE, seconds=1.0)
        self.assertIs(RunOutcome.UNKNOWN, result.outcome)

    def test_silent_target_costs_a_repeatable_call_little(self):
        def silent():
            return FakeAnswer(make_head(), delay=1000)

        async def run():
            clock = self.make_clock()
            targets = FakeTargets(a=silent, b=answer())
            pool = make_pool(clock, make_target("a"))
            calls = CallServer(
                pool=pool,
                targets=targets,
                budgets=make_budgets(clock),
                meters=NoMeters(),
            )
            pool.roster.put(make_target("b", slots=1))
            pool.loads.add_call("b")
            began = clock.elapsed()
            call = make_call(clock, AGAIN, max_attempts=2)
            result = await calls.serve(call)
            self.assertEqual(["a", "b"], targets.sends)
            self.assertIsInstance(result, WholeAnswer)
            self.assertLess(clock.elapsed() - began, timedelta(seconds=0.5))

        self.run_trio(run)

    def test_repeats_stay_within_the_shared_budget(self):
        """Load: every target fails each of 400 calls in 10 s at 5 nodes."""

        async def run():
            clock = self.make_clock()
            targets = FakeTargets(a=lost, b=lost)
            pool = make_pool(clock, make_target("a"), make_target("b"))
            sends = 0
            for _ in range(5):
                calls = CallServer(
                    pool=pool,
                    targets=targets,
                    budgets=make_budgets(clock),
                    meters=NoMeters(),
                )
                calls.nodes = 5
                for _ in range(80):
                    call = make_call(clock, AGAIN, max_attempts=2)
                    await calls.serve(call)
                sends = len(targets.sends)
            self.assertLessEqual(sends - 400, 0.2 * 400 + 50)
            self.assertGreater(sends, 400)

        self.run_trio(run)
