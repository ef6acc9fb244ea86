"""Tests that replicas reach the same states from any start in the log."""

import zlib
from contextlib import suppress
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.change_messages import (
    Change,
    Edit,
    ObjectKind,
    ReplicaState,
    Snapshot,
)
from acaciarack.change_records import (
    MAX_SNAPSHOT_BYTES,
    RecordError,
    decode_state,
    encode_record,
    encode_state,
)
from acaciarack.configuration import Organisation
from acaciarack.platform import LogEntry
from acaciarack.replicas import Replica
from acaciarack.validation import find_faults
from tests.support import EPOCH, TestCase

CHANGES = st.tuples(
    st.just("change"), st.sampled_from("abc"), st.integers(0, 3)
)
SNAPSHOTS = st.tuples(st.just("snapshot"), st.integers(-1, 4))
RECORDS = st.lists(
    st.one_of(CHANGES, SNAPSHOTS, st.just(("garbage",))), max_size=14
)


def make_change(offset, name, lag):
    value = Organisation(name=name, share=1.0 + offset)
    edit = Edit(kind=ObjectKind.ORGANISATION, name=name, value=value)
    return Change(
        change_id=f"c{offset}",
        author="ann",
        base_version=max(0, offset - 1 - lag),
        edits=(edit,),
    )


def build_log(records):
    """Returns the log entries and the state after each offset."""
    replica = Replica()
    states = [replica.state]
    entries = []
    for offset, (kind, *values) in enumerate(records, 1):
        body = b"junk"
        if kind == "change":
            body = encode_record(make_change(offset, *values))
        elif kind == "snapshot":
            # A lag of -1 makes the snapshot claim to cover its own record.
            state = states[max(0, offset - 1 - max(0, values[0]))]
            if values[0] < 0:
                state = type(state)(applied_offset=offset)
            body = encode_record(Snapshot(state=state))
        time = EPOCH + timedelta(seconds=offset)
        entries.append(LogEntry(offset=offset, time=time, body=body))
        replica.process_entry(entries[-1])
        states.append(replica.state)
    return entries, states


def mutate(body, damage):
    """Overwrites bytes of a record or truncates it."""
    damaged = bytearray(body)
    for position, byte in damage:
        if position % 7 == 0:
            del damaged[position % (len(damaged) + 1) :]
        elif damaged:
            damaged[position % len(damaged)] = byte
    return bytes(damaged)


DAMAGE = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 255)), max_size=4
)


class ReplicaTest(TestCase):
    @settings(max_examples=600, deadline=None, derandomize=True, database=None)
    @given(RECORDS, st.lists(st.one_of(st.binary(max_size=80), DAMAGE)))
    def test_damaged_records_never_stop_a_reader(self, records, damages):
        entries, _ = build_log(records)
        replica = Replica()
        for number, entry in enumerate(entries):
            body = entry.body
            if number < len(damages):
                damage = damages[number]
                raw = isinstance(damage, bytes)
                body = damage if raw else mutate(body, damage)
            replica.process_entry(replace(entry, body=body))
            self.assertEqual(entry.offset, replica.state.applied_offset)
        faults = find_faults(replica.state.configuration)
        self.assertEqual((), faults)

    @settings(max_examples=600, deadline=None, derandomize=True, database=None)
    @given(RECORDS, st.integers(1, 15), st.data())
    def test_replica_reaches_the_same_states_from_any_start(
        self, records, start, data
    ):
        entries, states = build_log(records)
        start = min(start, len(entries) + 1)
        replica = Replica()
        replica.skip_expired(start)
        is_complete = start == 1
        last_offset = 0
        for entry in entries[start - 1 :]:
            if data.draw(st.booleans()):
                peer = states[data.draw(st.integers(0, len(entries)))]
                replica.adopt(peer)
                is_complete = is_complete or peer.applied_offset >= start - 1
            record = replica.process_entry(entry)
            if isinstance(record, Snapshot):
                state = record.state
                is_complete = is_complete or state.applied_offset >= start - 1
            self.assertEqual(is_complete, replica.complete)
            applied_offset = replica.state.applied_offset
            self.assertGreaterEqual(applied_offset, last_offset)
            last_offset = applied_offset
            self.assertEqual(states[applied_offset], replica.state)
            if replica.complete:
                self.assertEqual(replica.next_offset - 1, applied_offset)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(RECORDS, DAMAGE, st.integers(0, 1))
    def test_damaged_states_of_peers_are_rejected(self, records, damage, inner):
        _, states = build_log(records)
        body = encode_state(states[-1])
        self.assertEqual(states[-1], decode_state(body))
        plain = zlib.decompress(body)
        damaged = mutate(body, damage)
        if inner:
            damaged = zlib.compress(mutate(plain, damage))
        with suppress(RecordError):
            self.assertIsInstance(decode_state(damaged), ReplicaState)
        oversized = zlib.compress(bytes(MAX_SNAPSHOT_BYTES + 1))
        self.assertRaises(RecordError, decode_state, oversized)

    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(RECORDS, st.integers(0, 14), st.integers(1, 15))
    def test_late_reader_waits_for_a_snapshot_of_expired_records(
        self, records, read, earliest
    ):
        entries, states = build_log(records)
        replica = Replica()
        for entry in entries[:read]:
            replica.process_entry(entry)
        earliest = min(earliest, len(entries) + 1)
        replica.skip_expired(earliest)
        for entry in entries[replica.next_offset - 1 :]:
            replica.process_entry(entry)
            applied_offset = replica.state.applied_offset
            self.assertEqual(states[applied_offset], replica.state)
        if read >= earliest - 1:
            self.assertEqual(states[-1], replica.state)
