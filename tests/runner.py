"""Runs each test module in a separate process.

Tests listed in KNOWN-RED.txt run too. Their failures are printed and do not
fail the run. A listed test that passes fails the run, so that the list stays
current. The last line is ``N passed, N failed, N skipped``.
"""

import concurrent.futures
import dataclasses
import faulthandler
import io
import pathlib
import unittest

import testtools

ROOT = pathlib.Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
WORKERS = 5
MODULE_TIMEOUT_SECONDS = 600
"""Timeout of one module in seconds: ten times the longest run time on a busy
machine. On timeout, the run ends and prints the stacks of all threads."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class ModuleResult:
    name: str
    passed: int
    failures: dict[str, str]
    skipped: int


def run_module(name: str) -> ModuleResult:
    faulthandler.dump_traceback_later(MODULE_TIMEOUT_SECONDS, exit=True)
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = testtools.TestResult()
    suite.run(result)
    faulthandler.cancel_dump_traceback_later()
    failures = {
        test.id(): text for test, text in result.errors + result.failures
    }
    failures |= {
        test.id(): "unexpected success" for test in result.unexpectedSuccesses
    }
    skipped = sum(len(tests) for tests in result.skip_reasons.values())
    passed = result.testsRun - len(failures) - skipped
    return ModuleResult(
        name=name, passed=passed, failures=failures, skipped=skipped
    )


def read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = "test: "
    return {
        line.removeprefix(prefix).strip()
        for line in lines
        if line.startswith(prefix)
    }


def run_modules(names: list[str]) -> list[ModuleResult]:
    with concurrent.futures.ProcessPoolExecutor(
        max_workers=WORKERS, max_tasks_per_child=1
    ) as pool:
        futures = {name: pool.submit(run_module, name) for name in names}
        return [future.result() for future in futures.values()]


def main(arguments: list[str]) -> int:
    names = arguments or sorted(
        f"tests.{path.stem}" for path in ROOT.glob("test_*.py")
    )
    results = run_modules(names)
    known = read_known_red()
    out = io.StringIO()
    failed = set()
    for result in results:
        print(f"{result.name}: {result.passed} passed", file=out)
        for test, text in result.failures.items():
            failed.add(test)
            state = "KNOWN RED" if test in known else "FAILED"
            print(f"{state} {test}\n{text}", file=out)
    known_run = {test for test in known if test.rsplit(".", 2)[0] in names}
    fixed = known_run - failed
    for test in sorted(fixed):
        print(f"FAILED {test}: listed in KNOWN-RED.txt but passes", file=out)
    passed = sum(result.passed for result in results)
    skipped = sum(result.skipped for result in results)
    failure_count = len(failed - known) + len(fixed)
    print(out.getvalue(), end="")
    if failed & known:
        print(f"known red: {len(failed & known)}")
    print(f"{passed} passed, {failure_count} failed, {skipped} skipped")
    return 1 if failure_count or passed == 0 else 0
