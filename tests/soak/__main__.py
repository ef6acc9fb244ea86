"""Runs node processes under faults that a seed draws, and checks the rules.

``python -m tests.soak --seed 7 --nodes 6 --seconds 60``. Prints the faults,
what callers got, and each broken rule; ends with 1 if there is one. Logs of
the nodes stay in the folder that it names.
"""

import argparse
import json
import pathlib
import random
import resource
import signal
import sys
import tempfile

import trio

from tests.soak.callers import (
    Callers,
    count_cuts,
    count_outcomes,
    find_violations,
)
from tests.soak.fleet import NOTICES, Fleet

CONFIGURATION_TIME = 3.0
"""Seconds until a configuration is in force everywhere: the stated bound."""
LEAVING_TIME = 2.0
"""Seconds after which a leaving engine gets nothing new: `reuse_after_s`."""
START_TIME = 4.0
"""Seconds in which a node that was disturbed need not answer."""
FAULTS = {
    "kill a node": 3,
    "freeze a node": 2,
    "stop a node": 2,
    "engine leaves": 4,
    "engine crashes": 1,
    "store refuses": 2,
    "store forgets": 1,
    "configuration": 4,
}
"""Kinds of faults, and how often each is drawn."""


class Soak:
    """One seed's faults on one fleet."""

    def __init__(self, *, fleet, callers, chance):
        self.fleet = fleet
        self.callers = callers
        self.chance = chance
        self.violations = []
        self.faults = []
        self._store_back = 0.0

    async def run(self, nursery, seconds):
        """Brings a fault about each 0.2 to 1.5 s."""
        actions = {
            "kill a node": self._kill_node,
            "freeze a node": self._freeze_node,
            "stop a node": self._stop_node,
            "engine leaves": self._reclaim,
            "engine crashes": self._crash,
            "store refuses": self._refuse,
            "store forgets": self._forget,
            "configuration": self._configure,
        }
        began = trio.current_time()
        while trio.current_time() < began + seconds:
            await trio.sleep(self.chance.uniform(0.2, 1.5))
            kinds = list(FAULTS)
            (kind,) = self.chance.choices(kinds, weights=FAULTS.values())
            self.faults.append((round(trio.current_time() - began, 2), kind))
            nursery.start_soon(actions[kind])

    def _draw_node(self):
        running = [n for n in self.fleet.nodes if n.is_running]
        # Two nodes are left alone, so that there is somebody to serve.
        return self.chance.choice(running) if len(running) > 2 else None

    async def _kill_node(self):
        node = self._draw_node()
        if node is not None:
            node.signal(signal.SIGKILL)
            await node.wait()
            await trio.sleep(self.chance.uniform(0, 2))
            await node.start()

    async def _freeze_node(self):
        node = self._draw_node()
        if node is not None:
            node.signal(signal.SIGSTOP)
            await trio.sleep(self.chance.uniform(0.3, 3))
            node.signal(signal.SIGCONT)

    async def _stop_node(self):
        node = self._draw_node()
        if node is None or node.stopping:
            return
        node.stopping = True
        node.signal(signal.SIGTERM)
        stopped = trio.current_time()
        if await node.wait() == 0:
            self._check_planned_stop(node, stopped)
        await node.start()

    def _check_planned_stop(self, node, stopped):
        """A planned stop cuts nothing that was begun before it."""
        for attempt in self.callers.attempts:
            run = self.fleet.ledger.runs.get(attempt.id)
            if (
                attempt.node == node.name
                and stopped - 3 < attempt.began < stopped
                and attempt.status == 200
                and not attempt.is_whole
                and not (run and run.place.is_dead)
            ):
                self.violations.append(
                    f"{attempt.id}: cut by the planned stop of {node.name}"
                )

    def _draw_engine(self):
        staying = [
            engine
            for engine in self.fleet.engines.values()
            if engine.leaving_since is None
        ]
        return self.chance.choice(staying) if len(staying) > 2 else None

    async def _reclaim(self):
        engine = self._draw_engine()
        if engine is not None:
            notice = self.chance.choice(NOTICES)
            await self.fleet.reclaim_engine(engine, notice=notice)

    async def _crash(self):
        engine = self._draw_engine()
        if engine is not None:
            await self.fleet.reclaim_engine(engine, notice=0.0)

    async def _refuse(self):
        self.fleet.store.refuses = True
        await trio.sleep(self.chance.uniform(0.5, 4))
        self.fleet.store.refuses = False
        self._store_back = trio.current_time()

    async def _forget(self):
        for topic in ("keyed.op", "keyed.servers"):
            self.fleet.store.forget(topic)

    async def _configure(self):
        self.fleet.publish()
        version, published = self.fleet.version, trio.current_time()
        await trio.sleep(CONFIGURATION_TIME)
        if self.fleet.store.refuses or self._store_back > published:
            return
        for node in self.fleet.nodes:
            if node.is_running and node.disturbed + START_TIME < published:
                await self._check_version(node, version)
        self.callers.confirmed = max(self.callers.confirmed, version)

    async def _check_version(self, node, version):
        asked = trio.current_time()
        port = node.ports["front"]
        path = f"/v{version}/x"
        found = await self.callers.ask(port, "POST", path, id="check-0")
        if found.status == 404 and node.disturbed < asked:
            self.violations.append(f"{node.name}: lacks version {version}")


async def play(arguments, folder):
    """Plays one seed; returns its report."""
    chance = random.Random(arguments.seed)
    fleet = Fleet(
        nodes=arguments.nodes, engines=arguments.engines, folder=folder
    )
    callers = Callers(fleet=fleet, chance=chance, rate=arguments.rate)
    soak = Soak(fleet=fleet, callers=callers, chance=chance)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    async with trio.open_nursery() as world:
        try:
            await fleet.start(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(callers.run, nursery)
                await trio.sleep(5)
                if not arguments.calm:
                    await soak.run(nursery, arguments.seconds)
                else:
                    await trio.sleep(arguments.seconds)
                callers.sending.cancel()
        finally:
            # Also if the soak itself is told to stop: no node outlives it.
            with trio.CancelScope(shield=True):
                codes = await fleet.stop()
        world.cancel_scope.cancel()
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    violations = soak.violations + list(
        find_violations(callers.attempts, fleet.ledger, seconds=LEAVING_TIME)
    )
    return {
        "seed": arguments.seed,
        "nodes": arguments.nodes,
        "seconds": arguments.seconds,
        "requests": len(callers.attempts),
        "outcomes": dict(sorted(count_outcomes(callers.attempts).items())),
        "cuts": dict(count_cuts(callers.attempts, fleet)),
        "faults": soak.faults,
        "codes": sorted({str(code) for code in codes.values()}),
        "processor_seconds": round(used, 1),
        "largest_process_mb": round(after.ru_maxrss / 1024, 1),
        "violations": violations,
    }


def main():
    """Plays the seeds named; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, nargs="+", default=[1])
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--calm", action="store_true", help="no faults")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    is_broken = False
    for seed in list(arguments.seed):
        arguments.seed = seed
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = trio.run(play, arguments, folder)
        print(json.dumps({**report, "logs": str(folder)}), flush=True)
        is_broken |= bool(report["violations"])
    return int(is_broken)


if __name__ == "__main__":
    sys.exit(main())
