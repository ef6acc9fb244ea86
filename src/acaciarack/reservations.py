"""A node's placed requests: reservations, output lengths and retry budgets."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from acaciarack.admission import MemoryForecast, forecast_generation
from acaciarack.budgets import RetryBudget, RetryBudgetSettings
from acaciarack.clock import Clock
from acaciarack.digests import FinishedLength
from acaciarack.lengths import (
    ANY,
    LengthEstimator,
    LengthGroup,
    LengthProfile,
    LengthSettings,
)
from acaciarack.placement import PlacementRequest

_FORECAST_REFRESH_TOKENS = 32
"""A request is forecast again after this many new tokens."""
_DURATION_SMOOTHING = 0.05
"""Weight of the newest duration in the exponential moving average."""
_MAX_UNSENT_LENGTHS = 16
"""Bounds the lengths in the next digest to peers; drops the oldest."""
_ALL_GENERATIONS = LengthGroup(service=ANY, organisation=ANY, model=ANY)


class InFlightRequest:
    """A request that this node has placed on a target.

    Attributes:
        request: the request.
        target: the target's name.
        cost: the memory estimated at placement, in tokens.
        tokens: the number of generated tokens received so far.
        placed: the elapsed time at which it was placed.
    """

    __slots__ = (
        "_forecast",
        "_forecast_age",
        "_get_profile",
        "cost",
        "placed",
        "request",
        "target",
        "tokens",
    )

    def __init__(
        self,
        *,
        request: PlacementRequest,
        target: str,
        cost: float,
        forecast: MemoryForecast,
        placed: timedelta,
        get_profile: Callable[[], LengthProfile] | None,
    ) -> None:
        self.request = request
        self.target = target
        self.cost = cost
        self.placed = placed
        self.tokens = 0
        self._get_profile = get_profile
        self._forecast = forecast
        self._forecast_age = 0

    def count_context(self) -> int:
        """Returns the KV cache memory that it uses now, in tokens."""
        return self.request.prompt_tokens + self.tokens

    def count_tokens_since_forecast(self) -> int:
        """Returns the number of tokens received since the last forecast."""
        return self.tokens - self._forecast_age

    def get_forecast(self) -> MemoryForecast:
        """Returns the memory forecast, recomputed as the output grows."""
        if self._get_profile is None:
            return self._forecast
        if self.tokens - self._forecast_age >= _FORECAST_REFRESH_TOKENS:
            self._forecast_age = self.tokens
            self._forecast = forecast_generation(
                profile=self._get_profile(),
                context_tokens=self.count_context(),
                age_tokens=self.tokens,
                max_output_tokens=self.request.max_output_tokens,
            )
        return self._forecast


class Reservations:
    """Tracks the requests that are placed and have not finished."""

    def __init__(
        self,
        *,
        clock: Clock,
        lengths: LengthSettings,
        retries: RetryBudgetSettings,
    ) -> None:
        self._lengths = LengthEstimator(
            clock=clock, settings=lengths, list_ages=self.list_ages
        )
        self._finished: deque[FinishedLength] = deque(
            maxlen=_MAX_UNSENT_LENGTHS
        )
        self._retry_settings = retries
        self._running: dict[str, InFlightRequest] = {}
        self._running_by_organisation: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._mean_durations: dict[str, timedelta] = {}

    def get_profile(self) -> LengthProfile:
        """Returns the distribution of output lengths of all generations."""
        return self._lengths.get_profile(_ALL_GENERATIONS)

    def list_ages(self, group: LengthGroup) -> list[int]:
        """Returns the output tokens so far of each running generation."""
        return [
            running.tokens
            for running in self._running.values()
            if _matches_group(running.request, group)
        ]

    def take_finished(self) -> tuple[FinishedLength, ...]:
        """Returns the lengths of generations finished since the last call."""
        finished = tuple(self._finished)
        self._finished.clear()
        return finished

    def record_peer_length(self, finished: FinishedLength) -> None:
        """Records an output length that a peer observed."""
        group = LengthGroup(
            service=finished.service,
            organisation=finished.organisation,
            model=finished.model,
        )
        self._lengths.record_peer_length(group, finished.tokens)

    def forecast(self, request: PlacementRequest) -> MemoryForecast:
        """Forecasts the memory of a request that has not started.

        The forecast is empty for a plain call, which has no model.
        """
        group = _get_group(request)
        if group is None:
            return MemoryForecast()
        return forecast_generation(
            profile=self._lengths.get_profile(group),
            context_tokens=request.prompt_tokens,
            age_tokens=0,
            max_output_tokens=request.max_output_tokens,
        )

    def reserve(
        self,
        request: PlacementRequest,
        *,
        target: str,
        cost: float,
        forecast: MemoryForecast,
        now: timedelta,
    ) -> InFlightRequest:
        """Records a placed request and returns its reservation."""
        group = _get_group(request)
        get_profile = None
        if group is not None:
            get_profile = partial(self._lengths.get_profile, group)
        running = InFlightRequest(
            request=request,
            target=target,
            cost=cost,
            forecast=forecast,
            placed=now,
            get_profile=get_profile,
        )
        self._running[request.request_id] = running
        count = self.count_running(request.organisation)
        self._running_by_organisation[request.organisation] = count + 1
        return running

    def record_tokens(self, request_id: str, count: int) -> None:
        """Adds tokens received for a running generation."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens += count

    def release(
        self, request_id: str, *, succeeded: bool, now: timedelta
    ) -> InFlightRequest | None:
        """Removes and returns a request; ``None`` if it is unknown.

        A success also counts for the retry budget, the mean duration and the
        output lengths.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        organisation = running.request.organisation
        self._running_by_organisation[organisation] -= 1
        if not self._running_by_organisation[organisation]:
            del self._running_by_organisation[organisation]
        if succeeded:
            self._record_success(running, now)
        return running

    def count_running(self, organisation: str) -> int:
        """Returns the number of running requests of an organisation."""
        return self._running_by_organisation.get(organisation, 0)

    def exceeds_mean_share(self, organisation: str) -> bool:
        """Returns whether it has more running requests than the mean.

        The mean is over the organisations that have running requests.
        """
        own_count = self.count_running(organisation)
        total = sum(self._running_by_organisation.values())
        return own_count * len(self._running_by_organisation) > total

    def consume_retry(self, service: str) -> bool:
        """Consumes a retry of the service's budget; false if it has none."""
        return self._get_budget(service).consume()

    def get_mean_duration(self, service: str) -> timedelta:
        """Returns the mean duration of a service's requests; 0 if unknown."""
        return self._mean_durations.get(service, timedelta())

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(settings=self._retry_settings)
            self._budgets[service] = budget
        return budget

    def _record_success(self, running: InFlightRequest, now: timedelta) -> None:
        request = running.request
        service = request.service.name
        self._get_budget(service).record_success()
        duration = now - running.placed
        mean = self._mean_durations.get(service, duration)
        self._mean_durations[service] = mean + _DURATION_SMOOTHING * (
            duration - mean
        )
        group = _get_group(request)
        if group is not None and running.tokens:
            self._lengths.record(group, running.tokens)
            self._finished.append(
                FinishedLength(
                    service=group.service,
                    organisation=group.organisation,
                    model=group.model,
                    tokens=running.tokens,
                )
            )


def _matches_group(request: PlacementRequest, group: LengthGroup) -> bool:
    if request.choice is None:
        return False
    return (
        group.service in (ANY, request.service.name)
        and group.organisation in (ANY, request.organisation)
        and group.model in (ANY, request.choice.model)
    )


def _get_group(request: PlacementRequest) -> LengthGroup | None:
    """Returns the length group of a generation; ``None`` for a plain call."""
    if request.choice is None:
        return None
    return LengthGroup(
        service=request.service.name,
        organisation=request.organisation,
        model=request.choice.model,
    )
