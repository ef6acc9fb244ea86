"""The interface to servers, and the errors of a call to one.

Errors tell apart a request that reached no server from one that may have run,
because only the first may be called not run.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from acaciarack._settings_reader import Address
from acaciarack.errors import AcaciarackError
from acaciarack.gateway.facts import InboundRequest, Server


class BackendError(AcaciarackError):
    """The base of errors of a call to a server."""


class NotReachedError(BackendError):
    """No connection could be opened; nothing of the request was sent."""


class AnswerLostError(BackendError):
    """The connection broke or ended early after something was sent."""


class MalformedAnswerError(BackendError):
    """What came is not an answer to this request in the protocol."""


@dataclass(frozen=True, kw_only=True)
class AnswerHead:
    """The head of a server's answer.

    Attributes:
        status: the HTTP status.
        headers: what is passed on to the requester.
        not_run: whether the server says that it did not run the request.
        is_proven: whether the answer bears the server's proof and the
            request's own id.
        wrong_server: whether another server has the address by now.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    is_proven: bool
    wrong_server: bool = False


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One whole event of a stream; ``id`` is ``None`` if it bears none."""

    id: int | None
    data: bytes


@dataclass(frozen=True, kw_only=True)
class CopiedMemory:
    """Memory of a run from which it can go on.

    Attributes:
        source: the server that the run was copied from.
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
        last_event: the last event that the requester has; with ``memory``.
        urgency: 0 to 9, 0 first; ``None`` leaves the server's default.
        backup: where its memory is copied as it grows; ``None`` for nowhere.
    """

    remaining: timedelta
    organisation: str | None = None
    memory: CopiedMemory | None = None
    last_event: int | None = None
    urgency: int | None = None
    backup: Address | None = None


class CopyVerdict:
    """The base of what a server answers to a copy; see its subclasses."""


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


class BackendAnswer(Protocol):
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


class Backends(Protocol):
    """A client of all servers."""

    async def open(
        self, server: Server, request: InboundRequest, terms: SendTerms
    ) -> BackendAnswer:
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
        """Copies a run's memory to another server; repeats copy what is new.

        Args:
            source: the server that runs it.
            run_id: the request's id.
            destination: the server that shall go on with it.
            stop: whether the run ends here first.

        Raises:
            BackendError: the source did not answer.
        """
        ...

    async def drop_copy(self, memory: CopiedMemory) -> None:
        """Frees a copy at both ends; best effort.

        Raises:
            BackendError: the source did not answer.
        """
        ...

    async def read_report(self, server: Address) -> EngineReport:
        """Reads an engine's report.

        Raises:
            BackendError: it did not answer.
        """
        ...
