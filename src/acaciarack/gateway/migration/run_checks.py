"""Asks engines that leave whether they still have a run.

A stream without a length ends with its connection, and so does one whose
engine exits in the middle of it. An engine that has exited answers nothing, and
its reports are some hundred milliseconds old. Its answer to a copy request is
of the moment, so it is asked after each event: the answer after the last one
says that the run has ended, if the engine outlives the run by a few
milliseconds.

A check is a copy request like any other. If the other engine has room after
all, the run has a copy there, and migrates.
"""

from collections.abc import Iterator
from datetime import timedelta

import trio

from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.migration.copies import Copier
from acaciarack.gateway.migration.runs import Run
from acaciarack.gateway.targets.client import (
    Copied,
    CopyResult,
    MalformedAnswerError,
    TargetError,
    Targets,
)
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

MAX_CHECKED_RUNS = 4
"""Runs of an engine that has more than this many are not checked: it does not
leave with the end of one of them, and the calls would be many."""
REPEAT_DELAY = timedelta(milliseconds=20)
"""The delay before a check is repeated whose answer was lost."""


class RunChecker:
    """Checks runs whose streams have no length at engines that leave."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        copier: Copier,
        meters: Meters,
    ) -> None:
        self._pool = pool
        self._targets = targets
        self._copier = copier
        self._meters = meters

    async def supervise(self, run: Run) -> None:
        """Checks a run after each of its events, until cancelled."""
        checked_events = 0
        while True:
            is_due = run.events != checked_events or run.evidence.is_doubtful
            if not is_due or not self._must_check(run):
                await run.progressed.park()
                continue
            checked_events = run.events
            with trio.CancelScope() as run.check_scope:
                if not await self._check(run):
                    checked_events = 0
                    await trio.sleep(REPEAT_DELAY.total_seconds())

    def _must_check(self, run: Run) -> bool:
        """Returns whether the end of a run's stream may need evidence.

        A run with a copy goes on from there if its end is in doubt.
        """
        instance = run.instance
        return (
            run.is_stream_open
            and not run.is_framed
            and run.events > 0
            and run.spec.moves
            and not run.is_moving
            and not run.may_be_stopped
            and run.copy.memory is None
            and instance.leave_event.is_set()
            and self._pool.loads.get_total(instance.target.id).requests
            <= MAX_CHECKED_RUNS
        )

    async def _check(self, run: Run) -> bool:
        """Asks a run's engine to copy it.

        An engine that wants no calls for a time is not asked: the few that it
        allows are for migrations.

        Returns:
            Whether the run need not be checked again before its next event.
        """
        source, evidence = run.instance, run.evidence
        destination = self._choose_destination(run)
        if destination is None or self._pool.target_table.is_paused(source):
            await trio.sleep(REPEAT_DELAY.total_seconds())
            return True
        result: CopyResult | None = None
        is_lost = False
        asked_at = run.task.elapsed()
        try:
            result = await self._targets.copy_run(
                source.target.address,
                run.task.request.id,
                destination.target.address,
                stop=False,
            )
        except TargetError as error:
            # An engine that makes no copies has another answer.
            is_lost = not isinstance(error, MalformedAnswerError)
            run.task.log(
                "run check failed", target=source.target.id, code=str(error)
            )
        self._meters.count(
            Event.RUN_CHECKS, type(result).__name__ if result else "lost"
        )
        evidence.record_answer(
            result, asked_at=asked_at, now=run.task.elapsed()
        )
        if isinstance(result, Copied):
            await self._keep_copy(run, destination, result)
        return not is_lost

    async def _keep_copy(
        self, run: Run, destination: TargetInstance, result: Copied
    ) -> None:
        """Lets the run migrate to its copy, unless it has another one."""
        if run.copy.destination is None:
            self._copier.reserve(run, destination)
        if run.copy.destination is destination:
            run.copy.memory = result.memory
        else:
            await self._copier.drop(run, result.memory)

    def _choose_destination(self, run: Run) -> TargetInstance | None:
        """Returns an engine to which the run might be copied.

        Takes one after the other, as any of them may have room by now.
        """
        if run.copy.destination is not None:
            return run.copy.destination
        candidates = list(self._list_candidates(run))
        if not candidates:
            return None
        return candidates[run.events % len(candidates)]

    def _list_candidates(self, run: Run) -> Iterator[TargetInstance]:
        table = self._pool.target_table
        for instance in table.list_usable(
            run.task.service.name, regions=run.task.regions
        ):
            if instance is not run.instance and not table.is_cold(instance):
                yield instance
