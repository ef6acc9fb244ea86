"""The interface of the at-most-once ledger."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from acaciarack.errors import Refusal


@dataclass(frozen=True, kw_only=True)
class ExecutionKey:
    """The idempotency key of one non-idempotent request.

    Attributes:
        organisation: the caller's organisation.
        service: the service called.
        key: the caller's ``Idempotency-Key``, a time-ordered UUID.
        digest: the SHA-256 hash of method, path and body. It detects a key
            that is sent again with another request.
        first_use: whether no other call can have used the key, such as a key
            that the node made for a call without one. Only then may a refusal
            have the outcome ``not_run`` before the log is consulted.
    """

    organisation: str
    service: str
    key: str
    digest: bytes
    first_use: bool = False


@dataclass(frozen=True, kw_only=True)
class StoredResponse:
    """A target's response in the form that the ledger stores.

    Attributes:
        status: the HTTP status.
        headers: lower-case names and values.
        body: the body.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, kw_only=True)
class ExecutionResult:
    """The result of a request that ran exactly once.

    Attributes:
        answer: the target's response.
        replayed: whether the request ran for an earlier call with this key.
    """

    answer: StoredResponse
    replayed: bool


class Ledger(Protocol):
    """Runs non-idempotent requests at most once across all nodes."""

    async def run_once(
        self,
        key: ExecutionKey,
        dispatch: Callable[[], Awaitable[StoredResponse | Refusal]],
    ) -> ExecutionResult | Refusal:
        """Claims the key and dispatches the request if the claim is the first.

        Otherwise, returns the recorded result of the earlier call.

        ``dispatch`` is awaited at most once, in a task of the ledger. It
        continues if the caller of ``run_once`` is cancelled. If it returns a
        refusal, the refusal's outcome states whether the target may have run
        the request.
        """
        ...
