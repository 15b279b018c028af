"""A small deployment of the project's own programs, by the commands of the deploy file."""

from asyncio import sleep
from os import environ
from pathlib import Path
from random import randrange
from signal import SIGKILL
from socket import socket
from subprocess import Popen

from review.standins_2.http import call

ROOT = Path(__file__).resolve().parents[2]
STORE_COMMAND = ("python3", "-m", "siskintally", "platform-store")
ENTRY_COMMAND = ("python3", "-m", "siskintally", "platform-entry")
READY_LIMIT_S = 20.0


def free_ports(count):
    """Return ports that are free on loopback, below the range of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = randrange(11_000, 30_000)
        with socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Cell:
    """Stores and entries, each a process at a loopback address of its own.

    :param folder: temporary folder for settings, data and logs.
    :param record: :class:`~review.standins_2.record.Record`.
    :param stores: number of stores at the first start.
    :param entries: number of entries.
    """

    def __init__(self, *, folder, record, stores=3, entries=1):
        self.folder = Path(folder)
        self.record = record
        self.net = f"127.{randrange(20, 250)}.{randrange(1, 250)}"
        self.link, self.control, self.callers, self.ready = free_ports(4)
        self.store_hosts = [f"{self.net}.{number}" for number in range(1, stores + 1)]
        self.entry_hosts = [f"{self.net}.{number}" for number in range(101, 101 + entries)]
        self.seeds = list(self.store_hosts)
        self.popen_by_host = {}
        self.workers = []
        self.founding = True

    def write_settings(self, host):
        """Write the settings of a process as the template of the deploy file renders them."""
        is_store = host not in self.entry_hosts
        seeds = ", ".join(f'"{seed}:{self.control}"' for seed in self.seeds)
        lines = [
            f'name = "{host}"',
            f'ip = "{host}"',
            'domain = "zone-a"',
            'region = "region-a"',
            f"link_port = {self.link}",
            f"seeds = [{seeds}]",
            f"founding = {'true' if self.founding else 'false'}",
            f'callers = "{"" if is_store else f"{host}:{self.callers}"}"',
            f'ready = "{"" if is_store else f"{host}:{self.ready}"}"',
            f'control = "{f"{host}:{self.control}" if is_store else ""}"',
            f'data = "{self.data_folder(host) if is_store else ""}"',
            'advice = ""',
            "tolerated = 1",
            "lease_max_ms = 6000",
            "thaw_ms = 300",
            "contact_ms = 3000",
            "grace_s = 6.0",
            "status_s = 120",
            "metrics_port = 9464",
        ]
        path = self.folder / f"{host}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def data_folder(self, host):
        """Return the data folder of a store."""
        return self.folder / f"data-{host}"

    def start(self, host):
        """Start a process with the command of the deploy file."""
        command = ENTRY_COMMAND if host in self.entry_hosts else STORE_COMMAND
        kept = {name: environ[name] for name in ("PATH", "HOME", "LANG") if name in environ}
        settings = str(self.write_settings(host))
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["PYTHONDONTWRITEBYTECODE"] = "1"
        kept["SISKINTALLY_SETTINGS"] = settings
        with open(self.folder / f"{host}.log", "ab") as log:
            self.popen_by_host[host] = Popen(command, cwd=ROOT, env=kept, stdout=log, stderr=log)
        self.record.write(f"started {host} {command[-1]} pid {self.popen_by_host[host].pid}")

    def start_all(self):
        """Start all processes for the first time."""
        for host in (*self.store_hosts, *self.entry_hosts):
            self.start(host)
        self.founding = False

    def signal(self, host, number):
        """Send a signal to a process."""
        self.record.write(f"signal {number.name} to {host}")
        self.popen_by_host[host].send_signal(number)

    def kill(self, host):
        """Kill a process and wait for its end."""
        self.signal(host, SIGKILL)
        self.popen_by_host[host].wait()

    def is_running(self, host):
        """Return whether a process runs."""
        return self.popen_by_host[host].poll() is None

    def end(self):
        """End all processes that this cell has started."""
        for popen in self.popen_by_host.values():
            if popen.poll() is None:
                popen.kill()
        for popen in self.popen_by_host.values():
            popen.wait()

    async def configure(self, routes, *, version=1):
        """Send a configuration until it is acknowledged; return whether it was."""
        document = {
            "version": version,
            "routes": routes,
            "services": [{"name": "s", "maxConns": 64, "enforcesCapacity": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144},
        }
        host, _ = await self.ask_control("POST", "/config/replace", body=document)
        self.record.write(f"configuration {version} acknowledged by {host}")
        return host is not None

    async def ask_control(self, method, path, *, body=None, hosts=None, limit_s=READY_LIMIT_S):
        """Call the stores in turn, as the operator and workers do, until one answers 200.

        Return (host, JSON), or (None, None) if none did within the limit.
        """
        until = self.record.now() + limit_s
        while self.record.now() < until:
            for host in hosts or self.store_hosts:
                if not self.is_running(host):
                    continue
                left_s = max(min(until - self.record.now(), 2.5), 0.1)
                status, answer = await call(
                    method, host, self.control, path, body=body, timeout_s=left_s
                )
                if status == 200:
                    return host, answer
                if status in (400, 409, 412, 413, 422):
                    self.record.write(f"{method} {path} at {host}: {status} {answer}")
                    return None, None
            await sleep(0.1)
        return None, None

    async def ask_entry(self, method, path, *, body=None, timeout_s=3.0, host=None):
        """Send a client's request to an entry; return (status, JSON)."""
        headers = {"Host": "jobs.example", "Siskintally-Deadline-Ms": str(int(timeout_s * 1000))}
        return await call(
            method,
            host or self.entry_hosts[0],
            self.callers,
            path,
            body=body,
            headers=headers,
            timeout_s=timeout_s,
        )
