"""Failures in whole cells of real processes; the results are judged by the stubs' records."""

import pytest
from anyio import sleep

from tests.cell_runs import check_orders, place_orders, wait_ready, with_cell
from tests.checker import check_workers, read
from tests.entry_net import code
from tests.processes import wait_until

# Longer than a lease of 30 s, and than the time after which a worker is considered lost.
PAUSE_S = 36.0


@pytest.mark.timeout(300)
def test_orders_survive_the_loss_of_the_ledger_leader(tmp_path):
    """Guards against a second run of an order whose record the new ledger leader lacks."""

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 40)
        await wait_ready(cell, "e1", "e2")

        async def kill_owner():
            owner = cell.owner()
            cell.processes.kill(owner)
            await sleep(2.0)
            cell.start_store(owner)

        code_by_key, answers = await place_orders(cell, kill_owner)
        check_orders(cell, code_by_key, answers, "p1")
        assert set(code_by_key.values()) <= {1000, 1001}

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_orders_of_a_killed_entry_do_not_run_twice(tmp_path):
    """Guards against a retry that runs an order which the killed entry had already sent."""

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 300)
        await wait_ready(cell, "e1", "e2")

        async def kill_entry():
            cell.processes.kill("e1")
            await sleep(1.0)
            cell.start_entry("e1")

        code_by_key, answers = await place_orders(cell, kill_entry)
        check_orders(cell, code_by_key, answers, "p1")
        assert set(code_by_key.values()) <= {1000, 1001, 3001, 3002}

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_late_answer_leaves_the_outcome_unknown_for_good(tmp_path):
    """Guards against a retry that runs again, or that gets the answer of another request.

    The endpoint answers after the deadline, so the entry cannot know the outcome.
    """

    async def check(cell):
        cell.start_stub("p1", "--fault", "late")
        await wait_ready(cell, "e1", "e2")
        headers = {"siskintally_deadline_ms": "1500"}
        code_by_key, answers = await place_orders(cell, lambda: sleep(0), orders=6, headers=headers)
        await sleep(7.0)
        for key in code_by_key:
            code_by_key[key] = await cell.place_order(key, answers)
        run_keys = check_orders(cell, code_by_key, answers, "p1")
        assert all(code == 3001 for key, code in code_by_key.items() if key in run_keys)

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_empty_disk_does_not_vote(tmp_path):
    """Guards against a quorum with a store that votes as its old incarnation on an empty disk."""

    async def check(cell):
        owner = await wait_until(cell.owner, "an owner")
        wiped, other = (name for name in cell.stores if name != owner)
        lost = {voters[wiped] for voters in (await cell.wait_voters()).values()}
        cell.processes.kill(wiped)
        cell.processes.kill(owner)
        cell.processes.remove(wiped)
        cell.start_store(wiped)
        # Several election timeouts; the one remaining voter has one of three votes.
        await sleep(12.0)
        assert cell.owner() == owner
        cell.start_store(owner)
        change = {"preset": "peak", "expect_version": 1}
        await cell.operate("preset", change, request_id="after")
        await cell.wait_voters(without=lost)
        cell.processes.kill(other)
        change = {"preset": "ordinary", "expect_version": 2}
        answer = await cell.operate("preset", change, request_id="last")
        assert answer["version"] == 3

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_paused_owner_starts_no_task_a_second_time(tmp_path):
    """Guards against an owner that is resumed after its lease and acts on its cached state."""

    async def check(cell):
        cell.start_workers("w", 3, "--beat_s", 2)
        job = {"name": "long", "team": "ski", "kind": "service", "tasks": 6}
        await cell.operate(
            "submit", job | {"cpu_milli": 1000, "memory_mb": 500}, request_id="job-1"
        )
        record = cell.record("w")

        def task_starts():
            return [line for line in read(record) if line["event"] == "start"]

        await wait_until(lambda: len(task_starts()) >= 6, "six tasks run")
        paused = cell.owner()
        cell.processes.pause(paused)
        await wait_until(lambda: cell.owner() != paused, "a new owner")
        more = job | {"name": "more", "cpu_milli": 500, "memory_mb": 500}
        await cell.operate("submit", more, request_id="job-2", entry="e2")
        await sleep(PAUSE_S)
        cell.processes.resume(paused)
        await wait_until(lambda: len(task_starts()) >= 12, "the second job runs")
        await sleep(5.0)
        assert check_workers(read(record)) == []
        running = {line["task"] for line in task_starts()}
        assert len(running) == 12

    with_cell(tmp_path, check)


async def random_fault(cell):
    """Apply one random fault and end it; at most one store is down or paused at a time."""
    random = cell.random
    kind = random.choice(["kill store", "pause store", "kill entry", "pause entry", "late", "fail"])
    print("fault:", kind, "while", cell.owner(), "owns the domain")
    if kind in ("late", "fail"):
        await cell.set_behaviour("p1", fault=kind)
        await sleep(random.uniform(0.5, 3.0))
        await cell.set_behaviour("p1", fault="none")
        return
    names = cell.stores if "store" in kind else list(cell.entries)
    name = random.choice(names)
    if kind.startswith("pause"):
        cell.processes.pause(name)
        await sleep(random.uniform(0.5, 6.0))
        cell.processes.resume(name)
        return
    cell.processes.kill(name)
    await sleep(random.uniform(0.0, 3.0))
    (cell.start_store if "store" in kind else cell.start_entry)(name)


@pytest.mark.timeout(300)
def test_random_faults_break_no_invariant(tmp_path):
    """Guards against violations that only a sequence of crashes and pauses causes."""

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 100)
        cell.start_stub("p2", "--service_ms", 100)
        cell.start_workers("w", 3, "--beat_s", 2)
        await wait_ready(cell, "e1", "e2")
        job = {"name": "batch", "team": "ski", "kind": "batch", "tasks": 40, "run_s": 2.0}
        job |= {"cpu_milli": 500, "memory_mb": 300}
        await cell.operate("submit", job, request_id="job")

        async def faults():
            for _ in range(6):
                await random_fault(cell)
                await sleep(cell.random.uniform(0.0, 2.0))

        code_by_key, answers = await place_orders(cell, faults, spread_s=25.0)
        check_orders(cell, code_by_key, answers, "p1", "p2")
        record = cell.record("w")

        def ended_tasks():
            return {line["task"] for line in read(record) if line["event"] == "end"}

        await wait_until(lambda: len(ended_tasks()) == 40, "all tasks of the job end")
        assert check_workers(read(record)) == []

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_drained_endpoint_gets_no_new_work_at_any_entry(tmp_path):
    """Guards against a drain by an operator that is accepted but has no effect."""

    async def check(cell):
        cell.start_stub("p1")
        await wait_ready(cell, "e1", "e2")

        async def answers(expected):
            responses = [await cell.call(entry) for entry in cell.entries]
            return all(response and code(response) == expected for response in responses)

        drain = {"kind": "endpoint", "name": "p1", "draining": True}
        await cell.operate("drain", drain, request_id="drain")
        await wait_until(lambda: answers(2002), "no endpoint is in service")
        before = len(read(cell.record("p1")))
        assert await answers(2002)
        assert len(read(cell.record("p1"))) == before
        await cell.operate("drain", drain | {"draining": False}, request_id="undrain")
        await wait_until(lambda: answers(1000), "the endpoint is in service again")

    with_cell(tmp_path, check)


@pytest.mark.timeout(300)
def test_orders_go_on_when_links_to_the_stores_fall_silent(tmp_path):
    """Guards against calls that never return or run twice when links deliver no more frames."""

    async def check(cell):
        cell.start_stub("p1", "--service_ms", 40)
        await wait_ready(cell, "e1", "e2")

        async def silence():
            for forwarder in cell.forwarders:
                forwarder.silence()
            await sleep(cell.random.uniform(0.5, 6.0))
            for forwarder in cell.forwarders:
                forwarder.block("to_client")
            await sleep(5.0)
            for forwarder in cell.forwarders:
                forwarder.heal()

        assert cell.forwarders
        code_by_key, answers = await place_orders(cell, silence, spread_s=12.0)
        assert "link silent" in cell.processes.log_text("e1")
        check_orders(cell, code_by_key, answers, "p1")
        assert set(code_by_key.values()) <= {1000, 1001}

    location_by_name = dict.fromkeys(("s1", "s2", "s3"), "stores") | {
        "e1": "entries",
        "e2": "entries",
    }
    with_cell(tmp_path, check, location_by_name=location_by_name)
