"""A seeded model of an engine with continuous batching.

The model has no clock and no loop: its owner calls ``step`` and lets the
duration that it returns pass. Memory is counted in tokens of key-value
cache. It fills as generations grow; when it is full, generations are
preempted and computed again later.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.errors import AcaciarackError
from acaciarack.loads import LoadedModel

_THOUSAND = 1000


class EngineModelError(AcaciarackError):
    """The base of errors of the engine model."""


class DuplicateGenerationError(EngineModelError):
    """A generation with this id is waiting or running."""


class ModelNotLoadedError(EngineModelError):
    """The engine has not loaded what the generation asks for."""


class PromptTooLongError(EngineModelError):
    """The prompt alone does not fit the engine's memory."""


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """The size and speed of an engine.

    Attributes:
        capacity_tokens: key-value memory, in tokens.
        max_running: the most generations in one batch.
        max_prefill_tokens: the most prompt tokens computed in one step.
        prefix_cache_tokens: memory of the prefix cache, in tokens.
        block_tokens: tokens of prompt that one prefix hash stands for.
        base_step: fixed duration of a step.
        per_sequence: added for each generation that gets a token.
        per_prefill_token: added for each prompt token computed.
        per_thousand_context_tokens: added for each thousand tokens in use.
        jitter: the largest random lengthening of a step, as a fraction.
        loaded: what the engine has loaded at its start; if empty it runs
            every model.
    """

    capacity_tokens: int = 60_000
    max_running: int = 64
    max_prefill_tokens: int = 512
    prefix_cache_tokens: int = 16_000
    block_tokens: int = 64
    base_step: timedelta = timedelta(milliseconds=14)
    per_sequence: timedelta = timedelta(microseconds=150)
    per_prefill_token: timedelta = timedelta(microseconds=20)
    per_thousand_context_tokens: timedelta = timedelta(microseconds=60)
    jitter: float = 0.05
    loaded: tuple[LoadedModel, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Generation:
    """One generation, with the length that only the model may know.

    Attributes:
        id: unique among those waiting or running.
        prompt_tokens: the prompt's length.
        output_tokens: the answer's length; 1 or more.
        prefix_hashes: hashes of the prompt's leading blocks, longest last.
        priority: a lower number runs first and is preempted last.
        model: what must be loaded; ``None`` for anything.
    """

    id: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    model: LoadedModel | None = None


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """The engine's load, with the meanings of ``LoadReport``.

    Attributes:
        capacity_tokens: key-value memory, in tokens.
        used_tokens: key-value memory in use, in tokens.
        running: generations in the batch.
        waiting: generations queued.
        preemptions: generations preempted since the start.
        step_duration: duration of the newest step.
        loaded: what it can run now.
    """

    capacity_tokens: int
    used_tokens: int
    running: int
    waiting: int
    preemptions: int
    step_duration: timedelta
    loaded: tuple[LoadedModel, ...]


@dataclass(frozen=True, kw_only=True)
class StepResult:
    """What one step did. It happens at the end of ``duration``.

    Attributes:
        duration: how long the step took; zero if there was nothing to do.
        tokens: ids of the generations that got one token each.
        finished: ids whose last token is in ``tokens``.
        truncated: ids that ended early because they alone fill the memory.
        preempted: ids that lost their memory and will be computed again.
        stored: hashes of prefix blocks that were cached.
        evicted: hashes of prefix blocks that were dropped.
    """

    duration: timedelta
    tokens: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    truncated: tuple[str, ...] = ()
    preempted: tuple[str, ...] = ()
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class _Sequence:
    """The state of one generation."""

    __slots__ = ("done", "generation", "order", "prefill_left")

    def __init__(
        self, *, generation: Generation, order: tuple[int, timedelta, int]
    ) -> None:
        self.generation = generation
        self.order = order
        self.done = 0
        self.prefill_left = 0

    def count_context(self) -> int:
        return self.generation.prompt_tokens + self.done


class _PrefixCache:
    """Hashes of cached blocks, the least recently used first."""

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def count_hits(self, hashes: tuple[int, ...]) -> int:
        """Counts the leading blocks that are cached and marks them used."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Caches blocks; returns those that are new and those evicted."""
        stored = [block for block in hashes if block not in self._blocks]
        # Later blocks of a prefix are of no use without the earlier ones,
        # so that the earlier ones must be evicted last.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        return stored, evicted


class EngineModel:
    """An engine that batches continuously in limited memory.

    Two models with equal settings, name and seed that get the same calls
    return the same results.
    """

    def __init__(
        self, *, settings: EngineSettings, name: str, seed: int
    ) -> None:
        self.name = name
        self.settings = settings
        self._random = random.Random(f"{name}/{seed}")
        self._cache = _PrefixCache(
            max_blocks=settings.prefix_cache_tokens // settings.block_tokens
        )
        self._loaded = dict.fromkeys(settings.loaded)
        self._waiting: list[_Sequence] = []
        self._running: list[_Sequence] = []
        self._by_id: dict[str, _Sequence] = {}
        self._used = 0
        self._submitted = 0
        self._preemptions = 0
        self._step_duration = timedelta()

    def load_model(self, model: LoadedModel) -> None:
        """Makes a model available."""
        self._loaded[model] = None

    def unload_model(self, model: LoadedModel) -> None:
        """Makes a model unavailable to new generations."""
        self._loaded.pop(model, None)

    def submit(self, generation: Generation, at: timedelta) -> None:
        """Queues a generation.

        Args:
            generation: what to run.
            at: when it arrived; orders generations of equal priority.

        Raises:
            DuplicateGenerationError: its id is waiting or running.
            ModelNotLoadedError: its model is not loaded.
            PromptTooLongError: its prompt does not fit the memory.
        """
        if generation.id in self._by_id:
            raise DuplicateGenerationError(f"{generation.id!r} is in use")
        if self._loaded and generation.model is not None:
            self._check_model(generation.model)
        if generation.prompt_tokens >= self.settings.capacity_tokens:
            raise PromptTooLongError(
                f"{generation.prompt_tokens} prompt tokens; allowed are under "
                f"{self.settings.capacity_tokens}"
            )
        self._submitted += 1
        order = (generation.priority, at, self._submitted)
        sequence = _Sequence(generation=generation, order=order)
        self._by_id[generation.id] = sequence
        self._waiting.append(sequence)
        self._waiting.sort(key=_get_order)

    def cancel(self, generation_id: str) -> bool:
        """Ends a generation; returns whether it was waiting or running."""
        sequence = self._by_id.pop(generation_id, None)
        if sequence is None:
            return False
        if sequence in self._waiting:
            self._waiting.remove(sequence)
        else:
            self._running.remove(sequence)
            self._used -= sequence.count_context()
        return True

    def has_work(self) -> bool:
        """Returns whether anything is waiting or running."""
        return bool(self._by_id)

    def read_load(self) -> EngineLoad:
        """Returns the load as it is now."""
        return EngineLoad(
            capacity_tokens=self.settings.capacity_tokens,
            used_tokens=self._used,
            running=len(self._running),
            waiting=len(self._waiting),
            preemptions=self._preemptions,
            step_duration=self._step_duration,
            loaded=tuple(self._loaded),
        )

    def step(self) -> StepResult:
        """Runs one step of the batch."""
        if not self._by_id:
            return StepResult(duration=timedelta())
        self._admit()
        prefilled, ready = self._prefill()
        preempted, truncated = self._make_room()
        decoding = [
            sequence for sequence in self._running if not sequence.prefill_left
        ]
        finished = self._decode(decoding)
        stored, evicted = self._store_prefixes(ready)
        duration = self._cost_step(prefilled=prefilled, decoding=len(decoding))
        self._step_duration = duration
        return StepResult(
            duration=duration,
            tokens=tuple(sequence.generation.id for sequence in decoding),
            finished=finished,
            truncated=truncated,
            preempted=preempted,
            stored=stored,
            evicted=evicted,
        )

    def _check_model(self, model: LoadedModel) -> None:
        if model not in self._loaded:
            known = ", ".join(str(loaded) for loaded in self._loaded)
            raise ModelNotLoadedError(f"{model} is not loaded; loaded: {known}")

    def _admit(self) -> None:
        """Moves waiting generations into the batch while they fit."""
        while self._waiting and len(self._running) < self.settings.max_running:
            sequence = self._waiting[0]
            context = sequence.count_context()
            room = self.settings.capacity_tokens - self._used
            if context + len(self._running) + 1 > room:
                return
            del self._waiting[0]
            hits = self._cache.count_hits(sequence.generation.prefix_hashes)
            cached = min(hits * self.settings.block_tokens, context - 1)
            sequence.prefill_left = context - max(cached, 0)
            self._used += context
            self._running.append(sequence)

    def _prefill(self) -> tuple[int, list[_Sequence]]:
        """Computes prompts; returns the tokens and those now complete."""
        budget = self.settings.max_prefill_tokens
        ready = []
        for sequence in self._running:
            if not sequence.prefill_left:
                continue
            if not budget:
                break
            chunk = min(budget, sequence.prefill_left)
            sequence.prefill_left -= chunk
            budget -= chunk
            if not sequence.prefill_left:
                ready.append(sequence)
        return self.settings.max_prefill_tokens - budget, ready

    def _make_room(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Preempts until each ready generation can grow by one token."""
        preempted = []
        while len(self._running) > 1 and self._lacks_room():
            victim = max(self._running, key=_get_order)
            self._release(victim)
            victim.prefill_left = 0
            self._waiting.append(victim)
            self._preemptions += 1
            preempted.append(victim.generation.id)
        self._waiting.sort(key=_get_order)
        truncated = []
        if self._running and self._lacks_room():
            last = self._running[0]
            self._release(last)
            del self._by_id[last.generation.id]
            truncated.append(last.generation.id)
        return tuple(preempted), tuple(truncated)

    def _lacks_room(self) -> bool:
        growing = sum(not sequence.prefill_left for sequence in self._running)
        return self._used + growing > self.settings.capacity_tokens

    def _release(self, sequence: _Sequence) -> None:
        self._running.remove(sequence)
        self._used -= sequence.count_context()

    def _decode(self, decoding: list[_Sequence]) -> tuple[str, ...]:
        finished = []
        for sequence in decoding:
            sequence.done += 1
            self._used += 1
            if sequence.done >= sequence.generation.output_tokens:
                self._release(sequence)
                del self._by_id[sequence.generation.id]
                finished.append(sequence.generation.id)
        return tuple(finished)

    def _store_prefixes(
        self, ready: list[_Sequence]
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        stored: list[int] = []
        evicted: list[int] = []
        for sequence in ready:
            new, old = self._cache.store(sequence.generation.prefix_hashes)
            stored += new
            evicted += old
        return tuple(stored), tuple(evicted)

    def _cost_step(self, *, prefilled: int, decoding: int) -> timedelta:
        settings = self.settings
        duration = (
            settings.base_step
            + settings.per_sequence * decoding
            + settings.per_prefill_token * prefilled
            + settings.per_thousand_context_tokens * (self._used / _THOUSAND)
        )
        return duration * (1 + settings.jitter * self._random.random())


def _get_order(sequence: _Sequence) -> tuple[int, timedelta, int]:
    return sequence.order
