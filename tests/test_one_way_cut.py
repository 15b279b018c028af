"""One-way network cuts of a control-plane VM in a whole cell; connections stay open."""

import pytest
from anyio import sleep

from tests.cell_runs import check_orders, place_orders, wait_ready, with_cell
from tests.checker import check_workers, read
from tests.processes import wait_until

LEASE_S = 10
# Longer than the time after which a worker is considered lost: lease x 1.02 + 1 s.
CUT_S = 12.0
DOCUMENT = (
    f"[presets.ordinary]\nlease_s = {LEASE_S}\n"
    "[teams.ski]\ncpu_milli = 100000\nmemory_mb = 100000\n"
)
LOCATION_BY_NAME = {
    "s1": "s1",
    "s2": "s2",
    "s3": "s3",
    "e1": "entries",
    "e2": "entries",
    "w": "workers",
}
SERVICE = {"team": "ski", "kind": "service", "tasks": 4, "cpu_milli": 500, "memory_mb": 300}


def task_starts(cell):
    """Return the records of task starts on the workers."""
    return [line for line in read(cell.record("w")) if line["event"] == "start"]


async def cell_leader(cell):
    """Return the leader of the cell group."""
    return (await cell.operate("status", {}, request_id="read"))["leader"]


@pytest.mark.timeout(300)
@pytest.mark.parametrize("direction", ["inbound", "outbound"])
def test_leader_cut_in_one_direction_is_replaced(tmp_path, direction):
    """Guards against a leader whose messages pass in one direction only.

    A leader that still sends, or still receives, could prevent the election of another one or
    continue to act as the owner.
    """

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 40)
        cell.start_workers("w", 3, "--beat_s", 2)
        await wait_ready(cell, "e1", "e2")
        await cell.operate("submit", SERVICE | {"name": "before"}, request_id="before")
        await wait_until(lambda: len(task_starts(cell)) == 4, "the first service runs")
        cut_store = await wait_until(cell.owner, "an owner")

        async def cut():
            cell.network.cut(
                cut_store, inbound=direction == "inbound", outbound=direction != "inbound"
            )
            await wait_until(lambda: cell.owner() != cut_store, "another owner")
            assert await cell_leader(cell) != cut_store
            await cell.operate("submit", SERVICE | {"name": "during"}, request_id="during")
            await wait_until(lambda: len(task_starts(cell)) == 8, "a service starts during the cut")
            await sleep(CUT_S)
            assert cut_store not in cell.acting_owners(), "the old owner still acts as owner"

        code_by_key, answers = await place_orders(cell, cut, spread_s=CUT_S)
        cell.network.heal()
        await cell.operate("submit", SERVICE | {"name": "after"}, request_id="after")
        await wait_until(lambda: len(task_starts(cell)) == 12, "a service starts after the cut")
        await sleep(3.0)
        assert len(cell.acting_owners()) == 1
        assert len({line["task"] for line in task_starts(cell)}) == len(task_starts(cell)) == 12
        assert check_workers(read(cell.record("w"))) == []
        check_orders(cell, code_by_key, answers, "p1")
        assert set(code_by_key.values()) <= {1000, 1001}

    with_cell(tmp_path, check, location_by_name=LOCATION_BY_NAME, document=DOCUMENT)
