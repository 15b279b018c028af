"""A store that missed hundreds of changes and then becomes leader, in a whole cell."""

import pytest
from anyio import create_task_group, sleep

from tests.cell_runs import wait_version, watch_versions, with_cell
from tests.full_cell import DOCUMENT
from tests.processes import wait_until

CHANGES = 500
LAST_VERSION = 1 + CHANGES // 2
# Longer than an election timeout.
HEAD_START_S = 2.5
TASK = {"team": "ski", "kind": "batch", "cpu_milli": 100, "memory_mb": 50, "run_s": 0.1}


async def change_all(cell):
    """Change configuration and jobs; return the ids of the jobs."""
    job_ids = set()

    async def configure():
        for number in range(CHANGES // 2):
            change = {"document": f"{DOCUMENT}# {number}\n", "expect_version": number + 1}
            await cell.operate("config", change, request_id=f"config-{number}")

    async with create_task_group() as tasks:
        tasks.start_soon(configure)
        for number in range(CHANGES // 2):
            job = TASK | {"name": f"job-{number}"}
            answer = await cell.operate("submit", job, request_id=job["name"], entry="e2")
            job_ids.add(answer["job"])
    return job_ids


async def make_leader(cell, late_store):
    """Stop the other stores in turn, so that only the late one can lead both groups."""
    complete_store, other_store = (name for name in cell.stores if name != late_store)
    cell.processes.kill(other_store)
    cell.processes.kill(complete_store)
    # The late store requests votes first, and must not get the vote of the complete one.
    cell.start_store(late_store)
    await sleep(HEAD_START_S)
    cell.start_store(complete_store)
    # The killed store misses this change, so it can't be elected after the complete one stops.
    change = {"preset": "peak", "expect_version": LAST_VERSION}
    assert (await cell.operate("preset", change, request_id="peak"))["version"] == LAST_VERSION + 1
    await wait_version(cell, LAST_VERSION + 1)
    assert cell.processes.stop(complete_store) == 0
    cell.start_store(other_store)
    await wait_until(lambda: cell.owner() == late_store, f"{late_store} owns the domain")
    status = await cell.operate("status", {}, request_id="read")
    assert status["leader"] == late_store


@pytest.mark.timeout(300)
def test_store_that_missed_500_changes_leads_without_losing_one(tmp_path):
    """Guards against a restarted store that brings back an old configuration or lacks a job."""

    async def check(cell):
        cell.start_workers("w", 2)
        late_store = cell.random.choice(cell.stores)
        assert cell.processes.stop(late_store) == 0
        faults = []
        async with create_task_group() as tasks:
            tasks.start_soon(watch_versions, cell, faults)
            job_ids = await change_all(cell)
            await wait_version(cell, LAST_VERSION)
            await make_leader(cell, late_store)
            cell.processes.kill("e1")
            cell.start_entry("e1")
            await wait_version(cell, LAST_VERSION + 1)
            # The new leader has stored the reply to the first change.
            change = {"document": f"{DOCUMENT}# 0\n", "expect_version": 1}
            answer = await cell.operate("config", change, request_id="config-0")
            assert answer["version"] == 2
            tasks.cancel_scope.cancel()
        assert faults == []

        async def all_succeeded():
            answer = await cell.operate("jobs", {"limit": CHANGES}, request_id="read")
            states = {row["job"]: row["state"] for row in answer["jobs"]}
            assert states.keys() == job_ids
            return set(states.values()) == {"succeeded"}

        await wait_until(all_succeeded, "all jobs succeeded")

    with_cell(tmp_path, check)
