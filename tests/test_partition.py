"""Partition between two failure domains of a cell that drops no connection; real processes."""

from time import monotonic

import pytest
from anyio import sleep

from tests.cell_runs import wait_version, with_cell
from tests.checker import check_requests, check_workers, read
from tests.entry_net import code
from tests.two_domains import (
    DOCUMENT,
    FAR,
    LAYOUT,
    LEASE_S,
    LOCATION_BY_NAME,
    start_service,
    task_starts,
)


@pytest.mark.timeout(300)
def test_partitioned_domain_goes_on_and_follows_afterwards(tmp_path):
    """Guards against a domain that stops during a partition, or runs orders of the other domain.

    After the partition the domain has to apply the configuration that it missed.
    """

    async def check(cell):
        await start_service(cell)
        answers = []
        cell.network.cut(FAR)
        # Longer than a lease, and than the time in which silent links are detected.
        await sleep(LEASE_S + 6)
        response = await cell.call("e2", body=b"boarding", timeout=20)
        assert code(response) == 1000
        response = await cell.call("e2", body=b"own", idempotency_key="fjeld/own", timeout=20)
        assert code(response) == 1000
        refused = await cell.call("e2", body=b"x", idempotency_key="jylland/far", timeout=20)
        assert code(refused) == 2003
        response = await cell.call("e1", body=b"near", idempotency_key="jylland/near", timeout=20)
        assert code(response) == 1000
        change = {"preset": "peak", "expect_version": 1}
        await cell.operate("preset", change, request_id="peak")
        await wait_version(cell, 2, entries=["e1"])
        assert (await cell.health("e2"))["config_version"] == 1
        assert len(task_starts(cell)) == 4, "the service was started again"
        cell.network.heal()
        healed = monotonic()
        await wait_version(cell, 2, entries=["e2"])
        print(f"in force {monotonic() - healed:.2f} s after the partition ended")
        keys = [record["key"] for record in read(cell.record("p1"), cell.record("p2"))]
        assert "jylland/far" not in keys
        assert keys.count("fjeld/own") == 2  # one start and one end
        assert check_workers(read(cell.record("w"))) == []
        assert check_requests(read(cell.record("p1"), cell.record("p2")), answers) == []

    with_cell(tmp_path, check, layout=LAYOUT, location_by_name=LOCATION_BY_NAME, document=DOCUMENT)
