"""Repeats the configuration on the log before what it rests on expires.

Every node looks at times of its own; the first to find the renewal due
appends a snapshot, and the others see it on the log.
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
DUE_FRACTION = 0.4
"""The age at which a snapshot is due, as a fraction of the retention."""
SPREAD_FRACTION = 0.1
"""The longest time between two looks, as a fraction of the retention."""

_logger = logbook.Logger("configuration")


class Renewal:
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
        """Looks at random times whether a snapshot is due."""
        spread = self._retention * SPREAD_FRACTION
        while True:
            await self._clock.sleep(spread * self._random.random())
            if self._is_due(self._replica.state):
                await self._append_snapshot()

    async def _append_snapshot(self) -> None:
        snapshot = Snapshot(state=self._replica.state)
        try:
            body = encode_record(snapshot)
            with trio.fail_after(self._append_timeout.total_seconds()):
                await self._log.append(stream=STREAM, bodies=[body])
        except (PlatformError, RecordError, trio.TooSlowError) as error:
            _logger.warning("cannot renew the configuration: {}", error)

    def _is_due(self, state: ReplicaState) -> bool:
        if state.configuration.version == 0 or not self._replica.complete:
            return False
        if state.renewed is None:
            return True
        age = self._clock.now() - state.renewed
        return age > self._retention * DUE_FRACTION
