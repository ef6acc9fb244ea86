"""Streams that break or repeat events, over real sockets."""

import socket
import struct
from dataclasses import replace
from functools import partial

import trio
from acaciarack_platform.targets import TargetClient

from acaciarack.errors import Refusal
from acaciarack.gateway.requests.generations import (
    CompletedStream,
    StreamBrokenError,
)
from acaciarack.gateway.spec import RouteKind
from acaciarack.settings import Address
from tests import test_gateway_generations
from tests.gateway_fakes import RecordingWriter, make_generation, make_route
from tests.support import TestCase
from tests.test_gateway_generations import make_engine

EVENTS = 4
END = b"event: end\ndata: {}\n\n"
FRAMINGS = {
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "length": None,
    "plain": b"",
}


def make_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


WHOLE = b"".join(make_event(n) for n in range(1, EVENTS + 1))


class Script:
    """What engines do with the requests that they receive, in order.

    Attributes:
        attempts: a function of the stream and the first event for each request.
        requests: the headers of each request, and the port that received it.
    """

    def __init__(self, *attempts):
        self.attempts = attempts
        self.requests = []

    async def serve(self, port, listener, stream):
        head = b""
        while b"\r\n\r\n" not in head:
            received = await stream.receive_some()
            if not received:
                return
            head += received
        if b"/v1/" in head.partition(b"\r\n")[0]:
            await stream.send_all(
                b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
            )
            return
        lines = head.lower().partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        fields = dict(line.split(b": ", 1) for line in lines)
        attempt = self.attempts[len(self.requests)]
        self.requests.append((port, fields))
        first = int(fields.get(b"last-event-id", 0)) + 1
        await attempt(stream, listener, first, b"proof-%d" % port)


async def send_head(stream, proof, framing):
    await stream.send_all(
        b"HTTP/1.1 200 OK\r\nAcaciarack-Attempt-Id: r-1\r\n"
        b"Acaciarack-Server-Signature: " + proof + b"\r\n" + framing + b"\r\n"
    )


def encode(data, framing):
    if framing and data:
        return b"%x\r\n%s\r\n" % (len(data), data)
    return data


async def reset(stream):
    """Closes a connection after all that was sent has arrived."""
    await trio.sleep(0.003)
    stream.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    stream.socket.close()


def break_after(events, *, part=0, framing="chunked", how="reset"):
    """Sends events up to a number and a part of the next, then breaks.

    Breaks before the response head if the number is negative.
    """

    async def attempt(stream, listener, first, proof):
        if events >= 0:
            header = FRAMINGS[framing]
            await send_head(stream, proof, header)
            for n in range(first, events + 1):
                await stream.send_all(encode(make_event(n), header))
            await stream.send_all(encode(make_event(events + 1)[:part], header))
        if how == "crash":
            await listener.aclose()
        elif how == "reset":
            await reset(stream)

    return attempt


async def complete(stream, listener, first, proof):
    header = FRAMINGS["chunked"]
    await send_head(stream, proof, header)
    for n in range(first, EVENTS + 1):
        await stream.send_all(encode(make_event(n), header))
    await stream.send_all(b"0\r\n\r\n")


def send_raw(data, *, framing, after=b""):
    """Sends one body, and bytes after its end."""

    async def attempt(stream, listener, first, proof):
        header = FRAMINGS[framing]
        if header is None:
            header = b"Content-Length: %d\r\n" % len(data)
        await send_head(stream, proof, header)
        body = data
        if framing == "chunked":
            body = encode(data, header) + b"0\r\n\r\n"
        await stream.send_all(body + after)
        await trio.sleep(0.003)

    return attempt


class StreamTest(TestCase):
    def play(
        self,
        *attempts,
        resumable=True,
        max_attempts=3,
        last_event=None,
        seconds=39.0,
        extra=50,
    ):
        """Serves one stream; returns its result, the writer and the script."""
        script = Script(*attempts)

        async def run():
            clock = self.make_clock()
            engines = []
            async with trio.open_nursery() as nursery:
                for name in "abc":
                    [listener] = await trio.open_tcp_listeners(
                        0, host="127.0.0.1"
                    )
                    port = listener.socket.getsockname()[1]
                    handler = partial(script.serve, port, listener)
                    nursery.start_soon(serve_listener, handler, listener)
                    address = Address(host="127.0.0.1", port=port)
                    engines.append(make_engine(name, address=address))
                server, _ = test_gateway_generations.GenerationTest.make_server(
                    self, TargetClient(), clock, *engines, extra=extra
                )
                task = make_generation(clock, seconds=seconds)
                route = make_route(
                    RouteKind.STREAMING,
                    resumable=resumable,
                    max_attempts=max_attempts,
                )
                request = replace(
                    task.request, headers=((b"host", b"h.example"),)
                )
                if last_event is not None:
                    request = replace(request, last_event=last_event)
                task = replace(task, route=route, request=request)
                writer = RecordingWriter()
                with trio.fail_after(10):
                    try:
                        result = await server.serve(task, writer)
                    except StreamBrokenError as error:
                        result = error
                nursery.cancel_scope.cancel()
            return result, writer, script

        return self.run_real(run)


async def serve_listener(handler, listener):
    try:
        await trio.serve_listeners(handler, [listener])
    except (trio.ClosedResourceError, ExceptionGroup):
        # The test has closed the listener: the engine has crashed.
        return


class ResumptionTest(StreamTest):
    def assert_whole(self, *attempts, **fields):
        result, writer, script = self.play(*attempts, **fields)
        self.assertIsInstance(result, CompletedStream)
        self.assertEqual(WHOLE, writer.data)
        ports = [port for port, _ in script.requests]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertEqual(len(attempts), len(ports))
        for _, fields in script.requests:
            self.assertNotIn(b"kv-from", fields)
        return writer, script

    def test_break_at_each_event_of_each_of_two_targets(self):
        """A break anywhere changes no byte of what the caller reads."""
        for first in range(-1, EVENTS + 1):
            for second in range(max(first, -1), EVENTS + 1):
                for part in (0, 7):
                    _, script = self.assert_whole(
                        break_after(first, part=part),
                        break_after(second, part=part),
                        complete,
                    )
                    sent = [
                        fields.get(b"last-event-id")
                        for _, fields in script.requests
                    ]
                    expected = [
                        None if last <= 0 else b"%d" % last
                        for last in (0, first, second)
                    ]
                    self.assertEqual(expected, sent)

    def test_crash_that_looks_like_the_end_of_a_stream_without_a_length(self):
        for events in range(EVENTS):
            for part in (0, 7):
                self.assert_whole(
                    break_after(
                        events, part=part, framing="plain", how="crash"
                    ),
                    complete,
                )

    def test_close_without_the_end_of_a_chunked_stream(self):
        for events in range(EVENTS + 1):
            self.assert_whole(break_after(events, how="close"), complete)

    def test_head_of_the_first_target_stays(self):
        writer, script = self.assert_whole(break_after(2), complete)
        signatures = [
            value
            for name, value in writer.head.headers
            if name.lower() == b"acaciarack-server-signature"
        ]
        first_port = script.requests[0][0]
        self.assertEqual([b"proof-%d" % first_port], signatures)

    def test_gap_in_the_second_stream_is_never_passed_on(self):
        gap = send_raw(make_event(4), framing="chunked")
        self.assert_whole(break_after(2), gap, complete)

    def test_second_stream_from_its_beginning_is_not_repeated(self):
        self.assert_whole(break_after(2), send_raw(WHOLE, framing="chunked"))

    def test_attempts_budget_and_time_are_limits(self):
        for fields in (
            {"max_attempts": 2},
            {"resumable": False},
            {"extra": 0},
        ):
            attempts = fields.get("max_attempts", 1)
            result, writer, script = self.play(*[break_after(2)] * 3, **fields)
            self.assertIsInstance(result, StreamBrokenError)
            self.assertEqual(attempts, len(script.requests))
            self.assertTrue(WHOLE.startswith(writer.data))
        # The rest takes longer than 2 s: 400 tokens of output are expected.
        result, _, script = self.play(break_after(2), complete, seconds=2.0)
        self.assertIsInstance(result, StreamBrokenError)
        self.assertEqual(1, len(script.requests))

    def test_lost_head_of_another_route_is_not_run_again(self):
        result, _, script = self.play(break_after(-1), resumable=False)
        self.assertIsInstance(result, Refusal)
        self.assertEqual(1, len(script.requests))

    def test_caller_resumes_after_its_own_last_event(self):
        for last in range(EVENTS + 1):
            _, writer, script = self.play(
                break_after(min(last + 1, EVENTS)), complete, last_event=last
            )
            self.assertEqual(WHOLE[len(make_event(1)) * last :], writer.data)
            self.assertEqual(
                b"%d" % last, script.requests[0][1][b"last-event-id"]
            )

    def test_last_event_of_a_caller_is_not_used_on_other_routes(self):
        _, writer, script = self.play(complete, last_event=2, resumable=False)
        self.assertEqual(WHOLE, writer.data)
        self.assertNotIn(b"last-event-id", script.requests[0][1])


REPEATS = {
    "same id": make_event(EVENTS),
    "earlier id": make_event(2),
    "no id": b"data: token %d\n\n" % EVENTS,
    "two spaces": b"id:  %d\ndata: token %d\n\n" % (EVENTS, EVENTS),
    "space after id": b"id: %d \ndata: token %d\n\n" % (EVENTS, EVENTS),
    "leading zero": b"id: 0%d\ndata: token %d\n\n" % (EVENTS, EVENTS),
    "id last": b"data: token %d\nid: %d\n\n" % (EVENTS, EVENTS),
    "two ids": b"id: %d\nid: %d\ndata: x\n\n" % (EVENTS + 1, EVENTS),
    "bare returns": b"id: %d\rdata: token %d\r\r\n\n" % (EVENTS, EVENTS),
    "line feeds": b"id: %d\r\ndata: token %d\r\n\r\n" % (EVENTS, EVENTS),
}


class RepeatTest(StreamTest):
    """An event that the caller has is not written again, in whatever form.

    Answers a played day on which one piece of a short stream arrived twice
    while a target corrupted 1.9% of its answers.
    """

    def assert_not_written(self, attempt, expected):
        _, writer, _ = self.play(attempt, resumable=False)
        self.assertEqual(expected, writer.data)


def add_tests(cls):
    """Adds a test for each form of an extra event and each framing."""

    def add(name, attempt, expected):
        def test(self):
            self.assert_not_written(attempt, expected)

        setattr(cls, "test_" + name.replace(" ", "_"), test)

    after = {**REPEATS, "new event": make_event(EVENTS + 1), "marker": END}
    for framing in FRAMINGS:
        for form, data in REPEATS.items():
            add(
                f"{form} {framing}",
                send_raw(WHOLE + data, framing=framing),
                WHOLE,
            )
        for form, data in after.items():
            add(
                f"{form} after marker {framing}",
                send_raw(WHOLE + END + data, framing=framing),
                WHOLE + END,
            )
            if framing != "plain":
                add(
                    f"{form} after body {framing}",
                    send_raw(WHOLE, framing=framing, after=data),
                    WHOLE,
                )
                add(
                    f"{form} as chunk after body {framing}",
                    send_raw(
                        WHOLE, framing=framing, after=encode(data, b"chunked")
                    ),
                    WHOLE,
                )


add_tests(RepeatTest)
