"""Servers that fall over if they reject requests, in a fleet of processes."""

import pathlib
import random
import tempfile
from datetime import timedelta

import trio

from acaciarack.gateway.targets.brittle_targets import BrittleEstimate
from tests.soak.callers import Callers
from tests.soak.fleet import APPLICATION_COUNT, Fleet
from tests.support import TestCase

CONTACT_SECONDS = 3.0
START_SECONDS = 5.0
MAX_FALLS = 2 + 0.1 * APPLICATION_COUNT
"""Stated number of falls while the servers of a service are brittle."""
SLOTS = 4
WORK_SECONDS = 0.2
CAPACITY = APPLICATION_COUNT * SLOTS / WORK_SECONDS
MAX_REJECTIONS = 3


class BrittleEstimateTest(TestCase):
    def test_rate_follows_response_times_and_rejections(self):
        estimate = BrittleEstimate()
        for _ in range(100):
            estimate.record_answer(timedelta(seconds=0.2))
        rate = estimate.estimate_rate(SLOTS, None)
        self.assertLess(rate, SLOTS / 0.2)
        self.assertGreater(rate, 0.5 * SLOTS / 0.2)
        for _ in range(3):
            estimate.record_rejection()
        self.assertLess(estimate.estimate_rate(SLOTS, None), 0.5 * rate)

    def test_estimates_close_to_the_rate_in_force_do_not_replace_it(self):
        estimate = BrittleEstimate()
        rate = estimate.estimate_rate(SLOTS, None)
        self.assertEqual(0.8 * rate, estimate.estimate_rate(SLOTS, 0.8 * rate))
        self.assertEqual(rate, estimate.estimate_rate(SLOTS, 0.2 * rate))


class BrittleTargetTest(TestCase):
    def test_brittle_servers_do_not_fall_under_more_than_they_can_take(self):
        async def play(fleet, callers):
            await self.send(callers, 0.3 * CAPACITY, 1.0)
            for app in fleet.applications:
                app.brittle = MAX_REJECTIONS
            await self.send(callers, 0.3 * CAPACITY, CONTACT_SECONDS)
            for app in fleet.applications:
                app.waiting_places = 1
            fleet.application_options |= {
                "brittle": MAX_REJECTIONS,
                "waiting_places": 1,
            }
            attempts = await self.send(callers, 1.6 * CAPACITY, 8.0)
            falls = fleet.execution_log.falls
            self.assertLessEqual(len(falls), MAX_FALLS)
            served = [a for a in attempts if a.status == 200]
            self.assertGreater(len(served), 0.5 * CAPACITY * 8)
            for attempt in attempts:
                if attempt.status == 503:
                    self.assertLess(
                        attempt.finished_at - attempt.started_at, 1.0
                    )

        self.run_fleet(play)

    async def send(self, callers, rate, seconds):
        end = trio.current_time() + seconds
        first = len(callers.attempts)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                node = callers.rng.choice(callers.fleet.nodes)
                nursery.start_soon(callers.send_call, node)
                await trio.sleep(callers.rng.expovariate(rate))
        return callers.attempts[first:]

    def run_fleet(self, play):
        async def run():
            folder = pathlib.Path(tempfile.mkdtemp(prefix="brittle-"))
            fleet = Fleet(nodes=4, engines=1, folder=folder)
            fleet.application_options = {"slots": SLOTS, "delay": WORK_SECONDS}
            callers = Callers(fleet=fleet, rng=random.Random(1), rate=0)
            async with trio.open_nursery() as fleet_nursery:
                try:
                    await fleet.start(fleet_nursery)
                    await trio.sleep(START_SECONDS)
                    await play(fleet, callers)
                finally:
                    with trio.CancelScope(shield=True):
                        await fleet.stop()
                fleet_nursery.cancel_scope.cancel()

        trio.run(run)
