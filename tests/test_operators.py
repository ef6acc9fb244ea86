"""The operators' RPCs over the command line and a standard gRPC client."""

import contextlib
import io
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from unittest import mock

import grpc
from cleo.io.outputs.stream_output import StreamOutput

from acaciarack import __main__ as program
from acaciarack._commands_client import KEY_VARIABLE, ExitCode
from acaciarack._commands_table import list_calls
from acaciarack._schema import operators_pb as pb
from acaciarack.commands import run_command
from tests.operator_server import KEY, make_certificate, serve_operators
from tests.support import TestCase

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETUP_COMMANDS = """
organisation create clinic --share 2 --max-in-flight 50
service create assistant --kind generation --delivery whole --ttft-seconds 3
choice create all --service assistant --model rettleiar --model-version 3
route create all --service assistant --pool engines --policy p1
target create e1 --kind engine --host 127.0.0.1 --port 9001 \
 --data-centre oslo-a --pool engines --checks-fencing true
"""


class OperatorRpcsTest(TestCase):
    def setUp(self):
        super().setUp()
        patch = mock.patch.dict(os.environ, {KEY_VARIABLE: KEY})
        patch.start()
        self.addCleanup(patch.stop)

    def serve(self, **options):
        server = serve_operators(**options)
        self.address = f"127.0.0.1:{server.__enter__()}"
        self.addCleanup(server.__exit__, None, None, None)

    def command(self, line, *, code=ExitCode.DONE, output="json"):
        out, err = io.StringIO(), io.StringIO()
        words = [*line.split(), "--address", self.address, "--output", output]
        exit_code = run_command(
            words, output=StreamOutput(out), error_output=StreamOutput(err)
        )
        self.assertEqual(code, exit_code, f"{line}: {err.getvalue()}")
        if code is not ExitCode.DONE:
            return err.getvalue()
        return json.loads(out.getvalue()) if output == "json" else out

    def create_objects(self):
        for line in SETUP_COMMANDS.strip().splitlines():
            self.command(line)

    def test_every_rpc_is_a_command(self):
        self.assertEqual(
            {
                f"{service.name}.{method.name}"
                for service in pb.desc().services
                for method in service.methods
            },
            {
                f"{call.client.__name__.removesuffix('ClientSync')}."
                + "".join(part.title() for part in call.method.split("_"))
                for call in list_calls()
            },
        )

    def test_objects_from_creation_to_deletion(self):
        self.serve()
        self.create_objects()
        shown = self.command("configuration show")
        self.assertEqual("5", shown["version"])
        service = shown["services"][0]
        self.assertEqual("DELIVERY_WHOLE", service["delivery"])
        self.assertEqual(3.0, service["objectives"]["ttft_seconds"])
        self.assertEqual(0.047, service["objectives"]["token_gap_seconds"])
        self.assertTrue(shown["targets"][0]["checks_fencing"])
        self.command("organisation update clinic --share 5")
        clinic = self.command("organisation get clinic")
        self.assertEqual((5.0, 50), (clinic["share"], clinic["max_in_flight"]))
        self.command("target drain e1")
        self.command("node drain n1")
        shown = self.command("configuration show")
        self.assertTrue(shown["targets"][0]["drained"])
        self.assertTrue(shown["nodes"][0]["drained"])
        self.command("route delete all")
        self.command("route get all", code=ExitCode.NOT_FOUND)
        page = self.command("target list --limit 1")
        self.assertEqual(["e1"], [item["name"] for item in page["objects"]])
        history = self.command("configuration history --limit 2")
        self.assertEqual(
            [["-route/all"], ["node/n1"]],
            [entry["edits"] for entry in history["entries"]],
        )
        self.assertEqual("ann", history["entries"][0]["author"])

    def test_keys_are_shown_once(self):
        self.serve()
        self.command("organisation create clinic")
        issued = self.command("organisation issue-key clinic")
        self.assertTrue(issued["key"].startswith("ack_"))
        clinic = self.command("organisation get clinic")
        self.assertEqual([issued["key_hash"]], clinic["key_hashes"])
        self.assertNotIn(issued["key"], json.dumps(clinic))
        prefix = issued["key_hash"][:8]
        line = "organisation revoke-key clinic "
        self.command(line + "ffff", code=ExitCode.NOT_FOUND)
        self.command(line + prefix)
        clinic = self.command("organisation get clinic")
        self.assertEqual([], clinic["key_hashes"])

    def test_each_class_of_error_has_its_exit_code(self):
        self.serve(with_services=False)
        self.create_objects()
        cases = {
            "service create assistant --kind plain": ExitCode.CONFLICT,
            "service create a --kind plan": ExitCode.USAGE,
            "service create a": ExitCode.INVALID,
            "service delete assistant": ExitCode.INVALID,
            "service update none --kind plain": ExitCode.NOT_FOUND,
            "organisation create Clinic": ExitCode.INVALID,
            "target drain e1 --base-version 1": ExitCode.CONFLICT,
            "route create b --service assistant --organisation clinic"
            " --pool a --policy p9": ExitCode.INVALID,
            "organisation delete clinic --base-version 99": (
                ExitCode.UNAVAILABLE
            ),
            "explain req-1": ExitCode.UNIMPLEMENTED,
            "order submit e1 --kind load": ExitCode.UNIMPLEMENTED,
            "service list --limit=-1": ExitCode.INVALID,
            "service wipe": ExitCode.USAGE,
        }
        for line, code in cases.items():
            self.assertNotEqual("", self.command(line, code=code))
        with mock.patch.dict(os.environ, {KEY_VARIABLE: "other"}):
            self.command("service list", code=ExitCode.UNAUTHENTICATED)
        with mock.patch.dict(os.environ, {KEY_VARIABLE: ""}):
            self.command("service list", code=ExitCode.USAGE)

    def test_drafts_are_applied_completely_or_not_at_all(self):
        self.serve()
        self.create_objects()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "draft.json"
        edits = [
            {"organisation": {"name": "gym", "share": 0.0}},
            {"deletion": {"kind": "OBJECT_KIND_SERVICE", "name": "assistant"}},
        ]
        path.write_text(json.dumps({"edits": edits}))
        faults = self.command(f"configuration validate {path}")["faults"]
        self.assertEqual(
            ["organisation/gym", "model_choice/all", "route/all"],
            [fault["object"] for fault in faults],
        )
        line = f"configuration publish {path}"
        error = self.command(line, code=ExitCode.INVALID)
        self.assertIn("share is 0.0; allowed: from 0.001 to 1000", error)
        edits[0]["organisation"]["share"] = 1.0
        edits[1] = {"deletion": {"kind": "OBJECT_KIND_ROUTE", "name": "all"}}
        path.write_text(json.dumps({"edits": edits, "baseVersion": "5"}))
        self.assertEqual("6", self.command(line)["version"])
        self.command(line, code=ExitCode.CONFLICT)
        path.write_text("{")
        self.command(line, code=ExitCode.USAGE)

    def test_reports_orders_and_nodes(self):
        self.serve()
        self.create_objects()
        found = self.command("explain req-1")
        attempt = found["attempts"][0]
        ages = [
            candidate.get("report_age_seconds")
            for candidate in attempt["placement"]["candidates"]
        ]
        self.assertEqual([0.25, None], ages)
        self.assertEqual("RUN_OUTCOME_UNKNOWN", attempt["refusal"]["outcome"])
        self.assertEqual(3.0, attempt["refusal"]["retry_after_seconds"])
        self.assertEqual("2026-01-01T00:00:00Z", found["arrived"])
        text = self.command("explain req-1", output="text").getvalue()
        self.assertIn("rejected: leaving", text)
        self.command("explain req-2", code=ExitCode.NOT_FOUND)
        line = "order submit e1 --kind load --model rettleiar --model-version 4"
        order = self.command(line)
        self.assertEqual("ORDER_STATE_PENDING", order["state"])
        self.assertEqual("4", order["request"]["version"])
        self.assertEqual(order, self.command(f"order get {order['id']}"))
        self.assertEqual([order], self.command("order list")["orders"])
        nodes = self.command("configuration nodes")["nodes"]
        self.assertEqual("7", nodes[0]["configuration_version"])
        self.assertEqual(["hamar-c"], self.command("report burn")["missing"])

    def test_standard_grpc_client(self):
        self.serve()
        with grpc.insecure_channel(self.address) as channel:
            create = channel.unary_unary(
                "/acaciarack.v1.Organisations/Create",
                request_serializer=pb.OrganisationRequest.to_binary,
                response_deserializer=pb.ChangeReply.from_binary,
            )
            request = pb.OrganisationRequest(
                object=pb.Organisation(name="clinic")
            )
            key = (("authorization", f"Bearer {KEY}"),)
            reply = create(request, metadata=key, timeout=10)
            self.assertEqual(1, reply.version)
            for metadata, code in (
                (key, grpc.StatusCode.ALREADY_EXISTS),
                ((), grpc.StatusCode.UNAUTHENTICATED),
            ):
                error = self.assertRaises(
                    grpc.RpcError,
                    create,
                    request,
                    metadata=metadata,
                    timeout=10,
                )
                self.assertEqual(code, error.code())

    def test_commands_over_tls(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        files = make_certificate(pathlib.Path(folder.name))
        other = pathlib.Path(folder.name) / "other"
        other.mkdir()
        self.serve(certificate=files)
        self.command(f"organisation create clinic --ca {files[0]}")
        wrong = make_certificate(other)[0]
        for options in ("", f" --ca {wrong}"):
            line = "organisation list" + options
            self.command(line, code=ExitCode.UNAVAILABLE)

    def test_schema_is_documented_and_generated_code_is_current(self):
        buf = pathlib.Path(sys.executable).parent / "buf"
        path = f"{buf.parent}:{os.environ['PATH']}"
        environment = {**os.environ, "PATH": path}
        with tempfile.TemporaryDirectory() as folder:
            for step in (["lint"], ["generate", "--output", folder]):
                done = subprocess.run(
                    [buf, *step],
                    cwd=ROOT,
                    env=environment,
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual(0, done.returncode, done.stdout + done.stderr)
            schema = pathlib.Path("src/acaciarack/_schema")
            for name in ("operators_pb.py", "operators_connect.py"):
                generated = (pathlib.Path(folder) / schema / name).read_text()
                committed = (ROOT / schema / name).read_text()
                self.assertEqual(
                    generated, committed, f"{name}: run buf generate"
                )

    def test_settings_are_checked(self):
        for name, code in (
            ("examples/coulee.toml", ExitCode.DONE),
            ("pyproject.toml", ExitCode.INVALID),
        ):
            out, err = io.StringIO(), io.StringIO()
            exit_code = run_command(
                ["settings", "check", str(ROOT / name)],
                output=StreamOutput(out),
                error_output=StreamOutput(err),
            )
            self.assertEqual(code, exit_code)
            shown = out if code is ExitCode.DONE else err
            self.assertIn(name, shown.getvalue())

    def test_node_command_does_not_import_the_cli(self):
        code = (
            "import sys; from acaciarack.__main__ import main;"
            "code = main(['node', '--settings', '/nonexistent.toml']);"
            "sys.exit('cleo' in sys.modules or 'pyqwest' in sys.modules"
            " or code != 6)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=False
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn(b"nonexistent.toml", done.stderr)
        with contextlib.redirect_stdout(io.StringIO()) as out:
            code = program.main(["service", "create", "--help"])
        self.assertEqual(ExitCode.DONE, code)
        self.assertIn("30 if absent", out.getvalue())
