"""Forwards plain calls to targets, and retries them where that is allowed.

Targets fail some of their calls, so idempotent calls are retried. A call that
may run at most once is sent again only if no target can have run it.
"""

from datetime import timedelta
from typing import Protocol

import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.evidence.crash_detection import CrashDetector
from acaciarack.gateway.evidence.quarantine_gate import (
    QuarantineGate,
    TrialAuthority,
)
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.requests.request_handling import (
    RETRY_AFTER,
    BufferedResponse,
    Task,
    refuse_deadline_exceeded,
    refuse_not_run,
    refuse_unknown_outcome,
    to_ms,
)
from acaciarack.gateway.requests.retry_budget import RetryBudgets
from acaciarack.gateway.scheduling.placer import Placement
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import (
    AnswerLostError,
    ForwardOptions,
    MalformedAnswerError,
    NotReachedError,
    TargetError,
    Targets,
)
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

MAX_SENDS = 5
"""Maximum sends of one call, including sends that reached no target. Bounds the
attempts if all listed targets are gone."""
MIN_RETRY_TIME = timedelta(milliseconds=30)
"""Minimum remaining time with which a call is sent again. A call to the fastest
service takes this long."""
RETRY_TIMEOUT_FACTOR = 3.0
"""Timeout of an idempotent send that can still be retried, as a multiple of the
route's objective."""
FIRST_SERVER_ERROR_STATUS = 500


class CallPlacer(TrialAuthority, Protocol):
    """Decides for all nodes together which calls go to limited targets."""

    async def place_limited_call(
        self, service: str, *, exclude: frozenset[str], time_left: timedelta
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
    ) -> None:
        self._placer = placer
        self._quarantine = quarantine
        self._crash_detector = crash_detector
        self._meters = meters
        self._pool = pool
        self._targets = targets
        self._budgets = budgets
        self.nodes = 1

    async def serve(self, task: Task) -> BufferedResponse | Refusal:
        """Sends a call to a target, and retries it where that is allowed.

        Returns:
            The response of a target, or the refusal of the call.
        """
        state = _CallState(task)
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
            if refusal := await gate.refuse():
                return state.build_refusal(refusal)
            await self._send(task, instance, state)
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

    async def _choose_target(
        self, task: Task, state: "_CallState"
    ) -> Placement:
        """Chooses the target of the next send.

        A target that limits requests is used if all others have been tried, are
        full or failing, and now and then to learn whether its limit has ended.
        """
        service = task.service.name
        if self._pool.needs_grants(service):
            return await self._placer.place_limited_call(
                service,
                exclude=self._pool.limit_exclusion(service, state.tried),
                time_left=task.remaining,
            )
        instance = self._pool.choose_for_call(service, exclude=state.tried)
        refusal: Placement | None = None
        if self._needs_limited(service, instance):
            placement = await self._placer.place_limited_call(
                service,
                exclude=frozenset(state.tried),
                time_left=task.remaining,
            )
            if placement.instance is not None:
                return placement
            refusal = placement
        instance = instance or self._pool.choose_for_call(service)
        if instance is None and refusal is not None:
            return refusal
        return Placement(
            instance=instance,
            retry_after=self._pool.get_pause_left(service) or RETRY_AFTER,
        )

    def _needs_limited(
        self, service: str, instance: TargetInstance | None
    ) -> bool:
        limited = self._pool.list_limited(service)
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
        self, task: Task, instance: TargetInstance, state: "_CallState"
    ) -> None:
        target = instance.target
        state.begin(target.id)
        send_timeout = state.get_send_timeout()
        sent_at = task.elapsed()
        self._pool.loads.add_call(target.id)
        outcome = "cancelled"
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
            self._meters.count(Event.CALLS, outcome)
            task.log(
                "call sent",
                target=target.id,
                outcome=outcome,
                took_ms=to_ms(task.elapsed() - sent_at),
                penalty=round(
                    self._pool.failure_tracker.get_penalty(target.id), 2
                ),
            )

    async def _exchange(
        self, task: Task, instance: TargetInstance, state: "_CallState"
    ) -> str:
        target = instance.target
        options = ForwardOptions(
            remaining=task.remaining, organisation=task.organisation
        )
        try:
            response = await self._targets.open(target, task.request, options)
            try:
                body = await response.read_body()
            finally:
                await response.aclose()
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


class _CallState:
    """The outcomes of the sends of one call.

    Attributes:
        tried: the ids of the targets tried, including unreachable ones.
        last_send_arrived: whether the last send reached its target.
        final_response: a response that ends the call; ``None`` before it
            arrives.
    """

    def __init__(self, task: Task) -> None:
        self._task = task
        self._send_count = 0
        self._possible_runs = 0
        self._error_response: BufferedResponse | None = None
        self._unknown_outcome_detail = ""
        self.tried: set[str] = set()
        self.last_send_arrived = False
        self.final_response: BufferedResponse | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the call."""
        return self._possible_runs > 0

    @property
    def _idempotent(self) -> bool:
        return self._task.route.kind is RouteKind.IDEMPOTENT

    def begin(self, target_id: str) -> None:
        self._send_count += 1
        self.last_send_arrived = True
        self.tried.add(target_id)

    def get_send_timeout(self) -> timedelta:
        """Returns the timeout of the current send."""
        remaining = self._task.remaining
        if not self._idempotent or not self._has_attempts_left(1):
            return remaining
        return min(remaining, self._task.route.objective * RETRY_TIMEOUT_FACTOR)

    def record_not_reached(self) -> None:
        self.last_send_arrived = False

    def record_not_run(self) -> None:
        """Changes nothing: the call did not run, but the send arrived."""

    def record_unknown_outcome(self, detail: str) -> None:
        self._possible_runs += 1
        self._unknown_outcome_detail = detail

    def record_response(self, response: BufferedResponse) -> None:
        self._possible_runs += 1
        if (
            response.head.status >= FIRST_SERVER_ERROR_STATUS
            and self._idempotent
            and self._has_attempts_left(0)
        ):
            self._error_response = response
            return
        self.final_response = response

    def _has_attempts_left(self, in_progress: int) -> bool:
        """Returns whether the call may run again after the runs so far.

        Args:
            in_progress: the number of sends without an outcome yet.
        """
        return self._possible_runs + in_progress < self._task.route.max_attempts

    def is_exhausted(self) -> bool:
        """Returns whether the call must not be sent again."""
        if (
            self._task.remaining < MIN_RETRY_TIME
            or self._send_count >= MAX_SENDS
        ):
            return True
        if not self._possible_runs:
            return False
        return not self._idempotent or not self._has_attempts_left(0)

    def build_result(self) -> BufferedResponse | Refusal:
        """Returns the last error response, or a refusal if there is none."""
        if self._error_response is not None:
            return self._error_response
        if not self._possible_runs:
            return self.refuse(
                "the targets did not take the request",
                retry_after=RETRY_AFTER,
            )
        if self._task.remaining <= timedelta(0):
            return refuse_deadline_exceeded()
        return refuse_unknown_outcome(self._unknown_outcome_detail)

    def refuse(
        self, detail: str, *, retry_after: timedelta
    ) -> BufferedResponse | Refusal:
        """Returns the refusal of a call that did not run.

        If the call may have run, returns its result instead.
        """
        return self.build_refusal(
            refuse_not_run(detail, retry_after=retry_after)
        )

    def build_refusal(self, refusal: Refusal) -> BufferedResponse | Refusal:
        """Returns a refusal, or the result if the call may have run."""
        return self.build_result() if self._possible_runs else refusal
