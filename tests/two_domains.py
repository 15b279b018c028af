"""A cell of two failure domains, each with three stores, an entry and an endpoint."""

from tests.checker import read
from tests.full_cell import Layout
from tests.processes import wait_until

NEAR, FAR = "jylland-a", "fjeld-a"
STORES_BY_DOMAIN = {NEAR: ["s1", "s2", "s3"], FAR: ["s4", "s5", "s6"]}
# Two of the three members are in the near domain, so the far domain alone has no quorum of the cell
# group.
CELL_MEMBERS = ["s1", "s2", "s4"]
LEASE_S = 10
DOCUMENT = (
    f"[presets.ordinary]\nlease_s = {LEASE_S}\n[presets.peak]\nlease_s = {LEASE_S}\n"
    "[teams.ski]\ncpu_milli = 100000\nmemory_mb = 100000\n"
)


LAYOUT = Layout(
    stores={name: domain for domain, names in STORES_BY_DOMAIN.items() for name in names},
    entries={"e1": NEAR, "e2": FAR},
    members_by_group={"jylland": STORES_BY_DOMAIN[NEAR], "fjeld": STORES_BY_DOMAIN[FAR]}
    | {"cell": CELL_MEMBERS},
    domains_by_group={"jylland": [NEAR], "fjeld": [FAR]},
)


LOCATION_BY_NAME = LAYOUT.domain_by_name() | {"w": FAR}


async def start_service(cell):
    """Start an endpoint in each domain, and a service of four tasks in the far one."""
    cell.start_stub("p1", entries=["e1"], domain=NEAR)
    cell.start_stub("p2", entries=["e2"], domain=FAR)
    for entry in cell.entries:
        await cell.wait_serving(entry)
    cell.start_workers("w", 2, domain=FAR)
    job = {"name": "tally", "team": "ski", "kind": "service", "tasks": 4, "domain": FAR}
    await cell.operate("submit", job | {"cpu_milli": 1000, "memory_mb": 500}, request_id="job")
    await wait_until(lambda: len(task_starts(cell)) == 4, "four tasks run")


def task_starts(cell):
    """Return the records of task starts on the workers."""
    return [line for line in read(cell.record("w")) if line["event"] == "start"]
