"""Opens the streams of runs at targets, and classifies what they answer."""

from dataclasses import dataclass
from functools import partial

import trio

from acaciarack.gateway.evidence.crash_detection import CrashDetector
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.requests.stream_handling import (
    get_stall_timeout,
    get_urgency,
)
from acaciarack.gateway.targets.client import (
    AnswerLostError,
    CopiedMemory,
    ForwardOptions,
    NotReachedError,
    TargetError,
    TargetResponse,
    TargetRestrictedError,
    Targets,
)
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance


@dataclass(frozen=True, kw_only=True)
class NotRun:
    """The result if the target did not run the request.

    Attributes:
        reached_target: whether the target received the request.
    """

    reached_target: bool


@dataclass(frozen=True, kw_only=True)
class LostHead:
    """The result if a target may have run the request without a valid head."""

    detail: str


class StreamOpener:
    """Opens streams after the last event that their callers have."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        crash_detector: CrashDetector,
    ) -> None:
        self._pool = pool
        self._targets = targets
        self._crash_detector = crash_detector

    async def open(
        self, run: Run, instance: TargetInstance
    ) -> TargetResponse | NotRun | LostHead:
        """Sends the request to an engine that has no copy of the run.

        Returns:
            The response if its head is verified, with any status.
        """
        target, task = instance.target, run.task
        failures = self._pool.failure_tracker
        try:
            response = await self.send(run, instance)
        except TargetRestrictedError:
            task.log("target restricted", target=target.id)
            return NotRun(reached_target=False)
        except NotReachedError:
            failures.record_failure(target.id, weight=3, broadcast=True)
            self._pool.target_table.record_unreachable(instance)
            task.log("target not reached", target=target.id)
            return NotRun(reached_target=False)
        except TargetError as error:
            failures.record_failure(target.id, broadcast=True)
            # Most of such requests were queued, with segments that are sound.
            self._crash_detector.report_lost_run(
                instance, frozenset({task.fingerprint})
            )
            task.log(
                "response lost",
                target=target.id,
                fingerprint=task.fingerprint.hex(),
                outcome=type(error).__name__,
            )
            return LostHead(detail=str(error))
        head = response.head
        if head.not_run:
            await response.aclose()
            failures.record_failure(target.id, weight=0.5)
            task.log(
                "target did not run the request",
                target=target.id,
                status=head.status,
            )
            return NotRun(reached_target=True)
        if not head.is_verified:
            await response.aclose()
            failures.record_failure(target.id, broadcast=True)
            task.log(
                "unverified response", target=target.id, status=head.status
            )
            return LostHead(detail="the answer bears no proof")
        return response

    async def send(
        self,
        run: Run,
        instance: TargetInstance,
        *,
        memory: CopiedMemory | None = None,
    ) -> TargetResponse:
        """Sends the request and waits for the head of the response.

        On a resumable route, a target that sends no head for the time of a
        stall counts as lost, since another one can take over.

        Raises:
            TargetError: there is no response.
        """
        task = run.task
        options = ForwardOptions(
            remaining=task.remaining,
            organisation=task.organisation,
            memory=memory,
            last_event=run.last_event,
            urgency=get_urgency(task),
            may_send=partial(
                self._pool.target_table.restrictions.allows,
                instance.target,
                task.regions,
            ),
            regions=task.regions,
        )
        if not task.route.resumable:
            return await self._targets.open(
                instance.target, task.request, options
            )
        timeout = get_stall_timeout(task.route).total_seconds()
        with trio.move_on_after(timeout):
            return await self._targets.open(
                instance.target, task.request, options
            )
        raise AnswerLostError(f"no response head for {timeout} s")
