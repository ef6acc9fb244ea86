"""Opens connections to targets, directly or through a peer.

The direct connection is begun first. If it fails or takes long, peers are asked
for a tunnel one after the other, and the first connection that is made is used.
"""

import random
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta
from functools import partial
from itertools import islice

import httpcore
import logbook
import trio

from acaciarack.gateway.peers.messages import NodeInfo, NodeState
from acaciarack.gateway.peers.peer_table import PeerTable
from acaciarack.gateway.targets.client import NotReachedError
from acaciarack.gateway.targets.lifetimes import TargetLifetime, get_lifetime
from acaciarack.gateway.targets.reachability import (
    HEDGE_DELAY,
    PathPlan,
    Reachability,
)
from acaciarack.gateway.targets.target_table import TargetTable
from acaciarack.gateway.targets.tunnels import (
    FRAMES_REVISION,
    DirectConnect,
    PeerUnableError,
    close_stream,
    open_tunnel,
)
from acaciarack.settings import Address

CONNECT_TIMEOUT = timedelta(milliseconds=300)
"""Timeout for opening a connection on any path."""

MAX_OPENING_TUNNELS = 8
"""Tunnels that a node opens at the same time. On a machine that is short of
processor time every connection is slow, and hedges would make it worse."""

_log = logbook.Logger("acaciarack.gateway.connections")


class HedgedConnector:
    """Opens connections to targets on the path that is fastest."""

    def __init__(
        self,
        *,
        connect: DirectConnect,
        peers: PeerTable,
        target_table: TargetTable,
        reachability: Reachability,
        draw: Callable[[], float] = random.random,
    ) -> None:
        self._connect = connect
        self._peers = peers
        self._target_table = target_table
        self._reachability = reachability
        self._draw = draw
        self._opening_tunnels = 0

    async def connect(
        self, address: Address, *, regions: frozenset[str] | None = None
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection to a target.

        Args:
            address: the address of the target.
            regions: the regions whose nodes may carry a tunnel, besides this
                node's own; ``None`` for all. A request whose regions leave
                this node's out came from a caller of this node's region.

        Raises:
            NotReachedError: no connection was made.
        """
        instance = self._target_table.find_by_address(address)
        if instance is None:
            return await self._connect(address)
        target = get_lifetime(instance.target)
        race = _Race()
        plan = self._reachability.plan(target)
        try:
            with trio.move_on_after(CONNECT_TIMEOUT.total_seconds()):
                await self._run(race, plan, address, target, regions)
        except BaseException:
            await race.aclose()
            raise
        if race.stream is None:
            if plan.max_peers and regions is None:
                self._reachability.record_unreachable(target)
            raise NotReachedError(f"{address}: {race.describe()}")
        if race.winner is None:
            self._reachability.record_direct()
        else:
            self._reachability.record_through_peer(race.winner.name)
        return race.stream

    async def _run(
        self,
        race: "_Race",
        plan: PathPlan,
        address: Address,
        target: TargetLifetime,
        regions: frozenset[str] | None,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                race.run, nursery, lambda: self._connect(address), None
            )
            await race.wait_failed(plan.peer_delay)
            for peer in islice(self._list_peers(regions), plan.max_peers):
                if self._opening_tunnels >= MAX_OPENING_TUNNELS:
                    break
                self._opening_tunnels += 1
                connect = partial(self._connect_through, peer, target)
                nursery.start_soon(race.run, nursery, connect, peer)
                await race.wait_failed(HEDGE_DELAY)

    async def _connect_through(
        self, peer: NodeInfo, target: TargetLifetime
    ) -> httpcore.AsyncNetworkStream:
        """Opens a tunnel, which counts as opening since it was planned."""
        try:
            return await open_tunnel(self._connect, peer, target)
        except PeerUnableError as error:
            _log.info(
                "peer cannot connect to a target: {}",
                error,
                extra={"node": peer.name, "target": target.id},
            )
            self._reachability.record_unhelpful(peer.name)
            raise
        finally:
            self._opening_tunnels -= 1

    def _list_peers(self, regions: frozenset[str] | None) -> Iterator[NodeInfo]:
        """Yields the peers to ask in turn, of this data centre and others.

        Peers that lately could not help, or are cut off themselves, come last.
        Those whose tunnels mark the end of an answer come before others.
        """
        ready = [
            peer
            for peer in self._peers.list_live()
            if peer.state is NodeState.READY
            and self._target_table.restrictions.allows_node(
                peer.node.data_centre,
                regions,
                caller_data_centre=self._peers.own_data_centre,
            )
        ]
        ready.sort(
            key=lambda peer: (
                peer.is_cut_off
                or self._reachability.is_avoided(peer.node.name),
                peer.node.revision < FRAMES_REVISION,
                self._draw(),
            )
        )
        near = [peer for peer in ready if self._peers.is_near(peer)]
        far = [peer for peer in ready if not self._peers.is_near(peer)]
        while near or far:
            for group in (near, far):
                if group:
                    yield group.pop(0).node


class _Race:
    """Attempts to connect of which the first that succeeds is used.

    Attributes:
        stream: the connection; ``None`` until one is made.
        winner: the peer that made it; ``None`` for a direct connection.
    """

    def __init__(self) -> None:
        self.stream: httpcore.AsyncNetworkStream | None = None
        self.winner: NodeInfo | None = None
        self._failed = trio.Event()
        self._errors: list[str] = []

    async def run(
        self,
        nursery: trio.Nursery,
        connect: Callable[[], Awaitable[httpcore.AsyncNetworkStream]],
        peer: NodeInfo | None,
    ) -> None:
        """Makes one attempt; ends the others if it succeeds."""
        try:
            stream = await connect()
        except NotReachedError as error:
            self._errors.append(str(error))
            self._failed.set()
            return
        if self.stream is not None:
            await close_stream(stream)
            return
        self.stream, self.winner = stream, peer
        nursery.cancel_scope.cancel()

    async def wait_failed(self, timeout: timedelta) -> None:
        """Waits until an attempt fails, at most for the timeout."""
        with trio.move_on_after(timeout.total_seconds()):
            await self._failed.wait()
        self._failed = trio.Event()

    async def aclose(self) -> None:
        """Closes the connection if one was made."""
        if self.stream is not None:
            await close_stream(self.stream)

    def describe(self) -> str:
        """Returns why no connection was made."""
        return "; ".join(self._errors) or "timed out"
