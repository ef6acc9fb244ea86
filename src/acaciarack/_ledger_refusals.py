"""Builds the refusals of the at-most-once ledger.

A refusal has the outcome ``not_run`` only in three cases: the key is invalid,
the log shows that this call's request did not run, or no other node can have
received the key.
"""

from datetime import timedelta

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.execution import ExecutionKey
from acaciarack.problems import add_jitter

RETRY_AFTER = timedelta(seconds=2)
_SAME_KEY = "ask again with the same key, at any node"
_NEW_KEY = "send it again under a new key"


def refuse_invalid_key(detail: str) -> Refusal:
    """Refuses a call whose key is malformed."""
    return Refusal(
        code=RefusalCode.INVALID_REQUEST,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )


def refuse_not_ready(key: ExecutionKey) -> Refusal:
    """Refuses a call because this node has not read the whole log yet."""
    return Refusal(
        code=RefusalCode.NOT_READY,
        outcome=_get_unclaimed_outcome(key),
        detail=f"this node is still reading the log; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_unreachable(key: ExecutionKey) -> Refusal:
    """Refuses a call because the log is unreachable; no claim was appended."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=_get_unclaimed_outcome(key),
        detail=f"the log service cannot be reached; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_unconfirmed_claim() -> Refusal:
    """Refuses a call whose claim may be on the log but was not read back."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.UNKNOWN,
        detail=f"the log service did not answer in time; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_closed() -> Refusal:
    """Refuses a call whose key was closed by a void before any claim."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=f"the request was closed without being run; {_NEW_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_abandoned() -> Refusal:
    """Builds the recorded refusal of a claim that was never dispatched."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=f"the request was claimed and not dispatched; {_NEW_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_key_conflict() -> Refusal:
    """Refuses a call whose key was already used for another request."""
    return Refusal(
        code=RefusalCode.CONFLICT,
        outcome=RunOutcome.NOT_RUN,
        detail="the key was used for another request; each needs its own",
    )


def refuse_expired() -> Refusal:
    """Refuses a call because records of its key may have expired."""
    return Refusal(
        code=RefusalCode.KEY_EXPIRED,
        outcome=RunOutcome.UNKNOWN,
        detail="the key's time is outside of what the log retains, so that "
        "nobody can tell whether the request ran; it was not dispatched now",
    )


def refuse_missing_outcome(node: str) -> Refusal:
    """Refuses a call whose request was claimed but has no outcome yet."""
    return Refusal(
        code=RefusalCode.OUTCOME_UNKNOWN,
        outcome=RunOutcome.UNKNOWN,
        detail=f"node {node} claimed the request and recorded no outcome; "
        f"it is not dispatched again; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_unreadable_outcome() -> Refusal:
    """Refuses a call whose recorded outcome cannot be read at present."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.UNKNOWN,
        detail=f"the recorded outcome cannot be read now; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def refuse_failed() -> Refusal:
    """Builds the refusal for a dispatch that raised an unexpected error."""
    return Refusal(
        code=RefusalCode.TARGET_FAILED,
        outcome=RunOutcome.UNKNOWN,
        detail="the dispatch failed in an unexpected way",
    )


def refuse_stopping() -> Refusal:
    """Refuses a call that was interrupted because the node stopped."""
    return Refusal(
        code=RefusalCode.LEAVING,
        outcome=RunOutcome.UNKNOWN,
        detail=f"this node has stopped; {_SAME_KEY}",
        retry_after=add_jitter(RETRY_AFTER),
    )


def _get_unclaimed_outcome(key: ExecutionKey) -> RunOutcome:
    # Unless the key is new, an earlier call with it may have run through
    # another node.
    return RunOutcome.NOT_RUN if key.first_use else RunOutcome.UNKNOWN
