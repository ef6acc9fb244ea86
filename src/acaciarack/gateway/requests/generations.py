"""Serves generations as event streams that survive the loss of an engine.

Every few seconds an engine shuts down. Its termination notice is shorter than
the time that a response takes. So a run migrates to another engine while it
continues (see ``migration``). The caller reads one stream of complete events
with consecutive ids, all from the same run. A stream that cannot continue
closes without its end marker, so that the caller does not take it for complete.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta

import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.evidence.crash_detection import (
    NEW_RUN_TIME,
    PROVEN_RUN_TIME,
    CrashDetector,
)
from acaciarack.gateway.evidence.quarantine_gate import (
    QuarantineGate,
    TrialAuthority,
)
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.meters import Duration, Meters
from acaciarack.gateway.migration.migrator import Migrator
from acaciarack.gateway.migration.runs import Cutover, Run
from acaciarack.gateway.requests.request_handling import (
    BufferedResponse,
    ResponseWriter,
    Task,
    refuse_deadline_exceeded,
    refuse_not_run,
    refuse_unknown_outcome,
    to_ms,
)
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.scheduling.placement_queue import PlacementRequest
from acaciarack.gateway.scheduling.placer import Placement, Placer
from acaciarack.gateway.spec import EngineSpec, Route
from acaciarack.gateway.targets.client import (
    AnswerLostError,
    ForwardOptions,
    MalformedAnswerError,
    NotReachedError,
    StreamEvent,
    TargetError,
    TargetResponse,
    Targets,
)
from acaciarack.gateway.targets.pool import TargetPool

QUEUE_TIME_FRACTION = 0.5
"""The fraction of the objective that a generation may wait for capacity on an
engine. The rest is left for prefill."""
MAX_ATTEMPTS = 6
"""Maximum number of times that a generation is sent to targets that do not run
it. Bounds the attempts if all listed targets are full or gone."""
CUTOVER_TIMEOUT = timedelta(seconds=2)
"""Timeout for the outcome of a stop-and-copy."""
MIN_STALL_TIMEOUT = timedelta(seconds=2)
"""Shortest time without an event after which a stream counts as stalled."""
STALL_OBJECTIVES = 4
"""Stall timeout as a multiple of the objective for the first event."""
STALL_GAPS = 8
"""Stall timeout as a multiple of the objective for the pause between events.
Callers leave a stream after the longest of these three times."""
MAX_LOGGED_SEGMENTS = 8
MAX_LOGGED_CHARACTERS = 32
"""Callers choose the number and the ids of segments; log lines stay short."""
DEFAULT_URGENCY = 5
"""The urgency that engines assign to requests without one."""


class StreamBrokenError(AnswerLostError):
    """A stream cannot continue after its response head was forwarded."""


@dataclass(frozen=True, kw_only=True)
class CompletedStream:
    """A stream that was forwarded to its end."""

    events: int


class GenerationServer:
    """Forwards generations to engines.

    Attributes:
        nodes: the number of nodes that share the retry budgets.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        budgets: RetryBudgets,
        migrator: Migrator,
        placer: Placer,
        authority: TrialAuthority,
        quarantine: RequestQuarantine,
        crash_detector: CrashDetector,
        meters: Meters,
    ) -> None:
        self._quarantine = quarantine
        self._authority = authority
        self._crash_detector = crash_detector
        self._meters = meters
        self._pool = pool
        self._placer = placer
        self._targets = targets
        self._budgets = budgets
        self._migrator = migrator
        self.nodes = 1

    async def serve(
        self, task: Task, writer: ResponseWriter
    ) -> CompletedStream | BufferedResponse | Refusal:
        """Sends a generation to an engine and forwards its stream.

        Returns:
            ``CompletedStream`` after the end of the stream. An error response
            of the target or a refusal if nothing was written to the caller.

        Raises:
            StreamBrokenError: the stream has started and cannot continue.
        """
        prompt = task.request.prompt
        spec = task.service.engine
        if prompt is None or spec is None:
            return refuse_not_run("the request names no prompt for an engine")
        generation = Generation(prompt=prompt)
        gate = QuarantineGate(
            task=task, quarantine=self._quarantine, authority=self._authority
        )
        if refusal := gate.refuse_early():
            return refusal
        self._budgets.get(task.service.name).record_request()
        with trio.move_on_after(task.remaining.total_seconds()) as scope:
            return await self._serve_with_retries(
                task, spec, generation, gate, writer
            )
        assert scope.cancelled_caught
        task.log("generation ended", outcome="timeout")
        if generation.emitted:
            raise StreamBrokenError(
                "the request exceeded its deadline after the stream had started"
            )
        return refuse_deadline_exceeded()

    async def _serve_with_retries(
        self,
        task: Task,
        spec: EngineSpec,
        generation: Generation,
        gate: QuarantineGate,
        writer: ResponseWriter,
    ) -> CompletedStream | BufferedResponse | Refusal:
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            placement = await self._place(task, spec, generation, tried)
            instance = placement.instance
            if instance is None:
                return refuse_not_run(
                    "no engine has room", retry_after=placement.retry_after
                )
            if refusal := await gate.refuse():
                return refusal
            tried.add(instance.target.id)
            run = Run(
                task=task, spec=spec, generation=generation, instance=instance
            )
            self._pool.loads.add_generation(instance.target.id, generation)
            self._pool.loads.usage.start(task.organisation or "", generation)
            started_at = task.elapsed()
            try:
                result = await self._run_with_migration(run, writer)
            finally:
                self._pool.loads.remove_generation(
                    run.instance.target.id, generation
                )
                self._pool.loads.usage.end(generation)
            if isinstance(result, CompletedStream):
                self._pool.wait_estimator.record(task.elapsed() - started_at)
            if not isinstance(result, _NotRun):
                return result
            budget = self._budgets.get(task.service.name)
            if result.reached_target and not budget.take(nodes=self.nodes):
                task.log(
                    "retry refused", code="budget spent", sends=attempt + 1
                )
                break
        return refuse_not_run("the engines did not take the request")

    async def _place(
        self,
        task: Task,
        spec: EngineSpec,
        generation: Generation,
        tried: set[str],
    ) -> Placement:
        """Waits for an engine with capacity, and logs the outcome."""
        started_at = task.elapsed()
        placement = await self._placer.place(
            PlacementRequest(
                service=task.service.name,
                spec=spec,
                generation=generation,
                rank=(task.priority, task.route.priority),
                arrived=task.arrived,
                deadline=task.arrived
                + task.route.objective * QUEUE_TIME_FRACTION,
                data_centre=self._pool.data_centre,
                exclude=frozenset(tried),
                organisation=task.organisation or "",
                fingerprint=task.fingerprint if task.organisation else b"",
            )
        )
        instance = placement.instance
        self._meters.observe(Duration.ROOM_WAIT, task.elapsed() - started_at)
        waited = (task.elapsed() - started_at).total_seconds()
        if instance is None:
            task.log(
                "request refused",
                code="no room",
                **_describe(task, generation),
                waited_s=round(waited, 3),
                retry_after_s=round(placement.retry_after.total_seconds(), 3),
                engines=len(self._pool.list_candidates(task.service.name)),
                organisation=task.organisation or "",
                organisation_cost=round(
                    self._pool.loads.usage.list_costs().get(
                        task.organisation or "", 0.0
                    )
                ),
            )
            return placement
        load = self._pool.loads.get_total(instance.target.id)
        task.log(
            "generation placed",
            target=instance.target.id,
            **_describe(task, generation),
            waited_s=round(waited, 3),
            target_requests=load.requests,
            target_tokens=load.used,
            target_peak=load.forecast_peak(),
            target_pending=load.pending,
            prompt_segments=_list_segments(generation),
            report_age_s=round(
                (task.elapsed() - instance.last_seen).total_seconds(), 1
            ),
        )
        return placement

    async def _run_with_migration(
        self, run: Run, writer: ResponseWriter
    ) -> "CompletedStream | BufferedResponse | Refusal | _NotRun":
        result: (
            CompletedStream | BufferedResponse | Refusal | _NotRun | None
        ) = None
        stream_error: StreamBrokenError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._migrator.supervise, run)
            try:
                result = await self._forward_run(run, writer)
            except StreamBrokenError as error:
                stream_error = error
            nursery.cancel_scope.cancel()
        if stream_error is not None:
            raise stream_error
        assert result is not None
        return result

    async def _forward_run(
        self, run: Run, writer: ResponseWriter
    ) -> "CompletedStream | BufferedResponse | Refusal | _NotRun":
        """Sends the request to the engine and forwards the response."""
        target = run.instance.target
        task = run.task
        options = ForwardOptions(
            remaining=task.remaining,
            organisation=task.organisation,
            urgency=get_urgency(task),
        )
        try:
            response = await self._targets.open(target, task.request, options)
        except NotReachedError:
            self._pool.failure_tracker.record_failure(
                target.id, weight=3, broadcast=True
            )
            task.log("target not reached", target=target.id)
            return _NotRun(reached_target=False)
        except TargetError as error:
            self._pool.failure_tracker.record_failure(target.id, broadcast=True)
            # Most of such requests were queued, with segments that are sound.
            self._crash_detector.report_lost_run(
                run.instance, frozenset({task.fingerprint})
            )
            task.log(
                "response lost",
                target=target.id,
                fingerprint=task.fingerprint.hex(),
                outcome=type(error).__name__,
            )
            return refuse_unknown_outcome(str(error))
        head = response.head
        if head.not_run:
            await response.aclose()
            self._pool.failure_tracker.record_failure(target.id, weight=0.5)
            task.log(
                "target did not run the request",
                target=target.id,
                status=head.status,
            )
            return _NotRun(reached_target=True)
        if not head.is_verified:
            await response.aclose()
            self._pool.failure_tracker.record_failure(target.id, broadcast=True)
            task.log(
                "unverified response", target=target.id, status=head.status
            )
            return refuse_unknown_outcome("the answer bears no proof")
        if head.status != 200:
            return await self._read_error_response(run, response)
        run.head_at = task.elapsed()
        await writer.start(head)
        await self._relay(run, response, writer)
        first_event = run.first_event_at - task.arrived
        self._meters.observe(Duration.FIRST_EVENT, first_event)
        self._meters.observe(Duration.LONGEST_PAUSE, run.longest_pause)
        self._pool.failure_tracker.record_success(run.instance.target.id)
        self._record_answer(run)
        task.log(
            "generation ended",
            outcome="complete",
            target=run.instance.target.id,
            events=run.events,
            moves=run.migrations,
            first_event_ms=to_ms(first_event),
            longest_pause_ms=to_ms(run.longest_pause),
        )
        return CompletedStream(events=run.events)

    async def _read_error_response(
        self, run: Run, response: TargetResponse
    ) -> BufferedResponse | Refusal:
        """Records the failure and reads the error response."""
        target = run.instance.target
        self._pool.failure_tracker.record_failure(target.id, broadcast=True)
        run.task.log(
            "target failed", target=target.id, status=response.head.status
        )
        try:
            body = await response.read_body()
        except TargetError as error:
            return refuse_unknown_outcome(str(error))
        finally:
            await response.aclose()
        return BufferedResponse(head=response.head, body=body)

    async def _relay(
        self, run: Run, response: TargetResponse, writer: ResponseWriter
    ) -> None:
        """Forwards the events of a run, across all its migrations.

        Raises:
            StreamBrokenError: the stream cannot continue.
        """
        while True:
            try:
                with trio.CancelScope() as run.read_scope:
                    await self._forward_events(run, response, writer)
                    await self._await_stop(run)
                    if run.cutover is None and run.events:
                        return
                if not run.events:
                    # Without a length, the end of a connection is the only
                    # end of a stream, also of one whose engine has crashed.
                    raise AnswerLostError("the stream ended without an event")
                # The source stopped the run for a migration. The stream closed
                # normally, although the run has not ended, or the read was
                # cancelled because the stream did not close.
                reason = "moved"
            except (AnswerLostError, MalformedAnswerError) as error:
                reason = str(error)
            finally:
                await response.aclose()
            cutover = await self._await_cutover(run, reason)
            response = await self._resume(run, cutover)

    async def _forward_events(
        self, run: Run, response: TargetResponse, writer: ResponseWriter
    ) -> None:
        """Forwards the events of one response until it ends or stalls.

        Only numbered events count as progress, so that a target which sends
        other bytes now and then does not keep the stream open.

        Raises:
            AnswerLostError: the connection closed before the end, or no event
                arrived in time.
            MalformedAnswerError: an event is missing, or the response is
                malformed.
        """
        stall_timeout = get_stall_timeout(run.task.route).total_seconds()
        with trio.move_on_after(stall_timeout) as stall_scope:
            async for event in self._relay_events(run, response, writer):
                if event.id is not None:
                    stall_scope.deadline = trio.current_time() + stall_timeout
        if stall_scope.cancelled_caught:
            raise AnswerLostError(f"no event for {stall_timeout} s")

    async def _relay_events(
        self, run: Run, response: TargetResponse, writer: ResponseWriter
    ) -> AsyncIterator[StreamEvent]:
        """Writes the events of one response; skips repeated ones.

        Yields each event after it has been written.
        """
        async for event in response.read_events():
            if event.id is not None:
                if run.last_event is not None and event.id <= run.last_event:
                    continue
                if (
                    run.last_event is not None
                    and event.id != run.last_event + 1
                ):
                    raise MalformedAnswerError(
                        f"event {event.id} follows event {run.last_event}"
                    )
            # The shield ensures that each written event is counted, even if
            # the read is cancelled.
            with trio.CancelScope(shield=True):
                await writer.write(event.data)
            if event.id is not None:
                run.record_event(event.id)
                if run.events == 1:
                    self._pool.loads.record_first_event()
                if not run.is_proven and run.get_age() >= PROVEN_RUN_TIME:
                    self._record_answer(run)
            yield event

    def _record_answer(self, run: Run) -> None:
        run.is_proven = True
        self._quarantine.record_answer(run.task.fingerprints)

    async def _await_cutover(self, run: Run, reason: str) -> Cutover:
        """Returns where the run resumes after its stream has closed.

        Tries to recover the run if no migration has stopped it.

        Raises:
            StreamBrokenError: the run was lost.
        """
        target = run.instance.target
        if run.cutover is None and not run.stopping:
            self._pool.failure_tracker.record_failure(target.id)
            run.task.log(
                "stream closed early",
                target=target.id,
                code=reason,
                events=run.events,
            )
            if run.get_age() <= NEW_RUN_TIME:
                self._crash_detector.report_lost_run(
                    run.instance, run.task.fingerprints
                )
            await self._migrator.recover(run)
        await self._await_stop(run)
        cutover, run.cutover = run.cutover, None
        if cutover is None:
            run.task.log(
                "stream broken",
                target=target.id,
                code=reason,
                events=run.events,
                run_ms=to_ms(run.get_age()),
                prompt_segments=_list_segments(run.generation),
            )
            raise StreamBrokenError(reason)
        return cutover

    async def _await_stop(self, run: Run) -> None:
        """Waits until a stop-and-copy in progress has an outcome."""
        with trio.move_on_after(CUTOVER_TIMEOUT.total_seconds()):
            while run.cutover is None and run.stopping:
                await run.state_changed.park()

    async def _resume(self, run: Run, cutover: Cutover) -> TargetResponse:
        """Resumes the run at its destination, or else at its current engine.

        Raises:
            StreamBrokenError: neither target resumed the run.
        """
        candidates = [cutover.destination]
        if cutover.destination is not run.instance:
            candidates.append(run.instance)
        for instance in candidates:
            if not self._pool.target_table.try_call(instance):
                run.task.log("resume target paused", target=instance.target.id)
                continue
            options = ForwardOptions(
                remaining=run.task.remaining,
                organisation=run.task.organisation,
                memory=cutover.memory,
                last_event=run.last_event,
                urgency=get_urgency(run.task),
            )
            self._budgets.get(run.task.service.name).record_retry()
            started_at = run.task.elapsed()
            try:
                response = await self._targets.open(
                    instance.target, run.task.request, options
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
                    pause_ms=to_ms(run.task.elapsed() - cutover.stopped_at),
                    open_ms=to_ms(run.task.elapsed() - started_at),
                )
                self._meters.observe(
                    Duration.MOVE_PAUSE, run.task.elapsed() - cutover.stopped_at
                )
                self._migrator.complete_migration(run, instance)
                return response
            run.task.log(
                "resume refused",
                target=instance.target.id,
                status=response.head.status,
            )
            await response.aclose()
        raise StreamBrokenError("no target resumed the run")


@dataclass(frozen=True, kw_only=True)
class _NotRun:
    """The result if the target did not run the request.

    Attributes:
        reached_target: whether the target received the request.
    """

    reached_target: bool


def _describe(task: Task, generation: Generation) -> dict[str, int]:
    """Returns log fields with the priority and lengths of a generation."""
    prompt = generation.prompt
    return {
        "rank": task.priority,
        "prompt_tokens": prompt.tokens,
        "limit_tokens": prompt.max_tokens,
        "hint_tokens": prompt.hint or 0,
        "expected_tokens": generation.estimate_total(),
    }


def _list_segments(generation: Generation) -> list[str]:
    """Returns the ids of the prompt's first segments, for log lines."""
    segments = generation.prompt.prefix_segments[:MAX_LOGGED_SEGMENTS]
    return [name[:MAX_LOGGED_CHARACTERS] for name, _ in segments]


def get_stall_timeout(route: Route) -> timedelta:
    """Returns the time without an event after which a stream has stalled."""
    return max(
        MIN_STALL_TIMEOUT,
        route.objective * STALL_OBJECTIVES,
        route.gap_objective * STALL_GAPS,
    )


def get_urgency(task: Task) -> int:
    """Returns the urgency of a generation at its engine, from 0 (first) to 9.

    Generations on routes of the highest priority go just ahead of requests that
    carry no urgency.
    """
    return min(9, DEFAULT_URGENCY - 1 + task.route.priority)
