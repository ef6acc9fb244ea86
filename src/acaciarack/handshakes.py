"""The handshake of a link, in which both nodes authenticate each other.

Each node sends a hello with a fresh nonce. It then sends one digest for each
key that it holds: the HMAC-SHA256 of its role and both hellos. A node accepts
its peer if one of the received digests was made with a key that the node also
holds. To rotate keys, an operator adds the new key on every node before
removing the old one.
The frames after the handshake are protected only if the link uses TLS.
"""

import hmac
import secrets
from collections.abc import Sequence
from typing import Protocol

import msgpack
import msgspec

from acaciarack.errors import AcaciarackError
from acaciarack.messages import Frame, Message, Purpose

LINK_PROTOCOL_VERSION = 1
MAX_HANDSHAKE_BYTES = 8 * 1024
MAX_LINK_KEYS = 4
_NONCE_BYTES = 16


class HandshakeError(AcaciarackError):
    """The peer failed the handshake, or its identity was not accepted."""


class Identity(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The identity of a node.

    Attributes:
        node: the name of the node.
        data_centre: the data centre of the node.
        incarnation: increases with each start of the node.
        host: the IP address at which callers reach the node.
        port: the TCP port at which callers reach the node.
    """

    node: str
    data_centre: str
    incarnation: int
    host: str
    port: int


class Hello(Message, frozen=True, kw_only=True):
    """The first message that each node sends on a link.

    Attributes:
        version: the version of the link protocol.
        identity: the identity of the sender.
        nonce: random bytes, new for each link.
    """

    version: int
    identity: Identity
    nonce: bytes


class Proof(Message, frozen=True, kw_only=True):
    """Proves that the sender holds a link key.

    Attributes:
        digests: one HMAC digest for each key that the sender holds.
    """

    digests: tuple[bytes, ...]


class FrameChannel(Protocol):
    """Sends and receives frames."""

    async def send(self, frame: Frame) -> None:
        """Sends one frame."""
        ...

    async def receive(self) -> Frame:
        """Returns the next frame."""
        ...


def compute_proof(
    key: bytes, *, role: str, dialler: Hello, acceptor: Hello
) -> bytes:
    """Computes the digest that proves that a node holds ``key``."""
    transcript = msgpack.packb(
        [
            role,
            msgspec.to_builtins(dialler, builtin_types=(bytes,)),
            msgspec.to_builtins(acceptor, builtin_types=(bytes,)),
        ]
    )
    return hmac.digest(key, transcript, "sha256")


async def authenticate(
    channel: FrameChannel,
    *,
    identity: Identity,
    keys: Sequence[bytes],
    is_dialler: bool,
) -> Identity:
    """Runs the handshake.

    Args:
        channel: the channel of the new link.
        identity: the identity of this node.
        keys: the link keys of this node, at most ``MAX_LINK_KEYS``.
        is_dialler: whether this node opened the link.

    Returns:
        The identity of the peer.

    Raises:
        HandshakeError: the peer sent an unexpected message, uses another
            protocol version, has this node's name, or holds none of the keys.
    """
    hello = Hello(
        version=LINK_PROTOCOL_VERSION,
        identity=identity,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )
    await _send(channel, hello)
    peer_hello = _check_hello(await channel.receive(), identity)
    dialler, acceptor = (
        (hello, peer_hello) if is_dialler else (peer_hello, hello)
    )
    own_role, peer_role = _get_roles(is_dialler)
    digests = tuple(
        compute_proof(key, role=own_role, dialler=dialler, acceptor=acceptor)
        for key in keys
    )
    await _send(channel, Proof(digests=digests))
    expected = [
        compute_proof(key, role=peer_role, dialler=dialler, acceptor=acceptor)
        for key in keys
    ]
    _check_proof(await channel.receive(), expected, peer_hello.identity.node)
    return peer_hello.identity


def _get_roles(is_dialler: bool) -> tuple[str, str]:
    """Returns the role of this node and the role of its peer."""
    return ("dialler", "acceptor") if is_dialler else ("acceptor", "dialler")


async def _send(channel: FrameChannel, message: Message) -> None:
    await channel.send(Frame(purpose=Purpose.POST, message=message))


def _check_hello(frame: Frame, own_identity: Identity) -> Hello:
    hello = frame.message
    if not isinstance(hello, Hello):
        raise HandshakeError(f"expected Hello, received {frame!r}")
    if hello.version != LINK_PROTOCOL_VERSION:
        raise HandshakeError(
            f"{hello.identity.node} uses version {hello.version} of the"
            f" link protocol; this node uses {LINK_PROTOCOL_VERSION}"
        )
    if hello.identity.node == own_identity.node:
        raise HandshakeError(
            f"the peer has the same name as this node, {own_identity.node}"
        )
    return hello


def _check_proof(frame: Frame, expected: list[bytes], node: str) -> None:
    proof = frame.message
    if not isinstance(proof, Proof):
        raise HandshakeError(f"expected Proof, received {frame!r}")
    matches = [
        hmac.compare_digest(received, digest)
        for received in proof.digests[:MAX_LINK_KEYS]
        for digest in expected
    ]
    if not any(matches):
        raise HandshakeError(f"{node} holds none of the accepted link keys")
