"""Forecasts the peak memory of an engine's generations.

Generations end at different times, so an engine never needs the sum of their
final sizes at once. A generation that ends frees thousands of tokens, while
each of the others grows by one token per step. So the peak comes before the
first long generation ends. A short generation fits wherever its prompt fits.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import pairwise
from operator import add, sub

REMAINING_BOUNDS = (0, 100, 300, 700, 1500, 3000)
"""Bounds of the histogram's buckets, in remaining output tokens. Each bucket is
about twice as wide as the one before, since later ends matter less to the peak.
The last bucket also counts generations beyond the last bound."""
BUCKET_COUNT = len(REMAINING_BOUNDS) - 1
_NONE = (0,) * BUCKET_COUNT


@dataclass(frozen=True, kw_only=True)
class MemoryProfile:
    """Histogram of an engine's generations by remaining output tokens.

    The sum of two profiles is the profile of all their generations.

    Attributes:
        counts: the number of generations in each bucket, in the order of
            ``REMAINING_BOUNDS``.
        used_tokens: the memory that the generations of each bucket use now, in
            tokens.
    """

    counts: tuple[int, ...] = _NONE
    used_tokens: tuple[int, ...] = _NONE

    def __add__(self, other: "MemoryProfile") -> "MemoryProfile":
        return MemoryProfile(
            counts=tuple(map(add, self.counts, other.counts)),
            used_tokens=tuple(map(add, self.used_tokens, other.used_tokens)),
        )

    def __sub__(self, other: "MemoryProfile") -> "MemoryProfile":
        return MemoryProfile(
            counts=tuple(map(sub, self.counts, other.counts)),
            used_tokens=tuple(map(sub, self.used_tokens, other.used_tokens)),
        )

    def __bool__(self) -> bool:
        return self.counts != _NONE

    def forecast_peak(self) -> int:
        """Returns the forecast peak memory, in tokens.

        The ends of a bucket's generations are assumed to be evenly spaced: the
        first of n ends after 1/(n + 1) of the bucket's width.
        """
        peak = sum(self.used_tokens)
        running, used_tokens = sum(self.counts), peak
        buckets = zip(
            pairwise(REMAINING_BOUNDS),
            self.counts,
            self.used_tokens,
            strict=True,
        )
        for (start, end), count, bucket_tokens in buckets:
            if count > 0:
                first_end = start + (end - start) / (count + 1)
                peak = max(peak, round(used_tokens + running * first_end))
            running -= count
            used_tokens -= bucket_tokens
        return peak


EMPTY_PROFILE = MemoryProfile()


def build_profile(generations: Iterable[tuple[int, int]]) -> MemoryProfile:
    """Builds the profile of generations.

    Args:
        generations: for each generation, the memory that it uses now, in
            tokens, and the expected number of remaining output tokens.
    """
    counts = [0] * BUCKET_COUNT
    used_tokens = [0] * BUCKET_COUNT
    for used, remaining in generations:
        bucket = _find_bucket(remaining)
        counts[bucket] += 1
        used_tokens[bucket] += used
    if not any(counts):
        return EMPTY_PROFILE
    return MemoryProfile(counts=tuple(counts), used_tokens=tuple(used_tokens))


def reserve_memory(tokens: int) -> MemoryProfile:
    """Returns a profile that reserves memory until all generations have ended.

    Args:
        tokens: the memory, in tokens.
    """
    return MemoryProfile(used_tokens=(*_NONE[1:], tokens))


def decode_profile(numbers: Sequence[int]) -> MemoryProfile:
    """Decodes the output of ``encode_profile``.

    Raises:
        ValueError: the list has the wrong length.
    """
    if len(numbers) != 2 * BUCKET_COUNT:
        raise ValueError(f"memory profile with {len(numbers)} values")
    return MemoryProfile(
        counts=tuple(numbers[:BUCKET_COUNT]),
        used_tokens=tuple(numbers[BUCKET_COUNT:]),
    )


def encode_profile(memory_profile: MemoryProfile) -> list[int]:
    """Encodes a profile as a flat list: first the counts, then the memory."""
    return [*memory_profile.counts, *memory_profile.used_tokens]


def _find_bucket(remaining: int) -> int:
    for bucket, end in enumerate(REMAINING_BOUNDS[1:]):
        if remaining < end:
            return bucket
    return BUCKET_COUNT - 1
