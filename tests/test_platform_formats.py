"""Tests decoding and encoding of the platform's formats."""

import contextlib
import json
import struct
from datetime import timedelta

from acaciarack_platform import names
from acaciarack_platform.callers import CallerCodec
from acaciarack_platform.records import JsonRecordDecoder
from acaciarack_platform.store import decode_records
from acaciarack_platform.targets import _build_headers, _parse_event
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.gateway.spec import MalformedRecordError, RouteKind
from acaciarack.gateway.store.replication import StoreError
from acaciarack.gateway.targets.client import (
    CopiedMemory,
    ForwardOptions,
)
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
TARGET_RECORD = {
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


class RecordDecodingTest(TestCase):
    def decode(self, **changes):
        value = json.dumps({**TARGET_RECORD, **changes}).encode()
        return JsonRecordDecoder().decode_target("i-1", value)

    def test_decodes_configuration(self):
        value = json.dumps(CONFIGURATION).encode()
        configuration = JsonRecordDecoder().decode_configuration(
            "config", value
        )
        self.assertEqual(7, configuration.version)
        route = configuration.find_route("h.example", "/a/b/c")
        self.assertEqual("r2", route.name)
        self.assertIs(RouteKind.IDEMPOTENT, route.kind)
        self.assertEqual(
            "r1", configuration.find_route("h.example", "/a/x").name
        )
        self.assertIsNone(configuration.find_route("h.example", "/b/"))
        self.assertIsNone(configuration.find_route("other", "/a/"))
        self.assertEqual("o", configuration.organisations["k2"].name)
        self.assertEqual(
            4, configuration.services["s1"].engine.max_event_tokens
        )
        self.assertEqual(
            timedelta(seconds=15), configuration.limits.idle_timeout
        )

    def test_other_keys_hold_no_configuration(self):
        self.assertIsNone(JsonRecordDecoder().decode_configuration("x", b"{"))

    def test_decodes_draining_target(self):
        target = self.decode(state="draining")
        self.assertTrue(target.leaving)
        self.assertEqual(Address(host="10.1.0.1", port=8000), target.address)

    def test_malformed_target_records_are_rejected(self):
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
    def test_arbitrary_bytes_decode_or_are_rejected(self, value):
        for decode in (
            lambda: JsonRecordDecoder().decode_target("i", value),
            lambda: JsonRecordDecoder().decode_configuration("config", value),
        ):
            with contextlib.suppress(MalformedRecordError):
                decode()


class ReadResponseTest(TestCase):
    def pack(self, *contents):
        body = struct.pack(">QQ", 9, 0)
        for content in contents:
            body += struct.pack(">I", len(content)) + content
        return body

    def test_decodes_records_and_deleted_keys(self):
        batch = decode_records(self.pack(b"\x01av", b"\x01b"), 5)
        self.assertEqual(7, batch.end)
        self.assertEqual(
            [("a", 5, b"v"), ("b", 6, None)],
            [(r.key, r.offset, r.value) for r in batch.records],
        )

    def test_truncated_response_is_rejected(self):
        body = self.pack(b"\x01av")
        for length in range(len(body)):
            if length == 16:
                continue  # Valid: a response without records.
            self.assertRaises(StoreError, decode_records, body[:length], 0)

    @settings(max_examples=200, deadline=None)
    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_decode_or_are_rejected_as_store_error(self, body):
        with contextlib.suppress(StoreError):
            decode_records(body, 0)


class CallerCodecTest(TestCase):
    def decode(self, *headers):
        return CallerCodec().decode_request(
            method="POST",
            path_and_query=b"/a/b?x=1",
            headers=[(b"host", b"H.example:80"), *headers],
            body=b"",
        )

    def test_parses_headers_of_a_request(self):
        request = self.decode(
            (b"acaciarack-attempt-id", b"r1"),
            (b"acaciarack-deadline-ms", b"1500"),
            (b"acaciarack-token-usage", b"1460,80"),
            (b"acaciarack-prompt-prefix", b"5c:800,91:410"),
            (b"acaciarack-credential", b"key"),
        )
        self.assertEqual("h.example", request.host)
        self.assertEqual("/a/b", request.path)
        self.assertEqual(timedelta(seconds=1.5), request.max_wait)
        self.assertEqual(1460, request.prompt.tokens)
        self.assertEqual(
            (("5c", 800), ("91", 410)), request.prompt.prefix_segments
        )
        self.assertEqual("key", request.key)

    def test_reserved_headers_are_not_forwarded(self):
        reserved = [(name, b"x") for name in sorted(names.RESERVED_HEADERS)]
        request = self.decode(*reserved, (b"accept", b"*/*"))
        self.assertEqual(
            [b"host", b"accept"], [name for name, _ in request.headers]
        )

    def test_last_event_of_a_caller_is_decoded(self):
        """Guards against numbers that no stream has."""
        for value, expected in (
            (b"7", 7),
            (b"0", 0),
            (b"-1", None),
            (b"x", None),
            (b"9" * 5000, None),
        ):
            request = self.decode((names.LAST_EVENT, value))
            self.assertEqual(expected, request.last_event)

    def test_connection_headers_are_not_forwarded(self):
        request = self.decode(
            (b"connection", b"x-own, keep-alive"),
            (b"x-own", b"1"),
            (b"transfer-encoding", b"chunked"),
            (b"x-other", b"2"),
        )
        self.assertEqual(
            [b"host", b"x-other"], [name for name, _ in request.headers]
        )

    def test_malformed_numbers_are_ignored(self):
        request = self.decode(
            (b"acaciarack-deadline-ms", b"soon"),
            (b"acaciarack-token-usage", b"many"),
        )
        self.assertIsNone(request.max_wait)
        self.assertIsNone(request.prompt)

    def test_maybe_run_refusals_avoid_not_run_statuses(self):
        # These statuses tell a caller that the request did not run.
        for code in RefusalCode:
            for outcome in (RunOutcome.RAN, RunOutcome.UNKNOWN):
                refusal = Refusal(code=code, outcome=outcome, detail="")
                response = CallerCodec().encode_refusal(refusal, request_id="r")
                self.assertNotIn(response.status, (408, 421, 429, 503))

    def test_refusal_has_a_retry_after_header(self):
        refusal = Refusal(
            code=RefusalCode.NO_TARGET,
            outcome=RunOutcome.NOT_RUN,
            detail="",
            retry_after=timedelta(milliseconds=250),
        )
        response = CallerCodec().encode_refusal(refusal, request_id="r")
        self.assertEqual(503, response.status)
        self.assertIn((b"retry-after", b"0.250"), response.headers)


class TargetRequestTest(TestCase):
    def test_gateway_adds_headers(self):
        options = ForwardOptions(
            remaining=timedelta(seconds=2),
            organisation="o",
            memory=CopiedMemory(
                source=Address(host="10.0.0.1", port=80), handle="h"
            ),
            last_event=7,
            urgency=4,
        )
        headers = dict(
            _build_headers(make_target("i-1"), make_request(), options)
        )
        self.assertEqual(b"2000", headers[names.DEADLINE])
        self.assertEqual(b"i-1", headers[names.EXPECTED_TARGET])
        self.assertEqual(b"o", headers[names.ORGANISATION])
        self.assertEqual(b"10.0.0.1:80/h", headers[names.KV_SOURCE])
        self.assertEqual(b"7", headers[names.LAST_EVENT])
        self.assertNotIn(names.CREDENTIAL, headers)

    def test_parses_event_id(self):
        self.assertEqual(12, _parse_event(b"id: 12\ndata: x\n\n").id)
        self.assertEqual(3, _parse_event(b"event: a\r\nid:3\r\n\r\n").id)
        self.assertIsNone(_parse_event(b"data: id: 4\n\n").id)
