"""Lists the nodes and their status for operators."""

from acaciarack.cluster import Cluster
from acaciarack.handshakes import Identity
from acaciarack.operator_interfaces import NodeStatus


class Directory:
    """A ``NodeDirectory`` of this node and all known nodes."""

    def __init__(self, *, identity: Identity, cluster: Cluster) -> None:
        self._identity = identity
        self._cluster = cluster

    def list_nodes(self) -> tuple[NodeStatus, ...]:
        """Returns the status of all known nodes, sorted by name."""
        statuses = [
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
        statuses.append(self._build_own_status())
        return tuple(sorted(statuses, key=_get_name))

    def _build_own_status(self) -> NodeStatus:
        is_leaving = self._cluster.membership.is_leaving()
        return NodeStatus(
            name=self._identity.node,
            state="leaving" if is_leaving else "live",
            data_centre=self._identity.data_centre,
            address=f"{self._identity.host}:{self._identity.port}",
            configuration_version=self._cluster.store.current().version,
            drained=self._is_drained(self._identity.node),
        )

    def _is_drained(self, name: str) -> bool:
        node_setting = self._cluster.store.current().nodes.get(name)
        return node_setting is not None and node_setting.drained


def _get_name(status: NodeStatus) -> str:
    return status.name
