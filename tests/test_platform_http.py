"""Tests the in-memory log, its HTTP server and the HTTP client."""

from datetime import timedelta

import trio

from acaciarack.clock import SystemClock
from acaciarack.platform import (
    AppendUnknownError,
    LogUnavailableError,
    OffsetExpiredError,
    platform_clients,
)
from acaciarack.platform_http import HttpLogService
from acaciarack_bench.log import LostAppend, MemoryLog, build_log_app
from acaciarack_bench.serving import open_server
from tests.support import TestCase

NO_WAIT = timedelta()


class MemoryLogTest(TestCase):
    def test_retention_rate_and_wait(self):
        async def run():
            clock = self.make_clock()
            log = MemoryLog(
                clock=clock,
                retention=timedelta(seconds=10),
                appends_per_second=10,
            )
            first = await log.append(stream="s", bodies=[b"a", b"b"])
            self.assertEqual(1, first)
            first = await log.append(stream="s", bodies=[b"c"])
            self.assertEqual(3, first)
            self.assertAlmostEqual(0.1, clock.elapsed().total_seconds())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(append_later, log)
                result = await log.read(
                    stream="s", start=4, limit=9, wait=timedelta(seconds=20)
                )
            self.assertEqual([b"d"], [e.body for e in result.entries])
            await trio.sleep(6)
            with self.assertRaises(OffsetExpiredError) as caught:
                await log.read(stream="s", start=1, limit=9, wait=NO_WAIT)
            self.assertEqual(4, caught.exception.earliest)
            await trio.sleep(60)
            result = await log.read(stream="s", start=5, limit=9, wait=NO_WAIT)
            self.assertEqual((5, 5), (result.earliest, result.end))

        async def append_later(log):
            await trio.sleep(5)
            await log.append(stream="s", bodies=[b"d"])

        self.run_trio(run)


class HttpLogServiceTest(TestCase):
    def test_calls_and_errors(self):
        self.run_real(self.check_calls_and_errors)

    async def check_calls_and_errors(self):
        log = MemoryLog(clock=SystemClock())
        async with open_server(build_log_app(log)) as port:
            client = HttpLogService(url=f"http://127.0.0.1:{port}")
            first = await client.append(stream="s-1", bodies=[b"\x00\xff"])
            self.assertEqual(1, first)
            result = await client.read(
                stream="s-1", start=1, limit=10, wait=NO_WAIT
            )
            self.assertEqual(log.list_entries("s-1"), result.entries)
            log.faults.lost_appends = [LostAppend.APPLIED, LostAppend.DROPPED]
            for _ in range(2):
                with self.assertRaises(AppendUnknownError):
                    await client.append(stream="s-1", bodies=[b"x"])
            self.assertEqual(2, len(log.list_entries("s-1")))
            log.faults.down = True
            with self.assertRaises(LogUnavailableError):
                await client.append(stream="s-1", bodies=[b"x"])
            with self.assertRaises(LogUnavailableError):
                await client.read(stream="s-1", start=1, limit=1, wait=NO_WAIT)
            log.faults.down = False
            slow = HttpLogService(
                url=f"http://127.0.0.1:{port}",
                timeout=timedelta(milliseconds=50),
            )
            log.faults.answer_delay_seconds = 60.0
            with self.assertRaises(AppendUnknownError):
                await slow.append(stream="s-1", bodies=[b"y"])
            self.assertEqual(3, len(log.list_entries("s-1")))
        with self.assertRaises(LogUnavailableError):
            await client.append(stream="s-1", bodies=[b"x"])

    def test_http_clients_are_registered(self):
        clients = platform_clients.create(
            "http", log_url="http://h", vms_url="http://h", weights_url="http:"
        )
        self.assertIsInstance(clients.log, HttpLogService)
