"""Tells the links which peers to keep, from the VM list and what is heard."""

from collections.abc import Iterable

from acaciarack.facts import MemberState
from acaciarack.handshakes import Identity
from acaciarack.links import Links, PeerAddress
from acaciarack.node_states import NodeStates
from acaciarack.peers import NodePlace, choose_peers
from acaciarack.platform import Vm

NODE_ROLE = "node"


class PeerChoice:
    """Applies ``choose_peers`` to what this node knows."""

    def __init__(
        self,
        *,
        identity: Identity,
        links: Links,
        link_port: int,
        nodes: NodeStates,
    ) -> None:
        self._own = NodePlace(
            node=identity.node, data_centre=identity.data_centre
        )
        self._links = links
        self._link_port = link_port
        self._nodes = nodes

    def choose(self, vms: Iterable[Vm]) -> None:
        """Sets the peers of the links.

        Args:
            vms: the VM list as last fetched; nodes heard of count as well.
        """
        hosts: dict[str, str] = {}
        centres: dict[str, str] = {}
        for vm in vms:
            if vm.role == NODE_ROLE:
                hosts[vm.name] = vm.host
                centres[vm.name] = vm.data_centre
        for record in self._nodes:
            identity = record.identity
            hosts[identity.node] = identity.host
            centres[identity.node] = identity.data_centre
        centres.pop(self._own.node, None)
        self._links.set_peers(
            PeerAddress(
                node=place.node, host=hosts[place.node], port=self._link_port
            )
            for place in choose_peers(self._own, self._list_usable(centres))
        )

    def _list_usable(self, centres: dict[str, str]) -> list[NodePlace]:
        """Returns where live nodes are; for a silent data centre, all."""
        places = [
            NodePlace(node=name, data_centre=centre)
            for name, centre in centres.items()
            if self._nodes.find_state(name) is not MemberState.GONE
        ]
        live = [place for place in places if self._is_linkable(place)]
        heard = {place.data_centre for place in live}
        return live + [
            place for place in places if place.data_centre not in heard
        ]

    def _is_linkable(self, place: NodePlace) -> bool:
        if place.data_centre == self._own.data_centre:
            return True
        if self._nodes.find(place.node) is None:
            return True
        state = self._nodes.find_state(place.node)
        return state is not MemberState.SUSPECT
