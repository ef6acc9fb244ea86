"""Serves generations as event streams that survive the loss of an engine.

Every few seconds an engine shuts down. Its termination notice is shorter than
the time that a response takes. So a run migrates to another engine while it
continues (see ``migration``). The caller reads one stream of complete events
with consecutive ids. They are all from the same run, except on resumable
routes, where a lost run continues in another one (see ``resumption``). A stream
that cannot continue closes without its end, so that the caller does not take it
for complete.
"""

from dataclasses import dataclass
from datetime import timedelta

import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.evidence.crash_detection import CrashDetector
from acaciarack.gateway.evidence.quarantine_gate import (
    QuarantineGate,
    TrialAuthority,
)
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.meters import Duration, Meters
from acaciarack.gateway.migration.copies import Copier
from acaciarack.gateway.migration.migrator import Migrator
from acaciarack.gateway.migration.run_checks import RunChecker
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.requests.answer_ends import AnswerEnd, AnswerEnds
from acaciarack.gateway.requests.open_requests import OpenRequests
from acaciarack.gateway.requests.request_handling import (
    BufferedResponse,
    ResponseWriter,
    Task,
    refuse_deadline_exceeded,
    refuse_leaving,
    refuse_not_run,
    refuse_unknown_outcome,
    to_ms,
)
from acaciarack.gateway.requests.resumption import (
    Resumption,
    ResumptionServices,
)
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.requests.stream_handling import (
    StreamBrokenError,
    describe_lengths,
    list_segments,
)
from acaciarack.gateway.requests.stream_opening import (
    LostHead,
    NotRun,
    StreamOpener,
)
from acaciarack.gateway.requests.stream_relay import StreamRelay
from acaciarack.gateway.scheduling.placement_queue import PlacementRequest
from acaciarack.gateway.scheduling.placer import Placement, Placer
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.client import (
    ResponseHead,
    TargetError,
    TargetResponse,
    Targets,
)
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

QUEUE_TIME_FRACTION = 0.5
"""The fraction of the objective that a generation may wait for capacity on an
engine. The rest is left for prefill."""
MAX_ATTEMPTS = 6
"""Maximum number of times that a generation is sent to targets that do not run
it. Bounds the attempts if all listed targets are full or gone."""


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
        shares_engines: bool = False,
        supervisor: Supervisor | None = None,
        open_requests: OpenRequests | None = None,
    ) -> None:
        """Creates the server.

        Args:
            pool: the targets.
            targets: the client for targets.
            budgets: the retry budgets.
            migrator: migrates runs.
            placer: finds engines.
            authority: grants trials.
            quarantine: the requests that crash targets.
            crash_detector: checks targets that lost a run.
            meters: records metrics.
            shares_engines: whether organisations that wait for engines get fair
                shares of them; otherwise their order is that of arrival.
            supervisor: runs the migration of each run.
            open_requests: the requests that end when the node stops.
        """
        self._open_requests = open_requests or OpenRequests()
        self._supervisor = supervisor or Supervisor()
        self._shares_engines = shares_engines
        self._quarantine = quarantine
        self._authority = authority
        self._crash_detector = crash_detector
        self._meters = meters
        self._opener = opener = StreamOpener(
            pool=pool, targets=targets, crash_detector=crash_detector
        )
        self._ends = ends = AnswerEnds(
            targets=targets,
            target_table=pool.target_table,
            loads=pool.loads,
            meters=meters,
        )
        self._run_checker = RunChecker(
            pool=pool,
            targets=targets,
            copier=Copier(pool=pool, targets=targets, meters=meters),
            meters=meters,
        )
        self._relay = StreamRelay(
            pool=pool,
            ends=ends,
            opener=opener,
            budgets=budgets,
            migrator=migrator,
            quarantine=quarantine,
            crash_detector=crash_detector,
            meters=meters,
        )
        self._resumption_services = ResumptionServices(
            pool=pool,
            opener=opener,
            budgets=budgets,
            place=self._place_again,
            count_nodes=lambda: self.nodes,
        )
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
        earlier_events = _count_earlier_events(task)
        generation = Generation(
            prompt=prompt,
            emitted=min(
                earlier_events * spec.max_event_tokens, prompt.max_tokens
            ),
            is_reread=earlier_events > 0,
        )
        gate = QuarantineGate(
            task=task, quarantine=self._quarantine, authority=self._authority
        )
        if refusal := gate.refuse_early():
            return refusal
        self._budgets.get(task.service.name).record_request()
        head_writer = _HeadWriter(writer)
        time_left = max(0.0, task.remaining.total_seconds())
        with (
            self._open_requests.track() as stop_scope,
            trio.move_on_after(time_left),
        ):
            return await self._serve_with_retries(
                task, spec, generation, gate, head_writer
            )
        has_stopped = stop_scope.cancelled_caught
        reason = "this node stopped" if has_stopped else "the deadline was over"
        task.log(
            "generation ended", outcome="stopped" if has_stopped else "timeout"
        )
        if head_writer.has_started:
            raise StreamBrokenError(f"{reason} after the stream had started")
        if has_stopped and not head_writer.is_sent:
            return refuse_leaving()
        return refuse_deadline_exceeded()

    async def _serve_with_retries(
        self,
        task: Task,
        spec: EngineSpec,
        generation: Generation,
        gate: QuarantineGate,
        writer: "_HeadWriter",
    ) -> CompletedStream | BufferedResponse | Refusal:
        tried: set[str] = set()
        for attempt in range(MAX_ATTEMPTS):
            placement = await self._place(
                task,
                spec,
                generation,
                tried,
                task.arrived + task.route.objective * QUEUE_TIME_FRACTION,
            )
            instance = placement.instance
            if instance is None:
                return refuse_not_run(
                    "no engine has room", retry_after=placement.retry_after
                )
            if refusal := await gate.refuse():
                return refusal
            tried.add(instance.target.id)
            run = Run(
                task=task,
                spec=spec,
                generation=generation,
                instance=instance,
                last_event=_get_earlier_event(task),
                earlier_events=_count_earlier_events(task),
            )
            resumption = Resumption(
                services=self._resumption_services,
                run=run,
                gate=gate,
                tried=tried,
            )
            self._pool.loads.add_generation(instance.target.id, generation)
            if self._shares_engines:
                self._pool.loads.usage.start(
                    self._get_share_name(task), generation
                )
            started_at = task.elapsed()
            writer.is_sent = True
            try:
                result = await self._run_with_migration(run, writer, resumption)
            finally:
                self._pool.loads.remove_generation(
                    run.instance.target.id, generation
                )
                self._pool.loads.usage.end(generation)
            if isinstance(result, CompletedStream):
                self._pool.wait_estimator.record(task.elapsed() - started_at)
            if not isinstance(result, NotRun):
                return result
            writer.is_sent = False
            budget = self._budgets.get(task.service.name)
            if result.reached_target and not budget.take(nodes=self.nodes):
                task.log(
                    "retry refused", code="budget spent", sends=attempt + 1
                )
                break
        return refuse_not_run("the engines did not take the request")

    async def _place_again(
        self, run: Run, tried: set[str], latest: timedelta
    ) -> Placement:
        """Waits for an engine that resumes a run, at most until ``latest``."""
        task = run.task
        deadline = task.elapsed() + task.route.objective * QUEUE_TIME_FRACTION
        return await self._place(
            task, run.spec, run.generation, tried, min(deadline, latest)
        )

    async def _place(
        self,
        task: Task,
        spec: EngineSpec,
        generation: Generation,
        tried: set[str],
        deadline: timedelta,
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
                deadline=deadline,
                data_centre=self._pool.data_centre,
                exclude=frozenset(tried),
                objective_at=task.arrived + task.route.objective,
                gap_objective=task.route.gap_objective,
                regions=task.regions,
                organisation=self._get_share_name(task),
                fingerprint=task.fingerprint
                if self._get_share_name(task)
                else b"",
            )
        )
        instance = placement.instance
        self._meters.observe(Duration.ROOM_WAIT, task.elapsed() - started_at)
        waited = (task.elapsed() - started_at).total_seconds()
        if instance is None:
            task.log(
                "request refused",
                code="no room",
                **describe_lengths(task, generation),
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
            **describe_lengths(task, generation),
            waited_s=round(waited, 3),
            target_requests=load.requests,
            target_tokens=load.used,
            target_peak=load.forecast_peak(),
            target_pending=load.pending,
            **self._describe_pace(instance),
            prompt_segments=list_segments(generation),
            report_age_s=round(
                (task.elapsed() - instance.last_seen).total_seconds(), 1
            ),
        )
        return placement

    def _describe_pace(self, instance: TargetInstance) -> dict[str, float]:
        """Returns log fields with the pace of an engine that reports it."""
        pace = self._pool.target_table.paces.get_pace(
            get_lifetime(instance.target)
        )
        if not pace.is_reported:
            return {}
        return {
            "target_factor": round(pace.usual_factor, 2),
            "target_slowdown": round(pace.slowdown, 2),
        }

    def _get_share_name(self, task: Task) -> str:
        """Returns the organisation that the task's share belongs to."""
        return (task.organisation or "") if self._shares_engines else ""

    async def _run_with_migration(
        self, run: Run, writer: "_HeadWriter", resumption: Resumption
    ) -> CompletedStream | BufferedResponse | Refusal | NotRun:
        result: CompletedStream | BufferedResponse | Refusal | NotRun | None = (
            None
        )
        stream_error: StreamBrokenError | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._supervisor.keep_running,
                "migration",
                self._migrator.supervise,
                run,
            )
            nursery.start_soon(
                self._supervisor.keep_running,
                "run checks",
                self._run_checker.supervise,
                run,
            )
            try:
                result = await self._forward_run(run, writer, resumption)
            except StreamBrokenError as error:
                stream_error = error
            nursery.cancel_scope.cancel()
        if stream_error is not None:
            raise stream_error
        assert result is not None
        return result

    async def _forward_run(
        self, run: Run, writer: "_HeadWriter", resumption: Resumption
    ) -> CompletedStream | BufferedResponse | Refusal | NotRun:
        """Sends the request to the engine and forwards the response."""
        opened = await self._opener.open(run, run.instance)
        if isinstance(opened, NotRun):
            return opened
        if isinstance(opened, LostHead):
            response = await resumption.resume()
            if response is None:
                return refuse_unknown_outcome(opened.detail)
        else:
            response = opened
        if response.head.status != 200:
            return await self._read_error_response(run, response)
        run.head_at = run.task.elapsed()
        await writer.start(response.head)
        end = await self._relay.relay(run, response, writer, resumption)
        self._record_end(run, end)
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
            await self._ends.confirm_body(run.task, run.instance, response.head)
        except TargetError as error:
            return refuse_unknown_outcome(str(error))
        finally:
            await response.aclose()
        return BufferedResponse(head=response.head, body=body)

    def _record_end(self, run: Run, end: AnswerEnd) -> None:
        """Records the end of a whole stream."""
        fields: dict[str, int] = {}
        if run.events:
            first_event = run.first_event_at - run.task.arrived
            self._meters.observe(Duration.FIRST_EVENT, first_event)
            self._meters.observe(Duration.LONGEST_PAUSE, run.longest_pause)
            fields["first_event_ms"] = to_ms(first_event)
        self._pool.failure_tracker.record_success(run.instance.target.id)
        self._relay.record_answer(run)
        run.task.log(
            "generation ended",
            outcome="complete",
            target=run.instance.target.id,
            events=run.events,
            moves=run.migrations,
            resumptions=run.resumptions,
            longest_pause_ms=to_ms(run.longest_pause),
            end=end,
            carrier=run.carrier.name if run.carrier else "",
            **fields,
        )


class _HeadWriter:
    """Writes a response, and notes how far its request has come.

    Attributes:
        is_sent: whether an engine may run the request.
        has_started: whether the head was written.
    """

    def __init__(self, writer: ResponseWriter) -> None:
        self._writer = writer
        self.is_sent = False
        self.has_started = False

    async def start(self, head: ResponseHead) -> None:
        self.has_started = True
        await self._writer.start(head)

    async def write(self, data: bytes) -> None:
        await self._writer.write(data)


def _get_earlier_event(task: Task) -> int | None:
    """Returns the last event that the caller of a resumable route has."""
    return task.request.last_event if task.route.resumable else None


def _count_earlier_events(task: Task) -> int:
    return _get_earlier_event(task) or 0
