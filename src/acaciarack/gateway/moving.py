"""Moves running generations off engines that leave.

Answers engines that end about two seconds after their notice, or whose entry
just goes. The memory is copied while the run goes on, again and again until
a copy brings so little that the pause of the last one is short; then the run
stops at its source and goes on at the destination. Copies off one engine run
one after the other on its link, so the last copy of one run waits behind the
first copies of others: only a copy that came back fast shows a free link.
"""

from datetime import timedelta

import trio

from acaciarack.gateway.copying import Copier
from acaciarack.gateway.evacuation import Done, Evacuation
from acaciarack.gateway.meters import Meters
from acaciarack.gateway.pool import TargetPool
from acaciarack.gateway.roster import Member, Standing
from acaciarack.gateway.runs import Cutover, Run
from acaciarack.gateway.serving import to_ms
from acaciarack.gateway.targets import (
    Copied,
    CopyVerdict,
    NoRoom,
    NoSuchRun,
    Targets,
)

FAST_COPY = timedelta(milliseconds=70)
"""A copy that comes back within this time lets the last one follow: the pause
that it leaves stays well under the 180 ms that the deployments allow."""
RETRY_PAUSE = timedelta(milliseconds=40)
"""Between copies that found no run or no room."""
LOST_PAUSE = timedelta(milliseconds=200)
"""Between copies that the engine did not answer."""
NO_ROOM_TIME = timedelta(milliseconds=400)
"""How long a destination without room is left out."""
SHORT_REST = timedelta(milliseconds=500)
"""A run that is expected to end within this time is left to end."""
RESCUE_TIME = timedelta(milliseconds=600)
"""The longest rescue of a run whose stream closed; the caller waits."""
LATEST_STOP = timedelta(milliseconds=1100)
"""From the notice on, runs stop after any copy: a pause is late, a run that
is still there when the engine goes is lost. Engines go 1.5 s after it."""
QUICK_TIME = timedelta(milliseconds=130)
"""From the notice on, runs with a standby copy move first: each lacks some
hundred tokens, which take 10 to 30 ms."""
QUIET_TIME = timedelta(seconds=2)
"""After a notice no standby copies are made, which would share links with the
runs that move; as long as the longest notice known."""
STANDBY_TICK = timedelta(milliseconds=400)
"""How often a run's standby copy is looked at."""
STANDBY_REFRESH = timedelta(milliseconds=2500)
"""The age at which it is brought up to date: engines drop copies that are
5 s old, and 2.5 s of tokens are moved in some 20 ms."""
STANDBY_REST = timedelta(milliseconds=1500)
"""A run that is expected to end sooner gets no copy."""


class Mover:
    """Moves this node's runs."""

    def __init__(
        self,
        *,
        pool: TargetPool,
        targets: Targets,
        done: Done,
        meters: Meters,
    ) -> None:
        self.done = done
        self._pool = pool
        self._targets = targets
        self._copier = Copier(pool=pool, targets=targets, meters=meters)
        self._evacuations: dict[int, Evacuation] = {}

    async def follow(self, run: Run) -> None:
        """Moves a run whenever its engine leaves, until cancelled."""
        try:
            while run.facts.moves:
                member = run.member
                await self._keep_standby(run, member)
                if run.member is not member:
                    # The copy was used when the engine crashed.
                    self._copier.release(run)
                    continue
                run.task.log(
                    "engine leaves",
                    target=member.target.id,
                    state=str(member.standing),
                    events=run.events,
                    notice_age_ms=to_ms(run.task.elapsed() - member.since),
                    standby=run.copy.memory is not None,
                )
                if not await self._move_quickly(run, member):
                    await self._await_turn(run, member)
                    await self._move(run, member)
                while run.stopping:
                    await run.changed.park()
                self._copier.release(run)
                await trio.sleep(RETRY_PAUSE.total_seconds())
        finally:
            if run.member.leaves.is_set():
                self.done.add(run.task.request.id)
            if run.cutover is None:
                await self._copier.abandon(run)

    async def _keep_standby(self, run: Run, member: Member) -> None:
        """Keeps a copy of a run while memory is free, until its engine leaves.

        The copy makes the move short, and outlives an engine that crashes.
        """
        while run.member is member and not member.leaves.is_set():
            with trio.move_on_after(STANDBY_TICK.total_seconds()):
                await member.leaves.wait()
                return
            destination = run.copy.destination
            if destination is not None and (
                not _is_usable(destination)
                or self._pool.is_crowded(destination, run.facts)
            ):
                await self._copier.abandon(run)
            if self._pool.roster.has_just_left(
                member.target.service, QUIET_TIME
            ):
                # The links are needed for runs that have no copy.
                continue
            if run.events and run.expect_rest() >= STANDBY_REST:
                await self._refresh(run, member)

    async def _refresh(self, run: Run, member: Member) -> None:
        """Makes a standby copy, or brings it up to date if it is old."""
        age = run.task.elapsed() - run.copy.made
        if run.copy.memory is not None and age < STANDBY_REFRESH:
            return
        if run.copy.destination is None:
            destination = self._pool.choose_for_standby(
                member,
                run.facts,
                used_tokens=run.generation.used_tokens,
            )
            if destination is None:
                return
            self._copier.reserve(run, destination, standby=True)
        assert run.copy.destination is not None
        verdict, _ = await self._copier.copy(run, member, run.copy.destination)
        if isinstance(verdict, Copied):
            run.copy.memory = verdict.memory
            run.copy.made = run.task.elapsed()
        else:
            await self._copier.abandon(run)

    async def rescue(self, run: Run) -> None:
        """Stops a run whose stream has closed, if it goes on, and copies it.

        A connection may have lapsed while the engine is well.
        """
        if not run.facts.moves or run.last_event is None:
            return
        destination = run.copy.destination or self._choose(run, exclude=set())
        if destination is None:
            return
        verdict: CopyVerdict | None = None
        with trio.move_on_after(RESCUE_TIME.total_seconds()):
            verdict = await self._copier.stop(run, run.member, destination)
        copy = run.copy
        if (
            isinstance(verdict, NoSuchRun)
            and copy.memory is not None
            and copy.destination is not None
            and _is_usable(copy.destination)
        ):
            # The engine is gone, or has lost the run; the copy is left.
            run.task.log("using the copy", target=copy.destination.target.id)
            run.cutover = Cutover(
                destination=copy.destination,
                memory=copy.memory,
                stopped=run.task.elapsed(),
            )
            run.set_stopping(True)

    def settle(self, run: Run, member: Member) -> None:
        """Notes that a run goes on at a target."""
        loads = self._pool.loads
        if run.member is not member:
            loads.remove_generation(run.member.target.id, run.generation)
            loads.add_generation(member.target.id, run.generation)
            run.member = member
            run.moves += 1
        run.set_stopping(False)

    async def _move_quickly(self, run: Run, source: Member) -> bool:
        """Moves a run whose standby copy lacks little, before all others.

        Returns:
            Whether the run has stopped; if not, it takes its turn.
        """
        copy = run.copy
        age = run.task.elapsed() - source.since
        if (
            copy.memory is None
            or copy.destination is None
            or not _is_usable(copy.destination)
            or age > QUICK_TIME
        ):
            return False
        verdict, took = await self._copier.copy(run, source, copy.destination)
        if not isinstance(verdict, Copied) or took > QUICK_TIME:
            return False
        verdict = await self._copier.stop(run, source, copy.destination)
        if not isinstance(verdict, Copied | NoRoom):
            return False
        self.done.add(run.task.request.id)
        await self._copier.end_reading(run)
        return True

    async def _await_turn(self, run: Run, member: Member) -> None:
        """Waits for the run's turn on the link of an engine that leaves."""
        run_id = run.task.request.id
        if run.events and run.expect_rest() < SHORT_REST:
            self.done.add(run_id)
            await trio.sleep(SHORT_REST.total_seconds())
            return
        evacuation = await self._plan(run, member)
        quick = member.since + QUICK_TIME - run.task.elapsed()
        if quick > timedelta(0):
            await trio.sleep(quick.total_seconds())
        latest = member.since + QUICK_TIME + evacuation.get_latest(run_id)
        wait = latest - run.task.elapsed()
        if wait > timedelta(0):
            with trio.move_on_after(wait.total_seconds()):
                await self.done.wait_for(evacuation.list_before(run_id))

    async def _plan(self, run: Run, member: Member) -> Evacuation:
        evacuation = self._evacuations.get(id(member))
        if evacuation is None:
            evacuation = Evacuation(member=member)
            self._evacuations = {
                key: known
                for key, known in self._evacuations.items()
                if known.member.standing is not Standing.GONE
            }
            self._evacuations[id(member)] = evacuation
            await evacuation.plan(self._targets, run.facts)
        await evacuation.planned.wait()
        return evacuation

    async def _move(self, run: Run, source: Member) -> None:
        """Copies until the run has stopped with a copy, or is cancelled."""
        full: dict[str, timedelta] = {}
        # Nothing of a run can be copied before its first event.
        await run.begun.wait()
        while run.member is source and not run.stopping:
            if run.copy.destination is not None and not _is_usable(
                run.copy.destination
            ):
                await self._copier.abandon(run)
            if run.copy.destination is None:
                now = run.task.elapsed()
                excluded = {s for s, until in full.items() if until > now}
                self._copier.reserve(run, self._choose(run, exclude=excluded))
            destination = run.copy.destination
            if destination is None:
                await trio.sleep(RETRY_PAUSE.total_seconds())
                continue
            verdict, took = await self._copier.copy(run, source, destination)
            if isinstance(verdict, Copied):
                run.copy.memory = verdict.memory
                age = run.task.elapsed() - source.since
                if took <= FAST_COPY or age >= LATEST_STOP:
                    await self._copier.stop(run, source, destination)
                    self.done.add(run.task.request.id)
                    await self._copier.end_reading(run)
                    return
            elif isinstance(verdict, NoRoom):
                until = run.task.elapsed() + NO_ROOM_TIME
                full[destination.target.id] = until
                await self._copier.abandon(run)
                await trio.sleep(RETRY_PAUSE.total_seconds() / 4)
            else:
                pause = RETRY_PAUSE if verdict else LOST_PAUSE
                await trio.sleep(pause.total_seconds())

    def _choose(self, run: Run, *, exclude: set[str]) -> Member | None:
        return self._pool.choose_for_move(
            run.member,
            run.facts,
            used_tokens=run.generation.used_tokens,
            exclude=exclude,
        )


def _is_usable(member: Member) -> bool:
    return member.standing in (Standing.READY, Standing.DOUBTED)
