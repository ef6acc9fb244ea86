"""Chooses the peers to link from the VM list and the known nodes."""

from collections.abc import Iterable

from acaciarack.handshakes import Identity
from acaciarack.links import LinkManager, PeerAddress
from acaciarack.member_states import MemberState
from acaciarack.node_states import NodeStates
from acaciarack.peers import NodeLocation, choose_peers
from acaciarack.platform import Vm

NODE_ROLE = "node"


class PeerSelector:
    """Applies ``choose_peers`` to the VM list and the known nodes."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: LinkManager,
        link_port: int,
        nodes: NodeStates,
    ) -> None:
        self._own = NodeLocation(
            node=identity.node, data_centre=identity.data_centre
        )
        self._links = links
        self._link_port = link_port
        self._nodes = nodes

    def choose(self, vms: Iterable[Vm]) -> None:
        """Sets the peers that the link manager connects to.

        Args:
            vms: the VM list as last fetched. Nodes that have sent news are
                candidates even if the list does not contain them.
        """
        hosts: dict[str, str] = {}
        data_centres: dict[str, str] = {}
        for vm in vms:
            if vm.role == NODE_ROLE:
                hosts[vm.name] = vm.host
                data_centres[vm.name] = vm.data_centre
        for record in self._nodes:
            identity = record.identity
            hosts[identity.node] = identity.host
            data_centres[identity.node] = identity.data_centre
        data_centres.pop(self._own.node, None)
        self._links.set_peers(
            PeerAddress(
                node=location.node,
                host=hosts[location.node],
                port=self._link_port,
            )
            for location in choose_peers(
                self._own, self._list_reachable(data_centres)
            )
        )

    def _list_reachable(
        self, data_centres: dict[str, str]
    ) -> list[NodeLocation]:
        """Returns the locations of the nodes that are expected to be reachable.

        If all nodes of another data centre are suspect, returns all of them, so
        that this node keeps trying to connect to that data centre.
        """
        locations = [
            NodeLocation(node=name, data_centre=data_centre)
            for name, data_centre in data_centres.items()
            if self._nodes.get_state(name) is not MemberState.GONE
        ]
        reachable = [
            location for location in locations if self._is_reachable(location)
        ]
        covered = {location.data_centre for location in reachable}
        return reachable + [
            location
            for location in locations
            if location.data_centre not in covered
        ]

    def _is_reachable(self, location: NodeLocation) -> bool:
        if location.data_centre == self._own.data_centre:
            return True
        if self._nodes.find(location.node) is None:
            return True
        state = self._nodes.get_state(location.node)
        return state is not MemberState.SUSPECT
