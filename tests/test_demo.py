import subprocess
import sys

from tests.support import TestCase

DEMO_SECONDS = 20


class DemoTest(TestCase):
    def test_demo_streams_a_response_and_books_once(self):
        result = subprocess.run(
            [sys.executable, "-m", "acaciarack", "demo"],
            capture_output=True,
            text=True,
            timeout=DEMO_SECONDS,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertRegex(result.stdout, r"engine-\d\.g1-0 engine-\d\.g1-1 ")
        self.assertIn("executions: 1\n", result.stdout)
