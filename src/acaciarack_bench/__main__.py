"""The entry point of the ``acaciarack-bench`` command."""

import sys

from cleo.application import Application

from acaciarack_bench.commands import COMMANDS


def main() -> int:
    """Runs the command line and returns its exit code."""
    application = Application("acaciarack-bench")
    for command in COMMANDS:
        application.add(command())
    return int(application.run())


if __name__ == "__main__":
    sys.exit(main())
