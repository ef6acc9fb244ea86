"""Places of refused callers that come back when they were told to."""

import random
from datetime import timedelta

import trio

from acaciarack.gateway.scheduling.tickets import MAX_TICKETS, Tickets
from tests.gateway_fakes import (
    make_generation_state,
    make_load,
    make_placement_request,
    make_placer,
    make_pool,
    make_target,
)
from tests.support import TestCase

SECOND = timedelta(seconds=1)


class TicketsTest(TestCase):
    def check(self, *, returns_after, expected):
        """Refuses a caller of time 0 for 1 s; compares its later arrival."""

        async def run():
            clock = self.make_clock()
            tickets = Tickets(clock=clock)
            first = clock.elapsed()
            tickets.issue("s", "o", b"f", arrived=first, retry_after=SECOND)
            for seconds in returns_after:
                await trio.sleep(seconds)
                now = clock.elapsed()
                arrived = tickets.redeem("s", "o", b"f", now)
            self.assertEqual(expected, arrived == first)

        self.run_trio(run)

    def test_caller_on_time_has_its_first_place(self):
        self.check(returns_after=[1.0], expected=True)

    def test_early_caller_waits_its_turn_and_keeps_its_ticket(self):
        self.check(returns_after=[0.9], expected=False)
        self.check(returns_after=[0.5, 0.5], expected=True)

    def test_late_caller_has_no_ticket(self):
        self.check(returns_after=[2.6], expected=False)

    def test_ticket_counts_once(self):
        self.check(returns_after=[1.0, 0.1], expected=False)

    def test_tickets_are_bounded(self):
        async def run():
            tickets = Tickets(clock=self.make_clock())
            for number in range(2 * MAX_TICKETS):
                tickets.issue(
                    "s",
                    "o",
                    b"%d" % number,
                    arrived=SECOND,
                    retry_after=SECOND,
                )
            self.assertEqual(MAX_TICKETS, len(tickets))
            await trio.sleep(3)
            self.assertEqual(0, tickets.count_due("s"))
            self.assertEqual(0, len(tickets))

        self.run_trio(run)

    def test_refusals_of_one_second_name_different_times(self):
        """Failure: all callers refused at once return at once."""

        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a", service="engines"))
            placer = make_placer(clock, pool)
            pool.loads.update_peer("n", {"a": make_load([(3000, 1900)] * 11)})
            times = []
            for number in range(8):
                request = make_placement_request(
                    clock,
                    make_generation_state(3000, output_tokens=700),
                    limit=0.01,
                    organisation="o",
                    fingerprint=random.Random(number).randbytes(8),
                )
                placement = await placer.place(request)
                times.append(placement.retry_after / SECOND)
            self.assertEqual(8, len(set(times)))
            # An engine with 11 generations of 3 s ends 3.7 per second.
            self.assertAlmostEqual(8 * 3 / 11, times[-1], delta=0.1)

        self.run_trio(run)
