"""The interface of the client for targets, with its errors and data types.

The errors distinguish a request that reached no target from one that a target
may have run. Only the first may be reported as not run.
"""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

import httpcore

from acaciarack._settings_reader import Address
from acaciarack.errors import AcaciarackError
from acaciarack.gateway.spec import InboundRequest, Target

SOCKET_CLOSE_TIME = timedelta(milliseconds=50)
"""Time that a process which ends needs to close all its sockets. Meanwhile its
connections are closed one by one, and it may still take new ones."""


def _allow() -> bool:
    return True


class TargetError(AcaciarackError):
    """The base class for errors of a call to a target."""


class NotReachedError(TargetError):
    """No connection could be opened; no part of the request was sent."""


class TargetRestrictedError(NotReachedError):
    """The target may not get the request any more; no part of it was sent."""


class AnswerLostError(TargetError):
    """The connection failed or closed early after data was sent."""


class MalformedAnswerError(TargetError):
    """The received data is not a valid response to the request."""


class NoRoomForAnswerError(TargetError):
    """This node has no room for the response, which is lost."""


class NoReportError(MalformedAnswerError):
    """An engine has answered, but not with a report.

    Attributes:
        status: the status of the answer.
    """

    def __init__(self, message: str, *, status: int) -> None:
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, kw_only=True)
class Carrier:
    """A peer that copies the bytes of a connection to a target.

    Attributes:
        name: the peer.
        marks_end: whether it tells the end of the target's bytes from the end
            of its own connection.
    """

    name: str
    marks_end: bool


@dataclass(frozen=True, kw_only=True)
class ResponseHead:
    """The head of a target's response.

    Attributes:
        status: the HTTP status.
        headers: the headers to forward to the caller.
        not_run: whether the target reports that it did not run the request.
        is_verified: whether the response carries the target's signature header
            and the id of this request.
        wrong_target: whether the address now belongs to another target.
        has_length: whether the end of the body can be told from the end of the
            connection.
        carrier: the peer that carries the response; ``None`` if it comes
            directly.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    not_run: bool
    is_verified: bool
    wrong_target: bool = False
    has_length: bool = True
    carrier: Carrier | None = None


@dataclass(frozen=True, kw_only=True)
class ReportedLoad:
    """The load that a target reports with an answer.

    Attributes:
        running: the number of requests that run there.
        waiting: the number of requests that wait there.
        slots: the number of requests that it runs at the same time.
        slowdown: how long work takes on its VM at this moment, as a multiple of
            the usual time; ``None`` if it does not say so.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, kw_only=True)
class AnswerNotice:
    """What the head of an answer says about the target itself.

    Attributes:
        leaving: whether the target shuts down soon.
        retry_after: for how long the target wants no requests from this node;
            ``None`` if it did not say so.
        rate_limit: the requests per second that the target takes from all nodes
            together; ``None`` if it named no limit.
        is_unlimited: whether the answer would name a limit if there was one.
        is_brittle: whether the target falls over if it rejects requests.
        is_rejection: whether the target had no room for the request.
        is_answer: whether the target has run the request.
        load: the load that it reports; ``None`` if it does not.
        warmup: how long it stays cold; ``None`` if it does not say so.
    """

    leaving: bool = False
    retry_after: timedelta | None = None
    rate_limit: float | None = None
    is_unlimited: bool = False
    is_brittle: bool = False
    is_rejection: bool = False
    is_answer: bool = False
    load: ReportedLoad | None = None
    warmup: timedelta | None = None


NoticeHandler = Callable[[AnswerNotice], None]
"""Receives the notice of one answer."""


class CallObserver(Protocol):
    """Follows calls to targets and receives the notices of their answers."""

    def begin_call(self, address: Address) -> NoticeHandler:
        """Returns the handler for the answer to a call that is sent now.

        The address may belong to another target by the time of the answer.
        """
        ...


@dataclass(frozen=True, kw_only=True)
class StreamEvent:
    """One complete event of a stream.

    Attributes:
        id: its number; ``None`` if it has no id.
        data: the whole event, unchanged.
        payload: what its data fields hold; ``None`` if it has none.
        is_end: whether it has the form of a mark for the end of a stream.
    """

    id: int | None
    data: bytes
    payload: bytes | None = None
    is_end: bool = False


@dataclass(frozen=True, kw_only=True)
class CopiedMemory:
    """A reference to the copied KV cache of a run, used to resume the run.

    Attributes:
        source: the target from which the run was copied.
        handle: the id of the copy at the source; valid for one use.
    """

    source: Address
    handle: str


@dataclass(frozen=True, kw_only=True)
class ForwardOptions:
    """The values that the gateway adds to a request as headers.

    Attributes:
        remaining: the time until the request's deadline.
        organisation: the caller's organisation; ``None`` if its key is not
            known or not required.
        memory: the copy from which to resume; ``None`` for a new run.
        last_event: the id of the last event that the caller has; ``None`` if
            the stream begins.
        urgency: from 0 (first) to 9; ``None`` for the target's default.
        backup: the target to which the engine copies the KV cache as it grows;
            ``None`` for no backup.
        may_send: returns whether the request may still be sent, once its
            connection has been made.
        regions: the regions whose nodes may pass the request on, besides this
            node's own; ``None`` for all.
    """

    remaining: timedelta
    organisation: str | None = None
    memory: CopiedMemory | None = None
    last_event: int | None = None
    urgency: int | None = None
    backup: Address | None = None
    may_send: Callable[[], bool] = _allow
    regions: frozenset[str] | None = None


class CopyResult:
    """The base class for results of a request to copy a run."""


@dataclass(frozen=True, kw_only=True)
class Copied(CopyResult):
    """The copy is complete.

    Attributes:
        memory: the copy.
        created: the number of events that the run had created at the time of
            the copy.
    """

    memory: CopiedMemory
    created: int


@dataclass(frozen=True, kw_only=True)
class NoSuchRun(CopyResult):
    """The source does not have the run: the run has ended or not started."""


@dataclass(frozen=True, kw_only=True)
class CopyBusy(CopyResult):
    """Another copy of the run is in progress."""


@dataclass(frozen=True, kw_only=True)
class NoRoom(CopyResult):
    """The destination has no room or cannot be reached.

    Attributes:
        memory: the KV cache of a stopped run, kept by the source; ``None`` if
            the run continues.
    """

    memory: CopiedMemory | None = None


@dataclass(frozen=True, kw_only=True)
class EngineRun:
    """One run in an engine's report.

    Attributes:
        id: the request id.
        tokens: the size of its KV cache, in tokens.
        events: the number of events that it has created.
        urgency: from 0 (first) to 9.
    """

    id: str
    tokens: int
    events: int
    urgency: int


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """An engine's report of its own state, which may be out of date.

    Attributes:
        queued: the number of waiting requests.
        active: the number of running requests.
        used_tokens: KV cache memory that cannot be evicted, in tokens.
        total_tokens: total KV cache memory, in tokens.
        leaves_in: the time until the engine stops; ``None`` if not known.
        leaving: whether the engine accepts no new requests.
        runs: its runs by request id.
        born: the start of its lifetime, as in ``Target.born``; ``None`` if it
            does not say so.
    """

    queued: int
    active: int
    used_tokens: int
    total_tokens: int
    leaves_in: timedelta | None
    leaving: bool
    runs: dict[str, EngineRun]
    born: int | None = None


class TargetResponse(Protocol):
    """A response whose head has arrived."""

    head: ResponseHead

    async def read_body(self) -> bytes:
        """Reads the whole body.

        Raises:
            AnswerLostError: the body ended early.
            MalformedAnswerError: the body violates the protocol.
        """
        ...

    def read_events(self) -> AsyncIterator[StreamEvent]:
        """Yields complete events until the end of the stream.

        Raises:
            AnswerLostError: the connection closed before the end.
            MalformedAnswerError: the body is not a stream of events whose ids,
                if any, are numbers.
            NoRoomForAnswerError: this node has no room for an unfinished event.
        """
        ...

    async def aclose(self) -> None:
        """Closes the connection."""
        ...


class TargetConnector(Protocol):
    """Opens connections to targets, on whichever path leads there."""

    async def connect(
        self, address: Address, *, regions: frozenset[str] | None = None
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection.

        Args:
            address: the address of the target.
            regions: the regions whose nodes may pass on what is sent, besides
                this node's own; ``None`` for all.

        Raises:
            NotReachedError: no connection was made.
        """
        ...


class Targets(Protocol):
    """A client for all targets."""

    def set_connector(self, connector: TargetConnector) -> None:
        """Sets what opens the connections of all later calls."""
        ...

    async def connect_directly(
        self, address: Address
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection to a target or a node.

        Raises:
            NotReachedError: no connection was made.
        """
        ...

    def set_observer(self, observer: CallObserver) -> None:
        """Sets the observer of all later calls."""
        ...

    async def open(
        self, target: Target, request: InboundRequest, options: ForwardOptions
    ) -> TargetResponse:
        """Sends a request and waits for the head of the response.

        Raises:
            NotReachedError: the connection failed; nothing was sent.
            AnswerLostError: the connection failed after the request was sent.
            MalformedAnswerError: the received data is not a valid response.
        """
        ...

    async def copy_run(
        self, source: Address, run_id: str, destination: Address, *, stop: bool
    ) -> CopyResult:
        """Copies the KV cache of a run to another target.

        A repeated copy to the same target transfers only the new tokens.

        Args:
            source: the target that runs it.
            run_id: the request id.
            destination: the target that receives the copy.
            stop: whether the source stops the run before the copy; otherwise
                the run continues. A call that stops a run has no timeout.

        Raises:
            TargetError: the source did not respond.
        """
        ...

    async def drop_copy(self, memory: CopiedMemory) -> None:
        """Frees a copy at both ends; best effort.

        Raises:
            TargetError: the source did not respond.
        """
        ...

    async def check_connection(self, target: Address) -> None:
        """Opens a connection and closes it, without a request.

        Raises:
            NotReachedError: the target takes no connection.
        """
        ...

    async def read_report(self, target: Address) -> EngineReport:
        """Reads an engine's report.

        Raises:
            NoReportError: the engine responded without a report.
            TargetError: the engine did not respond.
        """
        ...
