"""Online estimates of output lengths.

Each group of generations has a quantile sketch of the lengths of its finished
generations. The weight of a length decays exponentially with age, so the
estimate follows drift. Long generations finish last, so finished generations
alone underestimate the lengths. The product-limit (Kaplan-Meier) estimator
corrects this with the ages of running generations. A group with too few
finished generations uses the estimate of the next wider group.
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
_QUANTILE_LEVELS = (
    *(step / 20 for step in range(19)),
    0.925,
    0.95,
    0.97,
    0.98,
    0.99,
    0.995,
    0.999,
)
_TAIL_PROBABILITY = 1 - _QUANTILE_LEVELS[-1]
_TAIL_INDEX = 2.0
"""Exponent of the power-law tail beyond the highest quantile."""
_SKETCH_RELATIVE_ACCURACY = 0.03
_SKETCH_MAX_BINS = 256
_MAX_WEIGHT_EXPONENT = 200.0
"""Bounds the weights, which grow with time, to the range of a float."""


@dataclass(frozen=True, kw_only=True)
class LengthGroup:
    """Generations whose lengths are estimated together.

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
    """Settings of the length estimates.

    Attributes:
        half_life: the age at which the weight of a length has halved.
        min_answers: the minimum total weight of finished generations; a group
            below it uses the estimate of a wider group.
        max_groups: the maximum number of groups; the least recently used one
            is evicted.
        refresh: how long a computed estimate is reused. It is recomputed
            earlier if the total weight grows by 20%.
        prior_median_tokens: the median of the log-normal prior, which is used
            while no group has enough finished generations.
        prior_sigma: the standard deviation of the logarithm of the length in
            the prior.
    """

    half_life: timedelta = timedelta(minutes=10)
    min_answers: float = 30.0
    max_groups: int = 512
    refresh: timedelta = timedelta(seconds=10)
    prior_median_tokens: float = 300.0
    prior_sigma: float = 1.2


@dataclass(frozen=True, kw_only=True)
class LengthProfile:
    """A distribution of output lengths.

    Beyond the highest quantile the tail follows a power law (Pareto).

    Attributes:
        lengths: the lengths in tokens at ``_QUANTILE_LEVELS``, in
            non-decreasing order.
        mean: the mean length in tokens.
    """

    lengths: tuple[float, ...]
    mean: float = field(init=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "mean", _compute_mean(self.lengths))

    def get_survival(self, length: float) -> float:
        """Returns the probability that an output exceeds ``length``."""
        lengths = self.lengths
        index = bisect_right(lengths, length)
        if index == 0:
            return 1.0
        if index == len(lengths):
            return _TAIL_PROBABILITY * float(
                (lengths[-1] / length) ** _TAIL_INDEX
            )
        low = lengths[index - 1]
        fraction = (length - low) / (lengths[index] - low)
        level = _QUANTILE_LEVELS[index - 1]
        return 1 - level - fraction * (_QUANTILE_LEVELS[index] - level)

    def get_length(self, quantile: float) -> float:
        """Returns the length at a quantile, which must be in [0, 1)."""
        if quantile >= _QUANTILE_LEVELS[-1]:
            ratio = _TAIL_PROBABILITY / (1 - quantile)
            return float(self.lengths[-1] * ratio ** (1 / _TAIL_INDEX))
        index = bisect_right(_QUANTILE_LEVELS, quantile)
        level = _QUANTILE_LEVELS[index - 1]
        fraction = (quantile - level) / (_QUANTILE_LEVELS[index] - level)
        low = self.lengths[index - 1]
        return low + fraction * (self.lengths[index] - low)

    def get_remaining(self, *, age_tokens: float, quantile: float) -> float:
        """Returns a quantile of the tokens that follow ``age_tokens``."""
        survival = self.get_survival(age_tokens)
        length = self.get_length(1 - (1 - quantile) * survival)
        return max(0.0, length - age_tokens)


@dataclass(frozen=True, kw_only=True)
class _RunningGenerations:
    """The running generations of a group.

    Attributes:
        ages: the tokens that each of this node's generations has so far.
        weight: the estimated number of generations across all nodes for each
            of this node's generations.
    """

    ages: tuple[int, ...] = ()
    weight: float = 1.0

    def sum_weights_from(self, length: float) -> float:
        """Returns the weight of the generations with at least ``length``."""
        return self.weight * sum(age >= length for age in self.ages)


class LengthEstimator:
    """Estimates output lengths by service, organisation and model."""

    def __init__(
        self,
        *,
        clock: Clock,
        settings: LengthSettings | None = None,
        list_ages: Callable[[LengthGroup], Sequence[int]] | None = None,
    ) -> None:
        """Builds an estimator.

        Args:
            clock: the clock for the age of the lengths.
            settings: the settings; the defaults if ``None``.
            list_ages: returns the tokens that each running generation of a
                group has so far.
        """
        self._clock = clock
        self._list_ages = list_ages
        self._local_count = 0
        self._peer_count = 0
        self._settings = settings or LengthSettings()
        self._sketches: LRUCache[LengthGroup, _DecayingSketch] = LRUCache(
            maxsize=self._settings.max_groups
        )
        self._prior = _build_prior(self._settings)

    def record(self, group: LengthGroup, tokens: int) -> None:
        """Records the length of a generation that completed normally."""
        self._local_count += 1
        self._record(group, tokens)

    def record_peer_length(self, group: LengthGroup, tokens: int) -> None:
        """Records a length that a peer observed."""
        self._peer_count += 1
        self._record(group, tokens)

    def _record(self, group: LengthGroup, tokens: int) -> None:
        now = self._clock.elapsed()
        for enclosing in _list_enclosing_groups(group):
            sketch = self._sketches.get(enclosing)
            if sketch is None:
                sketch = _DecayingSketch(start=now, settings=self._settings)
                self._sketches[enclosing] = sketch
            sketch.add(tokens, now)

    def _list_running(self, group: LengthGroup) -> _RunningGenerations:
        """Lists the running generations, scaled up to those of all nodes.

        The scale is the ratio of the lengths recorded by all nodes to those
        recorded by this node.
        """
        if self._list_ages is None or not self._local_count:
            return _RunningGenerations()
        weight = (self._local_count + self._peer_count) / self._local_count
        return _RunningGenerations(
            ages=tuple(self._list_ages(group)), weight=weight
        )

    def get_profile(self, group: LengthGroup) -> LengthProfile:
        """Returns the length distribution of a group.

        Uses the narrowest enclosing group with enough finished generations,
        or the prior if there is none.
        """
        now = self._clock.elapsed()
        for enclosing in _list_enclosing_groups(group):
            sketch = self._sketches.get(enclosing)
            if sketch is None:
                continue
            if sketch.sum_weights(now) >= self._settings.min_answers:
                return sketch.get_profile(
                    now, partial(self._list_running, enclosing)
                )
        return self._prior

    def estimate_remaining(
        self, group: LengthGroup, age_tokens: int, quantile: float
    ) -> float:
        """Estimates how many more tokens a running generation will produce.

        Args:
            group: the group of the generation.
            age_tokens: the number of tokens that it has generated.
            quantile: a quantile in [0, 1).

        Returns:
            The quantile of the remaining length, in tokens.
        """
        profile = self.get_profile(group)
        return profile.get_remaining(age_tokens=age_tokens, quantile=quantile)


class _DecayingSketch:
    """A quantile sketch with exponential forward decay.

    The weight of a new value grows exponentially with the time since a
    landmark, so the weights already in the sketch need no update.
    """

    def __init__(self, *, start: timedelta, settings: LengthSettings) -> None:
        self._settings = settings
        self._landmark = start
        self._sketch = _create_sketch()
        self._profile: LengthProfile | None = None
        self._profile_time = start
        self._profile_count = 0.0

    def add(self, tokens: int, now: timedelta) -> None:
        if self._get_exponent(now) > _MAX_WEIGHT_EXPONENT:
            self._reset_landmark(now)
        weight = math.exp(self._get_exponent(now))
        self._sketch.add(float(max(tokens, 1)), weight)

    def sum_weights(self, now: timedelta) -> float:
        """Returns the sum of weights, scaled so that a new value weighs 1."""
        return float(self._sketch.count * math.exp(-self._get_exponent(now)))

    def get_profile(
        self, now: timedelta, list_running: Callable[[], _RunningGenerations]
    ) -> LengthProfile:
        count = self.sum_weights(now)
        is_fresh = now - self._profile_time < self._settings.refresh
        if self._profile is None or not (
            is_fresh and count < 1.2 * self._profile_count
        ):
            self._profile = _correct_for_censoring(
                self._list_quantiles(), count, list_running()
            )
            self._profile_time = now
            self._profile_count = count
        return self._profile

    def _get_exponent(self, now: timedelta) -> float:
        return math.log(2) * ((now - self._landmark) / self._settings.half_life)

    def _list_quantiles(self) -> tuple[float, ...]:
        return tuple(
            float(self._sketch.get_quantile_value(level))
            for level in _QUANTILE_LEVELS
        )

    def _reset_landmark(self, now: timedelta) -> None:
        """Rebuilds the sketch from its quantiles with a new landmark."""
        weight = self.sum_weights(now) / len(_QUANTILE_LEVELS)
        lengths = self._list_quantiles()
        self._sketch = _create_sketch()
        self._landmark = now
        if weight <= 0:
            return
        for length in lengths:
            self._sketch.add(length, weight)


def _correct_for_censoring(
    lengths: tuple[float, ...], count: float, running: _RunningGenerations
) -> LengthProfile:
    """Corrects the distribution for running (censored) generations.

    Applies the product-limit estimator. The hazard of an interval between two
    quantiles is the weight of the generations that ended in the interval
    divided by the weight of all that reached it.
    """
    if not running.ages:
        return LengthProfile(lengths=lengths)
    survival = 1.0
    survivals = [survival]
    for index in range(1, len(_QUANTILE_LEVELS)):
        events = count * (_QUANTILE_LEVELS[index] - _QUANTILE_LEVELS[index - 1])
        at_risk = count * (1 - _QUANTILE_LEVELS[index - 1])
        at_risk += running.sum_weights_from(lengths[index])
        survival *= 1 - events / at_risk
        survivals.append(survival)
    return LengthProfile(
        lengths=tuple(
            _interpolate_length(lengths, survivals, 1 - level)
            for level in _QUANTILE_LEVELS
        )
    )


def _interpolate_length(
    lengths: tuple[float, ...], survivals: list[float], survival: float
) -> float:
    """Returns the length that a fraction ``survival`` of outputs exceeds."""
    index = bisect_left(survivals, True, key=lambda value: value <= survival)
    if index == 0:
        return lengths[0]
    if index == len(survivals):
        ratio = survivals[-1] / survival
        return float(lengths[-1] * ratio ** (1 / _TAIL_INDEX))
    above = survivals[index - 1]
    below = survivals[index]
    fraction = (above - survival) / (above - below)
    return lengths[index - 1] + fraction * (lengths[index] - lengths[index - 1])


def _create_sketch() -> LogCollapsingLowestDenseDDSketch:
    return LogCollapsingLowestDenseDDSketch(
        relative_accuracy=_SKETCH_RELATIVE_ACCURACY, bin_limit=_SKETCH_MAX_BINS
    )


def _list_enclosing_groups(group: LengthGroup) -> Iterator[LengthGroup]:
    """Yields the group, then each wider group, up to all generations."""
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
    lengths = (
        math.exp(normal.inv_cdf(level)) for level in _QUANTILE_LEVELS[1:]
    )
    return LengthProfile(lengths=(1.0, *lengths))


def _compute_mean(lengths: tuple[float, ...]) -> float:
    intervals = zip(pairwise(_QUANTILE_LEVELS), pairwise(lengths), strict=True)
    mean = sum(
        (high - low) * (shorter + longer) / 2
        for (low, high), (shorter, longer) in intervals
    )
    tail = lengths[-1] * _TAIL_INDEX / (_TAIL_INDEX - 1)
    return mean + _TAIL_PROBABILITY * tail
