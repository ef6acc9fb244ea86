"""The interface to targets, and the errors of a call to one.

Errors tell apart a request that reached no target from one that may have run,
because only the first may be called not run.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack._settings_reader import Address
from acaciarack.errors import AcaciarackError
from acaciarack.gateway.facts import InboundRequest, Target


class TargetError(AcaciarackError):
    """The base of errors of a call to a target."""


class NotReachedError(TargetError):
    """No connection could be opened; nothing of the request was sent."""


class AnswerLostError(TargetError):
    """The connection broke or ended early after something was sent."""


class MalformedAnswerError(TargetError):
    """What came is not an answer to this request in the protocol."""


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """The head of a target's answer.

    Attributes:
        status: the HTTP status.
        headers: what is passed on to the caller.
        not_run: whether the target says that it did not run the request.
        is_proven: whether the answer bears the target's proof and the
            request's own id.
        wrong_target: whether another target has the address by now.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    is_proven: bool
    wrong_target: bool = False


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One whole event of a stream; ``id`` is ``None`` if it bears none."""

    id: int | None
    data: bytes


@dataclass(frozen=True, kw_only=True)
class CopiedMemory:
    """Memory of a run from which it can go on.

    Attributes:
        source: the target that the run was copied from.
        handle: names the copy there; usable once.
    """

    source: Address
    handle: str


@dataclass(frozen=True, kw_only=True)
class SendTerms:
    """What the gateway adds to a request.

    Attributes:
        remaining: the time that is left for it.
        organisation: who sent it; ``None`` if keys are not asked for.
        memory: where it goes on from; ``None`` for a new run.
        last_event: the last event that the caller has; with ``memory``.
        urgency: 0 to 9, 0 first; ``None`` leaves the target's default.
        backup: where its memory is copied as it grows; ``None`` for nowhere.
    """

    remaining: timedelta
    organisation: str | None = None
    memory: CopiedMemory | None = None
    last_event: int | None = None
    urgency: int | None = None
    backup: Address | None = None


class CopyVerdict:
    """The base of what a target answers to a copy; see its subclasses."""


@dataclass(frozen=True, kw_only=True)
class Copied(CopyVerdict):
    """The copy is complete; ``created`` events had been made."""

    memory: CopiedMemory
    created: int


@dataclass(frozen=True, kw_only=True)
class NoSuchRun(CopyVerdict):
    """The run has ended, or not begun."""


@dataclass(frozen=True, kw_only=True)
class CopyBusy(CopyVerdict):
    """Another copy of the run is in progress."""


@dataclass(frozen=True, kw_only=True)
class NoRoom(CopyVerdict):
    """The destination has no room or cannot be reached.

    Attributes:
        memory: what the source keeps of a run that it has stopped.
    """

    memory: CopiedMemory | None = None


@dataclass(frozen=True, kw_only=True)
class EngineRun:
    """One run of an engine's report."""

    id: str
    tokens: int
    events: int
    urgency: int


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's late account of itself.

    Attributes:
        queued: requests that wait.
        active: requests that run.
        used_tokens: memory that cannot yield.
        total_tokens: all memory.
        leaving: whether it takes nothing new.
        leaves_in: when it ends; ``None`` if not known.
        runs: what it runs, by request id.
    """

    queued: int
    active: int
    used_tokens: int
    total_tokens: int
    leaves_in: timedelta | None
    leaving: bool
    runs: dict[str, EngineRun]


class TargetAnswer(Protocol):
    """An answer whose head has arrived."""

    head: AnswerHead

    async def read_body(self) -> bytes:
        """Reads the whole body.

        Raises:
            AnswerLostError: it ended early.
            MalformedAnswerError: it is not in the protocol.
        """
        ...

    def read_events(self) -> AsyncIterator[StreamEvent]:
        """Yields whole events until the stream's own end.

        Raises:
            AnswerLostError: it ended before its own end.
            MalformedAnswerError: it is not a stream of events.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...


class Targets(Protocol):
    """A client of all targets."""

    async def open(
        self, target: Target, request: InboundRequest, terms: SendTerms
    ) -> TargetAnswer:
        """Sends a request and waits for the head of the answer.

        Raises:
            NotReachedError: nothing was sent.
            AnswerLostError: the connection broke afterwards.
            MalformedAnswerError: what came is no answer.
        """
        ...

    async def copy_run(
        self, source: Address, run_id: str, destination: Address, *, stop: bool
    ) -> CopyVerdict:
        """Copies a run's memory to another target; repeats copy what is new.

        Args:
            source: the target that runs it.
            run_id: the request's id.
            destination: the target that shall go on with it.
            stop: whether the run ends here first.

        Raises:
            TargetError: the source did not answer.
        """
        ...

    async def drop_copy(self, memory: CopiedMemory) -> None:
        """Frees a copy at both ends; best effort.

        Raises:
            TargetError: the source did not answer.
        """
        ...

    async def read_report(self, target: Address) -> EngineReport:
        """Reads an engine's report.

        Raises:
            TargetError: it did not answer.
        """
        ...
