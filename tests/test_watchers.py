"""Watchers of targets: streams over HTTP, timeouts and reconnects."""

import httpcore
import msgspec
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.configuration import Target, TargetKind
from acaciarack.loads import CacheEvent, LoadReport
from acaciarack.watchers import (
    EventParser,
    HttpTargetFeed,
    TargetWatcher,
    WatchError,
)
from tests.support import EPOCH, TestCase

TARGET = Target(
    name="rettleiar-1",
    kind=TargetKind.ENGINE,
    host="127.0.0.1",
    port=9000,
    data_centre="oslo-a",
    pool="rettleiar",
)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"


def make_report(**changes):
    fields = {
        "target": TARGET.name,
        "time": EPOCH,
        "capacity_tokens": 1000,
        "used_tokens": 10,
        "running": 1,
        "waiting": 0,
    }
    return LoadReport(**(fields | changes))


def encode_event(value):
    return b"data: " + msgspec.json.encode(value) + b"\n\n"


class MemoryStream(httpcore.AsyncNetworkStream):
    def __init__(self, stream):
        self.stream = stream

    async def read(self, max_bytes, timeout=None):
        with trio.move_on_after(timeout or 1e9):
            return await self.stream.receive_some(max_bytes)
        raise httpcore.ReadTimeout

    async def write(self, buffer, timeout=None):
        await self.stream.send_all(buffer)

    async def aclose(self):
        await self.stream.aclose()

    def get_extra_info(self, info):
        return None


class MemoryBackend(httpcore.AsyncNetworkBackend):
    """Calls ``serve(path, stream)`` for each connection on the same loop."""

    def __init__(self, nursery, serve):
        self.nursery = nursery
        self.serve = serve
        self.paths = []

    async def connect_tcp(self, host, port, **options):
        client_end, server_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self._serve, server_end)
        return MemoryStream(client_end)

    async def _serve(self, stream):
        head = await stream.receive_some(4096)
        path = head.split()[1].decode()
        self.paths.append(path)
        await self.serve(path, stream)


class EventParserTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(st.binary(min_size=1).map(lambda data: data.hex().encode())),
        st.integers(1, 7),
    )
    def test_events_do_not_depend_on_chunk_boundaries(self, events, size):
        stream = b"".join(b"data: " + event + b"\r\n\r\n" for event in events)
        parser = EventParser()
        parsed = [
            data
            for start in range(0, len(stream), size)
            for data in parser.parse(stream[start : start + size])
        ]
        self.assertEqual(events, parsed)

    def test_event_over_the_size_limit_raises(self):
        parser = EventParser(max_event_bytes=100)
        with self.assertRaisesRegex(WatchError, "over 100 bytes"):
            for _ in range(20):
                list(parser.parse(b"data: 1234567890\n"))


class TargetWatcherTest(TestCase):
    def watch(self, serve, seconds):
        reports, events, suspicions = [], [], []

        async def run():
            async with trio.open_nursery() as nursery:
                backend = MemoryBackend(nursery, serve)
                watcher = TargetWatcher(
                    target=TARGET,
                    feed=HttpTargetFeed(backend=backend),
                    clock=self.make_clock(),
                    load_sink=reports.append,
                    cache_sink=events.append,
                    suspicion_sink=suspicions.append,
                )
                with trio.move_on_after(seconds):
                    await watcher.run()
                nursery.cancel_scope.cancel()
                return backend.paths

        paths = self.run_trio(run)
        return reports, events, suspicions, paths

    def test_stream_without_data_is_reopened(self):
        async def serve(path, stream):
            if path == "/v1/load":
                await stream.send_all(HEAD + encode_event(make_report()))
            await trio.sleep_forever()

        reports, _, suspicions, _ = self.watch(serve, 8)
        self.assertGreaterEqual(len(reports), 2)
        self.assertGreaterEqual(len(suspicions), 1)
        self.assertEqual(TARGET.name, suspicions[0])

    def test_cache_events_resume_after_the_last_sequence(self):
        async def serve(path, stream):
            after = int(path.partition("after=")[2] or 0)
            event = CacheEvent(
                target=TARGET.name, sequence=after + 1, time=EPOCH, stored=(7,)
            )
            await stream.send_all(HEAD + encode_event(event))
            await stream.aclose()

        _, events, _, paths = self.watch(serve, 4)
        sequences = [event.sequence for event in events]
        self.assertEqual(list(range(1, len(events) + 1)), sequences)
        self.assertIn("/v1/cache-events?after=2", paths)

    def test_error_statuses_and_malformed_events_are_retried(self):
        responses = [
            b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
            HEAD + b"data: {broken\n\n",
            HEAD + b"data: " + b"x" * 300_000,
            b"\x00garbage\r\n\r\n",
        ]

        async def serve(path, stream):
            if path == "/v1/load" and responses:
                await stream.send_all(responses.pop(0))
            elif path == "/v1/load":
                await stream.send_all(HEAD + encode_event(make_report()))
            await stream.aclose()

        reports, _, suspicions, _ = self.watch(serve, 20)
        self.assertGreaterEqual(len(reports), 1)
        self.assertGreaterEqual(len(suspicions), 4)
