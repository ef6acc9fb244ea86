"""A played load: eight nodes before six engines that are asked for too much.

Generations arrive one and a half times as fast as engines can serve them. The
test checks what callers get: the time to the first event of those served, who
is refused, by size, and that no engine is given more than its memory.
"""

import random

import trio

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.target_selection import (
    PREFILL_TOKENS_PER_SECOND,
)
from tests.gateway_fakes import ENGINE_SPEC, make_placement_request
from tests.scheduling_fleet import Fleet
from tests.support import TestCase

NODES = 8
ENGINES = tuple("abcdef")
SECONDS = 25
ARRIVALS_PER_SECOND = 12.0
OBJECTIVE_SECONDS = 1.8
SECONDS_PER_TOKEN = 0.01
MAX_REFUSAL_SECONDS = OBJECTIVE_SECONDS / 2 + 0.1


class PlayedEngine:
    """Reads one prompt after the other, and decodes all runs at one pace."""

    def __init__(self):
        self.runs = set()
        self.prefill_end = 0.0
        self.peak_tokens = 0

    async def run(self, generation, output):
        """Runs a generation; returns the time of its first event."""
        now = trio.current_time()
        self.runs.add(id(generation))
        self.prefill_end = max(now, self.prefill_end) + (
            generation.prompt.tokens / PREFILL_TOKENS_PER_SECOND
        )
        await trio.sleep(self.prefill_end - now)
        return trio.current_time()

    def record_use(self, generations):
        used = sum(g.used_tokens for g in generations)
        self.peak_tokens = max(self.peak_tokens, used)


class Caller:
    """One generation and what its caller got."""

    def __init__(self, rng):
        self.tokens = min(6000, round(rng.lognormvariate(7.95, 0.35)))
        self.output = min(1500, round(rng.lognormvariate(6.1, 0.9)) + 4)
        self.hint = round(self.output * rng.lognormvariate(0, 0.5)) + 1
        self.first_event = None
        self.refused_after = None
        self.retry_after = None


class LoadTest(TestCase):
    async def call(self, node, engines, caller, active):
        prompt = Prompt(tokens=caller.tokens, max_tokens=2000, hint=caller.hint)
        generation = Generation(prompt=prompt)
        began = trio.current_time()
        placement = await node.placer.place(
            make_placement_request(
                node.fleet.clock, generation, limit=OBJECTIVE_SECONDS / 2
            )
        )
        if placement.instance is None:
            caller.refused_after = trio.current_time() - began
            caller.retry_after = placement.retry_after.total_seconds()
            return
        name = placement.instance.target.id
        node.pool.loads.add_generation(name, generation)
        active[name].append(generation)
        caller.first_event = (
            await engines[name].run(generation, caller.output) - began
        )
        while generation.emitted < caller.output:
            generation.emitted += 4
            engines[name].record_use(active[name])
            await trio.sleep(4 * SECONDS_PER_TOKEN)
        active[name].remove(generation)
        node.pool.loads.remove_generation(name, generation)

    def play(self, seed):
        """Plays the load; returns the callers and the engines."""
        rng = random.Random(seed)
        callers = []
        engines = {name: PlayedEngine() for name in ENGINES}
        active = {name: [] for name in ENGINES}

        async def run():
            fleet = Fleet(self.make_clock(), NODES, engines=ENGINES)
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                end = trio.current_time() + SECONDS
                while trio.current_time() < end:
                    await trio.sleep(rng.expovariate(ARRIVALS_PER_SECOND))
                    caller = Caller(rng)
                    callers.append(caller)
                    node = rng.choice(fleet.nodes)
                    nursery.start_soon(self.call, node, engines, caller, active)
                await trio.sleep(2)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
        return callers, engines

    def test_callers_of_full_engines(self):
        callers, engines = self.play(seed=3)
        served = [c for c in callers if c.first_event is not None]
        refused = [c for c in callers if c.refused_after is not None]
        # The load is more than the engines can take.
        self.assertGreater(len(refused), 0.1 * len(callers))
        in_aim = sum(c.first_event <= OBJECTIVE_SECONDS for c in served)
        self.assertGreaterEqual(in_aim, 0.95 * len(served))
        # The largest tenth is served at least half as often as all.
        callers.sort(key=lambda c: c.tokens)
        largest = callers[-len(callers) // 10 :]
        share = sum(c.first_event is not None for c in largest) / len(largest)
        self.assertGreaterEqual(share, 0.5 * len(served) / len(callers))
        for caller in refused:
            self.assertLess(caller.refused_after, MAX_REFUSAL_SECONDS)
            self.assertGreater(caller.retry_after, 0)
        for engine in engines.values():
            self.assertLess(engine.peak_tokens, ENGINE_SPEC.memory_tokens)
