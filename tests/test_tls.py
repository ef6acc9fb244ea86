"""TLS on listeners and links, and reloading of certificates."""

import contextlib
import datetime
import ipaddress
import os
import pathlib
import ssl
import tempfile

import httpcore
import trio
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from acaciarack.certificates import CertificateReloader
from acaciarack.clock import SystemClock
from acaciarack.settings import TlsFiles
from acaciarack.tls import TlsError, build_server_context
from acaciarack_bench.deployment import DeploymentPlan, open_deployment
from tests.support import TestCase

LINK_TIMEOUT_SECONDS = 10
HOSTS = ("127.0.0.1", "127.0.0.2")


def write_certificate(directory, serial):
    """Writes a self-signed certificate and its key; returns their paths."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, f"node-{serial}")]
    )
    now = datetime.datetime.now(datetime.UTC)
    addresses = [x509.IPAddress(ipaddress.ip_address(h)) for h in HOSTS]
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(serial)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName(addresses), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
        .sign(key, hashes.SHA256())
    )
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    secret = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    (directory / "node.pem").write_bytes(pem)
    (directory / "node.key").write_bytes(secret)
    return TlsFiles(
        certificate=str(directory / "node.pem"),
        key=str(directory / "node.key"),
        ca=str(directory / "node.pem"),
    )


class TlsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(
            self.enterContext(tempfile.TemporaryDirectory())
        )
        self.files = write_certificate(self.directory, 1)

    def build_client(self):
        context = ssl.create_default_context(cafile=self.files.ca)
        context.load_cert_chain(self.files.certificate, self.files.key)
        return context

    def test_callers_and_links_use_tls(self):
        async def run():
            plan = DeploymentPlan(
                nodes=2, engines=1, applications=0, tls=self.files
            )
            async with open_deployment(plan, clock=SystemClock()) as deployment:
                node, other = deployment.nodes
                with trio.fail_after(LINK_TIMEOUT_SECONDS):
                    while not node.cluster.links.list_linked_peers():  # noqa: ASYNC110
                        await trio.sleep(0.05)
                linked = node.cluster.links.list_linked_peers()[0].node
                pool = httpcore.AsyncConnectionPool(
                    ssl_context=self.build_client()
                )
                url = f"https://127.0.0.1:{node.caller_port}/v1/entries"
                response = await pool.request("GET", url)
                await pool.aclose()
                plain = httpcore.AsyncConnectionPool()
                with contextlib.suppress(
                    httpcore.RemoteProtocolError,
                    httpcore.ReadError,
                    httpcore.ConnectError,
                ):
                    await plain.request("GET", url.replace("https", "http"))
                    self.fail("plain HTTP was answered")
                return linked, other.identity.node, response.status

        linked, name, status = self.run_real(run)
        self.assertEqual((name, 200), (linked, status))

    def read_serial(self, context):
        """Returns the serial number of the server's certificate.

        Runs the TLS handshake in memory.
        """
        client_in, client_out = ssl.MemoryBIO(), ssl.MemoryBIO()
        client = self.build_client().wrap_bio(
            client_in, client_out, server_hostname="127.0.0.1"
        )
        server = context.wrap_bio(client_out, client_in, server_side=True)
        for side in (client, server, client, server):
            with contextlib.suppress(ssl.SSLWantReadError):
                side.do_handshake()
        certificate = client.getpeercert(binary_form=True)
        return x509.load_der_x509_certificate(certificate).serial_number

    def test_replaced_certificate_is_used_without_a_restart(self):
        context = build_server_context(self.files)
        reloader = CertificateReloader(
            context=context, files=self.files, clock=self.make_clock()
        )
        self.assertEqual(1, self.read_serial(context))
        self.assertFalse(reloader.check())
        write_certificate(self.directory, 2)
        os.utime(self.files.certificate, ns=(1, 1))
        self.assertTrue(reloader.check())
        self.assertEqual(2, self.read_serial(context))

    def test_malformed_certificate_keeps_the_previous_one(self):
        context = build_server_context(self.files)
        reloader = CertificateReloader(
            context=context, files=self.files, clock=self.make_clock()
        )
        client = self.build_client()
        pathlib.Path(self.files.certificate).write_text("damaged")
        os.utime(self.files.certificate, ns=(1, 1))
        self.assertFalse(reloader.check())
        self.build_client = lambda: client
        self.assertEqual(1, self.read_serial(context))

    def test_error_names_the_malformed_file(self):
        pathlib.Path(self.files.key).write_text("damaged")
        error = self.assertRaises(TlsError, build_server_context, self.files)
        self.assertIn(self.files.key, str(error))
