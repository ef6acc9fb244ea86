"""Sockets of the relay: polled reads, non-blocking writes, slow callers."""

import itertools
import json
import socket
from datetime import timedelta
from functools import partial

import httpcore
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.listeners import bind_listener, serve_listener
from acaciarack.polled_backend import MAX_READ_BYTES, PolledBackend
from acaciarack.web import App, Endpoint, StreamReply
from acaciarack_bench.relay_cost_relay import API_KEY, HOST, build_product
from tests.fakes import build_events, encode
from tests.support import TestCase

MAX_BUFFERED_BYTES = 4 * 1024 * 1024
FAST_CALLER_BYTES = 24 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 128 * 1024


async def start_listener(nursery, app):
    listener = bind_listener(HOST, 0)
    await nursery.start(
        partial(
            serve_listener,
            app,
            listener,
            shutdown=trio.sleep_forever,
            grace=timedelta(),
        )
    )
    return listener.port


async def start_engine(nursery, handler):
    listeners = await nursery.start(
        partial(trio.serve_tcp, handler, 0, host=HOST)
    )
    return listeners[0].socket.getsockname()[1]


async def connect(port):
    """Connects with a small receive buffer."""
    caller = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await caller.connect((HOST, port))
    return trio.SocketStream(caller)


class ReadsTest(TestCase):
    def read(self, pieces, *, close):
        """Returns the data read, the timeout error if any, and the end time.

        The server sends one piece per second. It then closes the connection or
        stays silent.
        """

        async def serve(stream):
            await stream.receive_some()
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
            for piece in pieces:
                await trio.sleep(1)
                await stream.send_all(piece)
            if not close:
                await trio.sleep_forever()
            await stream.send_eof()

        async def run():
            async with trio.open_nursery() as nursery:
                port = await start_engine(nursery, serve)
                data = b""
                timeout_error = None
                async with httpcore.AsyncConnectionPool(
                    network_backend=PolledBackend()
                ) as pool:
                    try:
                        async with pool.stream(
                            "GET",
                            f"http://{HOST}:{port}/",
                            extensions={"timeout": {"read": 5}},
                        ) as answer:
                            async for chunk in answer.aiter_stream():
                                data += chunk
                    except httpcore.ReadTimeout as error:
                        timeout_error = error
                end_time = trio.current_time()
                nursery.cancel_scope.cancel()
            return data, timeout_error, end_time

        return self.run_trio(run)

    @settings(max_examples=25, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.sampled_from([1, MAX_READ_BYTES - 1, MAX_READ_BYTES, 100_000]),
            max_size=4,
        ),
        st.booleans(),
    )
    def test_every_byte_arrives_and_silence_ends_the_read(self, sizes, close):
        pieces = [bytes([n + 65]) * size for n, size in enumerate(sizes)]
        data, timeout_error, _ = self.read(pieces, close=close)
        self.assertEqual(b"".join(pieces), data)
        self.assertEqual(close, timeout_error is None)

    def test_the_timeout_counts_from_the_newest_byte(self):
        _, timeout_error, end_time = self.read([b"a", b"b", b"c"], close=False)
        self.assertIsInstance(timeout_error, httpcore.ReadTimeout)
        self.assertAlmostEqual(8, end_time % 100, delta=0.5)


class WritesTest(TestCase):
    def test_a_slow_reader_gets_every_byte_in_order(self):
        header_end = b"\r\n\r\n"
        chunks = [bytes([n % 26 + 65]) * (n * 997) for n in range(1, 100)]

        size = sum(len(chunk) for chunk in chunks)

        async def stream(request):
            async def produce():
                for chunk in chunks:
                    yield chunk

            return StreamReply(chunks=produce())

        app = App(
            endpoints=[Endpoint(method="GET", pattern="/", handler=stream)]
        )

        async def run():
            async with trio.open_nursery() as nursery:
                port = await start_listener(nursery, app)
                received = b""
                async with await connect(port) as caller:
                    await caller.send_all(b"GET / HTTP/1.0\r\nhost: h\r\n\r\n")
                    with trio.fail_after(20):
                        while len(received.partition(header_end)[2]) < size:
                            received += await caller.receive_some(50_000)
                nursery.cancel_scope.cancel()
            return received

        _, _, body = self.run_real(run).partition(header_end)
        self.assertEqual(b"".join(chunks), body)


class StopTest(TestCase):
    def test_a_stop_does_not_wait_for_a_caller_that_does_not_read(self):
        """Guards against a stop that waits for a caller that stopped reading.

        The caller keeps the connection open while a response is written to it.
        """

        async def stream(request):
            async def produce():
                while True:
                    yield b"x" * 100_000

            return StreamReply(chunks=produce())

        app = App(
            endpoints=[Endpoint(method="GET", pattern="/", handler=stream)]
        )

        async def run():
            async def close_later(caller):
                await trio.sleep(2)
                await caller.aclose()

            # The caller closes in a nursery of its own, so that only the
            # listener's stop is measured.
            async with trio.open_nursery() as caller_nursery:
                async with trio.open_nursery() as nursery:
                    port = await start_listener(nursery, app)
                    caller = await connect(port)
                    await caller.send_all(b"GET / HTTP/1.0\r\nhost: h\r\n\r\n")
                    # The kernel still takes data for some tenths of a second.
                    await trio.testing.wait_all_tasks_blocked(1.0)
                    stop_time = trio.current_time()
                    caller_nursery.start_soon(close_later, caller)
                    nursery.cancel_scope.cancel()
                return trio.current_time() - stop_time

        self.assertLess(self.run_real(run), 1)


class Engine:
    """Sends tokens without end, as fast as the node reads them."""

    def __init__(self, *, text):
        self.sent = []
        self.events = build_events("g", [text])

    async def serve(self, stream):
        number = len(self.sent)
        self.sent.append(0)
        await stream.receive_some()
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
        first_delta = next(n for n, e in enumerate(self.events) if "delta" in e)
        for event in self.events[:first_delta]:
            await stream.send_all(encode(event))
        sequence_number = first_delta
        for sequence_number in itertools.count(first_delta):
            changes = {"sequence_number": sequence_number}
            data = encode(self.events[first_delta] | changes)
            try:
                await stream.send_all(data)
            except trio.BrokenResourceError:
                return
            self.sent[number] += len(data)


class SlowCallerTest(TestCase):
    def test_a_slow_caller_uses_bounded_memory_and_delays_no_other(self):
        engine = Engine(text="x" * 2000)
        body = json.dumps({"model": "chat", "input": "x", "stream": True})
        request = (
            "POST /v1/responses HTTP/1.1\r\nhost: h\r\n"
            f"authorization: Bearer {API_KEY}\r\n"
            f"content-length: {len(body)}\r\n\r\n{body}"
        ).encode()

        async def run():
            async with trio.open_nursery() as nursery:
                port = await start_engine(nursery, engine.serve)
                app, responses = build_product(port)
                nursery.start_soon(responses.run)
                port = await start_listener(nursery, app)
                # Closes the slow connection also after a timeout. Otherwise the
                # pending write to it would never return.
                async with await connect(port) as slow_caller:
                    await slow_caller.send_all(request)
                    await trio.testing.wait_all_tasks_blocked(0.2)
                    sent_before = engine.sent[0]
                    async with await connect(port) as fast_caller:
                        await fast_caller.send_all(request)
                        received_bytes = 0
                        with trio.fail_after(20):
                            while received_bytes < FAST_CALLER_BYTES:
                                received_bytes += len(
                                    await fast_caller.receive_some(1 << 18)
                                )
                    sent_after = engine.sent[0]
                nursery.cancel_scope.cancel()
            return sent_before, sent_after

        sent_before, sent_after = self.run_real(run)
        self.assertGreater(sent_before, 0)
        # The kernel may grow socket buffers later, so the test checks only an
        # upper bound.
        self.assertLess(sent_after, MAX_BUFFERED_BYTES)
