"""A wrong verdict about requests is refuted, whatever it covers."""

from tests.quarantine_fleet import Load, QuarantineFleet
from tests.support import TestCase

MAX_REFUSAL_SECONDS = 5.0
"""Stated time after which a sound prompt is served again."""
CONTACT_SECONDS = 3.0
CRASHES_BEFORE_BOUND = 5
MAX_LATE_ARRIVALS = 3
COMMON = "common"
SIZES = ((4, 4, 12), (7, 8, 6), (18, 60, 2))
"""Numbers of nodes, engines and seeds."""

HARMFUL_LOADS = (
    Load(name="sound", rate=5.4, segments=(COMMON,)),
    Load(name="rare", rate=0.6, segments=()),
    Load(name="bad-1", rate=3, segments=(COMMON, "bad-1"), is_harmful=True),
    Load(name="bad-2", rate=3, segments=(COMMON, "bad-2"), is_harmful=True),
)


CALL_LOADS = (
    Load(name="hot", rate=10, segments=("hot",)),
    Load(name="warm", rate=3, segments=("warm",)),
    Load(name="bad-1", rate=1, segments=("bad-1",), is_harmful=True),
    Load(name="bad-2", rate=1, segments=("bad-2",), is_harmful=True),
)
"""Requests that are all alike by load, as calls that come again."""


class RefutationTest(TestCase):
    def check_harmful(self, seed, nodes, engines, seconds=20):
        fleet = QuarantineFleet(
            nodes=nodes, engines=engines, loads=HARMFUL_LOADS, seed=seed
        )
        fleet.play(seconds)
        self.assertLessEqual(
            fleet.get_longest_refusal("sound"), MAX_REFUSAL_SECONDS, seed
        )
        for name in ("bad-1", "bad-2"):
            crashes = fleet.crashes[name]
            if len(crashes) >= CRASHES_BEFORE_BOUND:
                bound = crashes[CRASHES_BEFORE_BOUND - 1] + CONTACT_SECONDS
                late = [t for t in fleet.arrivals[name] if t > bound]
                self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, seed)

    def check_random_crashes(self, seed, nodes, engines):
        """A new segment is in all prompts while engines crash by themselves."""
        fleet = QuarantineFleet(
            nodes=nodes,
            engines=engines,
            loads=(Load(name="sound", rate=engines, segments=("new",)),),
            seed=seed,
        )

        def crash_some(fleet):
            # Every 2 s, 15% of the engines within a step.
            if fleet.rng.random() < 0.005:
                running = fleet.list_running()
                count = max(1, round(0.15 * len(fleet.engines)))
                for engine in fleet.rng.sample(
                    running, min(count, len(running))
                ):
                    fleet.crash(engine)

        fleet.play(20, crash_some)
        self.assertLessEqual(
            fleet.get_longest_refusal("sound"), MAX_REFUSAL_SECONDS, seed
        )

    def check_repeated_calls(self, seed, nodes, servers):
        fleet = QuarantineFleet(
            nodes=nodes,
            engines=servers,
            loads=CALL_LOADS,
            seed=seed,
            proof_seconds=0.05,
            run_seconds=0.05,
        )
        fleet.play(60)
        for name in ("hot", "warm"):
            refused = sum(refused for _, refused in fleet.refusals[name])
            self.assertEqual(0, refused, (seed, name))
        for name in ("bad-1", "bad-2"):
            bound = fleet.crashes[name][2] + CONTACT_SECONDS
            late = [t for t in fleet.arrivals[name] if t > bound]
            self.assertLessEqual(len(late), MAX_LATE_ARRIVALS, (seed, name))

    def test_calls_that_come_often_are_served_beside_harmful_ones(self):
        for nodes, servers in ((6, 3), (8, 4)):
            for seed in range(5):
                self.check_repeated_calls(seed, nodes, servers)

    def test_harmful_segments_do_not_lock_out_prompts_that_share_another(self):
        for nodes, engines, seeds in SIZES:
            for seed in range(seeds):
                self.check_harmful(seed, nodes, engines)

    def test_crashes_without_a_cause_do_not_lock_out_a_new_segment(self):
        for nodes, engines, seeds in SIZES:
            for seed in range(seeds):
                self.check_random_crashes(seed, nodes, engines)
