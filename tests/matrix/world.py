"""What the worlds of all paths share: nodes that die and freeze, triggers."""

import random
from collections import Counter
from unittest.mock import patch

import trio
import trio.testing

from acaciarack.clock import SteadyClock
from tests.matrix.cells import Fault, Step
from tests.support import EPOCH

LIMIT_SECONDS = 4000


class Gate:
    """Holds back whatever a frozen process would do next."""

    def __init__(self):
        self._opened = trio.Event()
        self._opened.set()

    def freeze(self):
        if self._opened.is_set():
            self._opened = trio.Event()

    def thaw(self):
        self._opened.set()

    @property
    def is_frozen(self):
        return not self._opened.is_set()

    async def wait(self):
        await trio.lowlevel.checkpoint()
        await self._opened.wait()


class Host:
    """Runs one node's tasks; a kill ends all of them at once."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.gate = Gate()
        self.scope = trio.CancelScope()
        self.dead = trio.Event()
        self.nursery = None
        self.link_faults = []

    async def run(self, start, *, task_status=trio.TASK_STATUS_IGNORED):
        with self.scope:
            async with trio.open_nursery() as self.nursery:
                await start(self.nursery)
                task_status.started()
                await trio.sleep_forever()
        self.dead.set()

    def kill(self):
        self.scope.cancel()
        self.dead.set()


class World:
    """One cell's run. Subclasses bring the path about and check it.

    ``violations`` holds what was seen from the outside that must not be.
    """

    def __init__(self, cell, nursery):
        self.cell = cell
        self.nursery = nursery
        self.random = random.Random(cell.name)
        self.clock = SteadyClock(epoch=EPOCH)
        self.visits = Counter()
        self.injected = 0
        self.violations = []

    def expect(self, condition, text):
        if not condition and text not in self.violations:
            self.violations.append(text)

    async def reach(self, step, host):
        """Brings the cell's faults about when a step is reached."""
        self.visits[step] += 1
        plans = []
        for plan in self.cell.injections:
            if (plan.step, plan.visit) == (step, self.visits[step]):
                self.injected += 1
                plans.append(plan.fault)
        for fault in plans:
            await self.inject(fault, step, host)
        await host.gate.wait()

    async def inject(self, fault, step, host):
        match fault:
            case Fault.KILL:
                host.kill()
                self.nursery.start_soon(self.restart_later, host)
            case Fault.FREEZE:
                host.gate.freeze()
                seconds = self.random.choice((0.5, 2.5, 4, 12, 30))
                self.nursery.start_soon(self.thaw_later, host, seconds)
            case Fault.LAPSED:
                host.gate.freeze()
                self.nursery.start_soon(self.thaw_later, host, 330)
            case _:
                await self.inject_here(fault, step, host)

    def take_link_fault(self, host):
        faults = host.link_faults
        return faults.pop(0) if faults else None

    async def delay(self):
        await trio.sleep(self.random.choice((0.5, 3)))

    async def accept(self, host):
        """Crosses the link from a caller; false if it is silent."""
        await self.reach(Step.ACCEPT, host)
        match self.take_link_fault(host):
            case Fault.SILENT:
                return False
            case Fault.DELAY:
                await self.delay()
        return True

    async def restart_later(self, host):
        await trio.sleep(self.random.choice((0.1, 1, 5)))
        await self.start(host.name)

    async def thaw_later(self, host, seconds):
        await trio.sleep(seconds)
        host.gate.thaw()


def run_cell(world_type, cell):
    """Runs a cell on a simulated clock.

    Returns:
        The world, with its violations.
    """

    async def run():
        async with trio.open_nursery() as nursery:
            world = world_type(cell, nursery)
            with trio.move_on_after(LIMIT_SECONDS) as scope:
                await world.run()
            world.expect(not scope.cancelled_caught, "the run did not end")
            nursery.cancel_scope.cancel()
        return world

    # The order in which trio runs tasks that are ready comes from the seed.
    scheduler = trio._core._run
    scheduler._r.seed(cell.name)
    with patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
