"""The timeline of a request from log files, and unreadable lines."""

import pathlib
import tempfile

from cleo.io.outputs.buffered_output import BufferedOutput

from acaciarack.commands import run_command
from acaciarack.request_timelines import build_timeline
from tests.support import TestCase

LINES = [
    '   1.2 n2 {"time":"T2","node":"n2","event":"resumed","request_id":"r",'
    '"target":"i-2","pause_ms":25}',
    '{"time":"T1","node":"n1","event":"placed","request_id":"r","tokens":7}',
    '{"time":"T0","node":"n1","event":"placed","request_id":"other"}',
    '{"time":"T3","node":"n1","event":"ended","request_id":"r","left_out":4}',
    '{"time":"T4","node":"n1","event":"ca',
    "",
]


class TimelineTest(TestCase):
    def test_lines_of_one_request_are_sorted_by_time(self):
        timeline = build_timeline(LINES, "r")
        events = [(entry.time, entry.event) for entry in timeline.entries]
        self.assertEqual(
            [("T1", "placed"), ("T2", "resumed"), ("T3", "ended")], events
        )
        self.assertEqual(1, timeline.unreadable)
        self.assertEqual(4, timeline.left_out)

    def test_command_reads_a_folder(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "n1.log"
            path.write_text("\n".join(LINES))
            output, errors = BufferedOutput(), BufferedOutput()
            code = run_command(
                ["logs", "explain", "r", folder],
                output=output,
                error_output=errors,
            )
        self.assertEqual(0, code)
        self.assertIn("T2 n2 resumed: target=i-2 pause_ms=25", output.fetch())
        self.assertIn("1 lines could not be read", errors.fetch())

    def test_unknown_request_is_an_error(self):
        with tempfile.TemporaryDirectory() as folder:
            errors = BufferedOutput()
            code = run_command(
                ["logs", "explain", "none", folder],
                output=BufferedOutput(),
                error_output=errors,
            )
        self.assertNotEqual(0, code)
        self.assertIn("no line names this request", errors.fetch())
