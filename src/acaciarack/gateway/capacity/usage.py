"""Tracks what the generations of each organisation cost at this node.

The cost of a generation is the memory that it holds on an engine, multiplied by
the time for which it holds it. Memory is what generations wait for, so fair
shares of engines are shares of this cost (see ``scheduling.shares``).
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.gateway.spec import Prompt

TOKEN_SECONDS = 0.01
"""Expected time per output token, as in ``wait_estimates``."""
PROMPT_TOKEN_SECONDS = 1 / 7000
"""Expected time per prompt token; see ``PREFILL_TOKENS_PER_SECOND``."""
DECAY_TIME = timedelta(seconds=10)
"""Time in which the cost of an ended generation decays to 1/e. Long generations
run for 7 s, and the demand of organisations changes every 13 s."""
MIN_COST = 500.0
"""Decayed cost of an organisation below which it is forgotten, in tokens of
memory times seconds. It is half the cost of a short generation."""
MAX_ORGANISATIONS = 4096
"""Maximum number of organisations with usage; the largest deployment has
2,600."""


class HeldGeneration(Protocol):
    """A generation that holds memory, or will hold it."""

    @property
    def prompt(self) -> Prompt:
        """Its prompt."""
        ...

    @property
    def emitted(self) -> int:
        """Output tokens so far."""
        ...

    @property
    def used_tokens(self) -> int:
        """Memory that it uses now, in tokens."""
        ...

    def estimate_remaining(self) -> int:
        """Returns the expected number of output tokens that remain."""
        ...


@dataclass(frozen=True, kw_only=True)
class _RunningGeneration:
    organisation: str
    generation: HeldGeneration
    started_at: timedelta


def estimate_cost(generation: HeldGeneration) -> float:
    """Returns what a generation is expected to cost from now on.

    Returns:
        The cost in tokens of memory times seconds; above 0.
    """
    remaining = generation.estimate_remaining()
    seconds = remaining * TOKEN_SECONDS
    if not generation.emitted:
        seconds += generation.prompt.tokens * PROMPT_TOKEN_SECONDS
    return max(1.0, (generation.used_tokens + remaining / 2) * seconds)


class UsageTracker:
    """Tracks the costs of organisations at this node.

    The cost of a running generation is what it has held so far and what it is
    expected to hold. At its end, the expected part is removed. The cost of
    ended generations decays.

    Attributes:
        change_count: the number of starts and ends so far.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.change_count = 0
        self._clock = clock
        self._running: dict[int, _RunningGeneration] = {}
        # By organisation: the cost at a time.
        self._ended: dict[str, tuple[float, timedelta]] = {}
        self._changed: set[str] = set()

    def start(self, organisation: str, generation: HeldGeneration) -> None:
        """Adds a generation that was sent to an engine."""
        self._running[id(generation)] = _RunningGeneration(
            organisation=organisation,
            generation=generation,
            started_at=self._clock.elapsed(),
        )
        self._record_change(organisation)

    def end(self, generation: HeldGeneration) -> None:
        """Replaces the expected cost of a generation by the actual cost."""
        running = self._running.pop(id(generation), None)
        if running is None:
            return
        now = self._clock.elapsed()
        organisation = running.organisation
        cost = self._get_ended(organisation, now) + _compute_held(running, now)
        if organisation in self._ended or len(self._ended) < MAX_ORGANISATIONS:
            self._ended[organisation] = (cost, now)
        self._record_change(organisation)

    def list_costs(self) -> dict[str, float]:
        """Returns the cost of each organisation."""
        now = self._clock.elapsed()
        costs: dict[str, float] = {}
        for organisation in list(self._ended):
            cost = self._get_ended(organisation, now)
            if cost < MIN_COST:
                del self._ended[organisation]
            else:
                costs[organisation] = cost
        for running in self._running.values():
            organisation = running.organisation
            costs[organisation] = (
                costs.get(organisation, 0.0)
                + _compute_held(running, now)
                + estimate_cost(running.generation)
            )
        return costs

    def take_changed(self) -> Mapping[str, float]:
        """Returns the costs of the organisations that changed since then.

        Only starts and ends count as changes.
        """
        if not self._changed:
            return {}
        changed, self._changed = self._changed, set()
        costs = self.list_costs()
        return {name: costs.get(name, 0.0) for name in changed}

    def _record_change(self, organisation: str) -> None:
        self.change_count += 1
        if len(self._changed) < MAX_ORGANISATIONS:
            self._changed.add(organisation)

    def _get_ended(self, organisation: str, now: timedelta) -> float:
        cost, recorded_at = self._ended.get(organisation, (0.0, now))
        return cost * math.exp(-((now - recorded_at) / DECAY_TIME))


def _compute_held(running: _RunningGeneration, now: timedelta) -> float:
    """Returns what a running generation has cost so far."""
    generation = running.generation
    mean_tokens = generation.prompt.tokens + generation.emitted / 2
    return mean_tokens * (now - running.started_at).total_seconds()
