"""A light source of generations for the measurement of a relay's cost.

Several engines step out of phase; each step brings one token to each of the
engine's streams. A token's text is the time at which it was sent.
"""

import json
import time
from collections.abc import Iterator
from functools import partial

import h11
import trio

from acaciarack_bench.answers import LEADING_EVENTS, Answer

STEP_SECONDS = 0.04
ENGINES = 8
HOST = "127.0.0.1"
READY = "ready"
_EVENTS_A_WRITE = 100
_MAX_READ_BYTES = 65536
_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
_LAST_CHUNK = b"0\r\n\r\n"
_DELTA = (
    b"event: response.output_text.delta\n"
    b'data: {"type":"response.output_text.delta","item_id":"%b",'
    b'"output_index":0,"content_index":0,"logprobs":[],"delta":"%d ",'
    b'"sequence_number":%d}\n\n'
)


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class _Stream:
    """One generation on one connection."""

    def __init__(self, *, name: str, connection: trio.SocketStream) -> None:
        self.connection = connection
        self.answer = Answer(
            name=name,
            model="m",
            created=0.0,
            prompt_tokens=1,
            limit=1,
            truncated=False,
            metadata={},
        )
        self._item = self.answer.item_id.encode()

    def encode_leading(self) -> bytes:
        """Encodes the events before the first token."""
        events = (self.answer.encode(n) for n in range(LEADING_EVENTS))
        return b"".join(_encode_chunk(event) for event in events)

    def encode_token(self) -> bytes:
        """Encodes the next token, stamped with the time in nanoseconds."""
        number = LEADING_EVENTS + self.answer.tokens
        self.answer.tokens += 1
        stamp = time.monotonic_ns()
        return _encode_chunk(_DELTA % (self._item, stamp, number))

    def encode_end(self) -> bytes:
        """Encodes the events after the last token and the body's end."""
        start = self.answer.count_events()
        self.answer.finish()
        numbers = range(start, self.answer.count_events())
        chunks = (_encode_chunk(self.answer.encode(n)) for n in numbers)
        return b"".join(chunks) + _LAST_CHUNK


class _Engine:
    """Streams that step together."""

    def __init__(self, *, phase: float) -> None:
        self.streams: set[_Stream] = set()
        self._phase = phase

    async def run(self) -> None:
        """Steps until cancelled."""
        next_step = trio.current_time() + self._phase
        while True:
            await trio.sleep_until(next_step)
            next_step += STEP_SECONDS
            for stream in tuple(self.streams):
                await self._step(stream)

    async def _step(self, stream: _Stream) -> None:
        try:
            await stream.connection.send_all(stream.encode_token())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.streams.discard(stream)


class _Source:
    """Answers requests with generations."""

    def __init__(self) -> None:
        self.engines = [
            _Engine(phase=STEP_SECONDS * n / ENGINES) for n in range(ENGINES)
        ]
        self._count = 0

    async def serve(self, connection: trio.SocketStream) -> None:
        """Serves one connection."""
        try:
            async with connection:
                body = await _read_request(connection)
                while body is not None:
                    await self._answer(connection, body)
                    body = await _read_request(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, connection: trio.SocketStream, body: bytes) -> None:
        options = json.loads(body or b"{}").get("metadata") or {}
        self._count += 1
        stream = _Stream(name=f"g{self._count}", connection=connection)
        await connection.send_all(_HEAD + stream.encode_leading())
        if options.get("pace") == READY:
            for data in _list_writes(stream, int(options["output_tokens"])):
                await connection.send_all(data)
            await connection.send_all(stream.encode_end())
            return
        engine = self.engines[self._count % ENGINES]
        engine.streams.add(stream)
        await connection.receive_some()
        engine.streams.discard(stream)
        raise trio.BrokenResourceError


def _list_writes(stream: _Stream, tokens: int) -> Iterator[bytes]:
    for start in range(0, tokens, _EVENTS_A_WRITE):
        count = min(_EVENTS_A_WRITE, tokens - start)
        yield b"".join(stream.encode_token() for _ in range(count))


async def _read_request(connection: trio.SocketStream) -> bytes | None:
    """Returns the body of the next request; ``None`` at the end."""
    parser = h11.Connection(h11.SERVER)
    body = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await connection.receive_some(_MAX_READ_BYTES))
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return body
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def _run() -> None:
    source = _Source()
    async with trio.open_nursery() as nursery:
        for engine in source.engines:
            nursery.start_soon(engine.run)
        listeners = await nursery.start(
            partial(trio.serve_tcp, source.serve, 0, host=HOST)
        )
        port = listeners[0].socket.getsockname()[1]
        print(json.dumps({"port": port}), flush=True)


if __name__ == "__main__":
    trio.run(_run)
