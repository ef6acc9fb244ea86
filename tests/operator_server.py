"""Serves the operators' RPCs on loopback from a thread for tests."""

import hashlib
import ipaddress
import queue
import threading
from contextlib import contextmanager
from datetime import UTC, datetime, timedelta

import hypercorn.config
import hypercorn.trio
import trio
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PrivateFormat,
)
from cryptography.x509.oid import NameOID

from acaciarack.clock import SystemClock
from acaciarack.errors import Refusal, RefusalCode, RunOutcome
from acaciarack.observations import Attempt, RequestObservation
from acaciarack.operator_interfaces import (
    BurnReport,
    NodeStatus,
    Order,
    OrderState,
)
from acaciarack.operators import build_operator_mounts
from acaciarack.placement import Candidate, Placement
from acaciarack.publication import ConfigurationStore
from acaciarack.settings import OperatorKey
from acaciarack.web import App
from tests.test_changes import LossyLog, NoPeers

KEY = "operator-key"
OBSERVATION = RequestObservation(
    request_id="req-1",
    organisation="clinic",
    service="assistant",
    configuration_version=3,
    node="n1",
    arrived=datetime(2026, 1, 1, tzinfo=UTC),
    duration=timedelta(seconds=1.5),
    attempts=(
        Attempt(
            placement=Placement(
                target="e1",
                priority=-2,
                reserved_tokens=70,
                waited=timedelta(milliseconds=20),
                candidates=(
                    Candidate(
                        target="e1",
                        score=0.5,
                        free_tokens=900.0,
                        report_age=timedelta(seconds=0.25),
                    ),
                    Candidate(
                        target="e2",
                        score=1.0,
                        free_tokens=0.0,
                        report_age=None,
                        rejected="leaving",
                    ),
                ),
            ),
            refusal=Refusal(
                code=RefusalCode.TARGET_FAILED,
                outcome=RunOutcome.UNKNOWN,
                detail="the engine closed the stream",
                retry_after=timedelta(seconds=3),
            ),
            tokens=12,
        ),
    ),
    tokens=12,
)


class MemoryServices:
    """In-memory orders, nodes, explanations and reports."""

    def __init__(self):
        self.orders = {}

    def list_nodes(self):
        status = NodeStatus(
            name="n1",
            state="live",
            data_centre="oslo-a",
            address="127.0.0.1:8080",
            configuration_version=7,
        )
        return (status,)

    async def submit(self, request, *, author):
        order_id = f"o{len(self.orders) + 1}"
        order = Order(
            id=order_id,
            request=request,
            state=OrderState.PENDING,
            author=author,
        )
        self.orders[order_id] = order
        return order

    async def get(self, order_id):
        return self.orders.get(order_id)

    async def list_orders(self, *, target, limit):
        return tuple(self.orders.values())[:limit]

    async def explain(self, request_id):
        return OBSERVATION if request_id == "req-1" else None

    async def report(self, *, service, organisation):
        return BurnReport(time=OBSERVATION.arrived, missing=("hamar-c",))


async def _serve(ports, stop, *, with_services, certificate):
    log = LossyLog(clock=SystemClock())
    store = ConfigurationStore(
        log=log,
        clock=SystemClock(),
        peers=NoPeers(),
        policies=["p1", "p2"],
        publish_timeout=timedelta(seconds=1),
    )
    services = MemoryServices() if with_services else None
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    mounts = build_operator_mounts(
        publisher=store,
        keys=[OperatorKey(name="ann", key_hash=key_hash)],
        directory=services,
        orders=services,
        explanations=services,
        burn=services,
    )
    config = hypercorn.config.Config()
    config.bind = ["127.0.0.1:0"]
    config.graceful_timeout = 0.2
    config.errorlog = None
    if certificate is not None:
        config.certfile, config.keyfile = map(str, certificate)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store.run)
        binds = await nursery.start(
            lambda task_status: hypercorn.trio.serve(
                App(mounts=mounts),
                config,
                shutdown_trigger=stop.wait,
                task_status=task_status,
            )
        )
        await store.wait_until_ready()
        ports.put_nowait(int(binds[0].rsplit(":", 1)[1]))
        await stop.wait()
        nursery.cancel_scope.cancel()


@contextmanager
def serve_operators(*, with_services=True, certificate=None):
    """Runs a server during the ``with`` block and yields its port."""
    ports = queue.Queue()
    started = {}

    def run():
        async def main():
            started["stop"] = trio.Event()
            started["token"] = trio.lowlevel.current_trio_token()
            await _serve(
                ports,
                started["stop"],
                with_services=with_services,
                certificate=certificate,
            )

        trio.run(main)

    thread = threading.Thread(target=run)
    thread.start()
    port = ports.get(timeout=20)
    try:
        yield port
    finally:
        trio.from_thread.run_sync(
            started["stop"].set, trio_token=started["token"]
        )
        thread.join(20)


def make_certificate(folder):
    """Writes a self-signed loopback certificate and key; returns both paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "loopback")])
    now = datetime.now(UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(hours=1))
        .not_valid_after(now + timedelta(hours=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    files = folder / "node.pem", folder / "node.key"
    files[0].write_bytes(certificate.public_bytes(Encoding.PEM))
    files[1].write_bytes(
        key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, serialization.NoEncryption()
        )
    )
    return files
