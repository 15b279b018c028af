"""The check of overfilled workers against stores and an entry in processes of their own."""

from anyio import create_task_group, run
from httpx import AsyncClient
from pytest import mark

from tests.overfill import STEPS, OverfillScenario
from tests.processes import Processes, wait_until
from tests.test_platform_process import CONFIG, HOSTS, PlatformCell


class OverfillProcesses(OverfillScenario, PlatformCell):
    """Three stores and an entry in processes; the workers are served by this process."""

    async def announce(self, host):
        """Let a worker announce itself."""
        body = host.life.announcement(host.address)
        await self.control_call("POST", f"/instances/{host.name}/heartbeat", json=body)

    async def announce_made_up_life(self, host):
        """Send each store a later life of a worker that goes on."""
        body = host.life.announcement(host.address)
        body["born"] += 1
        for store in HOSTS:
            url = f"http://{store}:{self.control}/instances/{host.name}/heartbeat"
            await self.ask("POST", url, json=body, timeout=2.0)

    async def submit(self, name):
        """Submit a flow of small and large tasks."""
        steps = [{"count": count, "cpu": cpu, "estimateMs": 1000} for count, cpu in STEPS]

        async def is_accepted():
            answer = await self.job("POST", f"/q/{name}", json={"spec": "x", "steps": steps})
            return answer is not None and answer.status_code == 200

        await wait_until(is_accepted, f"{name} accepted")

    async def is_completed(self, name):
        """Return whether a flow is completed."""
        answer = await self.job("GET", f"/q/{name}")
        return answer is not None and answer.json().get("state") == "completed"


DISTURBANCES = {
    "starts again": OverfillProcesses.restart_worker,
    "later life of another writer": OverfillProcesses.announce_made_up_life,
}


@mark.parametrize("name", DISTURBANCES)
def test_no_worker_of_real_processes_is_overfilled_with_tasks_that_run_twice(tmp_path, name):
    """Guards against an overfill that shows only with links and processes between the parts."""

    async def main():
        with Processes(folder=tmp_path) as processes:
            cell = OverfillProcesses(processes=processes)
            cell.start()
            async with create_task_group() as tasks, AsyncClient() as cell.client:
                await cell.control_call("POST", "/config/replace", json=CONFIG)
                await cell.start_workers(tasks)
                broken = await cell.play(lambda host: DISTURBANCES[name](cell, host))
                tasks.cancel_scope.cancel()
            print(broken.counts(), broken.both[:3])
            assert (broken.overfull, broken.double) == ([], [])

    run(main)
