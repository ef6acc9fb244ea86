"""An approximate index of the prefix cache of one engine."""

from bisect import bisect_left
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

from acaciarack.loads import CacheEvent

_GAP_CONFIDENCE_FACTOR = 0.5


class PrefixIndex:
    """Hashes of prefix blocks that an engine probably has cached.

    Each entry has a confidence. It halves with each gap in the engine's event
    stream since the block was stored, and with each half-life of the entry's
    age. A full index evicts the blocks that were stored longest ago.

    Attributes:
        contains: returns whether a block is in the index.
    """

    def __init__(self, *, max_blocks: int, half_life: timedelta) -> None:
        self._half_life = half_life
        self._max_blocks = max_blocks
        # Each decision looks up a block for each target. Lookups therefore
        # call the dictionary directly.
        self._blocks: OrderedDict[int, tuple[timedelta, int]] = OrderedDict()
        self.contains: Callable[[int], bool] = self._blocks.__contains__
        self._sequence: int | None = None
        self._gaps = 0

    def record_event(self, event: CacheEvent, now: timedelta) -> None:
        """Applies an event; ignores an old or repeated one."""
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
        """Adds blocks from an engine's event or from a dispatched prompt."""
        for block in hashes:
            self._blocks[block] = (now, self._gaps)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def count_expected_blocks(
        self, hashes: tuple[int, ...], now: timedelta
    ) -> float:
        """Returns the expected number of leading blocks that are cached."""
        # An engine caches a block only together with all blocks before it.
        # A binary search therefore finds the longest cached prefix, and its
        # last block determines the confidence.
        cached_count = bisect_left(hashes, True, key=self._is_missing)
        if not cached_count:
            return 0.0
        stored, gaps = self._blocks[hashes[cached_count - 1]]
        return cached_count * self._get_confidence(stored, gaps, now)

    def _is_missing(self, block: int) -> bool:
        return block not in self._blocks

    def _get_confidence(
        self, stored: timedelta, gaps: int, now: timedelta
    ) -> float:
        age = (now - stored) / self._half_life
        return float(_GAP_CONFIDENCE_FACTOR ** (self._gaps - gaps) * 0.5**age)
