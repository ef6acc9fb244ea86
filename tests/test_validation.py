"""Tests that each invalid field gives exactly one configuration fault."""

from dataclasses import replace

from acaciarack.change_messages import (
    Edit,
    ObjectKind,
)
from acaciarack.changes import (
    apply_edits,
)
from acaciarack.configuration import (
    Configuration,
    Delivery,
    ModelChoice,
    NodeSetting,
    Objectives,
    Organisation,
    Route,
    Service,
    ServiceKind,
    Target,
    TargetKind,
)
from acaciarack.validation import find_faults
from tests.support import TestCase

KEY = "ab" * 32
VALID = {
    ObjectKind.ORGANISATION: Organisation(name="clinic", key_hashes=(KEY,)),
    ObjectKind.SERVICE: Service(
        name="assistant",
        kind=ServiceKind.GENERATION,
        delivery=Delivery.WHOLE,
    ),
    ObjectKind.MODEL_CHOICE: ModelChoice(
        name="c", service="assistant", model="Rettleiar_2.1", version="3"
    ),
    ObjectKind.ROUTE: Route(
        name="r", service="assistant", organisation="clinic", pool="p"
    ),
    ObjectKind.TARGET: Target(
        name="t",
        kind=TargetKind.ENGINE,
        host="10.0.0.1",
        port=9000,
        data_centre="oslo-a",
        pool="p",
    ),
    ObjectKind.NODE: NodeSetting(name="n"),
}
NAN = float("nan")
INVALID = [
    (ObjectKind.ORGANISATION, {"share": 0.0}, "share"),
    (ObjectKind.ORGANISATION, {"share": NAN}, "share"),
    (ObjectKind.ORGANISATION, {"max_in_flight": 0}, "max_in_flight"),
    (ObjectKind.ORGANISATION, {"key_hashes": ("AB" * 32,)}, "key_hashes"),
    (ObjectKind.SERVICE, {"deadline_seconds": -1.0}, "deadline_seconds"),
    (ObjectKind.SERVICE, {"max_output_tokens": 0}, "max_output_tokens"),
    (ObjectKind.SERVICE, {"repeatable": True}, "repeatable"),
    (
        ObjectKind.SERVICE,
        {"objectives": Objectives(good_fraction=1.5)},
        "objectives.good_fraction",
    ),
    (ObjectKind.MODEL_CHOICE, {"service": "none"}, "service"),
    (ObjectKind.MODEL_CHOICE, {"organisation": "none"}, "organisation"),
    (ObjectKind.MODEL_CHOICE, {"version": "a b"}, "version"),
    (ObjectKind.MODEL_CHOICE, {"adapter": "a:b"}, "adapter"),
    (ObjectKind.ROUTE, {"service": "none"}, "service"),
    (ObjectKind.ROUTE, {"pool": ""}, "pool"),
    (ObjectKind.ROUTE, {"policy": "none"}, "policy"),
    (ObjectKind.TARGET, {"host": "localhost"}, "host"),
    (ObjectKind.TARGET, {"port": 0}, "port"),
    (ObjectKind.TARGET, {"data_centre": "Oslo"}, "data_centre"),
    (ObjectKind.NODE, {"name": "N"}, "name"),
]
DUPLICATES = [
    (ObjectKind.ORGANISATION, "key_hashes"),
    (ObjectKind.MODEL_CHOICE, "organisation"),
    (ObjectKind.ROUTE, "organisation"),
    (ObjectKind.TARGET, "host and port"),
]


def build_configuration(changes):
    edits = [
        Edit(kind=kind, name=value.name, value=value)
        for kind, value in [*VALID.items(), *changes]
    ]
    return apply_edits(Configuration(), edits, version=1)


class ValidationTest(TestCase):
    def list_fields(self, changes):
        faults = find_faults(
            build_configuration(changes), policies=["predicted_memory"]
        )
        return [(fault.object, fault.field) for fault in faults]

    def test_valid_configuration_has_no_fault(self):
        self.assertEqual([], self.list_fields([]))

    def test_each_invalid_field_gives_one_fault(self):
        for kind, fields, field in INVALID:
            value = replace(VALID[kind], **fields)
            found = self.list_fields([(kind, value)])
            self.assertEqual([(f"{kind}/{value.name}", field)], found)

    def test_duplicates_of_unique_values_are_faults(self):
        for kind, field in DUPLICATES:
            duplicate = replace(VALID[kind], name="z")
            found = self.list_fields([(kind, duplicate)])
            self.assertEqual([(f"{kind}/z", field)], found)

    def test_policies_are_not_checked_without_a_list(self):
        route = replace(VALID[ObjectKind.ROUTE], policy="none")
        self.assertEqual(
            (), find_faults(build_configuration([(ObjectKind.ROUTE, route)]))
        )
