"""The verdict on claims, as a pure function of the log up to the claim."""

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
    """What the log says of a claim or void at its own offset.

    Attributes:
        FIRST: it decides the key.
        LATER: an earlier record of the key does.
        OUT_OF_WINDOW: it came too long before or after the key was made, so
            that an earlier record may have expired.
    """

    FIRST = "first"
    LATER = "later"
    OUT_OF_WINDOW = "out_of_window"


@dataclass(frozen=True, kw_only=True)
class Window:
    """Which records count for a key.

    Attributes:
        retention: how long the log keeps a record at least.
        skew: the most that any two clocks differ.
    """

    retention: timedelta
    skew: timedelta = DEFAULT_SKEW

    def includes(self, *, created: datetime, time: datetime) -> bool:
        """Tells whether a record of ``time`` counts.

        Within the window, every earlier record that counts for the key is
        still on the log.
        """
        age = time - created
        return -self.skew <= age <= self.retention - 3 * self.skew

    def get_end(self, created: datetime) -> datetime:
        """Returns when the last record for a key may come."""
        return created + self.retention - 3 * self.skew


class KeyState:
    """What the log says of one key.

    Attributes:
        claimant: of the first record that counts.
        digest: of the first claim; empty if a void came first.
        node: which node claimed it.
        created: when the key was made.
        outcome_offset: where the outcome stands; 0 if there is none.
    """

    __slots__ = ("claimant", "created", "digest", "node", "outcome_offset")

    def __init__(self, record: Claim | Void) -> None:
        self.claimant = record.claimant
        self.created = record.created
        self.digest = record.digest if isinstance(record, Claim) else b""
        self.node = record.node if isinstance(record, Claim) else ""
        self.outcome_offset = 0

    def is_void(self) -> bool:
        """Returns whether the key can never run."""
        return not self.digest


class LedgerIndex:
    """Folds the records of one stream into the state of each key."""

    def __init__(self, *, window: Window) -> None:
        self._window = window
        # The newest time of a record: the index depends on the log alone and
        # on no clock of the node.
        self._newest: float = 0.0
        self._states: cachetools.TLRUCache[bytes, KeyState] = (
            cachetools.TLRUCache(
                maxsize=math.inf, ttu=self._get_end, timer=self._get_newest
            )
        )

    def __len__(self) -> int:
        return len(self._states)

    def find(self, key_id: bytes) -> KeyState | None:
        """Returns the state of a key; ``None`` if it has no record."""
        return self._states.get(key_id)

    def apply(self, entry: LogEntry, record: LedgerRecord) -> Verdict | None:
        """Takes the next record; returns its verdict unless an outcome."""
        self._newest = max(self._newest, entry.time.timestamp())
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

    def _get_newest(self) -> float:
        return self._newest

    def _get_end(self, key_id: bytes, state: KeyState, now: float) -> float:
        # The last record that counts comes before this.
        return self._window.get_end(state.created).timestamp() + 1


def _is_first_outcome(state: KeyState, record: Outcome) -> bool:
    return state.claimant == record.claimant and not state.outcome_offset


def judge(
    entries: Iterable[LogEntry], *, offset: int, window: Window
) -> Verdict | None:
    """Returns the verdict on the claim or void at an offset.

    Args:
        entries: the log from its earliest entry on, in order.
        offset: of the record that is judged; later ones make no difference.
        window: which records count.

    Returns:
        The verdict; ``None`` if no claim or void stands there.
    """
    index = LedgerIndex(window=window)
    for entry in entries:
        if entry.offset > offset:
            break
        verdict = index.apply(entry, decode_ledger_record(entry.body))
        if entry.offset == offset:
            return verdict
    return None
