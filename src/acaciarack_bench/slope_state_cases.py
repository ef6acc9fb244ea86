"""Cases that measure how configuration, lengths and the ledger scale."""

import itertools
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import trio
import uuid6

from acaciarack._ledger_index import LedgerIndex, ValidityWindow
from acaciarack._ledger_partition import Partition
from acaciarack.change_messages import (
    Change,
    Edit,
    ObjectKind,
    ReplicaState,
)
from acaciarack.change_records import decode_state, encode_record, encode_state
from acaciarack.changes import apply_change
from acaciarack.clock import ManualClock, SystemClock
from acaciarack.configuration import Configuration, Organisation
from acaciarack.keys import KeyIndex
from acaciarack.lengths import LengthEstimator, LengthGroup, LengthSettings
from acaciarack.platform import LogEntry
from acaciarack.records import Claim, decode_ledger_record
from acaciarack.records import encode_record as encode_ledger_record
from acaciarack.replicas import Replica
from acaciarack.validation import find_faults
from acaciarack_bench.log import MemoryLog
from acaciarack_bench.slope_cases import CPU_QUANTITY, MEMORY_QUANTITY
from acaciarack_bench.slope_inputs import EPOCH, make_configuration
from acaciarack_bench.slopes import add_case, measure_cpu, measure_memory

ORGANISATION_COUNTS = (325, 650, 1300, 2600, 5200)
CHANGE_COUNTS = (5, 10, 20, 40, 80)
CLAIM_COUNTS = (500, 1000, 2000, 4000, 8000)
GROUP_COUNTS = (32, 64, 128, 256, 512)
BATCH_SIZES = (25, 50, 100, 200, 400)
_WINDOW = ValidityWindow(retention=timedelta(days=1))


def _make_state(organisations: int) -> ReplicaState:
    configuration = make_configuration(targets=600, organisations=organisations)
    return ReplicaState(applied_offset=1_000_000, configuration=configuration)


def _make_change(version: int, number: int) -> Change:
    name = f"organisation-{number:05}"
    organisation = Organisation(
        name=name, key_hashes=("f" * 64,), share=1.0 + number % 7
    )
    edit = Edit(kind=ObjectKind.ORGANISATION, name=name, value=organisation)
    return Change(
        change_id=str(uuid6.uuid7()),
        author="operator",
        base_version=version,
        edits=(edit,),
    )


@add_case(
    "state, plain",
    size="organisation",
    quantity="bytes",
    sizes=ORGANISATION_COUNTS,
)
def _measure_state(organisations: int) -> float:
    return len(msgspec.msgpack.encode(_make_state(organisations)))


@add_case(
    "state, packed",
    size="organisation",
    quantity="bytes",
    sizes=ORGANISATION_COUNTS,
)
def _measure_packed_state(organisations: int) -> float:
    return len(encode_state(_make_state(organisations)))


@add_case(
    "encode state",
    size="organisation",
    quantity=CPU_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _encode_state(organisations: int) -> float:
    state = _make_state(organisations)
    return measure_cpu(lambda: encode_state(state))


@add_case(
    "decode state",
    size="organisation",
    quantity=CPU_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _decode_state(organisations: int) -> float:
    body = encode_state(_make_state(organisations))
    return measure_cpu(lambda: decode_state(body))


@add_case(
    "state memory",
    size="organisation",
    quantity=MEMORY_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _measure_state_memory(organisations: int) -> float:
    body = encode_state(_make_state(organisations))
    return measure_memory(lambda: decode_state(body))


@add_case(
    "apply change",
    size="organisation",
    quantity=CPU_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _apply_change(organisations: int) -> float:
    configuration = _make_state(organisations).configuration
    change = _make_change(configuration.version, 1)
    offset = configuration.version + 1
    return measure_cpu(lambda: apply_change(configuration, offset, change))


@add_case(
    "validate",
    size="organisation",
    quantity=CPU_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _validate(organisations: int) -> float:
    configuration = _make_state(organisations).configuration
    return measure_cpu(lambda: find_faults(configuration))


@add_case(
    "key index",
    size="organisation",
    quantity=CPU_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _index_keys(organisations: int) -> float:
    return measure_cpu(_build_key_index(organisations))


@add_case(
    "key index memory",
    size="organisation",
    quantity=MEMORY_QUANTITY,
    sizes=ORGANISATION_COUNTS,
)
def _measure_key_index_memory(organisations: int) -> float:
    build = _build_key_index(organisations)
    return measure_memory(build)


def _build_key_index(organisations: int) -> Callable[[], KeyIndex]:
    configuration = make_configuration(organisations=organisations)

    def build() -> KeyIndex:
        index = KeyIndex(configuration=lambda: configuration)
        index.authenticate({"authorization": "Bearer unknown"})
        return index

    return build


@add_case(
    "length memory", size="group", quantity=MEMORY_QUANTITY, sizes=GROUP_COUNTS
)
def _measure_length_memory(groups: int) -> float:
    return measure_memory(lambda: _record_lengths(groups))


def _record_lengths(groups: int) -> LengthEstimator:
    estimator = LengthEstimator(
        clock=ManualClock(epoch=EPOCH),
        settings=LengthSettings(max_groups=groups + 3),
    )
    for number, sample_index in itertools.product(range(groups), range(40)):
        group = LengthGroup(
            service="narratives", organisation=f"o-{number}", model="model-0"
        )
        estimator.record(group, 10 + sample_index * sample_index * 7)
    return estimator


@add_case(
    "read changes", size="change", quantity=CPU_QUANTITY, sizes=CHANGE_COUNTS
)
def _read_changes(changes: int) -> float:
    state = _make_state(2600)
    entries = _make_entries(state.configuration, changes)
    start = msgspec.structs.replace(state, applied_offset=entries[0].offset - 1)

    def read() -> None:
        replica = Replica()
        replica.adopt(start)
        for entry in entries:
            replica.process_entry(entry)

    return measure_cpu(read)


def _make_entries(configuration: Configuration, count: int) -> list[LogEntry]:
    version = configuration.version
    return [
        LogEntry(
            offset=version + 1 + number,
            time=EPOCH,
            body=encode_record(_make_change(version, number)),
        )
        for number in range(count)
    ]


@add_case("change bytes", size="change", quantity="bytes", sizes=CHANGE_COUNTS)
def _measure_changes(changes: int) -> float:
    entries = _make_entries(make_configuration(organisations=400), changes)
    return sum(len(entry.body) for entry in entries)


def _make_claims(count: int) -> list[bytes]:
    return [
        encode_ledger_record(
            Claim(
                key_id=number.to_bytes(16, "big"),
                claimant=uuid6.uuid7().bytes,
                digest=number.to_bytes(16, "little"),
                created=EPOCH,
                node="node-0001",
            )
        )
        for number in range(count)
    ]


def _build_ledger_index(bodies: list[bytes]) -> LedgerIndex:
    index = LedgerIndex(window=_WINDOW)
    for number, body in enumerate(bodies):
        entry = LogEntry(offset=number + 1, time=EPOCH, body=body)
        index.apply(entry, decode_ledger_record(body))
    return index


@add_case(
    "ledger memory", size="key", quantity=MEMORY_QUANTITY, sizes=CLAIM_COUNTS
)
def _measure_ledger_memory(claims: int) -> float:
    bodies = _make_claims(claims)
    return measure_memory(lambda: _build_ledger_index(bodies))


@add_case(
    "read claims", size="claim", quantity=CPU_QUANTITY, sizes=CLAIM_COUNTS
)
def _read_claims(claims: int) -> float:
    bodies = _make_claims(claims)
    return measure_cpu(lambda: _build_ledger_index(bodies))


@add_case("claim bytes", size="claim", quantity="bytes", sizes=CLAIM_COUNTS)
def _measure_claims(claims: int) -> float:
    return sum(map(len, _make_claims(claims)))


class _CountingLog(MemoryLog):
    """A log that counts its appends."""

    appends = 0

    async def append(self, *, stream: str, bodies: Sequence[bytes]) -> int:
        self.appends += 1
        return await super().append(stream=stream, bodies=bodies)


@add_case(
    "appends", size="claim at once", quantity="appends", sizes=BATCH_SIZES
)
def _count_appends(claims: int) -> float:
    return trio.run(_append_concurrently, claims)


async def _append_concurrently(claims: int) -> float:
    clock = SystemClock()
    log = _CountingLog(clock=clock)
    partition = Partition(
        log=log, clock=clock, stream="ledger-0", window=_WINDOW
    )
    records = [decode_ledger_record(body) for body in _make_claims(claims)]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partition.run)
        async with trio.open_nursery() as appends:
            for record in records:
                appends.start_soon(partition.append, record)
        nursery.cancel_scope.cancel()
    return float(log.appends)
