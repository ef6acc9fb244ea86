"""Servers of plain calls with slowdown periods, and their paces."""

import math
import random
from collections import Counter
from dataclasses import replace
from datetime import timedelta

import trio

from acaciarack.gateway.requests.request_handling import BufferedResponse
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import AnswerNotice, ReportedLoad
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.pace import Pace, TargetPaces, TargetSample
from tests.gateway_fakes import (
    FakeResponse,
    make_call,
    make_call_server,
    make_head,
    make_target,
)
from tests.scheduling_fleet import Fleet

PERIOD_SECONDS = 0.6
PERIOD_SHARE = 0.15
PERIOD_FACTOR = 2.5
OBJECTIVE = timedelta(milliseconds=336)
NON_IDEMPOTENT_SHARE = 49.3 / 69


class FakePaces(TargetPaces):
    """Knows the usual factor of each target and its newest reported one."""

    def __init__(self, clock, usual):
        super().__init__(clock=clock)
        self.clock = clock
        self.usual = usual
        self.reported = {}

    def record(self, target, load):
        """Does nothing: the played servers record samples themselves."""

    def record_sample(self, sample):
        if sample.load is not None and sample.load.slowdown is not None:
            learned_at = self.clock.elapsed() - sample.age
            known = self.reported.get(sample.target)
            if known is None or known[1] <= learned_at:
                self.reported[sample.target] = (
                    sample.load.slowdown,
                    learned_at,
                )

    def get_pace(self, target):
        if target not in self.reported:
            return Pace()
        factor, learned_at = self.reported[target]
        usual = self.usual.get(target.id, 1.0)
        age = (self.clock.elapsed() - learned_at).total_seconds()
        slowdown = 1 + (factor / usual - 1) * math.exp(-age / PERIOD_SECONDS)
        return Pace(speed=1 / usual, slowdown=slowdown, is_reported=True)


class PlayedServer:
    """Runs calls on its slots, in order of arrival, at a varying pace."""

    def __init__(self, target, *, factor, work_seconds, rng):
        self.target = target
        self.factor = factor
        self.work_seconds = work_seconds
        self.rng = rng
        self.running = 0
        self.waiting = []
        self.is_slow = False
        self.started = 0

    async def vary(self):
        """Starts and ends slowdown periods."""
        gap = PERIOD_SECONDS * (1 - PERIOD_SHARE) / PERIOD_SHARE
        while True:
            self.is_slow = False
            await trio.sleep(self.rng.expovariate(1 / gap))
            self.is_slow = True
            await trio.sleep(self.rng.uniform(0.5, 1.5) * PERIOD_SECONDS)

    @property
    def factor_now(self):
        return self.factor * (PERIOD_FACTOR if self.is_slow else 1.0)

    async def run(self):
        """Runs a call; returns the load in the head of its answer."""
        self.started += 1
        if self.running >= self.target.slots:
            free = trio.Event()
            self.waiting.append(free)
            await free.wait()
        else:
            self.running += 1
        left = self.work_seconds * self.rng.uniform(0.8, 1.2)
        while left > 0:
            step = min(0.01, left * self.factor_now)
            left -= step / self.factor_now
            await trio.sleep(step)
        load = ReportedLoad(
            running=self.running,
            waiting=len(self.waiting),
            slots=self.target.slots,
            slowdown=self.factor_now,
        )
        if self.waiting:
            self.waiting.pop(0).set()
        else:
            self.running -= 1
        return load


def make_sample(target, *, age=0.0, work=None, load=None, slowdown=1.0):
    """Returns a sample; ``load`` is the running and the waiting calls."""
    return TargetSample(
        target=get_lifetime(target),
        age=timedelta(seconds=age),
        load=load
        and ReportedLoad(
            running=load[0],
            waiting=load[1],
            slots=target.slots,
            slowdown=slowdown,
        ),
        work_time=work and timedelta(seconds=work),
    )


class PlayedTargets:
    """The servers as one node reaches them.

    ``lies`` replaces the load that a server reports, by its id.
    """

    def __init__(self, fleet, pool):
        self.fleet = fleet
        self.pool = pool

    async def open(self, target, request, options):
        await trio.sleep(0.001)
        notify = self.pool.target_table.begin_call(target.address)
        self.fleet.runs[request.body] += 1
        load = await self.fleet.servers[target.id].run()
        status = 500 if self.fleet.rng.random() < self.fleet.failures else 200
        load = self.fleet.lies.get(target.id, load)
        if not self.fleet.reports:
            load = replace(load, slowdown=None)
        notify(AnswerNotice(load=load, is_answer=True))
        sample = TargetSample(
            target=get_lifetime(target), age=timedelta(0), load=load
        )
        self.pool.target_table.paces.record_sample(sample)
        return FakeResponse(make_head(status), body=b"whole")

    async def check_connection(self, target):
        await trio.sleep(0.001)


class CallFleet(Fleet):
    """Nodes that send calls to played servers.

    Attributes:
        servers: the servers, by id.
        reports: whether the servers report how long work takes there.
        failures: the fraction of calls that servers answer with 500.
        lies: the loads that servers report falsely, by id.
        runs: how often each call ran that is not idempotent, by body.
        results: the time that each call took and its result.
    """

    def __init__(self, clock, count, *, factors, work_seconds=0.069, seed=1):
        targets = [make_target(f"s{n}") for n in range(len(factors))]
        usual = {t.id: f for t, f in zip(targets, factors, strict=True)}
        super().__init__(clock, count, targets=targets)
        # Nodes read datagrams every 10 ms.
        self.delay = 0.008
        self.reports = True
        self.failures = 0.0
        self.lies = {}
        self.runs = Counter()
        self.results = []
        self.call_count = 0
        self.rng = random.Random(seed)
        self.servers = {
            t.id: PlayedServer(
                t,
                factor=usual[t.id],
                work_seconds=work_seconds,
                rng=random.Random(seed + n),
            )
            for n, t in enumerate(targets)
        }
        slowness = 1 + PERIOD_SHARE * (PERIOD_FACTOR - 1)
        self.capacity = sum(
            6 / (work_seconds * factor * slowness) for factor in factors
        )
        for node in self.nodes:
            node.calls, _ = make_call_server(
                clock,
                node.pool,
                PlayedTargets(self, node.pool),
                placer=node.placer,
            )
            node.calls.nodes = count

    async def vary(self):
        async with trio.open_nursery() as nursery:
            for server in self.servers.values():
                nursery.start_soon(server.vary)

    async def call(self, node, kind, **fields):
        """Serves a call; returns its result."""
        self.call_count += 1
        fields = {"seconds": 4.1, "objective": OBJECTIVE, **fields}
        body = b"%d" % self.call_count
        task = make_call(self.clock, kind, body=body, **fields)
        result = await node.calls.serve(task)
        self.results.append((task.elapsed() - task.arrived, result))
        if kind is RouteKind.IDEMPOTENT:
            del self.runs[body]
        return result

    async def play(self, seconds, *, load):
        """Sends calls for ``seconds``, at a share of the common capacity."""
        rng = self.rng
        async with trio.open_nursery() as nursery:
            end = trio.current_time() + seconds
            while trio.current_time() < end:
                await trio.sleep(rng.expovariate(load * self.capacity))
                kind = RouteKind.IDEMPOTENT
                if rng.random() < NON_IDEMPOTENT_SHARE:
                    kind = RouteKind.NON_IDEMPOTENT
                live = [node for node in self.nodes if not node.is_down]
                nursery.start_soon(self.call, rng.choice(live), kind)

    def get_share(self):
        """Returns which fraction of calls was answered in time."""
        return sum(
            time <= OBJECTIVE and isinstance(result, BufferedResponse)
            for time, result in self.results
        ) / len(self.results)
