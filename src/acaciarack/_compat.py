"""Imports trio without starting a subprocess.

On import, trio calls ``ctypes.util.find_library`` for the thread library, which
runs ``ldconfig`` on Linux. This module replaces that function during the import
and returns the library's fixed name. This module must be imported before trio.
"""

import ctypes.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager

_THREAD_LIBRARY = "libpthread.so.0"


def _find_library(name: str) -> str | None:
    return _THREAD_LIBRARY if name == "pthread" else None


@contextmanager
def _replace_library_lookup() -> Iterator[None]:
    original = ctypes.util.find_library
    ctypes.util.find_library = _find_library
    try:
        yield
    finally:
        ctypes.util.find_library = original


def import_trio() -> None:
    """Imports trio unless it has already been imported."""
    if "trio" in sys.modules or not sys.platform.startswith("linux"):
        return
    with _replace_library_lookup():
        import trio  # noqa: F401


import_trio()
