"""Messages between nodes, and node records in the store."""

import enum
import math
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import msgpack

from acaciarack.errors import AcaciarackError
from acaciarack.gateway.capacity.loads import Load
from acaciarack.gateway.capacity.memory_profile import (
    EMPTY_PROFILE,
    decode_profile,
    encode_profile,
)
from acaciarack.gateway.evidence.quarantine_messages import (
    QuarantineNews,
    decode_age,
    decode_quarantine_news,
    encode_quarantine_news,
)
from acaciarack.gateway.message_fields import (
    to_amount,
    to_counts,
    to_host,
    to_int,
    to_name,
    to_port,
)
from acaciarack.gateway.store.replica import Position, Record
from acaciarack.gateway.store.replication import Batch, Topic
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.rate_limits import RateNotice

MAX_DATAGRAM_BYTES = 1400
"""The longest payload that fits into one packet at the usual MTU."""
FORMAT_VERSION = 11
REVISION = 3
"""What this release understands within the format. From revision 1 on, asks,
withdrawals and load reports may end with a map of optional fields. Nodes of
revision 0 reject such messages, so they get them without the map. From
revision 2 on, tunnels mark the end of the target's bytes. Nodes of revision 1
reject requests for such tunnels, so they get requests for plain ones. From
revision 3 on, requests for records may ask for compact responses. Nodes of
revision 2 close the connection of such a request."""
_HEARTBEAT_KIND = "heartbeat"
_LOAD_FIELDS = (
    "requests",
    "used",
    "expected",
    "standby",
    "pending",
)
_MILLISECOND = timedelta(milliseconds=1)
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)


class MalformedMessageError(AcaciarackError):
    """A message or record does not follow the protocol between nodes."""


class NodeState(enum.StrEnum):
    """The lifecycle state of a node.

    Attributes:
        STARTING: the configuration or the list of targets is still missing.
        READY: the node accepts requests.
        LEAVING: the node is draining, and callers should use other nodes.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class NodeInfo:
    """The identity and addresses of a node.

    Attributes:
        name: unique among the nodes.
        started: start time, in milliseconds since the epoch.
        host: IP address.
        front_port: port for callers.
        link_port: port for datagrams (UDP) and fetches (TCP) of other nodes.
        data_centre: the data centre that the node runs in.
        speed: the speed of its processor, in cores.
        revision: which optional parts of messages it understands; see
            ``REVISION``.
    """

    name: str
    started: int
    host: str
    front_port: int
    link_port: int
    data_centre: str
    speed: float = 1.0
    revision: int = 0


@dataclass(frozen=True, kw_only=True)
class TopicUpdate:
    """All records of a topic from offset ``start`` up to the batch's end.

    ``start`` is an offset of the batch's era. If it is 0, the batch holds every
    key of the topic.
    """

    topic: Topic
    start: int
    batch: Batch


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """The content of one datagram.

    Attributes:
        node: the sender.
        sequence: grows with each heartbeat of a lifetime of the sender, so that
            one that is overtaken can be ignored.
        state: the sender's lifecycle state.
        reads_store: whether the sender reads the store and the store responds.
        store_overdue: whether a store response to the sender is overdue or a
            read failed.
        loads: the sender's load on each target.
        ends: the end of the sender's replica of each topic.
        configuration_version: the version in force at the sender.
        updates: records that the sender has just read.
        leaving: targets that announced their shutdown to the sender, not in
            the store.
        evacuated_runs: runs of the sender that no longer wait for the link of
            a leaving engine.
        failures: recent engine failures that the sender saw, decayed by age.
        quarantine: what the sender knows of requests that crash targets.
        limits: what answers to the sender said about targets' limits.
        is_cut_off: whether the sender needs peers to reach targets.
    """

    node: NodeInfo
    state: NodeState
    reads_store: bool
    sequence: int = 0
    store_overdue: bool = False
    loads: Mapping[str, Load] = field(default_factory=dict)
    ends: Mapping[Topic, Position] = field(default_factory=dict)
    configuration_version: int = -1
    updates: tuple[TopicUpdate, ...] = ()
    leaving: tuple[TargetLifetime, ...] = ()
    evacuated_runs: tuple[str, ...] = ()
    failures: Mapping[str, float] = field(default_factory=dict)
    quarantine: QuarantineNews = field(default_factory=QuarantineNews)
    limits: tuple[RateNotice, ...] = ()
    is_cut_off: bool = False


def encode_node(node: NodeInfo) -> bytes:
    """Encodes a node for its record in the store."""
    return _pack(encode_node_fields(node))


def decode_node(data: bytes) -> NodeInfo:
    """Decodes a node from its record in the store.

    Raises:
        MalformedMessageError: the record is invalid.
    """
    with convert_errors():
        return decode_node_fields(msgpack.unpackb(data))


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encodes a heartbeat.

    Leaves out the updates if they make the heartbeat longer than
    ``MAX_DATAGRAM_BYTES``. Peers then fetch these records over TCP.
    """
    document = [
        FORMAT_VERSION,
        _HEARTBEAT_KIND,
        encode_node_fields(heartbeat.node),
        heartbeat.sequence,
        str(heartbeat.state),
        heartbeat.reads_store,
        heartbeat.store_overdue,
        {name: encode_load(load) for name, load in heartbeat.loads.items()},
        {
            str(topic): [end.era, end.offset]
            for topic, end in heartbeat.ends.items()
        },
        heartbeat.configuration_version,
        [[target.id, target.born] for target in heartbeat.leaving],
        list(heartbeat.evacuated_runs),
        {name: round(value, 1) for name, value in heartbeat.failures.items()},
        encode_quarantine_news(heartbeat.quarantine),
        [_encode_limit(notice) for notice in heartbeat.limits],
        heartbeat.is_cut_off,
        [encode_update(update) for update in heartbeat.updates],
    ]
    data = _pack(document)
    if len(data) > MAX_DATAGRAM_BYTES:
        data = _pack([*document[:-1], []])
    return data


def split_datagram(data: bytes) -> tuple[str, list[Any]]:
    """Returns the kind and the fields of a datagram.

    Raises:
        MalformedMessageError: the datagram is invalid.
    """
    with convert_errors():
        version, kind, *fields = msgpack.unpackb(data)
        if version != FORMAT_VERSION:
            raise MalformedMessageError(f"unknown format version {version}")
        return str(kind), fields


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decodes a heartbeat.

    Raises:
        MalformedMessageError: the datagram is invalid.
    """
    kind, fields = split_datagram(data)
    with convert_errors():
        if kind != _HEARTBEAT_KIND:
            raise MalformedMessageError(f"{kind!r} is not a heartbeat")
        node, sequence, state, reads_store, store_overdue, *rest = fields
        loads, ends, configuration_version, leaving, *rest = rest
        evacuated_runs, failures, quarantine, limits, is_cut_off, updates = rest
        return Heartbeat(
            node=decode_node_fields(node),
            sequence=to_int(sequence),
            state=NodeState(state),
            reads_store=bool(reads_store),
            store_overdue=bool(store_overdue),
            loads={
                str(name): decode_load(to_counts(numbers))
                for name, numbers in loads.items()
            },
            ends={
                Topic(topic): Position(era=to_int(era), offset=to_int(offset))
                for topic, (era, offset) in ends.items()
            },
            configuration_version=to_int(configuration_version),
            leaving=tuple(
                TargetLifetime(id=str(target_id), born=to_int(born))
                for target_id, born in leaving
            ),
            evacuated_runs=tuple(str(run_id) for run_id in evacuated_runs),
            failures={str(n): to_amount(v) for n, v in failures.items()},
            quarantine=decode_quarantine_news(quarantine),
            limits=tuple(map(_decode_limit, limits)),
            is_cut_off=bool(is_cut_off),
            updates=tuple(decode_update(item) for item in updates),
        )


def _encode_limit(notice: RateNotice) -> list[Any]:
    return [
        notice.target.id,
        notice.target.born,
        notice.rate,
        notice.age // _MILLISECOND,
        notice.burst,
    ]


def _decode_limit(document: Any) -> RateNotice:
    target_id, born, rate, age, burst = document
    for number in (rate, burst):
        if number is not None and not 0 <= float(number) < math.inf:
            raise ValueError(f"invalid request rate or burst {number}")
    return RateNotice(
        target=TargetLifetime(id=str(target_id), born=to_int(born)),
        rate=None if rate is None else to_amount(rate),
        age=decode_age(age),
        burst=None if burst is None else to_amount(burst),
    )


def encode_update(update: TopicUpdate) -> list[Any]:
    """Returns an update as a list for msgpack."""
    batch = update.batch
    records = [[r.key, r.era, r.offset, r.value] for r in batch.records]
    return [str(update.topic), update.start, batch.era, batch.end, records]


def decode_update(document: Any) -> TopicUpdate:
    """Decodes an update from its msgpack list.

    Raises:
        MalformedMessageError: the list is invalid.
    """
    with convert_errors():
        topic, start, era, end, items = document
        records = tuple(
            Record(
                key=_decode_key(key),
                era=to_int(record_era),
                offset=to_int(offset),
                value=_decode_value(value),
            )
            for key, record_era, offset, value in items
        )
        return TopicUpdate(
            topic=Topic(topic),
            start=to_int(start),
            batch=Batch(records=records, end=to_int(end), era=to_int(era)),
        )


def _decode_key(key: Any) -> str:
    if not isinstance(key, str):
        raise ValueError("the key of a record is not text")
    return key


def _decode_value(value: Any) -> bytes | None:
    if value is None or isinstance(value, bytes):
        return value
    raise ValueError("the value of a record is not bytes")


def _pack(document: Any) -> bytes:
    packed: bytes = msgpack.packb(document)
    return packed


def encode_load(load: Load) -> list[int]:
    """Returns a load as a list for msgpack."""
    numbers = [getattr(load, field) for field in _LOAD_FIELDS]
    return (
        numbers + encode_profile(load.memory_profile)
        if load.memory_profile
        else numbers
    )


def decode_load(numbers: list[int]) -> Load:
    """Decodes a load from its msgpack list.

    Raises:
        ValueError, TypeError: the list is invalid.
    """
    plain = numbers[: len(_LOAD_FIELDS)]
    profile_numbers = numbers[len(_LOAD_FIELDS) :]
    memory_profile = (
        decode_profile(profile_numbers) if profile_numbers else EMPTY_PROFILE
    )
    fields = dict(zip(_LOAD_FIELDS, plain, strict=True))
    return Load(memory_profile=memory_profile, **fields)


def encode_node_fields(node: NodeInfo) -> list[Any]:
    """Returns a node as a list for msgpack."""
    return [
        node.name,
        node.started,
        node.host,
        node.front_port,
        node.link_port,
        node.data_centre,
        node.speed,
        node.revision,
    ]


def decode_node_fields(document: Any) -> NodeInfo:
    """Decodes the fields of a node.

    Earlier versions stated no revision, and before that no speed.

    Raises:
        ValueError, TypeError, OverflowError: the fields are invalid.
    """
    name, started, host, front_port, link_port, data_centre, *rest = document
    return NodeInfo(
        name=to_name(name),
        started=to_int(started),
        host=to_host(host),
        front_port=to_port(front_port),
        link_port=to_port(link_port),
        data_centre=str(data_centre),
        speed=to_amount(rest[0]) if rest else 1.0,
        revision=to_int(rest[1]) if len(rest) > 1 else 0,
    )


@contextmanager
def convert_errors() -> Iterator[None]:
    """Converts decoding errors into ``MalformedMessageError``."""
    try:
        yield
    except DECODE_ERRORS as error:
        raise MalformedMessageError(f"malformed message: {error}") from error
