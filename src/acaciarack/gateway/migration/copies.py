"""Copies the KV cache of runs to other engines, and frees unused copies."""

from datetime import timedelta

import trio

from acaciarack.gateway.meters import Event, Meters
from acaciarack.gateway.migration.runs import Cutover, Run, RunCopy, StopCall
from acaciarack.gateway.requests.request_handling import to_ms
from acaciarack.gateway.targets.client import (
    Copied,
    CopiedMemory,
    CopyBusy,
    CopyResult,
    NoRoom,
    NoSuchRun,
    NotReachedError,
    TargetError,
    Targets,
)
from acaciarack.gateway.targets.pool import TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance

DROP_TIMEOUT = timedelta(milliseconds=200)
"""Timeout for freeing a copy."""
CLOSE_TIMEOUT = timedelta(milliseconds=100)
"""How long the stream of a stopped run may take to close. Some connections are
dead and never close."""
RESUMABLE_STOP_TIMEOUT = timedelta(seconds=6)
"""Timeout for stopping and copying a run that can go on without the copy."""


class Copier:
    """Makes copies of runs and reserves memory for them."""

    def __init__(
        self, *, pool: TargetPool, targets: Targets, meters: Meters
    ) -> None:
        self._pool = pool
        self._targets = targets
        self._meters = meters

    def reserve(
        self,
        run: Run,
        destination: TargetInstance | None,
        *,
        standby: bool = False,
    ) -> None:
        """Reserves memory for a run at its destination.

        Unless the copy is a standby, the run no longer counts towards the load
        of its source. The source admits no new runs, so its remaining load is
        exactly the runs that have no destination yet.
        """
        run.copy = RunCopy(
            destination=destination,
            is_standby=standby,
            resumptions=run.resumptions,
        )
        if destination is None:
            return
        loads = self._pool.loads
        if standby:
            loads.add_standby_copy(destination.target.id, run.generation)
            return
        loads.add_generation(destination.target.id, run.generation)
        loads.remove_generation(run.instance.target.id, run.generation)

    def release(self, run: Run) -> None:
        """Releases the reservation, unless the run resumed at its destination.

        Unless the copy is a standby, the run counts towards the load of its
        source again.
        """
        copy, run.copy = run.copy, RunCopy()
        loads = self._pool.loads
        if copy.destination is None:
            return
        if copy.is_standby:
            loads.remove_standby_copy(
                copy.destination.target.id, run.generation
            )
        elif copy.destination is not run.instance:
            loads.remove_generation(copy.destination.target.id, run.generation)
            loads.add_generation(run.instance.target.id, run.generation)

    async def discard(self, run: Run) -> None:
        """Releases the reservation and frees the copy at both ends."""
        memory = run.copy.memory
        self.release(run)
        if memory is not None:
            await self.drop(run, memory)

    async def drop(self, run: Run, memory: CopiedMemory) -> None:
        """Frees a copy at both ends, if its source answers in time."""
        with trio.move_on_after(DROP_TIMEOUT.total_seconds(), shield=True):
            try:
                await self._targets.drop_copy(memory)
            except TargetError as error:
                run.task.log("copy not freed", code=str(error))

    async def pre_copy(
        self, run: Run, source: TargetInstance, destination: TargetInstance
    ) -> tuple[CopyResult | None, timedelta]:
        """Copies a run once while it continues.

        Returns:
            The result and the duration. The result is ``None`` if the source
            sent no valid response, or is paused.
        """
        started_at = run.task.elapsed()
        result: CopyResult | None = None
        code = ""
        if not self._pool.target_table.try_call(source):
            return None, timedelta(0)
        evidence = run.evidence
        try:
            result = await self._targets.copy_run(
                source.target.address,
                run.task.request.id,
                destination.target.address,
                stop=False,
            )
        except TargetError as error:
            code = str(error)
        now = run.task.elapsed()
        evidence.record_answer(result, asked_at=started_at, now=now)
        run.progressed.unpark_all()
        duration = now - started_at
        self._meters.count(
            Event.COPIES, type(result).__name__ if result else "lost"
        )
        run.task.log(
            "pre-copy finished"
            if isinstance(result, Copied)
            else "pre-copy failed",
            target=source.target.id,
            targets=[destination.target.id],
            outcome=type(result).__name__ if result else code,
            took_ms=to_ms(duration),
            events=run.events,
        )
        return result, duration

    async def stop_and_copy(
        self, run: Run, source: TargetInstance, destination: TargetInstance
    ) -> CopyResult | None:
        """Stops a run and makes the final copy.

        Sets ``run.cutover`` if the source has stopped the run, and
        ``run.may_be_stopped`` if it may have done so. If the run has gone on
        without the copy in the meantime, frees the copy instead.

        Returns:
            The result. It is ``NoSuchRun`` if the source cannot be reached, and
            ``None`` if the source sent no valid response or is paused, or if
            the run has gone on without the copy.
        """
        if not self._pool.target_table.try_call(source):
            return None
        call = run.begin_stop()
        result: CopyResult | None = None
        cutover: Cutover | None = None
        holds = False
        try:
            with trio.move_on_after(_get_stop_timeout(run)):
                result = await self._targets.copy_run(
                    source.target.address,
                    run.task.request.id,
                    destination.target.address,
                    stop=True,
                )
            cutover = _find_cutover(result, call, source, destination)
        except TargetError as error:
            if isinstance(error, NotReachedError):
                result = NoSuchRun()
            run.task.log(
                "stop-and-copy failed", target=source.target.id, code=str(error)
            )
        finally:
            holds = run.end_stop(
                call,
                may_be_stopped=not isinstance(result, NoSuchRun | CopyBusy),
                cutover=cutover,
            )
            run.progressed.unpark_all()
        run.task.log(
            "stop-and-copy finished",
            target=source.target.id,
            targets=[destination.target.id],
            outcome=type(result).__name__,
            took_ms=to_ms(run.task.elapsed() - call.began_at),
            state="used" if holds else "too late",
        )
        if holds:
            if cutover is not None and run.copy.destination is destination:
                run.copy.memory = cutover.memory
            return result
        if cutover is not None:
            await self.drop(run, cutover.memory)
        return None

    async def cancel_read(self, run: Run) -> None:
        """Cancels the read of a stopped run whose stream does not close."""
        cutover = run.cutover
        if cutover is None:
            return
        await trio.sleep(CLOSE_TIMEOUT.total_seconds())
        if run.cutover is cutover:
            run.read_scope.cancel()


def _get_stop_timeout(run: Run) -> float:
    """Returns how many seconds a call that stops a run may take.

    A copy may wait behind others, and a stopped run has nothing but its copy,
    so it is waited for as long as the caller waits. On a resumable route the
    run can go on without the copy.
    """
    if run.task.route.resumable:
        return RESUMABLE_STOP_TIMEOUT.total_seconds()
    return max(0.0, run.task.remaining.total_seconds())


def _find_cutover(
    result: CopyResult | None,
    call: StopCall,
    source: TargetInstance,
    destination: TargetInstance,
) -> Cutover | None:
    """Returns where a run resumes; ``None`` if the call has not stopped it."""
    if isinstance(result, Copied):
        memory: CopiedMemory | None = result.memory
    elif isinstance(result, NoRoom):
        # The source has stopped the run but keeps its KV cache, so the run can
        # resume there.
        memory, destination = result.memory, source
    else:
        memory = None
    if memory is None:
        return None
    return Cutover(
        destination=destination, memory=memory, stopped_at=call.began_at
    )
