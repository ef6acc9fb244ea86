"""Priority classes of queued generations.

Generations are queued while the engines do not have enough free memory. Short
generations need almost no memory, so they go first, and none of them has to be
refused. All long generations are in one class. Ordering them by expected length
refused the ones that are worth most to their callers. Nodes report to their
peers how many generations are queued in each class.
"""

from collections.abc import Iterable
from operator import add

SHORT_OUTPUT_TOKENS = 50
"""Expected output tokens below which a generation is short. Including prefill,
a short generation runs for half a second, and a long one for 6 s."""
SHORT_CLASS = 0
LONG_CLASS = 1
CLASS_COUNT = 2

ClassCounts = tuple[int, ...]
"""Number of queued generations in each class, the short class first."""
NONE_WAITING: ClassCounts = (0,) * CLASS_COUNT


def classify_generation(remaining: int) -> int:
    """Returns the class for the expected number of remaining output tokens."""
    return SHORT_CLASS if remaining < SHORT_OUTPUT_TOKENS else LONG_CLASS


def count_classes(classes: Iterable[int]) -> ClassCounts:
    """Returns the number of generations in each class."""
    counts = [0] * CLASS_COUNT
    for class_index in classes:
        counts[class_index] += 1
    return tuple(counts)


def sum_counts(counts_list: Iterable[ClassCounts]) -> ClassCounts:
    """Returns the sum of several counts, per class."""
    total = NONE_WAITING
    for counts in counts_list:
        total = tuple(map(add, total, counts))
    return total
