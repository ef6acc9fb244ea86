"""Authenticated links to peers, with idle timeouts and reconnects.

One link carries messages in both directions. The node whose name sorts first
opens it. The other node waits before it dials, so that each pair of nodes
normally has one link.
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
    MAX_LINK_KEYS,
    HandshakeError,
    Hello,
    Identity,
    Proof,
    authenticate,
)
from acaciarack.link import Handler, Link, LinkTimings, RequestFailedError
from acaciarack.messages import (
    MAX_FRAME_BYTES,
    Message,
    MessageCodec,
)

MAX_CONCURRENT_HANDSHAKES = 64
_LOG = logbook.Logger(__name__)
M = TypeVar("M", bound=Message)
LinkListener = Callable[[Identity, bool], None]


class NotLinkedError(AcaciarackError):
    """There is no link to the peer."""


class LinkKeyError(AcaciarackError):
    """There is no link key, there are too many, or one is too short."""


@dataclass(frozen=True, kw_only=True)
class PeerAddress:
    """The address at which a peer accepts links.

    Attributes:
        node: the peer's name.
        host: its IP address.
        port: its TCP port for links.
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
    """Opens TCP streams, with TLS if a context is given."""

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


class LinkManager:
    """Opens, accepts and keeps the links of one node."""

    def __init__(
        self,
        *,
        identity: Identity,
        keys: Sequence[bytes],
        connector: Connector,
        server_context: ssl.SSLContext | None = None,
        timings: LinkTimings | None = None,
    ) -> None:
        """Creates the manager; ``run`` opens the links.

        Args:
            identity: the identity of this node.
            keys: the accepted link keys; see ``handshakes``.
            connector: opens streams to peers.
            server_context: the TLS context for streams that peers open.
            timings: intervals and timeouts.

        Raises:
            LinkKeyError: ``keys`` is empty, is too long or has a short key.
        """
        _check_keys(keys)
        self._identity = identity
        self._keys = tuple(keys)
        self._connector = connector
        self._server_context = server_context
        self._timings = timings or LinkTimings()
        self._codec = MessageCodec()
        self._counter = TrafficCounter()
        self._handlers: dict[type[Message], Handler] = {}
        self._links: dict[str, Link] = {}
        self._peers: dict[str, PeerAddress] = {}
        self._peers_changed = trio.Event()
        self._listeners: list[LinkListener] = []
        self._handshake_limiter = trio.CapacityLimiter(
            MAX_CONCURRENT_HANDSHAKES
        )

    def register(
        self,
        message_type: type[M],
        handler: Callable[[Identity, M], Awaitable[Message | None]],
    ) -> None:
        """Registers a message type and its handler.

        The handler receives the sender and the message. For a request, it
        returns the reply. Handlers of one-way messages run in order on the
        link and must be short. Handlers of requests run concurrently.
        """
        self._codec.register(message_type)
        untyped: Any = handler
        self._handlers[message_type] = untyped

    def register_reply_type(self, message_type: type[Message]) -> None:
        """Registers a message type that is only received as a reply."""
        self._codec.register(message_type)

    def add_listener(self, listener: LinkListener) -> None:
        """Adds a listener that is called when a link opens or is lost.

        Its second argument is True if the link opened. A link that replaces
        another link to the same peer is only reported as opened.
        """
        self._listeners.append(listener)

    def set_peers(self, peers: Iterable[PeerAddress]) -> None:
        """Sets the peers to which this node keeps links.

        Closes the links that this node opened to nodes not in ``peers``. Links
        that such nodes opened stay until they close them.
        """
        by_node = {peer.node: peer for peer in peers}
        by_node.pop(self._identity.node, None)
        if by_node != self._peers:
            self._peers = by_node
            self._peers_changed.set()

    def reset(self) -> None:
        """Closes every link, for example because received data is outdated."""
        for link in list(self._links.values()):
            link.close(ChannelClosedError("the links were reset"))

    def list_linked_peers(self) -> tuple[Identity, ...]:
        """Returns the peers that have a link, sorted by name."""
        return tuple(self._links[name].peer for name in sorted(self._links))

    def list_traffic(self) -> tuple[Traffic, ...]:
        """Returns message and byte counts for each kind of message."""
        return self._counter.list_traffic()

    def send(self, peer: str, message: Message) -> bool:
        """Queues a one-way message.

        A droppable message that does not fit in the send queue is dropped. Any
        other message that does not fit closes the link.

        Returns:
            False if there is no link or the message closed it, otherwise True.
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
            RequestFailedError: the peer reported a failure, the link was
                lost or closed, or no reply came within ``timeout``. A request
                that does not fit in the send queue closes the link.
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
        """Keeps links to the peers of ``set_peers`` until cancelled."""
        dial_scopes: dict[PeerAddress, trio.CancelScope] = {}
        async with trio.open_nursery() as nursery:
            while True:
                self._peers_changed = trio.Event()
                wanted = set(self._peers.values())
                for address in dial_scopes.keys() - wanted:
                    dial_scopes.pop(address).cancel()
                for address in wanted - dial_scopes.keys():
                    dial_scopes[address] = trio.CancelScope()
                    nursery.start_soon(
                        self._keep_link, address, dial_scopes[address]
                    )
                await self._peers_changed.wait()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serves a stream that a peer opened until the stream ends.

        Closes the stream at once if ``MAX_CONCURRENT_HANDSHAKES`` handshakes
        are running. Can be passed to ``trio.serve_listeners``.
        """
        if self._handshake_limiter.available_tokens < 1:
            await trio.aclose_forcefully(stream)
            return
        if self._server_context is not None:
            stream = trio.SSLStream(
                stream, self._server_context, server_side=True
            )
        await self._serve_stream(stream, dialled_node=None)

    async def _keep_link(
        self, address: PeerAddress, scope: trio.CancelScope
    ) -> None:
        backoff = Backoff()
        dials_second = self._identity.node > address.node
        with scope:
            while True:
                if dials_second:
                    await trio.sleep(self._timings.dial_delay)
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
            with trio.fail_after(self._timings.connect_timeout):
                stream = await self._connector.connect(address)
        except (OSError, trio.TooSlowError) as error:
            _LOG.info("cannot connect to {}: {!r}", address.node, error)
            return False
        return await self._serve_stream(stream, dialled_node=address.node)

    async def _serve_stream(
        self, stream: trio.abc.Stream, *, dialled_node: str | None
    ) -> bool:
        """Runs a link on a stream.

        Returns:
            Whether the link lasted longer than ``LinkTimings.dial_delay``.
        """
        established_at = math.inf
        try:
            channel, peer = await self._perform_handshake(stream, dialled_node)
            link = Link(
                peer=peer,
                channel=channel,
                codec=self._codec,
                handlers=self._handlers,
                timings=self._timings,
            )
            established_at = trio.current_time()
            await self._run_link(link)
        except (AcaciarackError, OSError, trio.TooSlowError) as error:
            _LOG.warning("link handshake failed: {!r}", error)
        finally:
            await trio.aclose_forcefully(stream)
        return trio.current_time() - established_at > self._timings.dial_delay

    async def _perform_handshake(
        self, stream: trio.abc.Stream, dialled_node: str | None
    ) -> tuple[Channel, Identity]:
        codec = MessageCodec()
        codec.register(Hello)
        codec.register(Proof)
        channel = Channel(
            stream=stream,
            codec=codec,
            counter=self._counter,
            idle_timeout=self._timings.idle_timeout,
            max_frame_bytes=MAX_HANDSHAKE_BYTES,
        )
        async with self._handshake_limiter:
            with trio.fail_after(self._timings.handshake_timeout):
                peer = await authenticate(
                    channel,
                    identity=self._identity,
                    keys=self._keys,
                    is_dialler=dialled_node is not None,
                )
        if dialled_node not in (None, peer.node):
            raise HandshakeError(
                f"node {peer.node} responded at the address of {dialled_node}"
            )
        channel.reconfigure(codec=self._codec, max_frame_bytes=MAX_FRAME_BYTES)
        return channel, peer

    async def _run_link(self, link: Link) -> None:
        name = link.peer.node
        previous = self._links.get(name)
        if previous is not None and previous.peer.incarnation > (
            link.peer.incarnation
        ):
            raise HandshakeError(f"{name} has a link with a newer incarnation")
        self._links[name] = link
        if previous is not None:
            previous.close(ChannelClosedError("a newer link took its place"))
        self._notify_listeners(link.peer, True)
        try:
            await link.run()
        finally:
            if self._links.get(name) is link:
                del self._links[name]
                self._notify_listeners(link.peer, False)
        _LOG.info("link to {} closed: {}", name, link.failure)

    def _notify_listeners(self, peer: Identity, linked: bool) -> None:
        for listener in self._listeners:
            listener(peer, linked)


def _check_keys(keys: Sequence[bytes]) -> None:
    if not 1 <= len(keys) <= MAX_LINK_KEYS:
        raise LinkKeyError(
            f"found {len(keys)} link keys; 1 to {MAX_LINK_KEYS} are allowed"
        )
    short = [len(key) for key in keys if len(key) < 16]
    if short:
        raise LinkKeyError(
            f"found a link key of {short[0]} bytes; at least 16 are needed"
        )
