"""A worker crashes and starts again under its id; its first heartbeat follows a moment later."""

import asyncio
from pathlib import Path

from review.standins.case import HOST, configuration, job, main

TASK_S = 0.4
# The pages give heartbeatMs = 1500 as the usual pause between heartbeats.
FIRST_BEAT_S = 0.5
DOWN_S = 0.3
JOBS = 100
JOB_PAUSE_S = 0.06
# One worker of eight is a share of 0.125; the site's largest dose of such crashes is 0.14.
WORKERS = 8


async def play(case):
    """Hand in a steady stream of short jobs and let one worker start again in its midst."""
    await case.prepare(configuration())
    for number in range(1, WORKERS + 1):
        await case.add_worker(
            f"i-{number}", cpu=2000, duration_s=lambda task: TASK_S, first_beat_s=FIRST_BEAT_S
        )
    await asyncio.sleep(FIRST_BEAT_S + 1.0)

    accepted = []

    async def hand_in(number):
        path = f"/jobs/{number:016x}"
        if await case.cell.submit(path, job(estimate_ms=400), host=HOST):
            accepted.append(path)

    async def traffic():
        async with asyncio.TaskGroup() as tasks:
            for number in range(JOBS):
                tasks.create_task(hand_in(number + 1))
                await asyncio.sleep(JOB_PAUSE_S)

    async def trouble():
        await asyncio.sleep(2.5)
        if case.with_trouble:
            case.workers[0].crash()
            await asyncio.sleep(DOWN_S)
            await case.workers[0].start()

    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(traffic())
        tasks.create_task(trouble())
    await asyncio.sleep(4.0)
    for path in accepted:
        await case.cell.client("GET", path, host=HOST)
    return [
        f"TWICE: {what}: {earlier[0]} run {earlier[1]} on {earlier[2]} (life {earlier[3]}), "
        f"run {later[1]} on {later[2]} (life {later[3]})"
        for what, earlier, later in case.double_runs()
    ]


if __name__ == "__main__":
    main(Path(__file__).parent, play)
