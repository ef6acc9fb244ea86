"""Serves plain calls: sends one, and repeats it where that is allowed.

Answers targets that fail part of their calls, and calls that may run at most
once: these are sent again only when nothing can have run.
"""

from datetime import timedelta

import trio

from acaciarack.errors import Refusal
from acaciarack.gateway.facts import RouteKind
from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.pool import TargetPool
from acaciarack.gateway.retrying import RetryBudgets
from acaciarack.gateway.roster import Member
from acaciarack.gateway.serving import (
    Task,
    WholeAnswer,
    refuse_late,
    refuse_unknown,
    refuse_unserved,
    to_ms,
)
from acaciarack.gateway.targets import (
    AnswerLostError,
    MalformedAnswerError,
    NotReachedError,
    SendTerms,
    TargetError,
    Targets,
)

MAX_SENDS = 5
"""Sends of one call, with those that reached no target; a guard against a
list of targets that are all gone."""
LEAST_REMAINING = timedelta(milliseconds=30)
"""The shortest time with which a call is sent again; as long as a call of the
briefest service takes."""
REPEAT_PATIENCE = 3.0
"""An idempotent call without an answer is given up for a repeat after this
multiple of its objective."""
FIRST_FAILURE = 500


class CallServer:
    """Serves plain calls."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        budgets: RetryBudgets,
        meters: Meters,
    ) -> None:
        self._meters = meters
        self._pool = pool
        self._targets = targets
        self._budgets = budgets
        self.nodes = 1

    async def serve(self, task: Task) -> WholeAnswer | Refusal:
        """Returns the answer of a target, or why there is none."""
        attempt = _Attempts(task)
        self._budgets.get(task.service.name).record_request()
        while True:
            member = self._pool.choose_for_call(
                task.service.name, exclude=attempt.tried
            ) or self._pool.choose_for_call(task.service.name)
            if member is None:
                task.log("refused", code="no target", service=task.service.name)
                return attempt.refuse("no target of the service is in use")
            await self._send(task, member, attempt)
            if attempt.final is not None:
                return attempt.final
            if attempt.is_over():
                return attempt.conclude()
            if attempt.arrived and not self._budgets.get(
                task.service.name
            ).take(nodes=self.nodes):
                task.log("repeat refused", code="budget spent")
                return attempt.conclude()

    async def _send(
        self, task: Task, member: Member, attempt: "_Attempts"
    ) -> None:
        target = member.target
        attempt.begin(target.id)
        patience = attempt.get_patience()
        sent = task.elapsed()
        self._pool.loads.add_call(target.id)
        outcome = "cancelled"
        try:
            with trio.move_on_after(patience.total_seconds()) as scope:
                outcome = await self._exchange(task, member, attempt)
            if scope.cancelled_caught:
                outcome = "too slow"
                attempt.record_unknown("the target did not answer in time")
                self._pool.trust.record_failure(target.id)
        finally:
            self._pool.loads.remove_call(target.id)
            self._meters.count(Event.CALLS, outcome)
            task.log(
                "call sent",
                target=target.id,
                outcome=outcome,
                took_ms=to_ms(task.elapsed() - sent),
                penalty=round(self._pool.trust.get_penalty(target.id), 2),
            )

    async def _exchange(
        self, task: Task, member: Member, attempt: "_Attempts"
    ) -> str:
        target = member.target
        terms = SendTerms(
            remaining=task.remaining, organisation=task.organisation
        )
        try:
            answer = await self._targets.open(target, task.request, terms)
            try:
                body = await answer.read_body()
            finally:
                await answer.aclose()
        except NotReachedError:
            attempt.record_unreached()
            self._pool.trust.record_failure(target.id, weight=2)
            return "not reached"
        except (AnswerLostError, MalformedAnswerError) as error:
            attempt.record_unknown(str(error))
            self._pool.trust.record_failure(target.id)
            return type(error).__name__
        except TargetError as error:
            attempt.record_unknown(str(error))
            return type(error).__name__
        head = answer.head
        if head.not_run:
            attempt.record_not_run()
            if head.wrong_target:
                self._pool.trust.record_failure(target.id, weight=3)
            return f"not run {head.status}"
        if not head.is_proven:
            attempt.record_unknown("the answer bears no proof")
            self._pool.trust.record_failure(target.id)
            return "unproven"
        if head.status >= FIRST_FAILURE:
            self._pool.trust.record_failure(target.id, weight=0.5)
        else:
            self._pool.trust.record_success(target.id)
        attempt.record_answer(WholeAnswer(head=head, body=body))
        return f"answered {head.status}"


class _Attempts:
    """What became of the sends of one call so far."""

    def __init__(self, task: Task) -> None:
        self._task = task
        self._sends = 0
        self._runs = 0
        self._failure: WholeAnswer | None = None
        self._unknown = ""
        self.tried: set[str] = set()
        self.arrived = False
        self.final: WholeAnswer | None = None

    @property
    def _repeatable(self) -> bool:
        return self._task.route.kind is RouteKind.IDEMPOTENT

    def begin(self, target_id: str) -> None:
        self._sends += 1
        self.arrived = True
        self.tried.add(target_id)

    def get_patience(self) -> timedelta:
        """Returns how long to wait for this send's answer."""
        remaining = self._task.remaining
        if not self._repeatable or not self._may_run_again(1):
            return remaining
        return min(remaining, self._task.route.objective * REPEAT_PATIENCE)

    def record_unreached(self) -> None:
        self.arrived = False

    def record_not_run(self) -> None:
        """The target refused; the send still counts as an arrival."""

    def record_unknown(self, detail: str) -> None:
        self._runs += 1
        self._unknown = detail

    def record_answer(self, answer: WholeAnswer) -> None:
        self._runs += 1
        if (
            answer.head.status >= FIRST_FAILURE
            and self._repeatable
            and self._may_run_again(0)
        ):
            self._failure = answer
            return
        self.final = answer

    def _may_run_again(self, running: int) -> bool:
        return self._runs + running < self._task.route.max_attempts

    def is_over(self) -> bool:
        """Returns whether the call is not to be sent again."""
        if self._task.remaining < LEAST_REMAINING or self._sends >= MAX_SENDS:
            return True
        if not self._runs:
            return False
        return not self._repeatable or not self._may_run_again(0)

    def conclude(self) -> WholeAnswer | Refusal:
        """Returns the best that can be told truly."""
        if self._failure is not None:
            return self._failure
        if not self._runs:
            return self.refuse("the targets did not take the request")
        if self._task.remaining <= timedelta(0):
            return refuse_late()
        return refuse_unknown(self._unknown)

    def refuse(self, detail: str) -> WholeAnswer | Refusal:
        """Returns a refusal if nothing ran, else what is known."""
        return self.conclude() if self._runs else refuse_unserved(detail)
