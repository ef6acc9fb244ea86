"""The one-file program runs a node in one process while it serves requests."""

import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

import openai

from tests.processes import TIMEOUT_SECONDS, Processes
from tests.support import TestCase
from tests.test_processes import build_expected_text, build_openai

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD_SECONDS = 120
TOKENS = 20
FORBIDDEN_SYSCALLS = (
    "fork(",
    "vfork(",
    "execve(",
    "io_uring",
    "shmget",
    "memfd",
)


class BinaryTest(TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.binary = pathlib.Path(directory.name) / "acaciarack"
        subprocess.run(
            [sys.executable, str(ROOT / "packaging/build.py"), str(cls.binary)],
            check=True,
            timeout=BUILD_SECONDS,
        )

    def test_demo_command_succeeds(self):
        result = subprocess.run(
            [str(self.binary), "demo"],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn("executions: 1\n", result.stdout)

    def test_node_under_traffic_starts_no_process(self):
        if shutil.which("strace") is None:
            self.fail("strace is needed; .ci/run installs it")
        trace = self.binary.parent / "trace"
        command = [
            "strace",
            "-f",
            "-o",
            str(trace),
            "-e",
            "trace=process,io_uring_setup,shmget,memfd_create",
            str(self.binary),
        ]
        processes = self.enterContext(Processes(node_command=command))
        processes.start_platform()
        _, port = processes.start_stand_in(
            "engine", "--models=m@1", "--name=engine-1"
        )
        _, ports = processes.start_node()
        key = processes.create_generation_service(ports[1], {"engine-1": port})
        self.read_response_body(ports[0], key)
        # The first line is the start of the program itself.
        lines = trace.read_text().splitlines()
        started = [
            line
            for line in lines[1:]
            if any(word in line for word in FORBIDDEN_SYSCALLS)
            or ("clone" in line and "CLONE_THREAD" not in line)
        ]
        self.assertEqual([], started)
        self.assertIn("execve(", lines[0])

    def read_response_body(self, port, key):
        end = time.monotonic() + TIMEOUT_SECONDS
        while True:
            try:
                answer = build_openai(port, key).responses.create(
                    model="chat", input="hello", max_output_tokens=TOKENS
                )
            except openai.APIStatusError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.1)
                continue
            self.assertEqual(
                build_expected_text("engine-1.g1", TOKENS), answer.output_text
            )
            return
