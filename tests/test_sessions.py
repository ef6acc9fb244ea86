"""Whole sessions of callers against their golden files.

After a wanted change: ``python -m tests.sessions``, and read the diff.
"""

from tests.sessions import SESSIONS, diff
from tests.support import TestCase


class SessionsTest(TestCase):
    def test_sessions_are_as_recorded(self):
        changes = [text for name in SESSIONS if (text := diff(name))]
        self.assertEqual("", "\n".join(changes))
