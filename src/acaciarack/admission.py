"""Forecasts of KV cache usage, used to admit generations.

After n more tokens, a running generation uses its current context plus n
tokens, or no memory if it has ended. The sum of these random variables over
all generations of an engine has a nearly normal distribution. The mean and
the variance at a few horizons therefore describe the engine's future usage.
Horizons are counted in tokens per generation, because each decode step adds
one token to every generation of an engine.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from statistics import NormalDist

from acaciarack.errors import AcaciarackError
from acaciarack.lengths import LengthProfile

HORIZONS_TOKENS = (0, 32, 128, 512, 1536, 4096)
_ZEROS = (0.0,) * len(HORIZONS_TOKENS)


class AdmissionError(AcaciarackError):
    """An admission setting is out of its range."""


@dataclass(frozen=True, kw_only=True)
class MemoryForecast:
    """The forecast KV cache usage of one or more generations.

    Attributes:
        means: the expected usage at each horizon, in tokens.
        variances: the variance of the usage at each horizon.
    """

    means: tuple[float, ...] = _ZEROS
    variances: tuple[float, ...] = _ZEROS


@dataclass(frozen=True, kw_only=True)
class AdmissionSettings:
    """How much memory is kept in reserve for forecast errors.

    Attributes:
        quantile: the probability that the forecast usage fits the engine's
            memory. A higher value causes fewer preemptions and longer queues.
        margin: the fraction of memory reserved for tokens and requests that
            were added since the views were last refreshed.
        fresh: up to this age of a load report, no memory is reserved for its
            age.
        stale: a load report of this age or older counts as missing.
        stale_reserve: the fraction of memory reserved at age ``stale``. It
            grows linearly from 0 at age ``fresh``.
        blind_in_flight: the maximum number of requests that a node keeps on
            a target whose load is unknown.
    """

    quantile: float = 0.9
    margin: float = 0.02
    fresh: timedelta = timedelta(seconds=1)
    stale: timedelta = timedelta(seconds=10)
    stale_reserve: float = 0.1
    blind_in_flight: int = 4

    def __post_init__(self) -> None:
        if not 0 < self.quantile < 1:
            raise AdmissionError(
                f"quantile must be between 0 and 1, exclusive; got "
                f"{self.quantile}"
            )

    def get_z_score(self) -> float:
        """Returns ``quantile`` as standard deviations above the mean."""
        return NormalDist().inv_cdf(self.quantile)

    def get_usable_fraction(self, age: timedelta) -> float:
        """Returns the usable fraction of memory for a load report's age."""
        period = self.stale - self.fresh
        staleness = (age - self.fresh) / period if period else 1.0
        reserve = self.stale_reserve * min(1.0, max(0.0, staleness))
        return 1 - self.margin - reserve


def forecast_generation(
    *,
    profile: LengthProfile,
    context_tokens: int,
    age_tokens: int,
    max_output_tokens: int,
) -> MemoryForecast:
    """Forecasts the memory of one generation.

    Args:
        profile: the distribution of its output length.
        context_tokens: the tokens of its prompt and its output so far.
        age_tokens: the tokens of its output so far.
        max_output_tokens: the limit on its output.
    """
    current_survival = profile.get_survival(age_tokens) or 1.0
    means = []
    variances = []
    for horizon in HORIZONS_TOKENS:
        length = age_tokens + horizon
        running_probability = 0.0
        if length < max_output_tokens:
            running_probability = (
                profile.get_survival(length) / current_survival
                if horizon
                else 1.0
            )
        usage = context_tokens + horizon
        means.append(usage * running_probability)
        variances.append(
            usage * usage * running_probability * (1 - running_probability)
        )
    return MemoryForecast(means=tuple(means), variances=tuple(variances))


def scale_forecast(forecast: MemoryForecast, count: float) -> MemoryForecast:
    """Forecasts ``count`` independent generations of the same distribution.

    A fractional count is the mean of a random number of generations, such as
    a Poisson variable.
    """
    return MemoryForecast(
        means=tuple(count * mean for mean in forecast.means),
        variances=tuple(count * variance for variance in forecast.variances),
    )


def sum_forecasts(forecasts: Iterable[MemoryForecast]) -> MemoryForecast:
    """Adds the forecasts of independent generations."""
    forecasts = tuple(forecasts)
    if not forecasts:
        return MemoryForecast()
    means = zip(*(forecast.means for forecast in forecasts), strict=True)
    variances = zip(
        *(forecast.variances for forecast in forecasts), strict=True
    )
    return MemoryForecast(
        means=tuple(map(sum, means)), variances=tuple(map(sum, variances))
    )


def compute_quantile_usage(
    forecast: MemoryForecast, z_score: float
) -> list[float]:
    """Returns the usage at each horizon, in tokens.

    Args:
        forecast: the forecast.
        z_score: the quantile as standard deviations above the mean.
    """
    return [
        mean + z_score * math.sqrt(variance)
        for mean, variance in zip(
            forecast.means, forecast.variances, strict=True
        )
    ]


def estimate_peak(forecast: MemoryForecast, z_score: float) -> float:
    """Returns the highest quantile usage over all horizons, in tokens."""
    return max(compute_quantile_usage(forecast, z_score))


def estimate_joint_peak(
    first: MemoryForecast, second: MemoryForecast, z_score: float
) -> float:
    """Returns the highest joint quantile usage of two forecasts, in tokens."""
    return max(
        first_mean
        + second_mean
        + z_score * math.sqrt(first_variance + second_variance)
        for first_mean, second_mean, first_variance, second_variance in zip(
            first.means,
            second.means,
            first.variances,
            second.variances,
            strict=True,
        )
    )
