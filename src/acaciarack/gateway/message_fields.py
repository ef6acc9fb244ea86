"""Checks single fields of messages between nodes.

The ranges keep sums and products within 64 bits, which a later message can
hold, and within a ``timedelta``.
"""

import ipaddress
import math
from collections.abc import Iterable
from datetime import timedelta
from functools import lru_cache
from typing import Any

MAX_INT = 2**63 - 1
MAX_COUNT = 10**12
_MAX_RANK = 2**31
_MAX_NAME_LENGTH = 255
_MAX_PORT = 65535
_MILLISECOND = timedelta(milliseconds=1)
_MAX_MILLISECONDS = timedelta(days=365) // _MILLISECOND


def to_int(value: Any) -> int:
    """Returns an identifying number of at most 63 bits.

    Raises:
        ValueError, TypeError, OverflowError: the value is not such a number.
    """
    number = int(value)
    if not -1 <= number <= MAX_INT:
        raise ValueError(f"number out of range, {number.bit_length()} bits")
    return number


def to_rank(value: Any) -> int:
    """Returns a priority, limited to 32 bits.

    Raises:
        ValueError, TypeError, OverflowError: the value is no finite number.
    """
    return max(-_MAX_RANK, min(int(value), _MAX_RANK))


def to_count(value: Any) -> int:
    """Returns an amount, limited to at least 0 and at most ``MAX_COUNT``.

    Raises:
        ValueError, TypeError, OverflowError: the value is no finite number.
    """
    return max(0, min(int(value), MAX_COUNT))


def to_counts(values: Iterable[Any]) -> list[int]:
    """Returns amounts, each as ``to_count`` does.

    Raises:
        ValueError, TypeError, OverflowError: a value is no finite number.
    """
    numbers = list(map(int, values))
    if numbers and not 0 <= min(numbers) <= max(numbers) <= MAX_COUNT:
        return list(map(to_count, numbers))
    return numbers


def to_amount(value: Any) -> float:
    """Returns a float, limited to at least 0 and at most ``MAX_COUNT``.

    Raises:
        ValueError, TypeError, OverflowError: the value is no finite number.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not a finite number")
    return max(0.0, min(number, float(MAX_COUNT)))


def to_duration(value: Any) -> timedelta:
    """Returns a duration of whole milliseconds from 0 to a year.

    Raises:
        ValueError, TypeError, OverflowError: the value is no finite number.
    """
    milliseconds = max(0, int(value))
    if milliseconds >= _MAX_MILLISECONDS:
        return _MAX_MILLISECONDS * _MILLISECOND
    return milliseconds * _MILLISECOND


def to_name(value: Any) -> str:
    """Returns a name that is not empty.

    Raises:
        ValueError: the value is not such a name.
    """
    if not isinstance(value, str) or not 0 < len(value) <= _MAX_NAME_LENGTH:
        raise ValueError("not a name")
    return value


def to_port(value: Any) -> int:
    """Returns a port.

    Raises:
        ValueError, TypeError, OverflowError: the value is no port.
    """
    port = int(value)
    if not 0 < port <= _MAX_PORT:
        raise ValueError("not a port")
    return port


@lru_cache(maxsize=1024)
def to_host(value: Any) -> str:
    """Returns an IP address. Names are not resolved.

    Raises:
        ValueError: the value is no IP address.
    """
    if not isinstance(value, str):
        raise ValueError("not an IP address")
    ipaddress.ip_address(value)
    return value
