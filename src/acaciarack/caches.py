"""What a node believes of the prefix cache of one engine."""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

from acaciarack.loads import CacheEvent

_GAP_TRUST = 0.5


class PrefixIndex:
    """Hashes of prefix blocks that an engine probably has cached.

    Trust in a block halves with each gap in the engine's event stream since
    the block was stored and with each half-life of its age. The blocks that
    were stored longest ago are forgotten first.

    Attributes:
        holds: tells whether a block is in the index.
    """

    def __init__(self, *, max_blocks: int, half_life: timedelta) -> None:
        self._half_life = half_life
        self._max_blocks = max_blocks
        # A plain ordered dictionary, because every decision looks into it
        # for every target.
        self._blocks: OrderedDict[int, tuple[timedelta, int]] = OrderedDict()
        self.holds: Callable[[int], bool] = self._blocks.__contains__
        self._sequence: int | None = None
        self._gaps = 0

    def record_event(self, event: CacheEvent, now: timedelta) -> None:
        """Applies an event; an old or repeated one is ignored."""
        if self._sequence is not None:
            if event.sequence <= self._sequence:
                return
            if event.sequence > self._sequence + 1:
                self._gaps += 1
        self._sequence = event.sequence
        for block in event.evicted:
            self._blocks.pop(block, None)
        self.record_stored(event.stored, now)

    def record_stored(self, hashes: tuple[int, ...], now: timedelta) -> None:
        """Notes blocks as cached, from an event or by a dispatch."""
        for block in hashes:
            self._blocks[block] = (now, self._gaps)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def count_expected_blocks(
        self, hashes: tuple[int, ...], now: timedelta
    ) -> float:
        """Returns the expected number of leading blocks that are cached."""
        # An engine keeps a block only with those before it, so the longest
        # known block tells of all, and can be found by halving.
        known = bisect_left(hashes, True, key=self._is_unknown)
        if not known:
            return 0.0
        stored, gaps = self._blocks[hashes[known - 1]]
        return known * self._get_trust(stored, gaps, now)

    def _is_unknown(self, block: int) -> bool:
        return block not in self._blocks

    def _get_trust(self, stored: timedelta, gaps: int, now: timedelta) -> float:
        age = (now - stored) / self._half_life
        return float(_GAP_TRUST ** (self._gaps - gaps) * 0.5**age)
