"""Tests the simulated VM list, weight store and application servers."""

import json
import subprocess
import sys
import uuid
from datetime import timedelta

import httpcore
import trio

from acaciarack.clock import SystemClock
from acaciarack.platform import PlatformError, Vm, VmState
from acaciarack.platform_http import HttpVmList, HttpWeightStore
from acaciarack_bench.application import ApplicationStandIn
from acaciarack_bench.serving import open_server
from acaciarack_bench.vms import MemoryVmList, build_vms_app
from acaciarack_bench.weights import MemoryWeightStore, build_weights_app
from tests.support import TestCase


def make_vm(name, state=VmState.LIVE):
    return Vm(
        name=name,
        role="engine",
        host="127.0.0.1",
        data_centre="oslo-a",
        state=state,
    )


class PlatformStandInsTest(TestCase):
    def test_vm_list_lags(self):
        async def run():
            vms = MemoryVmList(
                clock=self.make_clock(),
                vms=(make_vm("a"),),
                lag=timedelta(seconds=5),
            )
            vms.put(make_vm("a", VmState.LEAVING))
            await trio.sleep(4)
            vms.remove("a")
            self.assertEqual((make_vm("a"),), await vms.fetch())
            await trio.sleep(1)
            leaving = make_vm("a", VmState.LEAVING)
            self.assertEqual((leaving,), await vms.fetch())
            await trio.sleep(4)
            self.assertEqual((), await vms.fetch())

        self.run_trio(run)

    def test_http_clients(self):
        async def run():
            vms = MemoryVmList(clock=SystemClock(), vms=(make_vm("a"),))
            store = MemoryWeightStore(
                clock=SystemClock(), interval=timedelta(hours=1)
            )
            async with (
                open_server(build_vms_app(vms)) as vms_port,
                open_server(build_weights_app(store)) as weights_port,
            ):
                vm_client = HttpVmList(url=f"http://127.0.0.1:{vms_port}")
                self.assertEqual((make_vm("a"),), await vm_client.fetch())
                weights = HttpWeightStore(
                    url=f"http://127.0.0.1:{weights_port}"
                )
                first = await weights.reserve_pull(model="m", version="1")
                second = await weights.reserve_pull(model="m", version="2")
                self.assertEqual(timedelta(), first)
                self.assertTrue(second > timedelta(minutes=59))
                vms.down = store.down = True
                with self.assertRaises(PlatformError):
                    await vm_client.fetch()
                with self.assertRaises(PlatformError):
                    await weights.reserve_pull(model="m", version="1")

        self.run_real(run)


class ApplicationTest(TestCase):
    def test_counts_executions_also_without_a_response(self):
        async def run():
            server = ApplicationStandIn(name="a-1", clock=SystemClock())
            async with open_server(server.build_app()) as port:
                url = f"http://127.0.0.1:{port}"
                key = str(uuid.uuid4())
                pool = httpcore.AsyncConnectionPool()
                headers = {"Idempotency-Key": key}

                async def call():
                    return await pool.request(
                        "POST", f"{url}/bookings", headers=headers
                    )

                answer = json.loads((await call()).content)
                self.assertEqual(1, answer["execution"])
                server.faults.lost_answers = 1
                with self.assertRaises(httpcore.RemoteProtocolError):
                    await call()
                server.faults.refusing = True
                self.assertEqual(503, (await call()).status)
                counts = await pool.request("GET", f"{url}/v1/executions")
                self.assertEqual(
                    {"executions": {key: 2}, "total": 2},
                    json.loads(counts.content),
                )
                async with pool.stream("GET", f"{url}/v1/load") as response:
                    chunk = await anext(response.aiter_stream())
                self.assertIn(b'"target":"a-1"', chunk)
                await pool.aclose()

        self.run_real(run)


class CommandTest(TestCase):
    def test_prints_the_bound_port(self):
        process = subprocess.Popen(
            [sys.executable, "-m", "acaciarack_bench", "log"],
            stdout=subprocess.PIPE,
            text=True,
        )
        with process:
            address = json.loads(process.stdout.readline())
            process.terminate()
        self.assertTrue(address["port"] > 0)
        self.assertEqual(0, process.returncode)
