"""The refusals of the at-most-once ledger.

``not_run`` is only said where the log shows that the key can never run, or
where no other node can have seen the key.
"""

from datetime import timedelta

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.execution import ExecutionKey
from acaciarack.problems import spread_delay

RETRY_AFTER = timedelta(seconds=2)
_SAME_KEY = "ask again with the same key, at any node"
_NEW_KEY = "send it again under a new key"


def refuse_key(detail: str) -> Refusal:
    """Refuses a key that no node accepts."""
    return Refusal(
        code=RefusalCode.INVALID_REQUEST,
        outcome=RunOutcome.NOT_RUN,
        detail=detail,
    )


def refuse_unread(key: ExecutionKey) -> Refusal:
    """Refuses a call since this node has not read the whole log."""
    return Refusal(
        code=RefusalCode.NOT_READY,
        outcome=_judge_unclaimed(key),
        detail=f"this node is still reading the log; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_unreachable(key: ExecutionKey) -> Refusal:
    """Refuses a call of which this node claimed nothing."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=_judge_unclaimed(key),
        detail=f"the log service cannot be reached; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_unresolved() -> Refusal:
    """Refuses a call whose claim may be on the log."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.UNKNOWN,
        detail=f"the log service did not answer in time; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_closed() -> Refusal:
    """Refuses a key that was closed before any claim."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=f"the request was closed without being run; {_NEW_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_abandoned() -> Refusal:
    """Tells of a claim whose node gave up before it dispatched."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.NOT_RUN,
        detail=f"the request was claimed and not dispatched; {_NEW_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_conflict() -> Refusal:
    """Refuses another request under a key that is in use."""
    return Refusal(
        code=RefusalCode.CONFLICT,
        outcome=RunOutcome.NOT_RUN,
        detail="the key was used for another request; each needs its own",
    )


def refuse_expired() -> Refusal:
    """Refuses a key of which the log may have lost records."""
    return Refusal(
        code=RefusalCode.KEY_EXPIRED,
        outcome=RunOutcome.UNKNOWN,
        detail="the key's time is outside of what the log retains, so that "
        "nobody can tell whether the request ran; it was not dispatched now",
    )


def refuse_unfinished(node: str) -> Refusal:
    """Refuses a call whose request was claimed and has no outcome yet."""
    return Refusal(
        code=RefusalCode.OUTCOME_UNKNOWN,
        outcome=RunOutcome.UNKNOWN,
        detail=f"node {node} claimed the request and recorded no outcome; "
        f"it is not dispatched again; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_unreadable() -> Refusal:
    """Refuses a call whose recorded outcome cannot be read now."""
    return Refusal(
        code=RefusalCode.PLATFORM_UNAVAILABLE,
        outcome=RunOutcome.UNKNOWN,
        detail=f"the recorded outcome cannot be read now; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def refuse_failed() -> Refusal:
    """Tells of a dispatch that ended in an unexpected error."""
    return Refusal(
        code=RefusalCode.TARGET_FAILED,
        outcome=RunOutcome.UNKNOWN,
        detail="the dispatch failed in an unexpected way",
    )


def refuse_stopping() -> Refusal:
    """Refuses a call that the end of the node interrupted."""
    return Refusal(
        code=RefusalCode.LEAVING,
        outcome=RunOutcome.UNKNOWN,
        detail=f"this node has stopped; {_SAME_KEY}",
        retry_after=spread_delay(RETRY_AFTER),
    )


def _judge_unclaimed(key: ExecutionKey) -> RunOutcome:
    # An earlier call with the key may have run through another node.
    return RunOutcome.NOT_RUN if key.fresh else RunOutcome.UNKNOWN
