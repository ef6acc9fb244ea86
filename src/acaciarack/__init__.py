"""Serves text generations of unknown length from crowded model engines.

The package is used through its command line, ``acaciarack``, and through the
names re-exported here. They are loaded when first used, so that a node does
not hold what only callers or operators need.
"""

import importlib
from typing import Any

# Must come before any module that imports trio.
import acaciarack._compat  # noqa: F401

_EXPORTS = {
    "AcaciarackError": "acaciarack.errors",
    "Client": "acaciarack.client",
    "Clock": "acaciarack.clock",
    "Configuration": "acaciarack.configuration",
    "EntryAddress": "acaciarack.addresses",
    "Refusal": "acaciarack.errors",
    "RefusalCode": "acaciarack.errors",
    "Registry": "acaciarack.registry",
    "RunOutcome": "acaciarack.errors",
    "SystemClock": "acaciarack.clock",
    "Text": "acaciarack.answers",
}

__all__ = list(_EXPORTS)


def __getattr__(name: str) -> Any:
    """Loads a re-exported name."""
    module = _EXPORTS.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)
