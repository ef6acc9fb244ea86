"""A call that crashes each server and comes again, in a fleet of processes."""

import pathlib
import random
import signal
import tempfile

import trio

from tests.soak.callers import Callers
from tests.soak.fleet import RESTART_SECONDS, Fleet
from tests.support import TestCase

CONTACT_SECONDS = 3.0
"""Stated time within which all nodes share what one of them knows."""
CRASHES_BEFORE_BOUND = 3
MAX_LATE_ARRIVALS = 3
"""Stated number of repeats that may reach servers after the bound."""
START_SECONDS = 5.0
HARMFUL_PATH = "/lookup/bad"
HOT_PATH = "/lookup/hot"
HARMFUL_RATE = 2.0
HOT_RATE = 10.0
SIGN_OFF_PATH = "/v1/bad"


class HarmfulCallTest(TestCase):
    def run_fleet(self, play, *, nodes=4):
        """Plays callers against a fleet of node processes."""

        async def run():
            folder = pathlib.Path(tempfile.mkdtemp(prefix="harmful-calls-"))
            fleet = Fleet(nodes=nodes, engines=1, folder=folder)
            fleet.execution_log.harmful_paths |= {HARMFUL_PATH, SIGN_OFF_PATH}
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

    async def send(self, callers, path, rate, seconds):
        """Sends the same call to any node."""
        end = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < end:
                nodes = [n for n in callers.fleet.nodes if n.is_running]
                node = callers.rng.choice(nodes)
                nursery.start_soon(callers.send_call, node, path)
                await trio.sleep(callers.rng.expovariate(rate))

    async def send_both(self, callers, *, seconds, path=HARMFUL_PATH):
        """Sends the harmful call beside a sound one that comes often."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send, callers, HOT_PATH, HOT_RATE, seconds)
            nursery.start_soon(self.send, callers, path, HARMFUL_RATE, seconds)

    def check_late_arrivals(self, log):
        self.assertGreaterEqual(len(log.call_crashes), CRASHES_BEFORE_BOUND)
        third_crash, _ = log.call_crashes[CRASHES_BEFORE_BOUND - 1]
        late = [
            time
            for time, _, _ in log.call_arrivals
            if time > third_crash + CONTACT_SECONDS
        ]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, log.call_crashes)

    def check_hot_calls(self, callers, seconds):
        """Checks that the sound calls of the last seconds were served."""
        end = max(attempt.started_at for attempt in callers.attempts)
        hot = [
            attempt
            for attempt in callers.attempts
            if attempt.path == HOT_PATH and attempt.started_at > end - seconds
        ]
        served = [attempt for attempt in hot if attempt.status == 200]
        self.assertGreaterEqual(len(hot), 20)
        self.assertGreaterEqual(len(served), 0.9 * len(hot))

    def test_repeated_call_does_not_crash_server_after_server(self):
        async def play(fleet, callers):
            await self.send_both(callers, seconds=16)
            self.check_late_arrivals(fleet.execution_log)
            self.check_hot_calls(callers, 5.0)

        self.run_fleet(play)

    def test_repeated_call_that_may_run_once_does_not_crash_every_server(self):
        async def play(fleet, callers):
            await self.send_both(callers, seconds=16, path=SIGN_OFF_PATH)
            self.check_late_arrivals(fleet.execution_log)
            self.check_hot_calls(callers, 5.0)

        self.run_fleet(play)

    def test_restarted_and_frozen_nodes_learn_of_a_harmful_call(self):
        async def play(fleet, callers):
            frozen, restarted = fleet.nodes[:2]
            frozen.signal(signal.SIGSTOP)
            fleet.nodes.remove(frozen)
            await self.send_both(callers, seconds=8)
            fleet.nodes.append(frozen)
            frozen.signal(signal.SIGCONT)
            restarted.signal(signal.SIGKILL)
            await restarted.wait()
            await restarted.start()
            await trio.sleep(START_SECONDS)
            arrivals = len(fleet.execution_log.call_arrivals)
            for _ in range(4):
                await callers.send_call(frozen, HARMFUL_PATH)
                await callers.send_call(restarted, HARMFUL_PATH)
                # Servers that crashed are back by the next round.
                await trio.sleep(RESTART_SECONDS)
            late = len(fleet.execution_log.call_arrivals) - arrivals
            self.assertLessEqual(late, MAX_LATE_ARRIVALS)

        self.run_fleet(play)
