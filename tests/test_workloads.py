"""Difficult workloads in a whole cell, checked by the records of the workers."""

import pytest
from anyio import CapacityLimiter, create_task_group, sleep

from siskintally.domain_job import job_id_of
from tests.cell_runs import with_cell
from tests.checker import check_stopped, check_workers, read
from tests.processes import wait_until

DOCUMENT = "".join(
    f"[teams.{team}]\ncpu_milli = 1000000\nmemory_mb = 1000000\naccelerators = 100\n"
    for team in ("ski", "shops")
)
WAVE_JOBS = 1000
USUAL_JOBS = 60
MAX_PARALLEL_CALLS = 16
SMALL_JOB = {"team": "ski", "kind": "batch", "cpu_milli": 100, "memory_mb": 50}
USUAL_JOB = {"team": "shops", "kind": "batch", "cpu_milli": 500, "memory_mb": 300, "run_s": 0.3}
# A worker of the tests has 4,000 thousandths of a core and 4,000 MB; there are eight of them.
NEVER_FITS = {
    "core": {"cpu_milli": 4001},
    "memory": {"memory_mb": 4001},
    "accelerator": {"accelerators": 1},
    "gang": {"kind": "gang", "tasks": 9, "cpu_milli": 4000},
}


async def call_all(cell, verb, arguments_by_id):
    """Make operator calls, up to ``MAX_PARALLEL_CALLS`` at a time; return {request id: answer}."""
    answer_by_id, limiter = {}, CapacityLimiter(MAX_PARALLEL_CALLS)

    async def call(request_id, arguments):
        async with limiter:
            entry = cell.random.choice(list(cell.entries))
            answer_by_id[request_id] = await cell.operate(
                verb, arguments, request_id=request_id, entry=entry
            )

    async with create_task_group() as tasks:
        for request_id, arguments in arguments_by_id.items():
            tasks.start_soon(call, request_id, arguments)
    return answer_by_id


async def submit(cell, jobs):
    """Submit {name: fields}; return the set of job ids."""
    arguments_by_id = {name: {"name": name, **fields} for name, fields in jobs.items()}
    return {answer["job"] for answer in (await call_all(cell, "submit", arguments_by_id)).values()}


async def job_rows(cell, job_ids):
    """Return {job id: row} of the cell's list of jobs."""
    arguments = {"jobs": sorted(job_ids), "limit": 10_000}
    answer = await cell.operate("jobs", arguments, request_id="read")
    return {row["job"]: row for row in answer["jobs"]}


async def wait_state(cell, job_ids, state):
    """Wait until the cell reports a state for all jobs."""

    async def reached():
        found = await job_rows(cell, job_ids)
        return found.keys() == job_ids and {row["state"] for row in found.values()} == {state}

    await wait_until(reached, f"{len(job_ids)} jobs are {state}")


async def start_workers_of_all_kinds(cell):
    """Start good workers, workers that fail every task, and some with ten times the run time."""
    cell.start_workers("good", 4)
    cell.start_workers("bad", 2, "--fail")
    cell.start_workers("slow", 2, "--run_factor", 10, "--size_factor", 10)

    async def all_registered():
        status = await cell.operate("status", {}, request_id="read")
        return status["groups"][0]["workers"] == 8

    await wait_until(all_registered, "eight workers")


def records(cell):
    """Return the records of all workers."""
    return read(*(cell.record(name) for name in ("good", "bad", "slow")))


def succeeded(worker_records):
    """Return {job id: number of tasks that have succeeded}."""
    job_ids = [
        job_id_of(record["task"])
        for record in worker_records
        if record.get("result") == "SUCCEEDED"
    ]
    return {job_id: job_ids.count(job_id) for job_id in job_ids}


@pytest.mark.timeout(300)
def test_difficult_workloads_leave_no_job_without_an_outcome(tmp_path):
    """Guards against overcommitment, lost jobs and a blocked queue in a burst of cancellations.

    Declared sizes and run times are wrong by a factor of ten in both directions, some jobs can
    never run, and two of eight workers fail every task.
    """

    async def check(cell):
        change = {"document": DOCUMENT, "expect_version": 1}
        await cell.operate("config", change, request_id="quotas")
        # Accepted, because no worker is known yet.
        never = await submit(cell, {"early": USUAL_JOB | NEVER_FITS["core"]})
        await start_workers_of_all_kinds(cell)
        wave = await submit(cell, {f"wave-{number}": SMALL_JOB for number in range(WAVE_JOBS)})
        assert len(wave) == WAVE_JOBS
        outcome = {}

        async def submit_others():
            usual = {f"usual-{number}": USUAL_JOB for number in range(USUAL_JOBS)}
            # Declared at ten times the run time of most workers, and at a tenth of it on "slow".
            wrong = {f"wrong-{number}": USUAL_JOB | {"run_s": 0.8} for number in range(4)}
            outcome["finishing"] = await submit(cell, usual | wrong)
            for name, fields in NEVER_FITS.items():
                job = USUAL_JOB | {"name": name} | fields
                reply = await cell.post("e1", "submit", job, name)
                assert reply["code"] in (1000, 4005), reply
                never.update([reply["answer"]["job"]] if reply["code"] == 1000 else [])
            endless = {"kind": "service", "tasks": 100, "run_s": 0, "class": "deferrable"}
            outcome["pending"] = await submit(cell, {"large": USUAL_JOB | endless})

        async with create_task_group() as tasks:
            tasks.start_soon(submit_others)
            cancels = {f"cancel-{job_id}": {"jobs": [job_id]} for job_id in wave}
            answers = await call_all(cell, "cancel", cancels)
        assert all(answer["cancelled"] == 1 for answer in answers.values())
        await wait_state(cell, wave, "cancelled")
        records_at_cancellation = records(cell)
        await wait_state(cell, outcome["finishing"], "succeeded")
        await wait_state(cell, never, "never")
        await sleep(1.0)
        worker_records = records(cell)
        assert check_workers(worker_records) == []
        assert check_stopped(worker_records, wave, since=records_at_cancellation[-1]["t"]) == []
        assert succeeded(worker_records) == dict.fromkeys(outcome["finishing"], 1)
        assert all(row["reason"] for row in (await job_rows(cell, never)).values())
        (large,) = (await job_rows(cell, outcome["pending"])).values()
        assert large["running"] < 100
        assert large["reason"]
        bad = [record for record in worker_records if record["worker"].startswith("bad")]
        assert any(record.get("result") == "FAILED" for record in bad)

    with_cell(tmp_path, check)
