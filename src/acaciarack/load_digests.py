"""A compact encoding of load reports for other nodes.

A 32-bit hash identifies a target, since every node knows the configured
names. The loaded models of a target are omitted when unchanged.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import ClassVar

import msgspec
import xxhash

from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.messages import Message

DIGEST_BYTES_PER_SECOND = 4500.0
"""A node's traffic limit for digests and reservations, in both directions."""
SUMMARY_BYTES_PER_SECOND = 700.0
"""Traffic limit for the target summaries that a node receives."""
_DIGEST_ENTRY_BYTES = 36
"""Estimated encoded size of a ``TargetDigest``."""
_RESERVATION_BYTES = 14
"""Estimated encoded size of a ``Reservation``."""
_MIN_DIGEST_PERIOD = timedelta(seconds=0.5)
_MAX_DIGEST_PERIOD = timedelta(seconds=1.5)
_MIN_SUMMARY_PERIOD = timedelta(seconds=1)
_LEAVING_FLAG = 1
_MILLISECOND = timedelta(milliseconds=1)
_MICROSECONDS_PER_SECOND = 1_000_000


class LoadedItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The wire form of a ``LoadedModel``."""

    model: str
    adapter: str
    version: str


class TargetDigest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The load of one target, as in its load report.

    Attributes:
        key: the hash of the target's name.
        age: the age of the report when sent, in milliseconds.
        capacity: total KV cache memory, in tokens.
        used: KV cache memory in use, in tokens.
        running: generations in the batch, or calls in progress.
        waiting: generations queued.
        preemptions: generations preempted since the target started.
        step: duration of the newest step, in microseconds.
        flags: bit 0 is set if the target is draining.
        reserved: tokens that all nodes together reserve on it.
        loaded: the index of the target's loaded models in the ``models`` of
            the message; ``None`` if unchanged.
    """

    key: int
    age: int
    capacity: int
    used: int
    running: int
    waiting: int
    preemptions: int
    step: int
    flags: int
    reserved: int
    loaded: int | None = None


class Digests(Message, frozen=True, kw_only=True, tag="d"):
    """A watcher's digests of its targets, for the nodes of its data centre.

    Attributes:
        targets: the targets that the sender reports.
        models: the distinct sets of loaded models.
    """

    droppable: ClassVar[bool] = True
    targets: tuple[TargetDigest, ...]
    models: tuple[tuple[LoadedItem, ...], ...] = ()


class DigestSummary(Message, frozen=True, kw_only=True, tag="g"):
    """The targets of one data centre, for the other data centres.

    Attributes:
        data_centre: the data centre of the targets.
        targets: the targets with a recent report.
        models: the distinct sets of loaded models.
    """

    droppable: ClassVar[bool] = True
    data_centre: str
    targets: tuple[TargetDigest, ...]
    models: tuple[tuple[LoadedItem, ...], ...] = ()


class Reservation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tokens that one node reserves on a target.

    Attributes:
        key: the hash of the target's name.
        tokens: the number of reserved tokens.
    """

    key: int
    tokens: int


class Reservations(Message, frozen=True, kw_only=True, tag="r"):
    """The sender's reservations on targets that the receiver reports.

    Attributes:
        items: the reservations by target, without those of zero tokens.
    """

    droppable: ClassVar[bool] = True
    items: tuple[Reservation, ...]


class LoadedModelTable:
    """Collects the distinct sets of loaded models for one message."""

    def __init__(self) -> None:
        self._indexes: dict[tuple[LoadedModel, ...], int] = {}

    def add(self, loaded: tuple[LoadedModel, ...]) -> int:
        """Returns the index of a set; adds the set if it is new."""
        return self._indexes.setdefault(loaded, len(self._indexes))

    def build_models(self) -> tuple[tuple[LoadedItem, ...], ...]:
        """Returns the sets in the order of their indexes."""
        return tuple(
            tuple(
                LoadedItem(
                    model=item.model, adapter=item.adapter, version=item.version
                )
                for item in loaded
            )
            for loaded in self._indexes
        )


def decode_loaded_models(
    message: Digests | DigestSummary, digest: TargetDigest
) -> tuple[LoadedModel, ...] | None:
    """Returns a target's loaded models; ``None`` if the message lacks them."""
    if digest.loaded is None or not 0 <= digest.loaded < len(message.models):
        return None
    return tuple(
        LoadedModel(
            model=item.model, adapter=item.adapter, version=item.version
        )
        for item in message.models[digest.loaded]
    )


def hash_name(name: str) -> int:
    """Returns the 32-bit key of a target's name."""
    return xxhash.xxh32_intdigest(name.encode())


def map_names(names: Iterable[str]) -> dict[int, str]:
    """Returns the names by key, without names whose keys collide."""
    names_by_key: dict[int, str] = {}
    collisions = set()
    for name in names:
        key = hash_name(name)
        if key in names_by_key:
            collisions.add(key)
        names_by_key[key] = name
    return {
        key: name for key, name in names_by_key.items() if key not in collisions
    }


def compute_digest_period(targets: int) -> timedelta:
    """Computes the period at which the nodes of a data centre send digests.

    Args:
        targets: the number of targets in the data centre.
    """
    # The factor of 2 covers sent and received messages.
    size = 2 * targets * (_DIGEST_ENTRY_BYTES + _RESERVATION_BYTES)
    period = timedelta(seconds=size / DIGEST_BYTES_PER_SECOND)
    return min(_MAX_DIGEST_PERIOD, max(_MIN_DIGEST_PERIOD, period))


def compute_target_summary_period(targets: int) -> timedelta:
    """Computes the period at which a data centre sends target summaries.

    Args:
        targets: the number of targets in the deployment.
    """
    seconds = targets * _DIGEST_ENTRY_BYTES / SUMMARY_BYTES_PER_SECOND
    return max(_MIN_SUMMARY_PERIOD, timedelta(seconds=seconds))


def encode_report(
    report: LoadReport, *, age: timedelta, reserved: int, loaded: int | None
) -> TargetDigest:
    """Encodes a report; ``loaded`` is an index of a ``LoadedModelTable``."""
    return TargetDigest(
        key=hash_name(report.target),
        age=age // _MILLISECOND,
        capacity=report.capacity_tokens,
        used=report.used_tokens,
        running=report.running,
        waiting=report.waiting,
        preemptions=report.preemptions,
        step=round(report.step_seconds * _MICROSECONDS_PER_SECOND),
        flags=_LEAVING_FLAG if report.leaving else 0,
        reserved=reserved,
        loaded=loaded,
    )


def decode_report(
    digest: TargetDigest,
    *,
    target: str,
    now: datetime,
    loaded: tuple[LoadedModel, ...],
) -> LoadReport:
    """Decodes a report.

    Args:
        digest: the received digest.
        target: the target's name.
        now: the wall time.
        loaded: the models that the target has loaded.
    """
    return LoadReport(
        target=target,
        time=now - decode_age(digest),
        capacity_tokens=digest.capacity,
        used_tokens=digest.used,
        running=digest.running,
        waiting=digest.waiting,
        preemptions=digest.preemptions,
        step_seconds=digest.step / _MICROSECONDS_PER_SECOND,
        loaded=loaded,
        leaving=bool(digest.flags & _LEAVING_FLAG),
    )


def decode_age(digest: TargetDigest) -> timedelta:
    """Returns the age of a report when sent, clamped to 0..1 hour."""
    return _MILLISECOND * max(0, min(digest.age, 3_600_000))
