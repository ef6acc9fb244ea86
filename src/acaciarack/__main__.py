"""Starts the command line.

This module handles the command ``node`` itself, so that a node does not load
the libraries of the command line.
"""

import sys
from collections.abc import Sequence


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line and returns its exit code."""
    args = sys.argv[1:] if arguments is None else arguments
    path = _parse_node_settings(args)
    if path is not None:
        from acaciarack.launch import launch_node

        return launch_node(path)
    from acaciarack.commands import run_command

    return run_command(args)


def _parse_node_settings(args: Sequence[str]) -> str | None:
    """Returns FILE of ``node --settings FILE`` or ``node --settings=FILE``.

    Returns ``None`` for other arguments.
    """
    if len(args) == 3 and args[:2] == ["node", "--settings"]:
        return args[2]
    if len(args) == 2 and args[0] == "node":
        _, found, path = args[1].partition("--settings=")
        return path if found else None
    return None


if __name__ == "__main__":
    sys.exit(main())
