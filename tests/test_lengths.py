import random
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.clock import ManualClock
from acaciarack.lengths import (
    LengthEstimator,
    LengthGroup,
    LengthProfile,
    LengthSettings,
)
from tests.support import EPOCH, TestCase

GROUP = LengthGroup(service="s", organisation="o", model="m")
OTHER = LengthGroup(service="s", organisation="p", model="m")


def make_estimator(**changes):
    clock = ManualClock(epoch=EPOCH)
    estimator = LengthEstimator(clock=clock, settings=LengthSettings(**changes))
    return clock, estimator


class LengthEstimatorTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(
        st.lists(st.integers(1, 30_000), min_size=60, max_size=200),
        st.floats(0.1, 0.9),
        st.integers(0, 20_000),
    )
    def test_remaining_length_matches_the_sample_quantiles(
        self, lengths, quantile, age
    ):
        _, estimator = make_estimator()
        for length in lengths:
            estimator.record(GROUP, length)
        remaining = estimator.estimate_remaining(GROUP, age, quantile)
        older = sorted(length for length in lengths if length > age)
        if len(older) < 20:
            return
        # The estimate lies between nearby order statistics of the sample.
        rank = quantile * len(older)
        margin = 0.05 * len(lengths) + 2
        low = older[max(0, int(rank - margin))]
        high = older[min(len(older) - 1, int(rank + margin))]
        self.assertTrue(0.93 * low <= age + remaining <= 1.07 * high)

    @settings(derandomize=True, max_examples=50)
    @given(
        st.lists(st.floats(1, 30_000), min_size=26, max_size=26),
        st.lists(st.floats(0, 100_000), min_size=2, max_size=2),
        st.floats(0, 0.9999),
    )
    def test_survival_and_quantiles_are_consistent(
        self, lengths, points, quantile
    ):
        profile = LengthProfile(lengths=tuple(sorted(lengths)))
        low, high = sorted(points)
        self.assertTrue(
            1 >= profile.get_survival(low) >= profile.get_survival(high) >= 0
        )
        length = profile.get_length(quantile)
        self.assertTrue(
            profile.get_survival(length * 1.001) <= 1 - quantile + 1e-6
        )

    def test_group_without_samples_uses_a_wider_group(self):
        _, estimator = make_estimator()
        prior = estimator.estimate_remaining(GROUP, 0, 0.5)
        for _ in range(40):
            estimator.record(OTHER, 5000)
        fallback = estimator.estimate_remaining(GROUP, 0, 0.5)
        self.assertTrue(prior < 400 < 4500 < fallback < 5500)

    def test_running_generations_correct_a_censored_sample(self):
        # Of 400 generations, those over 1,000 tokens are still running.
        rng = random.Random(2)
        lengths = [rng.randrange(1, 4000) for _ in range(400)]
        ages = [1000 for length in lengths if length > 1000]
        estimator = LengthEstimator(
            clock=ManualClock(epoch=EPOCH), list_ages=lambda _: ages
        )
        for length in lengths:
            if length <= 1000:
                estimator.record(GROUP, length)
        profile = estimator.get_profile(GROUP)
        for length in (200, 500, 900):
            expected = sum(each > length for each in lengths) / len(lengths)
            self.assertTrue(abs(profile.get_survival(length) - expected) < 0.05)
        self.assertTrue(profile.get_length(0.9) > 1000)

    def test_estimate_follows_drift_across_a_landmark_reset(self):
        clock, estimator = make_estimator(half_life=timedelta(seconds=1))
        for length in (100, 3000):
            for _ in range(300):
                clock.advance(timedelta(seconds=1))
                estimator.record(GROUP, length)
        # With a half-life of one second, the recorded lengths weigh too
        # little for an estimate. Records enough lengths at the current time.
        for _ in range(60):
            estimator.record(GROUP, 3000)
        median = estimator.estimate_remaining(GROUP, 0, 0.5)
        self.assertTrue(2800 < median < 3200, median)

    def test_number_of_groups_is_bounded(self):
        _, estimator = make_estimator(max_groups=8)
        rng = random.Random(1)
        for number in range(500):
            group = LengthGroup(
                service="s", organisation=str(number), model="m"
            )
            estimator.record(group, rng.randrange(1, 50))
        self.assertTrue(estimator.estimate_remaining(GROUP, 0, 0.5) < 50)
        self.assertEqual(8, len(estimator._sketches))
