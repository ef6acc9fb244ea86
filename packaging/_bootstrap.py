"""Starts the packed program and imports native modules from its archive.

Each native module is written to a temporary directory on import, loaded, and
removed at once, so that no files remain.
"""

import importlib.machinery
import importlib.util
import os
import sys
import zipimport
from importlib.machinery import ModuleSpec
from types import ModuleType

import _launcher  # type: ignore[import-not-found]

ARCHIVE = sys.executable
NATIVE_PREFIX = "_native/"
LIBRARY_PREFIX = "_libraries/"


def _read_index(archive: zipimport.zipimporter, prefix: str) -> dict[str, str]:
    names = archive.get_data(prefix + "INDEX").decode().splitlines()
    return dict(line.split(" ", 1) for line in names)


class NativeFinder:
    """Finds native modules in the archive."""

    def __init__(self, archive: zipimport.zipimporter, directory: str) -> None:
        self._archive = archive
        self._directory = directory
        self._index = _read_index(archive, NATIVE_PREFIX)

    def find_spec(
        self, name: str, path: object = None, target: object = None
    ) -> ModuleSpec | None:
        """Returns the spec of a native module, or ``None``."""
        member = self._index.get(name)
        if member is None:
            return None
        location = self._write(NATIVE_PREFIX, member)
        loader = NativeLoader(name, location)
        return importlib.util.spec_from_file_location(
            name, location, loader=loader
        )

    def load_libraries(self) -> None:
        """Loads the shared libraries that native modules need."""
        index = _read_index(self._archive, LIBRARY_PREFIX)
        for member in index.values():
            location = self._write(LIBRARY_PREFIX, member)
            _launcher.load_library(location)
            os.unlink(location)

    def _write(self, prefix: str, member: str) -> str:
        location = os.path.join(self._directory, member)
        with open(location, "wb") as file:
            file.write(self._archive.get_data(prefix + member))
        return location


class NativeLoader(importlib.machinery.ExtensionFileLoader):
    """Loads a native module and removes its file at once."""

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Loads the module and removes its file."""
        module = super().create_module(spec)
        os.unlink(self.path)
        return module


def _start() -> int:
    archive = zipimport.zipimporter(ARCHIVE)
    directory = f"/tmp/acaciarack-{os.getpid()}"
    os.mkdir(directory, 0o700)
    finder = NativeFinder(archive, directory)
    finder.load_libraries()
    sys.meta_path.insert(0, finder)
    sys.argv[0] = ARCHIVE
    from acaciarack.__main__ import main

    try:
        return main()
    finally:
        os.rmdir(directory)


sys.exit(_start())
