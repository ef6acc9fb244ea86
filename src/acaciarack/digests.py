"""What nodes tell each other of the requests that they have placed."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class TargetDigest:
    """What one node has running on one target.

    Attributes:
        target: the target's name.
        running: the node's requests on it.
        context_tokens: their prompts and what they have generated.
        means: their expected memory at each horizon, in tokens.
        variances: its variance at each horizon.
        placements_per_second: how often the node places a request there.
    """

    target: str
    running: int
    context_tokens: int
    means: tuple[float, ...]
    variances: tuple[float, ...]
    placements_per_second: float


@dataclass(frozen=True, kw_only=True)
class FinishedLength:
    """The length of one finished answer.

    Attributes:
        service: the service that was asked.
        organisation: whose answer it was.
        model: the model that gave it.
        tokens: the answer's length.
    """

    service: str
    organisation: str
    model: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class NodeDigest:
    """What one node tells its peers of its requests.

    Attributes:
        node: the node's name.
        queued_tokens: memory that its queued requests will need, by pool.
        targets: one digest for each target that it uses.
        lengths: lengths of answers that it finished since its last digest.
    """

    node: str
    queued_tokens: dict[str, float] = field(default_factory=dict)
    targets: tuple[TargetDigest, ...] = ()
    lengths: tuple[FinishedLength, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerQueues:
    """What a node's live peers have queued for one pool.

    Attributes:
        nodes: the names of the live peers.
        tokens: memory that their queued requests will need.
    """

    nodes: tuple[str, ...] = ()
    tokens: float = 0.0
