"""Decisions about prompt segments that crash engines, without a network."""

import random
from datetime import timedelta

from acaciarack.gateway.evidence.fingerprints import fingerprint_segments
from acaciarack.gateway.evidence.quarantine_trials import TRIAL_DELAY
from acaciarack.gateway.evidence.request_quarantine import (
    CRASH_THRESHOLD,
    MAX_CRASHES,
    QUARANTINE_TIME,
    RELAPSE_THRESHOLD,
    RELAPSE_TIME,
    SETTLE_TIME,
    RequestQuarantine,
)
from acaciarack.gateway.peers.messages import (
    decode_heartbeat,
    encode_heartbeat,
)
from acaciarack.gateway.spec import Prompt
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from tests.support import TestCase
from tests.test_gateway_peers import make_heartbeat, make_node

MAX_NEWS_BYTES = 700
"""Half of a datagram, so that loads and records still fit."""


class ManualClock:
    def __init__(self):
        self.now = timedelta(0)

    def elapsed(self):
        return self.now

    def advance(self, seconds):
        self.now += timedelta(seconds=seconds)


def make_prompt(*segments, service="llm"):
    """Returns the fingerprints of a prompt with a last segment of its own."""
    names = (*segments, f"own-{random.random()}")
    prompt = Prompt(
        tokens=100,
        max_tokens=50,
        prefix_segments=tuple((name, 10) for name in names),
    )
    return fingerprint_segments(service, prompt)


class QuarantineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.crash_count = 0

    def make_nodes(self, count):
        return [RequestQuarantine(clock=self.clock) for _ in range(count)]

    def crash(self, node, *prompts):
        """Records a crash; its time is settled on return."""
        self.crash_at_once(node, *prompts)
        self.clock.advance(SETTLE_TIME.total_seconds())

    def crash_at_once(self, node, *prompts):
        self.crash_count += 1
        target = TargetLifetime(id=f"engine-{self.crash_count}", born=1)
        node.record_crash(target, prompts)

    def answer(self, node, *segments):
        node.record_answer(make_prompt(*segments))

    def is_refused(self, node, *segments):
        return node.find_verdict(make_prompt(*segments)) is not None

    def exchange(self, nodes, *, loss=0.0, rng=None):
        """Sends every node's news to every other one, encoded."""
        for index, sender in enumerate(nodes):
            heartbeat = make_heartbeat(
                make_node(f"n{index}"), quarantine=sender.list_for_broadcast()
            )
            news = decode_heartbeat(encode_heartbeat(heartbeat)).quarantine
            for node in nodes:
                if node is not sender and not (rng and rng.random() < loss):
                    node.merge(news, f"n{index}")

    def test_segment_of_three_crashes_is_refused_on_all_nodes(self):
        nodes = self.make_nodes(3)
        for node in nodes:
            self.assertFalse(self.is_refused(nodes[0], "a", "bad"))
            self.answer(node, "a")
            self.crash(node, make_prompt("a", "bad"))
            self.exchange(nodes)
            self.clock.advance(1)
        for node in nodes:
            self.assertTrue(self.is_refused(node, "bad"))
            self.assertTrue(self.is_refused(node, "other", "bad"))
            self.assertFalse(self.is_refused(node, "a"))
            self.assertFalse(self.is_refused(node, "a", "other"))

    def test_one_crash_seen_by_several_nodes_counts_once(self):
        nodes = self.make_nodes(CRASH_THRESHOLD)
        target = TargetLifetime(id="e", born=1)
        for node in nodes:
            node.record_crash(target, [make_prompt("rare")])
        self.exchange(nodes)
        self.clock.advance(1)
        self.assertFalse(self.is_refused(nodes[0], "rare"))

    def test_last_segment_is_no_evidence(self):
        (node,) = self.make_nodes(1)
        prompt = make_prompt()
        for _ in range(CRASH_THRESHOLD):
            self.crash(node, prompt)
        self.assertIsNone(node.find_verdict(prompt))

    def test_rare_sound_companion_is_served_where_another_node_knows_it(self):
        """The companion is in all harmful prompts; one node has answered it."""
        nodes = self.make_nodes(3)
        self.answer(nodes[2], "companion")
        for _ in range(CRASH_THRESHOLD):
            self.clock.advance(0.4)
            self.crash(nodes[0], make_prompt("companion", "bad"))
            self.exchange(nodes)
        for node in nodes:
            self.assertTrue(self.is_refused(node, "bad"))
            self.assertFalse(self.is_refused(node, "companion"))

    def test_segments_seen_only_together_are_refused_only_together(self):
        nodes = self.make_nodes(2)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("companion", "bad"))
        self.exchange(nodes)
        self.assertTrue(self.is_refused(nodes[1], "companion", "bad"))
        self.assertFalse(self.is_refused(nodes[1], "companion"))
        self.assertFalse(self.is_refused(nodes[1], "bad"))
        # More crashes show which one it is.
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[1], make_prompt("bad"))
        self.exchange(nodes)
        for node in nodes:
            self.assertTrue(self.is_refused(node, "bad"))
            self.assertFalse(self.is_refused(node, "companion"))

    def test_first_requests_of_a_fleet_are_served_beside_harmful_ones(self):
        """Nothing was answered before; sound runs were lost in each crash."""
        nodes = self.make_nodes(3)
        for _ in range(CRASH_THRESHOLD):
            target = TargetLifetime(id=f"e-{self.clock.now}", born=1)
            nodes[0].record_crash(target, [make_prompt("a")])
            self.clock.advance(0.1)
            nodes[1].record_crash(target, [make_prompt("a", "bad")])
            self.exchange(nodes)
            self.clock.advance(0.5)
        self.crash(nodes[2], make_prompt("a"))
        for node in nodes:
            self.assertTrue(self.is_refused(node, "a", "bad"))
            self.assertFalse(self.is_refused(node, "a"))

    def test_answer_ends_a_wrong_quarantine_on_all_nodes(self):
        nodes = self.make_nodes(3)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("unlucky"))
        self.exchange(nodes)
        self.assertTrue(self.is_refused(nodes[2], "unlucky"))
        self.clock.advance(0.5)
        self.answer(nodes[1], "unlucky")
        self.exchange(nodes)
        self.exchange(nodes)
        for node in nodes:
            self.assertFalse(self.is_refused(node, "unlucky"))

    def test_node_that_was_cut_off_does_not_bring_back_a_quarantine(self):
        nodes = self.make_nodes(3)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("unlucky"))
        self.exchange(nodes)
        self.clock.advance(1)
        self.answer(nodes[1], "unlucky")
        self.exchange(nodes[:2])
        self.clock.advance(30)
        self.exchange(nodes)
        self.exchange(nodes)
        for node in nodes:
            self.assertFalse(self.is_refused(node, "unlucky"))

    def test_proven_segment_is_not_refused_when_many_engines_crash_at_once(
        self,
    ):
        nodes = self.make_nodes(2)
        self.answer(nodes[0], "popular")
        self.clock.advance(1)
        for _ in range(40):
            self.crash_at_once(nodes[1], make_prompt("popular"))
        self.clock.advance(SETTLE_TIME.total_seconds())
        self.assertTrue(self.is_refused(nodes[1], "popular"))
        self.exchange(nodes)
        self.assertFalse(self.is_refused(nodes[0], "popular"))
        self.exchange(nodes)
        self.assertFalse(self.is_refused(nodes[1], "popular"))

    def test_segment_that_turns_harmful_is_refused(self):
        nodes = self.make_nodes(2)
        self.answer(nodes[0], "popular")
        self.exchange(nodes)
        self.clock.advance(RELAPSE_TIME.total_seconds())
        for _ in range(RELAPSE_THRESHOLD):
            self.crash(nodes[0], make_prompt("popular"))
        self.exchange(nodes)
        self.assertTrue(self.is_refused(nodes[1], "popular"))

    def test_quarantine_ends_and_one_more_crash_renews_it(self):
        nodes = self.make_nodes(2)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("bad"))
        for _ in range(int(QUARANTINE_TIME.total_seconds()) + 5):
            # Heartbeats that take long must not prolong it.
            self.exchange(nodes)
            self.clock.advance(1)
        self.assertFalse(self.is_refused(nodes[0], "bad"))
        self.assertFalse(self.is_refused(nodes[1], "bad"))
        self.crash(nodes[1], make_prompt("bad"))
        self.exchange(nodes)
        self.assertTrue(self.is_refused(nodes[0], "bad"))

    def test_delayed_heartbeats_do_not_prolong_a_quarantine(self):
        nodes = self.make_nodes(2)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("bad"))
        for number in range(int(QUARANTINE_TIME.total_seconds()) + 5):
            news = nodes[number % 2].list_for_broadcast()
            self.clock.advance(1)
            nodes[1 - number % 2].merge(news, "peer")
        self.assertFalse(self.is_refused(nodes[0], "bad"))

    def test_single_requests_are_let_through_at_growing_intervals(self):
        scheduler, node = self.make_nodes(2)
        for _ in range(CRASH_THRESHOLD):
            self.crash(scheduler, make_prompt("bad"))
        trials = []
        for step in range(600):
            self.exchange([scheduler, node])
            verdict = node.find_verdict(make_prompt("bad"))
            # Several requests come at once; the scheduler lets one through.
            granted = [
                scheduler.grant_trial(verdict.quarantined)
                for _ in range(5 if verdict.is_trial_due else 0)
            ]
            if any(granted):
                trials.append(step / 10)
                self.assertEqual(1, sum(granted))
            self.clock.advance(0.1)
        self.assertEqual(2, len(trials), trials)
        self.assertLess(trials[0], 2.5)

    def test_request_lost_with_the_harmful_one_does_not_hide_it(self):
        """Both were lost in each crash, in runs of their own."""
        (node,) = self.make_nodes(1)
        for _ in range(CRASH_THRESHOLD):
            self.crash(node, make_prompt("sound"), make_prompt("bad"))
        self.assertTrue(self.is_refused(node, "sound"))
        self.assertTrue(self.is_refused(node, "bad"))
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.assertTrue(node.grant_trial(make_prompt("sound")))
        self.answer(node, "sound")
        self.assertFalse(self.is_refused(node, "sound"))
        self.assertTrue(self.is_refused(node, "bad"))

    def test_new_scheduler_knows_of_earlier_trials(self):
        nodes = self.make_nodes(2)
        for _ in range(CRASH_THRESHOLD):
            self.crash(nodes[0], make_prompt("bad"))
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.exchange(nodes)
        quarantined = make_prompt("bad")
        self.assertTrue(nodes[0].grant_trial(quarantined))
        self.exchange(nodes)
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.assertFalse(nodes[1].grant_trial(quarantined))
        self.assertFalse(nodes[1].find_verdict(quarantined).is_trial_due)

    def test_trial_prefers_a_request_without_another_suspect(self):
        (node,) = self.make_nodes(1)
        for number in range(CRASH_THRESHOLD):
            self.crash(node, make_prompt("common", f"other-{number}"))
        self.clock.advance(TRIAL_DELAY.total_seconds())

        def is_due(*segments):
            return node.find_verdict(make_prompt(*segments)).is_trial_due

        self.assertFalse(is_due("common", "other-0"))
        self.assertTrue(is_due("common", "new"))
        # It must not wait for one forever.
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.assertTrue(is_due("common", "other-0"))

    def test_requests_in_two_quarantines_are_tried_too(self):
        (node,) = self.make_nodes(1)
        for _ in range(CRASH_THRESHOLD):
            self.crash(node, make_prompt("a"), make_prompt("b"))
        both = make_prompt("a", "b")
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.assertFalse(node.find_verdict(both).is_trial_due)
        self.clock.advance(TRIAL_DELAY.total_seconds())
        self.assertTrue(node.find_verdict(both).is_trial_due)

    def test_refuted_verdict_lets_the_crashes_show_the_culprit(self):
        (node,) = self.make_nodes(1)
        for _ in range(2):
            self.crash(node, make_prompt("common", "bad"))
        self.crash(node, make_prompt("common"))
        self.assertTrue(self.is_refused(node, "common"))
        self.crash(node, make_prompt("common", "bad"))
        self.answer(node, "common")
        self.clock.advance(SETTLE_TIME.total_seconds())
        self.assertFalse(self.is_refused(node, "common"))
        self.assertTrue(self.is_refused(node, "common", "bad"))

    def test_segment_is_judged_for_each_service(self):
        (node,) = self.make_nodes(1)
        for _ in range(CRASH_THRESHOLD):
            self.crash(node, make_prompt("bad"))
        self.assertIsNone(
            node.find_verdict(make_prompt("bad", service="other"))
        )

    def test_memory_and_messages_are_bounded(self):
        (node,) = self.make_nodes(1)
        for number in range(2 * MAX_CRASHES):
            prompts = [
                make_prompt(*(f"{number}-{run}-{s}" for s in range(40)))
                for run in range(40)
            ]
            self.crash(node, *prompts)
        for number in range(40):
            for _ in range(CRASH_THRESHOLD):
                self.crash(node, make_prompt(f"bad-{number}"))
        empty = encode_heartbeat(make_heartbeat(make_node("n")))
        full = encode_heartbeat(
            make_heartbeat(make_node("n"), quarantine=node.list_for_broadcast())
        )
        self.assertLess(len(full) - len(empty), MAX_NEWS_BYTES)
        self.assertLessEqual(len(node._crashes), MAX_CRASHES)

    def test_fleet_under_loss_refuses_only_the_harmful_segment(self):
        for seed in range(10):
            self.play_fleet(seed)

    def play_fleet(self, seed):
        """Plays 8 nodes that lose a fifth of their heartbeats."""
        rng = random.Random(seed)
        nodes = self.make_nodes(8)
        common = [f"{seed}-c{index}" for index in range(3)]
        rare = [f"{seed}-r{index}" for index in range(30)]
        late_harm = 0
        crashes = 0
        for step in range(120):
            self.clock.advance(0.25)
            node = rng.choice(nodes)
            for _ in range(2):
                segments = (rng.choice(common), rng.choice(rare))
                if not self.is_refused(node, *segments):
                    self.answer(rng.choice(nodes), *segments)
            if step >= 20 and step % 2 == 0:
                segments = (rng.choice(common), rng.choice(rare), "bad")
                if not self.is_refused(node, *segments):
                    late_harm += crashes >= 5
                    crashes += 1
                    others = [
                        make_prompt(rng.choice(common), rng.choice(rare))
                        for _ in range(rng.randrange(3))
                    ]
                    self.crash(node, make_prompt(*segments), *others)
            self.exchange(nodes, loss=0.2, rng=rng)
        self.assertLessEqual(late_harm, 3, seed)
        for node in nodes:
            self.assertTrue(self.is_refused(node, common[0], "bad"), seed)
            for segment in common + rare:
                self.assertFalse(self.is_refused(node, segment), seed)
