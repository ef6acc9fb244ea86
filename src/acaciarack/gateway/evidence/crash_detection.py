"""Finds out whether a target that lost new runs has crashed.

A lost response alone does not show a crash: the connection may have been reset,
or the target may have failed one request. A crashed target takes no connection
once its system has closed all of its sockets.
"""

import math
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.evidence.fingerprints import Fingerprints
from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.client import (
    SOCKET_CLOSE_TIME,
    NotReachedError,
    Targets,
)
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.target_table import TargetInstance, TargetTable

NEW_RUN_TIME = timedelta(milliseconds=500)
"""How long after its response head a run counts as new. Engines crash within a
few decode steps of a harmful prompt; the rest is the delay of a slow node."""
PROVEN_RUN_TIME = timedelta(seconds=1)
"""How long after its response head a run that still sends events has shown that
its prompt does no harm."""

_log = logbook.Logger("acaciarack.gateway.crashes")


class CrashDetector:
    """Checks targets that lost new runs, and records the crashed ones."""

    def __init__(
        self,
        *,
        clock: Clock,
        targets: Targets,
        target_table: TargetTable,
        quarantine: RequestQuarantine,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor()
        self._clock = clock
        self._targets = targets
        self._target_table = target_table
        self._quarantine = quarantine
        # By target: the fingerprints of the lost runs, while a check is due.
        self._lost: dict[TargetLifetime, list[Fingerprints]] = {}
        self._send, self._receive = trio.open_memory_channel[TargetInstance](
            math.inf
        )

    def report_lost_run(
        self, instance: TargetInstance, fingerprints: Fingerprints
    ) -> None:
        """Has a target checked that lost a new run.

        Args:
            instance: the target.
            fingerprints: those of the run that it had just begun.
        """
        lifetime = get_lifetime(instance.target)
        if lifetime not in self._lost:
            self._send.send_nowait(instance)
        self._lost.setdefault(lifetime, []).append(fingerprints)

    async def run(self) -> None:
        """Checks the reported targets until cancelled."""
        async with trio.open_nursery() as nursery:
            async for instance in self._receive:
                nursery.start_soon(
                    self._supervisor.run_alone,
                    "crash check",
                    self._check,
                    instance,
                )

    async def _check(self, instance: TargetInstance) -> None:
        lifetime = get_lifetime(instance.target)
        try:
            await self._clock.sleep(SOCKET_CLOSE_TIME)
            has_crashed = await self._has_crashed(instance)
        finally:
            lost = self._lost.pop(lifetime)
        _log.info(
            "target lost new runs",
            extra={
                "target": lifetime.id,
                "outcome": "crashed" if has_crashed else "alive",
                "requests": len(lost),
            },
        )
        if has_crashed:
            self._quarantine.record_crash(lifetime, lost)

    async def _has_crashed(self, instance: TargetInstance) -> bool:
        if not self._target_table.try_call(instance):
            # It has answered lately, since it asked for a pause.
            return False
        try:
            await self._targets.check_connection(instance.target.address)
        except NotReachedError:
            return True
        return False
