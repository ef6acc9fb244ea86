"""Computes the burn rates of error budgets in windows that end now."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from acaciarack.burn_counts import (
    MAX_DISTINCT_CAUSES,
    MINUTE_SECONDS,
    OBJECTIVES,
    CauseRow,
    CountAccumulator,
    Counts,
    Row,
)
from acaciarack.configuration import Objectives
from acaciarack.operator_interfaces import Budget, BurnCause, BurnWindow

MIN_REQUESTS = 10
"""Minimum number of requests in the longer window of a burning pair."""
MAX_CAUSES_PER_BUDGET = 3
_MIN_ERROR_BUDGET = 1e-6
"""Lower bound that prevents a division by zero."""


@dataclass(frozen=True, kw_only=True)
class WindowPair:
    """Two windows whose burn rates must both exceed a threshold.

    Attributes:
        short: its burn rate shows that errors still occur.
        long: its burn rate shows that the errors are significant.
        rate: the burn rate threshold.
    """

    short: timedelta
    long: timedelta
    rate: float


FAST = WindowPair(short=timedelta(minutes=5), long=timedelta(hours=1), rate=6.0)
SLOW = WindowPair(
    short=timedelta(minutes=30), long=timedelta(hours=6), rate=2.0
)
WINDOW_LENGTHS = tuple(sorted({FAST.short, FAST.long, SLOW.short, SLOW.long}))


@dataclass(kw_only=True)
class WindowSums:
    """Sums counts over several windows with a common end.

    Attributes:
        now: the end of all windows.
        period: the length of the longest window.
        service: counts this service only, or all services if empty.
        organisation: counts this organisation only, or all if empty.
        accumulators: the sums of each window, by its length.
        causes: the causes within the period.
    """

    now: datetime
    period: timedelta
    service: str = ""
    organisation: str = ""
    accumulators: dict[timedelta, CountAccumulator] = field(init=False)
    causes: CountAccumulator = field(
        default_factory=lambda: CountAccumulator(max_causes=MAX_DISTINCT_CAUSES)
    )

    def __post_init__(self) -> None:
        lengths = (*WINDOW_LENGTHS, self.period)
        self.accumulators = {
            length: CountAccumulator() for length in sorted(set(lengths))
        }

    def add(self, counts: Counts) -> None:
        """Adds a minute to each window that it overlaps."""
        age = self._compute_age(counts.minute)
        rows = [row for row in counts.rows if self._matches_filter(row)]
        for length, accumulator in self.accumulators.items():
            if age < length:
                for row in rows:
                    accumulator.add_row(row)
        if age < self.period:
            for cause in counts.causes:
                if self._matches_filter(cause):
                    self.causes.add_cause(cause)

    def _compute_age(self, minute: int) -> timedelta:
        """Returns the time from the end of the minute to ``now``."""
        end = (minute + 1) * MINUTE_SECONDS
        return timedelta(seconds=self.now.timestamp() - end)

    def _matches_filter(self, row: Row | CauseRow) -> bool:
        if self.service not in ("", row.service):
            return False
        return self.organisation in ("", row.organisation)


def compute_burn_rate(
    *, requests: int, bad: int, good_fraction: float
) -> float:
    """Returns the burn rate. A rate of 1 spends exactly the budget."""
    if not requests:
        return 0.0
    budget = max(_MIN_ERROR_BUDGET, 1 - good_fraction)
    return bad / requests / budget


def is_burning(windows: Iterable[BurnWindow]) -> bool:
    """Returns whether any pair of windows burns.

    A pair burns if the burn rates of both windows exceed the pair's threshold
    and the longer window has at least ``MIN_REQUESTS`` requests.
    """
    by_length = {window.length: window for window in windows}
    return any(
        by_length[pair.long].requests >= MIN_REQUESTS
        and by_length[pair.short].burn_rate > pair.rate
        and by_length[pair.long].burn_rate > pair.rate
        for pair in (FAST, SLOW)
    )


def build_budgets(
    sums: WindowSums, *, find_objectives: Callable[[str], Objectives]
) -> Iterator[Budget]:
    """Yields the budgets, sorted by service, organisation and objective.

    Objectives that applied to no request in the period are left out.
    """
    causes = _group_causes(sums.causes)
    period_counts = sums.accumulators[sums.period]
    for service, organisation in sorted(period_counts.requests):
        good_fraction = find_objectives(service).good_fraction
        for index, objective in enumerate(OBJECTIVES):
            key = service, organisation
            if not period_counts.requests[key][index]:
                continue
            windows = tuple(_iterate_windows(sums, key, index, good_fraction))
            yield Budget(
                service=service,
                organisation=organisation,
                objective=objective,
                good_fraction=good_fraction,
                remaining=1 - windows[-1].burn_rate,
                burning=is_burning(windows),
                windows=windows,
                causes=causes.get((*key, objective), ())[
                    :MAX_CAUSES_PER_BUDGET
                ],
            )


def _iterate_windows(
    sums: WindowSums, key: tuple[str, str], index: int, good_fraction: float
) -> Iterator[BurnWindow]:
    for length, accumulator in sums.accumulators.items():
        requests = (
            accumulator.requests[key][index]
            if key in accumulator.requests
            else 0
        )
        bad = accumulator.bad[key][index] if key in accumulator.bad else 0
        rate = compute_burn_rate(
            requests=requests, bad=bad, good_fraction=good_fraction
        )
        yield BurnWindow(
            length=length, requests=requests, bad=bad, burn_rate=rate
        )


def _group_causes(
    accumulator: CountAccumulator,
) -> dict[tuple[str, str, str], tuple[BurnCause, ...]]:
    groups: dict[tuple[str, str, str], tuple[BurnCause, ...]] = {}
    for row in accumulator.iterate_causes():
        key = row.service, row.organisation, row.objective
        cause = BurnCause(
            cause=row.cause,
            requests=row.requests,
            request_ids=row.request_ids,
        )
        groups[key] = (*groups.get(key, ()), cause)
    return groups
