"""Plays nodes and engines that crash, without a network, by seeds.

The nodes decide alone by the reports of others; engines are chosen at random.
Time passes in steps of 10 ms.
"""

import random
from dataclasses import dataclass, field

from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from tests.test_request_quarantine import ManualClock, make_prompt

STEP_SECONDS = 0.01
NEW_RUN_SECONDS = 0.5
"""Age below which a lost run is reported as a possible cause."""
CRASH_DELAY_SECONDS = 0.08
DOWN_SECONDS = 2.0
REPORT_DELAY_SECONDS = 0.02
HEARTBEAT_SECONDS = 0.25


@dataclass(frozen=True, kw_only=True)
class Load:
    """Prompts that arrive at random.

    Attributes:
        name: what the prompts are.
        rate: prompts per second.
        segments: the segments that they share.
        is_harmful: whether they crash the engines that answer them.
    """

    name: str
    rate: float
    segments: tuple
    is_harmful: bool = False


@dataclass(kw_only=True, eq=False)
class Run:
    node: int
    load: Load
    prompt: object
    started_at: float
    is_proven: bool = False


@dataclass(kw_only=True, eq=False)
class Engine:
    lifetime: int = 0
    down_until: float = 0.0
    crash_at: float | None = None
    runs: list = field(default_factory=list)


class QuarantineFleet:
    """The nodes, the engines and what happened.

    Attributes:
        refusals: by load, the time and whether each prompt was refused; prompts
            that found no engine are left out.
        arrivals: by load, when prompts were sent to an engine.
        crashes: by load, when its prompts crashed an engine.
        proof_seconds: the age of a run that has proven its prompt sound.
        run_seconds: the age at which a run ends.
    """

    def __init__(
        self, *, nodes, engines, loads, seed, proof_seconds=1.0, run_seconds=2.0
    ):
        self.proof_seconds = proof_seconds
        self.run_seconds = run_seconds
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.nodes = [RequestQuarantine(clock=self.clock) for _ in range(nodes)]
        self.engines = [Engine() for _ in range(engines)]
        self.loads = loads
        self.refusals = {load.name: [] for load in loads}
        self.arrivals = {load.name: [] for load in loads}
        self.crashes = {load.name: [] for load in loads}
        self._news = set()
        self._due = []
        for index, node in enumerate(self.nodes):
            node.subscribe(lambda index=index: self._news.add(index))

    @property
    def now(self):
        return self.clock.now.total_seconds()

    def play(self, seconds, disturb=lambda fleet: None):
        """Plays the loads; calls ``disturb`` in each step."""
        end = self.now + seconds
        next_heartbeat = self.now
        while self.now < end:
            self.clock.advance(STEP_SECONDS)
            disturb(self)
            for load in self.loads:
                if self.rng.random() < load.rate * STEP_SECONDS:
                    self._send(load)
            self._advance_engines()
            self._run_due()
            if self.now >= next_heartbeat:
                next_heartbeat = self.now + HEARTBEAT_SECONDS
                self._news.update(range(len(self.nodes)))
            self._exchange()

    def crash(self, engine):
        """Ends an engine; its nodes report the new runs that they lost."""
        target = TargetLifetime(
            id=f"e{self.engines.index(engine)}", born=engine.lifetime
        )
        engine.lifetime += 1
        engine.crash_at = None
        engine.down_until = self.now + DOWN_SECONDS
        lost = {}
        for run in engine.runs:
            if self.now - run.started_at <= NEW_RUN_SECONDS:
                lost.setdefault(run.node, []).append(run.prompt)
        engine.runs = []
        for node, prompts in lost.items():
            self._after(
                REPORT_DELAY_SECONDS, self._report, node, target, prompts
            )

    def list_running(self):
        return [e for e in self.engines if e.down_until <= self.now]

    def admit(self, node, prompt):
        """Returns whether a node sends a prompt to an engine.

        The first node decides on trials, as the scheduler.
        """
        verdict = node.find_verdict(prompt)
        if verdict is None:
            return True
        return verdict.is_trial_due and self.nodes[0].grant_trial(
            verdict.quarantined
        )

    def _send(self, load):
        running = self.list_running()
        if not running:
            return
        index = self.rng.randrange(len(self.nodes))
        prompt = make_prompt(*load.segments)
        admitted = self.admit(self.nodes[index], prompt)
        self.refusals[load.name].append((self.now, not admitted))
        if not admitted:
            return
        self.arrivals[load.name].append(self.now)
        engine = self.rng.choice(running)
        engine.runs.append(
            Run(node=index, load=load, prompt=prompt, started_at=self.now)
        )
        if load.is_harmful and engine.crash_at is None:
            engine.crash_at = self.now + CRASH_DELAY_SECONDS

    def _advance_engines(self):
        for engine in self.engines:
            if engine.crash_at is not None and engine.crash_at <= self.now:
                harmful = {
                    r.load.name for r in engine.runs if r.load.is_harmful
                }
                for name in harmful:
                    self.crashes[name].append(self.now)
                self.crash(engine)
            for run in [r for r in engine.runs if not r.load.is_harmful]:
                age = self.now - run.started_at
                if age >= self.proof_seconds and not run.is_proven:
                    run.is_proven = True
                    self.nodes[run.node].record_answer(run.prompt)
                if age >= self.run_seconds:
                    engine.runs.remove(run)

    def _report(self, node, target, prompts):
        self.nodes[node].record_crash(target, prompts)

    def _after(self, seconds, action, *arguments):
        self._due.append((self.now + seconds, action, arguments))

    def _run_due(self):
        due = [item for item in self._due if item[0] <= self.now]
        self._due = [item for item in self._due if item[0] > self.now]
        for _, action, arguments in due:
            action(*arguments)

    def _exchange(self):
        senders, self._news = self._news, set()
        for index in sorted(senders):
            news = self.nodes[index].list_for_broadcast()
            if news.crashes or news.quarantines or news.proofs:
                self._after(REPORT_DELAY_SECONDS, self._deliver, index, news)

    def _deliver(self, sender, news):
        for index, node in enumerate(self.nodes):
            if index != sender:
                node.merge(news, f"n{sender}")

    def get_longest_refusal(self, name):
        """Returns the longest time without an admitted prompt of a load.

        Counts from the first refusal after an admission to the last one.
        """
        longest, first = 0.0, None
        for time, is_refused in self.refusals[name]:
            if not is_refused:
                first = None
                continue
            first = time if first is None else first
            longest = max(longest, time - first)
        return longest
