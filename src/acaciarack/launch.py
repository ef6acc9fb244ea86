"""Starts a node from its settings file."""

import importlib
import sys

from acaciarack.settings import SettingsError, load_settings

EXIT_INVALID_SETTINGS = 6
"""The exit code for invalid settings."""


def launch_node(path: str) -> int:
    """Runs a node until it stops and returns the exit code."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    node = importlib.import_module("acaciarack.node")
    return int(node.run_node(settings) or 0)
