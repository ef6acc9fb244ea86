import subprocess
import sys

from tests.support import TestCase

IMPORT_AND_COUNT = """
import sys
started = []
hooks = ("subprocess.Popen", "os.fork", "os.posix_spawn", "os.exec")
sys.addaudithook(
    lambda event, _: started.append(event) if event in hooks else None
)
{statement}
import trio
print(len(started))
"""


class ImportTest(TestCase):
    def count_processes(self, statement):
        result = subprocess.run(
            [
                sys.executable,
                "-c",
                IMPORT_AND_COUNT.format(statement=statement),
            ],
            capture_output=True,
            text=True,
            check=True,
        )
        return int(result.stdout)

    def test_package_imports_trio_without_a_process(self):
        self.assertEqual(0, self.count_processes("import acaciarack"))

    def test_trio_import_alone_starts_a_process(self):
        """Checks that ``_compat`` is still needed."""
        self.assertNotEqual(0, self.count_processes("pass"))
