"""Entry addresses: selection, order and lifetime."""

import collections

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.entries import Entry, EntryHandler, choose_entries
from acaciarack.errors import Refusal
from acaciarack.web import Request
from tests.support import TestCase

DATA_CENTRES = ("oslo-a", "drammen-b", "hamar-c")
ENTRIES = st.lists(
    st.builds(
        Entry,
        host=st.sampled_from(["127.0.0.1", "127.0.0.2", "127.0.0.3"]),
        port=st.integers(1, 9),
        data_centre=st.sampled_from(DATA_CENTRES),
    ),
    unique_by=lambda entry: (entry.host, entry.port),
)


class ListSource:
    def __init__(self, entries):
        self.entries = entries

    def list_entries(self):
        return tuple(self.entries)


def make_request(**query):
    return Request(
        method="GET",
        path="/v1/entries",
        parameters={},
        query=query,
        headers={},
        receive=None,
    )


class ChooseEntriesTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(ENTRIES, st.integers(1, 5), st.text(max_size=4))
    def test_local_entries_come_first_and_the_choice_is_stable(
        self, entries, limit, hash_key
    ):
        options = {
            "data_centre": "oslo-a",
            "hash_key": hash_key,
            "limit": limit,
        }
        chosen = choose_entries(entries, **options)
        self.assertEqual(min(limit, len(entries)), len(chosen))
        self.assertEqual(len(chosen), len(set(chosen)))
        local = [entry.data_centre == "oslo-a" for entry in chosen]
        self.assertEqual(sorted(local, reverse=True), local)
        self.assertEqual(chosen, choose_entries(entries[::-1], **options))
        if limit > 1 and {e.data_centre for e in entries} > {"oslo-a"}:
            self.assertIn(False, local)

    def test_callers_are_spread_over_the_entries(self):
        entries = [
            Entry(host="127.0.0.1", port=port, data_centre="oslo-a")
            for port in range(4)
        ]
        firsts = collections.Counter(
            choose_entries(entries, data_centre="oslo-a", hash_key=f"c{n}")[0]
            for n in range(400)
        )
        self.assertGreater(min(firsts.values()), 70)


class EntryHandlerTest(TestCase):
    def test_response_has_a_lifetime(self):
        entry = Entry(host="127.0.0.1", port=8080, data_centre="oslo-a")
        source = ListSource([entry])
        handler = EntryHandler(source=source, data_centre="oslo-a")
        reply = self.run_trio(handler.serve, make_request(client="a"))
        self.assertEqual("max-age=10", reply.headers["cache-control"])
        expected = {
            "entries": [
                {
                    "host": "127.0.0.1",
                    "port": 8080,
                    "data_centre": "oslo-a",
                }
            ],
            "max_age_seconds": 10,
        }
        self.assertEqual(expected, msgspec.json.decode(reply.body))
        source.entries.clear()
        refusal = self.run_trio(handler.serve, make_request())
        self.assertIsInstance(refusal, Refusal)
        self.assertIsNotNone(refusal.retry_after)
