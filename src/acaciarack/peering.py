"""Connects a node's components to its peers.

The node compares its configuration version with the versions of other nodes.
When it resumes a stream that a peer started, it notifies that peer.
"""

from datetime import timedelta
from typing import Protocol

from acaciarack.clock import Clock
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.messages import Message
from acaciarack.publication import ConfigurationStore
from acaciarack.resume_tracker import ResumeTracker

VERSION_CHECK_INTERVAL = timedelta(milliseconds=500)


class ResumeNotice(Message, frozen=True, kw_only=True, tag="rn"):
    """Announces that the sender has resumed the stream of a request."""

    request_id: str


class NodeVersions(Protocol):
    """Provides the configuration versions of the known nodes."""

    def find_newest_version(self) -> int:
        """Returns the highest configuration version on any known node."""
        ...


class VersionMonitor:
    """Reports the newest configuration version on any node to the store.

    The store can then detect that other nodes have a newer configuration.
    """

    def __init__(
        self, *, store: ConfigurationStore, nodes: NodeVersions, clock: Clock
    ) -> None:
        self._store = store
        self._nodes = nodes
        self._clock = clock

    async def run(self) -> None:
        """Checks versions every ``VERSION_CHECK_INTERVAL`` until cancelled."""
        while True:
            self._store.record_peer_version(self._nodes.find_newest_version())
            await self._clock.sleep(VERSION_CHECK_INTERVAL)


class StoreView:
    """Adapts the configuration store to ``ConfigurationView``."""

    def __init__(self, *, store: ConfigurationStore) -> None:
        self._store = store
        self.get_configuration = store.current

    def get_digest(self) -> bytes:
        """Returns the 8-byte digest of the configuration in force."""
        return self._store.digest().checksum.to_bytes(8, "big")


class LinkAnnouncer:
    """Notifies the node that started a stream when this node resumes it."""

    def __init__(self, *, links: LinkManager) -> None:
        self._links = links

    def serve(self, resume_tracker: ResumeTracker) -> None:
        """Handles resume notices from peers.

        This node then does not cancel the generation of the request.
        """

        async def handle_notice(sender: Identity, notice: ResumeNotice) -> None:
            resume_tracker.mark_resumed(notice.request_id)

        self._links.register(ResumeNotice, handle_notice)

    async def announce(self, *, node: str, request_id: str) -> None:
        """Sends a notice to ``node``; does nothing if there is no link."""
        self._links.send(node, ResumeNotice(request_id=request_id))
