"""Entry addresses: which, in what order, for how long."""

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
    def test_near_first_bounded_and_stable(self, entries, limit, hint):
        choose = {"data_centre": "oslo-a", "hint": hint, "limit": limit}
        chosen = choose_entries(entries, **choose)
        self.assertEqual(min(limit, len(entries)), len(chosen))
        self.assertEqual(len(chosen), len(set(chosen)))
        near = [entry.data_centre == "oslo-a" for entry in chosen]
        self.assertEqual(sorted(near, reverse=True), near)
        self.assertEqual(chosen, choose_entries(entries[::-1], **choose))
        if limit > 1 and {e.data_centre for e in entries} > {"oslo-a"}:
            self.assertIn(False, near)

    def test_clients_are_spread(self):
        entries = [
            Entry(host="127.0.0.1", port=port, data_centre="oslo-a")
            for port in range(4)
        ]
        firsts = collections.Counter(
            choose_entries(entries, data_centre="oslo-a", hint=f"c{n}")[0]
            for n in range(400)
        )
        self.assertGreater(min(firsts.values()), 70)


class EntryHandlerTest(TestCase):
    def test_answer_has_a_lifetime(self):
        entry = Entry(host="127.0.0.1", port=8080, data_centre="oslo-a")
        source = ListSource([entry])
        handler = EntryHandler(source=source, data_centre="oslo-a")
        reply = self.run_trio(handler.answer, make_request(client="a"))
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
        refusal = self.run_trio(handler.answer, make_request())
        self.assertIsInstance(refusal, Refusal)
        self.assertIsNotNone(refusal.retry_after)
