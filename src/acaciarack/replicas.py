"""Builds the configuration state from the records of the log stream.

A replica processes the log entries in order. If records that it needs have
expired, it waits for a state that covers them, from a snapshot in the log or
from a peer. It then replays the changes after that state. An older state never
replaces a newer one.
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

MAX_PENDING_ENTRIES = 10_000
"""The maximum number of entries buffered while waiting for a snapshot.

Above this, the replica drops them and waits for a snapshot that covers them.
"""


class Replica:
    """The state of one reader of the configuration stream."""

    def __init__(self) -> None:
        self._state = ReplicaState()
        self._next_offset = 1
        # The offset that a snapshot must cover; ``None`` if none is needed.
        self._required_offset: int | None = None
        self._pending: list[tuple[LogEntry, Record | None]] = []
        self._newest_state = self._state
        self._undecodable_count = 0

    @property
    def state(self) -> ReplicaState:
        """The newest known state.

        While the replica waits for a snapshot, this may be the state of a peer
        or a snapshot that does not cover all missing records.
        """
        return self._newest_state

    @property
    def next_offset(self) -> int:
        """The offset to read next."""
        return self._next_offset

    @property
    def complete(self) -> bool:
        """Whether the state includes all records before ``next_offset``."""
        return self._required_offset is None

    @property
    def undecodable_count(self) -> int:
        """The number of skipped records that could not be decoded."""
        return self._undecodable_count

    def skip_expired(self, earliest: int) -> None:
        """Skips the expired records before the offset ``earliest``.

        If this replica has not processed them all, it then waits for a
        snapshot that covers them.
        """
        if self._next_offset >= earliest:
            return
        self._next_offset = earliest
        self._required_offset = earliest - 1
        self._pending.clear()

    def process_entry(self, entry: LogEntry) -> Record | None:
        """Processes the next entry of the log.

        Returns:
            The entry's record, or ``None`` if its offset is below
            ``next_offset`` or it cannot be decoded.
        """
        if entry.offset < self._next_offset:
            return None
        record = self._decode(entry)
        self._next_offset = entry.offset + 1
        if self.complete:
            self._apply(entry, record)
        else:
            self._add_pending(entry, record)
        return record

    def adopt(self, state: ReplicaState) -> bool:
        """Adopts the state of a snapshot or a peer if it is newer.

        Returns:
            Whether ``state`` was newer than this replica's state.
        """
        is_newer = state.applied_offset > self._newest_state.applied_offset
        if is_newer:
            self._newest_state = state
        if self._required_offset is not None:
            if state.applied_offset >= self._required_offset:
                self._replay(state)
        elif is_newer:
            self._state = state
            self._next_offset = max(self._next_offset, state.applied_offset + 1)
        return is_newer

    def _decode(self, entry: LogEntry) -> Record | None:
        try:
            record = decode_record(entry.body)
        except RecordError:
            self._undecodable_count += 1
            return None
        if not isinstance(record, Snapshot):
            return record
        # A valid snapshot covers only records before its own.
        if record.state.applied_offset >= entry.offset:
            self._undecodable_count += 1
            return None
        return record

    def _apply(self, entry: LogEntry, record: Record | None) -> None:
        self._state = apply_record(
            self._state, entry.offset, entry.time, record
        )
        self._update_newest_state(self._state)

    def _add_pending(self, entry: LogEntry, record: Record | None) -> None:
        self._pending.append((entry, record))
        if isinstance(record, Snapshot):
            self.adopt(record.state)
        if len(self._pending) > MAX_PENDING_ENTRIES:
            self._pending.clear()
            self._required_offset = entry.offset

    def _replay(self, state: ReplicaState) -> None:
        """Applies the pending entries that follow ``state``."""
        pending = self._pending
        self._pending = []
        self._required_offset = None
        self._state = state
        self._next_offset = max(self._next_offset, state.applied_offset + 1)
        for entry, record in pending:
            if entry.offset > state.applied_offset:
                self._apply(entry, record)
        self._update_newest_state(self._state)

    def _update_newest_state(self, state: ReplicaState) -> None:
        if state.applied_offset > self._newest_state.applied_offset:
            self._newest_state = state
