"""Case 7: a route that gets another name at the same host and prefix strands its accepted jobs."""

from asyncio import sleep
from pathlib import Path
from time import monotonic

from review.standins_2.case import CaseError, play, route
from review.standins_2.cell import free_ports
from review.standins_2.worker import Worker

PREFIX = "/q/"
EARLIER_ID = "00000000000000a1"
LATER_ID = "00000000000000a2"
WORKERS = 4
RUN_S = 2.0
# The rule allows 3 s with nothing running; jobs are asked for finish_s after the traffic.
ALLOWED_S = 3.0
FINISH_S = 14.0


def plan(worker, task, run):
    """Every run is done after two seconds."""
    return RUN_S, "done"


async def check(cell, has_trouble):
    """Change the configuration between two steps of a job; return the jobs that stand still."""
    cell.start_all()
    if not await cell.configure([route("r-1", PREFIX)]):
        raise CaseError("no configuration")
    port = free_ports(1)[0]
    for number in range(WORKERS):
        await Worker(cell=cell, name=f"i-{number}", port=port, plan=plan).begin()
    await sleep(4.0)
    await _submit(cell, EARLIER_ID)
    await sleep(RUN_S / 2)
    name = "r-2" if has_trouble else "r-1"
    if not await cell.configure([route(name, PREFIX, timeout_ms=2900)], version=2):
        raise CaseError("the second configuration was not acknowledged")
    cell.record.write(f"the route for {PREFIX} is {name} now, to the same service")
    await _submit(cell, LATER_ID)
    await sleep(FINISH_S)
    breaks = []
    for job_id in (EARLIER_ID, LATER_ID):
        status, answer = await cell.ask_entry("GET", PREFIX + job_id)
        idle_s = _idle_s(cell, job_id)
        cell.record.write(f"GET {job_id}: {status} {answer}; nothing has run for {idle_s:.1f} s")
        if not (status == 200 and answer["state"] == "completed") and idle_s > ALLOWED_S:
            text = f"{job_id} is {answer} and has nothing running for {idle_s:.1f} s"
            breaks.append(f"{text}, beside {WORKERS} empty workers")
    return breaks


async def _submit(cell, job_id):
    step = {"count": 1, "cpu": 500, "memMb": 64, "estimateMs": int(RUN_S * 1000)}
    job = {"spec": "x", "steps": [step, {**step, "after": [0]}]}
    status, _ = await cell.ask_entry("POST", PREFIX + job_id, body=job)
    cell.record.write(f"POST {job_id}: {status}")
    if status != 200:
        raise CaseError("job not accepted")


def _idle_s(cell, job_id):
    """Return for how long nothing of a job has run."""
    ends = [
        monotonic() if end is None else end
        for worker in cell.workers
        for task, _, _, end in worker.spans
        if task.startswith(job_id)
    ]
    return monotonic() - max(ends, default=0.0)


if __name__ == "__main__":
    play(check, Path(__file__).parent)
