"""Stores and worker stubs as real processes; the results are judged by the stubs' records."""

from json import dumps

from siskintally.codes import Code
from tests.checker import check_workers, read
from tests.processes import wait_until
from tests.store_processes import Stores

# Leases of 10 s, the shortest that a preset allows, keep the tests short.
DOCUMENT = """
[presets.ordinary]
lease_s = 10
[teams.ski]
cpu_milli = 1000000
memory_mb = 1000000
"""
WORKERS = 3


class StoresAndWorkers(Stores):
    """Stores that form the cell group and a domain group, and processes of worker stubs."""

    __slots__ = ()

    def _settings(self):
        group = f'[[group]]\nname = "fjeld"\nmembers = {self.names}\ndomains = ["fjeld-a"]\n'
        return super()._settings() + group

    def record(self, name):
        """Return the path of the record file of a worker process."""
        return self.folder / f"{name}.record"

    def start_workers(self, name, count=WORKERS):
        """Start one process with ``count`` worker stubs of 4 cores each."""
        self.processes.start(
            name,
            "stub-worker",
            f"--settings={self.settings_path}",
            "--domain=fjeld-a",
            f"--name={name}",
            f"--count={count}",
            "--cpu_milli=4000",
            "--memory_mb=4000",
            "--beat_s=1",
            f"--record={self.record(name)}",
        )

    async def submit(self, name, **arguments):
        """Submit a job and return its id."""
        job = {"name": name, "team": "ski", "cpu_milli": 1000, "memory_mb": 100, **arguments}
        running_store = next(name for name in self.names if self.processes.is_running(name))
        code, answer = await self.send_change(running_store, "submit", job, request_id=name)
        assert code == Code.DONE, dumps(answer)
        return answer["job"]

    def starts(self, *names):
        """Return the start records of some worker processes."""
        records = read(*(self.record(name) for name in names))
        return [record for record in records if record["event"] == "start"]

    def check(self, *names):
        """Check I1 (no overcommitted worker) and I2 (no task in two places)."""
        assert check_workers(read(*(self.record(name) for name in names))) == []


async def configure(stores):
    """Wait for a leader and set the first configuration."""
    await stores.wait_leader()
    change = {"document": DOCUMENT, "expect_version": 0}
    assert (await stores.send_change("s1", "config", change, request_id="c"))[0] == Code.DONE


def test_tasks_run_end_and_stop(tmp_path):
    """Guards against tasks that are lost or run twice between cell, owner and worker."""

    async def check(stores):
        await configure(stores)
        stores.start_workers("w")
        await stores.submit("batch", tasks=9, run_s=0.5, kind="batch")
        service = await stores.submit("service", tasks=3, kind="service")
        await wait_until(lambda: len(stores.starts("w")) == 12, "all tasks started")

        async def batch_succeeded():
            answer = await stores.call_operator("s1", "jobs")
            return answer and any(row.get("succeeded") == 9 for row in answer[1]["jobs"])

        await wait_until(batch_succeeded, "success reported to the cell")
        await stores.send_change("s1", "cancel", {"jobs": [service]}, request_id="x")
        await wait_until(
            lambda: sum(record["event"] == "stop" for record in read(stores.record("w"))) == 3,
            "service stopped",
        )
        stores.check("w")

    StoresAndWorkers(folder=tmp_path).run(check)


def test_placement_goes_on_after_the_owner_is_killed(tmp_path):
    """Guards against a new owner that restarts running tasks, or that places nothing."""

    async def check(stores):
        await configure(stores)
        stores.start_workers("w")
        await stores.submit("service", tasks=6, kind="service")
        await wait_until(lambda: len(stores.starts("w")) == 6, "service started")
        leader = await stores.wait_leader()
        stores.processes.kill(leader)
        others = [name for name in stores.names if name != leader]
        await stores.wait_leader(others)
        await stores.submit("batch", tasks=6, run_s=0.3, kind="batch")
        await wait_until(lambda: len(stores.starts("w")) == 12, "batch started")
        stores.check("w")

    StoresAndWorkers(folder=tmp_path).run(check)


def test_a_paused_worker_is_replaced_and_stops_its_tasks(tmp_path):
    """Guards against a task in two places when a worker is resumed after its lease has expired."""

    async def check(stores):
        await configure(stores)
        stores.start_workers("a", count=1)
        await stores.submit("service", tasks=2, kind="service")
        await wait_until(lambda: len(stores.starts("a")) == 2, "service started")
        stores.start_workers("b", count=1)
        stores.processes.pause("a")
        try:
            await wait_until(lambda: len(stores.starts("b")) == 2, "service moved")
        finally:
            stores.processes.resume("a")
        try:
            await wait_until(
                lambda: sum(record["event"] == "stop" for record in read(stores.record("a"))) == 2,
                "stops",
            )
        except AssertionError as error:
            raise AssertionError(f"{error}; {stores.processes.describe('a')}") from error
        stores.check("a", "b")

    StoresAndWorkers(folder=tmp_path).run(check)
