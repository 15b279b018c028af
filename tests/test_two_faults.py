"""Two simultaneous faults in a whole cell; the results are judged by the stubs' records."""

import pytest
from anyio import sleep

from tests.cell_runs import check_orders, place_orders, wait_ready, wait_version, with_cell
from tests.checker import check_workers, read
from tests.entry_net import code
from tests.processes import wait_until
from tests.two_domains import (
    DOCUMENT,
    FAR,
    LAYOUT,
    LEASE_S,
    LOCATION_BY_NAME,
    start_service,
    task_starts,
)

# Longer than the time after which a worker is considered lost: lease x 1.02 + 1 s.
FAULT_S = LEASE_S + 4


@pytest.mark.timeout(300)
def test_paused_owner_and_lost_disk_of_another_store(tmp_path):
    """Guards against a leader elected by a store with an empty disk while the owner is paused.

    It would lack committed orders, and two owners would act after the paused one is resumed.
    """

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 40)
        cell.start_workers("w", 3, "--beat_s", 2)
        await wait_ready(cell, "e1", "e2")
        job = {"name": "long", "team": "ski", "kind": "service", "tasks": 6}
        await cell.operate("submit", job | {"cpu_milli": 500, "memory_mb": 300}, request_id="job")
        await wait_until(lambda: len(task_starts(cell)) == 6, "six tasks run")
        owner = cell.owner()
        wiped = cell.random.choice([name for name in cell.stores if name != owner])
        lost = {voters[wiped] for voters in (await cell.wait_voters()).values()}

        async def pause_and_wipe():
            cell.processes.pause(owner)
            cell.processes.kill(wiped)
            cell.processes.remove(wiped)
            cell.start_store(wiped)
            # Several election timeouts; only one of three voters is running with its disk intact.
            await sleep(FAULT_S)
            assert cell.owner() == owner, "a store was elected without a quorum of intact disks"
            cell.processes.resume(owner)
            await cell.wait_voters(without=lost)

        code_by_key, answers = await place_orders(cell, pause_and_wipe, spread_s=FAULT_S)
        more = job | {"name": "more", "cpu_milli": 500, "memory_mb": 300}
        await cell.operate("submit", more, request_id="more")
        # The tasks of the first job ended when the leases expired and run again; each task of both
        # jobs runs once.
        await wait_until(lambda: len(running_tasks(cell)) == 12, "both jobs run")
        await sleep(3.0)
        assert len(running_tasks(cell)) == 12
        assert check_workers(read(cell.record("w"))) == []
        check_orders(cell, code_by_key, answers, "p1")
        assert set(code_by_key.values()) <= {1000, 1001}

    with_cell(tmp_path, check, document=DOCUMENT)


def running_tasks(cell):
    """Return the tasks that are running now, by the records of the workers."""
    tasks = set()
    for line in read(cell.record("w")):
        if line["event"] == "start":
            tasks.add(line["task"])
        else:
            tasks.discard(line.get("task"))
    return tasks


@pytest.mark.timeout(300)
def test_entry_killed_in_a_domain_that_is_cut_off(tmp_path):
    """Guards against an entry that restarts without configuration in a partitioned domain.

    It must also not run the orders of the killed entry a second time.
    """

    async def check(cell):
        await start_service(cell)
        await cell.set_behaviour("p2", service_ms=300)

        async def cut_and_kill():
            cell.network.cut(FAR)
            await cell.operate("preset", {"preset": "peak", "expect_version": 1}, request_id="peak")
            await wait_version(cell, 2, entries=["e1"])
            cell.processes.kill("e2")
            cell.start_entry("e2")
            await wait_version(cell, 1, entries=["e2"])
            await cell.wait_serving("e2")
            response = await cell.call("e2", body=b"own", idempotency_key="fjeld/own")
            assert code(response) == 1000
            assert (await cell.health("e2"))["config_version"] == 1
            cell.network.heal()
            await wait_version(cell, 2)

        code_by_key, answers = await place_orders(cell, cut_and_kill, prefix="fjeld/")
        check_orders(cell, code_by_key, answers, "p1", "p2")
        assert set(code_by_key.values()) <= {1000, 1001, 3001, 3002}
        assert len(task_starts(cell)) == 4, "the service was started again"
        assert check_workers(read(cell.record("w"))) == []

    with_cell(tmp_path, check, layout=LAYOUT, location_by_name=LOCATION_BY_NAME, document=DOCUMENT)
