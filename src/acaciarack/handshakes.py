"""The start of a link: both ends say who they are and prove it.

Each end sends a hello with a fresh nonce, then the HMAC-SHA256 of its role and
both hellos under every key that it holds. An end accepts the other when one
of these fits one of its own keys, so that keys are rotated by adding the new
one everywhere before the old one is removed. Frames that follow are protected
only if the link runs over TLS.
"""

import hmac
import secrets
from collections.abc import Sequence
from typing import Protocol

import msgpack
import msgspec

from acaciarack.errors import AcaciarackError
from acaciarack.messages import Frame, Message, Purpose

LINK_VERSION = 1
MAX_HANDSHAKE_BYTES = 8 * 1024
MAX_KEYS = 4
_NONCE_BYTES = 16


class HandshakeError(AcaciarackError):
    """The other end speaks another version or could not prove its name."""


class Identity(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Who a node is.

    Attributes:
        node: its name.
        data_centre: where it stands.
        incarnation: larger with each start of the node.
        host: the IP number at which callers reach it.
        port: the TCP port at which callers reach it.
    """

    node: str
    data_centre: str
    incarnation: int
    host: str
    port: int


class Hello(Message, frozen=True, kw_only=True):
    """The first message of each end.

    Attributes:
        version: the version of the protocol between nodes.
        identity: who sends it.
        nonce: random bytes, new for each link.
    """

    version: int
    identity: Identity
    nonce: bytes


class Proof(Message, frozen=True, kw_only=True):
    """Shows that the sender holds a key.

    Attributes:
        digests: one for each key that it holds.
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
    """Computes what an end proves itself by."""
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
    dialled: bool,
) -> Identity:
    """Runs the handshake.

    Args:
        channel: the new link.
        identity: who this node is.
        keys: the accepted keys, at most ``MAX_KEYS``.
        dialled: whether this node opened the link.

    Returns:
        Who the other end is.

    Raises:
        HandshakeError: it speaks another version, or has none of the keys.
    """
    hello = Hello(
        version=LINK_VERSION,
        identity=identity,
        nonce=secrets.token_bytes(_NONCE_BYTES),
    )
    await _send(channel, hello)
    other = _check_hello(await channel.receive(), identity)
    dialler, acceptor = (hello, other) if dialled else (other, hello)
    own_role, other_role = _name_roles(dialled)
    digests = tuple(
        compute_proof(key, role=own_role, dialler=dialler, acceptor=acceptor)
        for key in keys
    )
    await _send(channel, Proof(digests=digests))
    expected = [
        compute_proof(key, role=other_role, dialler=dialler, acceptor=acceptor)
        for key in keys
    ]
    _check_proof(await channel.receive(), expected, other.identity.node)
    return other.identity


def _name_roles(dialled: bool) -> tuple[str, str]:
    return ("dialler", "acceptor") if dialled else ("acceptor", "dialler")


async def _send(channel: FrameChannel, message: Message) -> None:
    await channel.send(Frame(purpose=Purpose.POST, message=message))


def _check_hello(frame: Frame, own: Identity) -> Hello:
    hello = frame.message
    if not isinstance(hello, Hello):
        raise HandshakeError(f"expected Hello, found {frame!r}")
    if hello.version != LINK_VERSION:
        raise HandshakeError(
            f"{hello.identity.node} speaks version {hello.version} of the"
            f" protocol between nodes; this node speaks {LINK_VERSION}"
        )
    if hello.identity.node == own.node:
        raise HandshakeError(
            f"the other end has this node's own name, {own.node}"
        )
    return hello


def _check_proof(frame: Frame, expected: list[bytes], node: str) -> None:
    proof = frame.message
    if not isinstance(proof, Proof):
        raise HandshakeError(f"expected Proof, found {frame!r}")
    fits = [
        hmac.compare_digest(found, digest)
        for found in proof.digests[:MAX_KEYS]
        for digest in expected
    ]
    if not any(fits):
        raise HandshakeError(f"{node} holds none of the accepted link keys")
