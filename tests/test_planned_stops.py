"""Planned stop of every process of a cell under load; the records of the stubs decide."""

import pytest
from anyio import create_task_group

from tests.cell_runs import check_orders, wait_ready, with_cell
from tests.checker import check_workers, read
from tests.processes import wait_until

CALLERS = 6
ORDERERS = 3
SERVICE = {"team": "ski", "kind": "service", "tasks": 4, "cpu_milli": 500, "memory_mb": 300}


class Load:
    """Callers that send requests and orders until the test ends.

    :param lost: paths of requests whose connection ended without an answer of the system.
    """

    __slots__ = ("answers", "cell", "code_by_key", "is_over", "lost", "sent")

    def __init__(self, *, cell):
        self.cell = cell
        self.is_over = False
        self.sent = 0
        self.lost = set()
        self.code_by_key = {}
        self.answers = []

    async def send_requests(self, caller):
        """Send requests with a path of their own through random entries."""
        while not self.is_over:
            self.sent += 1
            path = f"request-{caller}-{self.sent}"
            response = await self.cell.call(self.cell.random.choice(list(self.cell.entries)), path)
            if response is None or "siskintally-code" not in response.headers:
                self.lost.add(path)

    async def send_orders(self, caller):
        """Send orders until each has an outcome."""
        while not self.is_over:
            key = f"order-{caller}-{len(self.code_by_key)}"
            self.code_by_key[key] = await self.cell.order(key, self.answers)


async def stop_in_turn(cell):
    """Stop and start every process; return {name: exit code}."""
    restart_by_name = {
        **dict.fromkeys(cell.stores, cell.start_store),
        **dict.fromkeys(cell.entries, cell.start_entry),
        "p1": start_endpoint(cell),
        "p2": start_endpoint(cell),
        "w": lambda name: cell.start_workers(name, 2, "--beat_s", 2),
    }
    exit_by_name = {}
    for name, restart in restart_by_name.items():
        exit_by_name[name] = await cell.processes.finish(name)
        restart(name)
        await wait_until(lambda: cell.owners(), "an owner")
        await wait_ready(cell, *cell.entries)
    return exit_by_name


def start_endpoint(cell):
    return lambda name: cell.start_stub(name, "--service_ms", 200)


@pytest.mark.timeout(300)
def test_planned_stop_of_every_process_cuts_off_nothing(tmp_path):
    """Guards against a stop that cuts off what was accepted, or that a process fails to make."""

    async def check(cell):
        start_endpoint(cell)("p1")
        start_endpoint(cell)("p2")
        cell.start_workers("w", 2, "--beat_s", 2)
        await wait_ready(cell, *cell.entries)
        await cell.operate("submit", SERVICE | {"name": "service"}, request_id="service")
        load = Load(cell=cell)
        async with create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(load.send_requests, caller)
            for caller in range(ORDERERS):
                tasks.start_soon(load.send_orders, caller)
            exit_by_name = await stop_in_turn(cell)
            load.is_over = True
        assert set(exit_by_name.values()) == {0}, exit_by_name
        records = read(cell.record("p1"), cell.record("p2"))
        ran = {record["path"].strip("/") for record in records if record["event"] == "start"}
        assert any(path.startswith("request-") for path in ran)
        assert not load.lost & ran, "accepted requests were cut off"
        check_orders(cell, load.code_by_key, load.answers, "p1", "p2")
        assert set(load.code_by_key.values()) <= {1000, 1001}
        assert check_workers(read(cell.record("w"))) == []
        print(f"{load.sent} requests, {len(load.lost)} lost unsent, {len(load.code_by_key)} orders")

    with_cell(tmp_path, check)
