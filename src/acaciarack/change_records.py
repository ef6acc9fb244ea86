"""The encoding of configuration changes and states, in msgpack."""

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
    """A record cannot be decoded, or is too long to be encoded."""


def encode_record(record: Record) -> bytes:
    """Encodes a record for the log.

    Raises:
        RecordError: it is over ``MAX_CHANGE_BYTES`` or ``MAX_SNAPSHOT_BYTES``.
    """
    body = msgspec.msgpack.encode(record)
    change = isinstance(record, Change)
    limit = MAX_CHANGE_BYTES if change else MAX_SNAPSHOT_BYTES
    if len(body) > limit:
        raise RecordError(f"a record of {len(body)} bytes; at most {limit}")
    return body


def decode_record(body: bytes) -> Record:
    """Decodes a record of the log.

    Raises:
        RecordError: it is too long, or no record, or its values have other
            types than their kinds.
    """
    if len(body) > MAX_SNAPSHOT_BYTES:
        raise RecordError(f"a record of {len(body)} bytes")
    try:
        record: Record = msgspec.msgpack.decode(body, type=Record)
        if isinstance(record, Change):
            edits = tuple(_convert_edit(edit) for edit in record.edits)
            return msgspec.structs.replace(record, edits=edits)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RecordError(str(error)) from error
    return record


def convert_value(kind: ObjectKind, value: Any) -> ConfigurationObject:
    """Turns a map of fields into the object of a kind.

    Raises:
        RecordError: a field is missing, or has another type.
    """
    try:
        made: ConfigurationObject = msgspec.convert(value, get_type(kind))
    except msgspec.ValidationError as error:
        raise RecordError(f"{kind}: {error}") from error
    return made


def _convert_edit(edit: Edit) -> Edit:
    if edit.value is None:
        return edit
    value = msgspec.convert(edit.value, get_type(edit.kind))
    return msgspec.structs.replace(edit, value=value)


def encode_state(state: ReplicaState) -> bytes:
    """Encodes and compresses a state for another node.

    Raises:
        RecordError: it is over ``MAX_SNAPSHOT_BYTES``.
    """
    body = msgspec.msgpack.encode(state)
    if len(body) > MAX_SNAPSHOT_BYTES:
        raise RecordError(f"a configuration of {len(body)} bytes")
    return zlib.compress(body, zlib.Z_BEST_SPEED)


def decode_state(body: bytes) -> ReplicaState:
    """Decodes a state that another node sent.

    Raises:
        RecordError: it is too long, or no state.
    """
    try:
        decompressor = zlib.decompressobj()
        plain = decompressor.decompress(body, MAX_SNAPSHOT_BYTES)
        if not decompressor.eof:
            raise RecordError("a state that is cut or too long")
        return msgspec.msgpack.decode(plain, type=ReplicaState)
    except (zlib.error, msgspec.DecodeError, RecursionError) as error:
        raise RecordError(str(error)) from error
