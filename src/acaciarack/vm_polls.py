"""Polls the VM list so that a data centre as a whole asks once a second."""

from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta

import logbook
import trio

from acaciarack.clock import Clock
from acaciarack.platform import PlatformError, Vm, VmList

SLOT = timedelta(seconds=1)
FETCH_TIMEOUT = timedelta(seconds=2)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_LOG = logbook.Logger(__name__)


def compute_wait(now: datetime, *, rank: int, count: int) -> timedelta:
    """Computes how long to wait for a node's next slot.

    The nodes of a data centre take turns by their rank; wall clocks that
    differ shift the slots but not how often each node asks.

    Args:
        now: the wall time.
        rank: the node's place among the live nodes, from 0.
        count: how many live nodes there are.
    """
    period = SLOT * count
    wait = (SLOT * rank - (now - _EPOCH)) % period
    return wait if wait > timedelta() else period


class VmPoller:
    """Fetches the VM list in this node's turns."""

    def __init__(
        self,
        *,
        vm_list: VmList,
        clock: Clock,
        own_name: str,
        list_turns: Callable[[], Sequence[str]],
        sink: Callable[[tuple[Vm, ...]], None],
    ) -> None:
        """Creates the poller.

        Args:
            vm_list: the platform's list.
            clock: times the turns.
            own_name: this node's name.
            list_turns: returns the live nodes of the data centre, in order.
            sink: gets each list.
        """
        self._vm_list = vm_list
        self._clock = clock
        self._own_name = own_name
        self._list_turns = list_turns
        self._sink = sink

    async def run(self) -> None:
        """Polls until cancelled; the first time at once."""
        while True:
            await self._fetch()
            names = sorted({*self._list_turns(), self._own_name})
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
            _LOG.warning("the VM list cannot be had: {!r}", error)
            return
        self._sink(vms)
