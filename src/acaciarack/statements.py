"""Messages by which nodes tell each other who is live and who leaves."""

from datetime import UTC, datetime, timedelta
from typing import ClassVar

import msgspec

from acaciarack.facts import Fact, FactSource, MemberState
from acaciarack.handshakes import Identity
from acaciarack.messages import Message

DIGEST_BYTES = 4
SUMMARY_RATE = 700.0
"""The bytes a second that summaries of all nodes may bring to each node."""
_SUMMARY_ENTRY_BYTES = 64
_MIN_PERIOD = timedelta(seconds=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MILLISECOND = timedelta(milliseconds=1)


class Standing(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a node says of itself.

    Attributes:
        state: live or leaving.
        sequence: grows with each change within an incarnation.
        configuration_version: the version it has in force.
        configuration_digest: the leading bytes of that version's digest.
    """

    state: MemberState
    sequence: int
    configuration_version: int
    configuration_digest: bytes


class Heartbeat(Message, frozen=True, kw_only=True, tag="h"):
    """Sent to each peer at an interval; the link tells from whom.

    Attributes:
        standing: what the sender says of itself.
    """

    droppable: ClassVar[bool] = True
    standing: Standing


class NodeNews(Message, frozen=True, kw_only=True, tag="n"):
    """A node's standing, passed on when it changes.

    Attributes:
        identity: the node that it is about.
        standing: what that node says of itself.
    """

    identity: Identity
    standing: Standing


class NodeSummary(Message, frozen=True, kw_only=True, tag="s"):
    """The nodes of a data centre, for the other data centres.

    Attributes:
        data_centre: where the nodes stand.
        nodes: those that were heard of lately.
    """

    droppable: ClassVar[bool] = True
    data_centre: str
    nodes: tuple[NodeNews, ...]


class TargetNews(Message, frozen=True, kw_only=True, tag="t"):
    """What a source says of a VM, passed on when it changes.

    Attributes:
        name: the target's or node's name.
        source: who says so.
        state: what it says.
        time: when it said so, in milliseconds since 1970 in UTC.
    """

    name: str
    source: FactSource
    state: MemberState
    time: int


def build_news(fact: Fact) -> TargetNews:
    """Turns a fact into a message."""
    return TargetNews(
        name=fact.name,
        source=fact.source,
        state=fact.state,
        time=(fact.time - _EPOCH) // _MILLISECOND,
    )


def read_news(news: TargetNews, *, now: datetime) -> Fact:
    """Turns a message into a fact; a time in the future counts as ``now``."""
    since = now - _EPOCH
    told = timedelta(milliseconds=max(0, min(news.time, since // _MILLISECOND)))
    return Fact(
        name=news.name,
        source=news.source,
        state=news.state,
        time=_EPOCH + told,
    )


def compute_summary_period(nodes: int) -> timedelta:
    """Computes how often a data centre tells the others of its nodes.

    Args:
        nodes: how many nodes the deployment has.
    """
    size = nodes * _SUMMARY_ENTRY_BYTES
    return max(_MIN_PERIOD, timedelta(seconds=size / SUMMARY_RATE))
