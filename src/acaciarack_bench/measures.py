"""Measures of one run: stall, preemptions, gaps, goodput and fairness."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from acaciarack.configuration import Objectives
from acaciarack.errors import RefusalCode

_GOOD_GAPS = 0.95
_RECOVERY_STEP_SECONDS = 1.0


@dataclass(kw_only=True)
class RequestRecord:
    """What happened to one request.

    Attributes:
        organisation: who sent it.
        at: when it came, from the start of the run.
        counted: whether it came in the measured part of the run.
        first: when its first token came.
        last: when its newest token came.
        tokens: tokens received.
        stall: time beyond the objectives, in seconds, added up.
        late_gaps: gaps over the objective.
        preemptions: how often it was preempted.
        attempts: how often it was dispatched.
        refused: why it was refused.
        is_whole: whether the answer is whole.
        is_lost: whether it was lost with its engine.
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
        """Forgets the tokens of an attempt that was lost."""
        self.first = None
        self.tokens = 0
        self.stall = 0.0
        self.late_gaps = 0

    def is_good(self, objectives: Objectives) -> bool:
        """Returns whether a whole answer met both objectives.

        The first token must have come in time, and 95 of 100 gaps between
        tokens must have been within the objective.
        """
        if not self.is_whole or self.first is None:
            return False
        ttft = (self.first - self.at).total_seconds()
        allowed = (1 - _GOOD_GAPS) * max(0, self.tokens - 1)
        return ttft <= objectives.ttft_seconds and self.late_gaps <= allowed


class Recorder:
    """Collects what a run does to its requests."""

    def __init__(self, *, objectives: Objectives) -> None:
        self.records: dict[str, RequestRecord] = {}
        self.gaps: Counter[int] = Counter()
        self._objectives = objectives

    def record_token(self, request_id: str, now: timedelta) -> None:
        """Notes that a token of a request reached the caller."""
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
        requests: requests in the measured part of the run.
        goodput: the fraction of them that got a good answer.
        refused: the fraction that was refused.
        refused_late: the fraction that was refused after waiting in vain.
        lost: the fraction that was lost with an engine.
        stall_mean: mean stall of the answered requests.
        stall_p99: its 99th percentile.
        preemptions: preemptions per thousand requests that were dispatched.
        gap_p95: 95th percentile of the time between tokens.
        gap_p99: its 99th percentile.
        ttft_p50: median time to the first token.
        ttft_p95: its 95th percentile.
        ttft_p99: its 99th percentile.
        fairness: Jain's index over the organisations' good answers, each as
            a fraction of its max-min fair share.
        goodput_by_second: the fraction of good answers by second of arrival.
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
    waits = sorted(_get_ttft(each) for each in answered)
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
        gap_p95=_find_gap(recorder.gaps, 0.95),
        gap_p99=_find_gap(recorder.gaps, 0.99),
        ttft_p50=find_percentile(waits, 0.5),
        ttft_p95=find_percentile(waits, 0.95),
        ttft_p99=find_percentile(waits, 0.99),
        fairness=compute_fairness(
            Counter(each.organisation for each in records),
            Counter(each.organisation for each in good),
        ),
        goodput_by_second=_list_goodput(recorder, objectives),
    )


def find_percentile(ordered: Sequence[float], level: float) -> float:
    """Returns a percentile of sorted values; 0 if there are none."""
    if not ordered:
        return 0.0
    rank = math.ceil(level * len(ordered)) - 1
    return ordered[max(0, rank)]


def compute_fairness(demand: Counter[str], served: Counter[str]) -> float:
    """Computes Jain's index of service against max-min fair shares.

    Args:
        demand: requests sent, by organisation.
        served: those of them that were served well.
    """
    shares = _share_fairly(demand, served.total())
    ratios = [served[name] / share for name, share in shares.items() if share]
    squares = sum(ratio * ratio for ratio in ratios)
    if not squares:
        return 1.0
    return sum(ratios) ** 2 / (len(ratios) * squares)


def _share_fairly(demand: Counter[str], total: float) -> dict[str, float]:
    """Shares ``total`` so that nobody gets more than asked for."""
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


def _find_gap(gaps: Counter[int], level: float) -> float:
    rank = level * gaps.total()
    seen = 0
    for milliseconds in sorted(gaps):
        seen += gaps[milliseconds]
        if seen >= rank:
            return milliseconds / 1000
    return 0.0


def _list_goodput(
    recorder: Recorder, objectives: Objectives
) -> tuple[float, ...]:
    sent: Counter[int] = Counter()
    good: Counter[int] = Counter()
    for record in recorder.records.values():
        second = int(record.at.total_seconds() / _RECOVERY_STEP_SECONDS)
        sent[second] += 1
        good[second] += record.is_good(objectives)
    seconds = range(max(sent, default=-1) + 1)
    return tuple(good[each] / max(1, sent[each]) for each in seconds)


def find_recovery(
    goodputs: Iterable[Sequence[float]], *, killed: int, window: int = 3
) -> float | None:
    """Finds how long goodput takes to come back after a kill.

    Goodput by second of arrival is averaged over the runs and smoothed. It
    is back once it reaches 95 in 100 of the mean from 30 s after the kill
    to the end.

    Args:
        goodputs: of each run, the goodput by second of arrival.
        killed: the second of the kill.
        window: seconds that are averaged.

    Returns:
        Seconds from the kill, or ``None`` if it does not come back.
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
