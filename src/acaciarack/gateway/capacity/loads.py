"""Tracks the load that all nodes together have on each target.

Many nodes share few targets, and a target's own load report comes too late. So
each node counts the requests that it has sent and reports them to its peers.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.memory_profile import (
    EMPTY_PROFILE,
    MemoryProfile,
    build_profile,
)
from acaciarack.gateway.capacity.output_lengths import estimate_output
from acaciarack.gateway.capacity.usage import UsageTracker
from acaciarack.gateway.spec import Prompt

PEER_LIFETIME = timedelta(seconds=2)
"""How long a peer's last load report is used. It covers several reports at the
longest interval of ``peer_table``."""


@dataclass(kw_only=True)
class Generation:
    """A generation that this node has queued or sent to a target.

    Attributes:
        prompt: the prompt's length and the caller's limit and estimate.
        emitted: output tokens received so far. Each event counts as
            ``EngineSpec.max_event_tokens``.
        is_reread: whether its engine still has to read the prompt and the
            output so far: it resumes there without a copy.
    """

    prompt: Prompt
    emitted: int = 0
    is_reread: bool = False

    @property
    def used_tokens(self) -> int:
        """Memory that the generation uses now, in tokens."""
        return self.prompt.tokens + self.emitted

    def estimate_total(self) -> int:
        """Returns the expected memory at the generation's end, in tokens."""
        return self.used_tokens + self.estimate_remaining()

    def estimate_remaining(self) -> int:
        """Returns the expected number of output tokens that remain."""
        output = estimate_output(
            max_tokens=self.prompt.max_tokens,
            hint=self.prompt.hint,
            emitted=self.emitted,
        )
        return output - self.emitted

    def count_pending(self) -> int:
        """Returns how many tokens its engine reads before its next event."""
        if self.emitted and not self.is_reread:
            return 0
        return self.used_tokens

    def build_load(self) -> "Load":
        """Returns the load that the generation adds to an engine."""
        remaining = self.estimate_remaining()
        return Load(
            requests=1,
            used=self.used_tokens,
            expected=self.used_tokens + remaining,
            pending=self.count_pending(),
            memory_profile=build_profile([(self.used_tokens, remaining)]),
        )


@dataclass(frozen=True, kw_only=True)
class Load:
    """Requests on one target and their memory.

    Attributes:
        requests: the number of requests that run or wait there.
        used: memory in use by generations, in tokens; 0 for plain calls.
        expected: expected memory of the generations at their ends, in tokens.
        standby: memory of standby copies of generations on other targets, in
            tokens; it can be freed when needed.
        pending: prompt tokens of generations that have not emitted a token; the
            engine prefills these prompts one after the other.
        memory_profile: histogram of the generations by remaining output tokens.
    """

    requests: int = 0
    used: int = 0
    expected: int = 0
    standby: int = 0
    pending: int = 0
    memory_profile: MemoryProfile = EMPTY_PROFILE

    def __add__(self, other: "Load") -> "Load":
        return Load(
            requests=self.requests + other.requests,
            used=self.used + other.used,
            expected=self.expected + other.expected,
            standby=self.standby + other.standby,
            pending=self.pending + other.pending,
            memory_profile=self.memory_profile + other.memory_profile,
        )

    def __sub__(self, other: "Load") -> "Load":
        return Load(
            requests=self.requests - other.requests,
            used=self.used - other.used,
            expected=self.expected - other.expected,
            standby=self.standby - other.standby,
            pending=self.pending - other.pending,
            memory_profile=self.memory_profile - other.memory_profile,
        )

    def forecast_peak(self) -> int:
        """Returns the forecast peak memory of the generations, in tokens."""
        return self.memory_profile.forecast_peak()


_EMPTY_LOAD = Load()


class _PeerLoads:
    """Sums of the peers' loads by target, updated with each report.

    Each choice of an engine reads the load of every engine, and queued
    generations repeat the choice. With many peers, adding up their loads at
    each read would cost too much.
    """

    def __init__(self) -> None:
        # By peer: when the report arrived, and its loads. Oldest report first.
        self._reports: dict[str, tuple[timedelta, Mapping[str, Load]]] = {}
        self._sums: dict[str, Load] = {}

    def update(
        self, node: str, loads: Mapping[str, Load], now: timedelta
    ) -> None:
        _, previous = self._reports.pop(node, (now, {}))
        self._reports[node] = (now, loads)
        if previous == loads:
            return
        for target_id in previous.keys() | loads.keys():
            old = previous.get(target_id, _EMPTY_LOAD)
            new = loads.get(target_id, _EMPTY_LOAD)
            # A report rarely changes more than one of its few targets.
            if new != old:
                self._apply_change(target_id, new - old)

    def expire(self, oldest: timedelta) -> None:
        """Subtracts the loads of reports older than ``oldest``."""
        while self._reports:
            node, (received, loads) = next(iter(self._reports.items()))
            if received >= oldest:
                return
            del self._reports[node]
            for target_id, load in loads.items():
                self._apply_change(target_id, _EMPTY_LOAD - load)

    def get(self, target_id: str) -> Load:
        return self._sums.get(target_id, _EMPTY_LOAD)

    def _apply_change(self, target_id: str, change: Load) -> None:
        total = self.get(target_id) + change
        if total == _EMPTY_LOAD:
            self._sums.pop(target_id, None)
        else:
            self._sums[target_id] = total


class LoadTracker:
    """Tracks the load of each target, by target id.

    Attributes:
        usage: the costs of organisations at this node.
    """

    def __init__(self, *, clock: Clock) -> None:
        self.usage = UsageTracker(clock=clock)
        self._clock = clock
        self._calls: dict[str, int] = {}
        self._generations: dict[str, dict[int, Generation]] = {}
        self._standby_copies: dict[str, dict[int, Generation]] = {}
        self._grants: dict[str, dict[int, Generation]] = {}
        self._peers = _PeerLoads()
        self._on_change: Callable[[], None] | None = None

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Sets the callback for changes to generations and standby copies."""
        self._on_change = on_change

    def add_call(self, target_id: str) -> None:
        """Adds a plain call to a target's load."""
        self._calls[target_id] = self._calls.get(target_id, 0) + 1

    def remove_call(self, target_id: str) -> None:
        """Removes a plain call from a target's load."""
        left = self._calls.get(target_id, 0) - 1
        if left > 0:
            self._calls[target_id] = left
        else:
            self._calls.pop(target_id, None)

    def add_generation(self, target_id: str, generation: Generation) -> None:
        """Adds a generation that runs on a target or will migrate to it."""
        _insert(self._generations, target_id, generation)
        self._notify_change()

    def remove_generation(self, target_id: str, generation: Generation) -> None:
        """Removes a generation that ended or migrates to another target."""
        _remove(self._generations, target_id, generation)
        self._notify_change()

    def record_first_event(self) -> None:
        """Notifies that a generation's prompt is no longer pending."""
        self._notify_change()

    def add_standby_copy(self, target_id: str, generation: Generation) -> None:
        """Adds a standby copy of a generation that runs on another target."""
        _insert(self._standby_copies, target_id, generation)
        self._notify_change()

    def remove_standby_copy(
        self, target_id: str, generation: Generation
    ) -> None:
        """Removes a standby copy."""
        _remove(self._standby_copies, target_id, generation)
        self._notify_change()

    def add_grant(self, target_id: str, generation: Generation) -> None:
        """Adds a generation that a node may start on a target.

        It counts towards the total load until the node reports it.
        """
        _insert(self._grants, target_id, generation)

    def remove_grant(self, target_id: str, generation: Generation) -> None:
        """Removes a generation that its node has reported, or never will."""
        _remove(self._grants, target_id, generation)

    def _notify_change(self) -> None:
        if self._on_change is not None:
            self._on_change()

    def update_peer(self, node: str, loads: Mapping[str, Load]) -> None:
        """Replaces a peer's loads with those of its new report."""
        self._peers.update(node, loads, self._clock.elapsed())

    def get_local(self, target_id: str) -> Load:
        """Returns the load that this node has on a target."""
        generations = self._generations.get(target_id, {}).values()
        calls = Load(requests=self._calls.get(target_id, 0))
        copies = self._standby_copies.get(target_id, {}).values()
        standby = Load(standby=sum(g.used_tokens for g in copies))
        return sum((g.build_load() for g in generations), start=calls + standby)

    def list_local(self) -> dict[str, Load]:
        """Returns the load that this node has on each target."""
        targets = (
            self._calls.keys()
            | self._generations.keys()
            | self._standby_copies.keys()
        )
        return {target_id: self.get_local(target_id) for target_id in targets}

    def get_total(self, target_id: str) -> Load:
        """Returns the load that all nodes together have on a target.

        Reports of peers that are older than ``PEER_LIFETIME`` are ignored.
        """
        self._peers.expire(self._clock.elapsed() - PEER_LIFETIME)
        total = self.get_local(target_id) + self._peers.get(target_id)
        for generation in self._grants.get(target_id, {}).values():
            total += generation.build_load()
        return total


def _insert(
    by_target: dict[str, dict[int, Generation]],
    target_id: str,
    generation: Generation,
) -> None:
    by_target.setdefault(target_id, {})[id(generation)] = generation


def _remove(
    by_target: dict[str, dict[int, Generation]],
    target_id: str,
    generation: Generation,
) -> None:
    generations = by_target.get(target_id, {})
    generations.pop(id(generation), None)
    if not generations:
        by_target.pop(target_id, None)
