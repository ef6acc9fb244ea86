"""Load digests: choice of watchers, reports at peers, and control traffic."""

import collections
from datetime import timedelta

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from acaciarack.load_digests import (
    Digests,
    DigestSummary,
    LoadedModelTable,
    Reservation,
    Reservations,
    TargetDigest,
    compute_digest_period,
    compute_target_summary_period,
    decode_loaded_models,
    decode_report,
    encode_report,
    hash_name,
    map_names,
)
from acaciarack.load_report_store import AgedReport, LoadReportStore
from acaciarack.loads import LoadedModel, LoadReport
from acaciarack.member_states import MemberState
from acaciarack.membership import HEARTBEAT_INTERVAL
from acaciarack.membership_messages import (
    CONFIGURATION_DIGEST_BYTES,
    Heartbeat,
    NodeNews,
    NodeSummary,
    Standing,
    compute_summary_period,
)
from acaciarack.messages import Frame, FrameDecoder, MessageCodec, Purpose
from tests.deployment import MODELS
from tests.memory_network import make_identity
from tests.support import EPOCH, TestCase
from tests.test_membership import DeploymentCase

NODES, TARGETS, DATA_CENTRES = 330, 600, 9
LOCAL_NODES, LOCAL_TARGETS = 37, 67
MODELS_IN_USE = 6
MAX_CONTROL_BYTES_PER_SECOND = 11_000
COUNTS = st.integers(0, 2**40)
REPORTS = st.builds(
    LoadReport,
    target=st.sampled_from(["rettleiar-1", "stress-llm-2"]),
    time=st.just(EPOCH),
    capacity_tokens=COUNTS,
    used_tokens=COUNTS,
    running=COUNTS,
    waiting=COUNTS,
    preemptions=COUNTS,
    step_seconds=st.integers(0, 10**7).map(lambda n: n / 10**6),
    loaded=st.lists(
        st.builds(LoadedModel, model=st.text(), version=st.text()), max_size=2
    ).map(tuple),
    leaving=st.booleans(),
)


def measure_frame(message):
    codec = MessageCodec()
    codec.register(type(message))
    return len(codec.encode(Frame(purpose=Purpose.POST, message=message)))


def make_digest(number):
    return TargetDigest(
        key=2**32 - 1 - number,
        age=900,
        capacity=450_000,
        used=400_000 + number,
        running=200,
        waiting=100,
        preemptions=100_000,
        step=45_000,
        flags=0,
        reserved=300_000,
        loaded=3,
    )


def make_news(number):
    return NodeNews(
        identity=make_identity(
            number + 100,
            data_centre="saskatoon-b",
            incarnation=1_800_000_000_000,
        ),
        standing=Standing(
            state=MemberState.LIVE,
            sequence=1,
            configuration_version=1_000_000,
            configuration_digest=bytes(CONFIGURATION_DIGEST_BYTES),
        ),
    )


class DigestTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(REPORTS, st.integers(0, 60_000))
    def test_encoded_report_decodes_to_the_same_report(
        self, report, milliseconds
    ):
        age = timedelta(milliseconds=milliseconds)
        table = LoadedModelTable()
        table.add(MODELS)
        digest = encode_report(
            report, age=age, reserved=7, loaded=table.add(report.loaded)
        )
        codec = MessageCodec()
        codec.register(Digests)
        message = Digests(targets=(digest,), models=table.build_models())
        frame = Frame(purpose=Purpose.POST, message=message)
        (decoded,) = FrameDecoder().decode(codec.encode(frame))
        message = codec.decode(decoded.value).message
        decoded = decode_report(
            message.targets[0],
            target=report.target,
            now=EPOCH + age,
            loaded=decode_loaded_models(message, message.targets[0]),
        )
        self.assertEqual(report, decoded)

    def test_names_with_colliding_keys_are_omitted(self):
        by_key = {}
        for number in range(200_000):
            name = f"target-{number}"
            collision = by_key.setdefault(hash_name(name), name)
            if collision != name:
                break
        names = map_names(["rettleiar-1", name, collision])
        self.assertEqual(["rettleiar-1"], list(names.values()))

    def test_older_report_is_ignored(self):
        async def run():
            report_store = LoadReportStore(clock=self.make_clock())
            for seconds, used in ((1, 5), (2, 6), (0, 7)):
                report_store.update(
                    AgedReport(
                        report=LoadReport(
                            target="t",
                            time=EPOCH,
                            capacity_tokens=9,
                            used_tokens=used,
                            running=0,
                            waiting=0,
                        ),
                        age=timedelta(seconds=seconds),
                        reserved_elsewhere=0,
                        direct=True,
                    )
                )
                if seconds == 2:
                    self.assertEqual(
                        5, report_store.get("t").report.used_tokens
                    )
            await trio.sleep(4)
            self.assertEqual(7, report_store.get("t").report.used_tokens)
            self.assertEqual(timedelta(seconds=4), report_store.get("t").age)

        self.run_trio(run)


class ControlTrafficTest(TestCase):
    """Control traffic of one node at the planned size of a deployment.

    The unit is payload bytes per second.
    """

    def compute_rates(self):
        peers = LOCAL_NODES - 1
        digest_period = compute_digest_period(LOCAL_TARGETS).total_seconds()
        targets_per_node = -(-LOCAL_TARGETS // LOCAL_NODES)
        digests = Digests(
            targets=tuple(map(make_digest, range(targets_per_node)))
        )
        item = Reservation(key=2**32 - 1, tokens=300_000)
        reservations = Reservations(items=(item,) * targets_per_node)
        remote_targets = TARGETS * (DATA_CENTRES - 1) / DATA_CENTRES
        table = LoadedModelTable()
        for number in range(MODELS_IN_USE):
            name = f"stress-llm-{number}"
            table.add((LoadedModel(model=name, version="2026-01"),) * 3)
        models = table.build_models()
        summary = DigestSummary(
            data_centre="saskatoon-b",
            targets=tuple(map(make_digest, range(LOCAL_TARGETS))),
            models=models,
        )
        nodes = NodeSummary(
            data_centre="saskatoon-b",
            nodes=tuple(map(make_news, range(LOCAL_NODES))),
        )
        heartbeat = Heartbeat(standing=make_news(0).standing)
        models_bytes = measure_frame(
            Digests(targets=(), models=models)
        ) - measure_frame(Digests(targets=()))
        target_period = compute_target_summary_period(TARGETS).total_seconds()
        node_period = compute_summary_period(NODES).total_seconds()
        return {
            "heartbeats": peers
            * measure_frame(heartbeat)
            / HEARTBEAT_INTERVAL.total_seconds(),
            "digests": peers * measure_frame(digests) / digest_period,
            "loaded models": peers
            * targets_per_node
            * models_bytes
            / MODELS_IN_USE
            / 20,
            "reservations": peers * measure_frame(reservations) / digest_period,
            "target summaries": (remote_targets / LOCAL_TARGETS)
            * measure_frame(summary)
            / target_period,
            "node summaries": (DATA_CENTRES - 1)
            * measure_frame(nodes)
            / node_period,
        }

    def test_traffic_sent_and_received_is_below_the_limit(self):
        rates = self.compute_rates()
        total = 2 * sum(rates.values())
        text = ", ".join(f"{k} {v:.0f} B/s" for k, v in rates.items())
        self.assertLess(total, MAX_CONTROL_BYTES_PER_SECOND, text)


class LoadExchangeTest(DeploymentCase):
    def test_targets_have_two_watchers_and_all_nodes_get_reports(self):
        async def scenario(deployment):
            watched = collections.Counter()
            for node in deployment.nodes:
                watched.update(node.exchange.list_watched())
                for target in deployment.configuration.configuration.targets:
                    aged = node.report_store.get(target)
                    self.assertLess(aged.age, timedelta(seconds=3))
                    self.assertEqual(MODELS, aged.report.loaded)
                    self.assertEqual(50_000, aged.report.used_tokens)
            self.assertEqual({2}, set(watched.values()))
            self.assertEqual(6, len(watched))

        self.run_deployment(scenario)

    def test_reservations_of_other_nodes_are_summed(self):
        async def scenario(deployment):
            for number, node in enumerate(deployment.nodes):
                node.reserved["rettleiar-0"] = 100 * (number + 1)
            await trio.sleep(4)
            for number, node in enumerate(deployment.nodes):
                aged = node.report_store.get("rettleiar-0")
                others = 2100 - 100 * (number + 1)
                self.assertEqual(others, aged.reserved_elsewhere)

        self.run_deployment(scenario)

    def test_second_watcher_reports_after_loss_of_the_first(self):
        async def scenario(deployment):
            target = deployment.configuration.configuration.targets[
                "rettleiar-0"
            ]
            first = deployment.nodes[0].exchange._get_watchers(target)[0]
            lost_node = next(
                n for n in deployment.nodes if n.identity.node == first
            )
            lost_node.scope.cancel()
            deployment.nodes.remove(lost_node)
            for _ in range(100):
                await trio.sleep(0.1)
                for node in deployment.nodes:
                    aged = node.report_store.get("rettleiar-0")
                    self.assertLess(aged.age, timedelta(seconds=5))

        self.run_deployment(scenario, nodes=9)
