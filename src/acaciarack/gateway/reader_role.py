"""Decides when this node reads the store itself.

One node in each data centre reads the store for all. When a whole fleet starts,
every node reads until it receives a heartbeat of another reader. Until then,
each new record costs one store call per reader, and one datagram from each
reader to each node. Nodes therefore stop reading as soon as they can.
"""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.peers import PeerTable

CHECK_INTERVAL = timedelta(milliseconds=250)
"""How often a node checks whether a peer reads the store. Reachable peers send
their first heartbeat at once, and a check sends no message."""

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
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._readers = readers
        self._cluster_state = cluster_state

    async def run(self) -> None:
        """Reads the store while no peer in the data centre reads it for all."""
        while True:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    for reader in self._readers:
                        nursery.start_soon(reader.run)
                    nursery.start_soon(self._await_other_reader, scope)
            for reader in self._readers:
                reader.mark_stopped()
            _log.info("stopped reading the store; a peer reads it")
            while not self._peers.should_read_store():
                await self._clock.sleep(CHECK_INTERVAL)
            _log.info("started reading the store")

    async def _await_other_reader(self, scope: trio.CancelScope) -> None:
        """Cancels reading once a peer reads and this node is ready."""
        await self._clock.sleep(CHECK_INTERVAL)
        while (
            self._peers.should_read_store() or not self._cluster_state.is_ready
        ):
            await self._clock.sleep(CHECK_INTERVAL)
        scope.cancel()
