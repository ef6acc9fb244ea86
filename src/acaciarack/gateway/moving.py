"""Moves running generations off engines that leave.

Answers engines that end about two seconds after their notice, or whose entry
just goes. The memory is copied while the run goes on, again and again until
a copy brings so little that the pause of the last one is short; then the run
stops at its source and goes on at the destination. Copies off one engine run
one after the other on its link, so the last copy of one run waits behind the
first copies of others: only a copy that came back fast shows a free link.
"""

from dataclasses import dataclass, field
from datetime import timedelta

import trio

from acaciarack.gateway.backends import (
    BackendError,
    Backends,
    Copied,
    CopiedMemory,
    CopyVerdict,
    NoRoom,
    NoSuchRun,
)
from acaciarack.gateway.facts import EngineFacts
from acaciarack.gateway.loads import Generation
from acaciarack.gateway.pool import ServerPool
from acaciarack.gateway.roster import Member, Standing
from acaciarack.gateway.serving import Task

FAST_COPY = timedelta(milliseconds=70)
"""A copy that comes back within this time lets the last one follow: the pause
that it leaves stays well under the 180 ms that the deployments allow."""
RETRY_PAUSE = timedelta(milliseconds=40)
"""Between copies that found no run or no room."""
NO_ROOM_TIME = timedelta(milliseconds=400)
"""How long a destination without room is left out."""
SHORT_REST = timedelta(milliseconds=500)
"""A run that is expected to end within this time is left to end."""
EVENT_TIME = timedelta(milliseconds=10)
"""The time of one token, for that expectation: a step of 7 ms and more."""
RESCUE_TIME = timedelta(milliseconds=600)
"""The longest rescue of a run whose stream closed; the requester waits."""
CLOSE_TIME = timedelta(milliseconds=100)
"""How long a stopped run's stream may take to close; some connections have
gone silent and never do."""


@dataclass(frozen=True, kw_only=True)
class Cutover:
    """A run that has stopped and goes on elsewhere.

    Attributes:
        destination: the server that holds the copy.
        memory: the copy.
        stopped: elapsed time at which the run was told to stop.
    """

    destination: Member
    memory: CopiedMemory
    stopped: timedelta


@dataclass(kw_only=True, eq=False)
class Run:
    """One generation at its present engine.

    Attributes:
        task: the request.
        facts: what the service's engines have in common.
        generation: its memory, for the load board.
        member: the present engine.
        last_event: the id of the last event passed on.
        events: events passed on.
        moves: engines that it has left.
        progress: elapsed time of the last event.
        reading: the scope in which the present stream is read.
        stopping: from the last copy until the run goes on.
        cutover: set once the run has stopped with a copy.
        changed: woken when ``stopping`` or ``cutover`` change.
    """

    task: Task
    facts: EngineFacts
    generation: Generation
    member: Member
    last_event: int | None = None
    events: int = 0
    moves: int = 0
    progress: timedelta = timedelta(0)
    reading: trio.CancelScope = field(default_factory=trio.CancelScope)
    stopping: bool = False
    cutover: Cutover | None = None
    changed: trio.lowlevel.ParkingLot = field(
        default_factory=trio.lowlevel.ParkingLot
    )

    def set_stopping(self, stopping: bool) -> None:
        """Sets ``stopping`` and wakes who waits for it."""
        self.stopping = stopping
        self.changed.unpark_all()

    def record_event(self, event_id: int) -> None:
        """Counts an event that was passed on."""
        self.last_event = event_id
        self.events += 1
        self.progress = self.task.elapsed()
        self.generation.emitted = self.events * self.facts.event_tokens

    def expect_rest(self) -> timedelta:
        """Returns the time until the run is expected to end."""
        output = self.generation.expect_tokens() - self.generation.prompt.tokens
        return EVENT_TIME * max(0, output - self.generation.emitted)


class Mover:
    """Moves this node's runs."""

    def __init__(self, *, pool: ServerPool, backends: Backends) -> None:
        self._pool = pool
        self._backends = backends

    async def follow(self, run: Run) -> None:
        """Moves a run whenever its engine leaves, until cancelled."""
        while True:
            member = run.member
            await member.leaves.wait()
            run.task.log(
                "engine leaves",
                target=member.server.id,
                state=str(member.standing),
                events=run.events,
                notice_age_ms=_to_ms(run.task.elapsed() - member.since),
            )
            if not run.facts.moves:
                await trio.sleep_forever()
            await self._move(run, member)
            while run.stopping:
                await run.changed.park()
            await trio.sleep(RETRY_PAUSE.total_seconds())

    async def rescue(self, run: Run) -> None:
        """Stops a run whose stream has closed, if it goes on, and copies it.

        A connection may have lapsed while the engine is well.
        """
        if not run.facts.moves or run.last_event is None:
            return
        destination = self._choose(run, exclude=set())
        if destination is None:
            return
        with trio.move_on_after(RESCUE_TIME.total_seconds()):
            await self._stop(run, run.member, destination)

    def settle(self, run: Run, member: Member) -> None:
        """Notes that a run goes on at a server."""
        loads = self._pool.loads
        if run.member is not member:
            loads.remove_generation(run.member.server.id, run.generation)
            loads.add_generation(member.server.id, run.generation)
            run.member = member
            run.moves += 1
        run.set_stopping(False)

    async def _move(self, run: Run, source: Member) -> None:
        """Copies until the run has stopped with a copy, or is cancelled."""
        if run.events and run.expect_rest() < SHORT_REST:
            await trio.sleep(SHORT_REST.total_seconds())
        full: dict[str, timedelta] = {}
        destination: Member | None = None
        while not run.stopping:
            now = run.task.elapsed()
            excluded = {s for s, until in full.items() if until > now}
            if destination is None or not _is_usable(destination):
                destination = self._choose(run, exclude=excluded)
            if destination is None:
                await trio.sleep(RETRY_PAUSE.total_seconds())
                continue
            verdict, took = await self._copy(run, source, destination)
            if isinstance(verdict, NoRoom):
                full[destination.server.id] = run.task.elapsed() + NO_ROOM_TIME
                destination = None
                await trio.sleep(RETRY_PAUSE.total_seconds() / 4)
            elif isinstance(verdict, Copied) and took <= FAST_COPY:
                await self._stop(run, source, destination)
                await self._end_reading(run)
                return
            elif not isinstance(verdict, Copied):
                await trio.sleep(RETRY_PAUSE.total_seconds())

    async def _end_reading(self, run: Run) -> None:
        """Ends the reading of a stopped run whose stream does not close."""
        cutover = run.cutover
        if cutover is None:
            return
        await trio.sleep(CLOSE_TIME.total_seconds())
        if run.cutover is cutover:
            run.reading.cancel()

    async def _copy(
        self, run: Run, source: Member, destination: Member
    ) -> tuple[CopyVerdict | None, timedelta]:
        """Copies once while the run goes on; ``None`` if nobody answered."""
        began = run.task.elapsed()
        verdict: CopyVerdict | None = None
        code = ""
        # The destination's room is taken from here on.
        loads = self._pool.loads
        loads.add_generation(destination.server.id, run.generation)
        try:
            verdict = await self._backends.copy_run(
                source.server.address,
                run.task.request.id,
                destination.server.address,
                stop=False,
            )
        except BackendError as error:
            code = str(error)
        finally:
            loads.remove_generation(destination.server.id, run.generation)
        took = run.task.elapsed() - began
        run.task.log(
            "copied" if isinstance(verdict, Copied) else "not copied",
            target=source.server.id,
            targets=[destination.server.id],
            outcome=type(verdict).__name__ if verdict else code,
            took_ms=_to_ms(took),
            events=run.events,
        )
        return verdict, took

    async def _stop(
        self, run: Run, source: Member, destination: Member
    ) -> None:
        """Makes the last copy; sets ``cutover`` if the run has stopped."""
        began = run.task.elapsed()
        run.set_stopping(True)
        try:
            verdict = await self._backends.copy_run(
                source.server.address,
                run.task.request.id,
                destination.server.address,
                stop=True,
            )
        except BackendError as error:
            run.task.log(
                "stop failed", target=source.server.id, code=str(error)
            )
            verdict = NoSuchRun()
        finally:
            if run.cutover is None:
                run.set_stopping(False)
        run.task.log(
            "stopped",
            target=source.server.id,
            targets=[destination.server.id],
            outcome=type(verdict).__name__,
            took_ms=_to_ms(run.task.elapsed() - began),
        )
        memory: CopiedMemory | None = None
        if isinstance(verdict, Copied):
            memory = verdict.memory
        elif isinstance(verdict, NoRoom):
            # The source has stopped the run and keeps its memory.
            memory, destination = verdict.memory, source
        if memory is not None:
            run.cutover = Cutover(
                destination=destination, memory=memory, stopped=began
            )
            run.set_stopping(True)

    def _choose(self, run: Run, *, exclude: set[str]) -> Member | None:
        return self._pool.choose_for_move(
            run.member,
            run.facts,
            needed_tokens=run.generation.expect_tokens(),
            exclude=exclude,
        )


def _is_usable(member: Member) -> bool:
    return member.standing in (Standing.READY, Standing.DOUBTED)


def _to_ms(duration: timedelta) -> int:
    return round(duration.total_seconds() * 1000)
