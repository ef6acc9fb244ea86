"""Decides when this node reads the store itself.

One node of each data centre reads the store for all there, since each new
record costs a store call for each reader. A single reader for the fleet would
delay all new records by seconds while its connection to the store is silent.
While no node reads, the nodes take turns to begin, so that a data centre that
starts or loses its reader does not read the store all at once.
"""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.supervision import Supervisor

CHECK_INTERVAL = timedelta(milliseconds=250)
"""How often a node checks whether a peer reads the store. Reachable peers send
their first heartbeat at once, and a check sends no message."""

FIRST_HEARTBEAT_TIME = timedelta(milliseconds=150)
"""How long a node that starts waits for the first heartbeats of its peers."""
TURN_CHECK_INTERVAL = timedelta(milliseconds=50)
"""How often a node checks whether it is its turn to read. Within this time, a
node that has begun to read is known to its peers."""
MAX_TURNS = 10
"""Nodes that are given time to read before all others may."""
MAX_START_TIME = timedelta(seconds=1)
"""How long a node that starts waits for the records of peers before it reads
the store itself. Fetching them takes 0.2 s."""

_log = logbook.Logger("acaciarack.gateway.reading")


class TopicReader(Protocol):
    """Reads one topic of the store."""

    async def run(self) -> None:
        """Reads the topic until cancelled."""
        ...

    def mark_stopped(self) -> None:
        """Resets the state after this node has stopped reading the topic."""
        ...


class Readiness(Protocol):
    """The part of the cluster state that shows whether it is complete."""

    @property
    def is_ready(self) -> bool:
        """Whether the configuration and the targets are known."""
        ...


class ReaderRole:
    """Starts and stops reading the store on this node."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerTable,
        readers: Sequence[TopicReader],
        cluster_state: Readiness,
        supervisor: Supervisor | None = None,
    ) -> None:
        self._supervisor = supervisor or Supervisor(clock=clock)
        self._clock = clock
        self._peers = peers
        self._readers = readers
        self._cluster_state = cluster_state

    async def run(self) -> None:
        """Reads the store while no peer reads it for all."""
        await self._clock.sleep(FIRST_HEARTBEAT_TIME)
        while True:
            await self._wait_for_turn()
            _log.info("started reading the store")
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    for reader in self._readers:
                        nursery.start_soon(
                            self._supervisor.keep_running, "reader", reader.run
                        )
                    nursery.start_soon(self._await_other_reader, scope)
            for reader in self._readers:
                reader.mark_stopped()
            _log.info("stopped reading the store; a peer reads it")

    async def _wait_for_turn(self) -> None:
        """Waits until no peer reads, and those before this node had time to.

        Without turns, all nodes would read at once after the loss of a reader.
        """
        started_at = self._clock.elapsed()
        unread_since: timedelta | None = None
        while True:
            now = self._clock.elapsed()
            if self._peers.should_read_store():
                unread_since = unread_since or now
                turn = min(MAX_TURNS, self._peers.count_readers_before())
                if now - unread_since >= turn * TURN_CHECK_INTERVAL:
                    return
            else:
                unread_since = None
                is_late = now - started_at >= MAX_START_TIME
                if is_late and not self._cluster_state.is_ready:
                    return
            await self._clock.sleep(
                CHECK_INTERVAL if unread_since is None else TURN_CHECK_INTERVAL
            )

    async def _await_other_reader(self, scope: trio.CancelScope) -> None:
        """Cancels reading once a peer reads and this node is ready."""
        await self._clock.sleep(CHECK_INTERVAL)
        while (
            self._peers.should_read_store() or not self._cluster_state.is_ready
        ):
            await self._clock.sleep(CHECK_INTERVAL)
        scope.cancel()
