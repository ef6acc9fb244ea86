"""Priority classes of queued generations.

Generations are queued while the engines do not have enough free memory. Short
generations need almost no memory, so they go first, and none of them has to be
refused. All long generations are in one class. Ordering them by expected length
refused the ones that are worth most to their callers.
"""

SHORT_OUTPUT_TOKENS = 50
"""Expected output tokens below which a generation is short. Including prefill,
a short generation runs for half a second, and a long one for 6 s."""
SHORT_CLASS = 0
LONG_CLASS = 1


def classify_generation(remaining: int) -> int:
    """Returns the class for the expected number of remaining output tokens."""
    return SHORT_CLASS if remaining < SHORT_OUTPUT_TOKENS else LONG_CLASS
