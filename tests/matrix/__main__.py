"""Runs the fault matrix; see ``--help``."""

import sys

from tests.matrix.command import main

sys.exit(main(sys.argv[1:]))
