"""Polls engines for shutdown notices while the store is unavailable.

If engines are reclaimed while the store is unavailable, their notices reach no
node, and all their streams would be cut. Of the nodes that receive each other's
heartbeats, one polls each engine. An isolated node polls all engines itself.
"""

from collections.abc import Callable
from datetime import timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.capacity.loads import LoadTracker
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.store.replication import ClusterState
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.client import TargetError, Targets
from acaciarack.gateway.targets.target_table import TargetInstance, TargetState

POLL_INTERVAL = timedelta(milliseconds=300)
"""Time between two polls of an engine: a fifth of the shortest shutdown notice.
Polls are billed, so nodes poll only while the store is unavailable."""

_log = logbook.Logger("acaciarack.gateway.inquiry")


class EnginePoller:
    """Polls engines while the store is unavailable."""

    def __init__(
        self,
        *,
        clock: Clock,
        cluster_state: ClusterState,
        targets: Targets,
        peers: PeerTable,
        loads: LoadTracker,
        is_reading_store: Callable[[], bool],
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(clock=clock)
        self._clock = clock
        self._cluster_state = cluster_state
        self._targets = targets
        self._peers = peers
        self._loads = loads
        self._is_reading_store = is_reading_store

    async def run(self) -> None:
        """Polls whenever the store is unavailable, until cancelled."""
        is_polling = False
        while True:
            await self._clock.sleep(POLL_INTERVAL)
            if self._can_rely_on_store():
                is_polling = False
                continue
            if not is_polling:
                is_polling = True
                _log.info(
                    "store unavailable; polling engines",
                    extra={"state": "blind"},
                )
            await self._poll_engines()

    def _can_rely_on_store(self) -> bool:
        """Returns whether a shutdown notice would reach this node.

        One overdue store response at any live peer is enough to start polling.
        The node whose read ends first is the first to notice an outage.
        """
        if self._peers.has_overdue_store():
            # Targets dropped now may have expired only because they could not
            # renew their records in the store.
            self._cluster_state.target_table.mark_store_unstable()
            return False
        return self._is_reading_store() or self._peers.has_store_reader()

    async def _poll_engines(self) -> None:
        async with trio.open_nursery() as nursery:
            for instance in self._list_engines():
                if self._peers.is_owner(
                    instance.target.id
                ) and not self._cluster_state.target_table.is_paused(instance):
                    nursery.start_soon(
                        self._supervisor.run_alone, "poll", self._poll, instance
                    )

    def _list_engines(self) -> list[TargetInstance]:
        configuration = self._cluster_state.configuration
        if configuration is None:
            return []
        return [
            instance
            for service in configuration.services.values()
            if service.engine is not None
            for instance in self._cluster_state.target_table.list_instances(
                service.name
            )
            if instance.target_state is not TargetState.LEAVING
            and self._is_needed(instance)
        ]

    def _is_needed(self, instance: TargetInstance) -> bool:
        """Returns whether an engine may get, or still has, generations."""
        return (
            self._cluster_state.target_table.restrictions.allows(
                instance.target
            )
            or self._loads.get_total(instance.target.id).requests > 0
        )

    async def _poll(self, instance: TargetInstance) -> None:
        target = instance.target
        try:
            report = await self._targets.read_report(target.address)
        except TargetError as error:
            _log.info(
                "engine did not report its state: {}",
                error,
                extra={"target": target.id},
            )
            return
        if report.leaving or report.leaves_in is not None:
            self._cluster_state.target_table.mark_leaving(
                target.id, "its own report"
            )
