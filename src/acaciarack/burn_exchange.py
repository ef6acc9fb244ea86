"""Brings the counters of a data centre's nodes to its stream on the log.

Each node sends its closed minutes to one aggregator, chosen by rendezvous
hashing among the live nodes, and repeats them until it is told that the log
holds them. The aggregator appends one record a minute. It sends its own
minutes to the node that would be chosen next, so that they outlive it.
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
    decode,
    encode,
    find_minute,
)
from acaciarack.burn_records import (
    MAX_AGE,
    Marks,
    StreamReader,
    build_record,
    encode_record,
    name_stream,
    read_accepted,
)
from acaciarack.burn_sink import MinuteCounter, get_objectives
from acaciarack.configuration import Objectives
from acaciarack.handshakes import Identity
from acaciarack.messages import Message
from acaciarack.peers import rank_names
from acaciarack.platform import AppendUnknownError, PlatformError
from acaciarack.reports import ReportContext

COLLECT_TIME = timedelta(seconds=5)
"""How long after the minute the aggregator appends."""
KEEP_TIME = timedelta(minutes=3)
"""How long a node keeps parts of others while it is not chosen."""
APPEND_TIMEOUT = timedelta(seconds=10)
MAX_PENDING_BYTES = 1024 * 1024
"""What a node keeps for the log; the oldest minutes go first."""
MAX_SENT_BYTES = 32 * 1024
"""What a node sends to the aggregator in a minute, but one part at least."""
MAX_RECEIVED_BYTES = 2 * 1024 * 1024
_logger = logbook.Logger("burn")


class BurnParts(Message, frozen=True, kw_only=True, tag="bp"):
    """Closed minutes of the sender that the log may lack, oldest first."""

    bodies: tuple[bytes, ...]


class BurnMark(Message, frozen=True, kw_only=True, tag="bm"):
    """Tells a node that the log holds its minutes up to ``minute``."""

    incarnation: int
    minute: int


@dataclass(frozen=True, kw_only=True)
class _Received:
    """Parts of a node, and the monotonic time at which they came."""

    bodies: tuple[bytes, ...]
    time: timedelta


class Pending:
    """The closed minutes of this node that the log may lack."""

    def __init__(self, *, max_bytes: int = MAX_PENDING_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bodies: collections.OrderedDict[int, bytes] = (
            collections.OrderedDict()
        )
        self.dropped = 0

    def put(self, minute: int, body: bytes) -> None:
        """Adds a minute; drops the oldest ones over the limit."""
        self._bodies[minute] = body
        while sum(map(len, self._bodies.values())) > self._max_bytes:
            self._bodies.popitem(last=False)
            self.dropped += 1

    def forget_until(self, minute: int) -> None:
        """Drops the minutes up to ``minute``, which the log holds."""
        for held in [held for held in self._bodies if held <= minute]:
            del self._bodies[held]

    def drop_before(self, minute: int) -> None:
        """Drops the minutes that are too old for the log."""
        for held in [held for held in self._bodies if held < minute]:
            del self._bodies[held]
            self.dropped += 1

    def list_bodies(self) -> tuple[bytes, ...]:
        """Returns all minutes, oldest first."""
        return tuple(self._bodies.values())

    def list_due(self) -> tuple[bytes, ...]:
        """Returns the oldest minutes, within what is sent at once."""
        due: list[bytes] = []
        for body in self._bodies.values():
            if due and sum(map(len, due)) + len(body) > MAX_SENT_BYTES:
                break
            due.append(body)
        return tuple(due)


class BurnExchange:
    """One node's part, as sender and, while it is chosen, as aggregator."""

    def __init__(self, *, context: ReportContext) -> None:
        """Creates the exchange and takes the messages of peers."""
        self._context = context
        self._identity = context.identity
        self.pending = Pending()
        self.counter = MinuteCounter(
            get_objectives=self._get_objectives,
            get_now=context.clock.now,
            close=self._close,
        )
        self._received: dict[tuple[str, int], _Received] = {}
        self._reader: StreamReader | None = None
        self._marks = Marks()
        context.links.register(BurnParts, self._take_parts)
        context.links.register(BurnMark, self._take_mark)

    async def run(self) -> None:
        """Sends and, while chosen, appends once a minute until cancelled."""
        clock = self._context.clock
        while True:
            now = clock.now().timestamp()
            start = math.floor(now / MINUTE_SECONDS + 1) * MINUTE_SECONDS
            await clock.sleep(timedelta(seconds=start - now))
            self.send()
            await clock.sleep(COLLECT_TIME)
            if self.choose_aggregator() != self._identity.node:
                self._resign()
                continue
            await self.append()

    def choose_aggregator(self) -> str:
        """Returns the node that appends for this data centre now."""
        return self._rank_nodes()[0]

    def _rank_nodes(self) -> list[str]:
        centre = self._identity.data_centre
        nodes = self._context.members.list_near() or (self._identity.node,)
        return rank_names(f"burn {centre}", nodes)

    def send(self) -> None:
        """Closes the minute and sends what the log may lack."""
        self.counter.roll()
        self.pending.drop_before(self._find_oldest())
        bodies = self.pending.list_due()
        others = [
            name
            for name in self._rank_nodes()[:2]
            if name != self._identity.node
        ]
        if others and bodies:
            self._context.links.send(others[0], BurnParts(bodies=bodies))

    async def append(self) -> None:
        """Appends what came in as one record, and tells the senders.

        An append whose answer was lost is looked up by reading on; what the
        log lacks then is sent again.
        """
        key = self._identity.node, self._identity.incarnation
        self._received[key] = self._stamp(self.pending.list_due())
        try:
            with trio.fail_after(APPEND_TIMEOUT.total_seconds()):
                await self._read_on()
                await self._append_record()
                await self._read_on()
        except (PlatformError, trio.TooSlowError) as error:
            _logger.warning("cannot append burn counters: {}", error)
        else:
            self._tell_marks()
        finally:
            self._received.clear()

    async def _append_record(self) -> None:
        record = build_record(
            self._decode_received(),
            marks=self._marks,
            oldest=self._find_oldest(),
        )
        try:
            await self._context.log.append(
                stream=name_stream(self._identity.data_centre),
                bodies=[encode_record(record)],
            )
        except AppendUnknownError as error:
            _logger.info("reading on to see what was appended: {}", error)

    async def _read_on(self) -> None:
        """Follows the own stream, from ``MAX_AGE`` ago at first."""
        now = self._context.clock.now()
        if self._reader is None:
            reader = StreamReader(
                log=self._context.log,
                stream=name_stream(self._identity.data_centre),
            )
            await reader.seek(now - 2 * MAX_AGE)
            self._marks = Marks()
            self._reader = reader
        while entries := await self._reader.read():
            for _ in read_accepted(entries, self._marks):
                await trio.lowlevel.checkpoint()
        self._marks.forget_before(find_minute(now - 2 * MAX_AGE))

    def _resign(self) -> None:
        """Keeps what came in lately only, in case the aggregator is lost."""
        self._reader = None
        oldest = self._context.clock.elapsed() - KEEP_TIME
        for sender, received in list(self._received.items()):
            if received.time < oldest:
                del self._received[sender]

    def _stamp(self, bodies: tuple[bytes, ...]) -> _Received:
        return _Received(bodies=bodies, time=self._context.clock.elapsed())

    def _tell_marks(self) -> None:
        for node, incarnation in self._received:
            mark = self._marks.get(node, incarnation)
            if node == self._identity.node:
                self.pending.forget_until(mark)
            elif mark:
                message = BurnMark(incarnation=incarnation, minute=mark)
                self._context.links.send(node, message)

    def _decode_received(self) -> Iterable[Part]:
        for (node, _), received in self._received.items():
            for body in received.bodies:
                try:
                    yield decode(body, Part)
                except BurnRecordError as error:
                    _logger.warning("a part of {} is bad: {}", node, error)

    def _close(self, counts: Counts) -> None:
        part = Part(
            node=self._identity.node,
            incarnation=self._identity.incarnation,
            counts=counts,
        )
        self.pending.put(counts.minute, encode(part))

    def _find_oldest(self) -> int:
        # One minute is left for the way to the log.
        return find_minute(self._context.clock.now() - MAX_AGE) + 1

    def _get_objectives(self, service: str) -> Objectives:
        return get_objectives(self._context.get_configuration(), service)

    async def _take_parts(self, sender: Identity, parts: BurnParts) -> None:
        key = sender.node, sender.incarnation
        held = itertools.chain.from_iterable(
            received.bodies
            for other, received in self._received.items()
            if other != key
        )
        size = sum(map(len, itertools.chain(held, parts.bodies)))
        if size > MAX_RECEIVED_BYTES:
            _logger.warning("no room for counters of {}", sender.node)
            return
        self._received[key] = self._stamp(parts.bodies)

    async def _take_mark(self, sender: Identity, mark: BurnMark) -> None:
        if mark.incarnation == self._identity.incarnation:
            self.pending.forget_until(mark.minute)
