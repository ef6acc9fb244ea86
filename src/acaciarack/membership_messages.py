"""Messages that carry states of nodes and targets between nodes."""

from datetime import UTC, datetime, timedelta
from typing import ClassVar

import msgspec

from acaciarack.handshakes import Identity
from acaciarack.member_states import (
    MemberState,
    ObservationSource,
    StateObservation,
)
from acaciarack.messages import Message

CONFIGURATION_DIGEST_BYTES = 4
"""The number of leading bytes of the digest that a ``Standing`` contains."""
SUMMARY_BYTES_PER_SECOND = 700.0
"""Limit of the total traffic of node summaries that each node receives."""
_SUMMARY_ENTRY_BYTES = 64
_MIN_PERIOD = timedelta(seconds=1)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_MILLISECOND = timedelta(milliseconds=1)


class Standing(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A node's statement of its own state and configuration.

    Attributes:
        state: live or leaving.
        sequence: increases with each change of state within an incarnation.
        configuration_version: the version in force on the node.
        configuration_digest: the leading bytes of that version's digest.
    """

    state: MemberState
    sequence: int
    configuration_version: int
    configuration_digest: bytes


class Heartbeat(Message, frozen=True, kw_only=True, tag="h"):
    """Sent to each peer at regular intervals; the link identifies the sender.

    Attributes:
        standing: the sender's standing.
    """

    droppable: ClassVar[bool] = True
    standing: Standing


class NodeNews(Message, frozen=True, kw_only=True, tag="n"):
    """A node's standing, sent and forwarded when its state changes.

    It is also sent to each newly linked peer.

    Attributes:
        identity: the node.
        standing: that node's own statement.
    """

    identity: Identity
    standing: Standing


class NodeSummary(Message, frozen=True, kw_only=True, tag="s"):
    """The nodes of a data centre, sent to other data centres.

    Attributes:
        data_centre: the data centre of the nodes.
        nodes: the nodes that are live or leaving.
    """

    droppable: ClassVar[bool] = True
    data_centre: str
    nodes: tuple[NodeNews, ...]


class TargetNews(Message, frozen=True, kw_only=True, tag="t"):
    """An observation of a target or node, sent when the state changes.

    Peers forward it. Observations other than live or available are also sent
    to each newly linked peer.

    Attributes:
        name: the target's or node's name.
        source: where the observation comes from.
        state: the observed state.
        time: when it was observed, in milliseconds since 1970 in UTC.
    """

    name: str
    source: ObservationSource
    state: MemberState
    time: int


def encode_observation(observation: StateObservation) -> TargetNews:
    """Encodes an observation as a message."""
    return TargetNews(
        name=observation.name,
        source=observation.source,
        state=observation.state,
        time=(observation.time - _EPOCH) // _MILLISECOND,
    )


def decode_observation(news: TargetNews, *, now: datetime) -> StateObservation:
    """Decodes an observation; a time after ``now`` becomes ``now``."""
    since_epoch = now - _EPOCH
    observed = timedelta(
        milliseconds=max(0, min(news.time, since_epoch // _MILLISECOND))
    )
    return StateObservation(
        name=news.name,
        source=news.source,
        state=news.state,
        time=_EPOCH + observed,
    )


def compute_summary_period(node_count: int) -> timedelta:
    """Computes the period at which a data centre sends node summaries.

    Args:
        node_count: the number of nodes in the deployment.
    """
    size = node_count * _SUMMARY_ENTRY_BYTES
    return max(_MIN_PERIOD, timedelta(seconds=size / SUMMARY_BYTES_PER_SECOND))
