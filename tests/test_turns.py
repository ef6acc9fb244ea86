from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.admission import (
    AdmissionSettings,
    MemoryForecast,
    estimate_joint_peak,
    estimate_peak,
    forecast_generation,
    scale_forecast,
)
from acaciarack.lengths import LengthProfile
from acaciarack.time_slots import SLOT_DURATION, SlotSchedule
from tests.support import EPOCH, TestCase

NAMES = st.lists(
    st.sampled_from([f"node-{number}" for number in range(8)]),
    min_size=1,
    max_size=8,
    unique=True,
)


class SlotScheduleTest(TestCase):
    @settings(derandomize=True)
    @given(NAMES, st.text("abc", min_size=1, max_size=4), st.integers(0, 10**6))
    def test_each_node_owns_one_slot_per_round(self, nodes, target, start):
        owners = []
        for slot in range(len(nodes)):
            now = EPOCH + SLOT_DURATION * (start + slot)
            slot_owners = [
                node
                for node in nodes
                if SlotSchedule(
                    node=node, peers=set(nodes) - {node}, now=now
                ).owns(target)
            ]
            self.assertEqual(1, len(slot_owners))
            owners += slot_owners
        self.assertEqual(sorted(nodes), sorted(owners))

    def test_no_node_owns_the_second_half_of_a_slot(self):
        now = EPOCH + SLOT_DURATION * 0.6
        for node, peer in (("a", "b"), ("b", "a")):
            schedule = SlotSchedule(node=node, peers=(peer,), now=now)
            self.assertFalse(schedule.owns("target"))
        self.assertTrue(
            SlotSchedule(node="a", peers=(), now=now).owns("target")
        )


class MemoryForecastTest(TestCase):
    @settings(derandomize=True)
    @given(
        st.integers(1, 5000),
        st.integers(0, 3000),
        st.integers(1, 4000),
        st.floats(0, 3),
    )
    def test_usage_is_bounded_by_the_output_limit(
        self, prompt, age, limit, z_score
    ):
        lengths = tuple(float(1 + 40 * step) for step in range(26))
        one = forecast_generation(
            profile=LengthProfile(lengths=lengths),
            context_tokens=prompt + age,
            age_tokens=age,
            max_output_tokens=limit,
        )
        self.assertEqual(prompt + age, one.means[0] or prompt + age)
        self.assertTrue(max(one.means) <= prompt + max(age, limit))
        peak = estimate_peak(one, z_score)
        joint = estimate_joint_peak(one, MemoryForecast(), z_score)
        self.assertAlmostEqual(peak, joint, places=3)
        many = scale_forecast(one, 9)
        self.assertTrue(estimate_peak(many, z_score) <= 9 * peak + 1e-6)

    def test_usable_fraction_falls_with_report_age(self):
        admission = AdmissionSettings()
        usable = [
            admission.get_usable_fraction(timedelta(seconds=age))
            for age in (0, 1, 5, 10, 100)
        ]
        self.assertEqual(sorted(usable, reverse=True), usable)
        self.assertAlmostEqual(0.98, usable[0])
        self.assertAlmostEqual(0.88, usable[-1])
