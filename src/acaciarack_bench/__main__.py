"""Starts the command line."""

import sys


def main() -> int:
    """Runs the command line and returns its exit code."""
    print("no command is available yet", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
