"""A token source with little overhead, for measuring the cost of a relay.

Several engines step out of phase. At each step, an engine sends one token on
each of its streams. If a request's metadata has ``"pace": "ready"``, the source
sends all its tokens at once instead. The text of a token is its send time.
"""

import json
import time
from collections.abc import Iterator
from functools import partial

import h11
import trio

from acaciarack_bench.responses import LEADING_EVENTS, Response

STEP_SECONDS = 0.04
ENGINES = 8
HOST = "127.0.0.1"
READY = "ready"
_EVENTS_PER_WRITE = 100
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
        self.response = Response(
            name=name,
            model="m",
            created=0.0,
            prompt_tokens=1,
            limit=1,
            truncated=False,
            metadata={},
        )
        self._item = self.response.item_id.encode()

    def encode_leading(self) -> bytes:
        """Encodes the events before the first token."""
        events = (self.response.encode(n) for n in range(LEADING_EVENTS))
        return b"".join(_encode_chunk(event) for event in events)

    def encode_token(self) -> bytes:
        """Encodes the next token, whose text is the time in nanoseconds."""
        number = LEADING_EVENTS + self.response.tokens
        self.response.tokens += 1
        stamp = time.monotonic_ns()
        return _encode_chunk(_DELTA % (self._item, stamp, number))

    def encode_end(self) -> bytes:
        """Encodes the events after the last token and the end of the body."""
        start = self.response.count_events()
        self.response.finish()
        numbers = range(start, self.response.count_events())
        chunks = (_encode_chunk(self.response.encode(n)) for n in numbers)
        return b"".join(chunks) + _LAST_CHUNK


class _Engine:
    """A group of streams that get their tokens in the same steps."""

    def __init__(self, *, phase: float) -> None:
        self.streams: set[_Stream] = set()
        self._phase = phase

    async def run(self) -> None:
        """Sends one token on each stream per step until cancelled."""
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
    """An HTTP server that answers each request with a generation."""

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
                    await self._stream_generation(connection, body)
                    body = await _read_request(connection)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _stream_generation(
        self, connection: trio.SocketStream, body: bytes
    ) -> None:
        options = json.loads(body or b"{}").get("metadata") or {}
        self._count += 1
        stream = _Stream(name=f"g{self._count}", connection=connection)
        await connection.send_all(_HEAD + stream.encode_leading())
        if options.get("pace") == READY:
            for data in _encode_token_batches(
                stream, int(options["output_tokens"])
            ):
                await connection.send_all(data)
            await connection.send_all(stream.encode_end())
            return
        engine = self.engines[self._count % ENGINES]
        engine.streams.add(stream)
        # Returns when the caller closes the connection.
        await connection.receive_some()
        engine.streams.discard(stream)
        raise trio.BrokenResourceError


def _encode_token_batches(stream: _Stream, tokens: int) -> Iterator[bytes]:
    for start in range(0, tokens, _EVENTS_PER_WRITE):
        count = min(_EVENTS_PER_WRITE, tokens - start)
        yield b"".join(stream.encode_token() for _ in range(count))


async def _read_request(connection: trio.SocketStream) -> bytes | None:
    """Returns the body of the next request; ``None`` if there is none."""
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
