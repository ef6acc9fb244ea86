"""What nodes ask each other besides membership and load.

The newest configuration, and that a stream goes on through another node.
"""

from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.clock import Clock
from acaciarack.departures import Departures
from acaciarack.handshakes import Identity
from acaciarack.link import RequestFailedError
from acaciarack.links import Links, NotLinkedError
from acaciarack.messages import Message
from acaciarack.node_states import NodeView
from acaciarack.publication import ConfigurationStore
from acaciarack.publication_messages import EncodedConfiguration

FETCH_TIMEOUT = timedelta(seconds=2)
NOTICE_INTERVAL = timedelta(milliseconds=500)
_LOG = logbook.Logger(__name__)


class ConfigurationQuery(Message, frozen=True, kw_only=True, tag="cq"):
    """Asks for a configuration of at least a version."""

    minimum_version: int


class ConfigurationAnswer(Message, frozen=True, kw_only=True, tag="ca"):
    """The sender's configuration; empty if it is older than asked for."""

    version: int
    body: bytes = b""


class ResumeNotice(Message, frozen=True, kw_only=True, tag="rn"):
    """Tells that the stream of a request goes on through the sender."""

    request_id: str


class NodeViews(Protocol):
    """Lists the other nodes."""

    def list_nodes(self) -> tuple[NodeView, ...]:
        """Returns the nodes that are known."""
        ...


class LinkPeerSource:
    """Fetches the configuration over links."""

    def __init__(self, *, links: Links) -> None:
        self._links = links
        links.register_reply(ConfigurationAnswer)

    async def fetch(self, minimum_version: int) -> EncodedConfiguration | None:
        """Returns the newest of the linked peers' answers, or ``None``."""
        newest: EncodedConfiguration | None = None
        for peer in self._links.list_linked():
            found = await self._ask(peer, minimum_version)
            if found is None:
                continue
            if newest is None or found.version > newest.version:
                newest = found
            if newest.version > minimum_version:
                break
        return newest

    async def _ask(
        self, peer: Identity, minimum_version: int
    ) -> EncodedConfiguration | None:
        query = ConfigurationQuery(minimum_version=minimum_version)
        try:
            answer = await self._links.request(
                peer.node, query, timeout=FETCH_TIMEOUT
            )
        except (NotLinkedError, RequestFailedError) as error:
            _LOG.info("no configuration from {}: {}", peer.node, error)
            return None
        if not isinstance(answer, ConfigurationAnswer) or not answer.body:
            return None
        return EncodedConfiguration(version=answer.version, body=answer.body)


class ConfigurationServer:
    """Answers peers' queries and notices peers that are ahead."""

    def __init__(
        self,
        *,
        links: Links,
        store: ConfigurationStore,
        nodes: NodeViews,
        clock: Clock,
    ) -> None:
        self._store = store
        self._nodes = nodes
        self._clock = clock
        links.register(ConfigurationQuery, self._answer)

    async def run(self) -> None:
        """Compares versions with the peers' until cancelled."""
        while True:
            versions = [
                node.configuration_version for node in self._nodes.list_nodes()
            ]
            self._store.notice_version(max(versions, default=0))
            await self._clock.sleep(NOTICE_INTERVAL)

    async def _answer(
        self, sender: Identity, query: ConfigurationQuery
    ) -> ConfigurationAnswer:
        version = self._store.current().version
        if not self._store.ready or version < query.minimum_version:
            return ConfigurationAnswer(version=version)
        found = self._store.encode()
        return ConfigurationAnswer(version=found.version, body=found.body)


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
