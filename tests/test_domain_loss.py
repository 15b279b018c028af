"""Loss of a failure domain that is declared lost and returns with its old disks."""

import pytest
from anyio import sleep

from tests.cell_runs import with_cell
from tests.checker import check_jobs, check_workers, read
from tests.processes import wait_until
from tests.two_domains import DOCUMENT, FAR, LAYOUT, LOCATION_BY_NAME, NEAR, STORES_BY_DOMAIN

GROUP = "fjeld"
LARGE = ("--cpu_milli", 8000, "--memory_mb", 8000)
# Longer than the registration of the returned workers and a placement pass.
CUT_OFF_S = 8
SERVICE, PINNED, BATCH = "tally", "lift", "count"
TASKS_BY_NAME = {SERVICE: 6, PINNED: 1, BATCH: 2}


async def submit(cell, name, **fields):
    """Submit a job and return its id."""
    job = {"name": name, "team": "ski", "cpu_milli": 500, "memory_mb": 100, **fields}
    job["tasks"] = TASKS_BY_NAME[name]
    return (await cell.operate("submit", job, request_id=name))["job"]


async def operator_code(cell, verb, arguments, *, request_id):
    """Return the result code of an operator call, or None if it got no answer."""
    return (await cell.post("e1", verb, arguments, request_id)).get("code")


async def row(cell, job):
    """Return the row of a job in the answer to the operator call ``jobs``."""
    answer = await cell.operate("jobs", {"jobs": [job]}, request_id="read")
    return answer["jobs"][0]


async def group_status(cell):
    """Return the status of the far group as the cell reports it."""
    status = await cell.operate("status", {}, request_id="read")
    return next(row["standing"] for row in status["groups"] if row["group"] == GROUP)


def running_tasks(cell, name, job):
    """Return the number of tasks of a job that run on the workers of a stub process."""
    lines = [line for line in read(cell.record(name)) if job in line.get("task", "")]
    starts = sum(line["event"] == "start" for line in lines)
    return 2 * starts - len(lines)


async def start_jobs(cell):
    """Start a service in both domains and one that is pinned to the far domain.

    A batch in the far domain has ended before. Returns the ids of the three jobs.
    """
    cell.start_workers("n", 2, *LARGE, domain=NEAR)
    cell.start_workers("w", 2, *LARGE, domain=FAR)

    async def all_registered():
        status = await cell.operate("status", {}, request_id="read")
        return all(row["workers"] == 2 for row in status["groups"])

    await wait_until(all_registered, "all workers have registered")
    batch = await submit(cell, BATCH, kind="batch", run_s=1, domain=FAR)
    await wait_until(lambda: has_state(cell, batch, "succeeded"), "the batch has ended")
    service = await submit(cell, SERVICE, kind="service")
    pinned = await submit(cell, PINNED, kind="service", domain=FAR)
    await wait_until(
        lambda: running_tasks(cell, "n", service) == 3 and running_tasks(cell, "w", service) == 3,
        "the service is spread over both domains",
    )
    await wait_until(lambda: running_tasks(cell, "w", pinned) == 1, "the pinned service runs")
    return service, pinned, batch


async def has_state(cell, job, state):
    """Return whether a job has a state."""
    return (await row(cell, job))["state"] == state


async def lose_domain(cell, service, pinned):
    """Kill everything in the far domain and declare the domain lost.

    The declaration needs force, because the cell can't see whether the machines are off.
    """
    for name in [*STORES_BY_DOMAIN[FAR], "e2"]:
        cell.processes.kill(name)
    await wait_until(
        lambda: running_tasks(cell, "w", service) == running_tasks(cell, "w", pinned) == 0,
        "workers without an owner stop their tasks when the lease expires",
    )
    cell.processes.kill("w")
    lost = {"action": "lost", "groups": [GROUP], "confirm": True}
    assert await operator_code(cell, "domain", lost, request_id="lost") == 4010
    assert running_tasks(cell, "n", service) == 3
    answer = await cell.operate("domain", lost | {"force": True}, request_id="forced")
    assert answer == {"lost": [GROUP], "moved": 3, "unplaced": 1}
    await wait_until(lambda: running_tasks(cell, "n", service) == 6, "the service runs elsewhere")
    pinned_row = await row(cell, pinned)
    assert (pinned_row["waiting"], pinned_row["restarted"]) == (1, 1)
    assert pinned_row["reason"].startswith("domain group lost")


async def restore_domain(cell, service, pinned):
    """Start the far domain on its old disks, at first cut off from the cell, and restore it."""
    cell.network.cut(FAR)
    for name in STORES_BY_DOMAIN[FAR]:
        cell.start_store(name)
    cell.start_entry("e2")
    cell.start_workers("w", 2, *LARGE, domain=FAR)
    await sleep(CUT_OFF_S)
    assert running_tasks(cell, "w", service) == 0, "started without the permission of the cell"
    cell.network.heal()
    restore = {"action": "restore", "groups": [GROUP]}
    assert await operator_code(cell, "domain", restore, request_id="early") in (4010, None)

    async def is_idle():
        return await group_status(cell) == "lost, idle"

    await wait_until(is_idle, "the far group confirms that nothing runs there")
    assert running_tasks(cell, "w", pinned) == 0
    await cell.operate("domain", restore, request_id="restore")
    await wait_until(lambda: running_tasks(cell, "w", pinned) == 1, "the pinned service runs again")


@pytest.mark.timeout(300)
def test_lost_domain_comes_back_and_runs_nothing_twice(tmp_path):
    """Guards against jobs that stay in a lost domain, and tasks that run again when it returns."""

    async def check(cell):
        service, pinned, batch = await start_jobs(cell)
        await lose_domain(cell, service, pinned)
        await restore_domain(cell, service, pinned)
        records = read(cell.record("n"), cell.record("w"))
        assert check_workers(records) == []
        jobs = {service: SERVICE, pinned: PINNED, batch: BATCH}
        limits = {job: TASKS_BY_NAME[name] for job, name in jobs.items()}
        assert check_jobs(records, limits) == []
        batch_records = [line for line in records if batch in line.get("task", "")]
        assert len(batch_records) == 2 * TASKS_BY_NAME[BATCH]  # one start and one end each
        assert await has_state(cell, batch, "succeeded")

    locations = LOCATION_BY_NAME | {"n": NEAR}
    with_cell(tmp_path, check, layout=LAYOUT, location_by_name=locations, document=DOCUMENT)
