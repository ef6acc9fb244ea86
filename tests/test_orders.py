from datetime import timedelta

import trio

from acaciarack.configuration import Configuration, Target, TargetKind
from acaciarack.desks import OrderKind, OrderRequest, OrderState
from acaciarack.errors import Refusal, RunOutcome
from acaciarack.leases import DRIFT, ORDER_LIFETIME, Leases
from acaciarack.order_book import MAX_ATTEMPTS
from acaciarack.order_sender import SendOutcome, Sent
from acaciarack.orders import LogOrderDesk
from acaciarack_bench.log import MemoryLog
from acaciarack_bench.weights import MemoryWeightStore
from tests.support import TestCase

SECOND = timedelta(seconds=1)
LOAD = OrderRequest(
    target="engine-1", kind=OrderKind.LOAD, model="m", version="2"
)


class RecordingTarget:
    """Gets orders; answers with the outcomes it is given, then obeys."""

    def __init__(self, *, clock, outcomes=()):
        self.clock = clock
        self.outcomes = list(outcomes)
        self.received = []

    async def send(self, target, request, *, fencing):
        await trio.lowlevel.checkpoint()
        self.received.append((self.clock.elapsed(), fencing, request))
        if self.outcomes:
            return Sent(outcome=self.outcomes.pop(0), detail="given")
        return Sent(outcome=SendOutcome.OBEYED)


class Bench:
    """Desks of some nodes on one log, before one target."""

    def __init__(self, *, clock, nodes=1, checks=True, outcomes=()):
        self.clock = clock
        self.log = MemoryLog(clock=clock, appends_per_second=1000)
        self.weights = MemoryWeightStore(clock=clock, interval=10 * SECOND)
        self.target = RecordingTarget(clock=clock, outcomes=outcomes)
        engine = Target(
            name="engine-1",
            kind=TargetKind.ENGINE,
            host="127.0.0.1",
            port=1,
            data_centre="oslo-a",
            pool="p",
            checks_fencing=checks,
        )
        self.configuration = Configuration(targets={"engine-1": engine})
        self.executors = set(range(nodes))
        self.leases = [
            Leases(
                log=self.log,
                clock=clock,
                node=f"node-{index}",
                retention=timedelta(hours=1),
            )
            for index in range(nodes)
        ]
        self.desks = [self._build_desk(index) for index in range(nodes)]

    def _build_desk(self, index):
        return LogOrderDesk(
            leases=self.leases[index],
            sender=self.target,
            weights=self.weights,
            clock=self.clock,
            get_configuration=lambda: self.configuration,
            is_executor=lambda target: index in self.executors,
        )

    def start(self, nursery):
        for part in (*self.leases, *self.desks):
            nursery.start_soon(part.run)

    async def submit(self, request=LOAD, index=0):
        while not self.leases[index].is_ready():  # noqa: ASYNC110
            await trio.sleep(0.01)
        return await self.desks[index].submit(request, author="anna")

    async def wait_until_ended(self, order, index=0):
        ended = (OrderState.DONE, OrderState.FAILED)
        with trio.fail_after(300):
            while True:
                found = await self.desks[index].get(order.id)
                if found is not None and found.state in ended:
                    return found
                await trio.sleep(0.1)


class OrdersTest(TestCase):
    def run_bench(self, scenario, **values):
        async def run():
            bench = Bench(clock=self.make_clock(), **values)
            async with trio.open_nursery() as nursery:
                bench.start(nursery)
                result = await scenario(bench)
                nursery.cancel_scope.cancel()
            return result

        return self.run_trio(run)

    def test_two_nodes_that_both_believe_to_act_send_an_order_once(self):
        async def scenario(bench):
            order = await bench.submit()
            await bench.wait_until_ended(order, index=1)
            await trio.sleep(60)
            return order, bench.target.received

        order, received = self.run_bench(scenario, nodes=2)
        self.assertEqual(OrderState.PENDING, order.state)
        self.assertEqual([LOAD], [item[2] for item in received])

    def test_another_node_takes_over_with_a_higher_number(self):
        async def scenario(bench):
            first = await bench.submit()
            await bench.wait_until_ended(first)
            bench.executors = {1}
            second = await bench.submit()
            await bench.wait_until_ended(second)
            return bench.target.received

        received = self.run_bench(scenario, nodes=2)
        self.assertLess(received[0][1], received[1][1])

    def test_uncertain_order_cannot_follow_the_next_attempt(self):
        async def scenario(bench):
            order = await bench.submit()
            ended = await bench.wait_until_ended(order)
            return ended, bench.target.received

        for checks in (True, False):
            ended, received = self.run_bench(
                scenario, checks=checks, outcomes=[SendOutcome.UNCERTAIN]
            )
            first, second = received
            self.assertEqual(OrderState.DONE, ended.state)
            self.assertLess(first[1], second[1])
            if not checks:
                self.assertGreaterEqual(
                    second[0] - first[0], ORDER_LIFETIME + DRIFT
                )

    def test_target_that_cannot_be_reached_ends_as_failed(self):
        async def scenario(bench):
            return await bench.wait_until_ended(await bench.submit())

        outcomes = [SendOutcome.NOT_SENT] * MAX_ATTEMPTS
        ended = self.run_bench(scenario, outcomes=outcomes)
        self.assertEqual(OrderState.FAILED, ended.state)

    def test_loads_keep_to_the_rate_of_the_weight_store(self):
        async def scenario(bench):
            orders = [await bench.submit() for _ in range(3)]
            for order in orders:
                await bench.wait_until_ended(order)
            return [item[0] for item in bench.target.received]

        times = self.run_bench(scenario)
        self.assertGreaterEqual(times[2] - times[0], 20 * SECOND)

    def test_order_is_refused_when_the_log_is_down(self):
        async def scenario(bench):
            await bench.submit()
            bench.log.faults.down = True
            return await bench.submit()

        result = self.run_bench(scenario)
        self.assertIsInstance(result, Refusal)
        self.assertEqual(RunOutcome.UNKNOWN, result.outcome)
