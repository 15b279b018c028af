"""Stores that are members of several domain groups, as real processes."""

import pytest

from siskintally.errors import NotFoundError
from siskintally.metrics import Metrics
from siskintally.replicas import Replicas
from siskintally.settings import parse
from siskintally.store_links import StoreLinks
from siskintally.wire_pb2 import ConfigWatch, LedgerBegin, LedgerFinish, LedgerRelease, WorkerBeat
from tests.cell_runs import with_cell
from tests.checker import check_requests, check_workers, read
from tests.full_cell import DOMAIN, GROUP, Layout
from tests.processes import wait_until

OTHER_DOMAIN, OTHER_GROUP = "fjeld-a", "fjeld"
STORES = ["s1", "s2", "s3"]
LAYOUT = Layout(
    stores=dict.fromkeys(STORES, DOMAIN),
    entries={"e1": DOMAIN, "e2": OTHER_DOMAIN},
    members_by_group={"cell": STORES, GROUP: STORES, OTHER_GROUP: STORES},
    domains_by_group={GROUP: [DOMAIN], OTHER_GROUP: [OTHER_DOMAIN]},
)
JOB = {"team": "ski", "kind": "service", "tasks": 4, "cpu_milli": 1000, "memory_mb": 500}
SETTINGS = """
[cell]
name = "demo"
secret = "0123456789abcdef"
[[process]]
name = "s1"
role = "store"
domain = "jylland-a"
region = "jylland"
link = "127.0.0.1:7201"
data = "{folder}"
[[group]]
name = "cell"
members = ["s1"]
[[group]]
name = "jylland"
members = ["s1"]
domains = ["jylland-a", "jylland-b"]
[[group]]
name = "fjeld"
members = ["s1"]
domains = ["fjeld-a"]
"""


def test_call_reaches_the_owner_of_its_group_only(tmp_path):
    """Guards against an order recorded in the ledger of a group that no retry asks."""
    settings = parse(SETTINGS.format(folder=tmp_path))
    process = settings.process("s1")
    replicas = Replicas(
        settings=settings,
        process=process,
        links=StoreLinks(settings=settings, process=process, hello=None, handler=None, server=None),
        cell_call=None,
        metrics=Metrics(address=None, prefix=""),
    )
    for call in (ConfigWatch, LedgerBegin, LedgerFinish, LedgerRelease):
        for group in ("jylland", "fjeld"):
            assert replicas.owner_for(call(group=group)) is replicas.owner_by_group[group]
        for unknown in ("", "cell", "sjaelland"):
            with pytest.raises(NotFoundError):
                replicas.owner_for(call(group=unknown))
    for domain, group in (("jylland-b", "jylland"), ("fjeld-a", "fjeld")):
        beat = WorkerBeat(domain=domain)
        assert replicas.owner_for(beat) is replicas.owner_by_group[group]
    with pytest.raises(NotFoundError):
        replicas.owner_for(WorkerBeat(domain="sjaelland-a"))
    replicas.close()


def running_tasks(cell, workers):
    """Return the tasks that have started and not ended on the workers of a stub process."""
    records = [record for record in read(cell.record(workers)) if "task" in record]
    started = {record["task"] for record in records if record["event"] == "start"}
    return started - {record["task"] for record in records if record["event"] == "end"}


@pytest.mark.timeout(300)
def test_groups_on_the_same_stores_keep_their_workers_and_orders_apart(tmp_path):
    """Guards against a call that reaches another group's owner or ledger on the same store."""

    async def check(cell):
        for domain, entry, stub, workers in (
            (DOMAIN, "e1", "p1", "w1"),
            (OTHER_DOMAIN, "e2", "p2", "w2"),
        ):
            cell.start_stub(stub, "--service_ms", 20, entries=[entry], domain=domain)
            cell.start_workers(workers, 2, domain=domain)
            await cell.wait_serving(entry)
            job = JOB | {"name": f"tally-{workers}", "domain": domain}
            await cell.operate("submit", job, request_id=workers)
        for workers in ("w1", "w2"):
            await wait_until(
                lambda name=workers: len(running_tasks(cell, name)) == 4,
                f"the service runs on {workers}",
            )
        killed = cell.owner(OTHER_GROUP)
        keys = [f"{group}/order-{number}" for group in (GROUP, OTHER_GROUP) for number in range(6)]
        answers = []
        for key in keys[::2]:
            assert await cell.place_order(key, answers) == 1000
        cell.processes.kill(killed)
        for key in keys:
            expected = 1001 if key in keys[::2] else 1000
            assert await cell.place_order(key, answers) in (expected, 1001)
        cell.start_store(killed)
        assert check_requests(read(cell.record("p1"), cell.record("p2")), answers) == []
        assert check_workers(read(cell.record("w1"), cell.record("w2"))) == []
        assert len(running_tasks(cell, "w1")) == len(running_tasks(cell, "w2")) == 4
        status = await cell.operate("status", {}, request_id="status")
        assert {row["group"] for row in status["groups"]} == {GROUP, OTHER_GROUP}

    with_cell(tmp_path, check, layout=LAYOUT)
