"""Seeded request traces: arrival times, organisations and token lengths."""

import enum
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta

import xxhash

from acaciarack.errors import AcaciarackError
from acaciarack_bench.model import EngineSettings

_LENGTH_SAMPLES = 20_000
_RATE_ITERATIONS = 50
_BURST_PERIOD_SECONDS = 20.0
_BURST_FRACTION = 0.25


class TraceError(AcaciarackError):
    """The settings of a trace are invalid."""


class Pattern(enum.StrEnum):
    """How the arrival rate changes over time, around the same mean rate.

    Attributes:
        POISSON: a constant rate.
        BURSTS: twice the mean rate during a quarter of each 20 s.
        DAILY: one sine wave over the whole trace with an amplitude of half
            the mean rate.
    """

    POISSON = "poisson"
    BURSTS = "bursts"
    DAILY = "daily"


@dataclass(frozen=True, kw_only=True)
class LengthShape:
    """A log-normal distribution of lengths with a Pareto tail.

    Attributes:
        median: the median of the log-normal part, in tokens.
        sigma: the standard deviation of the logarithm of the length.
        tail_fraction: the fraction of lengths drawn from the tail.
        tail_index: the tail's Pareto index; the tail starts at the 90th
            percentile of the log-normal part.
        shortest: the minimum length, in tokens.
        longest: the maximum length, in tokens.
    """

    median: float
    sigma: float
    tail_fraction: float = 0.0
    tail_index: float = 1.5
    shortest: int = 1
    longest: int = 20_000

    def draw(self, rng: random.Random, factor: float) -> int:
        """Draws a length; ``factor`` scales the median."""
        length = self.median * factor * math.exp(self.sigma * rng.gauss(0, 1))
        if rng.random() < self.tail_fraction:
            start = self.median * factor * math.exp(1.28 * self.sigma)
            length = start * rng.paretovariate(self.tail_index)
        return round(min(max(length, self.shortest), self.longest))


@dataclass(frozen=True, kw_only=True)
class TraceSettings:
    """The settings of a trace.

    Attributes:
        pattern: how the arrival rate changes over time.
        prompt: the distribution of prompt lengths.
        output: the distribution of output lengths.
        organisations: the number of organisations that send requests.
        large_organisations: the number of organisations that send more
            requests than the others.
        large_factor: the ratio of a large organisation's request rate to that
            of each other organisation.
        length_spread: the largest factor by which an organisation's median
            output length is above or below ``output.median``.
        prefixes: the number of shared prefixes; each prompt begins with a
            random one. 0 for no shared prefixes.
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
        at: its arrival time from the start of the trace.
        id: its id, unique in the trace.
        organisation: the organisation that sends it.
        prompt_tokens: the prompt's length.
        output_tokens: the output's length.
        prefix_hashes: hashes of the prompt's leading blocks.
    """

    at: timedelta
    id: str
    organisation: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...] = field(default=())


def list_organisations(settings: TraceSettings) -> tuple[str, ...]:
    """Returns the organisations' names, large organisations first."""
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
        settings: the settings of the trace.
        rate: the mean number of arrivals per second.
        duration: the trace's length.
        block_tokens: the number of prompt tokens that one prefix hash covers.
        seed: equal seeds give equal traces.
    """
    rng = random.Random(f"trace/{seed}")
    names = list_organisations(settings)
    weights = _list_weights(settings)
    end = duration.total_seconds()
    compute_factor, max_factor = _build_rate_factor(settings.pattern, end)
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(rate * max_factor)
        if now >= end:
            return
        if rng.random() * max_factor > compute_factor(now):
            continue
        number += 1
        [index] = rng.choices(range(len(names)), weights)
        yield _draw_arrival(
            settings,
            index,
            at=timedelta(seconds=now),
            number=number,
            block_tokens=block_tokens,
            rng=rng,
        )


def compute_rate(
    settings: TraceSettings,
    engine: EngineSettings,
    *,
    engines: int,
    load: float,
) -> float:
    """Computes the arrival rate that uses a given fraction of the memory.

    A request holds KV cache for its context during all its steps. The step
    duration depends in turn on the rate, so fixed-point iteration finds both.

    Args:
        settings: the settings of the trace.
        engine: the size and speed of each engine.
        engines: the number of engines.
        load: the fraction of the fleet's KV cache to use.

    Returns:
        The arrivals per second over all engines.
    """
    rng = random.Random("rate")
    weights = _list_weights(settings)
    requests = [
        _draw_lengths(settings, index, rng)
        for index in rng.choices(
            range(len(weights)), weights, k=_LENGTH_SAMPLES
        )
    ]
    prompt = sum(each for each, _ in requests) / _LENGTH_SAMPLES
    output = sum(each for _, each in requests) / _LENGTH_SAMPLES
    mean_token_steps = (
        sum(each * (start + each / 2) for start, each in requests)
        / _LENGTH_SAMPLES
    )
    step = engine.base_step.total_seconds()
    rate = 0.0
    for _ in range(_RATE_ITERATIONS):
        rate = load * engine.capacity_tokens / (mean_token_steps * step)
        step = _compute_step_seconds(
            engine,
            running=rate * output * step,
            prefilled=rate * prompt * step,
            context=load * engine.capacity_tokens,
        )
    return rate * engines


def _compute_step_seconds(
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


def _build_rate_factor(
    pattern: Pattern, end: float
) -> tuple[Callable[[float], float], float]:
    """Returns the rate relative to the mean over time, and its maximum."""
    if pattern == Pattern.POISSON:
        return (lambda _: 1.0), 1.0
    if pattern == Pattern.BURSTS:
        quiet = (1 - 2 * _BURST_FRACTION) / (1 - _BURST_FRACTION)

        def burst(now: float) -> float:
            phase = now % _BURST_PERIOD_SECONDS / _BURST_PERIOD_SECONDS
            return 2.0 if phase < _BURST_FRACTION else quiet

        return burst, 2.0
    return (lambda now: 1 - 0.5 * math.cos(2 * math.pi * now / end)), 1.5


def _draw_lengths(
    settings: TraceSettings, index: int, rng: random.Random
) -> tuple[int, int]:
    """Draws the prompt and output lengths of a request of an organisation."""
    last = max(settings.organisations - 1, 1)
    # The signs alternate, so that the large organisations, which come first,
    # do not all have long or all have short outputs.
    exponent = (2 * index / last - 1) * (1 if index % 2 else -1)
    factor = settings.length_spread**exponent
    prompt = settings.prompt.draw(rng, 1.0)
    return prompt, settings.output.draw(rng, factor)


def _draw_arrival(
    settings: TraceSettings,
    index: int,
    *,
    at: timedelta,
    number: int,
    block_tokens: int,
    rng: random.Random,
) -> Arrival:
    prompt, output = _draw_lengths(settings, index, rng)
    prefix = rng.randrange(settings.prefixes) if settings.prefixes else 0
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
