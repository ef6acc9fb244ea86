"""Links to peers: authenticated, watched for silence, opened again when lost.

One link serves both directions. The node whose name sorts first opens it; the
other waits a moment before it tries, so that one link a pair is the rule.
"""

import math
import ssl
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol, TypeVar

import logbook
import trio

from acaciarack.backoff import Backoff
from acaciarack.channels import (
    Channel,
    ChannelClosedError,
    QueueFullError,
    Traffic,
    TrafficCounter,
)
from acaciarack.errors import AcaciarackError
from acaciarack.handshakes import (
    MAX_HANDSHAKE_BYTES,
    MAX_KEYS,
    HandshakeError,
    Hello,
    Identity,
    Proof,
    authenticate,
)
from acaciarack.link import Handler, Link, LinkTimes, RequestFailedError
from acaciarack.messages import (
    MAX_FRAME_BYTES,
    Message,
    MessageCodec,
)

MAX_HANDSHAKES = 64
_LOG = logbook.Logger(__name__)
M = TypeVar("M", bound=Message)
LinkListener = Callable[[Identity, bool], None]


class NotLinkedError(AcaciarackError):
    """There is no link to the peer at the moment."""


class LinkKeyError(AcaciarackError):
    """The link keys are missing, too many or too short."""


@dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """Where a peer's links are accepted.

    Attributes:
        node: the peer's name.
        host: its IP number.
        port: the TCP port for links.
    """

    node: str
    host: str
    port: int


class Connector(Protocol):
    """Opens byte streams to peers."""

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Opens a stream.

        Raises:
            OSError: the peer cannot be reached.
        """
        ...


class TcpConnector:
    """Opens TCP streams, under TLS if a context is given."""

    def __init__(self, *, context: ssl.SSLContext | None = None) -> None:
        self._context = context

    async def connect(self, address: PeerAddress) -> trio.abc.Stream:
        """Opens a stream; see ``Connector``."""
        stream = await trio.open_tcp_stream(address.host, address.port)
        if self._context is None:
            return stream
        return trio.SSLStream(
            stream, self._context, server_hostname=address.host
        )


class Links:
    """All links of one node."""

    def __init__(
        self,
        *,
        identity: Identity,
        keys: Sequence[bytes],
        connector: Connector,
        server_context: ssl.SSLContext | None = None,
        times: LinkTimes | None = None,
    ) -> None:
        """Creates the links; ``run`` opens them.

        Args:
            identity: who this node is.
            keys: the accepted link keys; see ``handshakes``.
            connector: opens streams to peers.
            server_context: TLS for streams that peers open.
            times: intervals and limits.

        Raises:
            LinkKeyError: ``keys`` has none, too many or a short one.
        """
        _check_keys(keys)
        self._identity = identity
        self._keys = tuple(keys)
        self._connector = connector
        self._server_context = server_context
        self._times = times or LinkTimes()
        self._codec = MessageCodec()
        self._counter = TrafficCounter()
        self._handlers: dict[type[Message], Handler] = {}
        self._links: dict[str, Link] = {}
        self._peers: dict[str, PeerAddress] = {}
        self._changed = trio.Event()
        self._listeners: list[LinkListener] = []
        self._handshakes = trio.CapacityLimiter(MAX_HANDSHAKES)

    def register(
        self,
        kind: type[M],
        handler: Callable[[Identity, M], Awaitable[Message | None]],
    ) -> None:
        """Makes a message type known and sets what takes it.

        The handler gets the sender and the message. What it returns is the
        reply to a request. Handlers of posts run in order on the link and
        must be short; those of requests run side by side.
        """
        self._codec.register(kind)
        untyped: Any = handler
        self._handlers[kind] = untyped

    def register_reply(self, kind: type[Message]) -> None:
        """Makes a message type known that only comes as a reply."""
        self._codec.register(kind)

    def add_listener(self, listener: LinkListener) -> None:
        """Adds what is told of each link that opens (True) or is lost.

        A link that takes the place of another is told of as opened only.
        """
        self._listeners.append(listener)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Sets the peers to keep links to.

        Links to others stay as long as the other end keeps them.
        """
        chosen = {peer.node: peer for peer in peers}
        chosen.pop(self._identity.node, None)
        if chosen != self._peers:
            self._peers = chosen
            self._changed.set()

    def reset(self) -> None:
        """Closes every link, for instance because what comes in is old."""
        for link in list(self._links.values()):
            link.close(ChannelClosedError("the links were reset"))

    def list_linked(self) -> tuple[Identity, ...]:
        """Returns the peers with a link, by name."""
        return tuple(self._links[name].peer for name in sorted(self._links))

    def list_traffic(self) -> tuple[Traffic, ...]:
        """Returns the counts of messages and bytes by kind of message."""
        return self._counter.list_traffic()

    def send(self, peer: str, message: Message) -> bool:
        """Queues a message.

        Returns:
            Whether it was queued; False if there is no link, or if its queue
            was full and the link is closed for that.
        """
        link = self._links.get(peer)
        if link is None:
            return False
        try:
            link.post(message)
        except QueueFullError as error:
            link.close(error)
            return False
        return True

    async def request(
        self, peer: str, message: Message, *, timeout: timedelta
    ) -> Message:
        """Sends a request and waits for its reply.

        Raises:
            NotLinkedError: there is no link; nothing was sent.
            RequestFailedError: the peer failed, was lost or was too slow.
        """
        link = self._links.get(peer)
        if link is None:
            raise NotLinkedError(f"there is no link to {peer}")
        try:
            return await link.request(message, timeout=timeout)
        except QueueFullError as error:
            link.close(error)
            raise RequestFailedError(f"{peer}: {error}") from error

    async def run(self) -> None:
        """Opens links to the chosen peers and keeps them until cancelled."""
        dials: dict[PeerAddress, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                self._changed = trio.Event()
                wanted = set(self._peers.values())
                for address in dials.keys() - wanted:
                    dials.pop(address).cancel()
                for address in wanted - dials.keys():
                    dials[address] = trio.CancelScope()
                    nursery.start_soon(self._dial, address, dials[address])
                await self._changed.wait()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves a stream that a peer opened, until it ends.

        Suits ``trio.serve_listeners``.
        """
        if self._handshakes.available_tokens < 1:
            await trio.aclose_forcefully(stream)
            return
        if self._server_context is not None:
            stream = trio.SSLStream(
                stream, self._server_context, server_side=True
            )
        await self._use_stream(stream, dialled_node=None)

    async def _dial(
        self, address: PeerAddress, scope: trio.CancelScope
    ) -> None:
        backoff = Backoff()
        waits_first = self._identity.node > address.node
        with scope:
            while True:
                if waits_first:
                    await trio.sleep(self._times.grace)
                link = self._links.get(address.node)
                if link is not None:
                    backoff.reset()
                    await link.closed.wait()
                    continue
                if await self._dial_once(address):
                    backoff.reset()
                else:
                    await trio.sleep(backoff.next_delay().total_seconds())

    async def _dial_once(self, address: PeerAddress) -> bool:
        try:
            with trio.fail_after(self._times.connect):
                stream = await self._connector.connect(address)
        except (OSError, trio.TooSlowError) as error:
            _LOG.info("cannot reach {}: {!r}", address.node, error)
            return False
        return await self._use_stream(stream, dialled_node=address.node)

    async def _use_stream(
        self, stream: trio.abc.Stream, *, dialled_node: str | None
    ) -> bool:
        """Runs a link on a stream; returns whether it lasted for a while."""
        established_at = math.inf
        try:
            channel, peer = await self._shake_hands(stream, dialled_node)
            link = Link(
                peer=peer,
                channel=channel,
                codec=self._codec,
                handlers=self._handlers,
                times=self._times,
            )
            established_at = trio.current_time()
            await self._run_link(link)
        except (AcaciarackError, OSError, trio.TooSlowError) as error:
            _LOG.warning("a link was refused: {!r}", error)
        finally:
            await trio.aclose_forcefully(stream)
        return trio.current_time() - established_at > self._times.grace

    async def _shake_hands(
        self, stream: trio.abc.Stream, dialled_node: str | None
    ) -> tuple[Channel, Identity]:
        codec = MessageCodec()
        codec.register(Hello)
        codec.register(Proof)
        channel = Channel(
            stream=stream,
            codec=codec,
            counter=self._counter,
            silence=self._times.silence,
            max_frame_bytes=MAX_HANDSHAKE_BYTES,
        )
        async with self._handshakes:
            with trio.fail_after(self._times.handshake):
                peer = await authenticate(
                    channel,
                    identity=self._identity,
                    keys=self._keys,
                    dialled=dialled_node is not None,
                )
        if dialled_node not in (None, peer.node):
            raise HandshakeError(
                f"found {peer.node} at the address of {dialled_node}"
            )
        channel.widen(codec=self._codec, max_frame_bytes=MAX_FRAME_BYTES)
        return channel, peer

    async def _run_link(self, link: Link) -> None:
        name = link.peer.node
        former = self._links.get(name)
        if former is not None and former.peer.incarnation > (
            link.peer.incarnation
        ):
            raise HandshakeError(f"{name} has a newer incarnation")
        self._links[name] = link
        if former is not None:
            former.close(ChannelClosedError("a newer link took its place"))
        self._tell(link.peer, True)
        try:
            await link.run()
        finally:
            if self._links.get(name) is link:
                del self._links[name]
                self._tell(link.peer, False)
        _LOG.info("the link to {} ended: {}", name, link.failure)

    def _tell(self, peer: Identity, linked: bool) -> None:
        for listener in self._listeners:
            listener(peer, linked)


def _check_keys(keys: Sequence[bytes]) -> None:
    if not 1 <= len(keys) <= MAX_KEYS:
        raise LinkKeyError(
            f"found {len(keys)} link keys; 1 to {MAX_KEYS} are allowed"
        )
    short = [len(key) for key in keys if len(key) < 16]
    if short:
        raise LinkKeyError(
            f"found a link key of {short[0]} bytes; at least 16 are needed"
        )
