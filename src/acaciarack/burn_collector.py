"""Collects the burn counts of a data centre's nodes in its log stream.

Rendezvous hashing selects one live node of the data centre as aggregator. Every
node sends its closed minutes to the aggregator and resends them until the
aggregator confirms that the log contains them. The aggregator appends one
record per minute. It sends its own minutes to the node that ranks second, so
that they survive a crash of the aggregator.
"""

import collections
import itertools
import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

import logbook
import trio

from acaciarack.burn_counts import (
    MINUTE_SECONDS,
    BurnRecordError,
    Counts,
    Part,
    compute_epoch_minute,
    decode,
    encode,
)
from acaciarack.burn_minute_counter import MinuteCounter, get_objectives
from acaciarack.burn_records import (
    MAX_AGE,
    StreamReader,
    Watermarks,
    build_record,
    build_stream_name,
    encode_record,
    iterate_accepted_counts,
)
from acaciarack.configuration import Objectives
from acaciarack.handshakes import Identity
from acaciarack.messages import Message
from acaciarack.peers import rank_names
from acaciarack.platform import AppendUnknownError, PlatformError
from acaciarack.reports import ReportContext

COLLECTION_DELAY = timedelta(seconds=5)
"""Delay between the end of a minute and the aggregator's append."""
RECEIVED_RETENTION = timedelta(minutes=3)
"""How long a node that is not the aggregator keeps the parts of its peers."""
APPEND_TIMEOUT = timedelta(seconds=10)
MAX_PENDING_BYTES = 1024 * 1024
"""Maximum size of the pending minutes. The oldest ones are dropped first."""
MAX_SENT_BYTES = 32 * 1024
"""Maximum size of the parts in a message. A single part may be larger."""
MAX_RECEIVED_BYTES = 2 * 1024 * 1024
"""Maximum size of the parts that a node holds for its peers."""
_logger = logbook.Logger("burn")


class BurnParts(Message, frozen=True, kw_only=True, tag="bp"):
    """Sends the sender's closed minutes that may be missing from the log.

    Attributes:
        bodies: the encoded parts, oldest first.
    """

    bodies: tuple[bytes, ...]


class BurnMark(Message, frozen=True, kw_only=True, tag="bm"):
    """Confirms that the log contains the recipient's minutes up to ``minute``.

    Attributes:
        incarnation: the recipient's incarnation that produced the minutes.
        minute: the newest minute that the log contains.
    """

    incarnation: int
    minute: int


@dataclass(frozen=True, kw_only=True)
class _ReceivedParts:
    """The encoded parts of a node, and the monotonic time of their arrival."""

    bodies: tuple[bytes, ...]
    time: timedelta


class PendingMinutes:
    """This node's closed minutes that may be missing from the log.

    Attributes:
        dropped: the number of minutes dropped because of their size or age.
    """

    def __init__(self, *, max_bytes: int = MAX_PENDING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bodies: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.dropped = 0

    def put(self, minute: int, body: bytes) -> None:
        """Adds a minute, then drops the oldest ones above the size limit."""
        self._bodies[minute] = body
        while sum(map(len, self._bodies.values())) > self._max_bytes:
            self._bodies.popitem(last=False)
            self.dropped += 1

    def drop_acknowledged(self, minute: int) -> None:
        """Drops the minutes up to ``minute``, which the log contains."""
        for held in [held for held in self._bodies if held <= minute]:
            del self._bodies[held]

    def drop_expired(self, minute: int) -> None:
        """Drops the minutes before ``minute``, which are too old to append."""
        for held in [held for held in self._bodies if held < minute]:
            del self._bodies[held]
            self.dropped += 1

    def list_bodies(self) -> tuple[bytes, ...]:
        """Returns all minutes, oldest first."""
        return tuple(self._bodies.values())

    def list_next_batch(self) -> tuple[bytes, ...]:
        """Returns the oldest minutes that fit into one message."""
        batch: list[bytes] = []
        for body in self._bodies.values():
            if batch and sum(map(len, batch)) + len(body) > MAX_SENT_BYTES:
                break
            batch.append(body)
        return tuple(batch)


class BurnCollector:
    """Sends this node's counts to the aggregator of its data centre.

    While this node is the aggregator, it also appends the counts of all nodes.
    """

    def __init__(self, *, context: ReportContext) -> None:
        """Creates the collector and registers its message handlers."""
        self._context = context
        self._identity = context.identity
        self.pending = PendingMinutes()
        self.counter = MinuteCounter(
            get_objectives=self._get_objectives,
            get_now=context.clock.now,
            on_minute_closed=self._store_closed_minute,
        )
        self._received_parts: dict[tuple[str, int], _ReceivedParts] = {}
        self._reader: StreamReader | None = None
        self._watermarks = Watermarks()
        context.links.register(BurnParts, self._receive_parts)
        context.links.register(BurnMark, self._receive_watermark)

    async def run(self) -> None:
        """Sends every minute, and appends while this node is the aggregator.

        Runs until cancelled.
        """
        clock = self._context.clock
        while True:
            now = clock.now().timestamp()
            next_minute = math.floor(now / MINUTE_SECONDS + 1) * MINUTE_SECONDS
            await clock.sleep(timedelta(seconds=next_minute - now))
            self.send()
            await clock.sleep(COLLECTION_DELAY)
            if self.choose_aggregator() != self._identity.node:
                self._stop_aggregating()
                continue
            await self.append()

    def choose_aggregator(self) -> str:
        """Returns the node that is now the aggregator of this data centre."""
        return self._rank_nodes()[0]

    def _rank_nodes(self) -> list[str]:
        data_centre = self._identity.data_centre
        nodes = self._context.members.list_local_nodes() or (
            self._identity.node,
        )
        return rank_names(f"burn {data_centre}", nodes)

    def send(self) -> None:
        """Closes the elapsed minute and sends the oldest pending minutes."""
        self.counter.close_elapsed_minute()
        self.pending.drop_expired(self._compute_oldest_minute())
        bodies = self.pending.list_next_batch()
        others = [
            name
            for name in self._rank_nodes()[:2]
            if name != self._identity.node
        ]
        if others and bodies:
            self._context.links.send(others[0], BurnParts(bodies=bodies))

    async def append(self) -> None:
        """Appends the received parts as one record and notifies their senders.

        If the response to the append is lost, reading the log shows whether the
        append succeeded. The senders resend the parts that the log lacks.
        """
        key = self._identity.node, self._identity.incarnation
        self._received_parts[key] = self._build_received(
            self.pending.list_next_batch()
        )
        try:
            with trio.fail_after(APPEND_TIMEOUT.total_seconds()):
                await self._read_new_records()
                await self._append_record()
                await self._read_new_records()
        except (PlatformError, trio.TooSlowError) as error:
            _logger.warning("failed to append burn counts: {}", error)
        else:
            self._acknowledge_parts()
        finally:
            self._received_parts.clear()

    async def _append_record(self) -> None:
        record = build_record(
            self._decode_received(),
            watermarks=self._watermarks,
            oldest=self._compute_oldest_minute(),
        )
        try:
            await self._context.log.append(
                stream=build_stream_name(self._identity.data_centre),
                bodies=[encode_record(record)],
            )
        except AppendUnknownError as error:
            _logger.info(
                "append outcome unknown; reading the log to check: {}", error
            )

    async def _read_new_records(self) -> None:
        """Reads the new records of this data centre's stream.

        The first read starts at the records of ``2 * MAX_AGE`` ago.
        """
        now = self._context.clock.now()
        if self._reader is None:
            reader = StreamReader(
                log=self._context.log,
                stream=build_stream_name(self._identity.data_centre),
            )
            await reader.seek(now - 2 * MAX_AGE)
            self._watermarks = Watermarks()
            self._reader = reader
        while entries := await self._reader.read():
            for _ in iterate_accepted_counts(entries, self._watermarks):
                await trio.lowlevel.checkpoint()
        self._watermarks.drop_before(compute_epoch_minute(now - 2 * MAX_AGE))

    def _stop_aggregating(self) -> None:
        """Resets the reader and drops the parts received long ago.

        Recent parts stay in case the aggregator fails and this node replaces
        it.
        """
        self._reader = None
        oldest = self._context.clock.elapsed() - RECEIVED_RETENTION
        for sender, received in list(self._received_parts.items()):
            if received.time < oldest:
                del self._received_parts[sender]

    def _build_received(self, bodies: tuple[bytes, ...]) -> _ReceivedParts:
        return _ReceivedParts(bodies=bodies, time=self._context.clock.elapsed())

    def _acknowledge_parts(self) -> None:
        for node, incarnation in self._received_parts:
            watermark = self._watermarks.get(node, incarnation)
            if node == self._identity.node:
                self.pending.drop_acknowledged(watermark)
            elif watermark:
                message = BurnMark(incarnation=incarnation, minute=watermark)
                self._context.links.send(node, message)

    def _decode_received(self) -> Iterable[Part]:
        for (node, _), received in self._received_parts.items():
            for body in received.bodies:
                try:
                    yield decode(body, Part)
                except BurnRecordError as error:
                    _logger.warning(
                        "skipping invalid burn counts from {}: {}", node, error
                    )

    def _store_closed_minute(self, counts: Counts) -> None:
        part = Part(
            node=self._identity.node,
            incarnation=self._identity.incarnation,
            counts=counts,
        )
        self.pending.put(counts.minute, encode(part))

    def _compute_oldest_minute(self) -> int:
        # One minute of margin covers the time until the append.
        return compute_epoch_minute(self._context.clock.now() - MAX_AGE) + 1

    def _get_objectives(self, service: str) -> Objectives:
        return get_objectives(self._context.get_configuration(), service)

    async def _receive_parts(self, sender: Identity, parts: BurnParts) -> None:
        key = sender.node, sender.incarnation
        held = itertools.chain.from_iterable(
            received.bodies
            for other, received in self._received_parts.items()
            if other != key
        )
        size = sum(map(len, itertools.chain(held, parts.bodies)))
        if size > MAX_RECEIVED_BYTES:
            _logger.warning(
                "receive buffer full; discarding burn counts from {}",
                sender.node,
            )
            return
        self._received_parts[key] = self._build_received(parts.bodies)

    async def _receive_watermark(
        self, sender: Identity, watermark: BurnMark
    ) -> None:
        if watermark.incarnation == self._identity.incarnation:
            self.pending.drop_acknowledged(watermark.minute)
