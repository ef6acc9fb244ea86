"""Engines of unequal speed on shared VMs, and callers, on a simulated clock.

The figures are those of the second deployment (docs/design/uneven-capacity.md).
"""

import random
from datetime import timedelta

import trio

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.client import AnswerNotice, ReportedLoad
from tests.gateway_fakes import make_placement_request

SLOTS = 24
MEMORY_TOKENS = 26_995
STEP_SECONDS = 0.007
STEP_SECONDS_PER_RUN = 0.00012
PROMPT_STEP_SECONDS = 0.008
PROMPT_TOKENS_PER_STEP = 112
EVENT_TOKENS = 4
SLOWDOWN = 2.5
SLOWDOWN_SECONDS = 0.6
SLOWDOWN_SHARE = 0.15
PAUSE_SECONDS = 0.18
FACTORS = (0.6, 1.0, 1.6)


class PlayedRun:
    """A generation on an engine, with the times of its events.

    Attributes:
        read: the prompt tokens that the engine has read.
        created: the output tokens that it has created.
        events: the time of each event.
        blamed: the runs whose prompts were read in each pause that is too long.
    """

    def __init__(self, generation, output):
        self.generation = generation
        self.output = output
        self.read = 0
        self.created = 0
        self.events = []
        self.readers = set()
        self.blamed = []
        self.ended = trio.Event()

    @property
    def used_tokens(self):
        return self.generation.prompt.tokens + self.created

    def create_token(self, now):
        self.created += 1
        if self.created % EVENT_TOKENS and self.created < self.output:
            return
        if self.events and now - self.events[-1] > PAUSE_SECONDS:
            self.blamed.append(frozenset(self.readers))
        self.readers.clear()
        self.events.append(now)
        self.generation.emitted = len(self.events) * EVENT_TOKENS
        if self.created >= self.output:
            self.ended.set()


class PlayedEngine:
    """Reads one prompt after the other, and decodes all runs in each step."""

    def __init__(self, factor, rng):
        self.factor = factor
        self.rng = rng
        self.waiting = []
        self.runs = []
        self.peak_tokens = 0
        self.is_slow = False
        self.changes_at = 0.0
        self.added = trio.Event()

    def get_factor(self, now):
        """Returns how long work takes now."""
        while self.changes_at <= now:
            self.is_slow = not self.is_slow if self.changes_at else False
            usual = SLOWDOWN_SECONDS * (1 / SLOWDOWN_SHARE - 1)
            seconds = (
                self.rng.uniform(0.8, 1.2) * SLOWDOWN_SECONDS
                if self.is_slow
                else self.rng.expovariate(1 / usual)
            )
            self.changes_at += seconds
        return self.factor * (SLOWDOWN if self.is_slow else 1.0)

    def build_notice(self):
        """Returns what the head of an answer says now."""
        load = ReportedLoad(
            running=len(self.runs),
            waiting=len(self.waiting),
            slots=SLOTS,
            slowdown=self.get_factor(trio.current_time()),
        )
        return AnswerNotice(load=load, is_answer=True)

    def start(self, generation, output):
        run = PlayedRun(generation, output)
        self.waiting.append(run)
        self.added.set()
        return run

    async def work(self):
        while True:
            self._take_waiting()
            if not self.runs:
                self.added = trio.Event()
                await self.added.wait()
                continue
            reader = next((r for r in self.runs if not _is_read(r)), None)
            decoding = [r for r in self.runs if _is_read(r)]
            seconds = STEP_SECONDS + STEP_SECONDS_PER_RUN * len(self.runs)
            if reader is not None:
                seconds += PROMPT_STEP_SECONDS
                reader.read += PROMPT_TOKENS_PER_STEP
                for run in decoding:
                    run.readers.add(reader)
            await trio.sleep(seconds * self.get_factor(trio.current_time()))
            now = trio.current_time()
            for run in decoding:
                run.create_token(now)
            self.runs = [r for r in self.runs if not r.ended.is_set()]

    def _take_waiting(self):
        used = sum(run.used_tokens for run in self.runs)
        while self.waiting and len(self.runs) < SLOTS:
            used += self.waiting[0].used_tokens
            if used > MEMORY_TOKENS:
                break
            self.runs.append(self.waiting.pop(0))
        used = sum(run.used_tokens for run in self.runs)
        self.peak_tokens = max(self.peak_tokens, used)


def _is_read(run):
    return run.read >= run.generation.prompt.tokens


class Caller:
    """A caller of a stream.

    Attributes:
        run: its run; ``None`` if it was refused.
        engine: the id of its engine.
        snapshot: the scheduler's candidates when it chose the engine.
        done: set when it was refused, or its stream has ended.
    """

    def __init__(self, rng, *, is_long):
        self.is_long = is_long
        self.arrived = trio.current_time()
        if is_long:
            self.objective = 1.8
            tokens = rng.lognormvariate(8.0, 0.25)
            self.output = min(2000, round(rng.lognormvariate(6.5, 0.45)) + 8)
            limit = 2200
        else:
            self.objective = 1.5
            tokens = rng.lognormvariate(7.81, 0.25)
            self.output = rng.randint(5, 16)
            limit = 40
        hint = round(self.output * rng.lognormvariate(0, 0.5)) + 1
        self.prompt = Prompt(
            tokens=min(6000, round(tokens)), max_tokens=limit, hint=hint
        )
        self.run = None
        self.engine = None
        self.snapshot = None
        self.done = trio.Event()

    @property
    def first_event(self):
        if self.run is None or not self.run.events:
            return float("inf")
        return self.run.events[0] - self.arrived

    def has_long_pause(self):
        return bool(self.run and self.run.blamed)

    def is_served_well(self):
        return self.first_event <= self.objective and not self.has_long_pause()

    async def call(self, node, engines, snapshots, spec):
        """Places the generation on a node, and runs it to its end."""
        generation = Generation(prompt=self.prompt)
        now = node.fleet.clock.elapsed()
        request = make_placement_request(
            node.fleet.clock,
            generation,
            limit=self.objective / 2,
            spec=spec,
            **self.get_objectives(now),
        )
        placement = await node.placer.place(request)
        if placement.instance is None:
            self.done.set()
            return
        target = placement.instance.target
        loads = node.pool.loads
        self.engine = target.id
        self.snapshot = snapshots.pop(self.prompt, None)
        engine = engines[target.id]
        loads.add_generation(target.id, generation)
        self.run = engine.start(generation, self.output)
        handle = node.pool.target_table.begin_call(target.address)
        await trio.sleep(0.002)
        handle(engine.build_notice())
        await self.run.ended.wait()
        loads.remove_generation(target.id, generation)
        self.done.set()

    def get_objectives(self, now):
        return {
            "gap_objective": timedelta(seconds=PAUSE_SECONDS),
            "objective_at": now + timedelta(seconds=self.objective),
        }


def make_engines(names, seed):
    """Returns engines of time factors 0.6, 1.0 and 1.6 by name."""
    rng = random.Random(seed)
    return {
        name: PlayedEngine(
            FACTORS[number % len(FACTORS)], random.Random(rng.random())
        )
        for number, name in enumerate(names)
    }
