"""Node processes, started as the deploy file says, and their platform."""

import asyncio
import json
import os
import pathlib
import random
import re
import signal
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
RESTART_DELAY = 0.3
"""Seconds until the platform starts a process again that has ended."""
BOUNDS = {
    "grace_s": 8,
    "retry_ratio": 0.2,
    "retry_window_s": 10,
    "retry_extra": 54,
    "ttl_max_s": 5,
}
"""The bounds of the Haugland sheet that the template uses."""
ZONES = dict.fromkeys(("oslo-a", "drammen-b", "hamar-c"), "ostlandet")
MACHINES = ("oslo-a",) * 3 + ("drammen-b",) * 2 + ("hamar-c",) * 2
"""The zones of the machines of the Haugland sheet."""


def pick_network():
    """Returns the first three bytes of a loopback network of this test."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def fill_template(text, values):
    """Fills the sections and placeholders that the template uses."""

    def look_up(path, scope):
        for name in path.split("."):
            if isinstance(scope, list):
                scope = scope[int(name)]
            elif isinstance(scope, dict):
                scope = scope.get(name)
            else:
                return None
        return scope

    def fill_section(match):
        found = look_up(match[1], values)
        if not found:
            return ""
        if isinstance(found, dict):
            return "".join(
                match[2]
                .replace("{{@}}", key)
                .replace("{{.|json}}", json.dumps(value))
                for key, value in found.items()
            )
        return match[2]

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text, flags=re.S
    )

    def fill_value(match):
        value = look_up(match[1], values)
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill_value, text)


class Node:
    """One machine: its settings, and the process that runs there now.

    Attributes:
        own_ends: how often a process ended there by itself, with the codes.
        restarts: whether the platform starts the process again when it ends.
    """

    def __init__(self, number, zone, network, store_address, folder, record):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.host = f"{network}.{10 + number}"
        self.record = record
        self.own_ends = []
        self.restarts = True
        self.process = None
        self.log = folder / f"{self.name}.log"
        self._path = folder / f"{self.name}.toml"
        self._store_address = store_address
        self._is_killed = False
        self._watch = None

    def _write_settings(self, role):
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "zones": ZONES,
            "listen": {
                "front": f"{self.host}:8740",
                "ready": f"{self.host}:8749",
                "directory": f"{self.host}:8746",
            },
            "internal_ports": [7200, 7215],
            "limits": {"cpu_share": 0.537, "cpu_cores": 2},
            "provider": {"address": self._store_address},
            "bounds": BOUNDS,
        }
        template = (ROOT / role["template"]).read_text()
        self._path.write_text(fill_template(template, values))

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["node"]
        self._write_settings(role)
        program, *arguments = role["run"].split()
        if program == "python3":
            program = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ACACIARACK_BOOT"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program,
                *arguments,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._is_killed = False
        self._watch = asyncio.create_task(self._wait(self.process))

    async def _wait(self, process):
        code = await process.wait()
        if not self._is_killed:
            self.own_ends.append(code)
            self.record(self.name, "process ended by itself", code=code)
        if self.restarts:
            await asyncio.sleep(RESTART_DELAY)
            await self.start()

    def kill(self, number=signal.SIGKILL):
        """Sends a signal; the end of the process is then not its own."""
        self._is_killed = True
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        """Ends the process for good."""
        self.restarts = False
        if self._watch is not None:
            self._watch.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
