"""Imports trio without starting another process.

While it is imported, trio asks ``ctypes.util.find_library`` for the thread
library, which on Linux runs ``ldconfig``. This module answers that one
question from the C library's fixed name and is imported before trio.
"""

import ctypes.util
import sys
from collections.abc import Iterator
from contextlib import contextmanager

_THREAD_LIBRARY = "libpthread.so.0"


def _find_library(name: str) -> str | None:
    return _THREAD_LIBRARY if name == "pthread" else None


@contextmanager
def _replace_look_up() -> Iterator[None]:
    original = ctypes.util.find_library
    ctypes.util.find_library = _find_library
    try:
        yield
    finally:
        ctypes.util.find_library = original


def import_trio() -> None:
    """Imports trio; does nothing if it was imported before."""
    if "trio" in sys.modules or not sys.platform.startswith("linux"):
        return
    with _replace_look_up():
        import trio  # noqa: F401


import_trio()
