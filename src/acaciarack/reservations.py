"""What a node has placed: reservations, costs, lengths and retry budgets."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from acaciarack.admission import Forecast, forecast_generation
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

_AGE_STEP_TOKENS = 32
_DURATION_WEIGHT = 0.05
_MAX_FINISHED = 16
_ALL_ANSWERS = LengthGroup(service=ANY, organisation=ANY, model=ANY)


class InFlight:
    """A request that this node has placed on a target.

    Attributes:
        request: the request.
        target: where it was placed.
        cost: the memory it was expected to need, in tokens.
        tokens: the tokens received so far.
        placed: when it was placed, in the clock's elapsed time.
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
        forecast: Forecast,
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
        """Returns the tokens of key-value memory that it uses now."""
        return self.request.prompt_tokens + self.tokens

    def count_drift(self) -> int:
        """Returns the tokens that came since the forecast was made."""
        return self.tokens - self._forecast_age

    def get_forecast(self) -> Forecast:
        """Returns the forecast of its memory, renewed as it grows."""
        if self._get_profile is None:
            return self._forecast
        if self.tokens - self._forecast_age >= _AGE_STEP_TOKENS:
            self._forecast_age = self.tokens
            self._forecast = forecast_generation(
                profile=self._get_profile(),
                context_tokens=self.count_context(),
                age_tokens=self.tokens,
                max_output_tokens=self.request.max_output_tokens,
            )
        return self._forecast


class Reservations:
    """Requests that were placed and have not finished."""

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
        self._finished: deque[FinishedLength] = deque(maxlen=_MAX_FINISHED)
        self._retries = retries
        self._running: dict[str, InFlight] = {}
        self._running_by: dict[str, int] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._durations: dict[str, timedelta] = {}

    def get_profile(self) -> LengthProfile:
        """Returns the distribution of the lengths of all answers."""
        return self._lengths.get_profile(_ALL_ANSWERS)

    def list_ages(self, group: LengthGroup) -> list[int]:
        """Returns the tokens that each running generation has so far."""
        return [
            running.tokens
            for running in self._running.values()
            if _belongs(running.request, group)
        ]

    def take_finished(self) -> tuple[FinishedLength, ...]:
        """Returns lengths of answers finished since the last call."""
        finished = tuple(self._finished)
        self._finished.clear()
        return finished

    def record_shared(self, finished: FinishedLength) -> None:
        """Records a length that a peer observed."""
        group = LengthGroup(
            service=finished.service,
            organisation=finished.organisation,
            model=finished.model,
        )
        self._lengths.record_shared(group, finished.tokens)

    def forecast(self, request: PlacementRequest) -> Forecast:
        """Forecasts the memory of a request that has not started."""
        group = _get_group(request)
        if group is None:
            return Forecast()
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
        forecast: Forecast,
        now: timedelta,
    ) -> InFlight:
        """Notes a request as placed."""
        group = _get_group(request)
        get_profile = None
        if group is not None:
            get_profile = partial(self._lengths.get_profile, group)
        running = InFlight(
            request=request,
            target=target,
            cost=cost,
            forecast=forecast,
            placed=now,
            get_profile=get_profile,
        )
        self._running[request.request_id] = running
        count = self.count_running(request.organisation)
        self._running_by[request.organisation] = count + 1
        return running

    def record_tokens(self, request_id: str, count: int) -> None:
        """Notes more tokens of a running generation."""
        running = self._running.get(request_id)
        if running is not None:
            running.tokens += count

    def release(
        self, request_id: str, *, succeeded: bool, now: timedelta
    ) -> InFlight | None:
        """Ends a request; returns it, or ``None`` if it is not known."""
        running = self._running.pop(request_id, None)
        if running is None:
            return None
        organisation = running.request.organisation
        self._running_by[organisation] -= 1
        if not self._running_by[organisation]:
            del self._running_by[organisation]
        if succeeded:
            self._record_success(running, now)
        return running

    def count_running(self, organisation: str) -> int:
        """Returns how many requests of an organisation are running."""
        return self._running_by.get(organisation, 0)

    def has_over_share(self, organisation: str) -> bool:
        """Returns whether it has more running than the others on average."""
        own = self.count_running(organisation)
        total = sum(self._running_by.values())
        return own * len(self._running_by) > total

    def take_retry(self, service: str) -> bool:
        """Takes a retry from the service's budget; returns if allowed."""
        return self._get_budget(service).take()

    def get_duration(self, service: str) -> timedelta:
        """Returns the mean duration of a service's requests; 0 if unknown."""
        return self._durations.get(service, timedelta())

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(settings=self._retries)
            self._budgets[service] = budget
        return budget

    def _record_success(self, running: InFlight, now: timedelta) -> None:
        request = running.request
        service = request.service.name
        self._get_budget(service).record_success()
        duration = now - running.placed
        mean = self._durations.get(service, duration)
        self._durations[service] = mean + _DURATION_WEIGHT * (duration - mean)
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


def _belongs(request: PlacementRequest, group: LengthGroup) -> bool:
    if request.choice is None:
        return False
    return (
        group.service in (ANY, request.service.name)
        and group.organisation in (ANY, request.organisation)
        and group.model in (ANY, request.choice.model)
    )


def _get_group(request: PlacementRequest) -> LengthGroup | None:
    """Returns whose lengths tell of the request's; none for a plain call."""
    if request.choice is None:
        return None
    return LengthGroup(
        service=request.service.name,
        organisation=request.organisation,
        model=request.choice.model,
    )
