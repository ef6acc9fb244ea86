from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.admission import (
    AdmissionSettings,
    Forecast,
    estimate_joint_peak,
    estimate_peak,
    forecast_generation,
    scale_forecast,
)
from acaciarack.lengths import LengthProfile
from acaciarack.turns import SLOT, Turns
from tests.support import EPOCH, TestCase

NAMES = st.lists(
    st.sampled_from([f"node-{number}" for number in range(8)]),
    min_size=1,
    max_size=8,
    unique=True,
)


class TurnsTest(TestCase):
    @settings(derandomize=True)
    @given(NAMES, st.text("abc", min_size=1, max_size=4), st.integers(0, 10**6))
    def test_one_node_at_a_time_and_each_in_a_round(self, nodes, target, start):
        seen = []
        for slot in range(len(nodes)):
            now = EPOCH + SLOT * (start + slot)
            holders = [
                node
                for node in nodes
                if Turns(node=node, peers=set(nodes) - {node}, now=now).include(
                    target
                )
            ]
            self.assertEqual(1, len(holders))
            seen += holders
        self.assertEqual(sorted(nodes), sorted(seen))

    def test_nobody_places_in_the_second_half_of_a_slot(self):
        now = EPOCH + SLOT * 0.6
        for node, peer in (("a", "b"), ("b", "a")):
            turns = Turns(node=node, peers=(peer,), now=now)
            self.assertFalse(turns.include("target"))
        self.assertTrue(Turns(node="a", peers=(), now=now).include("target"))


class ForecastTest(TestCase):
    @settings(derandomize=True)
    @given(
        st.integers(1, 5000),
        st.integers(0, 3000),
        st.integers(1, 4000),
        st.floats(0, 3),
    )
    def test_a_generation_uses_no_more_than_its_limit_allows(
        self, prompt, age, limit, deviations
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
        peak = estimate_peak(one, deviations)
        joint = estimate_joint_peak(one, Forecast(), deviations)
        self.assertAlmostEqual(peak, joint, places=3)
        many = scale_forecast(one, 9)
        self.assertTrue(estimate_peak(many, deviations) <= 9 * peak + 1e-6)

    def test_old_reports_leave_less_to_plan_with(self):
        admission = AdmissionSettings()
        usable = [
            admission.get_usable_fraction(timedelta(seconds=age))
            for age in (0, 1, 5, 10, 100)
        ]
        self.assertEqual(sorted(usable, reverse=True), usable)
        self.assertAlmostEqual(0.98, usable[0])
        self.assertAlmostEqual(0.88, usable[-1])
