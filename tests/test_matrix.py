"""A sample of the fault matrix, with fixed seeds."""

from tests.matrix.cells import Path, draw_pairs, list_single_cells
from tests.matrix.command import WORLDS, format_failures, judge
from tests.support import TestCase

SEED = 1
PAIRS = 60


class MatrixTest(TestCase):
    def check(self, cells):
        results = [(cell, *judge(cell)) for cell in cells]
        self.assertEqual([], format_failures(results))

    def check_path(self, path):
        cells = [c for c in list_single_cells(SEED) if c.path is path]
        self.check(cells)

    def test_call(self):
        self.check_path(Path.CALL)

    def test_generation(self):
        self.check_path(Path.GENERATION)

    def test_pairs(self):
        self.check([c for c in draw_pairs(PAIRS, SEED) if c.path in WORLDS])
