"""Forecasts of key-value memory, by which generations are admitted.

A generation that is running now uses, when it has produced some more tokens,
its context and those tokens, or nothing if it has ended by then. The sum of
such variables over all generations of an engine is close to normal, so the
mean and the variance at a few horizons describe the engine's future use.
Horizons are counted in tokens per generation: all generations of an engine
advance by one token in each step.
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
class Forecast:
    """The future memory of some generations, in tokens.

    Attributes:
        means: the expected use at each horizon.
        variances: the variance of the use at each horizon.
    """

    means: tuple[float, ...] = _ZEROS
    variances: tuple[float, ...] = _ZEROS


@dataclass(frozen=True, kw_only=True)
class AdmissionSettings:
    """How much memory is left free for what cannot be foreseen.

    Attributes:
        quantile: the probability with which the forecast use must fit an
            engine's memory. A higher one preempts less and queues more.
        margin: the fraction of memory left free for what has come since the
            views were last refreshed.
        fresh: up to this age a load report is taken as it is.
        stale: from this age on a load report counts as missing.
        stale_reserve: the fraction of memory left free at age ``stale``; it
            grows evenly from none at age ``fresh``.
        blind_in_flight: the most requests that a node keeps on a target
            whose load it does not know.
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
                f"quantile is {self.quantile}; allowed are values between 0 "
                "and 1"
            )

    def get_deviations(self) -> float:
        """Returns the quantile as standard deviations above the mean."""
        return NormalDist().inv_cdf(self.quantile)

    def get_usable_fraction(self, age: timedelta) -> float:
        """Returns the fraction of memory to plan with at a report's age."""
        span = self.stale - self.fresh
        part = (age - self.fresh) / span if span else 1.0
        reserve = self.stale_reserve * min(1.0, max(0.0, part))
        return 1 - self.margin - reserve


def forecast_generation(
    *,
    profile: LengthProfile,
    context_tokens: int,
    age_tokens: int,
    max_output_tokens: int,
) -> Forecast:
    """Forecasts the memory of one generation.

    Args:
        profile: the distribution of its length.
        context_tokens: its prompt and what it has generated.
        age_tokens: what it has generated.
        max_output_tokens: the limit on what it generates.
    """
    alive = profile.survive(age_tokens) or 1.0
    means = []
    variances = []
    for horizon in HORIZONS_TOKENS:
        length = age_tokens + horizon
        remains = 0.0
        if length < max_output_tokens:
            remains = profile.survive(length) / alive if horizon else 1.0
        use = context_tokens + horizon
        means.append(use * remains)
        variances.append(use * use * remains * (1 - remains))
    return Forecast(means=tuple(means), variances=tuple(variances))


def scale_forecast(forecast: Forecast, count: float) -> Forecast:
    """Forecasts ``count`` independent generations that are alike.

    A fractional count is an expected one, as of a Poisson variable.
    """
    return Forecast(
        means=tuple(count * mean for mean in forecast.means),
        variances=tuple(count * each for each in forecast.variances),
    )


def add_forecasts(forecasts: Iterable[Forecast]) -> Forecast:
    """Forecasts independent generations together."""
    forecasts = tuple(forecasts)
    if not forecasts:
        return Forecast()
    means = zip(*(forecast.means for forecast in forecasts), strict=True)
    variances = zip(
        *(forecast.variances for forecast in forecasts), strict=True
    )
    return Forecast(
        means=tuple(map(sum, means)), variances=tuple(map(sum, variances))
    )


def list_uses(forecast: Forecast, deviations: float) -> list[float]:
    """Returns the use at each horizon, ``deviations`` above the mean."""
    return [
        mean + deviations * math.sqrt(variance)
        for mean, variance in zip(
            forecast.means, forecast.variances, strict=True
        )
    ]


def estimate_peak(forecast: Forecast, deviations: float) -> float:
    """Returns the highest use over all horizons, in tokens."""
    return max(list_uses(forecast, deviations))


def estimate_joint_peak(
    first: Forecast, second: Forecast, deviations: float
) -> float:
    """Returns the highest use of two forecasts together, in tokens."""
    return max(
        first_mean
        + second_mean
        + deviations * math.sqrt(first_variance + second_variance)
        for first_mean, second_mean, first_variance, second_variance in zip(
            first.means,
            second.means,
            first.variances,
            second.variances,
            strict=True,
        )
    )
