"""Case 9: the failure of a superseded run does not count, so a task runs beyond maxAttempts."""

from asyncio import gather, sleep
from pathlib import Path
from time import monotonic

from review.standins_2.case import CaseError, play, route
from review.standins_2.cell import free_ports
from review.standins_2.worker import LASTS, Worker

ATTEMPTS = 2
PREFIX = "/q/"
JOB_IDS = tuple(f"{number:016x}" for number in range(161, 167))
# A job beside them: the leader polls workers on which something runs, and acknowledges ends then.
LASTING_ID = "00000000000000b1"
# Both workers with this label have to be used, so that the place of each run is certain.
LABEL = "b"
WORKERS = 12
LARGE_CPU = 64000
SMALL_CPU = 16000
CUT_S = 2.6
# The rule excuses starts up to a second after the last end was taken note of.
EXCUSED_S = 1.0


def plan(worker, task, run):
    """Every run fails by its own fault after a moment, but those of the job that lasts."""
    if task.startswith(LASTING_ID):
        return 600.0, LASTS
    return 0.8, "failed"


async def check(cell, has_trouble):
    """Cut off the worker on which the tasks run; return the starts beyond the budget."""
    cell.start_all()
    if not await cell.configure([route("r-1", PREFIX, attempts=ATTEMPTS)]):
        raise CaseError("no configuration")
    port = free_ports(1)[0]
    for number in range(WORKERS):
        worker = Worker(
            cell=cell,
            name=f"i-{number}",
            port=port,
            plan=plan,
            labels=(LABEL if number < 2 else "a", "r1"),
            # The larger worker is preferred, so all first runs are on it.
            cpu=LARGE_CPU if number == 0 else SMALL_CPU,
        )
        await worker.begin()
    await sleep(4.0)
    lasting = {"count": 2, "cpu": 500, "memMb": 64, "longRunning": True, "maxPerServer": 1}
    lasting["requiredLabel"] = LABEL
    await _submit(cell, LASTING_ID, {"spec": "x", "steps": [lasting]})
    await sleep(2.0)
    step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": 800, "speculative": True}
    step["requiredLabel"] = LABEL
    job = {"spec": "x", "steps": [step]}
    await gather(*(_submit(cell, job_id, job) for job_id in JOB_IDS))
    first = await _worker_of_first_runs(cell)
    if has_trouble:
        first.cut()
        await sleep(CUT_S)
        first.restore()
    else:
        await sleep(CUT_S)
    await sleep(14.0)
    for job_id in JOB_IDS:
        status, answer = await cell.ask_entry("GET", PREFIX + job_id)
        cell.record.write(f"GET {job_id}: {status} {answer}")
    return _starts_beyond_budget(cell)


async def _submit(cell, job_id, job):
    status, _ = await cell.ask_entry("POST", PREFIX + job_id, body=job)
    cell.record.write(f"POST {job_id}: {status}")
    if status != 200:
        raise CaseError("job not accepted")


async def _worker_of_first_runs(cell):
    until = monotonic() + 5.0
    while monotonic() < until:
        for worker in cell.workers:
            if sum(not task.startswith(LASTING_ID) for _, task, _ in worker.starts) >= len(JOB_IDS):
                return worker
        await sleep(0.01)
    raise CaseError("the first runs are not on one worker")


def _starts_beyond_budget(cell):
    breaks = []
    failures = sorted(row for worker in cell.workers for row in worker.failures)
    for worker in cell.workers:
        for started_at, task, run in worker.starts:
            noted = [
                noted_at
                for noted_at, name, other in failures
                if name == task and noted_at < started_at - EXCUSED_S
            ]
            if len(noted) >= ATTEMPTS:
                text = f"run {run} of {task} started on {worker.name}"
                breaks.append(f"{text} after {len(noted)} noted ends failed of {ATTEMPTS} allowed")
    return breaks


if __name__ == "__main__":
    play(check, Path(__file__).parent)
