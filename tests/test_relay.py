import string
from datetime import UTC, datetime

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.configuration import Configuration, Organisation
from acaciarack.engines import EventParser
from acaciarack.errors import RefusalCode
from acaciarack.keys import KeyIndex, hash_key
from acaciarack.relay import ForeignEventError, Relay, RelayError
from acaciarack.seals import SealedResponse, Sealer, SealKey
from acaciarack.transports import MalformedAnswerError
from tests.fakes import build_events, encode
from tests.support import TestCase

OWN = build_events("own", list("abcdef"))
OTHER = build_events("other", list("uvwxyz"))
DETERMINISTIC = settings(derandomize=True, deadline=None)


def parse(data, sizes, **limits):
    parser = EventParser(**limits)
    events = []
    for size in sizes:
        events += parser.feed(data[:size])
        data = data[size:]
    return events + list(parser.feed(data))


class EventParserTest(TestCase):
    @DETERMINISTIC
    @given(
        st.lists(st.integers(0, 50), max_size=40),
        st.sampled_from([b"\n", b"\r\n"]),
    )
    def test_events_do_not_depend_on_chunk_boundaries(self, sizes, end):
        data = b": ping\n\n".join(encode(event) for event in OWN)
        data = data.replace(b"\n", end)
        events = [event for event in parse(data, sizes) if event.data]
        self.assertEqual(len(OWN), len(events))
        self.assertEqual(data, b"".join(e.raw for e in parse(data, sizes)))
        whole = [event.data for event in parse(data, []) if event.data]
        self.assertEqual(whole, [event.data for event in events])

    @DETERMINISTIC
    @given(st.binary(max_size=400), st.lists(st.integers(0, 50)))
    def test_arbitrary_bytes_raise_known_errors_and_use_bounded_memory(
        self, data, sizes
    ):
        try:
            events = parse(data, sizes, max_event_bytes=100)
        except MalformedAnswerError:
            return
        self.assertTrue(all(len(event.raw) <= 100 for event in events))
        relay = Relay(seal=str, model="chat")
        try:
            relay.process([event for event in events if event.data])
        except RelayError:
            self.assertEqual(-1, relay.last_sequence_number)


class RelayTest(TestCase):
    @DETERMINISTIC
    @given(
        st.lists(st.sampled_from([True, True, True, False]), max_size=8),
        st.lists(
            st.tuples(st.booleans(), st.integers(0, len(OWN) - 1)), max_size=2
        ),
        st.integers(1, 4),
    )
    def test_only_next_event_of_same_generation_is_accepted(
        self, in_order, others, size
    ):
        selected = [(own, index) for index, own in enumerate(in_order)] + others
        relay = Relay(seal=lambda name: f"sealed-{name}", model="chat")
        forwarded = b""
        expected = 0
        bindings = {}
        for start in range(0, len(selected), size):
            batch = selected[start : start + size]
            new_bindings = dict(bindings)
            expected_valid = True
            for n, (own, index) in enumerate(batch):
                # The response id ties the first and the final event to a
                # generation. The item id ties all events but the first.
                names = {0: "r", len(OWN) - 1: "ri"}.get(index, "i")
                expected_valid = expected_valid and index == expected + n
                expected_valid = expected_valid and all(
                    new_bindings.setdefault(name, own) is own for name in names
                )
            events = [(OWN if own else OTHER)[n] for own, n in batch]
            data = b"".join(encode(event) for event in events)
            try:
                forwarded += relay.process(parse(data, [])).data
            except RelayError:
                self.assertFalse(expected_valid)
            else:
                self.assertTrue(expected_valid)
                expected += len(batch)
                bindings = new_bindings
            self.assertEqual(expected - 1, relay.last_sequence_number)
        self.assertEqual(expected, forwarded.count(b'"sequence_number":'))
        self.assertNotIn(b'"id":"own"', forwarded)

    def test_event_with_another_response_id_is_rejected(self):
        relay = Relay(seal=str, model="chat")
        relay.process(parse(encode(OWN[0]), []))
        foreign = {**OTHER[0], "sequence_number": 1}
        self.assertRaises(
            ForeignEventError, relay.process, parse(encode(foreign), [])
        )
        self.assertEqual(0, relay.last_sequence_number)

    def test_deltas_are_forwarded_unchanged(self):
        relay = Relay(seal=lambda name: f"sealed-{name}", model="chat")
        data = b"".join(encode(event) for event in OWN)
        batch = relay.process(parse(data, []))
        for event in OWN[1:-1]:
            self.assertIn(encode(event), batch.data)
        self.assertEqual("sealed-own", batch.response["id"])
        self.assertEqual("chat", batch.response["model"])
        self.assertEqual(6, batch.tokens)


class SealerTest(TestCase):
    SEALED = SealedResponse(
        target="e1",
        engine_id="resp_5",
        configuration_version=7,
        organisation="clinic",
        service="chat",
        request_id="r",
        created=datetime(2026, 1, 1, tzinfo=UTC),
        generation=1,
        node="n1",
    )

    def test_rotated_keys_unseal_and_unknown_keys_do_not(self):
        old = SealKey(number=1, secret=bytes(32))
        new = SealKey(number=2, secret=bytes([1]) * 32)
        response_id = Sealer(keys=[old]).seal(self.SEALED)
        for keys in ([old], [new, old]):
            found = Sealer(keys=keys).unseal(response_id, organisation="clinic")
            self.assertEqual(self.SEALED, found)
        for keys in ([new], [SealKey(number=1, secret=new.secret)]):
            found = Sealer(keys=keys).unseal(response_id, organisation="clinic")
            self.assertIsNone(found)

    def test_id_has_one_valid_encoding(self):
        sealer = Sealer(keys=[SealKey(number=1, secret=bytes(32))])
        for _ in range(50):
            response_id = sealer.seal(self.SEALED)
            other = response_id.replace("-", "+").replace("_", "/")
            other = "resp_" + other[5:]
            for changed in (other, response_id + "="):
                found = sealer.unseal(changed, organisation="clinic")
                same = changed == response_id
                self.assertEqual(self.SEALED if same else None, found)

    @DETERMINISTIC
    @given(st.integers(0, 500), st.sampled_from(string.printable))
    def test_modified_id_is_rejected(self, index, character):
        sealer = Sealer(keys=[SealKey(number=1, secret=bytes(32))])
        response_id = sealer.seal(self.SEALED)
        index %= len(response_id)
        changed = response_id[:index] + character + response_id[index + 1 :]
        found = sealer.unseal(changed, organisation="clinic")
        same = changed == response_id
        self.assertEqual(self.SEALED if same else None, found)
        self.assertIsNone(sealer.unseal(changed, organisation="household"))


class KeyIndexTest(TestCase):
    def test_index_uses_the_current_configuration(self):
        def configure(version, *keys):
            return Configuration(
                version=version,
                organisations={
                    f"o{n}": Organisation(
                        name=f"o{n}", key_hashes=(hash_key(key),)
                    )
                    for n, key in enumerate(keys)
                },
            )

        current = configure(1, "a", "b")
        index = KeyIndex(configuration=lambda: current)

        def authenticate(text):
            found = index.authenticate({"authorization": text})
            return getattr(found, "name", None) or found.code

        self.assertEqual("o1", authenticate("Bearer b"))
        current = configure(2, "b")
        self.assertEqual("o0", authenticate("bearer  b"))
        for text in ("Bearer a", "Bearer", "Basic b", "", "Bearer é"):
            self.assertEqual(RefusalCode.UNAUTHENTICATED, authenticate(text))
