"""Joins the parts of a node to its peers.

A node compares versions of the configuration with its peers' and tells them
when a stream that they began goes on through it.
"""

from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.departures import Departures
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message
from acaciarack.publication import ConfigurationStore

NOTICE_INTERVAL = timedelta(milliseconds=500)


class ResumeNotice(Message, frozen=True, kw_only=True, tag="rn"):
    """Tells that the stream of a request goes on through the sender."""

    request_id: str


class NodeViews(Protocol):
    """Knows the versions of the other nodes."""

    def find_newest_version(self) -> int:
        """Returns the highest configuration version that a node has."""
        ...


class VersionWatch:
    """Notices peers whose configuration is ahead of this node's."""

    def __init__(
        self, *, store: ConfigurationStore, nodes: NodeViews, clock: Clock
    ) -> None:
        self._store = store
        self._nodes = nodes
        self._clock = clock

    async def run(self) -> None:
        """Compares versions with the peers' until cancelled."""
        while True:
            self._store.notice_version(self._nodes.find_newest_version())
            await self._clock.sleep(NOTICE_INTERVAL)


class StoreView:
    """Shows the store to membership."""

    def __init__(self, *, store: ConfigurationStore) -> None:
        self._store = store
        self.get_configuration = store.current

    def get_digest(self) -> bytes:
        """Returns a digest of the configuration in force; 8 bytes."""
        return self._store.digest().checksum.to_bytes(8, "big")


class LinkAnnouncer:
    """Tells the node that began a stream that it goes on elsewhere."""

    def __init__(self, *, links: Links) -> None:
        self._links = links

    def serve(self, departures: Departures) -> None:
        """Takes the notices of peers for this node's requests."""

        async def keep(sender: Identity, notice: ResumeNotice) -> None:
            departures.keep(notice.request_id)

        self._links.register(ResumeNotice, keep)

    async def announce(self, *, node: str, request_id: str) -> None:
        """Tells ``node``; one that cannot be reached is left untold."""
        self._links.send(node, ResumeNotice(request_id=request_id))
