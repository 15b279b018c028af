"""An operator removes a queue while one of its jobs waits; the jobs of another queue must go on."""

import asyncio
from pathlib import Path

from review.standins.case import HOST, configuration, job, main

TASK_S = 1.0
WORKER_CPU, JOB_CPU = 4000, 1000
# The page's finish_s, and the span for which a job may have nothing running then.
FINISH_S = 14.0
IDLE_S = 3.0
KEPT, REMOVED = "kept", "removed"
REMOVED_ID = f"{255:016x}"


async def play(case):
    """Remove a queue with a waiting job, and look at the jobs of the queue that stays."""
    await case.prepare(configuration(version=7, queues=(KEPT, REMOVED)))
    await case.add_worker("i-1", cpu=WORKER_CPU, duration_s=lambda task: TASK_S)
    await asyncio.sleep(1.0)
    accepted = []

    async def hand_in(number):
        path = f"/{KEPT}/{number:016x}"
        reply = await case.cell.client("POST", path, job(cpu=JOB_CPU), host=HOST, entry=number)
        if reply is not None and 200 <= reply.status < 300:
            accepted.append(path)

    def used_milli():
        """Return the processor use of all runs at work on the worker."""
        names = [row[0].partition(".")[0] for row in case.runs() if row[5] is None]
        return sum(WORKER_CPU if name == REMOVED_ID else JOB_CPU for name in names)

    # Two tasks, each of which takes the whole worker: one of them waits for a second.
    await case.cell.submit(f"/{REMOVED}/{REMOVED_ID}", job(tasks=2, cpu=WORKER_CPU), host=HOST)
    await asyncio.sleep(0.2)
    for number in (1, 2, 3):
        await hand_in(number)
    queues = (KEPT,) if case.with_trouble else (KEPT, REMOVED)
    await case.cell.operate("POST", "/config/replace", configuration(version=9, queues=queues))
    for number in (4, 5, 6):
        await asyncio.sleep(0.5)
        await hand_in(number)
    case.record.add("client", "end of the traffic", accepted=len(accepted))

    await asyncio.sleep(FINISH_S)
    for path in accepted:
        await case.cell.client("GET", path, host=HOST)
    # The worker has room for such a job twice over, and less than half of it is in use.
    has_started = False
    is_half_used = False
    since = case.record.now()
    while case.record.now() - since < IDLE_S:
        has_started |= any(row[4] >= since for row in case.runs())
        is_half_used |= used_milli() * 2 >= WORKER_CPU
        await asyncio.sleep(0.05)
    done = {row[0].partition(".")[0] for row in case.runs() if row[6] == "done"}
    unfinished = [path for path in accepted if path.rpartition("/")[2] not in done]
    ends = {node.name: node.own_ends for node in (*case.cell.stores, *case.cell.entries)}
    case.record.add("check", "processes that ended by themselves", **ends)
    if has_started or is_half_used:
        return []
    return [f"LOST: {path} was accepted, has not run, and a worker is free" for path in unfinished]


if __name__ == "__main__":
    main(Path(__file__).parent, play)
