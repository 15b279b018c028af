"""Announcements that move a worker to another address while it stays the same incarnation."""

from contextlib import suppress
from functools import partial

from anyio import Event, run, sleep
from pytest import mark

from siskintally.control_pb2 import FlowSubmit, PoolWorker, WorkerSeen
from siskintally.driver import IncarnationGoneError
from siskintally.errors import SiskintallyError
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.http_server import serve_http
from siskintally.worker_manager import WorkerManager
from tests.flow_harness import make_flow, make_step
from tests.processes import free_ports, wait_until
from tests.test_flow_cell import has_state
from tests.test_worker_incarnations import LivesCell
from tests.test_worker_manager import (
    REPORT,
    TIMING,
    LeaderOfOneWorker,
    OpenQuorumCheck,
    ScriptedWorker,
)
from tests.worker_lives import GRACEFUL_S, WorkerHost, double_runs, overfull_workers

# Short runs make the leader call the workers often, long ones go on beyond the next heartbeat.
SHORT_RUN_S = 0.2
LONG_RUN_S = 2.0
# Time between the heartbeat of the other writer and the next one of the worker.
HEARTBEAT_S = 0.8
SETTLE_S = 0.1


def run_s(task_id):
    """Return the run time of a task; the first of each step is short."""
    return SHORT_RUN_S if task_id.endswith(".0") else LONG_RUN_S


class MovedCell(LivesCell):
    """A cell with a backlog of tasks, so that each room that seems free is filled at once."""

    def __init__(self, *, folder):
        super().__init__(folder=folder)
        self.names = []
        self.impostors = []

    async def fill(self, *, gang):
        """Submit more tasks than fit and wait until the first worker has some of them."""
        await self.add_workers(run_s=run_s)
        self.names = [f"f{number}" for number in range(5)]
        for name in self.names:
            await self.call(FlowSubmit(flow=make_flow(name, make_step(4, gang=gang))))
        host = self.hosts_by_name["w1"]
        await wait_until(lambda: host.life.worker.running_by_task, "started")
        return host

    async def start_impostor(self):
        """Start a process under the id of the first worker that is another start of it."""
        impostor = WorkerHost(name="w1", tasks=self.tasks)
        await impostor.start()
        await impostor.crash()
        await impostor.start()
        self.impostors.append(impostor)
        return impostor.address

    async def announce_everywhere(self, record):
        """Send an announcement to each store."""
        for node in list(self.node_by_host.values()):
            with suppress(SiskintallyError):
                await node.client.call(WorkerSeen(worker=record), timeout=2.0)

    async def check_runs(self):
        """Wait for all flows; check that no task ran twice and no worker was overfilled."""
        for name in self.names:
            await wait_until(partial(has_state, self, name, "completed"), f"{name} completed")
        await self.stop_workers()
        for impostor in self.impostors:
            await impostor.crash()
        hosts = self.hosts_by_name.values()
        assert (double_runs(hosts), overfull_workers(hosts)) == ([], [])


def copy_of(record, **fields):
    """Return a copy of an announcement with some other fields."""
    copy = PoolWorker()
    copy.CopyFrom(record)
    copy.MergeFrom(PoolWorker(**fields))
    return copy


CASES = [
    ("another worker", "once", False),
    ("another worker", "once", True),
    ("another worker", "several times", False),
    ("another worker", "next leader", False),
    ("another worker", "leaving", False),
    ("another start", "once", False),
    ("another start", "several times", True),
    ("nobody", "once", False),
]


@mark.parametrize(("listener", "trouble", "gang"), CASES)
def test_a_foreign_address_leaves_the_tasks_of_a_worker_in_place(tmp_path, listener, trouble, gang):
    """Guards against a worker given up because another process answers at a foreign address."""

    async def main():
        async with MovedCell(folder=tmp_path).running() as cell:
            host = await cell.fill(gang=gang)
            address_by_listener = {
                "another worker": cell.hosts_by_name["w2"].address,
                "another start": await cell.start_impostor(),
                "nobody": "127.0.0.1:1",
            }
            address = address_by_listener[listener]
            for _ in range(3 if trouble == "several times" else 1):
                foreign = copy_of(
                    host.announcement(), address=address, leaving=trouble == "leaving"
                )
                await cell.announce_everywhere(foreign)
                if trouble == "next leader":
                    cell.kill(cell.leader())
                    await cell.announce_everywhere(foreign)
                    await wait_until(cell.leader, "next leader")
                    await cell.announce_everywhere(foreign)
                await sleep(HEARTBEAT_S)
                await cell.call(WorkerSeen(worker=host.announcement()))
            await cell.check_runs()

    run(main)


def test_a_worker_that_answers_at_another_address_is_called_there(tmp_path):
    """Guards against a worker that is out of use after its address has changed."""

    async def main():
        async with MovedCell(folder=tmp_path).running() as cell:
            host = await cell.fill(gang=False)
            address = f"127.0.0.1:{free_ports(1)[0]}"
            life, stop_event, stopped = host.life, Event(), Event()

            async def serve():
                await serve_http(
                    life, address=address, stop_event=stop_event, graceful_s=GRACEFUL_S
                )
                stopped.set()

            cell.tasks.start_soon(serve)
            await sleep(SETTLE_S)
            await cell.call(WorkerSeen(worker=copy_of(host.announcement(), address=address)))
            node = cell.node_by_host[cell.leader()]
            assert node.state.worker_by_id["w1"].address == address
            host.life.worker.record.address = address
            life.stop_event.set()
            await cell.call(WorkerSeen(worker=host.announcement()))
            await cell.check_runs()
            stop_event.set()
            await stopped.wait()

    run(main)


class MovingWorker(ScriptedWorker):
    """Moves while a status poll is in flight, which another process answers."""

    worker = None

    async def poll_status(self, worker, **options):
        """Answer a status poll."""
        if isinstance(self.outcomes[0], IncarnationGoneError):
            self.worker.update(copy_of(worker, address="127.0.0.1:2"))
        return await super().poll_status(worker, **options)


def test_an_answer_at_the_former_address_of_a_worker_does_not_end_it():
    """Guards against a worker given up because its former address now leads to another one."""
    driver = MovingWorker(REPORT, IncarnationGoneError("another instance"), REPORT)
    leader = LeaderOfOneWorker(driver, OpenQuorumCheck())
    record = PoolWorker(id="w", cpu_milli=1000, memory_mb=10, address="127.0.0.1:1")
    driver.worker = FleetWorker(record=record)
    driver.worker.task_by_id = {"some task": None}
    manager = WorkerManager(worker=driver.worker, leader=leader, driver=driver, timing=TIMING)
    run(manager.run)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]
