"""Records of the at-most-once ledger and of leases, as the log holds them."""

import hashlib
import uuid
from datetime import UTC, datetime, timedelta

import msgspec
import uuid6

from acaciarack.errors import (
    AcaciarackError,
    Refusal,
    RefusalCode,
    RunOutcome,
)
from acaciarack.execution import ExecutionKey, StoredAnswer

MAX_OUTCOME_BYTES = 64 * 1024
KEY_ID_BYTES = 16
_GREGORIAN_EPOCH = datetime(1582, 10, 15, tzinfo=UTC)
_UNIX_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_TICKS_PER_MICROSECOND = 10


class RecordError(AcaciarackError):
    """A record cannot be decoded."""


class KeyFormatError(AcaciarackError):
    """A key is not a time-ordered UUID."""


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """A node asks to run a request; the first by offset may.

    Attributes:
        key_id: names the key within its organisation and service.
        claimant: unique for each claim.
        digest: what the key stands for.
        created: when the caller made the key.
        node: the node that claims.
    """

    key_id: bytes
    claimant: bytes
    digest: bytes
    created: datetime
    node: str


class Void(msgspec.Struct, frozen=True, kw_only=True, tag="void"):
    """Closes a key that has no claim, so that it can never run.

    Attributes:
        key_id: names the key.
        claimant: unique for each record.
        created: when the caller made the key.
    """

    key_id: bytes
    claimant: bytes
    created: datetime


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag="outcome"):
    """What became of a claimed request. Only its claimant writes it.

    Attributes:
        key_id: names the key.
        claimant: that of the claim.
        answer: the target's answer; ``None`` if there was none or it was too
            large to keep.
        refusal: why there was no answer; ``None`` if the target answered.
    """

    key_id: bytes
    claimant: bytes
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="lease"):
    """A node asks for a lease, or for a longer one.

    The offset of the record is the lease's fencing number.

    Attributes:
        target: the target that the lease is for.
        node: the node that asks.
        request: unique for each request.
        seconds: how long the lease is to last.
    """

    target: str
    node: str
    request: bytes
    seconds: float


class ReleaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="release"):
    """The holder gives a lease back; it has no order under way.

    Attributes:
        target: the target that the lease is for.
        fencing: the fencing number of the lease.
    """

    target: str
    fencing: int


class SubmittedRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag="submitted"
):
    """An operator asks for an order to a target.

    Attributes:
        order_id: unique.
        target: the target.
        kind: see ``desks.OrderKind``.
        model: for loads, the model.
        adapter: for loads, the adapter; empty for none.
        version: for loads, the version of the weights.
        role: for changes of role, the new one.
        author: the operator.
    """

    order_id: str
    target: str
    kind: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    author: str = ""


class AttemptRecord(msgspec.Struct, frozen=True, kw_only=True, tag="attempt"):
    """What became of one attempt to carry an order out.

    Attributes:
        order_id: names the order.
        fencing: the fencing number that it was sent with.
        state: see ``desks.OrderState``.
        detail: one sentence.
    """

    order_id: str
    fencing: int
    state: str
    detail: str = ""


LedgerRecord = Claim | Void | Outcome
OrderRecord = LeaseRecord | ReleaseRecord | SubmittedRecord | AttemptRecord
_encoder = msgspec.msgpack.Encoder()
_ledger_decoder = msgspec.msgpack.Decoder(LedgerRecord)
_order_decoder = msgspec.msgpack.Decoder(OrderRecord)


def encode_record(record: LedgerRecord | OrderRecord) -> bytes:
    """Encodes a record as msgpack."""
    return _encoder.encode(record)


def decode_ledger_record(body: bytes) -> LedgerRecord:
    """Decodes a record of the ledger.

    Raises:
        RecordError: it is not one.
    """
    try:
        return _ledger_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise RecordError(f"not a ledger record: {error}") from error


def decode_order_record(body: bytes) -> OrderRecord:
    """Decodes a record of leases and orders.

    Raises:
        RecordError: it is not one.
    """
    try:
        return _order_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise RecordError(f"not an order record: {error}") from error


def hash_key(key: ExecutionKey) -> bytes:
    """Names a key by a hash, so that it fits any log."""
    parts = (key.organisation, key.service, key.key.lower())
    return hashlib.sha256("\0".join(parts).encode()).digest()[:KEY_ID_BYTES]


def read_key_time(key: str) -> datetime:
    """Returns when a key was made, by its maker's clock.

    Raises:
        KeyFormatError: the key is no UUID of version 6 or 7.
    """
    try:
        parsed = uuid6.UUID(key)
    except ValueError as error:
        raise KeyFormatError(f"the key is no UUID: {error}") from error
    if str(parsed) != key.lower() or parsed.variant != uuid.RFC_4122:
        raise KeyFormatError("the key is not a UUID in the usual form")
    if parsed.version == 6:
        ticks = parsed.time // _TICKS_PER_MICROSECOND
        return _GREGORIAN_EPOCH + timedelta(microseconds=ticks)
    if parsed.version == 7:
        return _add_time(_UNIX_EPOCH, timedelta(milliseconds=parsed.time))
    raise KeyFormatError(
        f"the key is a UUID of version {parsed.version}; 6 and 7 are allowed"
    )


def build_outcome(claim: Claim, result: StoredAnswer | Refusal) -> Outcome:
    """Builds the record of a claim's outcome, bounded in size."""
    answer = result if isinstance(result, StoredAnswer) else None
    refusal = result if isinstance(result, Refusal) else None
    if answer is not None and _measure(answer) > MAX_OUTCOME_BYTES:
        answer = None
        refusal = Refusal(
            code=RefusalCode.TOO_LARGE,
            outcome=RunOutcome.RAN,
            detail="the request ran, but its answer was too large to keep",
        )
    return Outcome(
        key_id=claim.key_id,
        claimant=claim.claimant,
        answer=answer,
        refusal=refusal,
    )


def _measure(answer: StoredAnswer) -> int:
    headers = sum(len(k) + len(v) for k, v in answer.headers.items())
    return headers + len(answer.body)


def _add_time(epoch: datetime, duration: timedelta) -> datetime:
    try:
        return epoch + duration
    except OverflowError as error:
        raise KeyFormatError("the key's time is out of range") from error
