"""Runs the tests: ``python -m tests [MODULE ...]``."""

import sys

from tests.runner import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
