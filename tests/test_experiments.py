from collections import Counter
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.policies import routing_policies
from acaciarack_bench.experiments import build_trace, read_experiment, run_cell
from acaciarack_bench.measures import compute_fairness
from acaciarack_bench.model import EngineSettings
from acaciarack_bench.traces import Pattern, compute_rate, generate_trace
from tests.support import TestCase

EXPERIMENTS = Path(__file__).resolve().parent.parent / "experiments"


def read_small_experiment(name):
    """Reads an experiment and reduces it to a few seconds on small engines."""
    experiment = read_experiment(EXPERIMENTS / name)
    return replace(
        experiment,
        engines=2,
        capacity_tokens=12_000,
        measured_from_seconds=1,
        duration_seconds=6,
    )


class ExperimentTest(TestCase):
    def test_every_file_names_known_policies(self):
        for path in EXPERIMENTS.glob("*.toml"):
            for cell in read_experiment(path).cells:
                unknown = set(cell.policies) - set(
                    routing_policies.list_names()
                )
                self.assertEqual(set(), unknown, path)

    def test_run_is_deterministic_and_ends_every_request(self):
        experiment = read_small_experiment("haugland.toml")
        cell = replace(experiment.cells[0], load=1.5, kill_at_seconds=3)
        for policy in routing_policies.list_names():
            one, two, other = (
                run_cell(experiment, cell, policy=policy, seed=seed).summary
                for seed in (1, 1, 2)
            )
            self.assertEqual(one, two)
            self.assertNotEqual(one, other)
            self.assertTrue(one.requests > 10)
            self.assertTrue(one.goodput + one.refused + one.lost <= 1 + 1e-9)

    def test_arrivals_have_the_requested_rate_and_are_sorted(self):
        experiment = read_small_experiment("haugland.toml")
        for pattern in Pattern:
            trace = replace(
                build_trace(experiment, experiment.cells[0]), pattern=pattern
            )
            arrivals = list(
                generate_trace(
                    trace,
                    rate=50,
                    duration=timedelta(seconds=100),
                    block_tokens=64,
                    seed=1,
                )
            )
            self.assertTrue(4600 < len(arrivals) < 5400, len(arrivals))
            times = [arrival.at for arrival in arrivals]
            self.assertEqual(sorted(times), times)

    def test_rate_grows_with_load_and_engines(self):
        experiment = read_small_experiment("haugland.toml")
        trace = build_trace(experiment, experiment.cells[0])
        engine = EngineSettings()
        rates = [
            compute_rate(trace, engine, engines=engines, load=load)
            for engines, load in ((1, 0.5), (1, 1.0), (2, 1.0))
        ]
        self.assertEqual(sorted(rates), rates)


class FairnessTest(TestCase):
    @settings(derandomize=True)
    @given(
        st.dictionaries(
            st.sampled_from("abcdef"), st.integers(1, 100), min_size=1
        )
    )
    def test_serving_every_request_is_fair(self, demand):
        demand = Counter(demand)
        self.assertAlmostEqual(1.0, compute_fairness(demand, demand))

    def test_serving_one_organisation_is_unfair(self):
        demand = Counter(a=10, b=10, c=10, d=10)
        self.assertAlmostEqual(0.25, compute_fairness(demand, Counter(a=10)))
