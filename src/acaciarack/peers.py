"""Chooses peers to link and targets to watch by rendezvous hashing.

Every node computes the same choice from the same list of nodes. When a node
joins or leaves, only the assignments to that node change.
"""

import functools
import itertools
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

DELEGATES_PER_PAIR = 2
"""The number of nodes per data centre that link to one other data centre."""
WATCHERS_PER_TARGET = 2
_CACHE_SIZE = 64


@dataclass(frozen=True, kw_only=True, order=True)
class NodeLocation:
    """A node and its data centre.

    Attributes:
        node: its name.
        data_centre: its data centre.
    """

    node: str
    data_centre: str


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by their rendezvous hash under ``key``, best first."""

    def compute_hash(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}|{name}".encode()), name

    return sorted(names, key=compute_hash, reverse=True)


@functools.lru_cache(maxsize=_CACHE_SIZE)
def choose_delegates(
    first: str, second: str, names: frozenset[str]
) -> tuple[str, ...]:
    """Chooses the nodes of data centre ``first`` that link to ``second``.

    Args:
        first: the data centre of the nodes.
        second: the other data centre.
        names: the live nodes of ``first``.
    """
    key = "|".join(sorted((first, second)))
    return tuple(rank_names(key, names)[:DELEGATES_PER_PAIR])


def choose_peers(
    own: NodeLocation, nodes: Iterable[NodeLocation]
) -> tuple[NodeLocation, ...]:
    """Chooses the nodes to keep links to.

    A node links to all nodes of its own data centre. If it is a delegate to
    another data centre, it also links to the delegates there.

    Args:
        own: this node.
        nodes: all live nodes; may include this node.

    Returns:
        The peers sorted by name, without this node.
    """
    groups = _group_by_data_centre(own, nodes)
    local_nodes = groups.pop(own.data_centre)
    peers = {
        NodeLocation(node=name, data_centre=own.data_centre)
        for name in local_nodes
    }
    for other_data_centre, names in groups.items():
        if own.node in choose_delegates(
            own.data_centre, other_data_centre, local_nodes
        ):
            peers |= {
                NodeLocation(node=name, data_centre=other_data_centre)
                for name in choose_delegates(
                    other_data_centre, own.data_centre, names
                )
            }
    return tuple(sorted(peers - {own}))


def choose_watchers(target: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Chooses the nodes that watch a target.

    The first one sends the target's load digests to peers. The second one
    sends them only if the first does not.

    Args:
        target: the target's name.
        nodes: the live nodes of the target's data centre.
    """
    return tuple(rank_names(target, nodes)[:WATCHERS_PER_TARGET])


def _group_by_data_centre(
    own: NodeLocation, nodes: Iterable[NodeLocation]
) -> dict[str, frozenset[str]]:
    groups: dict[str, set[str]] = defaultdict(set)
    for location in itertools.chain(nodes, [own]):
        groups[location.data_centre].add(location.node)
    return {
        data_centre: frozenset(names) for data_centre, names in groups.items()
    }
