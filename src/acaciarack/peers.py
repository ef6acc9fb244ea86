"""Who keeps links to whom, and who watches what, by rendezvous hashing.

Every node computes the same answer from the same list of nodes; when one
comes or goes, only what it had or gets moves.
"""

import functools
import itertools
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

DELEGATES = 2
WATCHERS = 2
_CACHED_CHOICES = 64


@dataclass(frozen=True, kw_only=True, order=True)
class NodePlace:
    """A node and where it stands.

    Attributes:
        node: its name.
        data_centre: its data centre.
    """

    node: str
    data_centre: str


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by their rendezvous hash under ``key``, best first."""

    def weigh(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(f"{key}|{name}".encode()), name

    return sorted(names, key=weigh, reverse=True)


@functools.lru_cache(maxsize=_CACHED_CHOICES)
def choose_delegates(
    first: str, second: str, names: frozenset[str]
) -> tuple[str, ...]:
    """Chooses the nodes of data centre ``first`` with links to ``second``."""
    key = "|".join(sorted((first, second)))
    return tuple(rank_names(key, names)[:DELEGATES])


def choose_peers(
    own: NodePlace, nodes: Iterable[NodePlace]
) -> tuple[NodePlace, ...]:
    """Chooses the nodes to keep links to.

    These are all of the own data centre and, for each other data centre that
    this node is a delegate to, the delegates there.

    Args:
        own: this node.
        nodes: all live nodes; this node may be among them.

    Returns:
        The peers by name, without this node.
    """
    places = _group(own, nodes)
    here = places.pop(own.data_centre)
    peers = {NodePlace(node=name, data_centre=own.data_centre) for name in here}
    for there, names in places.items():
        if own.node in choose_delegates(own.data_centre, there, here):
            peers |= {
                NodePlace(node=name, data_centre=there)
                for name in choose_delegates(there, own.data_centre, names)
            }
    return tuple(sorted(peers - {own}))


def choose_watchers(target: str, nodes: Iterable[str]) -> tuple[str, ...]:
    """Chooses the watchers of a target; the first one reports.

    Args:
        target: the target's name.
        nodes: the live nodes of the target's data centre.
    """
    return tuple(rank_names(target, nodes)[:WATCHERS])


def _group(
    own: NodePlace, nodes: Iterable[NodePlace]
) -> dict[str, frozenset[str]]:
    places: dict[str, set[str]] = defaultdict(set)
    for place in itertools.chain(nodes, [own]):
        places[place.data_centre].add(place.node)
    return {centre: frozenset(names) for centre, names in places.items()}
