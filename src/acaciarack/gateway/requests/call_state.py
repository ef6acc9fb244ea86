"""The outcomes of the sends of one plain call, and what may follow them."""

from datetime import timedelta

from acaciarack.errors import Refusal
from acaciarack.gateway.requests.request_handling import (
    RETRY_AFTER,
    BufferedResponse,
    Task,
    refuse_deadline_exceeded,
    refuse_not_run,
    refuse_unknown_outcome,
)
from acaciarack.gateway.scheduling.call_placer import PlacedCall
from acaciarack.gateway.spec import RouteKind
from acaciarack.gateway.targets.client import ResponseHead
from acaciarack.gateway.targets.pace import TargetSample

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


class CallState:
    """The outcomes of the sends of one call.

    Attributes:
        tried: the ids of the targets tried, including unreachable ones.
        last_send_arrived: whether the last send reached its target.
        final_response: a response that ends the call; ``None`` before it
            arrives.
        placed: the placement of the next or current send by a scheduler;
            ``None`` if this node chose the target alone.
        placing_time: how long the scheduler took to place it, or did not
            answer.
        sample: what the answer to the current send told of its target.
        head: the head of the answer to the current send; ``None`` before it.
        end: what told that the answer is whole; empty before.
    """

    def __init__(self, task: Task) -> None:
        self._task = task
        self._send_count = 0
        self._possible_runs = 0
        self._error_response: BufferedResponse | None = None
        self._unknown_outcome_detail = ""
        self._is_sending = False
        self.tried: set[str] = set()
        self.last_send_arrived = False
        self.final_response: BufferedResponse | None = None
        self.placed: PlacedCall | None = None
        self.placing_time = timedelta(0)
        self.sample: TargetSample | None = None
        self.head: ResponseHead | None = None
        self.end = ""

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the call."""
        return self._possible_runs > 0

    @property
    def _idempotent(self) -> bool:
        return self._task.route.kind is RouteKind.IDEMPOTENT

    def begin(self, target_id: str) -> None:
        """Records that the call is sent to a target."""
        self._send_count += 1
        self._is_sending = True
        self.last_send_arrived = True
        self.tried.add(target_id)

    def get_send_timeout(self) -> timedelta:
        """Returns the timeout of the current send."""
        remaining = max(timedelta(0), self._task.remaining)
        if not self._idempotent or not self._has_attempts_left(1):
            return remaining
        return min(remaining, self._task.route.objective * RETRY_TIMEOUT_FACTOR)

    def record_not_reached(self) -> None:
        """Records that a send did not reach its target."""
        self.last_send_arrived = False
        self._is_sending = False

    def record_not_run(self) -> None:
        """Records that a send arrived at its target, which did not run it."""
        self._is_sending = False

    def record_unknown_outcome(self, detail: str) -> None:
        """Records a send that the target may have run."""
        self._is_sending = False
        self._possible_runs += 1
        self._unknown_outcome_detail = detail

    def record_stop(self) -> None:
        """Records that this node stops before the outcome of a send."""
        if self._is_sending:
            self.record_unknown_outcome("this node stopped before the answer")

    def record_response(self, response: BufferedResponse) -> None:
        """Records a response, which ends the call unless it is retried."""
        self._is_sending = False
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
