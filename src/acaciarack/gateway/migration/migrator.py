"""Live migration of running generations off engines that shut down.

An engine stops about two seconds after its termination notice, or its record
is removed without a notice. A migration first copies the run's KV cache while
the run continues (pre-copy). Each repetition transfers only the new tokens.
Once a pre-copy is fast, the source stops the run and sends the remaining tokens
(stop-and-copy), and the run resumes at the destination. The source's link
transfers one copy at a time, so the final copy of one run waits behind the
first copies of others. Only a fast pre-copy shows that the link is free.
"""

import math
from collections.abc import Callable, Collection, Mapping
from datetime import timedelta

import trio

from acaciarack.gateway.meters import Meters
from acaciarack.gateway.migration.copies import Copier
from acaciarack.gateway.migration.migration_order import (
    EvacuatedRuns,
    Evacuation,
)
from acaciarack.gateway.migration.runs import Cutover, Run, RunCopy
from acaciarack.gateway.requests.request_handling import to_ms
from acaciarack.gateway.scheduling.placer import Placer
from acaciarack.gateway.targets.client import (
    Copied,
    CopyBusy,
    CopyResult,
    NoRoom,
    NoSuchRun,
    Targets,
)
from acaciarack.gateway.targets.pool import DestinationRequest, TargetPool
from acaciarack.gateway.targets.target_table import TargetInstance, TargetState

STOP_AND_COPY_THRESHOLD = timedelta(milliseconds=70)
"""The stop-and-copy follows a pre-copy that takes at most this long. The pause
in the stream then stays well below the 180 ms that deployments allow."""
RETRY_DELAY = timedelta(milliseconds=40)
"""Delay before the next attempt if the source did not copy the run, or if no
destination has room."""
NO_RESPONSE_DELAY = timedelta(milliseconds=200)
"""Delay before the next attempt if the source did not respond."""
FULL_EXCLUSION_TIME = timedelta(milliseconds=400)
"""How long a run avoids a destination that had no room for it."""
MIN_REMAINING_TO_MIGRATE = timedelta(milliseconds=500)
"""A run that is expected to finish sooner is given this time to finish before
its migration starts."""
RECOVERY_TIMEOUT = timedelta(milliseconds=600)
"""Timeout for the recovery of a run whose stream closed and that can go on
without its copy; the caller waits meanwhile."""
MAX_RECOVERY_CALLS = 5
"""How often a run whose stream closed is stopped and copied at most, as long as
the responses are lost."""
RECOVERY_DELAY = timedelta(milliseconds=20)
"""The delay before such a call is repeated; it doubles each time."""
BUSY_DELAY = timedelta(milliseconds=200)
"""The delay before such a call is repeated while the source copies the run."""
STOP_DEADLINE = timedelta(milliseconds=1100)
"""From this time after the notice, the stop-and-copy follows any successful
pre-copy. A long pause is better than the loss of the run: engines may stop
1.5 s after the notice."""
STANDBY_MIGRATION_WINDOW = timedelta(milliseconds=130)
"""For this long after the notice, only runs with a standby copy migrate. Each
transfers about a hundred missing tokens, which takes 10 to 30 ms. A run whose
pre-copy takes longer than this waits for its turn."""
STANDBY_SUSPENSION = timedelta(seconds=2)
"""For this long after a notice, the node makes no standby copies, because they
would share links with the migrating runs. Equals the longest known notice."""
STANDBY_CHECK_INTERVAL = timedelta(milliseconds=400)
"""How often a run's standby copy is checked."""
STANDBY_MAX_AGE = timedelta(milliseconds=2500)
"""Age at which a standby copy is refreshed. Engines drop copies that are 5 s
old. The tokens of 2.5 s are transferred in about 20 ms."""
STANDBY_MIN_REMAINING = timedelta(milliseconds=1500)
"""A run that is expected to finish sooner gets no standby copy."""


class Migrator:
    """Migrates the runs of this node off engines and peers that leave.

    Attributes:
        evacuated_runs: the runs that no longer wait for their engine's link.
    """

    def __init__(
        self,
        *,
        pool: TargetPool,
        placer: Placer,
        targets: Targets,
        evacuated_runs: EvacuatedRuns,
        meters: Meters,
        is_node_leaving: Callable[[str], bool] = lambda name: False,
    ) -> None:
        """Creates a migrator.

        Args:
            pool: the targets.
            placer: finds destinations.
            targets: the client for targets.
            evacuated_runs: the runs that no longer wait for a link.
            meters: counts copies.
            is_node_leaving: returns whether the named peer drains.
        """
        self._is_node_leaving = is_node_leaving
        self.evacuated_runs = evacuated_runs
        self._pool = pool
        self._placer = placer
        self._targets = targets
        self._copier = Copier(pool=pool, targets=targets, meters=meters)
        self._evacuations: dict[int, Evacuation] = {}

    async def supervise(self, run: Run) -> None:
        """Migrates a run each time it must move, until cancelled.

        Maintains a standby copy of the run in the meantime.
        """
        try:
            while run.spec.moves:
                instance = run.instance
                if run.copy.destination is instance:
                    # The run has resumed from its copy.
                    self._copier.release(run)
                await self._maintain_standby(run, instance)
                if run.instance is not instance:
                    # The stream closed early, and the run resumed elsewhere.
                    await self._copier.discard(run)
                    continue
                if not instance.leave_event.is_set():
                    await self._leave_carrier(run, instance)
                    continue
                run.task.log(
                    "engine is leaving",
                    target=instance.target.id,
                    state=str(instance.target_state),
                    events=run.events,
                    notice_age_ms=to_ms(
                        run.task.elapsed() - instance.changed_at
                    ),
                    standby=run.copy.memory is not None,
                )
                if not await self._migrate_with_standby(run, instance):
                    if run.instance is instance:
                        await self._await_turn(run, instance)
                    await self._migrate(run, instance)
                await self._end_migration(run, instance)
        finally:
            if run.instance.leave_event.is_set():
                self.evacuated_runs.add(run.task.request.id)
            if run.cutover is None:
                await self._copier.discard(run)

    async def _leave_carrier(self, run: Run, instance: TargetInstance) -> None:
        """Migrates a run whose stream passes through a peer that drains.

        The engine drops the run when the peer closes its connection.
        """
        if run.carrier is None:
            return
        run.task.log(
            "peer of a stream is leaving",
            target=instance.target.id,
            carrier=run.carrier.name,
            events=run.events,
        )
        await self._migrate(run, instance)
        await self._end_migration(run, instance)

    async def _end_migration(self, run: Run, instance: TargetInstance) -> None:
        """Waits until a migrated run has resumed, and frees what it reserved.

        A run that may be stopped still needs its copy.
        """
        while run.is_moving:
            await run.state_changed.park()
        if run.copy.resumptions != run.resumptions:
            await self._copier.discard(run)
        elif not run.may_be_stopped or run.instance is not instance:
            self._copier.release(run)
        await trio.sleep(RETRY_DELAY.total_seconds())

    def _must_move(self, run: Run, instance: TargetInstance) -> bool:
        """Returns whether a run's engine, or the peer on the way, leaves."""
        return instance.leave_event.is_set() or (
            run.carrier is not None and self._is_node_leaving(run.carrier.name)
        )

    async def _maintain_standby(
        self, run: Run, instance: TargetInstance
    ) -> None:
        """Maintains a standby copy of a run until it must move.

        The copy is kept only while the destination has free memory. It makes
        the migration short, and it survives a crash of the source engine.
        """
        while run.instance is instance and not self._must_move(run, instance):
            with trio.move_on_after(STANDBY_CHECK_INTERVAL.total_seconds()):
                await instance.leave_event.wait()
                return
            destination = run.copy.destination
            if destination is not None and (
                not self._may_resume(run, run.copy)
                or self._pool.should_evict_standby(destination, run.spec)
            ):
                await self._copier.discard(run)
            if self._pool.target_table.has_recent_departure(
                instance.target.service, STANDBY_SUSPENSION
            ):
                # Runs without a standby copy need the links.
                continue
            if (
                run.events
                and run.estimate_remaining_time() >= STANDBY_MIN_REMAINING
            ):
                await self._refresh_standby(run, instance)

    async def _refresh_standby(
        self, run: Run, instance: TargetInstance
    ) -> None:
        """Makes a standby copy, or refreshes an old one."""
        age = run.task.elapsed() - run.copy.made_at
        if run.copy.memory is not None and age < STANDBY_MAX_AGE:
            return
        if run.copy.destination is None:
            destination = await self._choose_destination(run, standby=True)
            if destination is None or run.instance is not instance:
                return
            self._copier.reserve(run, destination, standby=True)
        assert run.copy.destination is not None
        result, _ = await self._copier.pre_copy(
            run, instance, run.copy.destination
        )
        if isinstance(result, Copied):
            run.copy.memory = result.memory
            run.copy.made_at = run.task.elapsed()
        else:
            await self._copier.discard(run)

    async def recover(self, run: Run) -> None:
        """Recovers a run whose stream closed early.

        Makes a stop-and-copy if the engine still has the run: the connection
        may have failed while the engine is healthy. If the engine is gone or
        has lost the run, uses the standby copy. Sets ``run.cutover`` on
        success.
        """
        if not run.spec.moves or not run.events:
            return
        destination = run.copy.destination
        if destination is None or not self._may_resume(run, run.copy):
            destination = await self._choose_destination(run)
        if destination is None:
            return
        result = await self._stop_again(run, run.instance, destination)
        # A run that can begin anew does so if the calls are lost.
        has_no_answer = (
            result is None
            and not run.is_moving
            and not run.task.route.resumable
        )
        copy = run.copy
        if (
            (isinstance(result, NoSuchRun) or has_no_answer)
            and copy.memory is not None
            and copy.destination is not None
            and self._may_resume(run, copy)
        ):
            # The engine is gone, has lost the run or drops it with its closed
            # stream; only the standby copy remains.
            run.task.log(
                "resuming from the standby copy",
                target=copy.destination.target.id,
            )
            run.set_cutover(
                Cutover(
                    destination=copy.destination,
                    memory=copy.memory,
                    stopped_at=run.task.elapsed(),
                )
            )

    async def recover_resumed(
        self, run: Run, instance: TargetInstance
    ) -> Cutover | None:
        """Moves a run off a target whose answer to its resumption is unusable.

        The target may run it until the connection of the answer is closed.

        Returns:
            Where the run resumes; ``None`` if the target does not run it.
        """
        destination = await self._choose_destination(
            run, exclude=[instance.target.id]
        )
        await self._stop_again(run, instance, destination or run.instance)
        return run.take_cutover()

    async def _stop_again(
        self, run: Run, source: TargetInstance, destination: TargetInstance
    ) -> CopyResult | None:
        """Makes a stop-and-copy, and repeats it while it gets no response.

        A response that is lost may have stopped the run, so that only another
        call can say where it goes on. A copy in progress at the source ends
        before the run can be stopped. A run that cannot go on without its copy
        is waited for as long as its caller waits.
        """
        result: CopyResult | None = None
        timeout = math.inf
        if run.task.route.resumable:
            timeout = RECOVERY_TIMEOUT.total_seconds()
        with trio.move_on_after(timeout):
            calls = 0
            while calls < MAX_RECOVERY_CALLS:
                # The migration may stop the run at the same time.
                await run.wait_for_stop()
                if run.cutover is not None:
                    return None
                result = await self._copier.stop_and_copy(
                    run, source, destination
                )
                if isinstance(result, CopyBusy):
                    await trio.sleep(BUSY_DELAY.total_seconds())
                    continue
                if result is not None:
                    break
                delay = RECOVERY_DELAY * 2**calls
                calls += 1
                await trio.sleep(delay.total_seconds())
        return result

    def complete_migration(self, run: Run, instance: TargetInstance) -> None:
        """Records that a run has resumed at a target."""
        loads = self._pool.loads
        if run.instance is not instance:
            loads.remove_generation(run.instance.target.id, run.generation)
            loads.add_generation(instance.target.id, run.generation)
            run.instance = instance
            run.migrations += 1
        run.record_resumption()

    async def _migrate_with_standby(
        self, run: Run, source: TargetInstance
    ) -> bool:
        """Migrates a run to its standby copy, ahead of runs without one.

        Returns:
            Whether the source has stopped the run; if not, the run waits for
            its turn.
        """
        copy = run.copy
        age = run.task.elapsed() - source.changed_at
        if (
            copy.memory is None
            or copy.destination is None
            or not self._may_resume(run, copy)
            or age > STANDBY_MIGRATION_WINDOW
        ):
            return False
        result, duration = await self._copier.pre_copy(
            run, source, copy.destination
        )
        if (
            run.instance is not source
            or run.is_moving
            or not isinstance(result, Copied)
            or duration > STANDBY_MIGRATION_WINDOW
            or not self._may_resume(run, copy)
        ):
            return False
        result = await self._copier.stop_and_copy(run, source, copy.destination)
        if not isinstance(result, Copied | NoRoom):
            return False
        self.evacuated_runs.add(run.task.request.id)
        await self._copier.cancel_read(run)
        return True

    async def _await_turn(self, run: Run, instance: TargetInstance) -> None:
        """Waits for the run's turn on the link of the leaving engine.

        Waits at most until the planned latest start of the run's migration.
        """
        run_id = run.task.request.id
        if (
            run.events
            and run.estimate_remaining_time() < MIN_REMAINING_TO_MIGRATE
        ):
            self.evacuated_runs.add(run_id)
            await trio.sleep(MIN_REMAINING_TO_MIGRATE.total_seconds())
            return
        evacuation = await self._get_evacuation(run, instance)
        window_left = (
            instance.changed_at + STANDBY_MIGRATION_WINDOW - run.task.elapsed()
        )
        if window_left > timedelta(0):
            await trio.sleep(window_left.total_seconds())
        latest_start = (
            instance.changed_at
            + STANDBY_MIGRATION_WINDOW
            + evacuation.get_latest_start(run_id)
        )
        wait = latest_start - run.task.elapsed()
        if wait > timedelta(0):
            with trio.move_on_after(wait.total_seconds()):
                await self.evacuated_runs.wait_for(
                    evacuation.list_preceding(run_id)
                )

    async def _get_evacuation(
        self, run: Run, instance: TargetInstance
    ) -> Evacuation:
        """Returns the migration order of an engine, planned by the first call.

        Also deletes the orders of engines that are gone.
        """
        evacuation = self._evacuations.get(id(instance))
        if evacuation is None:
            evacuation = Evacuation(instance=instance)
            self._evacuations = {
                key: entry
                for key, entry in self._evacuations.items()
                if entry.instance.target_state is not TargetState.GONE
            }
            self._evacuations[id(instance)] = evacuation
            if self._pool.target_table.try_call(instance):
                await evacuation.plan(self._targets, run.spec, run.task.elapsed)
            else:
                evacuation.planned.set()
        await evacuation.planned.wait()
        return evacuation

    async def _migrate(self, run: Run, source: TargetInstance) -> None:
        """Repeats pre-copies until the stop-and-copy is due, then makes it."""
        full_until: dict[str, timedelta] = {}
        # An engine cannot copy a run before its first event.
        await run.started.wait()
        while (
            run.instance is source
            and not run.is_moving
            and self._must_move(run, source)
        ):
            if run.copy.destination is not None and not self._may_resume(
                run, run.copy
            ):
                await self._copier.discard(run)
            if run.copy.destination is None:
                chosen = await self._choose_destination(
                    run, exclude=_list_full(full_until, run.task.elapsed())
                )
                if run.instance is not source or run.is_moving:
                    # The stream closed early, and its recovery goes on.
                    return
                self._reserve_unless_copied(run, chosen)
            destination = run.copy.destination
            if destination is None:
                await trio.sleep(RETRY_DELAY.total_seconds())
                continue
            result, duration = await self._copier.pre_copy(
                run, source, destination
            )
            if run.instance is not source or run.is_moving:
                # The run was lost and resumes, or has resumed elsewhere.
                return
            if isinstance(result, Copied):
                run.copy.memory = result.memory
                if self._should_stop(run, source, duration):
                    await self._copier.stop_and_copy(run, source, destination)
                    self.evacuated_runs.add(run.task.request.id)
                    await self._copier.cancel_read(run)
                    return
            elif isinstance(result, NoRoom):
                excluded_until = run.task.elapsed() + FULL_EXCLUSION_TIME
                full_until[destination.target.id] = excluded_until
                await self._copier.discard(run)
                await trio.sleep(RETRY_DELAY.total_seconds() / 4)
            else:
                delay = RETRY_DELAY if result else NO_RESPONSE_DELAY
                await trio.sleep(delay.total_seconds())

    def _reserve_unless_copied(
        self, run: Run, chosen: TargetInstance | None
    ) -> None:
        """Reserves a destination, unless a check has found one meanwhile."""
        if run.copy.destination is None:
            self._copier.reserve(run, chosen)

    def _should_stop(
        self,
        run: Run,
        source: TargetInstance,
        duration: timedelta,
    ) -> bool:
        """Returns whether the stop-and-copy follows a pre-copy.

        It does not if the destination has announced that it leaves, or was
        evacuated, while the copy was made.

        Args:
            run: the run.
            source: its engine.
            duration: how long the pre-copy took.
        """
        age = run.task.elapsed() - source.changed_at
        return self._may_resume(run, run.copy) and (
            duration <= STOP_AND_COPY_THRESHOLD or age >= STOP_DEADLINE
        )

    async def _choose_destination(
        self,
        run: Run,
        *,
        exclude: Collection[str] = (),
        standby: bool = False,
    ) -> TargetInstance | None:
        """Chooses another engine for a copy of a run."""
        source = run.instance.target
        return await self._placer.choose_destination(
            DestinationRequest(
                service=source.service,
                spec=run.spec,
                generation=run.generation,
                data_centre=source.data_centre,
                exclude=frozenset({source.id, *exclude}),
                standby=standby,
                gap_objective=run.task.route.gap_objective,
                regions=run.task.regions,
            )
        )

    def _may_resume(self, run: Run, copy: RunCopy) -> bool:
        """Returns whether a run may resume from its copy.

        A copy of a run that has begun anew since lacks what the caller has got
        since then. The scheduler grants a place to a copy that migrates, but
        none to a standby copy, so none of these is used at a cold engine.
        """
        destination = copy.destination
        table = self._pool.target_table
        return (
            destination is not None
            and copy.resumptions == run.resumptions
            and table.may_receive(destination, run.task.regions)
            and not (copy.is_standby and table.is_cold(destination))
        )


def _list_full(
    full_until: Mapping[str, timedelta], now: timedelta
) -> list[str]:
    """Returns the targets that had no room for a run a moment ago."""
    return [target_id for target_id, until in full_until.items() if until > now]
