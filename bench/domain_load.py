"""Control cost of a domain group as a function of its number of workers and its task starts.

Three stores are the members of the cell group and of one domain group; each stub worker runs 20
tasks of a service. Processor time (share of a core) and memory (MB) are those of the leading store,
the mean of the other stores, and the entry. Relays count the bytes a second between the stores, and
between workers and stores. All these links are within one region; bench.regions measures the
traffic between two regions.

Usage: python -m bench.domain_load [workers,workers,...] [starts a second] [seconds]
"""

import json
from pathlib import Path
from random import Random
from sys import argv
from tempfile import TemporaryDirectory

from anyio import create_task_group, run, sleep
from httpx import AsyncClient

from bench import regions
from bench.meter import ByteCounter, fit_line, process_cpu_seconds, resident_mb
from tests.full_cell import FullCell, one_domain
from tests.processes import Processes, free_ports, wait_until

WORKERS = "24,72,142"
TASKS_PER_WORKER = 20
STARTS_PER_S = 9.0
SECONDS = 20.0
SETTLE_S = 22.0
# The longest heartbeat interval: a third of a lease of 30 s.
BEAT_S = 10.0
BATCH_INTERVAL_S = 5.0
DOCUMENT = "[teams.ski]\ncpu_milli = 1000000000\nmemory_mb = 1000000000\n"


class MeasuredCell(FullCell):
    """A cell whose links to stores pass relays that count bytes.

    :param relay_by_store: ``{store: [relay for other stores, relay for workers]}``.
    """

    __slots__ = ("relay_by_store", "worker_settings")

    def __init__(self, *, processes, entries, random):
        super().__init__(processes=processes, layout=one_domain(entries), random=random)
        self.relay_by_store = {}
        self.worker_settings = self.folder / "workers.toml"
        text = self.settings.read_text()
        texts = [text, text]
        for name in self.stores:
            target = self.port_of(name)
            relays = [ByteCounter(port=port, target=target) for port in free_ports(2)]
            self.relay_by_store[name] = relays
            for number, relay in enumerate(relays):
                texts[number] = texts[number].replace(f":{target}", f":{relay.port}")
        for name in self.stores:
            # A store listens on its own address and connects to the relays of the others.
            own = texts[0].replace(
                f":{self.relay_by_store[name][0].port}", f":{self.port_of(name)}"
            )
            (self.folder / f"{name}.toml").write_text(own)
        self.worker_settings.write_text(texts[1])

    def port_of(self, name):
        """Return the port on which a store accepts links."""
        text = self.settings.read_text().split(f'name = "{name}"')[1]
        return int(text.split('link = "127.0.0.1:')[1].split('"')[0])

    def start_store(self, name):
        """Start a store that connects to the others through relays."""
        path = self.folder / f"{name}.toml"
        self.processes.start(name, "store", "--settings", path, "--name", name)

    def start_workers(self, name, count, *flags):
        """Start stub workers that connect through relays; each has resources for 320 tasks."""
        self.processes.start(
            name,
            "stub-worker",
            *("--settings", self.worker_settings, "--name", name, "--domain", "jylland-a"),
            *("--count", count, "--cpu_milli", 32000, "--memory_mb", 128000),
            *("--beat_s", BEAT_S, *flags),
        )

    def bytes_of(self, kind):
        """Return the bytes so far, for kind 0 between stores, for 1 between workers and stores."""
        return sum(
            relays[kind].sent + relays[kind].received for relays in self.relay_by_store.values()
        )


class Reading:
    """Counters of all stores and entries at one time."""

    __slots__ = ("cpu_by_name", "store_bytes", "worker_bytes")

    def __init__(self, *, cell):
        popen = cell.processes.popen_by_name
        names = [*cell.stores, *cell.entries]
        self.cpu_by_name = {name: process_cpu_seconds(popen[name].pid) for name in names}
        self.store_bytes = cell.bytes_of(0)
        self.worker_bytes = cell.bytes_of(1)


def costs(cell, before, after, seconds):
    """Return the costs between two readings: shares of a core, MB, and bytes a second."""
    leader = cell.owner()
    core = {
        name: (after.cpu_by_name[name] - before.cpu_by_name[name]) / seconds
        for name in after.cpu_by_name
    }
    others = [core[name] for name in cell.stores if name != leader]
    popen = cell.processes.popen_by_name
    return {
        "leader_core": core[leader],
        "follower_core": sum(others) / len(others),
        "entry_core": core["e1"],
        "leader_mb": resident_mb(popen[leader].pid),
        "entry_mb": resident_mb(popen["e1"].pid),
        "store_bytes_s": (after.store_bytes - before.store_bytes) / seconds,
        "worker_bytes_s": (after.worker_bytes - before.worker_bytes) / seconds,
    }


async def measure_costs(cell, seconds, work=None):
    """Return the costs over some seconds, while ``await work()`` runs."""
    before = Reading(cell=cell)
    async with create_task_group() as tasks:
        if work is not None:
            tasks.start_soon(work)
        await sleep(seconds)
        tasks.cancel_scope.cancel()
    return costs(cell, before, Reading(cell=cell), seconds)


async def submit(cell, name, *, kind, tasks, run_s):
    """Submit a job of small tasks; return the answer."""
    spec = {"name": name, "team": "ski", "kind": kind, "tasks": tasks, "run_s": run_s}
    spec |= {"cpu_milli": 100, "memory_mb": 100}
    return await cell.operate("submit", spec, request_id=name)


async def running_tasks(cell):
    """Return the number of running tasks."""
    answer = await cell.operate("jobs", {}, request_id="jobs")
    return sum(job["running"] for job in answer["jobs"])


async def measure_size(folder, workers, starts_per_s, seconds):
    """Return the costs with a number of workers, idle and with task starts."""
    random = Random(1)
    with Processes(folder=folder) as processes:
        cell = MeasuredCell(processes=processes, entries=("e1",), random=random)
        cell.bootstrap()
        async with AsyncClient(timeout=30.0) as cell.client, create_task_group() as tasks:
            for relays in cell.relay_by_store.values():
                for relay in relays:
                    tasks.start_soon(relay.run)
            for name in cell.stores:
                cell.start_store(name)
            cell.start_entry("e1")
            change = {"document": DOCUMENT, "expect_version": 0}
            await cell.operate("config", change, request_id="first-config")
            cell.start_workers("w", workers)
            await sleep(SETTLE_S)
            count = workers * TASKS_PER_WORKER
            await submit(cell, "services", kind="service", tasks=count, run_s=0)

            async def placed():
                return await running_tasks(cell) >= count

            await wait_until(placed, f"{count} tasks run")
            await sleep(SETTLE_S)
            idle = await measure_costs(cell, seconds)

            async def submit_batches():
                number = 0
                while True:
                    batch = round(starts_per_s * BATCH_INTERVAL_S)
                    await submit(cell, f"batch-{number}", kind="batch", tasks=batch, run_s=4)
                    number += 1
                    await sleep(BATCH_INTERVAL_S)

            busy = await measure_costs(cell, seconds, submit_batches)
            tasks.cancel_scope.cancel()
    return idle, busy


async def measure(sizes, starts_per_s, seconds):
    """Return ``{number of workers: (idle costs, busy costs)}``."""
    result = {}
    for workers in sizes:
        with TemporaryDirectory() as folder:
            result[workers] = await measure_size(Path(folder), workers, starts_per_s, seconds)
    return result


def main():
    """Print a table, slopes and JSON."""
    sizes = [int(text) for text in (argv[1] if len(argv) > 1 else WORKERS).split(",")]
    starts_per_s = float(argv[2]) if len(argv) > 2 else STARTS_PER_S
    seconds = float(argv[3]) if len(argv) > 3 else SECONDS
    result = run(measure, sizes, starts_per_s, seconds)
    crossing = run(regions.measure, seconds)
    names = list(next(iter(result.values()))[0])
    print(f"{'workers':>8} {'state':6} " + " ".join(f"{name:>15}" for name in names))
    for workers, states in result.items():
        for label, row in zip(("idle", "busy"), states, strict=True):
            values = " ".join(f"{row[name]:15.4f}" for name in names)
            print(f"{workers:8} {label:6} {values}")
    slopes = {"starts_per_s": starts_per_s}
    for name in names:
        idle = [(workers, states[0][name]) for workers, states in result.items()]
        slope, base = fit_line(idle) if len(idle) > 1 else (0.0, idle[0][1])
        slopes[f"{name}_per_worker"], slopes[f"{name}_base"] = slope, base
        differences = [states[1][name] - states[0][name] for states in result.values()]
        slopes[f"{name}_per_start_s"] = sum(differences) / len(differences) / starts_per_s
    regions.print_figures(crossing)
    print(json.dumps(slopes | crossing))


if __name__ == "__main__":
    main()
