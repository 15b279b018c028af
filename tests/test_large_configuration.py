"""A configuration of some thousands of queues, at an entry with a link of low bandwidth."""

from random import Random

from anyio import create_task_group, sleep

from siskintally.clock import now as steady
from tests.processes import wait_until
from tests.slow_link_cell import play
from tests.test_platform_process import CONFIG, LASTING_JOB

# The users' limits: for the acknowledgement of a cancellation, from there to the stop of the
# tasks, and from the acknowledgement of a configuration until it is in force.
ACKNOWLEDGE_LIMIT_S = 5.0
STOP_LIMIT_S = 4.9
CONFIG_APPLY_LIMIT_S = 3.0
QUEUE_COUNT = 4200
# The first cancellation is sent when the configuration is acknowledged, the last one 5 s later.
CANCELLED_JOB_COUNT = 6
CANCEL_INTERVAL_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
REMOVED_ROUTE = {**CONFIG["routes"][0], "name": "removed", "pathPrefix": "/removed/"}


def large_config():
    """Return a newer configuration: the queue of the jobs, and thousands of new queues."""
    random = Random(17)
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"

    def word(length):
        return "".join(random.choices(letters, k=length))

    routes = [
        {
            "name": f"r-{word(3)}{number:04}",
            "host": f"{word(6)}.example",
            "pathPrefix": f"/{word(4)}{number % 1000}/",
            "service": "s",
            "timeoutMs": 3000,
            "maxAttempts": 3,
            "priority": random.randrange(4),
            "targetRuntimeMs": random.randrange(100, 9000),
            "stretch": 1.5,
            "advice": {"decideMs": 33.6, "periodMs": 0.3, "validMs": 2500},
        }
        for number in range(QUEUE_COUNT)
    ]
    return {**CONFIG, "version": 8, "routes": [*CONFIG["routes"], *routes]}


async def resend_while_unavailable(cell, method, path):
    """Resend an idempotent request with backoff while it is unavailable or its outcome unknown."""
    started_at = steady()
    backoff_s = FIRST_BACKOFF_S
    while True:
        time_left_s = started_at + ACKNOWLEDGE_LIMIT_S - steady()
        if time_left_s <= 0:
            raise AssertionError(f"{method} not acknowledged within {ACKNOWLEDGE_LIMIT_S} s")
        answer = await cell.job(method, path, timeout=time_left_s)
        if answer is not None and answer.status_code not in (503, 504):
            return answer
        await sleep(backoff_s)
        backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)


# Guards against entries that refuse cancellations while their links are full with a configuration.
def test_a_cancellation_is_acknowledged_while_a_large_configuration_is_new(tmp_path):
    paths = [f"/q/{number:016x}" for number in range(CANCELLED_JOB_COUNT)]

    async def check(cell, worker):
        def is_recorded(event, path):
            job_id = path.removeprefix("/q/")
            return any(row[1] == event and row[2].startswith(job_id) for row in worker.history)

        def is_stopped(path):
            return is_recorded("STOPPED", path)

        async def submit(path):
            async def accepted():
                answer = await cell.job("POST", path, json=LASTING_JOB)
                return answer is not None and answer.status_code == 200

            await wait_until(accepted, "accepted")

        for path in paths:
            await submit(path)
        await wait_until(lambda: all(is_recorded("START", path) for path in paths), "started")
        await cell.control_call("POST", "/config/replace", json=large_config())
        failures = []

        async def cancel(number, path):
            await sleep(number * CANCEL_INTERVAL_S)
            try:
                answer = await resend_while_unavailable(cell, "DELETE", path)
                assert answer.status_code == 200
                await wait_until(lambda: is_stopped(path), "task stopped", limit_s=STOP_LIMIT_S)
            except AssertionError as error:
                failures.append(f"{number * CANCEL_INTERVAL_S} s after the configuration: {error}")

        async with create_task_group() as tasks:
            for number, path in enumerate(paths):
                tasks.start_soon(cancel, number, path)
        assert not failures

    play(tmp_path, CONFIG, check)


# Guards against entries that never receive a configuration that takes their link some seconds.
def test_an_entry_serves_the_new_queues_of_a_large_configuration_in_time(tmp_path):
    first = {**CONFIG, "routes": [*CONFIG["routes"], REMOVED_ROUTE]}
    second = large_config()
    new_route = second["routes"][-1]

    async def check(cell, worker):
        async def status(host, path):
            answer = await cell.job("GET", path, host=host, timeout=CONFIG_APPLY_LIMIT_S)
            return answer.status_code if answer is not None else None

        async def old_queue_is_served():
            return await status(REMOVED_ROUTE["host"], REMOVED_ROUTE["pathPrefix"]) == 200

        await wait_until(old_queue_is_served, "first configuration in force")
        await cell.control_call("POST", "/config/replace", json=second)

        async def new_queue_is_served():
            return await status(new_route["host"], new_route["pathPrefix"]) == 200

        await wait_until(new_queue_is_served, "new queue served", limit_s=CONFIG_APPLY_LIMIT_S)
        assert await status(REMOVED_ROUTE["host"], REMOVED_ROUTE["pathPrefix"]) == 404

    play(tmp_path, first, check)
