"""Servers of plain calls with slowdown periods, and their paces."""

import math
from datetime import timedelta

import trio

from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.pace import Pace, TargetPaces, TargetSample

PERIOD_SECONDS = 0.6
PERIOD_SHARE = 0.15
PERIOD_FACTOR = 2.5


class FakePaces(TargetPaces):
    """Knows the usual factor of each target and its newest reported one."""

    def __init__(self, clock, usual):
        self.clock = clock
        self.usual = usual
        self.reported = {}

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
