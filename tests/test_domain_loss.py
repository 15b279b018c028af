"""Loss of a failure domain that is declared lost and returns with its old disks."""

import pytest
from anyio import sleep

from tests.cell_runs import with_cell
from tests.checker import check_jobs, check_workers, read
from tests.processes import wait_until
from tests.two_domains import DOCUMENT, FAR, LAYOUT, NEAR, PLACES, STORES_BY_DOMAIN

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


async def code_of(cell, verb, arguments, *, request_id):
    """Return the result code of an operator call, or None if it got no answer."""
    return (await cell.post("e1", verb, arguments, request_id)).get("code")


async def row(cell, job):
    """Return the row of a job in the answer to the operator call ``jobs``."""
    answer = await cell.operate("jobs", {"jobs": [job]}, request_id="read")
    return answer["jobs"][0]


async def standing(cell):
    """Return the status of the far group as the cell reports it."""
    status = await cell.operate("status", {}, request_id="read")
    return next(row["standing"] for row in status["groups"] if row["group"] == GROUP)


def running(cell, name, job):
    """Return the number of tasks of a job that run on the workers of a stub process."""
    lines = [line for line in read(cell.record(name)) if job in line.get("task", "")]
    starts = sum(line["event"] == "start" for line in lines)
    return 2 * starts - len(lines)


async def prepare(cell):
    """Start a service in both domains and one that is pinned to the far domain.

    A batch in the far domain has ended before. Returns the ids of the three jobs.
    """
    cell.start_workers("n", 2, *LARGE, domain=NEAR)
    cell.start_workers("w", 2, *LARGE, domain=FAR)

    async def registered():
        status = await cell.operate("status", {}, request_id="read")
        return all(row["workers"] == 2 for row in status["groups"])

    await wait_until(registered, "all workers have registered")
    batch = await submit(cell, BATCH, kind="batch", run_s=1, domain=FAR)
    await wait_until(lambda: has_state(cell, batch, "succeeded"), "the batch has ended")
    service = await submit(cell, SERVICE, kind="service")
    pinned = await submit(cell, PINNED, kind="service", domain=FAR)
    await wait_until(
        lambda: running(cell, "n", service) == 3 and running(cell, "w", service) == 3,
        "the service is spread over both domains",
    )
    await wait_until(lambda: running(cell, "w", pinned) == 1, "the pinned service runs")
    return service, pinned, batch


async def has_state(cell, job, state):
    """Return whether a job has a state."""
    return (await row(cell, job))["state"] == state


async def lose(cell, service, pinned):
    """Kill everything in the far domain and declare the domain lost.

    The declaration needs force, because the cell can't see whether the machines are off.
    """
    for name in [*STORES_BY_DOMAIN[FAR], "e2"]:
        cell.processes.kill(name)
    await wait_until(
        lambda: running(cell, "w", service) == running(cell, "w", pinned) == 0,
        "workers without an owner stop their tasks when the lease expires",
    )
    cell.processes.kill("w")
    lost = {"action": "lost", "groups": [GROUP], "confirm": True}
    assert await code_of(cell, "domain", lost, request_id="lost") == 4010
    assert running(cell, "n", service) == 3
    answer = await cell.operate("domain", lost | {"force": True}, request_id="forced")
    assert answer == {"lost": [GROUP], "moved": 3, "unplaced": 1}
    await wait_until(lambda: running(cell, "n", service) == 6, "the service runs elsewhere")
    shown = await row(cell, pinned)
    assert (shown["waiting"], shown["restarted"]) == (1, 1)
    assert shown["reason"].startswith("domain group lost")


async def bring_back(cell, service, pinned):
    """Start the far domain on its old disks, at first cut off from the cell, and restore it."""
    cell.places.cut(FAR)
    for name in STORES_BY_DOMAIN[FAR]:
        cell.start_store(name)
    cell.start_entry("e2")
    cell.start_workers("w", 2, *LARGE, domain=FAR)
    await sleep(CUT_OFF_S)
    assert running(cell, "w", service) == 0, "started without the permission of the cell"
    cell.places.heal()
    restore = {"action": "restore", "groups": [GROUP]}
    assert await code_of(cell, "domain", restore, request_id="early") in (4010, None)

    async def idle():
        return await standing(cell) == "lost, idle"

    await wait_until(idle, "the far group confirms that nothing runs there")
    assert running(cell, "w", pinned) == 0
    await cell.operate("domain", restore, request_id="restore")
    await wait_until(lambda: running(cell, "w", pinned) == 1, "the pinned service runs again")


@pytest.mark.timeout(300)
def test_lost_domain_comes_back_and_runs_nothing_twice(tmp_path):
    """Guards against jobs that stay in a lost domain, and tasks that run again when it returns."""

    async def check(cell):
        service, pinned, batch = await prepare(cell)
        await lose(cell, service, pinned)
        await bring_back(cell, service, pinned)
        records = read(cell.record("n"), cell.record("w"))
        assert check_workers(records) == []
        jobs = {service: SERVICE, pinned: PINNED, batch: BATCH}
        limits = {job: TASKS_BY_NAME[name] for job, name in jobs.items()}
        assert check_jobs(records, limits) == []
        began = [line for line in records if batch in line.get("task", "")]
        assert len(began) == 2 * TASKS_BY_NAME[BATCH]  # one start and one end each
        assert await has_state(cell, batch, "succeeded")

    places = PLACES | {"n": NEAR}
    with_cell(tmp_path, check, layout=LAYOUT, place_by_name=places, document=DOCUMENT)
