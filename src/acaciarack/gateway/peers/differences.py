"""Differences between two values of a record.

A configuration is long, and most changes touch a few of its entries. A
difference names the parts of the earlier value that the new one repeats, and
holds the others.
"""

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass

from acaciarack.gateway.peers.messages import MalformedMessageError

_DIGEST_SIZE = 16


class MismatchedBaseError(MalformedMessageError):
    """A difference does not belong to the value that it is applied to."""


@dataclass(frozen=True, kw_only=True)
class Difference:
    """What turns an earlier value into a new one.

    Attributes:
        digest: the BLAKE2b digest of the new value, 16 bytes.
        pieces: the new value in order: new bytes, or the start and the length
            of bytes of the earlier value.
    """

    digest: bytes
    pieces: tuple[bytes | tuple[int, int], ...]


def build_difference(base: bytes, value: bytes) -> Difference:
    """Builds the difference from one value to another.

    Takes time in proportion to the lengths of both.
    """
    # JSON objects end with a brace, entries of most other texts with a line.
    separator = b"}" if b"}" in base else b"\n"
    offsets: dict[bytes, int] = {}
    end = 0
    for part in _split(base, separator):
        offsets.setdefault(part, end)
        end += len(part)
    return Difference(
        digest=_compute_digest(value),
        pieces=tuple(_list_pieces(base, offsets, _split(value, separator))),
    )


def apply_difference(
    base: bytes, difference: Difference, *, max_bytes: int
) -> bytes:
    """Returns the new value.

    Raises:
        MismatchedBaseError: the earlier value is another one, or the new one
            would be longer than ``max_bytes``.
    """
    length = sum(
        len(piece) if isinstance(piece, bytes) else piece[1]
        for piece in difference.pieces
    )
    if length > max_bytes:
        raise MismatchedBaseError(f"a difference to {length} bytes")
    value = b"".join(
        piece
        if isinstance(piece, bytes)
        else base[piece[0] : piece[0] + piece[1]]
        for piece in difference.pieces
    )
    if _compute_digest(value) != difference.digest:
        raise MismatchedBaseError("a difference from another value")
    return value


def _list_pieces(
    base: bytes, offsets: dict[bytes, int], parts: list[bytes]
) -> Iterator[bytes | tuple[int, int]]:
    """Yields the pieces of a value; adjacent ones of a kind are joined.

    Args:
        base: the earlier value.
        offsets: where its parts begin.
        parts: the parts of the new value.
    """
    copied: tuple[int, int] | None = None
    added: list[bytes] = []
    for part in parts:
        if copied is not None and base.startswith(part, sum(copied)):
            copied = (copied[0], copied[1] + len(part))
            continue
        if copied is not None:
            yield copied
            copied = None
        offset = offsets.get(part)
        if offset is None:
            added.append(part)
            continue
        if added:
            yield b"".join(added)
            added = []
        copied = (offset, len(part))
    if copied is not None:
        yield copied
    if added:
        yield b"".join(added)


def _split(value: bytes, separator: bytes) -> list[bytes]:
    """Returns the parts of a value, each with the separator at its end."""
    *parts, last = value.split(separator)
    return [*(part + separator for part in parts), *([last] if last else [])]


def _compute_digest(value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=_DIGEST_SIZE).digest()
