"""Starts the command line.

The command ``node`` is recognised here, so that a node does not load the
libraries of the command line.
"""

import sys
from collections.abc import Sequence


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs the command line and returns its exit code."""
    words = sys.argv[1:] if arguments is None else arguments
    path = _find_node_settings(words)
    if path is not None:
        from acaciarack.launch import launch_node

        return launch_node(path)
    from acaciarack.commands import run_command

    return run_command(words)


def _find_node_settings(words: Sequence[str]) -> str | None:
    """Returns FILE of ``node --settings FILE``, the usual form."""
    if len(words) == 3 and words[:2] == ["node", "--settings"]:
        return words[2]
    if len(words) == 2 and words[0] == "node":
        _, found, path = words[1].partition("--settings=")
        return path if found else None
    return None


if __name__ == "__main__":
    sys.exit(main())
