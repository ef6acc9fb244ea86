"""Exchanges the configuration between nodes over their links."""

import random
from datetime import timedelta
from typing import Protocol

import logbook

from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message
from acaciarack.publication_messages import EncodedConfiguration

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT = timedelta(milliseconds=800)

_logger = logbook.Logger("configuration")


class ConfigurationRequest(Message, frozen=True, kw_only=True):
    """Asks a peer for its state.

    Attributes:
        minimum_version: a state of a lower version is of no use.
    """

    minimum_version: int


class ConfigurationReply(Message, frozen=True, kw_only=True):
    """A peer's state.

    Attributes:
        version: the version that the peer has in force.
        body: the encoded state; empty if its version is too low or the peer
            does not know the configuration yet.
    """

    version: int
    body: bytes = b""


class StateSource(Protocol):
    """Holds the state that peers are given."""

    @property
    def ready(self) -> bool:
        """Whether the state is known."""
        ...

    def encode(self) -> EncodedConfiguration:
        """Returns the state in force."""
        ...


class LinkedPeers:
    """A ``PeerSource`` that asks linked peers, in random order."""

    def __init__(
        self, *, links: Links, randomness: random.Random | None = None
    ) -> None:
        self._links = links
        self._random = randomness or random.Random()
        links.register_reply(ConfigurationReply)

    def serve(self, source: StateSource) -> None:
        """Answers the requests of peers from ``source``."""

        async def answer(
            sender: Identity, request: ConfigurationRequest
        ) -> ConfigurationReply:
            if not source.ready:
                return ConfigurationReply(version=0)
            found = source.encode()
            if found.version < request.minimum_version:
                return ConfigurationReply(version=found.version)
            return ConfigurationReply(version=found.version, body=found.body)

        self._links.register(ConfigurationRequest, answer)

    async def fetch(self, minimum_version: int) -> EncodedConfiguration | None:
        """Asks some peers, one after the other; see ``PeerSource``."""
        peers = [peer.node for peer in self._links.list_linked()]
        self._random.shuffle(peers)
        for peer in peers[:MAX_ATTEMPTS]:
            found = await self._ask(peer, minimum_version)
            if found is not None:
                return found
        return None

    async def _ask(
        self, peer: str, minimum_version: int
    ) -> EncodedConfiguration | None:
        request = ConfigurationRequest(minimum_version=minimum_version)
        try:
            reply = await self._links.request(
                peer, request, timeout=ATTEMPT_TIMEOUT
            )
        except AcaciarackError as error:
            _logger.info("no configuration from {}: {}", peer, error)
            return None
        if not isinstance(reply, ConfigurationReply) or not reply.body:
            return None
        return EncodedConfiguration(version=reply.version, body=reply.body)
