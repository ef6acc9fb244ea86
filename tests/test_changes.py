"""Compares configuration stores on an unreliable log with a reference model."""

import random
from contextlib import suppress
from datetime import timedelta

import trio
import trio.lowlevel
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.change_messages import (
    Change,
    Edit,
    ObjectKind,
)
from acaciarack.change_records import decode_record
from acaciarack.configuration import Organisation, Route, Service, ServiceKind
from acaciarack.errors import Refusal, RunOutcome
from acaciarack.platform import (
    AppendUnknownError,
    LogEntry,
    LogSlice,
    LogUnavailableError,
    OffsetExpiredError,
)
from acaciarack.publication import (
    STREAM,
    ConfigurationStore,
    Conflict,
    Invalid,
    Published,
)
from tests.support import TestCase

RETENTION = timedelta(seconds=1000)


class LossyLog:
    """A log that expires records, loses replies and becomes unavailable."""

    def __init__(self, *, clock):
        self.clock = clock
        self.entries = []
        self.down = False
        self.lost_replies = 0
        self._appended = trio.Event()

    @property
    def earliest(self):
        oldest = self.clock.now() - RETENTION
        live = (entry.offset for entry in self.entries if entry.time >= oldest)
        return next(live, len(self.entries) + 1)

    async def append(self, *, stream, bodies):
        await trio.sleep(0.01)
        if self.down:
            raise LogUnavailableError("down")
        first = len(self.entries) + 1
        for offset, body in enumerate(bodies, first):
            time = self.clock.now()
            self.entries.append(LogEntry(offset=offset, time=time, body=body))
        self._appended.set()
        self._appended = trio.Event()
        if self.lost_replies:
            self.lost_replies -= 1
            raise AppendUnknownError("lost")
        return first

    async def read(self, *, stream, start, limit, wait):
        assert stream == STREAM
        await trio.sleep(0.01)
        if self.down:
            raise LogUnavailableError("down")
        if start < self.earliest:
            raise OffsetExpiredError(earliest=self.earliest)
        if start > len(self.entries):
            with trio.move_on_after(wait.total_seconds()):
                await self._appended.wait()
        # A read returns at most three entries, so that readers often stop
        # before the end of the log.
        entries = tuple(self.entries[start - 1 : start + 2])
        return LogSlice(
            entries=entries, earliest=self.earliest, end=len(self.entries) + 1
        )


class Peers:
    """Fetches the newest state from the other stores."""

    def __init__(self, *, stores):
        self.stores = stores

    async def fetch(self, minimum_version):
        await trio.sleep(0.01)
        found = max(
            (store.encode() for store in self.stores),
            key=lambda encoded: encoded.version,
            default=None,
        )
        if found is None or found.version < minimum_version:
            return None
        return found


class NoPeers:
    async def fetch(self, minimum_version):
        await trio.lowlevel.checkpoint()


class ReferenceModel:
    """Computes the expected configuration from all records of the log."""

    def __init__(self, log):
        self.objects = {}
        self.modified = {}
        self.version = 0
        self.accepted = {}
        self.seen = set()
        for entry in log.entries:
            with suppress(Exception):
                record = decode_record(entry.body)
                if isinstance(record, Change):
                    self.apply(entry.offset, record)

    def apply(self, offset, change):
        self.seen.add(change.change_id)
        result = dict(self.objects)
        for edit in change.edits:
            if self.modified.get(edit.object_key, 0) > change.base_version:
                return
            if edit.value is None and edit.object_key not in result:
                return
            result[edit.object_key] = edit.value
            if edit.value is None:
                del result[edit.object_key]
        for value in result.values():
            if isinstance(value, Route) and (
                f"service/{value.service}" not in result
            ):
                return
        self.objects = result
        self.version = offset
        self.accepted[change.change_id] = offset
        self.modified |= {edit.object_key: offset for edit in change.edits}


def list_objects(configuration):
    groups = {
        "organisation": configuration.organisations,
        "service": configuration.services,
        "route": configuration.routes,
    }
    return {
        f"{kind}/{name}": value
        for kind, group in groups.items()
        for name, value in group.items()
    }


def make_edit(kind, name, number):
    values = {
        ObjectKind.ORGANISATION: Organisation(name=name, share=number + 1.0),
        ObjectKind.SERVICE: Service(name=name, kind=ServiceKind.PLAIN),
        ObjectKind.ROUTE: Route(name=name, service=name, pool="p"),
    }
    value = values[kind] if number else None
    return Edit(kind=kind, name=name, value=value)


EDITS = st.builds(
    make_edit,
    st.sampled_from(
        [ObjectKind.ORGANISATION, ObjectKind.SERVICE, ObjectKind.ROUTE]
    ),
    st.sampled_from(["a", "b"]),
    st.integers(0, 3),
)
DRAFTS = st.lists(
    EDITS, min_size=1, max_size=3, unique_by=lambda e: e.object_key
)
STEPS = st.one_of(
    st.tuples(st.just("race"), DRAFTS, DRAFTS),
    st.tuples(st.just("stale"), DRAFTS, st.integers(0, 5)),
    st.sampled_from(
        [("down",), ("up",), ("lose",), ("garbage",), ("wait",), ("fresh",)]
    ),
)


class Simulation:
    """Runs two publishing nodes and later readers, and checks all of them."""

    def __init__(self, test, clock):
        self.test = test
        self.clock = clock
        self.log = LossyLog(clock=clock)
        self.stores = []
        self.last_versions = []
        self.results = []

    def start(self, nursery, *, without_peers=False):
        peers = NoPeers() if without_peers else Peers(stores=list(self.stores))
        store = ConfigurationStore(
            log=self.log,
            clock=self.clock,
            peers=peers,
            retention=RETENTION,
            randomness=random.Random(len(self.stores)),
        )
        nursery.start_soon(store.run)
        self.stores.append(store)
        self.last_versions.append(0)

    async def publish(self, store, edits, base):
        result = await store.publish(tuple(edits), base, "ann")
        self.results.append(result)

    async def run_step(self, nursery, kind, *values):
        base = self.stores[0].current().version
        if kind == "race":
            async with trio.open_nursery() as publishers:
                for store, edits in zip(self.stores[:2], values, strict=True):
                    publishers.start_soon(self.publish, store, edits, base)
        elif kind == "stale":
            await self.publish(
                self.stores[0], values[0], max(0, base - values[1])
            )
        elif kind == "garbage" and not self.log.down:
            with suppress(AppendUnknownError):
                await self.log.append(stream=STREAM, bodies=[b"\xc1junk"])
        elif kind == "fresh":
            # The new node asks its peers only while the log is down.
            self.start(nursery, without_peers=not self.log.down)
        elif kind == "wait":
            await trio.sleep(300)
        elif kind == "lose":
            self.log.lost_replies = 1
        elif kind in ("down", "up"):
            self.log.down = kind == "down"

    def check_versions_never_decrease(self):
        for index, store in enumerate(self.stores):
            version = store.current().version
            self.test.assertGreaterEqual(version, self.last_versions[index])
            self.last_versions[index] = version

    def check_converged(self):
        reference = ReferenceModel(self.log)
        for store in self.stores:
            current = store.current()
            self.test.assertEqual(reference.version, current.version)
            self.test.assertEqual(reference.objects, list_objects(current))
            self.test.assertEqual(self.stores[0].digest(), store.digest())
        self.check_results(reference)

    def check_results(self, reference):
        """Checks each reported result against the reference model.

        Each accepted change was reported either as published or with an
        unknown outcome.
        """
        published = [r.version for r in self.results if type(r) is Published]
        unknown = [
            r
            for r in self.results
            if type(r) is Refusal and r.outcome is RunOutcome.UNKNOWN
        ]
        accepted = set(reference.accepted.values())
        self.test.assertEqual(len(published), len(set(published)))
        self.test.assertLessEqual(set(published), accepted)
        unclaimed = accepted - set(published)
        self.test.assertLessEqual(len(unclaimed), len(unknown))
        for result in self.results:
            self.test.assertIsInstance(
                result, Published | Conflict | Invalid | Refusal
            )


async def run_simulation(test, steps):
    clock = test.make_clock()
    simulation = Simulation(test, clock)
    async with trio.open_nursery() as nursery:
        simulation.start(nursery)
        simulation.start(nursery)
        await trio.sleep(1)
        for step in steps:
            await simulation.run_step(nursery, *step)
            await trio.sleep(0.5)
            simulation.check_versions_never_decrease()
        simulation.log.down = False
        simulation.log.lost_replies = 0
        await trio.sleep(60)
        simulation.check_versions_never_decrease()
        simulation.check_converged()
        nursery.cancel_scope.cancel()


class ChangesTest(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.lists(STEPS, max_size=14))
    def test_stores_converge_and_never_revert(self, steps):
        self.run_trio(run_simulation, self, steps)

    def test_later_of_two_concurrent_changes_conflicts(self):
        edits = [make_edit(ObjectKind.ORGANISATION, "a", n) for n in (1, 2)]

        async def run():
            simulation = Simulation(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                simulation.start(nursery)
                simulation.start(nursery)
                await trio.sleep(1)
                await simulation.run_step(nursery, "race", edits[:1], edits[1:])
                nursery.cancel_scope.cancel()
            return simulation.results

        results = self.run_trio(run)
        self.assertIn(Published(version=1), results)
        conflict = Conflict(version=1, objects=("organisation/a",))
        self.assertIn(conflict, results)

    def test_concurrent_changes_that_are_invalid_together(self):
        service = make_edit(ObjectKind.SERVICE, "a", 1)
        deletion = make_edit(ObjectKind.SERVICE, "a", 0)
        route = make_edit(ObjectKind.ROUTE, "a", 1)

        async def run():
            simulation = Simulation(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                simulation.start(nursery)
                simulation.start(nursery)
                await trio.sleep(1)
                await simulation.publish(simulation.stores[0], [service], 0)
                await trio.sleep(1)
                await simulation.run_step(nursery, "race", [deletion], [route])
                await trio.sleep(1)
                simulation.check_converged()
                nursery.cancel_scope.cancel()
            return simulation.results[1:]

        results = self.run_trio(run)
        self.assertIn(Published(version=2), results)
        self.assertIn(Invalid, [type(result) for result in results])

    def test_configuration_outlives_the_log_retention(self):
        edits = [make_edit(ObjectKind.ORGANISATION, "a", 1)]

        async def run():
            simulation = Simulation(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                simulation.start(nursery)
                simulation.start(nursery)
                await trio.sleep(1)
                await simulation.publish(simulation.stores[0], edits, 0)
                await trio.sleep(RETENTION.total_seconds() * 5)
                simulation.start(nursery, without_peers=True)
                await trio.sleep(5)
                simulation.check_converged()
                self.assertGreater(simulation.log.earliest, 1)
                self.assertLess(len(simulation.log.entries), 20)
                self.assertEqual(1, simulation.stores[2].current().version)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
