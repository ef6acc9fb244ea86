"""Computes the verdict on a claim as a pure function of the log up to it."""

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

import cachetools

from acaciarack.platform import LogEntry
from acaciarack.records import (
    Claim,
    LedgerRecord,
    Outcome,
    Void,
    decode_ledger_record,
)

DEFAULT_SKEW = timedelta(seconds=30)


class Verdict(enum.Enum):
    """The result of a claim or void, given all records up to its offset.

    Attributes:
        FIRST: it is the first valid record of its key.
        LATER: the key has an earlier valid record.
        OUT_OF_WINDOW: it was appended too long before or after the key was
            made. An earlier record of the key may have expired.
    """

    FIRST = "first"
    LATER = "later"
    OUT_OF_WINDOW = "out_of_window"


@dataclass(frozen=True, kw_only=True)
class ValidityWindow:
    """The period in which claims and voids of a key are valid.

    Attributes:
        retention: the minimum time that the log keeps a record.
        skew: the maximum difference between any two clocks.
    """

    retention: timedelta
    skew: timedelta = DEFAULT_SKEW

    def includes(self, *, created: datetime, time: datetime) -> bool:
        """Returns whether a record of ``time`` is valid.

        For a record within the window, every earlier valid record of the key
        is still on the log.

        Args:
            created: when the key was made.
            time: when the record was appended.
        """
        # The first valid record may be one skew older than the key. The other
        # two allow for the clock differences between the log and the nodes.
        age = time - created
        return -self.skew <= age <= self.retention - 3 * self.skew

    def get_end(self, created: datetime) -> datetime:
        """Returns the latest time at which a record of a key is valid."""
        return created + self.retention - 3 * self.skew


class KeyState:
    """The state of one key on the log.

    Attributes:
        claimant: the claimant id of the first valid record.
        digest: the digest of the first claim; empty if a void came first.
        node: the node that claimed the key; empty if a void came first.
        created: when the key was made.
        outcome_offset: the offset of the outcome; 0 if there is none.
    """

    __slots__ = ("claimant", "created", "digest", "node", "outcome_offset")

    def __init__(self, record: Claim | Void) -> None:
        self.claimant = record.claimant
        self.created = record.created
        self.digest = record.digest if isinstance(record, Claim) else b""
        self.node = record.node if isinstance(record, Claim) else ""
        self.outcome_offset = 0

    def is_void(self) -> bool:
        """Returns whether a void closed the key before any claim."""
        return not self.digest


class LedgerIndex:
    """Folds the records of one stream into the state of each key."""

    def __init__(self, *, window: ValidityWindow) -> None:
        self._window = window
        # The latest record time serves as the clock for expiry. The index then
        # depends on the log alone, not on the node's clock.
        self._newest_time: float = 0.0
        self._states: cachetools.TLRUCache[bytes, KeyState] = (
            cachetools.TLRUCache(
                maxsize=math.inf,
                ttu=self._get_expiry_time,
                timer=self._get_newest_time,
            )
        )

    def __len__(self) -> int:
        return len(self._states)

    def find(self, key_id: bytes) -> KeyState | None:
        """Returns the state of a key; ``None`` if it has no record."""
        return self._states.get(key_id)

    def apply(self, entry: LogEntry, record: LedgerRecord) -> Verdict | None:
        """Applies the next record.

        Returns:
            The verdict on a claim or void; ``None`` for an outcome.
        """
        self._newest_time = max(self._newest_time, entry.time.timestamp())
        state = self._states.get(record.key_id)
        if isinstance(record, Outcome):
            if state is not None and _is_first_outcome(state, record):
                state.outcome_offset = entry.offset
            return None
        if not self._window.includes(created=record.created, time=entry.time):
            return Verdict.OUT_OF_WINDOW
        if state is not None:
            return Verdict.LATER
        self._states[record.key_id] = KeyState(record)
        return Verdict.FIRST

    def _get_newest_time(self) -> float:
        return self._newest_time

    def _get_expiry_time(
        self, key_id: bytes, state: KeyState, now: float
    ) -> float:
        # The extra second keeps the key past its last valid record.
        return self._window.get_end(state.created).timestamp() + 1


def _is_first_outcome(state: KeyState, record: Outcome) -> bool:
    return state.claimant == record.claimant and not state.outcome_offset


def evaluate_record(
    entries: Iterable[LogEntry], *, offset: int, window: ValidityWindow
) -> Verdict | None:
    """Returns the verdict on the claim or void at an offset.

    Args:
        entries: the log from its earliest entry on, in order.
        offset: the record's offset. Later entries are ignored.
        window: the period in which records are valid.

    Returns:
        The verdict, or ``None`` if there is no claim or void at the offset.
    """
    index = LedgerIndex(window=window)
    for entry in entries:
        if entry.offset > offset:
            break
        verdict = index.apply(entry, decode_ledger_record(entry.body))
        if entry.offset == offset:
            return verdict
    return None
