"""Silent partition between two failure domains of one cell, with real processes."""

from re import findall
from subprocess import run as run_process
from sys import executable
from time import monotonic

import pytest
from anyio import create_task_group, fail_after, run, sleep
from httpx import AsyncClient

from tests.checker import check_requests, check_workers, read
from tests.entry_net import Net, code
from tests.forwarder import Forwarder
from tests.full_cell import FullCell
from tests.processes import Processes, free_ports, seeded, wait_until

LIMIT_S = 240
NEAR, FAR = "jylland-a", "fjeld-a"
GROUP_BY_DOMAIN = {NEAR: "jylland", FAR: "fjeld"}
STORES_BY_DOMAIN = {NEAR: ["s1", "s2", "s3"], FAR: ["s4", "s5", "s6"]}
# Two of three are near, so the far domain is the one without the cell group.
CELL_MEMBERS = ["s1", "s2", "s4"]
LEASE_S = 10
DOCUMENT = (
    f"[presets.ordinary]\nlease_s = {LEASE_S}\n[presets.peak]\nlease_s = {LEASE_S}\n"
    "[teams.ski]\ncpu_milli = 100000\nmemory_mb = 100000\n"
)


class TwoDomains(FullCell):
    """Two domains of 3 stores and an entry; links between them pass forwarders."""

    __slots__ = ("domain_by_name",)

    def __init__(self, *, processes, random):
        Net.__init__(self, processes=processes, entries={"e1": NEAR, "e2": FAR})
        self.random = random
        self.stores = [name for names in STORES_BY_DOMAIN.values() for name in names]
        self.forwarders = []
        self.domain_by_name = dict(self.entries)
        text = self.settings.read_text()
        for domain, names in STORES_BY_DOMAIN.items():
            for name, port in zip(names, free_ports(3), strict=True):
                self.domain_by_name[name] = domain
                text += (
                    f'[[process]]\nname = "{name}"\nrole = "store"\ndomain = "{domain}"\n'
                    f'region = "{GROUP_BY_DOMAIN[domain]}"\nlink = "127.0.0.1:{port}"\n'
                    f'data = "{self.folder / name}"\n'
                )
            group = GROUP_BY_DOMAIN[domain]
            text += f'[[group]]\nname = "{group}"\nmembers = {names}\ndomains = ["{domain}"]\n'
        text += f'[[group]]\nname = "cell"\nmembers = {CELL_MEMBERS}\n'
        self.settings.write_text(text)
        for domain in STORES_BY_DOMAIN:
            self._write_view(domain, text)

    def _write_view(self, domain, text):
        """Write the settings of a domain: the links of the other lead through forwarders."""
        for name, other in self.domain_by_name.items():
            if other == domain:
                continue
            row = text.split(f'name = "{name}"')[1]
            target = findall(r'link = "127.0.0.1:(\d+)"', row)[0]
            (port,) = free_ports(1)
            text = text.replace(f'"127.0.0.1:{target}"', f'"127.0.0.1:{port}"')
            self.forwarders.append(self.forwarder(port=port, target=int(target)))
        (self.folder / f"{domain}.toml").write_text(text)

    def forwarder(self, *, port, target):
        """Return what links between the domains pass through."""
        return Forwarder(port=port, target=target)

    def view(self, name):
        """Return the settings file of a process."""
        return self.folder / f"{self.domain_by_name[name]}.toml"

    def start_entry(self, name, *flags):
        """Start an entry."""
        self.processes.start(name, "entry", "--settings", self.view(name), "--name", name, *flags)

    def start_store(self, name):
        """Start a store."""
        self.processes.start(name, "store", "--settings", self.view(name), "--name", name)

    def found(self):
        """Found each group on its first member."""
        for name in ("s1", "s4"):
            command = [executable, "-m", "siskintally.main", "init"]
            command += ["--settings", str(self.view(name)), "--name", name]
            run_process(command, check=True, capture_output=True, timeout=60)

    def start_far_workers(self):
        """Start workers in the far domain."""
        self.processes.start(
            "w",
            "stub-worker",
            *("--settings", self.folder / f"{FAR}.toml", "--name", "w", "--domain", FAR),
            *("--count", 2, "--cpu_milli", 4000, "--memory_mb", 4000),
            *("--record", self.record("w")),
        )

    def block(self):
        """Hold all bytes between the domains, on present and new connections."""
        for forwarder in self.forwarders:
            forwarder.block("to_server", "to_client")

    def heal(self):
        """End the partition."""
        for forwarder in self.forwarders:
            forwarder.heal()

    async def version(self, entry):
        """Return the configuration version in force at an entry."""
        state = await self.health(entry)
        return state and state["config_version"]


async def prepared(cell):
    """Bring up the cell with an endpoint in each domain and a service in the far one."""
    for name in cell.stores:
        cell.start_store(name)
    for name in cell.entries:
        cell.start_entry(name)
    change = {"document": DOCUMENT, "expect_version": 0}
    await cell.operate("config", change, request_id="config")
    cell.start_stub("p1", entries=["e1"], domain=NEAR)
    cell.start_stub("p2", entries=["e2"], domain=FAR)
    for entry in cell.entries:
        await cell.wait_served(entry)
    cell.start_far_workers()
    job = {"name": "tally", "team": "ski", "kind": "service", "tasks": 4, "domain": FAR}
    await cell.operate("submit", job | {"cpu_milli": 1000, "memory_mb": 500}, request_id="job")
    await wait_until(lambda: len(starts(cell)) == 4, "four tasks run")


def starts(cell):
    return [line for line in read(cell.record("w")) if line["event"] == "start"]


@pytest.mark.timeout(300)
def test_partitioned_domain_goes_on_and_follows_afterwards(tmp_path):
    """Guards against a domain that stops in a partition, or that runs another domain's orders."""

    async def check(cell):
        await prepared(cell)
        answers = []
        cell.block()
        # Longer than a lease and than the time in which silent links are noticed.
        await sleep(LEASE_S + 6)
        response = await cell.call("e2", body=b"boarding", timeout=20)
        assert code(response) == 1000
        response = await cell.call("e2", body=b"own", idempotency_key="fjeld/own", timeout=20)
        assert code(response) == 1000
        refused = await cell.call("e2", body=b"x", idempotency_key="jylland/far", timeout=20)
        assert code(refused) == 2003
        response = await cell.call("e1", body=b"near", idempotency_key="jylland/near", timeout=20)
        assert code(response) == 1000
        change = {"preset": "peak", "expect_version": 1}
        await cell.operate("preset", change, request_id="peak")
        await wait_until(lambda: reached(cell, "e1", 2), "version 2 where the cell group is")
        assert await cell.version("e2") == 1
        assert len(starts(cell)) == 4, "the service was started again"
        cell.heal()
        healed = monotonic()
        await wait_until(lambda: reached(cell, "e2", 2), "version 2 after the partition")
        print(f"in force {monotonic() - healed:.2f} s after the partition ended")
        keys = [record["key"] for record in read(cell.record("p1"), cell.record("p2"))]
        assert "jylland/far" not in keys
        assert keys.count("fjeld/own") == 2  # one start and one end
        assert check_workers(read(cell.record("w"))) == []
        assert check_requests(read(cell.record("p1"), cell.record("p2")), answers) == []

    async def reached(cell, entry, version):
        return await cell.version(entry) == version

    random = seeded()

    async def main():
        with fail_after(LIMIT_S), Processes(folder=tmp_path) as processes:
            cell = TwoDomains(processes=processes, random=random)
            cell.found()
            async with AsyncClient(timeout=30.0) as cell.client, create_task_group() as tasks:
                for forwarder in cell.forwarders:
                    tasks.start_soon(forwarder.run)
                await check(cell)
                tasks.cancel_scope.cancel()

    run(main)
