"""Time in ms from the submission of an urgent job to the start of its task on full workers.

Deferrable tasks fill all workers, so that urgent jobs have to preempt them. For three more jobs the
owner is killed just before the submission. The start times are from the records of the workers.

Usage: python -m bench.urgent [jobs] [workers]
"""

import json
from pathlib import Path
from random import Random
from sys import argv
from tempfile import TemporaryDirectory
from time import monotonic

from anyio import run, sleep
from hdrh.histogram import HdrHistogram

from tests.checker import read
from tests.full_cell import running_cell
from tests.processes import wait_until

JOBS = 20
WORKERS = 24
TARGET_S = 6.1
MAX_MS = 120_000
SLOTS_PER_WORKER = 4
DOCUMENT = "[teams.ski]\ncpu_milli = 1000000000\nmemory_mb = 1000000000\n"


def start_time(cell, job):
    """Return the time at which the first task of a job started, or None."""
    for line in read(cell.record("w")):
        if line["event"] == "start" and line["task"].startswith(f"{job}/"):
            return line["t"]
    return None


async def submit(cell, name, *, tasks, job_class):
    """Submit a batch job whose tasks use a quarter of a worker each; return its id.

    :param job_class: class of the job, such as ``urgent``.
    """
    spec = {"name": name, "team": "ski", "kind": "batch", "class": job_class, "tasks": tasks}
    spec |= {"cpu_milli": 1000, "memory_mb": 1000, "run_s": 600}
    answer = await cell.operate("submit", spec, request_id=name)
    return answer["job"]


async def measure(jobs, workers):
    """Return the milliseconds of each urgent job, without and with a loss of the owner."""
    with TemporaryDirectory() as folder:
        async with running_cell(Path(folder), Random(1)) as cell:
            await cell.wait_voters()
            change = {"document": DOCUMENT, "expect_version": 1}
            await cell.operate("config", change, request_id="quota")
            cell.start_workers("w", workers)
            slots = workers * SLOTS_PER_WORKER
            await submit(cell, "night", tasks=slots * 2, job_class="deferrable")
            await wait_until(lambda: len(read(cell.record("w"))) >= slots, "workers are full")
            await sleep(2.0)
            undisturbed = [await measure_job(cell, f"calm-{number}") for number in range(jobs)]
            after_owner_loss = []
            for number in range(3):
                owner = cell.owner()
                cell.processes.kill(owner)
                after_owner_loss.append(await measure_job(cell, f"lost-{number}"))
                cell.start_store(owner)
                await sleep(8.0)
    return undisturbed, after_owner_loss


async def measure_job(cell, name):
    """Submit one urgent job and return the milliseconds to its start."""
    submitted_at = monotonic()
    job = await submit(cell, name, tasks=1, job_class="urgent")
    started_at = await wait_until(lambda: start_time(cell, job), f"{name} starts")
    return max(1, round((started_at - submitted_at) * 1000))


def main():
    """Print percentiles beside the target, and JSON."""
    jobs = int(argv[1]) if len(argv) > 1 else JOBS
    workers = int(argv[2]) if len(argv) > 2 else WORKERS
    undisturbed, after_owner_loss = run(measure, jobs, workers)
    histogram = HdrHistogram(1, MAX_MS, 3)
    for value in undisturbed:
        histogram.record_value(value)
    figures = {
        "p50_ms": histogram.get_value_at_percentile(50),
        "p99_ms": histogram.get_value_at_percentile(99),
        "max_ms": max(undisturbed),
        "owner_lost_ms": after_owner_loss,
        "target_ms": TARGET_S * 1000,
    }
    print(f"{jobs} urgent jobs on {workers} full workers: p50 {figures['p50_ms']} ms, ", end="")
    print(f"p99 {figures['p99_ms']} ms, max {figures['max_ms']} ms; target {TARGET_S} s")
    print(f"submitted right after the loss of the owner: {after_owner_loss} ms")
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
