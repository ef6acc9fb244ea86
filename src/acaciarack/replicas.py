"""Follows the records of the configuration stream to a state.

A replica is fed with the entries of the log in order. Where the records that
it needs have expired, it waits for a snapshot, from the log or from a peer,
that takes all expired records into account, and replays the changes that
follow it. A state is never replaced by an earlier one.
"""

from acaciarack.change_messages import (
    Record,
    ReplicaState,
    Snapshot,
)
from acaciarack.change_records import RecordError, decode_record
from acaciarack.changes import (
    apply_record,
)
from acaciarack.platform import LogEntry

MAX_PENDING = 10_000


class Replica:
    """The state of one reader of the configuration stream."""

    def __init__(self) -> None:
        self._state = ReplicaState()
        self._next = 1
        self._needed: int | None = None
        self._pending: list[tuple[LogEntry, Record | None]] = []
        self._shown = self._state
        self._undecodable = 0

    @property
    def state(self) -> ReplicaState:
        """The newest state; a peer's if this one waits for a snapshot."""
        return self._shown

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._next

    @property
    def complete(self) -> bool:
        """Whether every record up to ``next_offset`` is in the state."""
        return self._needed is None

    @property
    def undecodable(self) -> int:
        """How many records were skipped since they cannot be decoded."""
        return self._undecodable

    def skip_expired(self, earliest: int) -> None:
        """Goes on at ``earliest``, since what precedes it has expired."""
        if self._next >= earliest:
            return
        self._next = earliest
        self._needed = earliest - 1
        self._pending.clear()

    def observe(self, entry: LogEntry) -> Record | None:
        """Takes the next entry of the log into account.

        Returns:
            Its record, or ``None`` if it is old or cannot be decoded.
        """
        if entry.offset < self._next:
            return None
        record = self._decode(entry)
        self._next = entry.offset + 1
        if self.complete:
            self._apply(entry, record)
        else:
            self._hold(entry, record)
        return record

    def adopt(self, state: ReplicaState) -> bool:
        """Takes over a snapshot or the state of a peer.

        Returns:
            Whether it was newer than the state of this replica.
        """
        newer = state.applied_offset > self._shown.applied_offset
        if newer:
            self._shown = state
        if self._needed is not None:
            if state.applied_offset >= self._needed:
                self._replay(state)
        elif newer:
            self._state = state
            self._next = max(self._next, state.applied_offset + 1)
        return newer

    def _decode(self, entry: LogEntry) -> Record | None:
        try:
            record = decode_record(entry.body)
        except RecordError:
            self._undecodable += 1
            return None
        if not isinstance(record, Snapshot):
            return record
        # A state cannot include its own or a later record.
        if record.state.applied_offset >= entry.offset:
            self._undecodable += 1
            return None
        return record

    def _apply(self, entry: LogEntry, record: Record | None) -> None:
        self._state = apply_record(
            self._state, entry.offset, entry.time, record
        )
        self._show(self._state)

    def _hold(self, entry: LogEntry, record: Record | None) -> None:
        self._pending.append((entry, record))
        if isinstance(record, Snapshot):
            self.adopt(record.state)
        if len(self._pending) > MAX_PENDING:
            self._pending.clear()
            self._needed = entry.offset

    def _replay(self, state: ReplicaState) -> None:
        pending = self._pending
        self._pending = []
        self._needed = None
        self._state = state
        self._next = max(self._next, state.applied_offset + 1)
        for entry, record in pending:
            if entry.offset > state.applied_offset:
                self._apply(entry, record)
        self._show(self._state)

    def _show(self, state: ReplicaState) -> None:
        if state.applied_offset > self._shown.applied_offset:
            self._shown = state
