"""Burn rates of error budgets in windows that end now."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from acaciarack.burn_counts import (
    MAX_HELD_CAUSES,
    MINUTE_SECONDS,
    OBJECTIVES,
    CauseRow,
    Counts,
    Row,
    Tally,
)
from acaciarack.configuration import Objectives
from acaciarack.desks import Budget, BurnCause, BurnWindow

MIN_REQUESTS = 10
"""A pair of windows with fewer requests in the longer one does not burn."""
TOP_CAUSES = 3
_SMALLEST_BUDGET = 1e-6


@dataclass(frozen=True, kw_only=True)
class WindowPair:
    """Two windows that burn together.

    Attributes:
        short: shows that the burning goes on.
        long: shows that it matters.
        rate: the burn rate over which both burn.
    """

    short: timedelta
    long: timedelta
    rate: float


FAST = WindowPair(short=timedelta(minutes=5), long=timedelta(hours=1), rate=6.0)
SLOW = WindowPair(
    short=timedelta(minutes=30), long=timedelta(hours=6), rate=2.0
)
LENGTHS = tuple(sorted({FAST.short, FAST.long, SLOW.short, SLOW.long}))


@dataclass(kw_only=True)
class WindowSums:
    """Sums counts into windows that end at a time.

    Attributes:
        now: the end of all windows.
        period: the longest window.
        service: only this service; all if empty.
        organisation: only this organisation; all if empty.
    """

    now: datetime
    period: timedelta
    service: str = ""
    organisation: str = ""
    tallies: dict[timedelta, Tally] = field(init=False)
    causes: Tally = field(
        default_factory=lambda: Tally(max_causes=MAX_HELD_CAUSES)
    )

    def __post_init__(self) -> None:
        lengths = (*LENGTHS, self.period)
        self.tallies = {length: Tally() for length in sorted(set(lengths))}

    def add(self, counts: Counts) -> None:
        """Adds a minute to every window that it reaches into."""
        age = self._find_age(counts.minute)
        rows = [row for row in counts.rows if self._is_wanted(row)]
        for length, tally in self.tallies.items():
            if age < length:
                for row in rows:
                    tally.add_row(row)
        if age < self.period:
            for cause in counts.causes:
                if self._is_wanted(cause):
                    self.causes.add_cause(cause)

    def _find_age(self, minute: int) -> timedelta:
        """Returns how long before ``now`` the minute ended."""
        end = (minute + 1) * MINUTE_SECONDS
        return timedelta(seconds=self.now.timestamp() - end)

    def _is_wanted(self, row: Row | CauseRow) -> bool:
        if self.service not in ("", row.service):
            return False
        return self.organisation in ("", row.organisation)


def compute_rate(*, requests: int, bad: int, good_fraction: float) -> float:
    """Returns the burn rate; 1 spends just the budget over its period."""
    if not requests:
        return 0.0
    budget = max(_SMALLEST_BUDGET, 1 - good_fraction)
    return bad / requests / budget


def is_burning(windows: Iterable[BurnWindow]) -> bool:
    """Returns whether both windows of a pair burn."""
    found = {window.length: window for window in windows}
    return any(
        found[pair.long].requests >= MIN_REQUESTS
        and found[pair.short].burn_rate > pair.rate
        and found[pair.long].burn_rate > pair.rate
        for pair in (FAST, SLOW)
    )


def build_budgets(
    sums: WindowSums, *, find_objectives: Callable[[str], Objectives]
) -> Iterator[Budget]:
    """Yields the budgets by service, organisation and objective."""
    causes = _group_causes(sums.causes)
    whole = sums.tallies[sums.period]
    for service, organisation in sorted(whole.requests):
        good = find_objectives(service).good_fraction
        for index, objective in enumerate(OBJECTIVES):
            key = service, organisation
            if not whole.requests[key][index]:
                continue
            windows = tuple(_list_windows(sums, key, index, good))
            yield Budget(
                service=service,
                organisation=organisation,
                objective=objective,
                good_fraction=good,
                remaining=1 - windows[-1].burn_rate,
                burning=is_burning(windows),
                windows=windows,
                causes=causes.get((*key, objective), ())[:TOP_CAUSES],
            )


def _list_windows(
    sums: WindowSums, key: tuple[str, str], index: int, good: float
) -> Iterator[BurnWindow]:
    for length, tally in sums.tallies.items():
        requests = tally.requests[key][index] if key in tally.requests else 0
        bad = tally.bad[key][index] if key in tally.bad else 0
        rate = compute_rate(requests=requests, bad=bad, good_fraction=good)
        yield BurnWindow(
            length=length, requests=requests, bad=bad, burn_rate=rate
        )


def _group_causes(
    tally: Tally,
) -> dict[tuple[str, str, str], tuple[BurnCause, ...]]:
    groups: dict[tuple[str, str, str], tuple[BurnCause, ...]] = {}
    for row in tally.list_causes():
        key = row.service, row.organisation, row.objective
        cause = BurnCause(
            cause=row.cause,
            requests=row.requests,
            request_ids=row.request_ids,
        )
        groups[key] = (*groups.get(key, ()), cause)
    return groups
