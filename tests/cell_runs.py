"""Steps shared by tests of whole cells: start a cell, send orders, check the records."""

from anyio import create_task_group, fail_after, run, sleep

from tests.checker import check_requests, read
from tests.full_cell import running_cell
from tests.processes import seeded_random, wait_until

TEST_LIMIT_S = 240
ORDERS = 24
WATCH_INTERVAL_S = 0.05


def with_cell(folder, check, **options):
    """Run ``await check(cell)`` with a running cell.

    :param options: for :func:`~tests.full_cell.running_cell`.
    """
    random = seeded_random()

    async def main():
        with fail_after(TEST_LIMIT_S):
            async with running_cell(folder, random, **options) as cell:
                await check(cell)

    run(main)


async def place_orders(cell, fault, *, orders=ORDERS, headers=None, spread_s=1.0, prefix=""):
    """Send orders while ``await fault()`` runs; return ``{key: final code}`` and all answers.

    :param spread_s: time over which the first attempts are spread, s.
    :param prefix: prefix of the idempotency keys; names the group that records them.
    """
    code_by_key, answers = {}, []

    async def place(key):
        await sleep(cell.random.uniform(0.0, spread_s))
        code_by_key[key] = await cell.place_order(key, answers, headers=headers)

    async with create_task_group() as tasks:
        for number in range(orders):
            tasks.start_soon(place, f"{prefix}order-{number}")
        await sleep(cell.random.uniform(0.2, 0.8))
        await fault()
    return code_by_key, answers


def check_orders(cell, code_by_key, answers, *stubs):
    """Check the answers against the records of the stubs, and that every process still runs.

    :returns: keys of the orders that ran.
    """
    records = read(*(cell.record(stub) for stub in stubs))
    faults = check_requests(records, answers)
    assert not faults, faults
    ran = {record["key"] for record in records if record["event"] == "start"}
    missing = {key for key, code in code_by_key.items() if code in (1000, 1001)} - ran
    assert not missing, f"answered as done, but never run: {missing}"
    for name in [*cell.entries, *cell.stores, *stubs]:
        assert cell.processes.is_running(name), f"{name} has ended: {cell.processes.log_text(name)}"
    return ran


async def wait_ready(cell, *entries):
    """Wait until the given entries serve requests."""
    for entry in entries:
        await cell.wait_serving(entry)


async def watch_versions(cell, faults):
    """Poll the configuration version in force at every entry until cancelled.

    :param faults: list to which a message is appended for each version that follows a newer one.
    """
    highest = dict.fromkeys(cell.entries, 0)
    while True:
        for entry in cell.entries:
            state = await cell.health(entry)
            # Version 0 means no configuration: a restarted entry has none and serves no requests.
            version = state["config_version"] if state else 0
            if 0 < version < highest[entry]:
                faults.append(f"{entry}: version {version} after {highest[entry]}")
            highest[entry] = max(highest[entry], version)
        await sleep(WATCH_INTERVAL_S)


async def wait_version(cell, version, *, entries=None):
    """Wait until a configuration version is in force at the entries, by default at all."""

    async def reached():
        states = [await cell.health(entry) for entry in entries or cell.entries]
        return all(state and state["config_version"] == version for state in states)

    await wait_until(reached, f"version {version} in force")
