"""Appends configuration snapshots to the log before older records expire.

Each node checks at random times whether a snapshot is due. The first node to
find one due appends it. The other nodes read it from the log and need not
append their own.
"""

import random
from datetime import timedelta

import logbook
import trio

from acaciarack.change_messages import (
    ReplicaState,
    Snapshot,
)
from acaciarack.change_records import RecordError, encode_record
from acaciarack.clock import Clock
from acaciarack.platform import LogService, PlatformError
from acaciarack.replicas import Replica

STREAM = "configuration"
SNAPSHOT_DUE_FRACTION = 0.4
"""The age of the newest snapshot at which another is due.

A fraction of the log's retention time.
"""
MAX_CHECK_INTERVAL_FRACTION = 0.1
"""The maximum time between checks, as a fraction of the retention time."""

_logger = logbook.Logger("configuration")


class SnapshotWriter:
    """Appends snapshots of a replica's state when they are due."""

    def __init__(
        self,
        *,
        log: LogService,
        clock: Clock,
        replica: Replica,
        retention: timedelta,
        append_timeout: timedelta,
        randomness: random.Random,
    ) -> None:
        self._log = log
        self._clock = clock
        self._replica = replica
        self._retention = retention
        self._append_timeout = append_timeout
        self._random = randomness

    async def run(self) -> None:
        """Checks at random times whether a snapshot is due."""
        max_interval = self._retention * MAX_CHECK_INTERVAL_FRACTION
        while True:
            await self._clock.sleep(max_interval * self._random.random())
            if self._is_due(self._replica.state):
                await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        snapshot = Snapshot(state=self._replica.state)
        try:
            body = encode_record(snapshot)
            with trio.fail_after(self._append_timeout.total_seconds()):
                await self._log.append(stream=STREAM, bodies=[body])
        except (PlatformError, RecordError, trio.TooSlowError) as error:
            _logger.warning("cannot append a configuration snapshot: {}", error)

    def _is_due(self, state: ReplicaState) -> bool:
        if state.configuration.version == 0 or not self._replica.complete:
            return False
        if state.renewed is None:
            return True
        age = self._clock.now() - state.renewed
        return age > self._retention * SNAPSHOT_DUE_FRACTION
