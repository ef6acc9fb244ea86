"""Played loads: targets come back cold and are asked for far too much.

A cold target crashes above its rate. With 20 requests per second, 1.5 times of
them and 5 more, it may get 35 in any second from all nodes together.
"""

import random
from bisect import bisect_left
from dataclasses import replace
from datetime import timedelta

import trio

from acaciarack.errors import Refusal, RunOutcome
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.scheduling.placement_queue import PlacementQueue
from acaciarack.gateway.spec import Prompt, RouteKind
from acaciarack.gateway.targets.client import AnswerNotice
from acaciarack.gateway.targets.pool import DestinationRequest
from tests.gateway_fakes import (
    APPLICATION_SERVICE,
    ENGINE_SERVICE,
    ENGINE_SPEC,
    FakeResponse,
    FakeTargets,
    limit_cold_targets,
    make_call,
    make_call_server,
    make_head,
    make_placement_request,
    make_pool,
    make_target,
)
from tests.scheduling_fleet import Fleet
from tests.support import TestCase

COLD_SERVICE = replace(
    ENGINE_SERVICE, cold_rate=20.0, cold_time=timedelta(seconds=4)
)
BOUND = 35
COLD_SECONDS = 4.0
ENGINES = {8: 3, 59: 4, 330: 6}
REQUESTS_PER_ENGINE = 60.0
"""Requests per second for each engine: 3 times what a cold one takes."""
CUT_OFF_REQUESTS_PER_ENGINE = 20.0
"""The same while nodes do not know that targets are cold. Deployments send an
engine 3 per second in bursts of 2.5 times 44 streams to 36 engines."""
PLAYED_SECONDS = 2.5


class ColdFleet(Fleet):
    """A fleet whose nodes report to schedulers only, and can be cut off."""

    def __init__(self, clock, count, engines):
        names = [f"e{number}" for number in range(engines)]
        super().__init__(clock, count, engines=names, service=COLD_SERVICE)
        self.cut_off = set()
        self.first = None
        self.deaf = set()
        self.is_silent = False
        self.rounds = 0

    def is_cut(self, node, other):
        return (node in self.cut_off) != (other in self.cut_off)

    def exchange_heartbeats(self):
        self.rounds += 1
        # Nodes of large fleets send them less often.
        if self.rounds % (20 if len(self.nodes) < 100 else 60) == 1:
            super().exchange_heartbeats()

    def send(self, sender, data, node):
        receiver = self.by_name[node.name]
        if (
            self.is_silent
            or self.is_cut(sender, receiver)
            or (receiver is self.first and sender in self.deaf)
        ):
            return
        super().send(sender, data, node)

    def bring_back(self, names):
        """Restarts engines: they come back cold, under their ids."""
        now = self.clock.now().timestamp()
        for node in self.nodes:
            if node not in self.cut_off:
                for name in names:
                    node.pool.target_table.put(
                        make_target(
                            name,
                            service="engines",
                            slots=24,
                            born=int(now * 1000),
                            sequence=1,
                            warmup=timedelta(seconds=COLD_SECONDS),
                        )
                    )


class Player:
    """Sends requests of all kinds, and records when each engine got them."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.arrivals = {}

    async def send(self, node):
        kind = self.rng.choice(("start", "start", "call", "copy"))
        generation = Generation(prompt=Prompt(tokens=100, max_tokens=8, hint=8))
        if kind == "call":
            placement = await node.placer.place_limited_call(
                "engines", exclude=frozenset(), time_left=timedelta(seconds=2)
            )
            instance = placement.instance
        elif kind == "copy":
            instance = await node.placer.choose_destination(
                DestinationRequest(
                    service="engines",
                    spec=ENGINE_SPEC,
                    generation=generation,
                    data_centre="oslo-a",
                    exclude=frozenset(),
                )
            )
        else:
            request = make_placement_request(
                self.fleet.clock, generation, limit=0.75
            )
            instance = (await node.placer.place(request)).instance
        if instance is None:
            return
        name = instance.target.id
        await trio.sleep(self.rng.uniform(0.001, 0.01))
        self.arrivals.setdefault(name, []).append(trio.current_time())
        node.pool.loads.add_generation(name, generation)
        await trio.sleep(0.02)
        notify = node.pool.target_table.begin_call(instance.target.address)
        left = max(0.0, COLD_SECONDS - trio.current_time() + self.cold_since)
        notify(AnswerNotice(warmup=timedelta(seconds=left)))
        await trio.sleep(0.1)
        node.pool.loads.remove_generation(name, generation)

    async def run(self, rate, nursery):
        self.cold_since = trio.current_time()
        while trio.current_time() < self.cold_since + PLAYED_SECONDS:
            await trio.sleep(self.rng.expovariate(rate))
            nursery.start_soon(self.send, self.rng.choice(self.fleet.nodes))

    def count_most(self):
        """Returns the most requests that one engine got in one second."""
        return max(
            (
                index + 1 - bisect_left(times, time - 1.0)
                for times in map(sorted, self.arrivals.values())
                for index, time in enumerate(times)
            ),
            default=0,
        )


def cut_off_third(fleet):
    fleet.cut_off = set(fleet.nodes[::3])


class ColdBoundTest(TestCase):
    def play(
        self,
        nodes,
        *,
        prepare=lambda fleet: None,
        after=lambda fleet: None,
        rate=REQUESTS_PER_ENGINE,
        seed=1,
    ):
        player = None

        async def run():
            nonlocal player
            clock = self.make_clock()
            engines = ENGINES[nodes]
            fleet = ColdFleet(clock, nodes, engines)
            player = Player(fleet, seed)
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                await trio.sleep(0.1)
                prepare(fleet)
                fleet.bring_back([f"e{number}" for number in range(engines)])
                after(fleet)
                await player.run(rate * engines, nursery)
                await trio.sleep(0.8)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return player

    def assert_bound(self, **fields):
        for nodes in ENGINES:
            player = self.play(nodes, **fields)
            self.assertLessEqual(player.count_most(), BOUND, nodes)
            yield player

    def test_one_scheduler(self):
        for player in self.assert_bound():
            # It does not refuse what is safe: half the bound at each engine.
            sent = sum(map(len, player.arrivals.values()))
            self.assertGreater(sent, PLAYED_SECONDS * 13 * len(player.arrivals))

    def test_two_schedulers_at_a_time(self):
        """Half of the nodes do not reach the first one, and ask the second."""

        def prepare(fleet):
            first = fleet.find_scheduler()
            others = [node for node in fleet.nodes if node is not first]
            fleet.first = first
            fleet.deaf = set(others[::2])

        for player in self.assert_bound(prepare=prepare):
            self.assertGreater(player.count_most(), BOUND // 2)

    def test_no_scheduler(self):
        """All targets are known to be cold, so only schedulers send."""

        def prepare(fleet):
            fleet.is_silent = True

        for _ in self.assert_bound(prepare=prepare):
            pass

    def test_third_of_the_nodes_cut_off(self):
        """They know neither the new lifetimes nor what the others send."""
        for _ in self.assert_bound(
            prepare=cut_off_third, rate=CUT_OFF_REQUESTS_PER_ENGINE
        ):
            pass

    def test_third_of_the_nodes_cut_off_while_targets_are_cold(self):
        for _ in self.assert_bound(after=cut_off_third):
            pass


class CallTest(TestCase):
    def test_calls_go_where_the_budget_allows(self):
        """A call is refused, and says when to come back, if no budget is left.

        Calls that were not granted would add up over all nodes.
        """

        async def run():
            clock = self.make_clock()
            pool = make_pool(clock, make_target("a", service="application"))
            limit_cold_targets(
                pool, replace(APPLICATION_SERVICE, cold_rate=20.0)
            )
            targets = FakeTargets(
                a=lambda: FakeResponse(make_head(), body=b"whole")
            )
            calls, _ = make_call_server(clock, pool, targets)
            results = [
                await calls.serve(make_call(clock, RouteKind.NON_IDEMPOTENT))
                for _ in range(40)
            ]
            refused = [r for r in results if isinstance(r, Refusal)]
            self.assertEqual(BOUND // 2, len(targets.sends))
            self.assertEqual(40 - BOUND // 2, len(refused))
            for refusal in refused:
                self.assertIs(RunOutcome.NOT_RUN, refusal.outcome)
                self.assertGreater(refusal.retry_after, timedelta(0))
            await trio.sleep(1.2)
            await calls.serve(make_call(clock, RouteKind.NON_IDEMPOTENT))
            self.assertEqual(BOUND // 2 + 1, len(targets.sends))

        self.run_trio(run)


class KnownColdTest(TestCase):
    def test_sources_of_coldness(self):
        """Record, answers, start and a lost connection tell that it is cold."""

        async def run():
            clock = self.make_clock()
            now = int(clock.now().timestamp() * 1000)
            pool = make_pool(clock)
            table = pool.target_table
            limit_cold_targets(pool, COLD_SERVICE)

            def put(name, **fields):
                table.put(make_target(name, service="engines", **fields))
                return table.get(name)

            def notify(instance, seconds):
                table.begin_call(instance.target.address)(
                    AnswerNotice(warmup=timedelta(seconds=seconds))
                )

            warm = put("w")
            cold = [
                put("r", warmup=timedelta(seconds=4)),
                put("s", born=now),
                # A clock that is an hour ahead ends with the cold time.
                put("c", born=now + 3_600_000),
                put("n"),
                put("u"),
            ]
            notify(cold[3], 4)
            table.record_unreachable(cold[4])
            await trio.sleep(3.9)
            self.assertEqual([True] * 5, [table.is_cold(i) for i in cold])
            self.assertFalse(table.is_cold(warm))
            await trio.sleep(0.2)
            self.assertEqual([False] * 5, [table.is_cold(i) for i in cold])
            # It may become cold again at any moment.
            notify(warm, 2)
            self.assertTrue(table.is_cold(warm))
            notify(warm, 0)
            self.assertFalse(table.is_cold(warm))

        self.run_trio(run)


class ComeBackTest(TestCase):
    """A node alone with one queue, as a scheduler has it."""

    def run_queue(self, requests, *, engines, alone=False):
        """Places generations; returns the order and times of their grants."""
        granted = []

        async def place(queue, pool, clock, tokens, output):
            prompt = Prompt(tokens=tokens, max_tokens=output, hint=output)
            request = make_placement_request(
                clock,
                Generation(prompt=prompt),
                limit=20.0,
                avoids_limited=alone,
            )
            instance = await queue.place(request)
            if instance is None:
                granted.append((None, trio.current_time() - start))
                return
            granted.append((tokens, trio.current_time() - start))
            await trio.sleep(0.05 + output / 100)
            queue.end_grant(instance.target.id, request.generation)

        async def run():
            nonlocal start
            start = trio.current_time()
            clock = self.make_clock()
            pool = make_pool(clock)
            limit_cold_targets(pool, COLD_SERVICE)
            queue = PlacementQueue(clock=clock, pool=pool)
            async with trio.open_nursery() as nursery:
                for tokens, output in requests:
                    nursery.start_soon(
                        place, queue, pool, clock, tokens, output
                    )
                    await trio.sleep(0.0001)
                for number in range(engines):
                    pool.target_table.put(
                        make_target(
                            f"e{number}",
                            service="engines",
                            warmup=timedelta(seconds=COLD_SECONDS),
                        )
                    )

        start = 0.0
        self.run_trio(run)
        return granted

    def test_queue_drains(self):
        """200 wait; 3 engines take 17 each per 1.1 s: 4.4 s at most."""
        granted = self.run_queue([(100, 8)] * 200, engines=3)
        self.assertEqual(200, len(granted))
        self.assertTrue(all(tokens for tokens, _ in granted))
        self.assertLessEqual(granted[-1][1], 4.4)

    def test_cheap_generations_come_first(self):
        large = [(3000, 8)] * 10
        small = [(500, 8)] * 40
        granted = self.run_queue([*large, *small], engines=2)
        times = {500: [], 3000: []}
        for tokens, seconds in granted:
            times[tokens].append(seconds)
        self.assertEqual([40, 10], [len(found) for found in times.values()])
        self.assertLessEqual(max(times[500]), min(times[3000]))

    def test_node_that_decides_alone_waits_until_a_target_is_warm(self):
        granted = self.run_queue([(100, 8)] * 5, engines=2, alone=True)
        self.assertEqual(5, len(granted))
        for tokens, seconds in granted:
            self.assertEqual(100, tokens)
            self.assertGreaterEqual(seconds, COLD_SECONDS)
