"""Lists the nodes for operators."""

from acaciarack.cluster import Cluster
from acaciarack.desks import NodeStatus
from acaciarack.handshakes import Identity


class Directory:
    """A ``NodeDirectory`` of this node and those that it knows."""

    def __init__(self, *, identity: Identity, cluster: Cluster) -> None:
        self._identity = identity
        self._cluster = cluster

    def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Returns all nodes that are known, by name."""
        found = [
            NodeStatus(
                name=view.name,
                state=view.state.name.lower(),
                data_centre=view.data_centre,
                address=f"{view.host}:{view.port}",
                configuration_version=view.configuration_version,
                drained=self._is_drained(view.name),
            )
            for view in self._cluster.membership.list_nodes()
            if view.name != self._identity.node
        ]
        found.append(self._describe_self())
        return tuple(sorted(found, key=_get_name))

    def _describe_self(self) -> NodeStatus:
        leaving = self._cluster.membership.is_leaving()
        return NodeStatus(
            name=self._identity.node,
            state="leaving" if leaving else "live",
            data_centre=self._identity.data_centre,
            address=f"{self._identity.host}:{self._identity.port}",
            configuration_version=self._cluster.store.current().version,
            drained=self._is_drained(self._identity.node),
        )

    def _is_drained(self, name: str) -> bool:
        setting = self._cluster.store.current().nodes.get(name)
        return setting is not None and setting.drained


def _get_name(status: NodeStatus) -> str:
    return status.name
