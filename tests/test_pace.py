"""The estimates of targets' paces, with slowdown periods and wrong values."""

import random
import socket
from dataclasses import replace
from datetime import timedelta

import trio

from acaciarack.gateway.peers.messages import Heartbeat, NodeState
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.scheduling.schedule_channel import ScheduleChannel
from acaciarack.gateway.targets.client import AnswerNotice, ReportedLoad
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.pace import (
    MAX_REPORTED,
    MAX_SLOWDOWN,
    MAX_TARGETS,
    SAMPLE_RETENTION,
    USUAL_PACE,
    TargetPaces,
    TargetSample,
)
from tests.gateway_fakes import ENGINE_SERVICE, make_pool, make_target
from tests.scheduling_fleet import FixedState, Fleet
from tests.support import TestCase

TARGET = TargetLifetime(id="a", born=1)


def make_reported(factor):
    return ReportedLoad(running=1, waiting=0, slots=24, slowdown=factor)


def make_sample(factor, *, age=0.0, target=TARGET):
    return TargetSample(
        target=target,
        age=timedelta(seconds=age),
        load=make_reported(factor),
    )


class PaceTest(TestCase):
    def run_with_paces(self, check):
        async def run():
            await check(TargetPaces(clock=self.make_clock()))

        self.run_trio(run)

    def test_unknown_target_has_the_usual_pace(self):
        async def check(paces):
            self.assertEqual(USUAL_PACE, paces.get_pace(TARGET))
            self.assertFalse(paces.get_pace(TARGET).is_reported)

        self.run_with_paces(check)

    def test_slowdown_periods_do_not_change_the_usual_factor(self):
        """Values in slowdown periods must not make a target look slow."""

        async def check(paces):
            rng = random.Random(1)
            wrong = 0
            for number in range(300):
                await trio.sleep(1)
                factor = 4.0 if rng.random() < 0.15 else 1.6
                paces.record(TARGET, make_reported(factor))
                usual = paces.get_pace(TARGET).usual_factor
                wrong += number >= 5 and abs(usual - 1.6) > 1e-6
            self.assertLessEqual(wrong, 3)

        self.run_with_paces(check)

    def test_one_slowdown_period_counts_once(self):
        """Many answers within a slowdown period are no proof of a slow VM."""

        async def check(paces):
            paces.record(TARGET, make_reported(1.0))
            await trio.sleep(1)
            for _ in range(50):
                await trio.sleep(0.01)
                paces.record(TARGET, make_reported(2.5))
            pace = paces.get_pace(TARGET)
            self.assertAlmostEqual(1.0, pace.usual_factor)
            self.assertAlmostEqual(2.5, pace.slowdown)
            self.assertAlmostEqual(2.5, pace.time_factor)

        self.run_with_paces(check)

    def test_slowdown_loses_its_weight(self):
        """A slowdown period is over after 600 ms, also if nothing says so."""

        async def check(paces):
            paces.record(TARGET, make_reported(1.0))
            await trio.sleep(1)
            paces.record(TARGET, make_reported(2.5))
            await trio.sleep(0.6)
            self.assertLess(paces.get_pace(TARGET).slowdown, 1.6)
            await trio.sleep(2)
            self.assertLess(paces.get_pace(TARGET).slowdown, 1.05)

        self.run_with_paces(check)

    def test_peers_samples_have_their_age(self):
        """An old sample of a peer must not hide a newer one."""

        async def check(paces):
            paces.record(TARGET, make_reported(1.0))
            paces.record_sample(make_sample(2.5, age=3.0))
            self.assertEqual(1.0, paces.get_pace(TARGET).slowdown)
            paces.record_sample(make_sample(2.5, age=0.0))
            self.assertAlmostEqual(2.5, paces.get_pace(TARGET).slowdown)
            # A sample that is sent again counts once.
            for _ in range(50):
                paces.record_sample(make_sample(2.5, age=3.0))
            self.assertEqual(1.0, paces.get_pace(TARGET).usual_factor)

        self.run_with_paces(check)

    def test_wrong_values_are_ignored_or_bounded(self):
        """A target with a faulty header must not attract all generations."""

        async def check(paces):
            for factor in (0.0, 0.01, 1e9, float("nan"), float("inf"), None):
                paces.record(TARGET, make_reported(factor))
                paces.record_sample(make_sample(factor))
            self.assertEqual(USUAL_PACE, paces.get_pace(TARGET))
            for _ in range(9):
                await trio.sleep(1)
                paces.record(TARGET, make_reported(1.0))
            await trio.sleep(1)
            paces.record(TARGET, make_reported(20.0))
            self.assertEqual(MAX_SLOWDOWN, paces.get_pace(TARGET).slowdown)
            await trio.sleep(1)
            paces.record(TARGET, make_reported(0.1))
            self.assertEqual(1.0, paces.get_pace(TARGET).usual_factor)

        self.run_with_paces(check)

    def test_restarted_target_starts_anew(self):
        async def check(paces):
            paces.record(TARGET, make_reported(1.6))
            restarted = TargetLifetime(id="a", born=2)
            self.assertEqual(USUAL_PACE, paces.get_pace(restarted))

        self.run_with_paces(check)

    def test_estimates_are_forgotten_and_bounded(self):
        """Restarts without end must not use up the node's memory."""

        async def check(paces):
            for number in range(MAX_TARGETS + 100):
                target = TargetLifetime(id="a", born=number)
                paces.record(target, make_reported(1.6))
            kept = sum(
                paces.get_pace(TargetLifetime(id="a", born=n)).is_reported
                for n in range(MAX_TARGETS + 100)
            )
            self.assertEqual(MAX_TARGETS, kept)
            await trio.sleep(SAMPLE_RETENTION.total_seconds() + 1)
            last = TargetLifetime(id="a", born=MAX_TARGETS + 99)
            self.assertEqual(USUAL_PACE, paces.get_pace(last))

        self.run_with_paces(check)

    def test_reports_are_bounded_and_name_every_target(self):
        """A scheduler that has just started needs the old samples too."""

        async def check(paces):
            for number in range(40):
                target = TargetLifetime(id=f"t{number}", born=1)
                paces.record(target, make_reported(1.6))
            fresh = paces.list_samples(lambda _: True)
            self.assertEqual(MAX_REPORTED, len(fresh))
            await trio.sleep(1)
            named = set()
            for _ in range(40):
                samples = paces.list_samples(lambda _: True)
                self.assertLessEqual(len(samples), 2)
                named.update(sample.target for sample in samples)
            self.assertEqual(40, len(named))
            self.assertEqual((), paces.list_samples(lambda _: False))

        self.run_with_paces(check)

    def test_peers_samples_are_not_passed_on(self):
        async def check(paces):
            paces.record_sample(make_sample(1.6))
            self.assertEqual((), paces.list_samples(lambda _: True))

        self.run_with_paces(check)

    def test_answers_tell_the_pace(self):
        async def run():
            pool = make_pool(self.make_clock(), make_target("a"))
            table = pool.target_table
            target = table.get("a").target
            handle = table.begin_call(target.address)
            handle(AnswerNotice(load=make_reported(1.6)))
            pace = table.paces.get_pace(get_lifetime(target))
            self.assertAlmostEqual(1.6, pace.time_factor)
            (candidate,) = pool.list_candidates("application")
            self.assertEqual(pace, candidate.pace)

        self.run_trio(run)


class ReportTest(TestCase):
    """Load reports to schedulers carry the samples of engines."""

    def list_reports(self, service):
        """Returns the reports after an answer of a target of a service."""
        reports = []

        async def run():
            clock = self.make_clock()
            fleet = Fleet(clock, 2, engines=())
            node, other = (n.info for n in fleet.nodes)
            table = fleet.nodes[0].pool.target_table
            table.put(make_target("a", service=service))
            state = FixedState(ENGINE_SERVICE)
            state.target_table = table
            peers = PeerTable(clock=clock, own_node=node)
            peers.apply(
                Heartbeat(node=other, state=NodeState.READY, reads_store=False)
            )
            with socket.socket(type=socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", 0))
                port = free.getsockname()[1] - 1
            channel = ScheduleChannel(
                clock=clock,
                own_node=replace(node, host="127.0.0.1", link_port=port),
                peers=peers,
                cluster_state=state,
                loads=fleet.nodes[0].pool.loads,
                failure_tracker=fleet.nodes[0].pool.failure_tracker,
            )
            channel.send = lambda message, _: reports.append(message)
            async with trio.open_nursery() as nursery:
                await nursery.start(channel.run)
                fleet.nodes[0].pool.loads.add_call("a")
                fleet.nodes[0].pool.loads.record_first_event()
                await trio.sleep(0.2)
                reports.clear()
                handle = table.begin_call(table.get("a").target.address)
                handle(AnswerNotice(load=make_reported(1.6)))
                await trio.sleep(0.05)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return reports

    def test_sample_of_an_engine_is_reported_at_once(self):
        """The scheduler must know an engine's pace before its next choice."""
        (report,) = self.list_reports("engines")
        (sample,) = report.samples
        self.assertEqual(make_reported(1.6), sample.load)
        self.assertEqual("a", sample.target.id)

    def test_other_targets_are_not_reported(self):
        """The ends of calls carry their samples themselves."""
        self.assertEqual([], self.list_reports("application"))
