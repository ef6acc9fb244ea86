"""Measures of one run: stalls, preemptions, token gaps, goodput, fairness."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.configuration import Objectives
from acaciarack.errors import RefusalCode

_MIN_ON_TIME_GAP_FRACTION = 0.95
_GOODPUT_BUCKET_SECONDS = 1.0


@dataclass(kw_only=True)
class RequestRecord:
    """The history of one request.

    Attributes:
        organisation: the organisation that sent it.
        at: its arrival time from the start of the run.
        counted: whether it arrived in the measured part of the run.
        first: the time of its first token.
        last: the time of its latest token.
        tokens: the number of tokens received.
        stall: the total time by which tokens were later than the objectives
            allow, in seconds.
        late_gaps: the number of token gaps above the objective.
        preemptions: how often it was preempted.
        attempts: how often it was dispatched.
        refused: the refusal code; ``None`` if it was not refused.
        is_whole: whether the response is complete.
        is_lost: whether it failed because its engine died.
    """

    organisation: str
    at: timedelta
    counted: bool
    first: timedelta | None = None
    last: timedelta = field(default_factory=timedelta)
    tokens: int = 0
    stall: float = 0.0
    late_gaps: int = 0
    preemptions: int = 0
    attempts: int = 0
    refused: RefusalCode | None = None
    is_whole: bool = False
    is_lost: bool = False

    def restart(self) -> None:
        """Discards the tokens of a failed attempt."""
        self.first = None
        self.tokens = 0
        self.stall = 0.0
        self.late_gaps = 0

    def is_good(self, objectives: Objectives) -> bool:
        """Returns whether the response is complete and met both objectives.

        The first token must meet its objective, and so must at least 95% of
        the gaps between tokens.
        """
        if not self.is_whole or self.first is None:
            return False
        ttft = (self.first - self.at).total_seconds()
        allowed = (1 - _MIN_ON_TIME_GAP_FRACTION) * max(0, self.tokens - 1)
        return ttft <= objectives.ttft_seconds and self.late_gaps <= allowed


class Recorder:
    """Collects the request records and the token gaps of a run."""

    def __init__(self, *, objectives: Objectives) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.gaps: Counter[int] = Counter()
        self._objectives = objectives

    def record_token(self, request_id: str, now: timedelta) -> None:
        """Records that a token of a request reached the caller at ``now``."""
        record = self.records[request_id]
        if record.first is None:
            record.first = now
            wait = (now - record.at).total_seconds()
            record.stall += max(0.0, wait - self._objectives.ttft_seconds)
        else:
            gap = (now - record.last).total_seconds()
            if record.counted:
                self.gaps[round(gap * 1000)] += 1
            late = gap - self._objectives.token_gap_seconds
            if late > 0:
                record.stall += late
                record.late_gaps += 1
        record.last = now
        record.tokens += 1


@dataclass(frozen=True, kw_only=True)
class Summary:
    """The measures of one run; durations are in seconds.

    Attributes:
        requests: the number of requests in the measured part of the run.
        goodput: the fraction of requests that are complete and met the
            objectives.
        refused: the fraction of refused requests.
        refused_late: the fraction of requests refused because their deadline
            passed in the queue.
        lost: the fraction of requests that failed because an engine died.
        stall_mean: the mean stall of the requests that got a token.
        stall_p99: the 99th percentile of the stall.
        preemptions: the number of preemptions per thousand dispatched
            requests.
        gap_p95: the 95th percentile of the time between tokens.
        gap_p99: the 99th percentile of the time between tokens.
        ttft_p50: the median time to the first token.
        ttft_p95: the 95th percentile of the time to the first token.
        ttft_p99: the 99th percentile of the time to the first token.
        fairness: Jain's index over the organisations. The value for an
            organisation is its number of good requests, divided by its max-min
            fair share.
        goodput_by_second: the goodput by second of arrival, over the whole
            run.
    """

    requests: int
    goodput: float
    refused: float
    refused_late: float
    lost: float
    stall_mean: float
    stall_p99: float
    preemptions: float
    gap_p95: float
    gap_p99: float
    ttft_p50: float
    ttft_p95: float
    ttft_p99: float
    fairness: float
    goodput_by_second: tuple[float, ...] = ()


def summarise(recorder: Recorder, objectives: Objectives) -> Summary:
    """Computes the measures of a run."""
    records = [each for each in recorder.records.values() if each.counted]
    answered = [each for each in records if each.first is not None]
    dispatched = [each for each in records if each.attempts]
    stalls = sorted(each.stall for each in answered)
    ttfts = sorted(_get_ttft(each) for each in answered)
    refusals = Counter(each.refused for each in records)
    late = refusals[RefusalCode.DEADLINE_EXCEEDED]
    preempted = sum(each.preemptions for each in dispatched)
    good = [each for each in records if each.is_good(objectives)]
    count = max(1, len(records))
    return Summary(
        requests=len(records),
        goodput=len(good) / count,
        refused=(len(records) - refusals[None]) / count,
        refused_late=late / count,
        lost=sum(each.is_lost for each in records) / count,
        stall_mean=sum(stalls) / max(1, len(stalls)),
        stall_p99=find_percentile(stalls, 0.99),
        preemptions=1000 * preempted / max(1, len(dispatched)),
        gap_p95=_find_gap_percentile(recorder.gaps, 0.95),
        gap_p99=_find_gap_percentile(recorder.gaps, 0.99),
        ttft_p50=find_percentile(ttfts, 0.5),
        ttft_p95=find_percentile(ttfts, 0.95),
        ttft_p99=find_percentile(ttfts, 0.99),
        fairness=compute_fairness(
            Counter(each.organisation for each in records),
            Counter(each.organisation for each in good),
        ),
        goodput_by_second=_compute_goodput_by_second(recorder, objectives),
    )


def find_percentile(ordered: Sequence[float], level: float) -> float:
    """Returns a percentile of sorted values; 0 if there are none."""
    if not ordered:
        return 0.0
    rank = math.ceil(level * len(ordered)) - 1
    return ordered[max(0, rank)]


def compute_fairness(demand: Counter[str], served: Counter[str]) -> float:
    """Computes Jain's index of service relative to max-min fair shares.

    Args:
        demand: the number of requests sent, by organisation.
        served: the number of those requests that met the objectives.
    """
    shares = _compute_max_min_shares(demand, served.total())
    ratios = [served[name] / share for name, share in shares.items() if share]
    squares = sum(ratio * ratio for ratio in ratios)
    if not squares:
        return 1.0
    return sum(ratios) ** 2 / (len(ratios) * squares)


def _compute_max_min_shares(
    demand: Counter[str], total: float
) -> dict[str, float]:
    """Divides ``total`` max-min fairly; no share exceeds its demand."""
    shares = {}
    left = total
    ordered = sorted(demand.items(), key=lambda item: item[1])
    for index, (name, wanted) in enumerate(ordered):
        shares[name] = min(float(wanted), left / (len(ordered) - index))
        left -= shares[name]
    return shares


def _get_ttft(record: RequestRecord) -> float:
    if record.first is None:
        return math.inf
    return (record.first - record.at).total_seconds()


def _find_gap_percentile(gaps: Counter[int], level: float) -> float:
    rank = level * gaps.total()
    seen = 0
    for milliseconds in sorted(gaps):
        seen += gaps[milliseconds]
        if seen >= rank:
            return milliseconds / 1000
    return 0.0


def _compute_goodput_by_second(
    recorder: Recorder, objectives: Objectives
) -> tuple[float, ...]:
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for record in recorder.records.values():
        second = int(record.at.total_seconds() / _GOODPUT_BUCKET_SECONDS)
        sent[second] += 1
        good[second] += record.is_good(objectives)
    seconds = range(max(sent, default=-1) + 1)
    return tuple(good[each] / max(1, sent[each]) for each in seconds)


def find_recovery(
    goodputs: Iterable[Sequence[float]], *, killed: int, window: int = 3
) -> float | None:
    """Returns the time that goodput takes to recover after an engine dies.

    Averages goodput by second of arrival over the runs and smooths it with a
    moving mean. Goodput has recovered when it reaches 95% of its mean from
    30 s after the kill to the end.

    Args:
        goodputs: the goodput by second of arrival, for each run.
        killed: the second in which the engine dies.
        window: the length of the moving mean, in seconds.

    Returns:
        The seconds from the kill to the recovery, or ``None`` if goodput does
        not recover.
    """
    runs = list(goodputs)
    length = min(len(run) for run in runs)
    mean = [sum(run[at] for run in runs) / len(runs) for at in range(length)]
    after = mean[killed + 30 :]
    goal = 0.95 * sum(after) / max(1, len(after))
    for second in range(killed, length - window):
        if sum(mean[second : second + window]) / window >= goal:
            return float(second - killed)
    return None
