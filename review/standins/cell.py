"""The project's own programs as separate processes, started as deploy/system.toml says.

Each process has a loopback address of its own, and the template of the deploy file renders its
settings, as the platform does.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from random import Random

from review.standins.http import call

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 40.0
# Pause after which the platform starts a process again that has ended.
RESTART_S = 0.3
BOUNDS = {
    "contactMs": 3000,
    "graceS": 6,
    "holdMaxMs": 6000,
    "status_s": 120,
    "thawMs": 300,
}
HEARTBEAT_MS = 1500


def _value(fields, name):
    for part in name.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields.get(part)
        if fields is None:
            return None
    return fields


def render(template, fields):
    """Render ``{{a.b}}`` and ``{{a.b|json}}``, the forms that the template of this project uses."""

    def replace(found):
        name, _, form = found.group(1).partition("|")
        value = _value(fields, name)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


class Node:
    """One process of the system."""

    def __init__(self, *, name, role, ip):
        self.name = name
        self.role = role
        self.ip = ip
        self.process = None
        self.starts = 0
        self.own_ends = 0


class Cell:
    """A small deployment: three core machines with a store each, and some edge machines.

    :param record: :class:`~review.standins.record.Record`.
    """

    def __init__(self, *, record, entries=2, advice=""):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="siskintally-review-"))
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self._advice = advice
        self._random = Random()
        self.network = self._free_network()
        ports = self._free_ports(5)
        self.link_port, self.control_port, self.front_port, self.ready_port, self.worker_port = (
            ports
        )
        self.stores = [
            Node(name=f"core-{number}", role="store", ip=f"{self.network}.{10 + number}")
            for number in range(1, 4)
        ]
        self.entries = [
            Node(name=f"edge-{number}", role="entry", ip=f"{self.network}.{20 + number}")
            for number in range(1, entries + 1)
        ]

    def _free_network(self):
        """Return the first three numbers of loopback addresses that nobody listens on."""
        while True:
            network = f"127.{self._random.randrange(64, 250)}.{self._random.randrange(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{network}.11", 9464))
            except OSError:
                continue
            return network

    def _free_ports(self, count):
        """Return ports below the ephemeral range that are free on the addresses of this cell."""
        ports = set()
        while len(ports) < count:
            port = self._random.randrange(12_000, 30_000)
            try:
                with socket.socket() as probe:
                    probe.bind((f"{self.network}.11", port))
            except OSError:
                continue
            ports.add(port)
        return sorted(ports)

    @property
    def controls(self):
        """Addresses of the operator's API and of heartbeats."""
        return [f"{node.ip}:{self.control_port}" for node in self.stores]

    @property
    def fronts(self):
        """Addresses for clients."""
        return [f"{node.ip}:{self.front_port}" for node in self.entries]

    def _fields(self, node):
        is_store = node.role == "store"
        listen = {"control": f"{node.ip}:{self.control_port}"}
        if not is_store:
            listen = {
                "front": f"{node.ip}:{self.front_port}",
                "readyAddr": f"{node.ip}:{self.ready_port}",
            }
        return {
            "node": node.name,
            "role": node.role,
            "ip": node.ip,
            "zone": f"zone-{node.name[-1]}",
            "region": f"region-{node.name[-1]}",
            "listen": listen,
            "portRange": [self.link_port, self.link_port + 15],
            "seeds": self.controls,
            "bootstrap": node.starts == 0,
            "dataDir": str(self.folder / node.name) if is_store else None,
            "advice": self._advice or None,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self, node):
        """Start a process with the command of the deploy file."""
        role = self._roles[node.role]
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.folder / f"{node.name}.settings"
        settings.write_text(render(template, self._fields(node)), encoding="utf-8")
        if node.role == "store":
            (self.folder / node.name).mkdir(exist_ok=True)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["SISKINTALLY_SETTINGS"] = str(settings)
        with open(self.folder / f"{node.name}.log", "ab") as log:
            node.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        node.starts += 1
        self.record.add(node.name, "process started", pid=node.process.pid)

    def start_all(self):
        """Start all processes."""
        for node in (*self.stores, *self.entries):
            self.start(node)

    async def supervise(self):
        """Start processes again that end by themselves, as the platform does."""
        while True:
            for node in (*self.stores, *self.entries):
                if node.process is not None and node.process.poll() is not None:
                    node.own_ends += 1
                    self.record.add(node.name, "ended by itself", status=node.process.returncode)
                    await asyncio.sleep(RESTART_S)
                    self.start(node)
            await asyncio.sleep(0.05)

    def signal(self, node, number):
        """Send a signal to a process of this cell."""
        self.record.add(node.name, "signal", number=signal.Signals(number).name)
        node.process.send_signal(number)

    def log_text(self, node):
        """Return the log of a process."""
        path = self.folder / f"{node.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def leader(self):
        """Return the store that began the newest term, by the logs of the stores."""
        newest, found = -1, None
        for node in self.stores:
            for term in re.findall(
                r'"term": (\d+)[^\n]*"event": "term begins"', self.log_text(node)
            ):
                if int(term) > newest:
                    newest, found = int(term), node
        return found

    def close(self, *, keep_logs=False):
        """End all processes that were started, and remove the folder."""
        nodes = [*self.stores, *self.entries]
        started = [node.process for node in nodes if node.process is not None]
        for process in started:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in started:
            process.wait()
        if keep_logs:
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def operate(self, method, path, body=None, *, first=0):
        """Send an order as the operator: to one store after the other until it is answered."""
        for attempt in range(40):
            address = self.controls[(first + attempt) % len(self.controls)]
            reply = await call(address, method, path, body, timeout=1.0)
            status = reply.status if reply is not None else None
            self.record.add("operator", f"{method} {path}", to=address, status=status)
            if status is not None and (status < 500 and status not in (408, 429)):
                return reply
            await asyncio.sleep(min(0.1 * (attempt + 1), 1.0))
        return None

    async def client(self, method, path, body=None, *, host, entry=0, timeout=3.0):
        """Send a request as a client, to one entry."""
        address = self.fronts[entry % len(self.fronts)]
        headers = {"Siskintally-Deadline-Ms": int(timeout * 1000)}
        reply = await call(
            address, method, path, body, host=host, headers=headers, timeout=timeout + 0.2
        )
        status = reply.status if reply is not None else None
        answer = reply.body if reply is not None and method == "GET" else ""
        self.record.add("client", f"{method} {path}", to=address, status=status, body=answer)
        return reply

    async def submit(self, path, job, *, host):
        """Hand a job in until it is accepted; return whether it was."""
        for attempt in range(30):
            reply = await self.client("POST", path, job, host=host, entry=attempt)
            if reply is not None and 200 <= reply.status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def wait_ready(self):
        """Wait until all entries say that they are ready."""
        deadline = time.monotonic() + START_LIMIT_S
        for node in self.entries:
            while time.monotonic() < deadline:
                reply = await call(f"{node.ip}:{self.ready_port}", "GET", "/ready")
                if reply is not None and reply.status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{node.name} is not ready")
