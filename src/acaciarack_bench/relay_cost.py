"""Measures what the relay of a token costs, against a plain relay.

Three processes: a source, the relay under test and this one, which counts
the tokens and checks their order. Only the relay's CPU time counts. ``load``
is the share of a core that the relay used: close to 1 it is saturated, tokens
queue before it, and its cost a token is no longer that at the engines' pace.
"""

import argparse
import json
import re
import signal
import statistics
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field

import httpcore
import trio

from acaciarack_bench.relay_cost_relay import API_KEY, HOST
from acaciarack_bench.relay_cost_source import READY

KINDS = ("plain", "product")
STARTUP_TIMEOUT_SECONDS = 20.0
EXIT_TIMEOUT_SECONDS = 5.0
RUN_TIMEOUT_SECONDS = 60.0
WARM_UP_SECONDS = 2.0
# Paced streams that measure delays while the ready streams run.
PROBE_STREAMS = 8
# The length of a ready stream. The source sends its tokens all at once.
READY_TOKENS = 3000
_READ_BYTES = 1 << 18
_TOKEN_PATTERN = re.compile(rb'"delta":"(\d+) ","sequence_number":(\d+)}')
_CHUNK_HEADER_PATTERN = re.compile(rb"\r\n[0-9a-f]+\r\n")
# Unparsed bytes to keep, which may hold the start of a token event.
_MAX_EVENT_BYTES = 512
_FIRST_TOKEN_SEQUENCE_NUMBER = 4


class OrderError(Exception):
    """A token is missing, repeated or out of order, or a stream ended early."""


@dataclass
class TokenStats:
    """Statistics of the tokens that this process has received.

    Attributes:
        tokens: the number of tokens.
        added: the increases of the gaps between tokens from the source to
            this process, in seconds.
        delays: the delays from the source to this process, in seconds.
        measuring: whether to record ``added`` and ``delays``.
    """

    tokens: int = 0
    added: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    measuring: bool = False


class _StreamReader:
    """Parses one stream and checks the order of its tokens."""

    def __init__(self, *, stats: TokenStats, timed: bool) -> None:
        self._stats = stats
        self._timed = timed
        self._unparsed = b""
        self._expected = _FIRST_TOKEN_SEQUENCE_NUMBER
        self._sent = 0
        self._received = 0
        self.tokens = 0

    def feed(self, data: bytes) -> None:
        """Processes received bytes.

        Raises:
            OrderError: a token does not have the expected sequence number.
        """
        now = time.monotonic_ns()
        buffer = _CHUNK_HEADER_PATTERN.sub(b"", self._unparsed + data)
        end = 0
        for match in _TOKEN_PATTERN.finditer(buffer):
            end = match.end()
            if int(match[2]) != self._expected:
                raise OrderError(
                    f"got sequence number {int(match[2])}, expected "
                    f"{self._expected}"
                )
            self._expected += 1
            self._record(int(match[1]), now)
        self._unparsed = buffer[end:][-_MAX_EVENT_BYTES:]

    def _record(self, sent: int, now: int) -> None:
        self.tokens += 1
        self._stats.tokens += 1
        if self._timed and self._stats.measuring and self._sent:
            gap_increase = (now - self._received) - (sent - self._sent)
            self._stats.added.append(max(0, gap_increase) / 1e9)
            self._stats.delays.append((now - sent) / 1e9)
        self._sent = sent
        self._received = now


def _build_request(port: int, tokens: int) -> bytes:
    metadata = {"pace": READY, "output_tokens": str(tokens)} if tokens else {}
    body = json.dumps(
        {"model": "chat", "input": "x", "stream": True, "metadata": metadata}
    )
    return (
        f"POST /v1/responses HTTP/1.1\r\nhost: {HOST}:{port}\r\n"
        f"authorization: Bearer {API_KEY}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def _read_stream(
    port: int, reader: _StreamReader, tokens: int = 0
) -> None:
    """Reads one stream up to ``tokens`` tokens; 0 for no limit."""
    async with await trio.open_tcp_stream(HOST, port) as stream:
        await stream.send_all(_build_request(port, tokens))
        while data := await stream.receive_some(_READ_BYTES):
            reader.feed(bytes(data))
            if tokens and reader.tokens >= tokens:
                return
    raise OrderError(f"stream ended early, after {reader.tokens} tokens")


async def _read_cpu(port: int) -> float:
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request("GET", f"http://{HOST}:{port}/cpu")
    return float(json.loads(response.content)["cpu"])


@dataclass(frozen=True, kw_only=True)
class Sample:
    """One measurement.

    Attributes:
        tokens: the number of tokens that this process received.
        cpu: the CPU time of the relay, in seconds.
        seconds: the duration of the measurement.
        added: the 95th and 99th percentiles of the increases of the gaps
            between tokens, in milliseconds.
        delay: the 95th and 99th percentiles of the delay from the source, in
            milliseconds.
    """

    tokens: int
    cpu: float
    seconds: float
    added: tuple[float, float]
    delay: tuple[float, float]

    @property
    def microseconds(self) -> float:
        """The CPU time per token, in microseconds."""
        return self.cpu / self.tokens * 1e6

    @property
    def rate(self) -> float:
        """The number of tokens per second of CPU time."""
        return self.tokens / self.cpu


def _compute_p95_p99(seconds: list[float]) -> tuple[float, float]:
    if len(seconds) < 2:
        return (0.0, 0.0)
    cuts = statistics.quantiles(seconds, n=100)
    return cuts[94] * 1e3, cuts[98] * 1e3


async def _measure(
    port: int, stats: TokenStats, period: "_MeasurementPeriod"
) -> Sample:
    stats.measuring = True
    tokens, cpu = stats.tokens, await _read_cpu(port)
    start = time.monotonic()
    await period.wait()
    stats.measuring = False
    return Sample(
        tokens=stats.tokens - tokens,
        cpu=await _read_cpu(port) - cpu,
        seconds=time.monotonic() - start,
        added=_compute_p95_p99(stats.added),
        delay=_compute_p95_p99(stats.delays),
    )


@dataclass(frozen=True, kw_only=True)
class _MeasurementPeriod:
    """The period of one measurement.

    Without ``ready`` streams the period lasts ``seconds``; with them it lasts
    until they end.

    Attributes:
        port: the relay's port.
        stats: the statistics to update.
        seconds: the duration of the period without ``ready`` streams.
        ready: the number of streams whose tokens are all ready at once.
    """

    port: int
    stats: TokenStats
    seconds: float
    ready: int = 0

    async def wait(self) -> None:
        if not self.ready:
            await trio.sleep(self.seconds)
            return
        async with trio.open_nursery() as nursery:
            for _ in range(self.ready):
                reader = _StreamReader(stats=self.stats, timed=False)
                nursery.start_soon(
                    _read_stream, self.port, reader, READY_TOKENS
                )


async def _measure_relay(
    port: int, *, streams: int, seconds: float, ready: int
) -> Sample:
    """Measures with paced streams and with streams that are ready at once."""
    stats = TokenStats()
    period = _MeasurementPeriod(
        port=port, stats=stats, seconds=seconds, ready=ready
    )
    with trio.fail_after(RUN_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for _ in range(streams):
                reader = _StreamReader(stats=stats, timed=True)
                nursery.start_soon(_read_stream, port, reader)
            await trio.sleep(WARM_UP_SECONDS)
            sample = await _measure(port, stats, period)
            nursery.cancel_scope.cancel()
    return sample


@contextmanager
def _open_process(module: str, *arguments: str) -> Iterator[int]:
    """Runs a process for the duration of a block and yields its port."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *arguments], stdout=subprocess.PIPE
    )
    try:
        assert process.stdout is not None
        yield json.loads(process.stdout.readline())["port"]
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(EXIT_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait(EXIT_TIMEOUT_SECONDS)


async def _measure_relays(
    ports: dict[str, int], options: argparse.Namespace, *, ready: bool
) -> dict[str, Sample]:
    samples = {}

    async def run(kind: str, port: int) -> None:
        samples[kind] = await _measure_relay(
            port,
            streams=PROBE_STREAMS if ready else options.streams,
            seconds=options.seconds,
            ready=options.ready if ready else 0,
        )

    async with trio.open_nursery() as nursery:
        for kind, port in ports.items():
            nursery.start_soon(run, kind, port)
    return samples


def _run_comparison(
    options: argparse.Namespace, *, ready: bool
) -> dict[str, Sample]:
    """Measures all kinds at once, so that other load affects them equally."""
    package = "acaciarack_bench.relay_cost"
    profile = ["--profile"] if options.profile else []
    with ExitStack() as stack:
        source = stack.enter_context(_open_process(f"{package}_source"))
        ports = {
            kind: stack.enter_context(
                _open_process(f"{package}_relay", kind, str(source), *profile)
            )
            for kind in options.kinds
        }
        return trio.run(lambda: _measure_relays(ports, options, ready=ready))


def _print_samples(title: str, samples: dict[str, list[Sample]]) -> None:
    print(title)
    for kind, found in samples.items():
        costs = sorted(sample.microseconds for sample in found)
        rates = sorted(sample.rate for sample in found)
        added = [max(s.added[n] for s in found) for n in (0, 1)]
        delay = [max(s.delay[n] for s in found) for n in (0, 1)]
        print(
            f"  {kind:8} us/token median {statistics.median(costs):6.1f}"
            f" ({costs[0]:.1f}-{costs[-1]:.1f})"
            f"  tokens/s/core {statistics.median(rates):7.0f}"
            f"  added p95 {added[0]:.2f} p99 {added[1]:.2f} ms"
            f"  delay p95 {delay[0]:.2f} p99 {delay[1]:.2f} ms"
            f"  load {max(s.cpu / s.seconds for s in found):.2f}"
            f"  tokens {sum(sample.tokens for sample in found)}"
        )
    if len(samples) == len(KINDS):
        pairs = zip(samples["plain"], samples["product"], strict=True)
        ratios = sorted(b.microseconds / a.microseconds for a, b in pairs)
        print(
            f"  product/plain median {statistics.median(ratios):.2f}"
            f" ({ratios[0]:.2f}-{ratios[-1]:.2f})"
        )


def main() -> None:
    """Runs the comparison and prints its results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--ready", type=int, default=20)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--repeats", type=int, default=3)
    parser.add_argument("--kinds", nargs="+", choices=KINDS, default=KINDS)
    parser.add_argument("--only", choices=("pace", "ready"))
    parser.add_argument("--profile", action="store_true")
    options = parser.parse_args()
    for name, ready in (("pace", False), ("ready", True)):
        if options.only not in (None, name):
            continue
        samples: dict[str, list[Sample]] = {kind: [] for kind in options.kinds}
        for _ in range(options.repeats):
            for kind, sample in _run_comparison(options, ready=ready).items():
                samples[kind].append(sample)
        title = "ready together" if ready else f"{options.streams} streams"
        _print_samples(title, samples)


if __name__ == "__main__":
    main()
