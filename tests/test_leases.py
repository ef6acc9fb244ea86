"""Checks that no order of an old lease holder follows one of a new holder."""

from contextlib import suppress
from datetime import timedelta

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.leases import (
    LeaseLapsedError,
    LeaseManager,
    LeaseUnavailableError,
)
from acaciarack_bench.log import MemoryLog
from tests.support import TestCase

HOLDERS = ("a", "b")
STEPS = st.tuples(
    st.sampled_from(HOLDERS),
    st.sampled_from(("acquire", "acquire", "order", "order", "release")),
    st.sampled_from((0, 0.1, 2, 9, 14, 16, 22)),
    st.sampled_from((0, 0, 4)),
)


class RecordingTarget:
    """Records the orders that a target executed and the holders' tenures."""

    def __init__(self, checks):
        self.checks = checks
        self.arrived = []
        self.arrived_tenures = []
        self.current_leases = {}
        self.holders = []
        self.tenure_of = {}

    async def run_step(self, manager, name, action, delay, nursery):
        if action == "acquire":
            await self.acquire(manager, name)
        elif name in self.current_leases and action == "order":
            nursery.start_soon(
                self.order, manager, self.current_leases[name], delay
            )
        elif name in self.current_leases and delay == 0:
            await trio.sleep(5)
            await manager.release(self.current_leases.pop(name))

    async def acquire(self, manager, name):
        lease = await manager.acquire("t")
        if lease is None:
            return
        self.current_leases[name] = lease
        if self.holders[-1:] != [name]:
            self.holders.append(name)
        self.tenure_of[lease.fencing] = len(self.holders)

    async def order(self, manager, lease, delay):
        with suppress(LeaseLapsedError):
            manager.check(lease, checks_fencing=self.checks)
            await trio.sleep(delay)
            if not self.checks or lease.fencing >= max([0, *self.arrived]):
                self.arrived.append(lease.fencing)
                self.arrived_tenures.append(self.tenure_of[lease.fencing])


class LeasesTest(TestCase):
    @settings(max_examples=500, derandomize=True, deadline=None)
    @given(steps=st.lists(STEPS, max_size=14), checks=st.booleans())
    def test_no_order_arrives_after_one_of_a_later_holder(self, steps, checks):
        target = RecordingTarget(checks)

        async def run():
            clock = self.make_clock()
            log = MemoryLog(clock=clock)
            async with trio.open_nursery() as nursery:
                nodes = {}
                for name in HOLDERS:
                    nodes[name] = LeaseManager(
                        log=log,
                        clock=clock,
                        node=name,
                        retention=timedelta(hours=1),
                    )
                    nursery.start_soon(nodes[name].run)
                await trio.sleep(1)
                for name, action, pause, delay in steps:
                    await target.run_step(
                        nodes[name], name, action, delay, nursery
                    )
                    await trio.sleep(pause)
                await trio.sleep(10)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        # Orders of one holder may arrive out of order. Only a target that
        # checks fencing numbers can detect this.
        self.assertEqual(sorted(target.arrived_tenures), target.arrived_tenures)
        if checks:
            self.assertEqual(sorted(target.arrived), target.arrived)

    def test_takeover_expiry_and_outage(self):
        async def run():
            clock = self.make_clock()
            log = MemoryLog(clock=clock)
            async with trio.open_nursery() as nursery:
                first, second = (
                    LeaseManager(
                        log=log,
                        clock=clock,
                        node="n",
                        retention=timedelta(hours=1),
                    )
                    for _ in range(2)
                )
                nursery.start_soon(first.run)
                nursery.start_soon(second.run)
                await trio.sleep(1)
                old = await first.acquire("t")
                first.check(old, checks_fencing=False)
                self.assertIsNone(await second.acquire("t"))
                await trio.sleep(15)
                with self.assertRaises(LeaseLapsedError):
                    first.check(old, checks_fencing=True)
                new = await second.acquire("t")
                self.assertTrue(new.fencing > old.fencing)
                second.check(new, checks_fencing=True)
                with self.assertRaises(LeaseLapsedError):
                    second.check(new, checks_fencing=False)
                await trio.sleep(8)
                second.check(new, checks_fencing=False)
                await second.release(new)
                first.check(await first.acquire("t"), checks_fencing=False)
                log.faults.down = True
                with self.assertRaises(LeaseUnavailableError):
                    await first.acquire("t")
                nursery.cancel_scope.cancel()

        self.run_trio(run)
