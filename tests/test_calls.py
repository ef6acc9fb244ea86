import json

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.calls import parse_call
from acaciarack.errors import Refusal, RunOutcome
from acaciarack.prompts import hash_prefixes
from tests.support import TestCase

DETERMINISTIC = settings(derandomize=True, deadline=None)
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["content", "text"]), inner)
    ),
    max_leaves=5,
)
FIELDS = st.sampled_from(
    ["model", "input", "stream", "max_output_tokens", "background"]
)


class ParseCallTest(TestCase):
    def check(self, data):
        found = parse_call(data)
        if isinstance(found, Refusal):
            self.assertEqual(RunOutcome.NOT_RUN, found.outcome)
        else:
            self.assertTrue(found.prompt_tokens >= 1)

    @DETERMINISTIC
    @given(st.dictionaries(FIELDS, JSON_VALUES), st.binary(max_size=50))
    def test_arbitrary_body_is_parsed_or_refused(self, body, data):
        self.check(json.dumps({"model": "m", "input": "hi"} | body).encode())
        self.check(data)

    def test_deep_nesting_is_refused(self):
        self.check(b'{"model":"m","input":' + b"[" * 100_000)

    def test_prompt_parts_are_joined_as_in_engines(self):
        text = "b" * 300
        body = {
            "model": "m",
            "instructions": "a",
            "input": [{"content": text}, {"content": [{"text": "c"}]}],
        }
        found = parse_call(json.dumps(body).encode())
        expected = hash_prefixes(f"a\n{text}\nc")
        self.assertEqual((1, expected), (len(expected), found.prefix_hashes))
