"""Nodes of the released version beside new ones: fields that only some know."""

from dataclasses import replace
from datetime import timedelta

import msgpack

from acaciarack.gateway.capacity.loads import Generation
from acaciarack.gateway.peers.messages import NodeInfo
from acaciarack.gateway.scheduling.schedule_codec import (
    decode_message,
    encode_message,
)
from acaciarack.gateway.scheduling.schedule_messages import (
    Ask,
    AskKind,
    LoadReport,
    OrganisationUsage,
    Withdrawal,
)
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.client import ReportedLoad
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.pace import TargetSample
from tests.support import TestCase

NODE = NodeInfo(
    name="n1",
    started=1,
    host="10.0.0.1",
    front_port=1,
    link_port=2,
    data_centre="oslo-a",
    revision=1,
)
SAMPLE = TargetSample(
    target=TargetLifetime(id="a", born=5),
    age=timedelta(milliseconds=20),
    load=ReportedLoad(running=3, waiting=0, slots=6, slowdown=2.5),
    work_time=timedelta(milliseconds=45),
)
ASK = Ask(
    node=NODE,
    number=1,
    attempt=1,
    kind=AskKind.START,
    service="engines",
    generation=Generation(prompt=Prompt(tokens=10, max_tokens=20)),
    rank=(1,),
    age=timedelta(0),
    patience=timedelta(seconds=1),
    data_centre="oslo-a",
    exclude=frozenset(),
    recent_duration=timedelta(0),
)
FULL_ASK = replace(
    ASK,
    organisation="hamar-clinic",
    time_to_objective=timedelta(milliseconds=-40),
    gap_objective=timedelta(milliseconds=180),
    fingerprint=b"12345678",
    regions=frozenset({"east", "west"}),
)
FULL_REPORT = LoadReport(
    node=NODE,
    loads={},
    failures={},
    grants=(),
    samples=(SAMPLE,),
    usage=(OrganisationUsage(organisation="hamar-clinic", cost=70.0),),
)


class MessageRevisionTest(TestCase):
    def test_optional_fields_survive_encoding(self):
        withdrawal = Withdrawal(node=NODE, number=1, sample=SAMPLE)
        for message in (FULL_ASK, FULL_REPORT, withdrawal):
            decoded = decode_message(encode_message(message))
            self.assertEqual(repr(message), repr(decoded))

    def test_nodes_of_revision_0_get_messages_that_they_can_decode(self):
        # Released nodes unpack a fixed number of fields and reject others.
        data = encode_message(FULL_ASK, revision=0)
        self.assertEqual(data, encode_message(ASK))
        self.assertEqual(15, len(msgpack.unpackb(data)))

    def test_invalid_and_unknown_optional_fields_are_ignored(self):
        fields = msgpack.unpackb(encode_message(FULL_ASK))
        fields[-1] = {
            "organisation": 7,
            "objective": "soon",
            "gap": -5,
            "fingerprint": b"too short or long" * 9,
            "later": [1],
        }
        decoded = decode_message(msgpack.packb(fields))
        self.assertEqual(repr(ASK), repr(decoded))

    def test_absurd_samples_are_ignored(self):
        fields = msgpack.unpackb(encode_message(FULL_REPORT))
        for number in (-1, float("nan"), float("inf"), 1e15, "x"):
            fields[-1]["samples"][0][2] = number
            decoded = decode_message(msgpack.packb(fields))
            self.assertEqual((), decoded.samples)
            self.assertEqual(FULL_REPORT.usage, decoded.usage)
