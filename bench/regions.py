"""Traffic between two regions: idle, with many announcements, and after missed changes.

Traffic is in bytes a second; processor time in seconds, or as a share of a core. Two domains in two
regions have three stores and an entry each; the cell group has two stores in one region and one in
the other. Every link between the regions passes a relay that counts the bytes in both directions.

Usage: python -m bench.regions [seconds]
"""

import json
from pathlib import Path
from random import Random
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import create_task_group, run, sleep
from httpx import AsyncClient, Limits

from bench.meter import ByteCounter, process_cpu_seconds
from tests.full_cell import FullCell
from tests.processes import Processes, wait_until
from tests.two_domains import DOCUMENT, FAR, LAYOUT, NEAR

SECONDS = 20.0
SETTLE_S = 10.0
MISSED_CHANGES = 500
ENDPOINTS = 142
WAVE_S = 10.0
# Two of the three stores in the far domain; without them its group has no quorum.
STOPPED = ("s5", "s6")
FAR_GROUP = "fjeld"


class CountedDomains(FullCell):
    """Two domains; the bytes on the links between them are counted."""

    __slots__ = ()

    def __init__(self, *, processes):
        super().__init__(processes=processes, layout=LAYOUT, random=Random(1))
        self.add_forwarders(LAYOUT.domain_by_name(), forwarder=ByteCounter)

    def crossing_bytes(self):
        """Return the number of bytes between the regions so far."""
        return sum(forwarder.sent + forwarder.received for forwarder in self.forwarders)

    def cpu_of(self, names):
        """Return the processor time of processes so far, seconds."""
        popen = self.processes.popen_by_name
        return sum(process_cpu_seconds(popen[name].pid) for name in names)


async def idle_bytes(cell, seconds):
    """Return the bytes a second between the regions while the cell is idle."""
    before = cell.crossing_bytes()
    await sleep(seconds)
    return (cell.crossing_bytes() - before) / seconds


async def catch_up(cell, idle_bytes_s):
    """Return the cost when a domain that missed changes catches up, without the idle traffic."""
    for name in STOPPED:
        cell.processes.stop(name)
    spec = {"team": "ski", "kind": "batch", "tasks": 1, "run_s": 1, "domain": FAR}
    spec |= {"cpu_milli": 100, "memory_mb": 100}
    for number in range(MISSED_CHANGES - 1):
        job = spec | {"name": f"missed-{number}"}
        await cell.operate("submit", job, request_id=f"missed-{number}")
    change = {"document": DOCUMENT, "expect_version": 1}
    await cell.operate("config", change, request_id="missed-config")

    async def has_caught_up():
        status = await cell.operate("status", {}, request_id="status")
        rows = {row["group"]: row["config_current"] for row in status["groups"]}
        return rows[FAR_GROUP]

    assert not await has_caught_up()
    others = [name for name in cell.stores if name not in STOPPED]
    before, cpu, started = cell.crossing_bytes(), cell.cpu_of(others), monotonic()
    for name in STOPPED:
        cell.start_store(name)
    await wait_until(has_caught_up, "the far domain has caught up")
    caught_up_s = monotonic() - started
    # The progress of the jobs is reported after the catch-up.
    await sleep(SETTLE_S)
    elapsed_s = monotonic() - started
    crossing = cell.crossing_bytes() - before - idle_bytes_s * elapsed_s
    return {
        "catch_up_s": caught_up_s,
        "catch_up_crossing_bytes": crossing,
        "catch_up_crossing_bytes_per_change": crossing / MISSED_CHANGES,
        "catch_up_cpu_s_other_stores": cell.cpu_of(others) - cpu,
    }


async def announce(cell, number, seq):
    """Announce one endpoint at the entry of the near region."""
    fields = {"name": f"p{number}", "service": "seat-count", "domain": NEAR, "slots": 8}
    fields |= {"connections": 64, "incarnation": 1, "seq": seq, "state": "serving"}
    fields["url"] = "http://127.0.0.1:9"
    answer = await cell.client.post(f"{cell.url_by_name['e1']}/v1/announce", json=fields)
    answer.raise_for_status()


async def announcement_wave(cell, idle_bytes_s):
    """Return the cost of many endpoints that each announce themselves once a second."""
    before, cpu, started = cell.crossing_bytes(), cell.cpu_of(["e1"]), monotonic()
    seq = 0
    while monotonic() - started < WAVE_S:
        seq += 1
        async with create_task_group() as tasks:
            for number in range(ENDPOINTS):
                tasks.start_soon(announce, cell, number, seq)
        await sleep(max(0.0, started + seq - monotonic()))
    elapsed_s = monotonic() - started
    return {
        "wave_announcements_s": seq * ENDPOINTS / elapsed_s,
        "wave_entry_core": (cell.cpu_of(["e1"]) - cpu) / elapsed_s,
        "wave_crossing_bytes_s": (cell.crossing_bytes() - before) / elapsed_s - idle_bytes_s,
    }


async def measure(seconds=SECONDS):
    """Return all figures as a flat mapping, as bench.capacity reads it."""
    with TemporaryDirectory() as folder, Processes(folder=Path(folder)) as processes:
        cell = CountedDomains(processes=processes)
        cell.bootstrap()
        # Each endpoint keeps its connection, as real ones do.
        limits = Limits(max_connections=None, max_keepalive_connections=None)
        async with (
            AsyncClient(timeout=30.0, limits=limits) as cell.client,
            create_task_group() as tasks,
        ):
            for relay in cell.forwarders:
                tasks.start_soon(relay.run)
            for name in cell.stores:
                cell.start_store(name)
            for name in cell.entries:
                cell.start_entry(name)
            change = {"document": DOCUMENT, "expect_version": 0}
            await cell.operate("config", change, request_id="config")
            await sleep(SETTLE_S)
            bytes_s = await idle_bytes(cell, seconds)
            result = {"crossing_bytes_s": bytes_s}
            result |= await announcement_wave(cell, bytes_s)
            result |= await catch_up(cell, bytes_s)
            tasks.cancel_scope.cancel()
    return result


def print_figures(result):
    """Print a row for each figure."""
    for name, value in result.items():
        print(f"{name:36} {value:14.4f}")


def main():
    """Print a row for each figure, and JSON."""
    seconds = float(argv[1]) if len(argv) > 1 else SECONDS
    result = run(measure, seconds)
    print_figures(result)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
