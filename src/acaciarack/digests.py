"""Digests of placed and queued requests, which nodes exchange."""

from dataclasses import dataclass, field


@dataclass(frozen=True, kw_only=True)
class NodeTargetDigest:
    """The load of one node's requests on one target.

    Attributes:
        target: the target's name.
        running: the number of the node's requests on the target.
        context_tokens: the tokens of their prompts and outputs so far.
        means: the mean of their forecast memory at each horizon of
            ``acaciarack.admission.HORIZONS_TOKENS``, in tokens.
        variances: the variance of that memory at each horizon.
        placements_per_second: the rate at which the node places requests on
            the target.
    """

    target: str
    running: int
    context_tokens: int
    means: tuple[float, ...]
    variances: tuple[float, ...]
    placements_per_second: float


@dataclass(frozen=True, kw_only=True)
class FinishedLength:
    """The output length of one finished generation.

    Attributes:
        service: the requested service.
        organisation: the organisation of the caller.
        model: the model that generated the output.
        tokens: the length of the output.
    """

    service: str
    organisation: str
    model: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class NodeDigest:
    """A node's placed and queued requests.

    Attributes:
        node: the node's name.
        queued_tokens: the estimated memory of its queued requests in tokens,
            by pool.
        targets: one digest for each target with requests of the node.
        lengths: the output lengths of generations that finished since the
            previous digest.
    """

    node: str
    queued_tokens: dict[str, float] = field(default_factory=dict)
    targets: tuple[NodeTargetDigest, ...] = ()
    lengths: tuple[FinishedLength, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerQueues:
    """The requests that the live peers of a node have queued for one pool.

    Attributes:
        nodes: the names of the live peers.
        tokens: the estimated memory of their queued requests, in tokens.
    """

    nodes: tuple[str, ...] = ()
    tokens: float = 0.0
