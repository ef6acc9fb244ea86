"""Seeded arrival traces: when requests come, from whom and how long."""

import enum
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from acaciarack.errors import AcaciarackError
from acaciarack_bench.model import EngineSettings

_SAMPLES = 20_000
_ITERATIONS = 50
_BURST_PERIOD_SECONDS = 20.0
_BURST_PART = 0.25


class TraceError(AcaciarackError):
    """A trace is described wrongly."""


class Pattern(enum.StrEnum):
    """How the rate of arrivals moves; its mean stays the same.

    Attributes:
        POISSON: a constant rate.
        BURSTS: a quarter of each 20 s at twice the mean rate.
        DAILY: one sine wave over the whole trace, by half the mean rate.
    """

    POISSON = "poisson"
    BURSTS = "bursts"
    DAILY = "daily"


@dataclass(frozen=True, kw_only=True)
class LengthShape:
    """A log-normal distribution of lengths with a Pareto tail.

    Attributes:
        median: of the log-normal part, in tokens.
        sigma: standard deviation of its logarithm.
        tail_fraction: how many lengths come from the tail.
        tail_index: the tail's Pareto index; it starts at the 90th
            percentile of the log-normal part.
        shortest: the least length, in tokens.
        longest: the greatest length, in tokens.
    """

    median: float
    sigma: float
    tail_fraction: float = 0.0
    tail_index: float = 1.5
    shortest: int = 1
    longest: int = 20_000

    def draw(self, source: random.Random, factor: float) -> int:
        """Draws a length; ``factor`` scales the median."""
        length = (
            self.median * factor * math.exp(self.sigma * source.gauss(0, 1))
        )
        if source.random() < self.tail_fraction:
            start = self.median * factor * math.exp(1.28 * self.sigma)
            length = start * source.paretovariate(self.tail_index)
        return round(min(max(length, self.shortest), self.longest))


@dataclass(frozen=True, kw_only=True)
class TraceSettings:
    """What a trace looks like.

    Attributes:
        pattern: how the rate of arrivals moves.
        prompt: lengths of prompts.
        output: lengths of answers.
        organisations: how many organisations send requests.
        large_organisations: how many of them send more than the others.
        large_factor: how much more.
        length_spread: the median length differs between organisations by up
            to this factor, up and down.
        prefixes: how many prompts begin with one of the shared prefixes, as
            their number.
        prefix_tokens: the length of a shared prefix.
    """

    prompt: LengthShape
    output: LengthShape
    pattern: Pattern = Pattern.POISSON
    organisations: int = 10
    large_organisations: int = 3
    large_factor: float = 3.0
    length_spread: float = 2.0
    prefixes: int = 20
    prefix_tokens: int = 256


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of a trace.

    Attributes:
        at: when it comes, from the start of the trace.
        id: unique in the trace.
        organisation: who sends it.
        prompt_tokens: the prompt's length.
        output_tokens: the answer's length.
        prefix_hashes: hashes of the prompt's leading blocks.
    """

    at: timedelta
    id: str
    organisation: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = field(default=())


def list_organisations(settings: TraceSettings) -> tuple[str, ...]:
    """Returns the names of the organisations, the large ones first."""
    return tuple(f"org-{number}" for number in range(settings.organisations))


def generate_trace(
    settings: TraceSettings,
    *,
    rate: float,
    duration: timedelta,
    block_tokens: int,
    seed: int,
) -> Iterator[Arrival]:
    """Yields arrivals in order of time.

    Args:
        settings: what the trace looks like.
        rate: the mean number of arrivals a second.
        duration: the trace's length.
        block_tokens: tokens of prompt that one prefix hash stands for.
        seed: equal seeds give equal traces.
    """
    source = random.Random(f"trace/{seed}")
    names = list_organisations(settings)
    weights = _list_weights(settings)
    end = duration.total_seconds()
    get_factor, highest = _get_rate_factor(settings.pattern, end)
    now = 0.0
    number = 0
    while True:
        now += source.expovariate(rate * highest)
        if now >= end:
            return
        if source.random() * highest > get_factor(now):
            continue
        number += 1
        [index] = source.choices(range(len(names)), weights)
        yield _draw_arrival(
            settings,
            index,
            at=timedelta(seconds=now),
            number=number,
            block_tokens=block_tokens,
            source=source,
        )


def compute_rate(
    settings: TraceSettings,
    engine: EngineSettings,
    *,
    engines: int,
    load: float,
) -> float:
    """Computes the rate of arrivals that takes a fraction of the memory.

    A request takes its context for the time of its steps. The duration of a
    step depends in turn on the rate, so it is found by iteration.

    Args:
        settings: what the trace looks like.
        engine: the size and speed of each engine.
        engines: how many there are.
        load: the fraction of the fleet's key-value memory in use.

    Returns:
        Arrivals a second over all engines.
    """
    source = random.Random("rate")
    weights = _list_weights(settings)
    requests = [
        _draw_lengths(settings, index, source)
        for index in source.choices(range(len(weights)), weights, k=_SAMPLES)
    ]
    prompt = sum(each for each, _ in requests) / _SAMPLES
    output = sum(each for _, each in requests) / _SAMPLES
    area = sum(each * (start + each / 2) for start, each in requests) / _SAMPLES
    step = engine.base_step.total_seconds()
    rate = 0.0
    for _ in range(_ITERATIONS):
        rate = load * engine.capacity_tokens / (area * step)
        step = _cost_step(
            engine,
            running=rate * output * step,
            prefilled=rate * prompt * step,
            context=load * engine.capacity_tokens,
        )
    return rate * engines


def _cost_step(
    engine: EngineSettings, *, running: float, prefilled: float, context: float
) -> float:
    duration = (
        engine.base_step
        + engine.per_sequence * running
        + engine.per_prefill_token * prefilled
        + engine.per_thousand_context_tokens * (context / 1000)
    )
    return duration.total_seconds() * (1 + engine.jitter / 2)


def _list_weights(settings: TraceSettings) -> list[float]:
    return [
        settings.large_factor if index < settings.large_organisations else 1.0
        for index in range(settings.organisations)
    ]


def _get_rate_factor(
    pattern: Pattern, end: float
) -> tuple[Callable[[float], float], float]:
    """Returns the rate as a function of time, and its highest value."""
    if pattern == Pattern.POISSON:
        return (lambda _: 1.0), 1.0
    if pattern == Pattern.BURSTS:
        quiet = (1 - 2 * _BURST_PART) / (1 - _BURST_PART)

        def burst(now: float) -> float:
            phase = now % _BURST_PERIOD_SECONDS / _BURST_PERIOD_SECONDS
            return 2.0 if phase < _BURST_PART else quiet

        return burst, 2.0
    return (lambda now: 1 - 0.5 * math.cos(2 * math.pi * now / end)), 1.5


def _draw_lengths(
    settings: TraceSettings, index: int, source: random.Random
) -> tuple[int, int]:
    """Draws the prompt's and the answer's length for an organisation."""
    last = max(settings.organisations - 1, 1)
    # The large organisations come first, so their exponents alternate.
    exponent = (2 * index / last - 1) * (1 if index % 2 else -1)
    factor = settings.length_spread**exponent
    prompt = settings.prompt.draw(source, 1.0)
    return prompt, settings.output.draw(source, factor)


def _draw_arrival(
    settings: TraceSettings,
    index: int,
    *,
    at: timedelta,
    number: int,
    block_tokens: int,
    source: random.Random,
) -> Arrival:
    prompt, output = _draw_lengths(settings, index, source)
    prefix = source.randrange(settings.prefixes) if settings.prefixes else 0
    shared = min(prompt, settings.prefix_tokens if settings.prefixes else 0)
    return Arrival(
        at=at,
        id=f"r{number}",
        organisation=list_organisations(settings)[index],
        prompt_tokens=prompt,
        output_tokens=output,
        prefix_hashes=tuple(
            xxhash.xxh64_intdigest(f"{prefix}/{block}".encode())
            for block in range(shared // block_tokens)
        ),
    )
