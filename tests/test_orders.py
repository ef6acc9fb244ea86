from datetime import timedelta

import trio

from acaciarack.configuration import Configuration, Target, TargetKind
from acaciarack.errors import Refusal, RunOutcome
from acaciarack.leases import MAX_CLOCK_DRIFT, ORDER_LIFETIME, LeaseManager
from acaciarack.operator_interfaces import OrderKind, OrderRequest, OrderState
from acaciarack.order_sender import SendOutcome, SendResult
from acaciarack.order_table import MAX_ATTEMPTS
from acaciarack.orders import LogOrderManager
from acaciarack_bench.log import MemoryLog
from acaciarack_bench.weights import MemoryWeightStore
from tests.support import TestCase

SECOND = timedelta(seconds=1)
LOAD = OrderRequest(
    target="engine-1", kind=OrderKind.LOAD, model="m", version="2"
)


class RecordingTarget:
    """Records orders; returns the given outcomes, then ``OBEYED``."""

    def __init__(self, *, clock, outcomes=()):
        self.clock = clock
        self.outcomes = list(outcomes)
        self.received = []

    async def send(self, target, request, *, fencing):
        await trio.lowlevel.checkpoint()
        self.received.append((self.clock.elapsed(), fencing, request))
        if self.outcomes:
            return SendResult(outcome=self.outcomes.pop(0), detail="given")
        return SendResult(outcome=SendOutcome.OBEYED)


class OrderCluster:
    """Order managers of several nodes with one log and one target."""

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
            LeaseManager(
                log=self.log,
                clock=clock,
                node=f"node-{index}",
                retention=timedelta(hours=1),
            )
            for index in range(nodes)
        ]
        self.managers = [
            self._build_order_manager(index) for index in range(nodes)
        ]

    def _build_order_manager(self, index):
        return LogOrderManager(
            leases=self.leases[index],
            sender=self.target,
            weights=self.weights,
            clock=self.clock,
            get_configuration=lambda: self.configuration,
            is_executor=lambda target: index in self.executors,
        )

    def start(self, nursery):
        for part in (*self.leases, *self.managers):
            nursery.start_soon(part.run)

    async def submit(self, request=LOAD, index=0):
        while not self.leases[index].is_ready():  # noqa: ASYNC110
            await trio.sleep(0.01)
        return await self.managers[index].submit(request, author="anna")

    async def wait_until_finished(self, order, index=0):
        ended = (OrderState.DONE, OrderState.FAILED)
        with trio.fail_after(300):
            while True:
                current = await self.managers[index].get(order.id)
                if current is not None and current.state in ended:
                    return current
                await trio.sleep(0.1)


class OrdersTest(TestCase):
    def run_scenario(self, scenario, **values):
        async def run():
            cluster = OrderCluster(clock=self.make_clock(), **values)
            async with trio.open_nursery() as nursery:
                cluster.start(nursery)
                result = await scenario(cluster)
                nursery.cancel_scope.cancel()
            return result

        return self.run_trio(run)

    def test_order_is_sent_once_if_two_nodes_are_executors(self):
        async def scenario(cluster):
            order = await cluster.submit()
            await cluster.wait_until_finished(order, index=1)
            await trio.sleep(60)
            return order, cluster.target.received

        order, received = self.run_scenario(scenario, nodes=2)
        self.assertEqual(OrderState.PENDING, order.state)
        self.assertEqual([LOAD], [item[2] for item in received])

    def test_next_executor_uses_a_higher_fencing_number(self):
        async def scenario(cluster):
            first = await cluster.submit()
            await cluster.wait_until_finished(first)
            cluster.executors = {1}
            second = await cluster.submit()
            await cluster.wait_until_finished(second)
            return cluster.target.received

        received = self.run_scenario(scenario, nodes=2)
        self.assertLess(received[0][1], received[1][1])

    def test_uncertain_order_cannot_arrive_after_the_next_attempt(self):
        async def scenario(cluster):
            order = await cluster.submit()
            ended = await cluster.wait_until_finished(order)
            return ended, cluster.target.received

        for checks in (True, False):
            ended, received = self.run_scenario(
                scenario, checks=checks, outcomes=[SendOutcome.UNCERTAIN]
            )
            first, second = received
            self.assertEqual(OrderState.DONE, ended.state)
            self.assertLess(first[1], second[1])
            if not checks:
                self.assertGreaterEqual(
                    second[0] - first[0], ORDER_LIFETIME + MAX_CLOCK_DRIFT
                )

    def test_order_to_unreachable_target_fails(self):
        async def scenario(cluster):
            return await cluster.wait_until_finished(await cluster.submit())

        outcomes = [SendOutcome.NOT_SENT] * MAX_ATTEMPTS
        ended = self.run_scenario(scenario, outcomes=outcomes)
        self.assertEqual(OrderState.FAILED, ended.state)

    def test_loads_respect_the_rate_limit_of_the_weight_store(self):
        async def scenario(cluster):
            orders = [await cluster.submit() for _ in range(3)]
            for order in orders:
                await cluster.wait_until_finished(order)
            return [item[0] for item in cluster.target.received]

        times = self.run_scenario(scenario)
        self.assertGreaterEqual(times[2] - times[0], 20 * SECOND)

    def test_submission_has_unknown_outcome_during_log_outage(self):
        async def scenario(cluster):
            await cluster.submit()
            cluster.log.faults.down = True
            return await cluster.submit()

        result = self.run_scenario(scenario)
        self.assertIsInstance(result, Refusal)
        self.assertEqual(RunOutcome.UNKNOWN, result.outcome)
