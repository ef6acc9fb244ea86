"""Log lines and metrics."""

import io
import json
import logging

import logbook
import trio
import trio.testing

from acaciarack.logs import JsonLinesHandler, start_logs
from acaciarack.metrics import Metrics
from acaciarack.settings import LogLevel
from acaciarack.web import App
from tests.operator_server import OBSERVATION
from tests.support import EPOCH, TestCase


class FixedClock:
    def now(self):
        return EPOCH


class LogsTest(TestCase):
    def write_log_lines(self, action, level=LogLevel.INFO):
        out = io.StringIO()
        handler = JsonLinesHandler(
            stream=out, level=level, clock=FixedClock(), node="n1"
        )
        with handler.applicationbound():
            action(logbook.Logger("part"))
        return [json.loads(line) for line in out.getvalue().splitlines()]

    def test_lines_contain_known_fields_and_no_caller_text(self):
        extra = {
            "request_id": "r1",
            "targets": ["e1", "e2"],
            "tokens": 5,
            "duration_seconds": 0.5,
            "prompt": "my knee hurts",
            "input": ["my knee"],
            "node": "other",
            "code": "Bearer abc.def",
        }
        lines = self.write_log_lines(
            lambda log: log.info("request ended", extra=extra)
        )
        expected = {
            "time": "2026-01-01T00:00:00.000+00:00",
            "level": "info",
            "logger": "part",
            "event": "request ended",
            "node": "n1",
            "request_id": "r1",
            "targets": ["e1", "e2"],
            "tokens": 5,
            "duration_seconds": 0.5,
            "code": "***",
        }
        self.assertEqual([expected], lines)

    def test_secrets_and_levels(self):
        def write_records(log):
            log.debug("too little")
            log.warning("key ack_Zm9v-bar_1 was used, line\nbreak")
            try:
                raise ValueError("Authorization: Bearer s3cret")
            except ValueError:
                log.exception("failed")

        warning, error = self.write_log_lines(write_records)
        self.assertEqual("key *** was used, line\nbreak", warning["event"])
        self.assertEqual("ValueError", error["error"])
        self.assertNotIn("s3cret", json.dumps(error))
        self.assertIn("test_logs.py", error["trace"])

    def test_records_below_the_level_are_not_created(self):
        handler = start_logs(
            level=LogLevel.WARNING,
            clock=self.make_clock(),
            node="n",
            stream=io.StringIO(),
        )
        self.addCleanup(handler.pop_application)
        library = logging.getLogger("httpcore.http11")
        self.assertFalse(library.isEnabledFor(logging.INFO))
        self.assertTrue(library.isEnabledFor(logging.WARNING))

    def test_logs_of_the_standard_library_are_included(self):
        out = io.StringIO()
        handler = start_logs(
            level=LogLevel.WARNING, clock=FixedClock(), node="n1", stream=out
        )
        self.addCleanup(logging.root.handlers.clear)
        self.addCleanup(handler.pop_application)
        logging.getLogger("hypercorn").warning("port %d", 5)
        line = json.loads(out.getvalue())
        self.assertEqual(
            ("hypercorn", "port 5"), (line["logger"], line["event"])
        )


class MetricsTest(TestCase):
    def fetch_metrics(self, metrics):
        app = App(endpoints=[metrics.build_endpoint()])
        sent = []

        async def run():
            async def receive():
                return {"type": "http.request"}

            async def send(event):
                sent.append(event)

            scope = {
                "type": "http",
                "method": "GET",
                "path": "/metrics",
                "query_string": b"",
                "headers": [(b"accept", b"text/plain")],
            }
            await app(scope, receive, send)

        trio.run(run)
        self.assertEqual(200, sent[0]["status"])
        return sent[1]["body"].decode()

    def test_requests_are_counted_by_service_target_and_code(self):
        metrics = Metrics()
        metrics.add_gauge("configuration_version", "In force.", lambda: 7)
        metrics.observe(OBSERVATION)
        metrics.observe(OBSERVATION)
        text = self.fetch_metrics(metrics)
        for line in (
            'acaciarack_requests_total{code="ok",service="assistant"} 2',
            'acaciarack_attempts_total{code="target_failed",target="e1"} 2',
            'acaciarack_tokens_total{service="assistant"} 24',
            'acaciarack_stall_seconds_count{service="assistant"} 2',
            "acaciarack_configuration_version 7",
        ):
            self.assertIn(line, text)
        self.assertNotIn("clinic", text)
        self.assertRegex(text, r"acaciarack_resident_bytes \d+")
