"""Planned stop of each process of a cell under load; judged by the records of the stubs."""

from json import loads

import pytest
from anyio import create_task_group, sleep
from httpx import AsyncClient, ConnectError, HTTPError, Limits

from tests.cell_runs import check_orders, wait_ready, with_cell
from tests.checker import check_workers, read
from tests.processes import wait_until

CALLERS = 6
ORDERERS = 3
RETRY_S = 0.1
SERVICE = {"team": "ski", "kind": "service", "tasks": 4, "cpu_milli": 500, "memory_mb": 300}


class Load:
    """Callers that send requests and orders until the test ends.

    :param error_by_path: errors of the HTTP client, by path of the request that got no answer.
    :param refused: number of refused connections.
    """

    __slots__ = (
        "answers",
        "cell",
        "client",
        "code_by_key",
        "error_by_path",
        "is_over",
        "refused",
        "sent",
    )

    def __init__(self, *, cell):
        self.cell = cell
        self.is_over = False
        self.sent = 0
        self.refused = 0
        self.error_by_path = {}
        # Without keep-alive: a server may close an idle connection just as a request is sent on it.
        self.client = AsyncClient(timeout=30.0, limits=Limits(max_keepalive_connections=0))
        self.code_by_key = {}
        self.answers = []

    async def send_requests(self, caller):
        """Send requests, each with its own path, through random entries until the load ends."""
        while not self.is_over:
            self.sent += 1
            path = f"request-{caller}-{self.sent}"
            entry = self.cell.random.choice(list(self.cell.entries))
            url = f"{self.cell.url_by_name[entry]}/call/seat-count/{path}"
            try:
                response = await self.client.post(url, content=b"x")
            except ConnectError:
                self.refused += 1
                await sleep(RETRY_S)
            except HTTPError as error:
                self.error_by_path[path] = repr(error)
            else:
                if "siskintally-code" not in response.headers:
                    self.error_by_path[path] = f"HTTP status {response.status_code}"

    async def send_orders(self, caller):
        """Send orders, one after the other, until the load ends; each gets a final outcome."""
        while not self.is_over:
            key = f"order-{caller}-{len(self.code_by_key)}"
            self.code_by_key[key] = await self.cell.place_order(key, self.answers)


async def restart_in_turn(cell):
    """Stop and restart every process in turn; return ``{name: exit code}``."""
    restart_by_name = {
        **dict.fromkeys(cell.stores, cell.start_store),
        **dict.fromkeys(cell.entries, cell.start_entry),
        "p1": endpoint_starter(cell),
        "p2": endpoint_starter(cell),
        "w": lambda name: cell.start_workers(name, 2, "--beat_s", 2),
    }
    exit_by_name = {}
    for name, restart in restart_by_name.items():
        exit_by_name[name] = await cell.processes.finish(name)
        restart(name)
        await wait_until(lambda: cell.acting_owners(), "an owner")
        await wait_ready(cell, *cell.entries)
    return exit_by_name


def state_at_stops(cell, entry):
    """Return (requests in flight, unsettled ledger records) at the end of each planned stop."""
    lines = [loads(line) for line in cell.processes.log_text(entry).splitlines()]
    return [(line["in_flight"], line["unsettled"]) for line in lines if line["event"] == "drained"]


def endpoint_starter(cell):
    """Return a function that starts the endpoint stub of a given name."""
    return lambda name: cell.start_stub(name, "--service_ms", 200)


@pytest.mark.timeout(300)
def test_planned_stop_of_every_process_cuts_off_nothing(tmp_path):
    """Guards against a stop that cuts off accepted work, or that ends with an error."""

    async def check(cell):
        endpoint_starter(cell)("p1")
        endpoint_starter(cell)("p2")
        cell.start_workers("w", 2, "--beat_s", 2)
        await wait_ready(cell, *cell.entries)
        await cell.operate("submit", SERVICE | {"name": "service"}, request_id="service")
        load = Load(cell=cell)
        async with create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(load.send_requests, caller)
            for caller in range(ORDERERS):
                tasks.start_soon(load.send_orders, caller)
            exit_by_name = await restart_in_turn(cell)
            load.is_over = True
        assert set(exit_by_name.values()) == {0}, exit_by_name
        records = read(cell.record("p1"), cell.record("p2"))
        run_paths = {record["path"].strip("/") for record in records if record["event"] == "start"}
        # Only requests that never ran may fail: a connection that arrives as the listening socket
        # closes is reset before it is read.
        assert not load.error_by_path.keys() & run_paths, "accepted requests were cut off"
        for entry in cell.entries:
            assert state_at_stops(cell, entry) == [(0, 0)], (
                "the stop did not wait for its requests and records"
            )
        print(
            f"{load.sent} requests, {load.refused} refused, {len(load.error_by_path)} reset before "
            f"they ran, {len(load.code_by_key)} orders"
        )
        check_orders(cell, load.code_by_key, load.answers, "p1", "p2")
        assert set(load.code_by_key.values()) <= {1000, 1001}
        assert check_workers(read(cell.record("w"))) == []

    with_cell(tmp_path, check)
