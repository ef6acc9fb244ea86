"""Stores a node's newest request observations and queries those of its peers.

The store keeps observations encoded and limits their total size, because the
many candidates of each placement would otherwise fill the node's memory.
"""

from datetime import timedelta

import cachetools
import logbook
import msgspec
import trio

from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager
from acaciarack.messages import Message
from acaciarack.observations import RequestObservation

MAX_BYTES = 4 * 1024 * 1024
"""Maximum total size of the encoded observations."""
MAX_RESPONSE_IDS = 20_000
"""Maximum number of response ids that the store maps to request ids."""
PEER_TIMEOUT = timedelta(seconds=2)

_logger = logbook.Logger("explanations")


class ObservationRequest(Message, frozen=True, kw_only=True):
    """Asks a peer for its observation of a request.

    Attributes:
        id: the request id or the response id.
    """

    id: str


class ObservationReply(Message, frozen=True, kw_only=True):
    """The peer's reply to an ``ObservationRequest``.

    Attributes:
        body: the encoded observation, or empty if the peer has none.
    """

    body: bytes = b""


class ExplanationStore:
    """Stores observations and finds them on this node and its peers.

    The store is an ``ObservationSink`` and an ``ExplanationSource``.
    """

    def __init__(
        self, *, links: LinkManager | None = None, max_bytes: int = MAX_BYTES
    ) -> None:
        """Creates the store.

        Args:
            links: the links to the peers; ``None`` to use local data only.
            max_bytes: the maximum total size of the encoded observations. The
                oldest ones are evicted first.
        """
        self._links = links
        self._encoded_observations: cachetools.FIFOCache[str, bytes] = (
            cachetools.FIFOCache(maxsize=max_bytes, getsizeof=len)
        )
        self._request_ids_by_response: cachetools.FIFOCache[str, str] = (
            cachetools.FIFOCache(maxsize=MAX_RESPONSE_IDS)
        )
        if links is not None:
            links.register(ObservationRequest, self._serve_request)
            links.register_reply_type(ObservationReply)

    def __call__(self, observation: RequestObservation) -> None:
        """Stores the observation of a finished request.

        A node can have several observations of one request, because each resume
        of the stream adds one. The store keeps the one with the highest rank.
        """
        request_id = observation.request_id
        previous = self._find(request_id)
        if previous is not None and _get_rank(previous) > _get_rank(
            observation
        ):
            return
        body = msgspec.msgpack.encode(observation)
        if len(body) > self._encoded_observations.maxsize:
            return
        self._encoded_observations[request_id] = body
        if observation.response_id:
            self._request_ids_by_response[observation.response_id] = request_id

    async def explain(self, request_id: str) -> RequestObservation | None:
        """Finds a request on this node and on linked peers, by either id."""
        found = [self._find(request_id)]
        if self._links is not None:
            async with trio.open_nursery() as nursery:
                for peer in self._links.list_linked_peers():
                    nursery.start_soon(
                        self._query_peer, peer.node, request_id, found
                    )
        known = [item for item in found if item is not None]
        return max(known, key=_get_rank, default=None)

    def _find(self, request_id: str) -> RequestObservation | None:
        key = self._request_ids_by_response.get(request_id, request_id)
        body = self._encoded_observations.get(key)
        return _decode(body) if body is not None else None

    async def _serve_request(
        self, sender: Identity, request: ObservationRequest
    ) -> ObservationReply:
        key = self._request_ids_by_response.get(request.id, request.id)
        return ObservationReply(body=self._encoded_observations.get(key, b""))

    async def _query_peer(
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
            _logger.info(
                "failed to get an observation from peer {}: {}", peer, error
            )


def _decode(body: bytes) -> RequestObservation:
    return msgspec.msgpack.decode(body, type=RequestObservation)


def _get_rank(observation: RequestObservation) -> tuple[bool, int]:
    """Returns a sort key. The most complete observation has the highest key.

    The node that dispatched a request has a more complete observation than a
    node that resumed its stream.
    """
    return not observation.resumed, len(observation.attempts)
