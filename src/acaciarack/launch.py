"""Starts a node from its settings file."""

import importlib
import os
import signal
import sys

from acaciarack.settings import SettingsError, load_settings

EXIT_INVALID_SETTINGS = 6
"""The exit code for invalid settings."""


def launch_node(path: str) -> int:
    """Runs a node until it stops and returns the exit code.

    Until the node's event loop runs, SIGHUP is ignored and SIGTERM ends the
    process with code 0; after it, both are ignored.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
    try:
        settings = load_settings(path)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    node = importlib.import_module("acaciarack.node")
    try:
        return int(node.run_node(settings) or 0)
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
