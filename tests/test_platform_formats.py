"""The platform's formats: what is decoded, refused and never passed on."""

import contextlib
import json
import struct
from datetime import timedelta

from acaciarack_platform import names
from acaciarack_platform.callers import CallerDialect
from acaciarack_platform.records import Records
from acaciarack_platform.store import decode_records
from acaciarack_platform.targets import _build_headers, _read_event
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.gateway.facts import MalformedRecordError, RouteKind
from acaciarack.gateway.targets import (
    CopiedMemory,
    SendTerms,
)
from acaciarack.gateway.watching import StoreError
from acaciarack.settings import Address
from tests.gateway_fakes import make_request, make_target
from tests.support import TestCase

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "hostname": "h.example",
            "path_prefix": "/a/",
            "route_type": "streaming",
            "timeout_ms": 39000,
            "slo_ms": 1800,
            "priority": 0,
            "backends": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 1,
            "gap_slo_ms": 180,
        },
        {
            "name": "r2",
            "hostname": "h.example",
            "path_prefix": "/a/b/",
            "route_type": "idempotent",
            "timeout_ms": 1000,
            "service": "s2",
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "s1",
            "max_connections": 222,
            "engine": {
                "capacity": 24,
                "kv_capacity": 34261,
                "kv_token_bytes": 35136,
                "link_mbps": 5100.0,
                "moves": True,
                "stride": 4,
            },
        },
        {"name": "s2"},
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "o", "api_keys": ["k1", "k2"], "priority": 1}],
}
ENTRY = {
    "service": "s1",
    "address": "10.1.0.1:8000",
    "zone": "oslo-a",
    "version": "v1",
    "capacity": 24,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 1771383094038,
}


class RecordTest(TestCase):
    def decode(self, **changes):
        value = json.dumps({**ENTRY, **changes}).encode()
        return Records().decode_target("i-1", value)

    def test_configuration(self):
        value = json.dumps(CONFIGURATION).encode()
        found = Records().decode_configuration("config", value)
        self.assertEqual(7, found.version)
        route = found.find_route("h.example", "/a/b/c")
        self.assertEqual("r2", route.name)
        self.assertIs(RouteKind.IDEMPOTENT, route.kind)
        self.assertEqual("r1", found.find_route("h.example", "/a/x").name)
        self.assertIsNone(found.find_route("h.example", "/b/"))
        self.assertIsNone(found.find_route("other", "/a/"))
        self.assertEqual("o", found.organisations["k2"].name)
        self.assertEqual(4, found.services["s1"].engine.event_tokens)
        self.assertEqual(timedelta(seconds=15), found.limits.idle_timeout)

    def test_other_keys_hold_no_configuration(self):
        self.assertIsNone(Records().decode_configuration("x", b"{"))

    def test_entry(self):
        target = self.decode(state="draining")
        self.assertTrue(target.leaving)
        self.assertEqual(Address(host="10.1.0.1", port=8000), target.address)

    def test_entries_of_other_writers_are_refused(self):
        for changes in (
            {"state": "gone"},
            {"address": 5},
            {"address": "nowhere"},
            {"capacity": "many"},
            {"sequence": None},
            {"born": 1.5},
        ):
            self.assertRaises(MalformedRecordError, self.decode, **changes)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_a_record_or_refused(self, value):
        for decode in (
            lambda: Records().decode_target("i", value),
            lambda: Records().decode_configuration("config", value),
        ):
            with contextlib.suppress(MalformedRecordError):
                decode()


class LogTest(TestCase):
    def pack(self, *contents):
        body = struct.pack(">QQ", 9, 0)
        for content in contents:
            body += struct.pack(">I", len(content)) + content
        return body

    def test_records_and_dropped_keys(self):
        batch = decode_records(self.pack(b"\x01av", b"\x01b"), 5)
        self.assertEqual(7, batch.end)
        self.assertEqual(
            [("a", 5, b"v"), ("b", 6, None)],
            [(r.key, r.offset, r.value) for r in batch.records],
        )

    def test_read_that_ends_early_is_refused(self):
        body = self.pack(b"\x01av")
        for length in range(len(body)):
            if length == 16:
                continue  # No records at all.
            self.assertRaises(StoreError, decode_records, body[:length], 0)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=100))
    def test_any_bytes_are_records_or_refused(self, body):
        with contextlib.suppress(StoreError):
            decode_records(body, 0)


class RequestTest(TestCase):
    def decode(self, *headers):
        return CallerDialect().decode_request(
            method="POST",
            path_and_query=b"/a/b?x=1",
            headers=[(b"host", b"H.example:80"), *headers],
            body=b"",
        )

    def test_request(self):
        request = self.decode(
            (b"acaciarack-attempt-id", b"r1"),
            (b"acaciarack-deadline-ms", b"1500"),
            (b"acaciarack-token-usage", b"1460,80"),
            (b"acaciarack-prompt-prefix", b"5c:800,91:410"),
            (b"acaciarack-credential", b"key"),
        )
        self.assertEqual("h.example", request.host)
        self.assertEqual("/a/b", request.path)
        self.assertEqual(timedelta(seconds=1.5), request.patience)
        self.assertEqual(1460, request.prompt.tokens)
        self.assertEqual((("5c", 800), ("91", 410)), request.prompt.parts)
        self.assertEqual("key", request.key)

    def test_nothing_of_the_systems_own_is_passed_on(self):
        own = [(name, b"x") for name in sorted(names.OWN_HEADERS)]
        request = self.decode(*own, (b"accept", b"*/*"))
        self.assertEqual(
            [b"host", b"accept"], [name for name, _ in request.headers]
        )

    def test_headers_of_one_connection_are_not_passed_on(self):
        request = self.decode(
            (b"connection", b"x-own, keep-alive"),
            (b"x-own", b"1"),
            (b"transfer-encoding", b"chunked"),
            (b"x-other", b"2"),
        )
        self.assertEqual(
            [b"host", b"x-other"], [name for name, _ in request.headers]
        )

    def test_unreadable_numbers_are_left_out(self):
        request = self.decode(
            (b"acaciarack-deadline-ms", b"soon"),
            (b"acaciarack-token-usage", b"many"),
        )
        self.assertIsNone(request.patience)
        self.assertIsNone(request.prompt)

    def test_only_what_has_not_run_is_promised(self):
        for code in RefusalCode:
            for outcome in (RunOutcome.RAN, RunOutcome.UNKNOWN):
                refusal = Refusal(code=code, outcome=outcome, detail="")
                answer = CallerDialect().encode_refusal(refusal, request_id="r")
                self.assertNotIn(answer.status, (408, 421, 429, 503))

    def test_refusal_tells_when_to_come_back(self):
        refusal = Refusal(
            code=RefusalCode.NO_TARGET,
            outcome=RunOutcome.NOT_RUN,
            detail="",
            retry_after=timedelta(milliseconds=250),
        )
        answer = CallerDialect().encode_refusal(refusal, request_id="r")
        self.assertEqual(503, answer.status)
        self.assertIn((b"retry-after", b"0.250"), answer.headers)


class SendTest(TestCase):
    def test_what_the_gateway_adds(self):
        terms = SendTerms(
            remaining=timedelta(seconds=2),
            organisation="o",
            memory=CopiedMemory(
                source=Address(host="10.0.0.1", port=80), handle="h"
            ),
            last_event=7,
            urgency=4,
        )
        headers = dict(
            _build_headers(make_target("i-1"), make_request(), terms)
        )
        self.assertEqual(b"2000", headers[names.DEADLINE])
        self.assertEqual(b"i-1", headers[names.TARGET])
        self.assertEqual(b"o", headers[names.ORGANISATION])
        self.assertEqual(b"10.0.0.1:80/h", headers[names.MEMORY_SOURCE])
        self.assertEqual(b"7", headers[names.LAST_EVENT])
        self.assertNotIn(names.KEY, headers)

    def test_event_id(self):
        self.assertEqual(12, _read_event(b"id: 12\ndata: x\n\n").id)
        self.assertEqual(3, _read_event(b"event: a\r\nid:3\r\n\r\n").id)
        self.assertIsNone(_read_event(b"data: id: 4\n\n").id)
