"""Targets that name a request rate, in a fleet of node processes."""

import pathlib
import random
import signal
import tempfile

import trio

from tests.soak.callers import Callers
from tests.soak.fleet import Fleet
from tests.support import TestCase

CONTACT_SECONDS = 3.0
"""Stated time within which all nodes share what one of them knows."""
WINDOW_SECONDS = 4.0
LIMIT = 2.0
MAX_ARRIVALS = 1.5 * LIMIT * WINDOW_SECONDS + 5
"""Stated maximum number of requests in each window."""
START_SECONDS = 5.0
CALL_RATE = 25


class TargetLimitTest(TestCase):
    def run_fleet(self, play):
        """Plays callers against a fleet of four node processes."""

        async def run():
            folder = pathlib.Path(tempfile.mkdtemp(prefix="limits-"))
            fleet = Fleet(nodes=4, engines=1, folder=folder)
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

    async def send_calls(self, callers, *, seconds):
        """Sends calls to any running node; returns them when they ended."""
        end = trio.current_time() + seconds
        first = len(callers.attempts)
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                running = [n for n in callers.fleet.nodes if n.is_running]
                node = callers.rng.choice(running)
                nursery.start_soon(callers.send_call, node)
                await trio.sleep(callers.rng.expovariate(CALL_RATE))
        return callers.attempts[first:]

    def limit(self, applications):
        for application in applications:
            application.limit = LIMIT
        return trio.current_time()

    def check_arrivals(self, application, named_at):
        times = [
            time
            for time, _ in application.arrivals
            if time > named_at + CONTACT_SECONDS
        ]
        most = max(
            (
                sum(start <= time < start + WINDOW_SECONDS for time in times)
                for start in times
            ),
            default=0,
        )
        self.assertLessEqual(most, MAX_ARRIVALS)

    def count_served(self, attempts):
        return sum(attempt.status == 200 for attempt in attempts)

    def test_limited_targets_get_no_more_than_they_named(self):
        async def play(fleet, callers):
            limited = fleet.applications[:2]
            named_at = self.limit(limited)
            attempts = await self.send_calls(callers, seconds=10)
            for application in limited:
                self.check_arrivals(application, named_at)
            # The third target has room for all of them.
            self.assertGreater(self.count_served(attempts), 0.9 * len(attempts))
            for application in limited:
                application.limit = None
            await self.send_calls(callers, seconds=6)
            ended_at = trio.current_time() - 3
            for application in limited:
                arrivals = sum(
                    time > ended_at for time, _ in application.arrivals
                )
                self.assertGreater(arrivals, 3 * MAX_ARRIVALS / WINDOW_SECONDS)

        self.run_fleet(play)

    def test_calls_over_the_limits_of_all_targets_are_refused_at_once(self):
        async def play(fleet, callers):
            named_at = self.limit(fleet.applications)
            await self.send_calls(callers, seconds=CONTACT_SECONDS)
            attempts = await self.send_calls(callers, seconds=8)
            for application in fleet.applications:
                self.check_arrivals(application, named_at)
            refused = [a for a in attempts if a.status == 503]
            self.assertGreater(len(refused), len(attempts) / 2)
            for attempt in refused:
                self.assertLess(attempt.finished_at - attempt.started_at, 1.0)
                self.assertIsNotNone(attempt.retry_after)
            # Most of what the targets take is used.
            allowed = LIMIT * len(fleet.applications) * 8
            self.assertGreater(self.count_served(attempts), 0.6 * allowed)

        self.run_fleet(play)

    def test_limit_holds_while_nodes_restart_and_freeze(self):
        async def play(fleet, callers):
            limited = fleet.applications[:2]
            named_at = self.limit(limited)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.disturb, fleet)
                await self.send_calls(callers, seconds=12)
            for application in limited:
                self.check_arrivals(application, named_at)

        self.run_fleet(play)

    async def disturb(self, fleet):
        await trio.sleep(CONTACT_SECONDS)
        for node in fleet.nodes:
            node.signal(signal.SIGSTOP)
            await trio.sleep(1)
            node.signal(signal.SIGCONT)
            await trio.sleep(0.5)
            node.signal(signal.SIGKILL)
            await node.wait()
            await node.start()
            await trio.sleep(0.5)
