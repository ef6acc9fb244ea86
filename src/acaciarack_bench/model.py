"""A seeded model of an engine with continuous batching.

The model has no clock and no loop: the caller runs ``step`` and waits for the
duration that ``step`` returns. Memory is counted in tokens of KV cache. Memory
use grows with each generated token. When the memory is full, the model
preempts generations and recomputes them later.
"""

import random
from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta

from acaciarack.errors import AcaciarackError
from acaciarack.loads import LoadedModel

_CONTEXT_UNIT_TOKENS = 1000


class EngineModelError(AcaciarackError):
    """The base class of the engine model's errors."""


class DuplicateGenerationError(EngineModelError):
    """A generation with the same id is waiting or running."""


class ModelNotLoadedError(EngineModelError):
    """The engine has not loaded the model of the generation."""


class PromptTooLongError(EngineModelError):
    """The prompt leaves no memory for a generated token."""


@dataclass(frozen=True, kw_only=True)
class EngineSettings:
    """The size and speed of an engine.

    Attributes:
        capacity_tokens: size of the KV cache, in tokens.
        max_running: maximum number of generations in the batch.
        max_prefill_tokens: maximum number of tokens prefilled in one step.
        prefix_cache_tokens: size of the prefix cache, in tokens.
        block_tokens: number of prompt tokens that one prefix hash covers.
        base_step: fixed part of the duration of a step.
        per_sequence: added duration for each generation that decodes a token.
        per_prefill_token: added duration for each prefilled token.
        per_thousand_context_tokens: added duration for each thousand tokens of
            KV cache in use.
        jitter: the maximum random increase of a step's duration, as a
            fraction.
        loaded: the models loaded at start; if empty, the engine runs every
            model.
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
    """One generation; only the engine model may read its output length.

    Attributes:
        id: unique among the waiting and running generations.
        prompt_tokens: the prompt's length.
        output_tokens: the output's length; 1 or more.
        prefix_hashes: hashes of the prompt's leading blocks, longest prefix
            last.
        priority: a lower number runs first and is preempted last.
        model: the model that must be loaded; ``None`` for any.
    """

    id: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = ()
    priority: int = 0
    model: LoadedModel | None = None


@dataclass(frozen=True, kw_only=True)
class EngineLoad:
    """The engine's load; the fields mean the same as in ``LoadReport``.

    Attributes:
        capacity_tokens: size of the KV cache, in tokens.
        used_tokens: KV cache in use, in tokens.
        running: generations in the batch.
        waiting: generations in the queue.
        preemptions: number of preemptions since the start.
        step_duration: duration of the latest step.
        loaded: the loaded models.
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
    """The effects of one step, which apply at the end of ``duration``.

    Attributes:
        duration: how long the step took; zero if there was no work.
        tokens: ids of the generations that decoded one token each.
        finished: ids of the generations that decoded their last token.
        truncated: ids of the generations that ended early, because one
            generation alone filled the memory.
        preempted: ids of the generations that lost their KV cache and will be
            recomputed.
        stored: hashes of prefix blocks added to the prefix cache.
        evicted: hashes of prefix blocks evicted from the prefix cache.
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

    __slots__ = (
        "generated_tokens",
        "generation",
        "sort_key",
        "uncomputed_tokens",
    )

    def __init__(
        self, *, generation: Generation, sort_key: tuple[int, timedelta, int]
    ) -> None:
        self.generation = generation
        self.sort_key = sort_key
        self.generated_tokens = 0
        self.uncomputed_tokens = 0

    def count_context(self) -> int:
        return self.generation.prompt_tokens + self.generated_tokens


class _PrefixCache:
    """An LRU cache of prefix block hashes, least recently used first."""

    def __init__(self, *, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: OrderedDict[int, None] = OrderedDict()

    def count_hits(self, hashes: tuple[int, ...]) -> int:
        """Counts the leading blocks in the cache and marks them as used."""
        hits = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, hashes: tuple[int, ...]) -> tuple[list[int], list[int]]:
        """Caches blocks; returns the added and the evicted blocks."""
        stored = [block for block in hashes if block not in self._blocks]
        # A later block of a prefix is useless without the earlier blocks, so
        # the earlier blocks must be evicted last.
        for block in reversed(hashes):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._max_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        return stored, evicted


class EngineModel:
    """An engine with continuous batching and limited memory.

    Two models with equal settings, name and seed return the same results for
    the same calls.
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
        self._sequences: dict[str, _Sequence] = {}
        self._used_tokens = 0
        self._submission_count = 0
        self._preemptions = 0
        self._step_duration = timedelta()

    def load_model(self, model: LoadedModel) -> None:
        """Marks a model as loaded."""
        self._loaded[model] = None

    def unload_model(self, model: LoadedModel) -> None:
        """Marks a model as not loaded; submitted generations continue."""
        self._loaded.pop(model, None)

    def submit(self, generation: Generation, at: timedelta) -> None:
        """Queues a generation.

        Args:
            generation: the generation.
            at: its arrival time, which orders generations of equal priority.

        Raises:
            DuplicateGenerationError: its id is waiting or running.
            ModelNotLoadedError: its model is not loaded.
            PromptTooLongError: its prompt fills or exceeds the memory.
        """
        if generation.id in self._sequences:
            raise DuplicateGenerationError(f"{generation.id!r} is in use")
        if self._loaded and generation.model is not None:
            self._check_model(generation.model)
        if generation.prompt_tokens >= self.settings.capacity_tokens:
            raise PromptTooLongError(
                f"{generation.prompt_tokens} prompt tokens; allowed are under "
                f"{self.settings.capacity_tokens}"
            )
        self._submission_count += 1
        sort_key = (generation.priority, at, self._submission_count)
        sequence = _Sequence(generation=generation, sort_key=sort_key)
        self._sequences[generation.id] = sequence
        self._waiting.append(sequence)
        self._waiting.sort(key=_get_sort_key)

    def cancel(self, generation_id: str) -> bool:
        """Cancels a generation; returns whether it was waiting or running."""
        sequence = self._sequences.pop(generation_id, None)
        if sequence is None:
            return False
        if sequence in self._waiting:
            self._waiting.remove(sequence)
        else:
            self._running.remove(sequence)
            self._used_tokens -= sequence.count_context()
        return True

    def has_work(self) -> bool:
        """Returns whether a generation is waiting or running."""
        return bool(self._sequences)

    def read_load(self) -> EngineLoad:
        """Returns the current load."""
        return EngineLoad(
            capacity_tokens=self.settings.capacity_tokens,
            used_tokens=self._used_tokens,
            running=len(self._running),
            waiting=len(self._waiting),
            preemptions=self._preemptions,
            step_duration=self._step_duration,
            loaded=tuple(self._loaded),
        )

    def step(self) -> StepResult:
        """Runs one step of the batch."""
        if not self._sequences:
            return StepResult(duration=timedelta())
        self._admit()
        prefilled, ready = self._prefill()
        preempted, truncated = self._preempt_to_fit()
        decoding = [
            sequence
            for sequence in self._running
            if not sequence.uncomputed_tokens
        ]
        finished = self._decode(decoding)
        stored, evicted = self._store_prefixes(ready)
        duration = self._compute_step_duration(
            prefilled=prefilled, decoding=len(decoding)
        )
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
        """Moves waiting generations into the batch in order while they fit.

        Keeps one token of memory free for each generation in the batch.
        """
        while self._waiting and len(self._running) < self.settings.max_running:
            sequence = self._waiting[0]
            context = sequence.count_context()
            free_tokens = self.settings.capacity_tokens - self._used_tokens
            if context + len(self._running) + 1 > free_tokens:
                return
            del self._waiting[0]
            hits = self._cache.count_hits(sequence.generation.prefix_hashes)
            cached = min(hits * self.settings.block_tokens, context - 1)
            sequence.uncomputed_tokens = context - max(cached, 0)
            self._used_tokens += context
            self._running.append(sequence)

    def _prefill(self) -> tuple[int, list[_Sequence]]:
        """Prefills up to the step's limit.

        Returns:
            The number of prefilled tokens, and the sequences that completed
            their prefill.
        """
        budget = self.settings.max_prefill_tokens
        ready = []
        for sequence in self._running:
            if not sequence.uncomputed_tokens:
                continue
            if not budget:
                break
            chunk = min(budget, sequence.uncomputed_tokens)
            sequence.uncomputed_tokens -= chunk
            budget -= chunk
            if not sequence.uncomputed_tokens:
                ready.append(sequence)
        return self.settings.max_prefill_tokens - budget, ready

    def _preempt_to_fit(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Preempts until each decoding generation has room for one token.

        Truncates the last generation if it alone exceeds the memory.

        Returns:
            The ids of the preempted and of the truncated generations.
        """
        preempted = []
        while len(self._running) > 1 and self._exceeds_capacity():
            victim = max(self._running, key=_get_sort_key)
            self._release(victim)
            victim.uncomputed_tokens = 0
            self._waiting.append(victim)
            self._preemptions += 1
            preempted.append(victim.generation.id)
        self._waiting.sort(key=_get_sort_key)
        truncated = []
        if self._running and self._exceeds_capacity():
            last = self._running[0]
            self._release(last)
            del self._sequences[last.generation.id]
            truncated.append(last.generation.id)
        return tuple(preempted), tuple(truncated)

    def _exceeds_capacity(self) -> bool:
        growing = sum(
            not sequence.uncomputed_tokens for sequence in self._running
        )
        return self._used_tokens + growing > self.settings.capacity_tokens

    def _release(self, sequence: _Sequence) -> None:
        self._running.remove(sequence)
        self._used_tokens -= sequence.count_context()

    def _decode(self, decoding: list[_Sequence]) -> tuple[str, ...]:
        finished = []
        for sequence in decoding:
            sequence.generated_tokens += 1
            self._used_tokens += 1
            if sequence.generated_tokens >= sequence.generation.output_tokens:
                self._release(sequence)
                del self._sequences[sequence.generation.id]
                finished.append(sequence.generation.id)
        return tuple(finished)

    def _store_prefixes(
        self, ready: list[_Sequence]
    ) -> tuple[tuple[int, ...], tuple[int, ...]]:
        stored: list[int] = []
        evicted: list[int] = []
        for sequence in ready:
            added, removed = self._cache.store(
                sequence.generation.prefix_hashes
            )
            stored += added
            evicted += removed
        return tuple(stored), tuple(evicted)

    def _compute_step_duration(
        self, *, prefilled: int, decoding: int
    ) -> timedelta:
        settings = self.settings
        duration = (
            settings.base_step
            + settings.per_sequence * decoding
            + settings.per_prefill_token * prefilled
            + settings.per_thousand_context_tokens
            * (self._used_tokens / _CONTEXT_UNIT_TOKENS)
        )
        return duration * (1 + settings.jitter * self._random.random())


def _get_sort_key(sequence: _Sequence) -> tuple[int, timedelta, int]:
    return sequence.sort_key
