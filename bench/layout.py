"""Control cost of every VM of the layout in samples/two-regions.toml, at the design size.

Nine stores and nine entries run on one machine, with stub workers in each of six failure domains.
The cost of a VM is that of its store and its entry together: shares of a core, and MB. Afterwards
the time in seconds from the answer to a configuration change until it is in force at all entries is
measured.

Usage: python -m bench.layout [workers a domain] [tasks a domain] [seconds]
"""

import json
from pathlib import Path
from random import Random
from re import sub
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import create_task_group, run, sleep
from httpx import AsyncClient

from bench.meter import process_cpu_seconds, resident_mb
from siskintally.settings import load
from tests.entry_net import TOKEN
from tests.full_cell import FullCell, Layout
from tests.processes import Processes, free_ports, wait_until

SAMPLE = Path(__file__).parent.parent / "samples" / "two-regions.toml"
# For each of six failure domains; together about 850 workers and 20,000 tasks.
WORKERS = 142
TASKS = 3333
STARTS_PER_S = 9.0
SECONDS = 20.0
SETTLE_S = 25.0
BEAT_S = 10.0
BATCH_INTERVAL_S = 5.0
CHANGES = 20
CPU_BUDGET = 0.012
MEMORY_BUDGET_MB = 256.0
IN_FORCE_LIMIT_S = 5.0
DOCUMENT = "[teams.ski]\ncpu_milli = 1000000000\nmemory_mb = 1000000000\n"


class LayoutCell(FullCell):
    """The cell of the sample settings, on free ports and with its data in a temporary directory.

    :param parsed_settings: the :class:`~siskintally.settings.Settings` in use.
    """

    __slots__ = ("parsed_settings",)

    def __init__(self, *, processes):
        self.processes = processes
        self.folder = processes.folder
        self.random = Random(1)
        self.network = None
        text = sub(
            r"127\.0\.0\.1:\d+", lambda _: f"127.0.0.1:{free_ports(1)[0]}", SAMPLE.read_text()
        )
        text = text.replace("run/two-regions/data", str(self.folder))
        text += f'\n[[operator]]\nname = "bench"\ntoken = "{TOKEN}"\n'
        self.settings = self.folder / "cell.toml"
        self.settings.write_text(text)
        self.parsed_settings = load(self.settings)
        self.entries = {entry.name: entry.domain for entry in self.parsed_settings.entries()}
        self.url_by_name = {
            entry.name: f"http://{entry.http}" for entry in self.parsed_settings.entries()
        }
        self.stores = [name.replace("entry", "store") for name in self.entries]
        groups = self.parsed_settings.group_by_name.values()
        self.layout = Layout(
            stores={name: self.parsed_settings.process(name).domain for name in self.stores},
            entries=self.entries,
            members_by_group={group.name: list(group.members) for group in groups},
            domains_by_group={group.name: list(group.domains) for group in groups if group.domains},
        )
        self.client = None

    def leaders(self):
        """Return ``{domain group: store that owns it}``."""
        return {group: self.owner(group) for group in self.layout.domains_by_group}

    def vms(self):
        """Yield ``(VM, (store, entry))``, the names of each VM and its processes."""
        for store, entry in zip(self.stores, self.entries, strict=True):
            yield store.partition("-")[0], (store, entry)

    async def start(self, workers):
        """Start all processes and set the configuration.

        :param workers: number of stub workers in each failure domain.
        """
        self.bootstrap()
        for name in self.stores:
            self.start_store(name)
        for name in self.entries:
            self.start_entry(name)
        change = {"document": DOCUMENT, "expect_version": 0}
        await self.operate("config", change, request_id="config", entry="vm1-entry")
        await self.wait_voters()
        for domain in dict.fromkeys(self.entries.values()):
            entries = [
                name for name, entry_domain in self.entries.items() if entry_domain == domain
            ]
            self.start_stub(f"endpoint-{domain}", entries=entries, domain=domain)
            flags = ("--cpu_milli", 32000, "--memory_mb", 128000, "--beat_s", BEAT_S)
            self.start_workers(f"workers-{domain}", workers, *flags, domain=domain)

    async def submit(self, name, **fields):
        """Submit a job of small tasks."""
        spec = {"name": name, "team": "ski", "cpu_milli": 100, "memory_mb": 100, **fields}
        await self.operate("submit", spec, request_id=name, entry="vm1-entry")

    async def running(self):
        """Return the number of running tasks."""
        answer = await self.operate("jobs", {}, request_id="jobs", entry="vm1-entry")
        return sum(job["running"] for job in answer["jobs"])

    async def version(self, entry):
        """Return the configuration version in force at an entry."""
        return (await self.health(entry) or {}).get("config_version")


async def costs(cell, seconds, work=None):
    """Return ``{VM: (store's share of a core, entry's share, MB of both)}``.

    :param work: coroutine function that runs during the measurement.
    """
    pid_by_name = {name: popen.pid for name, popen in cell.processes.popen_by_name.items()}
    before = {name: process_cpu_seconds(pid) for name, pid in pid_by_name.items()}
    async with create_task_group() as tasks:
        if work is not None:
            tasks.start_soon(work)
        await sleep(seconds)
        tasks.cancel_scope.cancel()
    core = {
        name: (process_cpu_seconds(pid) - before[name]) / seconds
        for name, pid in pid_by_name.items()
    }
    return {
        vm: (
            core[store],
            core[entry],
            sum(resident_mb(pid_by_name[name]) for name in (store, entry)),
        )
        for vm, (store, entry) in cell.vms()
    }


async def in_force_s(cell, number):
    """Change the preset; return the seconds until it is in force at all entries."""
    preset = "peak" if number % 2 else "ordinary"
    change = {"preset": preset, "expect_version": number}
    await cell.operate("preset", change, request_id=f"preset-{number}", entry="vm1-entry")
    started = monotonic()
    waiting = set(cell.entries)
    while waiting:
        for entry in list(waiting):
            if await cell.version(entry) == number + 1:
                waiting.remove(entry)
    return monotonic() - started


async def measure(folder, workers, tasks, seconds):
    """Return the measured figures as a mapping."""
    with Processes(folder=folder) as processes:
        cell = LayoutCell(processes=processes)
        async with AsyncClient(timeout=30.0) as cell.client:
            await cell.start(workers)
            domains = list(dict.fromkeys(cell.entries.values()))
            for domain in domains:
                services = tasks // 5
                await cell.submit(f"s-{domain}", kind="service", tasks=services, domain=domain)
                batch = {"kind": "batch", "tasks": tasks - services, "run_s": 1e6}
                await cell.submit(f"b-{domain}", domain=domain, **batch)
            total_tasks = tasks * len(domains)
            started = monotonic()

            async def placed():
                return await cell.running() >= total_tasks

            await wait_until(placed, f"{total_tasks} tasks run", limit_s=300.0)
            placed_s = monotonic() - started
            await sleep(SETTLE_S)
            idle = await costs(cell, seconds)

            async def submit_batches():
                number = 0
                while True:
                    for domain in domains:
                        count = round(STARTS_PER_S * BATCH_INTERVAL_S)
                        work = {"kind": "batch", "tasks": count, "run_s": 4}
                        await cell.submit(f"n{number}-{domain}", domain=domain, **work)
                    number += 1
                    await sleep(BATCH_INTERVAL_S)

            busy = await costs(cell, seconds, submit_batches)
            times_s = [await in_force_s(cell, number) for number in range(1, CHANGES + 1)]
            leaders = cell.leaders()
    return {
        "workers": workers * len(domains),
        "tasks": total_tasks,
        "placed_s": placed_s,
        "idle": idle,
        "busy": busy,
        "in_force_s": sorted(times_s),
        "leaders": leaders,
    }


def print_figures(result):
    """Print the figures with their ratios to the budgets, and JSON."""
    groups = {store.partition("-")[0]: group for group, store in result["leaders"].items()}
    size = f"{result['workers']} workers, {result['tasks']} tasks"
    print(f"{size}, placed in {result['placed_s']:.1f} s")
    columns = f"{'VM':5} {'leads':10} {'state':5} {'store %':>8} {'entry %':>8}"
    print(f"{columns} {'of budget':>10} {'MB':>5}")
    for state in ("idle", "busy"):
        for vm, (store, entry, memory_mb) in result[state].items():
            print(
                f"{vm:5} {groups.get(vm, '-'):10} {state:5} {store * 100:8.2f} {entry * 100:8.2f} "
                f"{(store + entry) / CPU_BUDGET:10.2f} {memory_mb:5.0f}"
            )
    max_mb = max(memory_mb for _, _, memory_mb in result["busy"].values())
    print(f"memory: most {max_mb:.0f} MB, {max_mb / MEMORY_BUDGET_MB:.2f} of the budget")
    times_s = result["in_force_s"]
    print(
        f"configuration in force at all entries: median {times_s[len(times_s) // 2]:.3f} s, "
        f"most {times_s[-1]:.3f} s, {times_s[-1] / IN_FORCE_LIMIT_S:.2f} of the limit"
    )
    print(json.dumps(result))


def main():
    """Measure and print."""
    workers = int(argv[1]) if len(argv) > 1 else WORKERS
    tasks = int(argv[2]) if len(argv) > 2 else TASKS
    seconds = float(argv[3]) if len(argv) > 3 else SECONDS
    with TemporaryDirectory() as folder:
        print_figures(run(measure, Path(folder), workers, tasks, seconds))


if __name__ == "__main__":
    main()
