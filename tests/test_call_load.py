"""A played load: 60 nodes before 4 servers that work slowly now and then.

Answers the second deployment's calls, of which 0.95 have to end in 336 ms. The
same load is played with the choice of each node alone, by requests per slot
with loads as old as heartbeats, to report what the scheduler's choice gains.
"""

import sys

import trio

from tests.call_fakes import CallFleet
from tests.support import TestCase

NODES = 60
SECONDS = 8
UNEVEN = (0.6, 1.0, 1.0, 1.6)
EQUAL = (1.0, 1.0, 1.0, 1.0)
LOAD = 0.8
HEARTBEAT_SECONDS = 0.5


class CallLoadTest(TestCase):
    def play(self, factors, *, reports=True, seed=1):
        """Plays the load; returns which fraction of calls ended in time."""

        async def run():
            fleet = CallFleet(
                self.make_clock(), NODES, factors=factors, seed=seed
            )
            fleet.interval = HEARTBEAT_SECONDS
            fleet.reports = reports
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                nursery.start_soon(fleet.vary)
                await fleet.play(SECONDS, load=LOAD)
                nursery.cancel_scope.cancel()
            return fleet

        fleet = self.run_trio(run)
        times = sorted(time for time, _ in fleet.results)
        quantiles = [
            round(times[int(q * len(times))].total_seconds() * 1000)
            for q in (0.5, 0.9, 0.95, 0.99)
        ]
        print(
            f"{factors}, {'scheduler' if reports else 'alone'}:"
            f" {fleet.get_share():.4f} of {len(times)} calls in time;"
            f" p50, p90, p95, p99: {quantiles} ms",
            file=sys.stderr,
        )
        return fleet.get_share()

    def test_calls_to_uneven_servers_end_in_time(self):
        self.play(UNEVEN, reports=False)
        self.assertGreaterEqual(self.play(UNEVEN), 0.95)

    def test_calls_to_equal_servers_end_in_time(self):
        self.play(EQUAL, reports=False)
        self.assertGreaterEqual(self.play(EQUAL), 0.95)
