"""The base simulation: runs, kills and freezes nodes, and injects faults."""

import random
from collections import Counter
from unittest.mock import patch

import trio
import trio.testing

from acaciarack.clock import SteadyClock
from tests.matrix.cells import Fault, Step
from tests.support import EPOCH

RUN_TIMEOUT_SECONDS = 4000
"""In simulated time."""


class Gate:
    """Blocks the tasks of a frozen node until it thaws."""

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
    """Runs the tasks of one node; a kill cancels all of them at once."""

    def __init__(self, simulation, name):
        self.simulation = simulation
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


class Simulation:
    """Runs one cell. Each subclass drives and checks one path.

    Subclasses define ``run``. They also define ``start`` and
    ``inject_path_fault``, or override ``inject``.

    Attributes:
        visits: the number of visits to each step.
        injected: the number of injected faults.
        violations: descriptions of incorrect behaviour, observed from outside.
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

    async def enter_step(self, step, host):
        """Counts a visit to a step and injects the cell's faults for it.

        Then waits while the node is frozen.
        """
        self.visits[step] += 1
        faults = []
        for injection in self.cell.injections:
            if (injection.step, injection.visit) == (step, self.visits[step]):
                self.injected += 1
                faults.append(injection.fault)
        for fault in faults:
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
                # Longer than the log's retention of 300 s.
                host.gate.freeze()
                self.nursery.start_soon(self.thaw_later, host, 330)
            case _:
                await self.inject_path_fault(fault, step, host)

    def pop_link_fault(self, host):
        link_faults = host.link_faults
        return link_faults.pop(0) if link_faults else None

    async def delay(self):
        await trio.sleep(self.random.choice((0.5, 3)))

    async def deliver_request(self, host):
        """Delivers a caller's request with any link fault.

        Returns:
            Whether the request arrives at the node.
        """
        await self.enter_step(Step.ACCEPT, host)
        match self.pop_link_fault(host):
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


def run_cell(simulation_type, cell):
    """Runs a cell on a simulated clock.

    Returns:
        The simulation, with its violations.
    """

    async def run():
        async with trio.open_nursery() as nursery:
            simulation = simulation_type(cell, nursery)
            with trio.move_on_after(RUN_TIMEOUT_SECONDS) as scope:
                await simulation.run()
            simulation.expect(not scope.cancelled_caught, "the run did not end")
            nursery.cancel_scope.cancel()
        return simulation

    # The order in which trio runs ready tasks depends only on the cell's name.
    scheduler = trio._core._run
    scheduler._r.seed(cell.name)
    with patch.object(scheduler, "_ALLOW_DETERMINISTIC_SCHEDULING", True):
        return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
