"""Forwards plain calls to targets, and retries them where that is allowed.

Targets fail some of their calls, so idempotent calls are retried. A call that
may run at most once is sent again only if no target can have run it.
"""

from datetime import timedelta
from functools import partial
from typing import Protocol

import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.evidence.crash_detection import CrashDetector
from acaciarack.gateway.evidence.quarantine_gate import (
    QuarantineGate,
    TrialAuthority,
)
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.meters import Duration, Event, Meters
from acaciarack.gateway.requests.answer_ends import (
    AnswerEnds,
    describe_framing,
)
from acaciarack.gateway.requests.call_state import (
    FIRST_SERVER_ERROR_STATUS,
    CallState,
)
from acaciarack.gateway.requests.open_requests import OpenRequests
from acaciarack.gateway.requests.request_handling import (
    RETRY_AFTER,
    BufferedResponse,
    Task,
    refuse_leaving,
    to_ms,
)
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.scheduling.call_placement import (
    CallRefusal,
    CallRequest,
)
from acaciarack.gateway.scheduling.call_placer import PlacedCall
from acaciarack.gateway.scheduling.placer import Placement
from acaciarack.gateway.targets.client import (
    AnswerLostError,
    ForwardOptions,
    MalformedAnswerError,
    NotReachedError,
    TargetError,
    TargetRestrictedError,
    Targets,
)
from acaciarack.gateway.targets.lifetimes import get_lifetime
from acaciarack.gateway.targets.pace import Pace, TargetSample
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance


class CallPlacer(TrialAuthority, Protocol):
    """Decides for all nodes together where calls go."""

    async def place_call(
        self, request: CallRequest
    ) -> PlacedCall | CallRefusal | None:
        """Finds a target for a call; ``None`` if this node decides alone."""
        ...

    def end_call(self, placed: PlacedCall, sample: TargetSample | None) -> None:
        """Reports that a placed call has ended or was not sent."""
        ...

    async def place_limited_call(
        self,
        service: str,
        *,
        exclude: frozenset[str],
        time_left: timedelta,
        regions: frozenset[str] | None = None,
    ) -> Placement:
        """Finds a limited target for a call, or says when to come back."""
        ...

    def schedules(self, service: str) -> bool:
        """Returns whether this node is the first scheduler of a service."""
        ...


class CallServer:
    """Forwards plain calls to targets.

    Attributes:
        nodes: the number of nodes that share the retry budgets.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        budgets: RetryBudgets,
        placer: CallPlacer,
        quarantine: RequestQuarantine,
        crash_detector: CrashDetector,
        meters: Meters,
        open_requests: OpenRequests | None = None,
    ) -> None:
        self._open_requests = open_requests or OpenRequests()
        self._placer = placer
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._meters = meters
        self._pool = pool
        self._targets = targets
        self._ends = AnswerEnds(
            targets=targets,
            target_table=pool.target_table,
            loads=pool.loads,
            meters=meters,
        )
        self._budgets = budgets
        self.nodes = 1

    async def serve(self, task: Task) -> BufferedResponse | Refusal:
        """Sends a call to a target, and retries it where that is allowed.

        Returns:
            The response of a target, or the refusal of the call.
        """
        state = CallState(task)
        with self._open_requests.track() as scope:
            return await self._serve(task, state)
        assert scope.cancelled_caught
        state.record_stop()
        return state.build_refusal(refuse_leaving())

    async def _serve(
        self, task: Task, state: CallState
    ) -> BufferedResponse | Refusal:
        gate = QuarantineGate(
            task=task, quarantine=self._quarantine, authority=self._placer
        )
        self._budgets.get(task.service.name).record_request()
        while True:
            if refusal := gate.refuse_early():
                return state.build_refusal(refusal)
            placement = await self._choose_target(task, state)
            instance = placement.instance
            if instance is None:
                task.log(
                    "request refused",
                    code="no target",
                    service=task.service.name,
                    retry_after_s=round(
                        placement.retry_after.total_seconds(), 3
                    ),
                )
                return state.refuse(
                    "no target of the service takes requests",
                    retry_after=placement.retry_after,
                )
            try:
                if refusal := await gate.refuse():
                    return state.build_refusal(refusal)
                await self._send(task, instance, state)
            finally:
                if state.placed is not None:
                    self._placer.end_call(state.placed, state.sample)
            if state.may_have_run:
                gate.record_possible_run()
            if state.final_response is not None:
                return state.final_response
            if state.is_exhausted():
                return state.build_result()
            if state.last_send_arrived and not self._budgets.get(
                task.service.name
            ).take(nodes=self.nodes):
                task.log("retry refused", code="budget spent")
                return state.build_result()

    async def _choose_target(self, task: Task, state: CallState) -> Placement:
        """Chooses the target of the next send.

        A target that limits requests is used if all others have been tried, are
        full or failing, and now and then to learn whether its limit has ended.
        """
        service = task.service.name
        regions = task.regions
        state.placed = state.sample = None
        # Calls that engines answer wait for generations, not for calls. Asks
        # for calls carry no regions.
        if (
            task.service.engine is None
            and regions is None
            and self._pool.reports_pace(service)
        ):
            placement = await self._place_by_end(task, state)
            if placement is not None:
                return placement
        if self._pool.needs_grants(service):
            return await self._placer.place_limited_call(
                service,
                exclude=self._pool.list_excluded(
                    service, state.tried, regions=regions
                ),
                time_left=task.remaining,
                regions=regions,
            )
        instance = self._pool.choose_for_call(
            service, exclude=state.tried, regions=regions
        )
        refusal: Placement | None = None
        if self._needs_limited(service, instance, regions):
            placement = await self._placer.place_limited_call(
                service,
                exclude=frozenset(state.tried),
                time_left=task.remaining,
                regions=regions,
            )
            if placement.instance is not None:
                return placement
            refusal = placement
        instance = instance or self._pool.choose_for_call(
            service, regions=regions
        )
        if instance is None and refusal is not None:
            return refusal
        return Placement(
            instance=instance,
            retry_after=self._pool.get_closed_time(service, regions=regions)
            or RETRY_AFTER,
        )

    async def _place_by_end(
        self, task: Task, state: CallState
    ) -> Placement | None:
        """Has the scheduler choose the target that ends the call first.

        Returns:
            The target or the refusal; ``None`` if this node decides alone.
        """
        began = task.elapsed()
        outcome = await self._placer.place_call(
            CallRequest(
                service=task.service.name,
                rank=(task.priority,),
                objective=task.arrived + task.route.objective,
                deadline=task.deadline,
                data_centre=self._pool.data_centre,
                exclude=self._pool.list_call_exclusions(
                    task.service.name, state.tried
                ),
            )
        )
        state.placing_time = task.elapsed() - began
        self._meters.observe(Duration.CALL_PLACEMENT, state.placing_time)
        if outcome is None:
            self._meters.count(Event.CALL_PLACEMENTS, "alone")
            return None
        if isinstance(outcome, CallRefusal):
            self._meters.count(Event.CALL_PLACEMENTS, "refused")
            return Placement(instance=None, retry_after=outcome.retry_after)
        self._meters.count(Event.CALL_PLACEMENTS, "scheduler")
        state.placed = outcome
        return Placement(instance=outcome.instance, retry_after=timedelta(0))

    def _needs_limited(
        self,
        service: str,
        instance: TargetInstance | None,
        regions: frozenset[str] | None,
    ) -> bool:
        limited = self._pool.list_limited(service, regions=regions)
        if not limited:
            return False
        if instance is None:
            return True
        target = instance.target
        if self._pool.loads.get_total(
            target.id
        ).requests >= target.slots or self._pool.failure_tracker.is_ejected(
            target.id
        ):
            return True
        return self._placer.schedules(service) and any(
            self._pool.is_limit_stale(candidate) for candidate in limited
        )

    async def _send(
        self, task: Task, instance: TargetInstance, state: CallState
    ) -> None:
        target = instance.target
        state.begin(target.id)
        send_timeout = state.get_send_timeout()
        sent_at = task.elapsed()
        pace = self._pool.target_table.paces.get_pace(get_lifetime(target))
        self._pool.loads.add_call(target.id)
        outcome = "cancelled"
        state.head, state.end = None, ""
        try:
            with trio.move_on_after(send_timeout.total_seconds()) as scope:
                outcome = await self._exchange(task, instance, state)
            if scope.cancelled_caught:
                outcome = "too slow"
                state.record_unknown_outcome(
                    "the target did not answer in time"
                )
                self._pool.failure_tracker.record_failure(target.id)
        finally:
            self._pool.loads.remove_call(target.id)
            state.sample = self._build_sample(task, instance, sent_at, outcome)
            self._meters.count(Event.CALLS, outcome)
            task.log(
                "call sent",
                target=target.id,
                outcome=outcome,
                took_ms=to_ms(task.elapsed() - sent_at),
                penalty=round(
                    self._pool.failure_tracker.get_penalty(target.id), 2
                ),
                **_describe_choice(state, pace),
                **(describe_framing(state.head) if state.head else {}),
                end=state.end,
            )

    def _build_sample(
        self,
        task: Task,
        instance: TargetInstance,
        sent_at: timedelta,
        outcome: str,
    ) -> TargetSample | None:
        """Returns what a send told of its target; ``None`` if nothing."""
        load = instance.reported_load
        if load is None or instance.load_reported_at < sent_at:
            return None
        now = task.elapsed()
        work_time = None
        # A call that ends while none waits has probably not waited either.
        if outcome == "answered 200" and not load.waiting and load.slowdown:
            work_time = (now - sent_at) / load.slowdown
        return TargetSample(
            target=get_lifetime(instance.target),
            age=now - instance.load_reported_at,
            load=load,
            work_time=work_time,
        )

    async def _exchange(
        self, task: Task, instance: TargetInstance, state: CallState
    ) -> str:
        target = instance.target
        options = ForwardOptions(
            remaining=task.remaining,
            organisation=task.organisation,
            may_send=partial(
                self._pool.target_table.restrictions.allows,
                target,
                task.regions,
            ),
            regions=task.regions,
        )
        try:
            response = await self._targets.open(target, task.request, options)
            state.head = response.head
            try:
                # The head alone says that the request has not run.
                body = (
                    b"" if response.head.not_run else await response.read_body()
                )
            finally:
                await response.aclose()
            if not response.head.not_run and response.head.is_verified:
                end = await self._ends.confirm_body(
                    task, instance, response.head
                )
                state.end = end
        except TargetRestrictedError:
            state.record_not_reached()
            return "restricted"
        except NotReachedError:
            state.record_not_reached()
            self._pool.target_table.record_unreachable(instance)
            self._pool.failure_tracker.record_failure(target.id, weight=2)
            return "not reached"
        except (AnswerLostError, MalformedAnswerError) as error:
            state.record_unknown_outcome(str(error))
            self._pool.failure_tracker.record_failure(target.id)
            self._report_lost(task, instance, type(error).__name__)
            return type(error).__name__
        except TargetError as error:
            state.record_unknown_outcome(str(error))
            return type(error).__name__
        head = response.head
        if head.not_run:
            state.record_not_run()
            if head.wrong_target:
                self._pool.failure_tracker.record_failure(target.id, weight=3)
            return f"not run {head.status}"
        if not head.is_verified:
            state.record_unknown_outcome("the answer bears no proof")
            self._pool.failure_tracker.record_failure(target.id)
            self._report_lost(task, instance, "unproven")
            return "unproven"
        if head.status >= FIRST_SERVER_ERROR_STATUS:
            self._pool.failure_tracker.record_failure(target.id, weight=0.5)
        else:
            self._quarantine.record_answer(task.fingerprints)
            self._pool.failure_tracker.record_success(target.id)
        state.record_response(BufferedResponse(head=head, body=body))
        return f"answered {head.status}"

    def _report_lost(
        self, task: Task, instance: TargetInstance, outcome: str
    ) -> None:
        """Has a target checked that may have crashed while it ran a call."""
        # The call may have waited for a slot, so its age tells nothing.
        self._crash_detector.report_lost_run(instance, task.fingerprints)
        task.log(
            "response lost",
            target=instance.target.id,
            fingerprint=task.fingerprint.hex(),
            outcome=outcome,
        )


def _describe_choice(state: CallState, pace: Pace) -> dict[str, str | float]:
    """Returns log fields on the choice of a target that reports its pace."""
    if not pace.is_reported:
        return {}
    fields: dict[str, str | float] = {
        "scheduler": "none",
        "placed_ms": to_ms(state.placing_time),
        "time_factor": round(pace.time_factor, 2),
    }
    if state.placed is not None:
        fields["scheduler"] = state.placed.scheduler.name
    if state.sample is not None and state.sample.load is not None:
        fields["running"] = state.sample.load.running
        fields["waiting"] = state.sample.load.waiting
    return fields
