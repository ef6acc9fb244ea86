"""Encodes configuration changes and replica states as msgpack."""

import zlib
from typing import Any

import msgspec

from acaciarack.change_messages import (
    Change,
    ConfigurationObject,
    Edit,
    ObjectKind,
    Record,
    ReplicaState,
    get_type,
)
from acaciarack.errors import AcaciarackError

MAX_CHANGE_BYTES = 1024 * 1024
MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024


class RecordError(AcaciarackError):
    """A record or state cannot be decoded, or is too long."""


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log.

    Raises:
        RecordError: the encoded record exceeds ``MAX_CHANGE_BYTES`` or
            ``MAX_SNAPSHOT_BYTES``.
    """
    body = msgspec.msgpack.encode(record)
    is_change = isinstance(record, Change)
    limit = MAX_CHANGE_BYTES if is_change else MAX_SNAPSHOT_BYTES
    if len(body) > limit:
        raise RecordError(f"a record of {len(body)} bytes; at most {limit}")
    return body


def decode_record(body: bytes) -> Record:
    """Decodes a record of the log.

    Raises:
        RecordError: the body is too long or not a valid record, or a value
            does not match the type of its kind.
    """
    if len(body) > MAX_SNAPSHOT_BYTES:
        raise RecordError(f"record is too long: {len(body)} bytes")
    try:
        record: Record = msgspec.msgpack.decode(body, type=Record)
        if isinstance(record, Change):
            edits = tuple(_convert_edit(edit) for edit in record.edits)
            return msgspec.structs.replace(record, edits=edits)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RecordError(str(error)) from error
    return record


def convert_value(kind: ObjectKind, value: Any) -> ConfigurationObject:
    """Converts a map of fields to an object of a kind.

    Raises:
        RecordError: a field is missing or has the wrong type.
    """
    try:
        converted: ConfigurationObject = msgspec.convert(value, get_type(kind))
    except msgspec.ValidationError as error:
        raise RecordError(f"{kind}: {error}") from error
    return converted


def _convert_edit(edit: Edit) -> Edit:
    if edit.value is None:
        return edit
    value = msgspec.convert(edit.value, get_type(edit.kind))
    return msgspec.structs.replace(edit, value=value)


def encode_state(state: ReplicaState) -> bytes:
    """Encodes and compresses a state for another node.

    Raises:
        RecordError: the encoded state exceeds ``MAX_SNAPSHOT_BYTES``.
    """
    body = msgspec.msgpack.encode(state)
    if len(body) > MAX_SNAPSHOT_BYTES:
        raise RecordError(f"encoded state is too long: {len(body)} bytes")
    return zlib.compress(body, zlib.Z_BEST_SPEED)


def decode_state(body: bytes) -> ReplicaState:
    """Decodes a state received from another node.

    Raises:
        RecordError: the state is too long, truncated or not valid.
    """
    try:
        decompressor = zlib.decompressobj()
        decompressed = decompressor.decompress(body, MAX_SNAPSHOT_BYTES)
        if not decompressor.eof:
            raise RecordError("encoded state is truncated or too long")
        return msgspec.msgpack.decode(decompressed, type=ReplicaState)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise RecordError(str(error)) from error
