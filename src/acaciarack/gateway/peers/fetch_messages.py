"""Requests for records of a topic, and their responses.

Nodes of revision ``COMPACT_REVISION`` and later compress responses, and send a
configuration as a difference from the one that the requesting node has. Earlier
ones close the connection of a request that asks for this.
"""

import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import lru_cache
from typing import Any

import msgpack

from acaciarack.gateway.message_fields import to_int
from acaciarack.gateway.peers.differences import (
    Difference,
    apply_difference,
    build_difference,
)
from acaciarack.gateway.peers.messages import (
    MalformedMessageError,
    TopicUpdate,
    convert_errors,
    decode_update,
    encode_update,
)
from acaciarack.gateway.store.replica import Position, Record
from acaciarack.gateway.store.replication import Topic

COMPACT_REVISION = 3
"""The lowest revision of nodes that send compact responses."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Limit of a response, compressed or not. A full list of 600 targets is far
smaller."""
_COMPRESSION_LEVEL = 1
"""Compresses a configuration of 5,000 routes in some ten milliseconds."""
_CACHE_SIZE = 4
"""Number of compressed responses and of differences that are kept, since many
peers fetch the same ones at once."""


@dataclass(frozen=True, kw_only=True)
class RecordVersion:
    """Which record a node has.

    Attributes:
        key: the key of the record.
        position: where it is in its topic.
    """

    key: str
    position: Position


@dataclass(frozen=True, kw_only=True)
class FetchRequest:
    """A request for the records of a topic.

    Attributes:
        topic: the topic.
        start: the position of the first record to send.
        is_compact: whether the response may be compact.
        base: the record that a difference may be based on.
    """

    topic: Topic
    start: Position
    is_compact: bool = False
    base: RecordVersion | None = None


def encode_request(request: FetchRequest) -> bytes:
    """Returns a request as bytes."""
    start = request.start
    document: list[Any] = [str(request.topic), start.era, start.offset]
    if request.is_compact:
        options: dict[str, Any] = {}
        if request.base is not None:
            position = request.base.position
            options["base"] = [
                request.base.key,
                position.era,
                position.offset,
            ]
        document.append(options)
    packed: bytes = msgpack.packb(document)
    return packed


def decode_request(document: Any) -> FetchRequest:
    """Decodes a request from its msgpack list.

    Raises:
        MalformedMessageError: the list is invalid.
    """
    with convert_errors():
        topic, era, offset, *rest = document
        if len(rest) > 1:
            raise MalformedMessageError(f"{len(document)} fields in a request")
        base = None
        if rest and rest[0].get("base") is not None:
            key, base_era, base_offset = rest[0]["base"]
            base = RecordVersion(
                key=str(key),
                position=Position(
                    era=to_int(base_era), offset=to_int(base_offset)
                ),
            )
        return FetchRequest(
            topic=Topic(topic),
            start=Position(era=to_int(era), offset=to_int(offset)),
            is_compact=bool(rest),
            base=base,
        )


def encode_response(
    update: TopicUpdate, request: FetchRequest, base: Record | None
) -> bytes:
    """Returns the response to a request as bytes.

    Args:
        update: the requested records.
        request: the request.
        base: the record that the request names as the base; ``None`` if this
            node does not have it.
    """
    if not request.is_compact:
        packed: bytes = msgpack.packb(encode_update(update))
        return packed
    differences: dict[str, list[Any]] = {}
    records = []
    for record in update.batch.records:
        if (
            base is not None
            and base.value
            and record.value
            and record.key == base.key
        ):
            difference = _build_difference(base.value, record.value)
            differences[record.key] = [difference.digest, difference.pieces]
            record = replace(record, value=b"")
        records.append(record)
    shortened = replace(
        update, batch=replace(update.batch, records=tuple(records))
    )
    data = msgpack.packb([encode_update(shortened), differences])
    compressed: bytes = msgpack.packb(_compress(data))
    return compressed


def decode_response(
    document: Any, find_base: Callable[[str], bytes | None]
) -> TopicUpdate:
    """Decodes a response.

    Args:
        document: its msgpack object: bytes if it is compact.
        find_base: returns the value of a key that the request named as the
            base.

    Raises:
        MismatchedBaseError: it holds a difference from another value.
        MalformedMessageError: the response is invalid.
    """
    if not isinstance(document, bytes):
        return decode_update(document)
    with convert_errors():
        inner, differences = msgpack.unpackb(_decompress(document))
        update = decode_update(inner)
        if not differences:
            return update
        records = tuple(
            replace(
                record,
                value=apply_difference(
                    find_base(record.key) or b"",
                    _decode_difference(differences[record.key]),
                    max_bytes=MAX_RESPONSE_BYTES,
                ),
            )
            if record.key in differences
            else record
            for record in update.batch.records
        )
        return replace(update, batch=replace(update.batch, records=records))


def _decode_difference(document: Any) -> Difference:
    digest, pieces = document
    if not isinstance(digest, bytes):
        raise ValueError("the digest of a difference is not bytes")
    return Difference(digest=digest, pieces=tuple(map(_decode_piece, pieces)))


def _decode_piece(piece: Any) -> bytes | tuple[int, int]:
    if isinstance(piece, bytes):
        return piece
    start, length = (to_int(number) for number in piece)
    if start < 0 or length < 0:
        raise ValueError("a piece of a difference before the start")
    return start, length


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, MAX_RESPONSE_BYTES)
    except zlib.error as error:
        raise MalformedMessageError(f"invalid compression: {error}") from error
    if not decompressor.eof:
        raise MalformedMessageError("a compressed response too long, or cut")
    return found


@lru_cache(maxsize=_CACHE_SIZE)
def _compress(data: bytes) -> bytes:
    return zlib.compress(data, _COMPRESSION_LEVEL)


@lru_cache(maxsize=_CACHE_SIZE)
def _build_difference(base: bytes, value: bytes) -> Difference:
    return build_difference(base, value)
