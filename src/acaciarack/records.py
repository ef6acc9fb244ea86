"""Log records of the at-most-once ledger, of leases and of orders."""

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
from acaciarack.execution import ExecutionKey, StoredResponse

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
    """A node's claim to run a request; the claim with the lowest offset wins.

    Attributes:
        key_id: the hash of the organisation, the service and the key.
        claimant: a unique id of the claim.
        digest: the hash of the request that the key was sent with.
        created: when the caller made the key.
        node: the node that appended the claim.
    """

    key_id: bytes
    claimant: bytes
    digest: bytes
    created: datetime
    node: str


class Void(msgspec.Struct, frozen=True, kw_only=True, tag="void"):
    """Closes a key without a claim, so that its request can never run.

    Attributes:
        key_id: see ``Claim``.
        claimant: a unique id of the record.
        created: when the caller made the key.
    """

    key_id: bytes
    claimant: bytes
    created: datetime


class Outcome(msgspec.Struct, frozen=True, kw_only=True, tag="outcome"):
    """The result of a claimed request, appended only by the claiming node.

    Attributes:
        key_id: see ``Claim``.
        claimant: the ``claimant`` of the claim.
        answer: the target's response; ``None`` if there was none or it was
            too large to store.
        refusal: why there is no response; ``None`` if ``answer`` is set.
    """

    key_id: bytes
    claimant: bytes
    answer: StoredResponse | None = None
    refusal: Refusal | None = None


class LeaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="lease"):
    """A node's request to acquire or renew a lease.

    The offset of the record is the lease's fencing number.

    Attributes:
        target: the target that the lease is for.
        node: the node process that requests the lease.
        request: a unique id of the request.
        seconds: the requested duration of the lease.
    """

    target: str
    node: str
    request: bytes
    seconds: float


class ReleaseRecord(msgspec.Struct, frozen=True, kw_only=True, tag="release"):
    """The holder releases a lease; none of its orders is in flight.

    Attributes:
        target: the target that the lease is for.
        fencing: the fencing number of the lease.
    """

    target: str
    fencing: int


class SubmittedRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag="submitted"
):
    """An order to a target that an operator submitted.

    Attributes:
        order_id: the unique id of the order.
        target: the target.
        kind: see ``OrderKind``.
        model: for loads, the model.
        adapter: for loads, the adapter; empty for none.
        version: for loads, the version of the weights.
        role: for role changes, the new role.
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
    """The result of one attempt to execute an order.

    Attributes:
        order_id: the id of the order.
        fencing: the fencing number that the order was sent with; 0 if it was
            not sent.
        state: the state after the attempt; see ``OrderState``.
        detail: one sentence on the result.
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
    """Decodes a ledger record.

    Raises:
        RecordError: ``body`` is not a ledger record.
    """
    try:
        return _ledger_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise RecordError(f"not a ledger record: {error}") from error


def decode_order_record(body: bytes) -> OrderRecord:
    """Decodes a record of a lease or an order.

    Raises:
        RecordError: ``body`` is not such a record.
    """
    try:
        return _order_decoder.decode(body)
    except msgspec.DecodeError as error:
        raise RecordError(f"not an order record: {error}") from error


def hash_key(key: ExecutionKey) -> bytes:
    """Returns the key's id on the log, a hash short enough for any log."""
    parts = (key.organisation, key.service, key.key.lower())
    return hashlib.sha256("\0".join(parts).encode()).digest()[:KEY_ID_BYTES]


def parse_key_time(key: str) -> datetime:
    """Returns when a key was made, by the clock of the host that made it.

    Raises:
        KeyFormatError: the key is not a UUID of version 6 or 7 in the usual
            form, or its time is out of range.
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


def build_outcome(claim: Claim, result: StoredResponse | Refusal) -> Outcome:
    """Builds the outcome record of a claim.

    A refusal replaces a response larger than ``MAX_OUTCOME_BYTES``.
    """
    response = result if isinstance(result, StoredResponse) else None
    refusal = result if isinstance(result, Refusal) else None
    if response is not None and _measure_size(response) > MAX_OUTCOME_BYTES:
        response = None
        refusal = Refusal(
            code=RefusalCode.TOO_LARGE,
            outcome=RunOutcome.RAN,
            detail="the request ran, but its answer was too large to keep",
        )
    return Outcome(
        key_id=claim.key_id,
        claimant=claim.claimant,
        answer=response,
        refusal=refusal,
    )


def _measure_size(response: StoredResponse) -> int:
    header_bytes = sum(len(k) + len(v) for k, v in response.headers.items())
    return header_bytes + len(response.body)


def _add_time(epoch: datetime, duration: timedelta) -> datetime:
    try:
        return epoch + duration
    except OverflowError as error:
        raise KeyFormatError("the key's time is out of range") from error
