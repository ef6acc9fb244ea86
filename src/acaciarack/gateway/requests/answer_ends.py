"""How the end of an answer is told from the end of its connection.

An answer with a length or in chunks says itself where it ends. One without
ends with its connection. That also closes if the target's process ends, if a
peer that carries it ends, or if the run is stopped, so such an answer is whole
only by further evidence.
"""

import enum
from dataclasses import dataclass
from datetime import timedelta

import trio

from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.migration.run_evidence import RunEvidence
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.requests.request_handling import Task, to_ms
from acaciarack.gateway.targets.client import (
    SOCKET_CLOSE_TIME,
    AnswerLostError,
    EngineReport,
    NoReportError,
    NotReachedError,
    ResponseHead,
    TargetError,
    Targets,
)
from acaciarack.gateway.targets.target_table import TargetInstance, TargetTable

MAX_REPORTS = 3
"""How often an engine is asked for a report."""
MAX_CONNECTIONS = 2
"""How often a connection is tried; one may be lost on its way."""
MIN_LEAVE_TIME = timedelta(seconds=4)
"""A target that is still there after this time since its notice waits for the
end of its runs. One that stops in the middle of them and has told no time does
so 2 s after its notice, or 3 s at the most that platforms state."""
STOP_TOLERANCE = timedelta(milliseconds=500)
"""A target stops at most this long before the time that it has told. Its report
is some hundred milliseconds old."""
MAX_CLOSE_DELAY = timedelta(milliseconds=5)
"""How long after its last event a whole stream is closed. An engine takes 7 ms
or more to make another event."""
_STATUSES_WITHOUT_REPORTS = (404, 501)
_STATUSES_WITHOUT_BODY = (204, 304)


class AnswerEnd(enum.StrEnum):
    """What the end of an answer was told by.

    Attributes:
        FRAMING: its length or its chunks.
        MARK: its last event, which has the form of a mark of the end.
        REPORT: the target's report after its connection had closed.
        ANSWER: another answer of a target that makes no reports.
        CONNECTION: a new connection that the target has taken.
        DEPARTURE: the departure of a target that had announced it, with the end
            of its last run.
        DENIAL: answers of the target, before the close, that it has no such
            run any more.
    """

    FRAMING = "framing"
    MARK = "mark"
    REPORT = "report"
    ANSWER = "answer"
    CONNECTION = "connection"
    DEPARTURE = "departure"
    DENIAL = "denial"


class _Unconfirmed(enum.StrEnum):
    """Why the end of an answer could not be confirmed.

    Attributes:
        CARRIED: the peer that carried the answer does not mark its end.
        STOPPED: the engine may have stopped the run for a migration.
        NO_REPORT: the target answered, but not with a report.
        UNREACHABLE: the target did not answer.
        NOT_REACHED: the target takes no connection.
        RESTARTED: the target has started again, or its address is another's.
        RUNNING: the target still runs the request, and is further than the
            caller.
    """

    CARRIED = "carried by an older peer"
    STOPPED = "may be stopped"
    NO_REPORT = "no report"
    UNREACHABLE = "unreachable"
    NOT_REACHED = "not reached"
    RESTARTED = "restarted"
    RUNNING = "still running"


_UNDECIDED = (
    _Unconfirmed.STOPPED,
    _Unconfirmed.NO_REPORT,
    _Unconfirmed.UNREACHABLE,
    _Unconfirmed.NOT_REACHED,
)
"""What may be otherwise a moment later."""
_UNANSWERED = (
    _Unconfirmed.NO_REPORT,
    _Unconfirmed.UNREACHABLE,
    _Unconfirmed.NOT_REACHED,
    _Unconfirmed.RESTARTED,
)
"""What says nothing of a run that the engine has ended before."""


@dataclass(frozen=True, kw_only=True)
class StreamClose:
    """How a stream came to the close of its connection.

    Attributes:
        has_mark: whether its last event has the form of a mark of the end.
        event_wait: how long this node waited for the last event; next to
            nothing if it had arrived before it was read.
        close_delay: the time from the arrival of the last event to the close.
    """

    has_mark: bool
    event_wait: timedelta
    close_delay: timedelta

    @property
    def follows_last_event(self) -> bool:
        """Whether the connection closed at once after an event in its turn."""
        return self.close_delay <= MAX_CLOSE_DELAY < self.event_wait


class AnswerEnds:
    """Finds out whether answers that end with their connections are whole."""

    def __init__(
        self,
        *,
        targets: Targets,
        target_table: TargetTable,
        loads: LoadTracker,
        meters: Meters,
    ) -> None:
        self._targets = targets
        self._target_table = target_table
        self._loads = loads
        self._meters = meters

    async def confirm_stream(
        self, run: Run, head: ResponseHead, close: StreamClose
    ) -> AnswerEnd:
        """Confirms that a stream which has closed normally is whole.

        Args:
            run: the run.
            head: the head of the stream.
            close: how the stream came to its close.

        Raises:
            AnswerLostError: nothing but the closed connection tells that the
                stream is whole.
        """
        if head.has_length:
            return AnswerEnd.FRAMING
        end = await self._find_end(run, head, close)
        self._meters.count(Event.UNFRAMED_ENDS, f"stream: {end}")
        if isinstance(end, _Unconfirmed):
            raise AnswerLostError(f"the end is not confirmed: {end}")
        return end

    async def _find_end(
        self, run: Run, head: ResponseHead, close: StreamClose
    ) -> AnswerEnd | _Unconfirmed:
        if head.carrier is not None and not head.carrier.marks_end:
            # An engine drops a run whose connection closes, so its report does
            # not tell either.
            return _Unconfirmed.CARRIED
        if run.may_be_stopped:
            return _Unconfirmed.STOPPED
        if close.has_mark:
            return AnswerEnd.MARK
        has_left = self._may_have_left(run, close)
        end = await self._ask_engine(run)
        if run.evidence.has_ended and end in _UNANSWERED:
            return AnswerEnd.DENIAL
        if has_left and end is _Unconfirmed.NOT_REACHED:
            return AnswerEnd.DEPARTURE
        return end

    def _may_have_left(self, run: Run, close: StreamClose) -> bool:
        """Returns whether an engine has left with the end of this run.

        A process that ends in the middle of its runs closes their connections
        in the usual way too, at any moment and all at once. So this must be its
        only run, the close must follow an event at once, and come before the
        time at which the engine stops whatever it does.

        An engine that has answered whether it has the run would have said that
        the run was over, if it had been so for some milliseconds. Its exit in
        the same moment as the end of the run looks like one in the middle of
        it, so such a stream is not taken for whole.
        """
        instance, now = run.instance, run.task.elapsed()
        if instance.leaving_since is None:
            return False
        notice_age = now - instance.leaving_since
        requests = self._loads.get_total(instance.target.id).requests
        stops_now = (
            instance.stops_at is not None
            and now >= instance.stops_at - STOP_TOLERANCE
        )
        run.task.log(
            "stream of a leaving engine closed",
            target=instance.target.id,
            notice_age_ms=to_ms(notice_age),
            target_requests=requests,
            event_wait_ms=to_ms(close.event_wait),
            close_delay_ms=to_ms(close.close_delay),
            state="stops" if stops_now else "",
            outcome=_describe_evidence(run.evidence),
        )
        return (
            not run.evidence.is_known
            and not stops_now
            and notice_age >= MIN_LEAVE_TIME
            and requests <= 1
            and close.follows_last_event
        )

    async def _ask_engine(self, run: Run) -> AnswerEnd | _Unconfirmed:
        """Asks an engine whether the run has ended.

        Asks again if nothing has shown that it has or has not. The calls do not
        count against those that a pause allows: no request waits for them.
        """
        end: AnswerEnd | _Unconfirmed = _Unconfirmed.UNREACHABLE
        for _ in range(MAX_REPORTS):
            await trio.sleep(SOCKET_CLOSE_TIME.total_seconds())
            end = await self._ask_once(run)
            if end not in _UNDECIDED:
                break
        return end

    async def _ask_once(self, run: Run) -> AnswerEnd | _Unconfirmed:
        """Reads the report of a run's engine.

        A report is some hundred milliseconds old, so a run that has just ended
        may still be in it.
        """
        target = run.instance.target
        if objection := self._find_objection(run):
            return objection
        report: EngineReport | None = None
        try:
            report = await self._targets.read_report(target.address)
        except TargetError as error:
            if not _makes_no_reports(error):
                run.task.log("report lost", target=target.id, code=str(error))
                return _explain(error)
        if objection := self._find_objection(run):
            return objection
        return AnswerEnd.ANSWER if report is None else _compare(run, report)

    def _find_objection(self, run: Run) -> _Unconfirmed | None:
        """Returns why no answer of the engine confirms an end."""
        if run.may_be_stopped:
            # A report lists a stopped run as little as one that has ended.
            return _Unconfirmed.STOPPED
        if self._is_replaced(run.instance):
            return _Unconfirmed.RESTARTED
        return None

    async def confirm_body(
        self, task: Task, instance: TargetInstance, head: ResponseHead
    ) -> AnswerEnd:
        """Confirms that a body whose connection has closed normally is whole.

        Targets of plain calls make no reports. One whose process has ended
        takes no connections.

        Raises:
            AnswerLostError: nothing but the closed connection tells that the
                body is whole.
        """
        if (
            head.has_length
            or task.request.method == "HEAD"
            or head.status in _STATUSES_WITHOUT_BODY
        ):
            return AnswerEnd.FRAMING
        end = await self._check_target(instance, head)
        self._meters.count(Event.UNFRAMED_ENDS, f"call: {end}")
        if isinstance(end, _Unconfirmed):
            raise AnswerLostError(f"the end is not confirmed: {end}")
        return end

    async def _check_target(
        self, instance: TargetInstance, head: ResponseHead
    ) -> AnswerEnd | _Unconfirmed:
        if head.carrier is not None and not head.carrier.marks_end:
            return _Unconfirmed.CARRIED
        await trio.sleep(SOCKET_CLOSE_TIME.total_seconds())
        for _ in range(MAX_CONNECTIONS):
            if self._is_replaced(instance):
                return _Unconfirmed.RESTARTED
            try:
                await self._targets.check_connection(instance.target.address)
            except NotReachedError:
                continue
            if self._is_replaced(instance):
                return _Unconfirmed.RESTARTED
            return AnswerEnd.CONNECTION
        return _Unconfirmed.UNREACHABLE

    def _is_replaced(self, instance: TargetInstance) -> bool:
        """Returns whether another target or lifetime has its address."""
        target = instance.target
        newest = self._target_table.get(target.id)
        resident = self._target_table.find_by_address(target.address)
        return (newest is not None and newest.target.born > target.born) or (
            resident is not None and resident.target.id != target.id
        )


def _makes_no_reports(error: TargetError) -> bool:
    return (
        isinstance(error, NoReportError)
        and error.status in _STATUSES_WITHOUT_REPORTS
    )


def _explain(error: TargetError) -> _Unconfirmed:
    """Returns what a call that got no report says of an engine."""
    if isinstance(error, NoReportError):
        return _Unconfirmed.NO_REPORT
    if isinstance(error, NotReachedError):
        return _Unconfirmed.NOT_REACHED
    return _Unconfirmed.UNREACHABLE


def _describe_evidence(evidence: RunEvidence) -> str:
    """Returns a log field on what an engine has said of a run."""
    if evidence.has_ended:
        return "ended"
    return "running" if evidence.is_known else "unknown"


def _compare(run: Run, report: EngineReport) -> AnswerEnd | _Unconfirmed:
    """Compares a run with what a report says of it."""
    target = run.instance.target
    if report.born and target.born and report.born != target.born:
        return _Unconfirmed.RESTARTED
    reported = report.runs.get(run.task.request.id)
    known_events = max(run.last_event or 0, run.earlier_events + run.events)
    if reported is not None and reported.events > known_events:
        return _Unconfirmed.RUNNING
    return AnswerEnd.REPORT


def describe_framing(head: ResponseHead) -> dict[str, str]:
    """Returns log fields on the framing and the path of an answer."""
    return {
        "framing": "framed" if head.has_length else "unframed",
        "carrier": head.carrier.name if head.carrier else "",
    }
