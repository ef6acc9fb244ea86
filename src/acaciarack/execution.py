"""The interface to the at-most-once ledger."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from acaciarack.errors import Refusal


@dataclass(frozen=True, kw_only=True)
class ExecutionKey:
    """Names one non-idempotent request.

    Attributes:
        organisation: the caller's organisation.
        service: the service called.
        key: the caller's ``Idempotency-Key``, a time-ordered UUID.
        digest: SHA-256 of method, path and body, so that a key that comes
            back with another request is told apart.
        fresh: whether this is surely the first time that the key is sent,
            such as a key that the node made for a call without one. Only
            then may a refusal say ``not_run`` without asking the log.
    """

    organisation: str
    service: str
    key: str
    digest: bytes
    fresh: bool = False


@dataclass(frozen=True, kw_only=True)
class StoredAnswer:
    """A target's answer as recorded in the ledger.

    Attributes:
        status: the HTTP status.
        headers: lower-case names and values.
        body: the body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class Executed:
    """The request ran once and this is its answer.

    Attributes:
        answer: what the target answered.
        replayed: whether it ran for an earlier call with the same key.
    """

    answer: StoredAnswer
    replayed: bool


class Ledger(Protocol):
    """Runs non-idempotent requests at most once across all nodes."""

    async def run_once(
        self,
        key: ExecutionKey,
        dispatch: Callable[[], Awaitable[StoredAnswer | Refusal]],
    ) -> Executed | Refusal:
        """Claims the key and, if the claim is first, dispatches once.

        ``dispatch`` is awaited at most once, in a task of the ledger: it goes
        on when the caller of ``run_once`` is cancelled. It returns a refusal
        whose outcome says whether the target may have run the request.
        """
        ...
