"""Decides when this node reads the store itself.

One node of each data centre reads for all. Answers the start of a whole
fleet: every node reads until it hears of another that does, and each record
that comes meanwhile costs a call for each reader, and a datagram from each
reader to each node.
"""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.gateway.peers import PeerTable

LOOK = timedelta(milliseconds=250)
"""How often a node looks whether a peer reads for it: a peer that is reached
sends its first datagram at once, and one looks at what it knows already."""

_log = logbook.Logger("acaciarack.gateway.reading")


class Follower(Protocol):
    """Follows one topic of the store."""

    async def run(self) -> None:
        """Follows it until cancelled."""
        ...

    def stop(self) -> None:
        """Notes that the topic is no longer followed here."""
        ...


class Readiness(Protocol):
    """Whether requests can be decided on."""

    @property
    def is_ready(self) -> bool:
        """Whether the configuration and the targets are known."""
        ...


class Reading:
    """This node's turns as a reader."""

    def __init__(
        self,
        *,
        clock: Clock,
        peers: PeerTable,
        readers: Sequence[Follower],
        knowledge: Readiness,
    ) -> None:
        self._clock = clock
        self._peers = peers
        self._readers = readers
        self._knowledge = knowledge

    async def run(self) -> None:
        """Reads the store while no peer of the data centre does."""
        while True:
            with trio.CancelScope() as scope:
                async with trio.open_nursery() as nursery:
                    for reader in self._readers:
                        nursery.start_soon(reader.run)
                    nursery.start_soon(self._await_other_reader, scope)
            for reader in self._readers:
                reader.stop()
            _log.info("a peer reads the store")
            while not self._peers.is_reader():
                await self._clock.sleep(LOOK)
            _log.info("reading the store")

    async def _await_other_reader(self, scope: trio.CancelScope) -> None:
        await self._clock.sleep(LOOK)
        while self._peers.is_reader() or not self._knowledge.is_ready:
            await self._clock.sleep(LOOK)
        scope.cancel()
