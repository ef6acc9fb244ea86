"""Remembers the newest requests of a node and finds them on its peers.

A request is kept as encoded bytes, within a limit on their sum, so that the
many candidates of a decision do not fill the node's memory.
"""

from datetime import timedelta

import cachetools
import logbook
import msgspec
import trio

from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.links import Links
from acaciarack.messages import Message
from acaciarack.observations import RequestObservation

MAX_BYTES = 4 * 1024 * 1024
MAX_INDEX_ENTRIES = 20_000
PEER_TIMEOUT = timedelta(seconds=2)

_logger = logbook.Logger("explanations")


class ObservationRequest(Message, frozen=True, kw_only=True):
    """Asks a peer what it remembers of a request.

    Attributes:
        id: the request's or the response's id.
    """

    id: str


class ObservationReply(Message, frozen=True, kw_only=True):
    """What a peer remembers.

    Attributes:
        body: the encoded observation; empty if there is none.
    """

    body: bytes = b""


class Explanations:
    """An ``ObservationSink`` that remembers, and an ``ExplanationSource``."""

    def __init__(
        self, *, links: Links | None = None, max_bytes: int = MAX_BYTES
    ) -> None:
        """Creates the store; nodes with ``links`` answer each other.

        Args:
            links: to the peers that are asked.
            max_bytes: the sum of the encoded requests; the oldest go first.
        """
        self._links = links
        self._bodies: cachetools.FIFOCache[str, bytes] = cachetools.FIFOCache(
            maxsize=max_bytes, getsizeof=len
        )
        self._requests: cachetools.FIFOCache[str, str] = cachetools.FIFOCache(
            maxsize=MAX_INDEX_ENTRIES
        )
        if links is not None:
            links.register(ObservationRequest, self._answer)
            links.register_reply(ObservationReply)

    def __call__(self, observation: RequestObservation) -> None:
        """Remembers a request at its end.

        Of a response that was resumed here, the part with more attempts
        stays.
        """
        name = observation.request_id
        former = self._find(name)
        if former is not None and _rank(former) > _rank(observation):
            return
        body = msgspec.msgpack.encode(observation)
        if len(body) > self._bodies.maxsize:
            return
        self._bodies[name] = body
        if observation.response_id:
            self._requests[observation.response_id] = name

    async def explain(self, request_id: str) -> RequestObservation | None:
        """Finds a request here or on a linked peer, by either of its ids."""
        found = [self._find(request_id)]
        if self._links is not None:
            async with trio.open_nursery() as nursery:
                for peer in self._links.list_linked():
                    nursery.start_soon(self._ask, peer.node, request_id, found)
        known = [item for item in found if item is not None]
        return max(known, key=_rank, default=None)

    def _find(self, request_id: str) -> RequestObservation | None:
        name = self._requests.get(request_id, request_id)
        body = self._bodies.get(name)
        return _decode(body) if body is not None else None

    async def _answer(
        self, sender: Identity, request: ObservationRequest
    ) -> ObservationReply:
        name = self._requests.get(request.id, request.id)
        return ObservationReply(body=self._bodies.get(name, b""))

    async def _ask(
        self,
        peer: str,
        request_id: str,
        found: list[RequestObservation | None],
    ) -> None:
        assert self._links is not None
        request = ObservationRequest(id=request_id)
        try:
            reply = await self._links.request(
                peer, request, timeout=PEER_TIMEOUT
            )
            if isinstance(reply, ObservationReply) and reply.body:
                found.append(_decode(reply.body))
        except (AcaciarackError, msgspec.DecodeError) as error:
            _logger.info("no explanation from {}: {}", peer, error)


def _decode(body: bytes) -> RequestObservation:
    return msgspec.msgpack.decode(body, type=RequestObservation)


def _rank(observation: RequestObservation) -> tuple[bool, int]:
    """Ranks parts of one request; the dispatching one explains most."""
    return not observation.resumed, len(observation.attempts)
