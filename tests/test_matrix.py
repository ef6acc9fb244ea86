"""Tests a sample of the fault matrix with fixed seeds."""

from tests.matrix.cells import (
    Path,
    draw_pairs,
    list_single_cells,
    parse_cell,
)
from tests.matrix.command import evaluate_cell, format_failures
from tests.matrix.loopback import Mode, run_proxy_mode
from tests.matrix.mutants import detect_mutant
from tests.support import TestCase

SEED = 1
PAIR_COUNT = 60
# Cells that failed in an earlier version.
REGRESSION_CELLS = (
    "call read_back:freeze 1",
    "leaving drain:planned_stop+drain:planned_stop:2 107",
)
MUTANT_NAMES = (
    "claim read back first",
    "sequence check",
    "retry only before the first token",
    "drain wait",
    "conflict check",
    "progress deadline",
)


class MatrixTest(TestCase):
    def check(self, cells):
        results = [(cell, *evaluate_cell(cell)) for cell in cells]
        self.assertEqual([], format_failures(results))

    def check_path(self, path):
        cells = [c for c in list_single_cells(SEED) if c.path is path]
        self.check(cells)

    def test_call(self):
        self.check_path(Path.CALL)

    def test_generation(self):
        self.check_path(Path.GENERATION)

    def test_publication(self):
        self.check_path(Path.PUBLICATION)

    def test_leaving(self):
        self.check_path(Path.LEAVING)

    def test_pairs(self):
        self.check(draw_pairs(PAIR_COUNT, SEED))

    def test_regressions(self):
        self.check([parse_cell(name) for name in REGRESSION_CELLS])

    def test_mutants_are_detected(self):
        for name in MUTANT_NAMES:
            cell, _, _ = detect_mutant(name)
            self.assertIsNotNone(cell, name)

    def test_stream_completes_through_a_faulty_proxy(self):
        for mode in Mode:
            self.assertEqual([], run_proxy_mode(mode), mode)
