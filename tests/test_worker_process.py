"""Stores and workers as real processes; the verdict comes from the records of the workers."""

from json import dumps

from siskintally.codes import Code
from tests.checker import check_workers, read
from tests.processes import wait_until
from tests.store_processes import Stores

# Leases of 10 s, the shortest that a preset may have, keep the tests short.
DOCUMENT = """
[presets.ordinary]
lease_s = 10
[teams.ski]
cpu_milli = 1000000
memory_mb = 1000000
"""
WORKERS = 3


class Fleet(Stores):
    """Stores of a cell group and a domain group, and worker stubs in two processes."""

    __slots__ = ()

    def _settings(self):
        group = f'[[group]]\nname = "fjeld"\nmembers = {self.names}\ndomains = ["fjeld-a"]\n'
        return super()._settings() + group

    def record(self, name):
        """Return the path of a record file."""
        return self.folder / f"{name}.record"

    def start_workers(self, name, count=WORKERS):
        """Start one process with several workers of 4 cores."""
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
        living = next(one for one in self.names if self.processes.is_running(one))
        code, answer = await self.change(living, "submit", job, request_id=name)
        assert code == Code.DONE, dumps(answer)
        return answer["job"]

    def starts(self, *names):
        """Return the start records of some worker processes."""
        records = read(*(self.record(name) for name in names))
        return [record for record in records if record["event"] == "start"]

    def check(self, *names):
        """Check I1 and I2."""
        assert check_workers(read(*(self.record(name) for name in names))) == []


async def configured(stores):
    await stores.leader()
    change = {"document": DOCUMENT, "expect_version": 0}
    assert (await stores.change("s1", "config", change, request_id="c"))[0] == Code.DONE


def test_tasks_run_end_and_stop(tmp_path):
    """Guards against tasks that are lost or doubled between cell, owner, and worker."""

    async def check(stores):
        await configured(stores)
        stores.start_workers("w")
        await stores.submit("batch", tasks=9, run_s=0.5, kind="batch")
        service = await stores.submit("service", tasks=3, kind="service")
        await wait_until(lambda: len(stores.starts("w")) == 12, "all tasks started")

        async def batch_succeeded():
            answer = await stores.ask("s1", "jobs")
            return answer and any(row.get("succeeded") == 9 for row in answer[1]["jobs"])

        await wait_until(batch_succeeded, "success reported to the cell")
        await stores.change("s1", "cancel", {"jobs": [service]}, request_id="x")
        await wait_until(
            lambda: sum(one["event"] == "stop" for one in read(stores.record("w"))) == 3, "stops"
        )
        stores.check("w")

    Fleet(folder=tmp_path).run(check)


def test_placement_goes_on_after_the_owner_is_killed(tmp_path):
    """Guards against a new owner that starts running tasks again, or none at all."""

    async def check(stores):
        await configured(stores)
        stores.start_workers("w")
        await stores.submit("service", tasks=6, kind="service")
        await wait_until(lambda: len(stores.starts("w")) == 6, "service started")
        leader = await stores.leader()
        stores.processes.kill(leader)
        others = [name for name in stores.names if name != leader]
        await stores.leader(others)
        await stores.submit("batch", tasks=6, run_s=0.3, kind="batch")
        await wait_until(lambda: len(stores.starts("w")) == 12, "batch started")
        stores.check("w")

    Fleet(folder=tmp_path).run(check)


def test_a_paused_worker_is_replaced_and_stops_its_tasks(tmp_path):
    """Guards against a task in two places when a worker wakes up after its lease."""

    async def check(stores):
        await configured(stores)
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
                lambda: sum(one["event"] == "stop" for one in read(stores.record("a"))) == 2,
                "stops",
            )
        except AssertionError as error:
            raise AssertionError(f"{error}; {stores.processes.describe('a')}") from error
        stores.check("a", "b")

    Fleet(folder=tmp_path).run(check)
