"""Relays the events of a run to its caller, across all its engines.

The caller reads one stream of complete events with consecutive ids. An event
that the caller has is never written again, and nothing is written after the end
of a whole stream.
"""

import math
from datetime import timedelta

import trio

from acaciarack.gateway.evidence.crash_detection import (
    NEW_RUN_TIME,
    PROVEN_RUN_TIME,
    CrashDetector,
)
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.meters import Duration, Meters
from acaciarack.gateway.migration.migrator import Migrator
from acaciarack.gateway.migration.runs import Cutover, Run, RunState
from acaciarack.gateway.requests.answer_ends import (
    AnswerEnd,
    AnswerEnds,
    StreamClose,
)
from acaciarack.gateway.requests.request_handling import ResponseWriter, to_ms
from acaciarack.gateway.requests.resumption import Resumption
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.requests.stream_handling import (
    StreamBrokenError,
    get_stall_timeout,
    list_segments,
)
from acaciarack.gateway.requests.stream_opening import StreamOpener
from acaciarack.gateway.targets.client import (
    AnswerLostError,
    MalformedAnswerError,
    NoRoomForAnswerError,
    StreamEvent,
    TargetError,
    TargetResponse,
)
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

RESUMABLE_STOP_WAIT = timedelta(seconds=2)
"""How long after the start of a stop-and-copy a run on a resumable route waits
for its outcome before it begins anew at another engine."""
MAX_NOTICE_AGE = timedelta(seconds=1)
"""A run resumes at a destination that leaves at most this long after its
notice. Targets take no new requests 1.5 s or more after it."""
MAX_UNUSABLE_ANSWERS = 3
"""After this many unusable answers to the resumptions of one move, the run
resumes without a copy, or its stream breaks."""
MAX_PAYLOADS = 4096
"""How many payloads of a stream are remembered to find repeated events."""


class StreamRelay:
    """Relays the streams of runs whose first response head has arrived."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        opener: StreamOpener,
        budgets: RetryBudgets,
        migrator: Migrator,
        quarantine: RequestQuarantine,
        crash_detector: CrashDetector,
        ends: AnswerEnds,
        meters: Meters,
    ) -> None:
        self._pool = pool
        self._ends = ends
        self._opener = opener
        self._budgets = budgets
        self._migrator = migrator
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._meters = meters

    async def relay(
        self,
        run: Run,
        response: TargetResponse,
        writer: ResponseWriter,
        resumption: Resumption,
    ) -> AnswerEnd:
        """Forwards the events of a run, across all its engines.

        Returns:
            What the end of the stream was told by.

        Raises:
            StreamBrokenError: the stream cannot continue.
        """
        while True:
            run.begin_stream(response.head)
            try:
                with trio.CancelScope() as run.read_scope:
                    close = await self._forward_events(run, response, writer)
                    await self._await_stop(run)
                    if run.cutover is None and _has_any_event(run):
                        end = await self._ends.confirm_stream(
                            run, response.head, close
                        )
                        if run.cutover is None:
                            return end
                if not run.events and run.cutover is None:
                    raise AnswerLostError("the stream ended without an event")
                # The source stopped the run for a migration. The stream closed
                # normally, although the run has not ended, or the read was
                # cancelled because the stream did not close.
                reason = "moved"
            except (
                AnswerLostError,
                MalformedAnswerError,
                NoRoomForAnswerError,
            ) as error:
                reason = str(error)
            finally:
                run.end_stream()
                await response.aclose()
            response = await self._resume(run, reason, resumption)

    async def _resume(
        self, run: Run, reason: str, resumption: Resumption
    ) -> TargetResponse:
        """Resumes the run from a copy, or else without one.

        A stop-and-copy may still be in progress if no engine begins the run
        anew; its copy is then waited for.

        Raises:
            StreamBrokenError: the run cannot continue.
        """
        try:
            cutover = await self._await_cutover(run, reason)
            return await self._resume_copy(run, cutover)
        except StreamBrokenError:
            response = await resumption.resume()
            if response is not None:
                return response
            await run.wait_for_stop()
            late_cutover = run.take_cutover()
            if late_cutover is None:
                self._log_break(run, reason)
                raise
        try:
            return await self._resume_copy(run, late_cutover)
        except StreamBrokenError:
            self._log_break(run, reason)
            raise

    def _log_break(self, run: Run, reason: str) -> None:
        run.task.log(
            "stream broken",
            target=run.instance.target.id,
            code=reason,
            state=str(run.state),
            events=run.events,
            run_ms=to_ms(run.get_age()),
            prompt_segments=list_segments(run.generation),
        )

    async def _forward_events(
        self, run: Run, response: TargetResponse, writer: ResponseWriter
    ) -> StreamClose:
        """Forwards the events of one response until it ends or stalls.

        Skips repeated events. One without an id is repeated if it has the
        payload of an event that was written. Nothing is written after a mark of
        the end, but a later event shows that it was none.

        Only numbered events count as progress, so that a target which sends
        other bytes now and then does not keep the stream open.

        Returns:
            How the stream came to its close.

        Raises:
            AnswerLostError: the connection closed before the end, or no event
                arrived in time.
            MalformedAnswerError: an event is missing, or the response is
                malformed.
        """
        stall_timeout = get_stall_timeout(run.task.route).total_seconds()
        has_mark = is_last_mark = False
        event_wait = timedelta(0)
        asked_at = arrived_at = run.task.elapsed()
        with trio.move_on_after(stall_timeout) as stall_scope:
            async for event in response.read_events():
                arrived_at = run.task.elapsed()
                event_wait = arrived_at - asked_at
                is_last_mark = event.is_end
                is_new = not _is_repeat(run, event) and not (
                    has_mark and event.id is None
                )
                if is_new and has_mark:
                    raise MalformedAnswerError(
                        "an event follows a mark of the end"
                    )
                if is_new:
                    has_mark = event.is_end
                    time_left = stall_scope.deadline - trio.current_time()
                    # A caller that reads slowly is no stall of the target.
                    stall_scope.deadline = math.inf
                    await self._write_event(run, event, writer)
                    if event.id is not None:
                        time_left = stall_timeout
                    stall_scope.deadline = trio.current_time() + time_left
                asked_at = run.task.elapsed()
        run.end_stream()
        if stall_scope.cancelled_caught:
            raise AnswerLostError(f"no event for {stall_timeout} s")
        return StreamClose(
            has_mark=is_last_mark,
            event_wait=event_wait,
            close_delay=run.task.elapsed() - arrived_at,
        )

    async def _write_event(
        self, run: Run, event: StreamEvent, writer: ResponseWriter
    ) -> None:
        # The shield ensures that each written event is counted, even if the
        # read is cancelled.
        with trio.CancelScope(shield=True):
            await writer.write(event.data)
        if event.payload is not None and len(run.payloads) < MAX_PAYLOADS:
            run.payloads.add(hash(event.payload))
        if event.id is not None:
            run.record_event(event.id)
            if run.events == 1:
                self._pool.loads.record_first_event()
            if not run.is_proven and run.get_age() >= PROVEN_RUN_TIME:
                self.record_answer(run)

    def record_answer(self, run: Run) -> None:
        """Records that an engine has answered the run's prompt."""
        run.is_proven = True
        self._quarantine.record_answer(run.task.fingerprints)

    async def _await_cutover(self, run: Run, reason: str) -> Cutover:
        """Returns where the run resumes after its stream has closed.

        Tries to recover the run if no migration has stopped it.

        Raises:
            StreamBrokenError: the run was lost.
        """
        target = run.instance.target
        await self._await_stop(run)
        if run.state is RunState.RUNNING:
            self._pool.failure_tracker.record_failure(target.id)
            run.task.log(
                "stream closed early",
                target=target.id,
                code=reason,
                carrier=run.carrier.name if run.carrier else "",
                events=run.events,
            )
            if run.get_age() <= NEW_RUN_TIME:
                self._crash_detector.report_lost_run(
                    run.instance, run.task.fingerprints
                )
            await self._migrator.recover(run)
            await self._await_stop(run)
        cutover = run.take_cutover()
        if cutover is None:
            raise StreamBrokenError(reason)
        return cutover

    async def _await_stop(self, run: Run) -> None:
        """Waits until a stop-and-copy in progress has an outcome.

        A stopped run has nothing but its copy, unless it may begin anew.
        """
        timeout = math.inf
        if run.task.route.resumable and run.stop_call is not None:
            age = run.task.elapsed() - run.stop_call.began_at
            timeout = max(0.0, (RESUMABLE_STOP_WAIT - age).total_seconds())
        with trio.move_on_after(timeout):
            await run.wait_for_stop()

    async def _resume_copy(self, run: Run, cutover: Cutover) -> TargetResponse:
        """Resumes the run at its destination, or else at its current engine.

        Raises:
            StreamBrokenError: no target resumed the run.
        """
        stopped_at = cutover.stopped_at
        for _ in range(MAX_UNUSABLE_ANSWERS):
            resumed = await self._resume_once(run, cutover, stopped_at)
            if not isinstance(resumed, Cutover):
                return resumed
            cutover = resumed
        raise StreamBrokenError("no target resumed the run")

    async def _resume_once(
        self, run: Run, cutover: Cutover, stopped_at: timedelta
    ) -> TargetResponse | Cutover:
        """Resumes the run at its destination, or else at its current engine.

        Args:
            run: the run.
            cutover: where the run resumes.
            stopped_at: elapsed time at which the caller's last event was made.

        Returns:
            The response; a cutover if a target resumed the run without a
            usable answer, and the run has been stopped there.

        Raises:
            StreamBrokenError: neither target resumed the run.
        """
        for instance in self._list_candidates(run, cutover.destination):
            if not self._pool.target_table.try_call(instance):
                run.task.log("resume target paused", target=instance.target.id)
                continue
            if not self._pool.target_table.restrictions.allows(
                instance.target, run.task.regions
            ):
                run.task.log(
                    "resume target restricted", target=instance.target.id
                )
                continue
            self._budgets.get(run.task.service.name).record_retry()
            started_at = run.task.elapsed()
            try:
                response = await self._opener.send(
                    run, instance, memory=cutover.memory
                )
            except TargetError as error:
                run.task.log(
                    "resume failed", target=instance.target.id, code=str(error)
                )
                continue
            if response.head.status == 200 and response.head.is_verified:
                run.task.log(
                    "resumed",
                    target=instance.target.id,
                    last_event=run.last_event or 0,
                    pause_ms=to_ms(run.task.elapsed() - stopped_at),
                    open_ms=to_ms(run.task.elapsed() - started_at),
                )
                self._meters.observe(
                    Duration.MOVE_PAUSE, run.task.elapsed() - stopped_at
                )
                self._migrator.complete_migration(run, instance)
                return response
            run.task.log(
                "resume refused",
                target=instance.target.id,
                status=response.head.status,
            )
            try:
                if not (response.head.is_verified or response.head.not_run):
                    # An answer to another request does not say that the
                    # target does not run this one.
                    recovered = await self._migrator.recover_resumed(
                        run, instance
                    )
                    if recovered is not None:
                        return recovered
            finally:
                await response.aclose()
        raise StreamBrokenError("no target resumed the run")

    def _list_candidates(
        self, run: Run, destination: TargetInstance
    ) -> list[TargetInstance]:
        """Returns the targets that may resume a stopped run, in order.

        A destination that has announced that it leaves since its copy began
        comes last, and only soon after its notice. The run moves on from there.
        """
        if destination is run.instance:
            return [destination]
        if self._pool.target_table.may_receive(destination, run.task.regions):
            return [destination, run.instance]
        since = destination.leaving_since
        is_late = since is None or run.task.elapsed() - since > MAX_NOTICE_AGE
        run.task.log(
            "resume target is leaving",
            target=destination.target.id,
            state="late" if is_late else "",
        )
        return [run.instance] if is_late else [run.instance, destination]


def _has_any_event(run: Run) -> bool:
    """Returns whether the caller has an event, or had one before."""
    if run.task.route.resumable:
        return run.last_event is not None
    return run.events > 0


def _is_repeat(run: Run, event: StreamEvent) -> bool:
    """Returns whether the caller has an event.

    Raises:
        MalformedAnswerError: an event between is missing.
    """
    if event.id is None:
        return (
            event.payload is not None
            and not event.is_end
            and hash(event.payload) in run.payloads
        )
    if run.last_event is None or event.id == run.last_event + 1:
        return False
    if event.id > run.last_event:
        raise MalformedAnswerError(
            f"event {event.id} follows event {run.last_event}"
        )
    return True
