"""Which targets requests must not reach, although they are well.

Operators evacuate data centres: until an evacuation ends, nothing that takes a
slot goes to a target there. What runs there may end there. Moving it would take
memory of the remaining engines just when they get the requests of all others.

Routes and organisations may have home regions: only targets there may get their
requests, and only nodes there, or in the caller's region, their bodies.
"""

from collections.abc import Callable, Mapping
from datetime import timedelta

from acaciarack.gateway.spec import Target

RESTRICTED_RETRY_AFTER = timedelta(seconds=2)
"""The retry delay if restrictions leave no target. Evacuations last 8 to 12 s
and no record says when they end; a caller misses the end by 2 s at most."""


def combine_regions(*region_lists: frozenset[str]) -> frozenset[str] | None:
    """Returns the regions that all lists allow.

    An empty list allows all regions. Returns ``None`` if all lists do.
    """
    given = [regions for regions in region_lists if regions]
    return frozenset.intersection(*given) if given else None


class Restrictions:
    """The data centres that requests may reach.

    Attributes:
        evacuated: the data centres that are evacuated.
    """

    def __init__(self, *, regions: Mapping[str, str] | None = None) -> None:
        """Creates the restrictions of a node that knows of no evacuation.

        Args:
            regions: the region of each data centre; one that is not listed is a
                region of its own.
        """
        self._regions = dict(regions or {})
        self.evacuated: frozenset[str] = frozenset()
        self._subscribers: list[Callable[[str, bool], None]] = []

    def subscribe(self, on_change: Callable[[str, bool], None]) -> None:
        """Registers a function that is called with each change.

        Its arguments are a data centre and whether its evacuation begins.
        """
        self._subscribers.append(on_change)

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Sets the data centres that are evacuated from now on."""
        changed = sorted(self.evacuated ^ data_centres)
        self.evacuated = data_centres
        for data_centre in changed:
            for on_change in self._subscribers:
                on_change(data_centre, data_centre in data_centres)

    def allows_node(
        self,
        data_centre: str,
        regions: frozenset[str] | None,
        *,
        caller_data_centre: str,
    ) -> bool:
        """Returns whether a node may get the body of a request.

        Args:
            data_centre: the data centre of the node.
            regions: the regions that the request may reach; ``None`` for all.
            caller_data_centre: the data centre of the caller; empty if unknown.
        """
        if regions is None:
            return True
        region = self.get_region(data_centre)
        return region in regions or (
            bool(caller_data_centre)
            and region == self.get_region(caller_data_centre)
        )

    def get_region(self, data_centre: str) -> str:
        """Returns the region of a data centre."""
        return self._regions.get(data_centre, data_centre)

    def allows(
        self, target: Target, regions: frozenset[str] | None = None
    ) -> bool:
        """Returns whether a request may be sent to a target.

        Args:
            target: the target.
            regions: the regions that the request may reach; ``None`` for all.
        """
        return target.data_centre not in self.evacuated and (
            regions is None or self.get_region(target.data_centre) in regions
        )
