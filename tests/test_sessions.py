"""Compares caller sessions with their golden files.

After an intended change, run ``python -m tests.sessions`` and review the diff.
"""

from tests.sessions import SESSIONS, diff
from tests.support import TestCase


class SessionsTest(TestCase):
    def test_sessions_match_golden_files(self):
        changes = [text for name in SESSIONS if (text := diff(name))]
        self.assertEqual("", "\n".join(changes))
