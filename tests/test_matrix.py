"""A sample of the fault matrix, with fixed seeds."""

from tests.matrix.cells import (
    Path,
    draw_pairs,
    list_single_cells,
    parse_cell,
)
from tests.matrix.command import format_failures, judge
from tests.matrix.mutants import hunt
from tests.support import TestCase

SEED = 1
PAIRS = 60
# Each of these was red once.
FOUND = (
    "call read_back:freeze 1",
    "leaving drain:planned_stop+drain:planned_stop:2 107",
)
MUTANTS = (
    "claim read back first",
    "sequence check",
    "retry only before the first token",
    "drain wait",
    "conflict check",
)


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

    def test_publication(self):
        self.check_path(Path.PUBLICATION)

    def test_leaving(self):
        self.check_path(Path.LEAVING)

    def test_pairs(self):
        self.check(draw_pairs(PAIRS, SEED))

    def test_found_before(self):
        self.check([parse_cell(name) for name in FOUND])

    def test_switched_off_mechanisms_turn_it_red(self):
        for name in MUTANTS:
            cell, _, _ = hunt(name)
            self.assertIsNotNone(cell, name)
