"""Exchanges configuration states between nodes over their links."""

import random
from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.messages import Message
from acaciarack.publication_messages import EncodedConfiguration

MAX_PEERS_PER_FETCH = 3
FETCH_TIMEOUT = timedelta(milliseconds=800)
"""The time limit for the request to each peer."""

_logger = logbook.Logger("configuration")


class ConfigurationRequest(Message, frozen=True, kw_only=True):
    """Requests a peer's state.

    Attributes:
        minimum_version: the lowest version that the sender accepts.
    """

    minimum_version: int


class ConfigurationReply(Message, frozen=True, kw_only=True):
    """A peer's state.

    Attributes:
        version: the version that the peer has in force; 0 if it is not ready.
        body: the encoded state. It is empty if the peer's version is too low
            or the peer is not ready.
    """

    version: int
    body: bytes = b""


class StateSource(Protocol):
    """Provides the state that this node sends to peers."""

    @property
    def ready(self) -> bool:
        """Whether the node has read the configuration."""
        ...

    def encode(self) -> EncodedConfiguration:
        """Returns the encoded current state."""
        ...


class LinkedPeers:
    """A ``PeerSource`` that queries linked peers in random order."""

    def __init__(
        self, *, links: LinkManager, randomness: random.Random | None = None
    ) -> None:
        self._links = links
        self._random = randomness or random.Random()
        links.register_reply_type(ConfigurationReply)

    def serve(self, source: StateSource) -> None:
        """Registers a handler that answers peers' requests from ``source``."""

        async def handle_request(
            sender: Identity, request: ConfigurationRequest
        ) -> ConfigurationReply:
            if not source.ready:
                return ConfigurationReply(version=0)
            encoded = source.encode()
            if encoded.version < request.minimum_version:
                return ConfigurationReply(version=encoded.version)
            return ConfigurationReply(
                version=encoded.version, body=encoded.body
            )

        self._links.register(ConfigurationRequest, handle_request)

    async def fetch(self, minimum_version: int) -> EncodedConfiguration | None:
        """Queries up to ``MAX_PEERS_PER_FETCH`` peers; see ``PeerSource``."""
        peers = [peer.node for peer in self._links.list_linked_peers()]
        self._random.shuffle(peers)
        for peer in peers[:MAX_PEERS_PER_FETCH]:
            encoded = await self._fetch_from_peer(peer, minimum_version)
            if encoded is not None:
                return encoded
        return None

    async def _fetch_from_peer(
        self, peer: str, minimum_version: int
    ) -> EncodedConfiguration | None:
        request = ConfigurationRequest(minimum_version=minimum_version)
        try:
            reply = await self._links.request(
                peer, request, timeout=FETCH_TIMEOUT
            )
        except AcaciarackError as error:
            _logger.info(
                "cannot fetch the configuration from {}: {}", peer, error
            )
            return None
        if not isinstance(reply, ConfigurationReply) or not reply.body:
            return None
        return EncodedConfiguration(version=reply.version, body=reply.body)
