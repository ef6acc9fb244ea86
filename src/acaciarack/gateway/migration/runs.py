"""The state of a generation that runs on an engine, and of its copies.

A run goes on in one continuation after the other: at first on the engine that
began it, then wherever it resumes. The outcome of a call that stops a run holds
for the continuation in which the call began, and for no later one.
"""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.migration.run_evidence import RunEvidence
from acaciarack.gateway.requests.request_handling import Task
from acaciarack.gateway.spec import EngineSpec
from acaciarack.gateway.targets.client import (
    Carrier,
    CopiedMemory,
    ResponseHead,
)
from acaciarack.gateway.targets.target_table import TargetInstance

TOKEN_TIME = timedelta(milliseconds=10)
"""Estimated decode time of one token; a decode step takes 7 ms or more."""


class RunState(enum.StrEnum):
    """How far a run is on its way from one engine to the next.

    Attributes:
        RUNNING: its engine runs it, or has ended it.
        STOPPING: a call that stops and copies it is in progress.
        STOPPED: the call has stopped it; ``cutover`` says where it resumes.
        RESUMING: a target is asked to resume it.
    """

    RUNNING = "running"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RESUMING = "resuming"


@dataclass(frozen=True, kw_only=True)
class StopCall:
    """A call that stops and copies a run.

    Attributes:
        continuation: the continuation of the run that it stops.
        began_at: elapsed time at which it was sent.
        earlier_state: the state of the run before it.
        may_be_stopped: whether an earlier call may have stopped the run.
    """

    continuation: int
    began_at: timedelta
    earlier_state: RunState
    may_be_stopped: bool


@dataclass(frozen=True, kw_only=True)
class Cutover:
    """Where a stopped run resumes.

    Attributes:
        destination: the target at which the run resumes.
        memory: the copy from which it resumes.
        stopped_at: elapsed time at which the source was asked to stop the run,
            or at which the run was found to be lost.
    """

    destination: TargetInstance
    memory: CopiedMemory
    stopped_at: timedelta


@dataclass(kw_only=True)
class RunCopy:
    """A copy of a run at another target, complete or in progress.

    Attributes:
        destination: the target that holds the copy; ``None`` without a copy.
        memory: the last complete copy; ``None`` before the first one.
        made_at: elapsed time at which a standby copy was made or refreshed.
        is_standby: whether the copy was started before the engine announced
            its shutdown.
        resumptions: how often the run had begun anew when the copy was started;
            the copy lacks what the run has sent since it began anew again.
    """

    destination: TargetInstance | None = None
    memory: CopiedMemory | None = None
    made_at: timedelta = timedelta(0)
    is_standby: bool = False
    resumptions: int = 0


@dataclass(kw_only=True, eq=False)
class Run:
    """One generation on its current engine.

    Attributes:
        task: the request.
        spec: the properties that all engines of the service share.
        generation: its prompt and output length, from which its load is
            estimated.
        instance: the current engine.
        carrier: the peer that carries the stream; ``None`` if it comes
            directly.
        last_event: the id of the last event that the caller has; ``None``
            before the first.
        events: the number of forwarded events.
        earlier_events: the number of events that the caller had before.
        payloads: digests of the payloads of the forwarded events.
        migrations: the number of completed migrations.
        resumptions: how often it began anew at another engine without a copy.
        head_at: elapsed time at which the response head of the engine arrived
            that began the run, or that began it anew without a copy.
        is_proven: whether its prompt was recorded as answered without a crash.
        started: set at the first event.
        first_event_at: elapsed time of the first event.
        last_event_at: elapsed time of the last event.
        longest_pause: the longest time between two events.
        read_scope: the cancel scope in which the current stream is read.
        check_scope: the cancel scope in which its engine is asked for it.
        is_stream_open: whether the current stream is read, and has not ended.
        is_framed: whether the current stream has a length or chunks.
        evidence: what its engine has said of it while that stream was open.
        progressed: wakes waiting tasks at an event, and when a stream begins or
            a call that copies or stops the run ends.
        state: how far it is on its way to another engine.
        continuation: how often it has resumed, from a copy or without one.
        stop_call: the newest call that stops it; ``None`` before the first.
        may_be_stopped: whether the engine may have stopped the run for a
            migration without an answer that said so; until the run resumes.
        cutover: where the stopped run resumes; ``None`` at other times.
        copy: its copy at another target.
        state_changed: wakes waiting tasks when ``state`` changes.
    """

    task: Task
    spec: EngineSpec
    generation: Generation
    instance: TargetInstance
    carrier: Carrier | None = None
    last_event: int | None = None
    events: int = 0
    earlier_events: int = 0
    payloads: set[int] = field(default_factory=set)
    migrations: int = 0
    resumptions: int = 0
    head_at: timedelta = timedelta(0)
    is_proven: bool = False
    started: trio.Event = field(default_factory=trio.Event)
    first_event_at: timedelta = timedelta(0)
    last_event_at: timedelta = timedelta(0)
    longest_pause: timedelta = timedelta(0)
    read_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    check_scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_stream_open: bool = False
    is_framed: bool = True
    evidence: RunEvidence = field(default_factory=RunEvidence)
    progressed: trio.lowlevel.ParkingLot = field(
        default_factory=trio.lowlevel.ParkingLot
    )
    state: RunState = RunState.RUNNING
    continuation: int = 0
    stop_call: StopCall | None = None
    may_be_stopped: bool = False
    cutover: Cutover | None = None
    copy: RunCopy = field(default_factory=RunCopy)
    state_changed: trio.lowlevel.ParkingLot = field(
        default_factory=trio.lowlevel.ParkingLot
    )

    @property
    def is_moving(self) -> bool:
        """Whether the run is being stopped, is stopped or resumes."""
        return self.state is not RunState.RUNNING

    def begin_stream(self, head: ResponseHead) -> None:
        """Records that a stream of the run is read from now on."""
        self.carrier = head.carrier
        self.is_framed = head.has_length
        self.evidence = RunEvidence()
        self.is_stream_open = True
        self.progressed.unpark_all()

    def end_stream(self) -> None:
        """Records that the stream has ended; cancels questions about the run.

        A copy that one of them has begun would hold up the recovery.
        """
        self.is_stream_open = False
        self.evidence.is_closed = True
        self.check_scope.cancel()

    def begin_stop(self) -> StopCall:
        """Records that a call which stops the run is sent now."""
        call = StopCall(
            continuation=self.continuation,
            began_at=self.task.elapsed(),
            earlier_state=self.state,
            may_be_stopped=self.may_be_stopped,
        )
        self.stop_call = call
        self.may_be_stopped = True
        self._set_state(RunState.STOPPING)
        return call

    def end_stop(
        self, call: StopCall, *, may_be_stopped: bool, cutover: Cutover | None
    ) -> bool:
        """Records the outcome of a call that stops the run.

        Args:
            call: the call.
            may_be_stopped: whether it may have stopped the run.
            cutover: where the run resumes; ``None`` if that is not known.

        Returns:
            Whether the outcome holds; it does not after the run has resumed.
        """
        if call.continuation != self.continuation:
            return False
        # If this call has stopped nothing, an earlier one may have.
        self.may_be_stopped = call.may_be_stopped or may_be_stopped
        if cutover is None:
            self._set_state(call.earlier_state)
        else:
            self.set_cutover(cutover)
        return True

    async def wait_for_stop(self) -> None:
        """Waits until no call that stops the run is in progress."""
        while self.state is RunState.STOPPING:
            await self.state_changed.park()

    def set_cutover(self, cutover: Cutover) -> None:
        """Records where the stopped run resumes."""
        self.cutover = cutover
        self._set_state(RunState.STOPPED)

    def take_cutover(self) -> Cutover | None:
        """Returns where the run resumes, for the task that resumes it."""
        cutover, self.cutover = self.cutover, None
        if cutover is not None:
            self._set_state(RunState.RESUMING)
        return cutover

    def record_resumption(self) -> None:
        """Records that the run goes on, at its engine or another one."""
        self.continuation += 1
        self.may_be_stopped = False
        self.cutover = None
        self._set_state(RunState.RUNNING)

    def _set_state(self, state: RunState) -> None:
        self.state = state
        self.state_changed.unpark_all()

    def record_event(self, event_id: int) -> None:
        """Records an event that was forwarded to the caller."""
        now = self.task.elapsed()
        if self.events:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        else:
            self.first_event_at = now
            self.started.set()
        self.last_event = event_id
        self.events += 1
        self.last_event_at = now
        self.evidence.record_event()
        self.progressed.unpark_all()
        self.generation.emitted = (
            self.earlier_events + self.events
        ) * self.spec.max_event_tokens
        self.generation.is_reread = False

    def get_age(self) -> timedelta:
        """Returns the time since the first response head arrived."""
        return self.task.elapsed() - self.head_at

    def estimate_remaining_time(self) -> timedelta:
        """Returns the estimated time until the run finishes."""
        return TOKEN_TIME * self.generation.estimate_remaining()
