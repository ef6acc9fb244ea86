"""What 195 and 330 nodes know in time, and what that costs in bytes.

Plays the intervals of ``gateway.peers.peer_table``: news goes to all nodes at
once, other heartbeats to those of the data centre or of the fleet at their own
intervals.
"""

import random
from datetime import timedelta

from acaciarack.gateway.evidence.request_quarantine import RequestQuarantine
from acaciarack.gateway.peers.messages import decode_heartbeat, encode_heartbeat
from acaciarack.gateway.peers.peer_table import (
    FAR_INTERVAL_PER_PEER,
    NEAR_INTERVAL_PER_PEER,
)
from acaciarack.gateway.peers.state_sync import (
    NEWS_REPEAT_INTERVAL,
    NEWS_REPEATS,
    QUARANTINE_PERIOD,
)
from acaciarack.gateway.targets.lifetimes import TargetLifetime
from acaciarack.gateway.targets.rate_limits import RateLimits
from tests.support import TestCase
from tests.test_gateway_peers import make_heartbeat, make_node
from tests.test_request_quarantine import ManualClock, make_prompt

CONTACT_SECONDS = 3.0
"""Stated time within which all nodes share what one of them knows."""
MAX_BYTES_PER_SECOND = 11_000
"""Stated limit of what a node spends for control."""
LOSS = 0.03
DELAY_SECONDS = 0.03
"""Time until news is sent: the minimum gap between two heartbeats."""
NEWS_REPEAT_SECONDS = NEWS_REPEAT_INTERVAL.total_seconds()
DATA_CENTRES = 9


class Node:
    """One node with the state that heartbeats carry."""

    def __init__(self, clock, number):
        self.quarantine = RequestQuarantine(clock=clock)
        self.limits = RateLimits(clock=clock)
        self.data_centre = number % DATA_CENTRES
        self.has_news = False
        self.quarantine.subscribe(self.trigger)
        self.limits.subscribe(self.trigger)
        self.repeats_left = 0
        self.sequence = number
        self.near_due = self.far_due = 0.0
        self.sent_bytes = 0

    def trigger(self):
        self.has_news = True
        self.repeats_left = NEWS_REPEATS


class LargeFleet:
    """Nodes that exchange heartbeats in steps of ``DELAY_SECONDS``."""

    def __init__(self, count, seed):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.nodes = [Node(self.clock, number) for number in range(count)]
        self.near = (
            NEAR_INTERVAL_PER_PEER * (count // DATA_CENTRES)
        ).total_seconds()
        self.far = (FAR_INTERVAL_PER_PEER * count).total_seconds()
        for node in self.nodes:
            node.near_due = self.rng.uniform(0, self.near)
            node.far_due = self.rng.uniform(0, self.far)

    def step(self):
        self.clock.advance(DELAY_SECONDS)
        now = self.clock.elapsed().total_seconds()
        for sender in self.nodes:
            is_far = sender.has_news or now >= sender.far_due
            if is_far or now >= sender.near_due:
                self._send(sender, is_far)
                sender.near_due = now + self.near
            if is_far:
                sender.far_due = now + self.far
                if sender.repeats_left:
                    sender.repeats_left -= 1
                    sender.far_due = now + NEWS_REPEAT_SECONDS

    def play(self, seconds):
        for _ in range(round(seconds / DELAY_SECONDS)):
            self.step()

    def _send(self, sender, is_far):
        sender.sequence += 1
        with_quarantines = (
            sender.has_news or sender.sequence % QUARANTINE_PERIOD == 0
        )
        sender.has_news = False
        base = make_heartbeat(make_node("n"))
        heartbeat = make_heartbeat(
            make_node("n"),
            quarantine=sender.quarantine.list_for_broadcast(
                with_quarantines=with_quarantines
            ),
            limits=sender.limits.list_for_broadcast(),
        )
        data = encode_heartbeat(heartbeat)
        extra = len(data) - len(encode_heartbeat(base))
        news = decode_heartbeat(data) if extra else None
        for node in self.nodes:
            if node is sender or not (
                is_far or node.data_centre == sender.data_centre
            ):
                continue
            sender.sent_bytes += extra
            if news is not None and self.rng.random() >= LOSS:
                node.quarantine.merge(news.quarantine, "n")
                node.limits.merge(news.limits)


class LargeFleetTest(TestCase):
    def play_crashes(self, count):
        fleet = LargeFleet(count, seed=count)
        for number in range(5):
            node = fleet.rng.choice(fleet.nodes)
            target = TargetLifetime(id=f"engine-{number}", born=1)
            node.quarantine.record_crash(target, [make_prompt("bad")])
            fleet.play(0.5)
        fleet.play(CONTACT_SECONDS - 0.5)
        lacking = [
            node
            for node in fleet.nodes
            if node.quarantine.find_verdict(make_prompt("bad")) is None
        ]
        self.assertEqual([], lacking)
        for node in fleet.nodes:
            node.sent_bytes = 0
        fleet.play(20)
        most = max(node.sent_bytes for node in fleet.nodes) / 20
        self.assertLess(most, MAX_BYTES_PER_SECOND / 10)

    def test_harmful_segment_is_known_to_195_nodes_in_time(self):
        self.play_crashes(195)

    def test_harmful_segment_is_known_to_330_nodes_in_time(self):
        self.play_crashes(330)

    def play_limit(self, count):
        fleet = LargeFleet(count, seed=count)
        target = TargetLifetime(id="app-1", born=1)
        for rate in (2.0, None):
            node = fleet.rng.choice(fleet.nodes)
            node.limits.observe(target, rate, fleet.clock.elapsed())
            fleet.play(CONTACT_SECONDS)
            lacking = [
                node
                for node in fleet.nodes
                if node.limits.is_limited(target) != (rate is not None)
            ]
            self.assertEqual([], lacking)

    def test_limit_and_its_end_are_known_to_330_nodes_in_time(self):
        self.play_limit(330)

    def test_node_that_missed_the_news_learns_from_its_data_centre(self):
        fleet = LargeFleet(330, seed=1)
        for number in range(3):
            target = TargetLifetime(id=f"engine-{number}", born=1)
            fleet.nodes[0].quarantine.record_crash(target, [make_prompt("bad")])
            fleet.play(0.5)
        restarted = fleet.nodes[-1]
        restarted.quarantine = RequestQuarantine(clock=fleet.clock)
        fleet.play(CONTACT_SECONDS)
        verdict = restarted.quarantine.find_verdict(make_prompt("bad"))
        self.assertGreater(verdict.time_left, timedelta(minutes=4))
