"""The other nodes: who is live, what they run, and what they know.

Nodes send each other short datagrams several times a second. A datagram that
is lost is made up for by the next one. Records that a node has just read are
sent along; whoever lacks more than that fetches it over TCP.
"""

import enum
import zlib
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import logbook
import msgpack

from acaciarack.clock import Clock
from acaciarack.errors import AcaciarackError
from acaciarack.gateway.loads import Load
from acaciarack.gateway.replica import Record
from acaciarack.gateway.watching import Batch, Topic

SHORTEST_INTERVAL = timedelta(milliseconds=250)
"""Between two datagrams to each peer on small fleets; engines' reports lag by
500 ms, so counts of peers are about twice as fresh."""
INTERVAL_A_PEER = timedelta(milliseconds=8)
"""What each peer adds to the interval on large fleets: with about 120
datagrams a second sent and received, they stay under 2% of a core."""
LIVE_INTERVALS = 5
"""Intervals of silence after which a peer is taken for gone: four datagrams
in a row are not lost by chance."""
FORGET_TIME = timedelta(seconds=60)
"""How long a silent peer is still sent to: longer than a cut of its links."""
MAX_DATAGRAM_BYTES = 1400
"""What fits one packet on usual links."""
_FORMAT = 4
_LOAD_FIELDS = ("requests", "used", "expected", "standby", "pending")
_UNPACK_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    msgpack.UnpackException,
)

_log = logbook.Logger("acaciarack.gateway.peers")


class MalformedMessageError(AcaciarackError):
    """A datagram is not one of this protocol."""


class NodeState(enum.StrEnum):
    """What a node is good for.

    Attributes:
        STARTING: it does not know enough to serve.
        READY: it takes requests.
        LEAVING: it takes nothing new.
    """

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class NodeFacts:
    """Where a node is.

    Attributes:
        name: unique among the nodes.
        started: its start, in milliseconds since the epoch.
        host: its IP number.
        front_port: for callers.
        link_port: for datagrams and fetches of other nodes.
        data_centre: where it stands.
    """

    name: str
    started: int
    host: str
    front_port: int
    link_port: int
    data_centre: str


@dataclass(frozen=True, kw_only=True)
class News:
    """All records of a topic from ``start`` on, up to the batch's end."""

    topic: Topic
    start: int
    batch: Batch


@dataclass(frozen=True, kw_only=True)
class Beat:
    """One datagram.

    Attributes:
        node: who sends.
        state: what it is good for.
        reads: whether it reads the store and is answered.
        suspects: whether an answer of the store is late there.
        loads: what it has on each target.
        ends: how far it knows each topic.
        news: records that it has just read.
        done: runs on leaving engines that need their link no more.
        leaving: targets that it knows to leave from elsewhere than the store.
    """

    node: NodeFacts
    state: NodeState
    reads: bool
    suspects: bool = False
    loads: Mapping[str, Load] = field(default_factory=dict)
    ends: Mapping[Topic, int] = field(default_factory=dict)
    news: tuple[News, ...] = ()
    leaving: tuple[str, ...] = ()
    done: tuple[str, ...] = ()


def encode_node(node: NodeFacts) -> bytes:
    """Returns a node's facts for its record in the store."""
    return _pack(_list_node(node))


def decode_node(data: bytes) -> NodeFacts:
    """Reads a node's facts from its record.

    Raises:
        MalformedMessageError: it is no such record.
    """
    with _turn_errors():
        return _read_node(msgpack.unpackb(data))


def encode_beat(beat: Beat) -> bytes:
    """Returns a datagram; loads and news are left out if it grows too long."""
    document = [
        _FORMAT,
        _list_node(beat.node),
        str(beat.state),
        beat.reads,
        beat.suspects,
        {
            name: [getattr(load, field) for field in _LOAD_FIELDS]
            for name, load in beat.loads.items()
        },
        {str(topic): end for topic, end in beat.ends.items()},
        list(beat.leaving),
        list(beat.done),
        [encode_news(news) for news in beat.news],
    ]
    data = _pack(document)
    if len(data) > MAX_DATAGRAM_BYTES:
        data = _pack([*document[:9], []])
    return data


def decode_beat(data: bytes) -> Beat:
    """Reads a datagram.

    Raises:
        MalformedMessageError: it is none of this protocol.
    """
    with _turn_errors():
        document = msgpack.unpackb(data)
        version, node, state, reads, suspects, *rest = document
        loads, ends, leaving, done, news = rest
        if version != _FORMAT:
            raise MalformedMessageError(f"version {version} is not known")
        return Beat(
            node=_read_node(node),
            state=NodeState(state),
            reads=bool(reads),
            suspects=bool(suspects),
            loads={
                str(name): Load(
                    **dict(zip(_LOAD_FIELDS, map(int, numbers), strict=True))
                )
                for name, numbers in loads.items()
            },
            ends={Topic(topic): int(end) for topic, end in ends.items()},
            leaving=tuple(str(name) for name in leaving),
            done=tuple(str(run_id) for run_id in done),
            news=tuple(decode_news(item) for item in news),
        )


def encode_news(news: News) -> list[Any]:
    """Returns news in the form that is packed."""
    records = [[r.key, r.offset, r.value] for r in news.batch.records]
    return [str(news.topic), news.start, news.batch.end, records]


def decode_news(document: Any) -> News:
    """Reads news from the form that is packed.

    Raises:
        MalformedMessageError: it has another form.
    """
    with _turn_errors():
        topic, start, end, items = document
        records = tuple(
            Record(
                key=str(key),
                offset=int(offset),
                value=None if value is None else bytes(value),
            )
            for key, offset, value in items
        )
        return News(
            topic=Topic(topic),
            start=int(start),
            batch=Batch(records=records, end=int(end)),
        )


@dataclass(kw_only=True)
class Peer:
    """Another node.

    Attributes:
        node: where it is.
        state: what it is good for.
        heard: elapsed time of its newest datagram; ``None`` before the first.
        added: elapsed time at which it became known.
        reads: whether it reads the store and is answered.
        suspects: whether an answer of the store is late there.
        ends: how far it knows each topic.
        is_live: whether it was live at the last look, for the log.
    """

    node: NodeFacts
    added: timedelta
    state: NodeState = NodeState.STARTING
    heard: timedelta | None = None
    reads: bool = False
    suspects: bool = False
    ends: Mapping[Topic, int] = field(default_factory=dict)
    is_live: bool = False


class PeerTable:
    """All other nodes by name."""

    def __init__(self, *, clock: Clock, own: NodeFacts) -> None:
        self._clock = clock
        self._own = own
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    @property
    def interval(self) -> timedelta:
        """The time between two datagrams to each peer."""
        return max(SHORTEST_INTERVAL, INTERVAL_A_PEER * len(self._peers))

    def add(self, node: NodeFacts) -> None:
        """Takes in a node that the store lists."""
        known = self._peers.get(node.name)
        if node.name == self._own.name:
            return
        if known is None or known.node.started < node.started:
            self._peers[node.name] = Peer(
                node=node, added=self._clock.elapsed()
            )

    def take(self, beat: Beat) -> Peer | None:
        """Takes in a datagram; ``None`` if it is of an earlier life."""
        name = beat.node.name
        if name == self._own.name:
            return None
        known = self._peers.get(name)
        if known is not None and known.node.started > beat.node.started:
            return None
        if known is None or known.node != beat.node:
            known = Peer(node=beat.node, added=self._clock.elapsed())
            self._peers[name] = known
        known.heard = self._clock.elapsed()
        known.state = beat.state
        known.reads = beat.reads
        known.suspects = beat.suspects
        known.ends = beat.ends
        return known

    def list_all(self) -> Iterator[Peer]:
        """Returns all nodes that may be there."""
        yield from self._peers.values()

    def list_live(self) -> list[Peer]:
        """Returns the nodes that were heard of lately."""
        limit = self._clock.elapsed() - self.interval * LIVE_INTERVALS
        return [
            peer
            for peer in self._peers.values()
            if peer.heard is not None and peer.heard >= limit
        ]

    def sweep(self) -> None:
        """Logs who came and went; forgets nodes that are long silent."""
        live = {peer.node.name for peer in self.list_live()}
        now = self._clock.elapsed()
        for name, peer in list(self._peers.items()):
            if peer.is_live != (name in live):
                peer.is_live = name in live
                state = "live" if peer.is_live else "silent"
                _log.info(
                    "peer {}", state, extra={"node": name, "state": state}
                )
            if now - (peer.heard or peer.added) > FORGET_TIME:
                del self._peers[name]

    def has_reader(self) -> bool:
        """Returns whether a live peer reads the store and is answered."""
        return any(peer.reads for peer in self.list_live())

    def has_suspects(self) -> bool:
        """Returns whether an answer of the store is late at a live peer."""
        return any(peer.suspects for peer in self.list_live())

    def is_first(self, subject: str) -> bool:
        """Returns whether this node, of all live ones, looks after a subject.

        All nodes that hear each other agree on it without asking.
        """
        names = [peer.node.name for peer in self.list_live()]
        own = _rank(self._own.name, subject)
        return all(own <= _rank(name, subject) for name in names)

    def is_reader(self) -> bool:
        """Returns whether this node is to read the store.

        One node of each data centre reads for all; the first by name of those
        that are answered. A node whose peers hear nothing reads for itself.
        """
        return not any(
            peer.reads
            and peer.state is not NodeState.LEAVING
            and peer.node.name < self._own.name
            and peer.node.data_centre == self._own.data_centre
            for peer in self.list_live()
        )


def list_entries(
    own: NodeFacts | None, peers: Iterable[Peer], *, data_centre: str
) -> list[NodeFacts]:
    """Returns the nodes that a caller of a data centre should use.

    All ready nodes of the data centre, and one of each other: a caller
    whose data centre loses its nodes has somewhere to go, and few bytes cross
    between data centres.

    Args:
        own: this node, if it is ready.
        peers: the live peers.
        data_centre: the caller's.
    """
    ready = [peer.node for peer in peers if peer.state is NodeState.READY]
    if own is not None:
        ready.append(own)
    near = [node for node in ready if node.data_centre == data_centre]
    far: dict[str, NodeFacts] = {}
    for node in sorted(ready, key=lambda node: node.name):
        if node.data_centre != data_centre:
            far.setdefault(node.data_centre, node)
    if len(near) > 1:
        return near
    return [*near, *far.values()] if near else ready


def _rank(name: str, subject: str) -> int:
    """Orders nodes for a subject; the order of each subject is another."""
    return zlib.crc32(f"{subject}/{name}".encode())


def _pack(document: Any) -> bytes:
    packed: bytes = msgpack.packb(document)
    return packed


def _list_node(node: NodeFacts) -> list[Any]:
    return [
        node.name,
        node.started,
        node.host,
        node.front_port,
        node.link_port,
        node.data_centre,
    ]


def _read_node(document: Any) -> NodeFacts:
    name, started, host, front_port, link_port, data_centre = document
    return NodeFacts(
        name=str(name),
        started=int(started),
        host=str(host),
        front_port=int(front_port),
        link_port=int(link_port),
        data_centre=str(data_centre),
    )


@contextmanager
def _turn_errors() -> Iterator[None]:
    """Turns errors of unpacking into ``MalformedMessageError``."""
    try:
        yield
    except _UNPACK_ERRORS as error:
        raise MalformedMessageError(f"not a message: {error}") from error
