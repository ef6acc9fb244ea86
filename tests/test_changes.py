"""Configuration stores on a lossy log agree with a plain reference."""

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
    """A log whose records expire, whose answers get lost, that goes down."""

    def __init__(self, *, clock):
        self.clock = clock
        self.all = []
        self.down = False
        self.lose = 0
        self._grown = trio.Event()

    @property
    def earliest(self):
        oldest = self.clock.now() - RETENTION
        live = (entry.offset for entry in self.all if entry.time >= oldest)
        return next(live, len(self.all) + 1)

    async def append(self, *, stream, bodies):
        await trio.sleep(0.01)
        if self.down:
            raise LogUnavailableError("down")
        first = len(self.all) + 1
        for offset, body in enumerate(bodies, first):
            time = self.clock.now()
            self.all.append(LogEntry(offset=offset, time=time, body=body))
        self._grown.set()
        self._grown = trio.Event()
        if self.lose:
            self.lose -= 1
            raise AppendUnknownError("lost")
        return first

    async def read(self, *, stream, start, limit, wait):
        assert stream == STREAM
        await trio.sleep(0.01)
        if self.down:
            raise LogUnavailableError("down")
        if start < self.earliest:
            raise OffsetExpiredError(earliest=self.earliest)
        if start > len(self.all):
            with trio.move_on_after(wait.total_seconds()):
                await self._grown.wait()
        # Short slices make readers stop between records.
        entries = tuple(self.all[start - 1 : start + 2])
        return LogSlice(
            entries=entries, earliest=self.earliest, end=len(self.all) + 1
        )


class Peers:
    """Fetches from the other stores."""

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


class Reference:
    """What the log comes to, by plain maps over all its records."""

    def __init__(self, log):
        self.objects = {}
        self.modified = {}
        self.version = 0
        self.accepted = {}
        self.seen = set()
        for entry in log.all:
            with suppress(Exception):
                record = decode_record(entry.body)
                if isinstance(record, Change):
                    self.apply(entry.offset, record)

    def apply(self, offset, change):
        self.seen.add(change.change_id)
        result = dict(self.objects)
        for edit in change.edits:
            if self.modified.get(edit.place, 0) > change.base_version:
                return
            if edit.value is None and edit.place not in result:
                return
            result[edit.place] = edit.value
            if edit.value is None:
                del result[edit.place]
        for value in result.values():
            if isinstance(value, Route) and (
                f"service/{value.service}" not in result
            ):
                return
        self.objects = result
        self.version = offset
        self.accepted[change.change_id] = offset
        self.modified |= {edit.place: offset for edit in change.edits}


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
DRAFTS = st.lists(EDITS, min_size=1, max_size=3, unique_by=lambda e: e.place)
STEPS = st.one_of(
    st.tuples(st.just("race"), DRAFTS, DRAFTS),
    st.tuples(st.just("stale"), DRAFTS, st.integers(0, 5)),
    st.sampled_from(
        [("down",), ("up",), ("lose",), ("garbage",), ("wait",), ("fresh",)]
    ),
)


class World:
    """Two nodes that publish, fresh readers, and the checks."""

    def __init__(self, test, clock):
        self.test = test
        self.clock = clock
        self.log = LossyLog(clock=clock)
        self.stores = []
        self.lowest = []
        self.results = []

    def start(self, nursery, *, alone=False):
        peers = NoPeers() if alone else Peers(stores=list(self.stores))
        store = ConfigurationStore(
            log=self.log,
            clock=self.clock,
            peers=peers,
            retention=RETENTION,
            randomness=random.Random(len(self.stores)),
        )
        nursery.start_soon(store.run)
        self.stores.append(store)
        self.lowest.append(0)

    async def publish(self, store, edits, base):
        result = await store.publish(tuple(edits), base, "ann")
        self.results.append(result)

    async def run_step(self, nursery, kind, *values):
        base = self.stores[0].current().version
        if kind == "race":
            async with trio.open_nursery() as both:
                for store, edits in zip(self.stores[:2], values, strict=True):
                    both.start_soon(self.publish, store, edits, base)
        elif kind == "stale":
            await self.publish(
                self.stores[0], values[0], max(0, base - values[1])
            )
        elif kind == "garbage" and not self.log.down:
            with suppress(AppendUnknownError):
                await self.log.append(stream=STREAM, bodies=[b"\xc1junk"])
        elif kind == "fresh":
            # Reads the log alone where it can be read, else asks the peers.
            self.start(nursery, alone=not self.log.down)
        elif kind == "wait":
            await trio.sleep(300)
        elif kind == "lose":
            self.log.lose = 1
        elif kind in ("down", "up"):
            self.log.down = kind == "down"

    def check_never_lower(self):
        for index, store in enumerate(self.stores):
            version = store.current().version
            self.test.assertGreaterEqual(version, self.lowest[index])
            self.lowest[index] = version

    def check_converged(self):
        reference = Reference(self.log)
        for store in self.stores:
            current = store.current()
            self.test.assertEqual(reference.version, current.version)
            self.test.assertEqual(reference.objects, list_objects(current))
            self.test.assertEqual(self.stores[0].digest(), store.digest())
        self.check_results(reference)

    def check_results(self, reference):
        """Every publisher was told the truth, losers above all."""
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


async def run_world(test, steps):
    clock = test.make_clock()
    world = World(test, clock)
    async with trio.open_nursery() as nursery:
        world.start(nursery)
        world.start(nursery)
        await trio.sleep(1)
        for step in steps:
            await world.run_step(nursery, *step)
            await trio.sleep(0.5)
            world.check_never_lower()
        world.log.down = False
        world.log.lose = 0
        await trio.sleep(60)
        world.check_never_lower()
        world.check_converged()
        nursery.cancel_scope.cancel()


class ChangesTest(TestCase):
    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(st.lists(STEPS, max_size=14))
    def test_stores_converge_and_never_revert(self, steps):
        self.run_trio(run_world, self, steps)

    def test_later_of_two_racing_changes_is_told(self):
        edits = [make_edit(ObjectKind.ORGANISATION, "a", n) for n in (1, 2)]

        async def run():
            world = World(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                world.start(nursery)
                world.start(nursery)
                await trio.sleep(1)
                await world.run_step(nursery, "race", edits[:1], edits[1:])
                nursery.cancel_scope.cancel()
            return world.results

        results = self.run_trio(run)
        self.assertIn(Published(version=1), results)
        lost = Conflict(version=1, objects=("organisation/a",))
        self.assertIn(lost, results)

    def test_racing_changes_that_are_valid_only_alone(self):
        service = make_edit(ObjectKind.SERVICE, "a", 1)
        drop = make_edit(ObjectKind.SERVICE, "a", 0)
        route = make_edit(ObjectKind.ROUTE, "a", 1)

        async def run():
            world = World(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                world.start(nursery)
                world.start(nursery)
                await trio.sleep(1)
                await world.publish(world.stores[0], [service], 0)
                await trio.sleep(1)
                await world.run_step(nursery, "race", [drop], [route])
                await trio.sleep(1)
                world.check_converged()
                nursery.cancel_scope.cancel()
            return world.results[1:]

        results = self.run_trio(run)
        self.assertIn(Published(version=2), results)
        self.assertIn(Invalid, [type(result) for result in results])

    def test_survives_many_retentions_without_a_change(self):
        edits = [make_edit(ObjectKind.ORGANISATION, "a", 1)]

        async def run():
            world = World(self, self.make_clock())
            async with trio.open_nursery() as nursery:
                world.start(nursery)
                world.start(nursery)
                await trio.sleep(1)
                await world.publish(world.stores[0], edits, 0)
                await trio.sleep(RETENTION.total_seconds() * 5)
                world.start(nursery, alone=True)
                await trio.sleep(5)
                world.check_converged()
                self.assertGreater(world.log.earliest, 1)
                self.assertLess(len(world.log.all), 20)
                self.assertEqual(1, world.stores[2].current().version)
                nursery.cancel_scope.cancel()

        self.run_trio(run)
