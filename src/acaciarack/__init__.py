"""Serves text generations of unknown length from heavily loaded engines.

Use the package through its command line, ``acaciarack``, and through the names
re-exported here. These names are imported on first use, so that a node does
not load modules that only callers or operators need.
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
    "Text": "acaciarack.stream_items",
}

__all__ = list(_EXPORTS)


def __getattr__(name: str) -> Any:
    """Imports a re-exported name on first use."""
    module = _EXPORTS.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module), name)
