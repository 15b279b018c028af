"""A worker believed to have started again is neither overfilled nor are its tasks run twice."""

from contextlib import suppress

from anyio import run
from pytest import mark

from siskintally.control_pb2 import FlowSubmit, PoolWorker, WorkerSeen
from siskintally.errors import SiskintallyError
from siskintally.platform.workers import PlatformWorkerDriver
from tests.flow_harness import make_flow, make_step
from tests.overfill import (
    STEPS,
    WORKER_CPU_MILLI,
    OverfillScenario,
    WorkerRun,
    find_broken_rules,
)
from tests.test_flow_cell import FlowCell, has_state


class OverfillCell(OverfillScenario, FlowCell):
    """Three stores in this process."""

    def make_driver(self):
        """Return a driver with connections of its own."""
        return PlatformWorkerDriver()

    async def announce(self, host):
        """Let a worker announce itself."""
        await self.call(WorkerSeen(worker=host.announcement()))

    async def announce_made_up_life(self, host):
        """Send the leader a later life of a worker that goes on."""
        record = PoolWorker()
        record.CopyFrom(host.announcement())
        record.born_ms += 1
        for node in list(self.node_by_host.values()):
            with suppress(SiskintallyError):
                await node.client.call(WorkerSeen(worker=record), timeout=2.0)

    async def submit(self, name):
        """Submit a flow of small and large tasks."""
        steps = [make_step(count, cpu_milli=cpu_milli) for count, cpu_milli in STEPS]
        await self.call(FlowSubmit(flow=make_flow(name, *steps)))

    async def is_completed(self, name):
        """Return whether a flow is completed."""
        return await has_state(self, name, "completed")

    async def restart_worker_and_kill_leader(self, host):
        """Let a worker start again; kill the leader in the first case, so that two stores go on."""
        leader = self.leader()
        if leader is not None and len(self.node_by_host) == len(self.hosts):
            self.kill(leader)
        await self.restart_worker(host)


DISTURBANCES = {
    "starts again": OverfillCell.restart_worker,
    "starts again, next leader": OverfillCell.restart_worker_and_kill_leader,
    "later life of another writer": OverfillCell.announce_made_up_life,
}


@mark.parametrize("name", DISTURBANCES)
def test_a_worker_is_not_overfilled_with_tasks_that_run_twice(tmp_path, name):
    """Guards against a leader that takes a worker's room for free and its tasks for not running."""

    async def main():
        async with OverfillCell(folder=tmp_path).running() as cell:
            await cell.configure()
            await cell.start_workers(cell.tasks)
            broken = await cell.play(lambda host: DISTURBANCES[name](cell, host))
            print(broken.counts(), broken.both[:3])
            assert (broken.overfull, broken.double) == ([], [])

    run(main)


def make_runs(*rows):
    """Return runs from (worker, task, start, end) rows."""
    return [
        WorkerRun((worker, 1), task, number, start, end)
        for number, (worker, task, start, end) in enumerate(rows)
    ]


FULL = [("w0", f"f.0.0.{number}", 0.0, 9.0) for number in range(WORKER_CPU_MILLI // STEPS[0][1])]


def test_the_check_finds_an_overfull_worker_whose_task_runs_elsewhere():
    """Guards against a check that finds nothing in records that break both rules."""
    runs = make_runs(*FULL, ("w1", "f.0.0.0", 1.0, 9.0), ("w0", "f.0.0.9", 2.0, 3.0))
    broken = find_broken_rules(runs)
    assert [(instant.at, instant.process) for instant in broken.both] == [(2.0, ("w0", 1))]
    assert [earlier.task_id for earlier, _ in broken.double] == ["f.0.0.0"]


def test_the_check_accepts_runs_that_follow_each_other():
    """Guards against a check that counts the end of a run as an overlap."""
    runs = make_runs(*FULL, ("w1", "f.0.0.0", 9.0, 10.0), ("w0", "f.0.0.9", 9.0, 9.5))
    assert find_broken_rules(runs) == ([], [], [])
