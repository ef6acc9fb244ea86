"""Polls the VM list; the nodes of a data centre together poll once a second."""

from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.platform import PlatformError, Vm, VmList

SLOT_DURATION = timedelta(seconds=1)
FETCH_TIMEOUT = timedelta(seconds=2)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_LOG = logbook.Logger(__name__)


def compute_wait(now: datetime, *, rank: int, count: int) -> timedelta:
    """Computes the time until a node's next polling slot.

    The nodes of a data centre poll in turn, ordered by rank. Clock skew
    between nodes shifts the slots but does not change the polling rate.

    Args:
        now: the wall-clock time.
        rank: the node's index among the live nodes, from 0.
        count: the number of live nodes.
    """
    period = SLOT_DURATION * count
    wait = (SLOT_DURATION * rank - (now - _EPOCH)) % period
    return wait if wait > timedelta() else period


class VmPoller:
    """Fetches the VM list in this node's slots."""

    def __init__(
        self,
        *,
        vm_list: VmList,
        clock: Clock,
        own_name: str,
        list_local_nodes: Callable[[], Sequence[str]],
        sink: Callable[[tuple[Vm, ...]], None],
    ) -> None:
        """Creates the poller.

        Args:
            vm_list: the platform's VM list.
            clock: the clock for the polling slots.
            own_name: this node's name.
            list_local_nodes: returns the live nodes of this data centre.
            sink: called with each fetched list.
        """
        self._vm_list = vm_list
        self._clock = clock
        self._own_name = own_name
        self._list_local_nodes = list_local_nodes
        self._sink = sink

    async def run(self) -> None:
        """Polls until cancelled; the first poll starts at once."""
        while True:
            await self._fetch()
            names = sorted({*self._list_local_nodes(), self._own_name})
            wait = compute_wait(
                self._clock.now(),
                rank=names.index(self._own_name),
                count=len(names),
            )
            await self._clock.sleep(wait)

    async def _fetch(self) -> None:
        try:
            with trio.fail_after(FETCH_TIMEOUT.total_seconds()):
                vms = await self._vm_list.fetch()
        except (PlatformError, trio.TooSlowError) as error:
            _LOG.warning("failed to fetch the VM list: {!r}", error)
            return
        self._sink(vms)
