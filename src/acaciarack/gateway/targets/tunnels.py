"""Tunnels: connections to targets that a peer makes and copies bytes for.

A node opens a TCP connection to the peer and names the target. The peer
connects to it and answers with a ``TunnelStatus``; from then on it copies bytes
in both directions. It connects to targets only, never through another peer.

The target's bytes are sent in frames: a length (4 bytes, big-endian) and as
many bytes. A frame of length 0 says that the target has ended its bytes. A
tunnel that closes without it is a broken connection. Tunnels with nodes of a
revision below ``FRAMES_REVISION`` have no frames.
"""

import enum
import socket
import ssl
import struct
from collections.abc import Callable
from contextlib import aclosing
from datetime import timedelta
from typing import Any, Protocol

import httpcore
import logbook
import msgpack
import trio

from acaciarack.errors import AcaciarackError
from acaciarack.gateway.peers.messages import (
    FORMAT_VERSION,
    REVISION,
    MalformedMessageError,
    NodeInfo,
    convert_errors,
)
from acaciarack.gateway.supervision import Supervisor
from acaciarack.gateway.targets.client import Carrier, NotReachedError
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.reachability import Reachability
from acaciarack.gateway.targets.socket_options import SOCKET_OPTIONS
from acaciarack.gateway.targets.target_table import TargetTable
from acaciarack.inflight import InFlight
from acaciarack.network_streams import BreakAwareStream
from acaciarack.resource_limits import derive_limits
from acaciarack.resources import REQUEST_PART, NoRoomError, ResourceAccount
from acaciarack.settings import Address

MAX_TUNNELS = 256
"""Each takes two descriptors, and a buffer in each direction."""
HANDSHAKE_TIMEOUT = timedelta(seconds=1)
"""Time for a peer to name the target."""
CARRIER = "carrier"
"""Names the peer that carries a connection, for ``get_extra_info``."""
TUNNEL_BYTES = 64 * 1024
"""Memory of a tunnel."""
_MAX_HANDSHAKE_BYTES = 512
_COPY_BYTES = 16384
FRAMES_REVISION = 2
"""The lowest revision of nodes whose tunnels have frames."""
_LENGTH_BYTES = 4
_MAX_FRAME_BYTES = 1024 * 1024

_log = logbook.Logger("acaciarack.gateway.tunnels")


class TunnelStatus(enum.StrEnum):
    """The answer of the peer that is asked for a tunnel.

    Attributes:
        CONNECTED: bytes are copied from now on.
        UNREACHABLE: the peer does not reach the target, or must not.
        UNABLE: the peer does not know the target, reaches no targets itself or
            has too many tunnels; another one may help.
    """

    CONNECTED = "connected"
    UNREACHABLE = "unreachable"
    UNABLE = "unable"


class _TunnelNotNeededError(AcaciarackError):
    """The peer closed the connection before it named a target."""


class PeerUnableError(NotReachedError):
    """A peer could not try to connect to the target."""


class DirectConnect(Protocol):
    """Opens a connection without a peer."""

    async def __call__(self, address: Address) -> httpcore.AsyncNetworkStream:
        """Returns the connection.

        Raises:
            NotReachedError: it was not made.
        """
        ...


class TunnelStream(httpcore.AsyncNetworkStream):  # type: ignore[misc]
    """A connection to a target that a peer carries."""

    def __init__(
        self,
        *,
        stream: httpcore.AsyncNetworkStream,
        carrier: Carrier,
        received: bytes = b"",
    ) -> None:
        """Creates a connection.

        Args:
            stream: the connection to the peer.
            carrier: the peer.
            received: what has arrived after the peer's answer.
        """
        self._stream = stream
        self._carrier = carrier
        self._received = bytearray(received)
        self._frame_left = 0
        self._has_ended = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads bytes of the target.

        Raises:
            httpcore.ReadError: the tunnel is broken.
        """
        received = self._received
        while not self._has_ended:
            if not self._carrier.marks_end:
                self._frame_left = len(received)
            elif not self._frame_left and len(received) >= _LENGTH_BYTES:
                self._begin_frame()
                continue
            if size := min(max_bytes, self._frame_left, len(received)):
                data = bytes(received[:size])
                del received[:size]
                self._frame_left -= size
                return data
            received += await self._receive(max_bytes, timeout)
        return b""

    def _begin_frame(self) -> None:
        self._frame_left = int.from_bytes(self._received[:_LENGTH_BYTES])
        del self._received[:_LENGTH_BYTES]
        self._has_ended = self._frame_left == 0
        if self._frame_left > _MAX_FRAME_BYTES:
            raise httpcore.ReadError("the tunnel has a frame without bounds")

    async def _receive(self, max_bytes: int, timeout: float | None) -> bytes:
        data: bytes = await self._stream.read(max_bytes, timeout)
        if not data:
            if self._carrier.marks_end:
                raise httpcore.ReadError("the tunnel closed before its end")
            self._has_ended = True
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes bytes for the target."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Not used: targets are called without TLS."""
        raise NotImplementedError("targets are called without TLS")

    def get_extra_info(self, info: str) -> Any:
        """Returns a property of the connection."""
        if info == CARRIER:
            return self._carrier
        return self._stream.get_extra_info(info)


def get_tunnel_port(node: NodeInfo) -> int:
    """Returns the TCP port of a node for tunnels."""
    return node.link_port + 1


async def open_tunnel(
    connect: DirectConnect, peer: NodeInfo, target: TargetLifetime
) -> httpcore.AsyncNetworkStream:
    """Returns a connection to a target that a peer has made.

    Raises:
        PeerUnableError: the peer could not try to connect.
        NotReachedError: the peer does not reach the target.
    """
    address = Address(host=peer.host, port=get_tunnel_port(peer))
    has_frames = peer.revision >= FRAMES_REVISION
    try:
        stream = await connect(address)
    except NotReachedError as error:
        raise PeerUnableError(str(error)) from error
    try:
        request: list[str | int] = [FORMAT_VERSION, target.id, target.born]
        if has_frames:
            request.append(REVISION)
        await stream.write(msgpack.packb(request))
        status, received = await _read_status(stream)
    except (httpcore.NetworkError, MalformedMessageError) as error:
        await close_stream(stream)
        raise PeerUnableError(f"{peer.name}: {error}") from error
    except BaseException:
        await close_stream(stream)
        raise
    if status is TunnelStatus.CONNECTED:
        return TunnelStream(
            stream=stream,
            carrier=Carrier(name=peer.name, marks_end=has_frames),
            received=received,
        )
    await close_stream(stream)
    if status is TunnelStatus.UNABLE:
        raise PeerUnableError(f"{peer.name} cannot connect to {target.id}")
    raise NotReachedError(f"{peer.name} does not reach {target.id}")


async def _read_status(
    stream: httpcore.AsyncNetworkStream,
) -> tuple[TunnelStatus, bytes]:
    """Returns the status, and what has arrived after it."""
    unpacker = msgpack.Unpacker(max_buffer_size=_MAX_HANDSHAKE_BYTES)
    received = b""
    while True:
        data = await stream.read(_MAX_HANDSHAKE_BYTES)
        if not data:
            raise MalformedMessageError("connection closed without an answer")
        received += data
        with convert_errors():
            unpacker.feed(data)
            for document in unpacker:
                return TunnelStatus(document), received[unpacker.tell() :]


async def close_stream(stream: httpcore.AsyncNetworkStream) -> None:
    """Closes a connection, also while the task is cancelled."""
    with trio.CancelScope(shield=True):
        await stream.aclose()


class TunnelServer:
    """Connects peers to targets that they do not reach themselves."""

    def __init__(
        self,
        *,
        own_node: NodeInfo,
        target_table: TargetTable,
        reachability: Reachability,
        connect: DirectConnect,
        in_flight: InFlight,
        supervisor: Supervisor | None = None,
        account: ResourceAccount | None = None,
        accepts_new: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the server; ``run`` serves tunnels.

        Args:
            own_node: this node.
            target_table: the targets.
            reachability: whether this node reaches them.
            connect: connects to a target.
            in_flight: counts the tunnels as requests in flight.
            supervisor: runs each tunnel.
            account: what callers may make this process use. A tunnel carries
                the request of a peer's caller.
            accepts_new: returns whether a new tunnel would last long enough.
        """
        self._accepts_new = accepts_new
        self._account = account or ResourceAccount(limits=derive_limits())
        self._supervisor = supervisor or Supervisor()
        self._own_node = own_node
        self._target_table = target_table
        self._reachability = reachability
        self._connect = connect
        self._in_flight = in_flight
        self._count = 0

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves tunnels until cancelled."""
        listeners = await trio.open_tcp_listeners(
            get_tunnel_port(self._own_node), host=self._own_node.host
        )
        task_status.started()
        try:
            await trio.serve_listeners(self._serve_alone, listeners)
        finally:
            for listener in listeners:
                listener.socket.close()

    async def _serve_alone(self, stream: trio.SocketStream) -> None:
        await self._supervisor.run_alone("tunnel", self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        for option in SOCKET_OPTIONS:
            stream.setsockopt(*option)
        try:
            share = self._account.open(
                _ignore_drop,
                base_bytes=TUNNEL_BYTES,
                descriptors=2,
                part=REQUEST_PART,
            )
        except NoRoomError as error:
            _log.warning("tunnel not accepted: {}", error)
            await trio.aclose_forcefully(stream)
            return
        self._count += 1
        try:
            async with stream:
                with self._in_flight.track():
                    await self._open(stream)
        except _TunnelNotNeededError as error:
            # The direct connection was made in the meantime.
            _log.debug("tunnel ended: {}", error)
        except (
            trio.BrokenResourceError,
            MalformedMessageError,
            trio.TooSlowError,
        ) as error:
            _log.warning("tunnel ended: {}", error, extra={"outcome": "broken"})
        finally:
            self._count -= 1
            share.close()

    async def _open(self, stream: trio.SocketStream) -> None:
        with trio.fail_after(HANDSHAKE_TIMEOUT.total_seconds()):
            lifetime, has_frames = await _read_target(stream)
        instance = self._target_table.get(lifetime.id)
        if (
            instance is None
            or get_lifetime(instance.target) != lifetime
            or self._reachability.is_cut_off
            or self._count > MAX_TUNNELS
            or not self._accepts_new()
        ):
            await _send_status(stream, TunnelStatus.UNABLE)
            return
        if not self._target_table.restrictions.allows(instance.target):
            # Another peer that knows less would help a request on its way.
            _log.info(
                "tunnel to an evacuated target not opened",
                extra={"target": lifetime.id},
            )
            await _send_status(stream, TunnelStatus.UNREACHABLE)
            return
        try:
            target = await self._connect(instance.target.address)
        except NotReachedError as error:
            _log.info(
                "tunnel not opened: {}", error, extra={"target": lifetime.id}
            )
            await _send_status(stream, TunnelStatus.UNREACHABLE)
            return
        async with aclosing(target):
            await _send_status(stream, TunnelStatus.CONNECTED)
            await _copy_both(
                stream, BreakAwareStream(stream=target), has_frames=has_frames
            )


def _ignore_drop() -> None:
    """A tunnel is never dropped, since it may carry a request that runs."""


async def _read_target(
    stream: trio.SocketStream,
) -> tuple[TargetLifetime, bool]:
    """Returns the target, and whether its bytes are sent in frames."""
    unpacker = msgpack.Unpacker(max_buffer_size=_MAX_HANDSHAKE_BYTES)
    while True:
        data = await stream.receive_some(_MAX_HANDSHAKE_BYTES)
        if not data:
            raise _TunnelNotNeededError("connection closed without a target")
        with convert_errors():
            unpacker.feed(data)
            for version, target_id, born, *rest in unpacker:
                if version != FORMAT_VERSION:
                    raise MalformedMessageError(f"unknown format {version}")
                lifetime = TargetLifetime(id=str(target_id), born=int(born))
                revision = int(rest[0]) if rest else 0
                return lifetime, revision >= FRAMES_REVISION


async def _send_status(stream: trio.SocketStream, status: TunnelStatus) -> None:
    await stream.send_all(msgpack.packb(str(status)))


async def _copy_both(
    stream: trio.SocketStream,
    target: httpcore.AsyncNetworkStream,
    *,
    has_frames: bool,
) -> None:
    """Copies bytes until either end closes its connection.

    The tunnel is reset unless the target has ended its bytes, also if this
    process ends, since an answer that is cut must not look complete. A target
    that has ended them may still read the request, until the peer, which has
    the whole answer then, closes the tunnel.
    """
    _set_reset_on_close(stream, True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_copy_to_target, stream, target, nursery)
        try:
            while data := await target.read(_COPY_BYTES):
                await stream.send_all(
                    _encode_frame(data) if has_frames else data
                )
            if has_frames:
                await stream.send_all(_encode_frame(b""))
            _set_reset_on_close(stream, False)
            await stream.send_eof()
            return
        except httpcore.NetworkError as error:
            _log.debug("the connection to the target broke: {}", error)
        except trio.BrokenResourceError:
            _log.debug("the peer closed the tunnel")
        nursery.cancel_scope.cancel()


def _encode_frame(data: bytes) -> bytes:
    return len(data).to_bytes(_LENGTH_BYTES) + data


async def _copy_to_target(
    stream: trio.SocketStream,
    target: httpcore.AsyncNetworkStream,
    nursery: trio.Nursery,
) -> None:
    try:
        async for data in stream:
            await target.write(data)
    except (trio.BrokenResourceError, httpcore.NetworkError) as error:
        _log.debug("tunnel closed while a request was copied: {}", error)
    nursery.cancel_scope.cancel()


def _set_reset_on_close(stream: trio.SocketStream, enabled: bool) -> None:
    """Sets whether the connection is reset when it is closed."""
    stream.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", enabled, 0)
    )
