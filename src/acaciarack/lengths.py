"""Online estimates of how long answers are.

Lengths of finished answers go into one sketch for each group, with weights
that halve with age, so that estimates follow a drift. Long answers finish
last, so the finished ones alone are too short a sample; the ages of running
generations correct it by the product-limit estimator. A group with too few
answers borrows the estimate of the next wider one.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import pairwise
from statistics import NormalDist

from cachetools import LRUCache
from ddsketch.ddsketch import LogCollapsingLowestDenseDDSketch

from acaciarack.clock import Clock

ANY = "*"
_LEVELS = (
    *(step / 20 for step in range(19)),
    0.925,
    0.95,
    0.97,
    0.98,
    0.99,
    0.995,
    0.999,
)
_TAIL_LEVEL = 1 - _LEVELS[-1]
_TAIL_INDEX = 2.0
_RELATIVE_ACCURACY = 0.03
_MAX_BINS = 256
_MAX_EXPONENT = 200.0


@dataclass(frozen=True, kw_only=True)
class LengthGroup:
    """Answers whose lengths are estimated together.

    Attributes:
        service: the service's name, or ``*`` for all.
        organisation: the organisation's name, or ``*`` for all.
        model: the model's name, or ``*`` for all.
    """

    service: str
    organisation: str
    model: str


@dataclass(frozen=True, kw_only=True)
class LengthSettings:
    """How lengths are estimated.

    Attributes:
        half_life: the age at which an answer's weight has halved.
        min_answers: the fewest answers, by weight, that a group needs for an
            estimate of its own.
        max_groups: the most groups kept; the least recently used is dropped.
        refresh: the longest time that an estimate is used unchanged.
        prior_median_tokens: the median length assumed without any answer.
        prior_sigma: the standard deviation of the logarithm of that length.
    """

    half_life: timedelta = timedelta(minutes=10)
    min_answers: float = 30.0
    max_groups: int = 512
    refresh: timedelta = timedelta(seconds=10)
    prior_median_tokens: float = 300.0
    prior_sigma: float = 1.2


@dataclass(frozen=True, kw_only=True)
class LengthProfile:
    """A distribution of answer lengths.

    Beyond the highest known quantile the tail falls as a power law.

    Attributes:
        lengths: the lengths in tokens at fixed quantiles, not decreasing.
        mean: the mean length in tokens.
    """

    lengths: tuple[float, ...]
    mean: float = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "mean", _compute_mean(self.lengths))

    def survive(self, length: float) -> float:
        """Returns the probability that an answer is longer than ``length``."""
        lengths = self.lengths
        index = bisect_right(lengths, length)
        if index == 0:
            return 1.0
        if index == len(lengths):
            return _TAIL_LEVEL * float((lengths[-1] / length) ** _TAIL_INDEX)
        low = lengths[index - 1]
        part = (length - low) / (lengths[index] - low)
        level = _LEVELS[index - 1]
        return 1 - level - part * (_LEVELS[index] - level)

    def get_length(self, quantile: float) -> float:
        """Returns the length at a quantile from 0 up to but without 1."""
        if quantile >= _LEVELS[-1]:
            ratio = _TAIL_LEVEL / (1 - quantile)
            return float(self.lengths[-1] * ratio ** (1 / _TAIL_INDEX))
        index = bisect_right(_LEVELS, quantile)
        level = _LEVELS[index - 1]
        part = (quantile - level) / (_LEVELS[index] - level)
        low = self.lengths[index - 1]
        return low + part * (self.lengths[index] - low)

    def get_remaining(self, *, age_tokens: float, quantile: float) -> float:
        """Returns a quantile of what follows after ``age_tokens`` tokens."""
        alive = self.survive(age_tokens)
        length = self.get_length(1 - (1 - quantile) * alive)
        return max(0.0, length - age_tokens)


@dataclass(frozen=True, kw_only=True)
class _Running:
    """The tokens that running generations have, and what each one weighs."""

    ages: tuple[int, ...] = ()
    weight: float = 1.0

    def weigh_from(self, length: float) -> float:
        """Returns the weight of those that are at least so old."""
        return self.weight * sum(age >= length for age in self.ages)


class LengthEstimator:
    """Estimates lengths by service, organisation and model."""

    def __init__(
        self,
        *,
        clock: Clock,
        settings: LengthSettings | None = None,
        list_ages: Callable[[LengthGroup], Sequence[int]] | None = None,
    ) -> None:
        """Builds an estimator.

        Args:
            clock: the time.
            settings: how lengths are estimated.
            list_ages: returns the tokens that each running generation of a
                group has so far.
        """
        self._clock = clock
        self._list_ages = list_ages
        self._own = 0
        self._shared = 0
        self._settings = settings or LengthSettings()
        self._sketches: LRUCache[LengthGroup, _DecayingSketch] = LRUCache(
            maxsize=self._settings.max_groups
        )
        self._prior = _build_prior(self._settings)

    def record(self, group: LengthGroup, tokens: int) -> None:
        """Records the length of an answer that came to its own end."""
        self._own += 1
        self._record(group, tokens)

    def record_shared(self, group: LengthGroup, tokens: int) -> None:
        """Records a length that a peer observed."""
        self._shared += 1
        self._record(group, tokens)

    def _record(self, group: LengthGroup, tokens: int) -> None:
        now = self._clock.elapsed()
        for wider in _widen(group):
            sketch = self._sketches.get(wider)
            if sketch is None:
                sketch = _DecayingSketch(start=now, settings=self._settings)
                self._sketches[wider] = sketch
            sketch.add(tokens, now)

    def _list_running(self, group: LengthGroup) -> _Running:
        """Lists running generations, weighed as those of all nodes."""
        if self._list_ages is None or not self._own:
            return _Running()
        weight = (self._own + self._shared) / self._own
        return _Running(ages=tuple(self._list_ages(group)), weight=weight)

    def get_profile(self, group: LengthGroup) -> LengthProfile:
        """Returns the distribution for the narrowest group with answers."""
        now = self._clock.elapsed()
        for wider in _widen(group):
            sketch = self._sketches.get(wider)
            if sketch is None:
                continue
            if sketch.count_answers(now) >= self._settings.min_answers:
                return sketch.get_profile(
                    now, partial(self._list_running, wider)
                )
        return self._prior

    def estimate_remaining(
        self, group: LengthGroup, age_tokens: int, quantile: float
    ) -> float:
        """Estimates how many tokens follow in a running generation.

        Args:
            group: the group that it belongs to.
            age_tokens: how many tokens it has generated.
            quantile: from 0 up to but without 1.

        Returns:
            The quantile of the remaining length, in tokens.
        """
        profile = self.get_profile(group)
        return profile.get_remaining(age_tokens=age_tokens, quantile=quantile)


class _DecayingSketch:
    """A sketch whose older values weigh less, by forward decay.

    A value's weight grows with the time of its arrival since a landmark, so
    that the weights that are already in the sketch never change.
    """

    def __init__(self, *, start: timedelta, settings: LengthSettings) -> None:
        self._settings = settings
        self._landmark = start
        self._sketch = _create_sketch()
        self._profile: LengthProfile | None = None
        self._profile_time = start
        self._profile_count = 0.0

    def add(self, tokens: int, now: timedelta) -> None:
        if self._get_exponent(now) > _MAX_EXPONENT:
            self._move_landmark(now)
        weight = math.exp(self._get_exponent(now))
        self._sketch.add(float(max(tokens, 1)), weight)

    def count_answers(self, now: timedelta) -> float:
        """Returns the sum of weights, where a value of now weighs 1."""
        return float(self._sketch.count * math.exp(-self._get_exponent(now)))

    def get_profile(
        self, now: timedelta, list_running: Callable[[], _Running]
    ) -> LengthProfile:
        count = self.count_answers(now)
        fresh = now - self._profile_time < self._settings.refresh
        if self._profile is None or not (
            fresh and count < 1.2 * self._profile_count
        ):
            self._profile = _correct_profile(
                self._list_quantiles(), count, list_running()
            )
            self._profile_time = now
            self._profile_count = count
        return self._profile

    def _get_exponent(self, now: timedelta) -> float:
        return math.log(2) * ((now - self._landmark) / self._settings.half_life)

    def _list_quantiles(self) -> tuple[float, ...]:
        return tuple(
            float(self._sketch.get_quantile_value(level)) for level in _LEVELS
        )

    def _move_landmark(self, now: timedelta) -> None:
        """Starts a sketch anew from the quantiles of the present one."""
        weight = self.count_answers(now) / len(_LEVELS)
        lengths = self._list_quantiles()
        self._sketch = _create_sketch()
        self._landmark = now
        if weight <= 0:
            return
        for length in lengths:
            self._sketch.add(length, weight)


def _correct_profile(
    lengths: tuple[float, ...], count: float, running: _Running
) -> LengthProfile:
    """Corrects the lengths of finished answers by those still running.

    In each interval between two quantiles the hazard is the weight of the
    answers that ended in it over all that got that far.
    """
    if not running.ages:
        return LengthProfile(lengths=lengths)
    alive = 1.0
    survivals = [alive]
    for index in range(1, len(_LEVELS)):
        ended = count * (_LEVELS[index] - _LEVELS[index - 1])
        reached = count * (1 - _LEVELS[index - 1])
        reached += running.weigh_from(lengths[index])
        alive *= 1 - ended / reached
        survivals.append(alive)
    return LengthProfile(
        lengths=tuple(
            _find_length(lengths, survivals, 1 - level) for level in _LEVELS
        )
    )


def _find_length(
    lengths: tuple[float, ...], survivals: list[float], survival: float
) -> float:
    """Returns the length that a fraction of answers exceeds."""
    index = bisect_left(survivals, True, key=lambda each: each <= survival)
    if index == 0:
        return lengths[0]
    if index == len(survivals):
        ratio = survivals[-1] / survival
        return float(lengths[-1] * ratio ** (1 / _TAIL_INDEX))
    above = survivals[index - 1]
    below = survivals[index]
    part = (above - survival) / (above - below)
    return lengths[index - 1] + part * (lengths[index] - lengths[index - 1])


def _create_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(
        relative_accuracy=_RELATIVE_ACCURACY, bin_limit=_MAX_BINS
    )


def _widen(group: LengthGroup) -> Iterator[LengthGroup]:
    """Yields the group and then wider ones, up to the one of all answers."""
    yield group
    yield LengthGroup(
        service=group.service, organisation=ANY, model=group.model
    )
    yield LengthGroup(service=group.service, organisation=ANY, model=ANY)
    yield LengthGroup(service=ANY, organisation=ANY, model=ANY)


def _build_prior(settings: LengthSettings) -> LengthProfile:
    normal = NormalDist(
        math.log(settings.prior_median_tokens), settings.prior_sigma
    )
    lengths = (math.exp(normal.inv_cdf(level)) for level in _LEVELS[1:])
    return LengthProfile(lengths=(1.0, *lengths))


def _compute_mean(lengths: tuple[float, ...]) -> float:
    steps = zip(pairwise(_LEVELS), pairwise(lengths), strict=True)
    mean = sum(
        (high - low) * (shorter + longer) / 2
        for (low, high), (shorter, longer) in steps
    )
    tail = lengths[-1] * _TAIL_INDEX / (_TAIL_INDEX - 1)
    return mean + _TAIL_LEVEL * tail
