"""Load reports in a compact form for other nodes.

Targets are named by a 32-bit hash, since every node knows the configured
names. The models that a target has loaded are left out when unchanged.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import ClassVar

import msgspec
import xxhash

from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.messages import Message

DIGEST_RATE = 4500.0
"""Bytes a second, sent and received, for digests and reservations."""
SUMMARY_RATE = 700.0
"""Bytes a second that summaries of all targets may bring to each node."""
_DIGEST_ENTRY_BYTES = 36
_RESERVATION_BYTES = 14
_MIN_DIGEST_PERIOD = timedelta(seconds=0.5)
_MAX_DIGEST_PERIOD = timedelta(seconds=1.5)
_MIN_SUMMARY_PERIOD = timedelta(seconds=1)
_LEAVING = 1
_MILLISECOND = timedelta(milliseconds=1)
_MICROSECONDS = 1_000_000


class LoadedItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A model that a target has loaded; see ``LoadedModel``."""

    model: str
    adapter: str
    version: str


class TargetDigest(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One target's load.

    Attributes:
        key: the hash of its name.
        age: of the report when sent, in milliseconds.
        capacity: key-value memory in all, in tokens.
        used: key-value memory in use, in tokens.
        running: generations in the batch, or calls in progress.
        waiting: generations queued.
        preemptions: generations preempted since the target started.
        step: duration of the newest step, in microseconds.
        flags: bit 0 tells that the target leaves.
        reserved: tokens that all nodes together hold reserved on it.
        loaded: where the message lists the models that it can run;
            ``None`` if unchanged.
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
    """Targets as their watcher sees them, for its data centre.

    Attributes:
        targets: the targets that the sender reports.
        models: the different sets of models that targets have loaded.
    """

    droppable: ClassVar[bool] = True
    targets: tuple[TargetDigest, ...]
    models: tuple[tuple[LoadedItem, ...], ...] = ()


class DigestSummary(Message, frozen=True, kw_only=True, tag="g"):
    """All targets of a data centre, for the other ones.

    Attributes:
        data_centre: where the targets stand.
        targets: those that were heard of lately.
        models: the different sets of models that targets have loaded.
    """

    droppable: ClassVar[bool] = True
    data_centre: str
    targets: tuple[TargetDigest, ...]
    models: tuple[tuple[LoadedItem, ...], ...] = ()


class Reservation(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Tokens that one node holds reserved on a target.

    Attributes:
        key: the hash of the target's name.
        tokens: how many.
    """

    key: int
    tokens: int


class Reservations(Message, frozen=True, kw_only=True, tag="r"):
    """What the sender holds reserved on targets that the receiver reports.

    Attributes:
        items: one for each target, zero ones left out.
    """

    droppable: ClassVar[bool] = True
    items: tuple[Reservation, ...]


class LoadedTable:
    """Collects the different sets of models for one message."""

    def __init__(self) -> None:
        self._places: dict[tuple[LoadedModel, ...], int] = {}

    def add(self, loaded: tuple[LoadedModel, ...]) -> int:
        """Returns the place of a set, adding it if it is new."""
        return self._places.setdefault(loaded, len(self._places))

    def build_models(self) -> tuple[tuple[LoadedItem, ...], ...]:
        """Builds the sets in order of their places."""
        return tuple(
            tuple(
                LoadedItem(
                    model=item.model, adapter=item.adapter, version=item.version
                )
                for item in loaded
            )
            for loaded in self._places
        )


def find_loaded(
    message: Digests | DigestSummary, digest: TargetDigest
) -> tuple[LoadedModel, ...] | None:
    """Returns what a target has loaded; ``None`` if it is not told."""
    if digest.loaded is None or not 0 <= digest.loaded < len(message.models):
        return None
    return tuple(
        LoadedModel(
            model=item.model, adapter=item.adapter, version=item.version
        )
        for item in message.models[digest.loaded]
    )


def hash_name(name: str) -> int:
    """Returns the key of a target's name, 32 bits."""
    return xxhash.xxh32_intdigest(name.encode())


def map_names(names: Iterable[str]) -> dict[int, str]:
    """Returns the names by key; names whose keys collide are left out."""
    known: dict[int, str] = {}
    twice = set()
    for name in names:
        key = hash_name(name)
        if key in known:
            twice.add(key)
        known[key] = name
    return {key: name for key, name in known.items() if key not in twice}


def compute_digest_period(targets: int) -> timedelta:
    """Computes how often the nodes of a data centre exchange digests.

    Args:
        targets: how many targets the data centre has.
    """
    size = 2 * targets * (_DIGEST_ENTRY_BYTES + _RESERVATION_BYTES)
    period = timedelta(seconds=size / DIGEST_RATE)
    return min(_MAX_DIGEST_PERIOD, max(_MIN_DIGEST_PERIOD, period))


def compute_target_summary_period(targets: int) -> timedelta:
    """Computes how often a data centre tells the others of its targets.

    Args:
        targets: how many targets the deployment has.
    """
    seconds = targets * _DIGEST_ENTRY_BYTES / SUMMARY_RATE
    return max(_MIN_SUMMARY_PERIOD, timedelta(seconds=seconds))


def encode_report(
    report: LoadReport, *, age: timedelta, reserved: int, loaded: int | None
) -> TargetDigest:
    """Encodes a report; ``loaded`` is a place in a ``LoadedTable``."""
    return TargetDigest(
        key=hash_name(report.target),
        age=age // _MILLISECOND,
        capacity=report.capacity_tokens,
        used=report.used_tokens,
        running=report.running,
        waiting=report.waiting,
        preemptions=report.preemptions,
        step=round(report.step_seconds * _MICROSECONDS),
        flags=_LEAVING if report.leaving else 0,
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
        digest: what came in.
        target: the name that its key stands for.
        now: the wall time.
        loaded: what the target has loaded.
    """
    return LoadReport(
        target=target,
        time=now - decode_age(digest),
        capacity_tokens=digest.capacity,
        used_tokens=digest.used,
        running=digest.running,
        waiting=digest.waiting,
        preemptions=digest.preemptions,
        step_seconds=digest.step / _MICROSECONDS,
        loaded=loaded,
        leaving=bool(digest.flags & _LEAVING),
    )


def decode_age(digest: TargetDigest) -> timedelta:
    """Returns the age of a digest when sent; at most an hour."""
    return _MILLISECOND * max(0, min(digest.age, 3_600_000))
