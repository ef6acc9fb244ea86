"""How nodes ask the scheduler for targets of calls, and what may fail then."""

from dataclasses import replace
from datetime import timedelta

import logbook
import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.requests.request_handling import BufferedResponse
from acaciarack.gateway.scheduling.call_loads import GRANT_TIMEOUT
from acaciarack.gateway.scheduling.placer import ANSWER_TIMEOUT
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import ReportedLoad
from tests.call_fakes import CallFleet, make_sample
from tests.support import TestCase

FACTORS = (1.0, 1.0, 1.0, 1.0)
LOAD = 0.5
"""Share of the capacity that is asked for while something fails, so that three
of four servers suffice."""
NON_IDEMPOTENT = RouteKind.NON_IDEMPOTENT


class CallAskTest(TestCase):
    def run_fleet(self, play, *, count=8, factors=FACTORS, learns=True):
        async def run():
            self.fleet = fleet = CallFleet(
                self.make_clock(), count, factors=factors
            )
            async with trio.open_nursery() as self.nursery:
                await self.nursery.start(fleet.run)
                for node in fleet.nodes if learns else ():
                    for server in fleet.servers.values():
                        node.pool.target_table.paces.record_sample(
                            make_sample(server.target, load=(0, 0))
                        )
                await play(fleet)
                self.nursery.cancel_scope.cancel()

        self.run_trio(run)

    def find_nodes(self):
        """Returns the scheduler of the calls, and another node."""
        scheduler = self.fleet.find_scheduler(service="application")
        return scheduler, next(
            node for node in self.fleet.nodes if node is not scheduler
        )

    def count_grants(self, node):
        loads = node.call_placement.loads
        return sum(
            loads.count_calls(s.target) for s in self.fleet.servers.values()
        )

    def check_results(self, *, share=0.95):
        """Checks that calls are answered in time, and run at most once."""
        self.assertGreaterEqual(self.fleet.get_share(), share)
        for _, result in self.fleet.results:
            self.assertIsInstance(result, BufferedResponse)
        self.assertLessEqual(max(self.fleet.runs.values()), 1)

    def test_no_ask_is_sent_if_no_target_reports_its_pace(self):
        async def play(fleet):
            fleet.reports = False
            await fleet.play(2, load=LOAD)
            self.assertEqual(0, fleet.sent)

        self.run_fleet(play, learns=False)

    def test_node_asks_from_its_first_answer_that_reports_the_pace(self):
        async def play(fleet):
            _, node = self.find_nodes()
            await fleet.call(node, NON_IDEMPOTENT)
            self.assertEqual(0, fleet.sent)
            await fleet.call(node, NON_IDEMPOTENT)
            # The ask, its answer and the withdrawal.
            self.assertEqual(3, fleet.sent)

        self.run_fleet(play, learns=False)

    def test_end_of_a_call_is_reported_with_the_load_and_the_work_time(self):
        async def play(fleet):
            scheduler, node = self.find_nodes()
            fleet.servers["s1"].is_slow = True
            exclude = {"s0", "s2", "s3"}
            for server in exclude:
                for _ in range(3):
                    scheduler.pool.failure_tracker.record_failure(server)
            self.nursery.start_soon(fleet.call, node, NON_IDEMPOTENT)
            await trio.sleep(0.05)
            self.assertEqual(1, self.count_grants(scheduler))
            await trio.sleep(0.3)
            self.assertEqual(0, round(self.count_grants(scheduler)))
            target = fleet.servers["s1"].target
            work_time = scheduler.call_placement.loads.get_work_time(target)
            # 69 ms at the usual pace, 2.5 times as much now, and transit.
            self.assertTrue(0.1 < work_time < 0.25, work_time)

        self.run_fleet(play)

    def test_log_shows_who_chose_a_target_and_what_was_known_of_it(self):
        async def play(fleet):
            scheduler, node = self.find_nodes()
            await fleet.call(node, NON_IDEMPOTENT)
            scheduler.is_down = True
            await fleet.call(node, NON_IDEMPOTENT)

        with logbook.TestHandler() as handler:
            self.run_fleet(play)
        by_scheduler, alone = [
            record.extra
            for record in handler.records
            if record.message == "call sent"
        ]
        self.assertRegex(by_scheduler["scheduler"], "^n00[0-7]$")
        self.assertEqual("none", alone["scheduler"])
        # Two datagrams of 4 to 12 ms, or the time without an answer.
        self.assertTrue(8 <= by_scheduler["placed_ms"] <= 24)
        self.assertEqual(60, alone["placed_ms"])
        self.assertEqual(1.0, by_scheduler["time_factor"])
        self.assertEqual((1, 0), (alone["running"], alone["waiting"]))

    def test_scheduler_sends_itself_no_datagram(self):
        async def play(fleet):
            scheduler, _ = self.find_nodes()
            await fleet.call(scheduler, NON_IDEMPOTENT)
            self.assertEqual(0, fleet.sent)
            self.assertEqual(0, round(self.count_grants(scheduler)))

        self.run_fleet(play)

    def test_node_decides_alone_if_the_scheduler_does_not_answer(self):
        async def play(fleet):
            scheduler, node = self.find_nodes()
            scheduler.is_down = True
            await fleet.call(node, NON_IDEMPOTENT)
            took, result = fleet.results[0]
            self.assertIsInstance(result, BufferedResponse)
            self.assertLess(took - ANSWER_TIMEOUT, timedelta(seconds=0.1))
            # Until it is heard of again, the second in rank is asked. One lost
            # datagram does not keep generations from it.
            await fleet.call(node, NON_IDEMPOTENT)
            self.assertLess(fleet.results[1][0], timedelta(seconds=0.12))
            self.assertFalse(node.placer._is_silent(scheduler.info))

        self.run_fleet(play)

    def test_scheduler_of_an_older_version_is_not_asked(self):
        async def play(fleet):
            scheduler, node = self.find_nodes()
            scheduler.info = replace(scheduler.info, revision=0)
            fleet.exchange_heartbeats()
            await fleet.call(node, NON_IDEMPOTENT)
            self.assertEqual(0, fleet.sent)

        self.run_fleet(play)

    def test_target_that_the_node_has_ejected_is_not_chosen(self):
        async def play(fleet):
            _, node = self.find_nodes()
            node.pool.failure_tracker.record_failure("s0", weight=3)
            async with trio.open_nursery() as nursery:
                for _ in range(12):
                    nursery.start_soon(fleet.call, node, NON_IDEMPOTENT)
            self.assertEqual(0, fleet.servers["s0"].started)

        self.run_fleet(play)

    def test_call_that_cannot_start_is_refused_as_not_run(self):
        async def play(fleet):
            async with trio.open_nursery() as nursery:
                for _ in range(60):
                    for node in fleet.nodes:
                        nursery.start_soon(fleet.call, node, NON_IDEMPOTENT)
                await trio.sleep(0.1)
                result = await fleet.call(
                    fleet.nodes[0], NON_IDEMPOTENT, seconds=0.4
                )
                self.assertIsInstance(result, Refusal)
                self.assertEqual("not_run", result.outcome)
                self.assertLess(fleet.results[-1][0], timedelta(seconds=0.1))

        self.run_fleet(play)

    def test_scheduler_is_lost_with_grants_out(self):
        async def play(fleet):
            scheduler, _ = self.find_nodes()

            async def kill():
                await trio.sleep(2)
                scheduler.is_down = True

            self.nursery.start_soon(kill)
            await fleet.play(5, load=LOAD)
            self.check_results()

        self.run_fleet(play)

    def test_two_schedulers_at_a_time(self):
        async def play(fleet):
            scheduler, _ = self.find_nodes()
            for node in fleet.nodes[::2]:
                # These nodes take the first scheduler for silent.
                node.placer._silent_since[scheduler.info.name] = timedelta.max
            second = fleet.find_scheduler(1, "application")
            await fleet.play(5, load=LOAD)
            self.check_results()
            for node in (scheduler, second):
                self.assertGreater(node.call_placement.loads.count_targets(), 0)

        self.run_fleet(play)

    def test_node_dies_with_a_grant(self):
        async def play(fleet):
            scheduler, node = self.find_nodes()
            for _ in range(10):
                self.nursery.start_soon(fleet.call, node, NON_IDEMPOTENT)
            await trio.sleep(0.03)
            self.assertGreaterEqual(self.count_grants(scheduler), 10)
            node.is_down = True
            await trio.sleep(GRANT_TIMEOUT.total_seconds())
            self.assertEqual(0, self.count_grants(scheduler))

        self.run_fleet(play)

    def test_datagrams_are_lost_and_repeated(self):
        async def play(fleet):
            fleet.loss = fleet.repeat = 0.05
            await fleet.play(5, load=LOAD)
            self.check_results()

        self.run_fleet(play)

    def test_failed_calls_are_retried_elsewhere_and_others_run_once(self):
        async def play(fleet):
            fleet.failures = 0.14
            await fleet.play(5, load=LOAD)
            self.check_results()

        self.run_fleet(play)

    def test_servers_report_false_figures(self):
        for running, slowdown in ((0, 0.1), (10**9, 100.0), (0, 10**9)):

            async def play(fleet, running=running, slowdown=slowdown):
                fleet.lies["s0"] = ReportedLoad(
                    running=running,
                    waiting=running,
                    slots=running,
                    slowdown=slowdown,
                )
                await fleet.play(5, load=LOAD)
                self.check_results()
                # The other servers get calls in either case.
                self.assertGreater(len(fleet.results), 500)

            self.run_fleet(play)
