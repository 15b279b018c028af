"""A worker that starts again under its id: nothing meant for its former life reaches the next."""

from contextlib import suppress
from functools import partial

from anyio import create_task_group, run, sleep
from pytest import mark, raises

from siskintally.control_pb2 import FlowSubmit, PoolWorker, WorkerSeen
from siskintally.driver import IncarnationGoneError, Order
from siskintally.errors import SiskintallyError, UnreachableError
from siskintally.platform.workers import PlatformWorkerDriver
from tests.flow_harness import make_flow, make_step
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell, has_state
from tests.worker_lives import WorkerHost, double_runs

ORDER = Order(task_id="f.0.0.0", run=7, fence=3, lease_until_ms=9_000_000)
CALL_TIMEOUT_S = 2.0
# The worker is down for a moment, and its first announcement follows later.
DOWN_S = 0.2
UNANNOUNCED_S = 0.8


def poll(driver, record, **fields):
    """Poll the status of a worker, by default without an effect."""
    fields = {"lease_until_ms": None, "committed_end_number": 0, "wait_ms": 0, **fields}
    return driver.poll_status(record, fence=3, timeout=CALL_TIMEOUT_S, **fields)


def run_with_worker(check):
    """Run a check with a driver and a worker whose first incarnation has answered a call."""

    async def main():
        async with create_task_group() as tasks:
            host = WorkerHost(name="w", tasks=tasks, run_s=lambda task_id: 60.0)
            await host.start()
            driver = PlatformWorkerDriver()
            record = PoolWorker()
            record.CopyFrom(host.announcement())
            await poll(driver, record)
            await check(host, driver, record)
            await host.crash()
            await driver.disconnect(record)
            tasks.cancel_scope.cancel()

    run(main)


CALLS = {
    "start": lambda driver, record: driver.start(record, ORDER, timeout=CALL_TIMEOUT_S),
    "stop": lambda driver, record: driver.stop(record, ORDER, timeout=CALL_TIMEOUT_S),
    "throttle": lambda driver, record: driver.throttle(record, ORDER, timeout=CALL_TIMEOUT_S),
    "poll": lambda driver, record: poll(
        driver, record, lease_until_ms=9_000_000, committed_end_number=5
    ),
}


@mark.parametrize("name", CALLS)
@mark.parametrize("rebirths", [1, 3])
def test_a_call_for_a_former_life_has_no_effect_on_the_next_one(name, rebirths):
    """Guards against tasks run twice by a worker that is taken for its former life."""

    async def check(host, driver, record):
        for _ in range(rebirths):
            await host.crash()
            life = await host.start()
            with raises(IncarnationGoneError):
                await CALLS[name](driver, record)
            assert life.worker.history == []
            assert life.worker._lease_until_ms == 0
            assert life.worker._highest_run_by_task == {}

    run_with_worker(check)


def test_a_poll_for_a_former_life_acknowledges_no_end_of_the_next_one():
    """Guards against ends that the worker discards before any leader has read them."""

    async def check(host, driver, record):
        await host.crash()
        life = await host.start()
        life.worker.start(ORDER)
        life.worker.fail_run(ORDER.task_id)
        with raises(IncarnationGoneError):
            await poll(driver, record, committed_end_number=5)
        assert [end.number for end in life.worker._unacknowledged_ends] == [1]

    run_with_worker(check)


def test_an_order_for_a_worker_that_is_down_was_certainly_not_sent():
    """Guards against tasks that wait for a lease although their order never left."""

    async def check(host, driver, record):
        await host.crash()
        with raises(UnreachableError):
            await CALLS["start"](driver, record)
        await host.start()

    run_with_worker(check)


def test_one_check_serves_all_calls_of_a_connection():
    """Guards against a status poll beside each order, which each worker has to answer."""

    async def check(host, driver, record):
        polls = []
        handle = host.life.handle

        async def count(request):
            polls.append(request.path)
            return await handle(request)

        host.life.handle = count
        for _ in range(3):
            await CALLS["stop"](driver, record)
        assert polls == ["/run-stop"] * 3

    run_with_worker(check)


def test_the_incarnation_that_answers_is_used():
    """Guards against a check that refuses the incarnation that was announced last."""

    async def check(host, driver, record):
        await host.crash()
        life = await host.start()
        await CALLS["start"](driver, host.announcement())
        assert list(life.worker.running_by_task) == [ORDER.task_id]

    run_with_worker(check)


class LivesCell(FlowCell):
    """Three stores and two workers that are called over HTTP and may start again."""

    def __init__(self, *, folder):
        super().__init__(folder=folder)
        self.hosts_by_name = {}

    def make_driver(self):
        """Return a driver with connections of its own."""
        return PlatformWorkerDriver()

    async def add_workers(self, **options):
        """Configure the cell and let two workers announce themselves.

        :param options: those of the :class:`~tests.worker_lives.WorkerHost` objects.
        """
        await self.configure()
        for name in ("w1", "w2"):
            await self.add_worker(name, **options)

    async def add_worker(self, name, **options):
        """Let a worker start and announce itself."""
        host = self.hosts_by_name[name] = WorkerHost(name=name, tasks=self.tasks, **options)
        await host.start()
        await self.call(WorkerSeen(worker=host.announcement()))

    async def restart_worker(self, name, *, meanwhile):
        """Let a worker crash, start again, and announce itself only later."""
        host = self.hosts_by_name[name]
        await host.crash()
        await sleep(DOWN_S)
        await host.start()
        await meanwhile()
        await sleep(UNANNOUNCED_S)
        await self.call(WorkerSeen(worker=host.announcement()))

    async def submit_series(self, steps, count):
        """Submit flows one after the other; return their ids."""
        names = [f"f{number}" for number in range(count)]
        for name in names:
            await self.call(FlowSubmit(flow=make_flow(name, *steps)))
            await sleep(0.04)
        return names

    async def stop_workers(self):
        """End the workers, whose servers cannot be cancelled."""
        for host in self.hosts_by_name.values():
            await host.crash()


STEPS = {
    "single": [make_step(1)],
    "gang": [make_step(2, gang=True)],
    "later step": [make_step(1), make_step(1, after=[0])],
}


async def do_nothing():
    """Do nothing while a worker is not announced."""


@mark.parametrize("kind", STEPS)
@mark.parametrize("trouble", ["one rebirth", "two rebirths", "next leader", "late announcement"])
def test_tasks_run_once_when_a_worker_starts_again_under_its_id(tmp_path, kind, trouble):
    """Guards against tasks started on a new life as on the former one, and then once more."""

    async def main():
        async with LivesCell(folder=tmp_path).running() as cell:
            await cell.add_workers()
            host = cell.hosts_by_name["w1"]
            former = PoolWorker()
            former.CopyFrom(host.announcement())

            async def disturb():
                if trouble == "next leader":
                    cell.kill(cell.leader())
                elif trouble == "late announcement":
                    former.seq += 1
                    await cell.call(WorkerSeen(worker=former))

            async def restart():
                await sleep(0.4)
                for _ in range(2 if trouble == "two rebirths" else 1):
                    await cell.restart_worker("w1", meanwhile=disturb)

            async with create_task_group() as tasks:
                tasks.start_soon(restart)
                names = await cell.submit_series(STEPS[kind], 50)
            for name in names:
                await wait_until(partial(has_state, cell, name, "completed"), f"{name} completed")
            await cell.stop_workers()
            assert double_runs(cell.hosts_by_name.values()) == []

    run(main)


FOREIGN_FIELDS = {
    "next life": {"born_ms": 1},
    "next life of another service": {"born_ms": 1, "service": "unknown"},
    "next life at an address where nobody listens": {"born_ms": 1, "address": "127.0.0.1:1"},
    "other service": {"service": "unknown", "seq": 1_000},
}


@mark.parametrize("name", FOREIGN_FIELDS)
def test_an_announcement_of_another_writer_leaves_the_tasks_of_a_worker_in_place(tmp_path, name):
    """Guards against tasks run twice after a heartbeat declares their worker gone (review/4)."""

    async def main():
        async with LivesCell(folder=tmp_path).running() as cell:
            await cell.add_workers()
            steps = [make_step(4, estimate_ms=300)]
            await cell.call(FlowSubmit(flow=make_flow("f", *steps, *steps)))
            host = cell.hosts_by_name["w1"]
            await wait_until(lambda: host.life.worker.running_by_task, "started")
            foreign = PoolWorker()
            foreign.CopyFrom(host.announcement())
            for field, value in FOREIGN_FIELDS[name].items():
                is_later = field in ("born_ms", "seq")
                setattr(foreign, field, getattr(foreign, field) + value if is_later else value)
            for node in cell.node_by_host.values():
                with suppress(SiskintallyError):
                    await node.client.call(WorkerSeen(worker=foreign), timeout=2.0)
            await cell.call(WorkerSeen(worker=host.announcement()))
            await wait_until(partial(has_state, cell, "f", "completed"), "completed")
            await cell.call(FlowSubmit(flow=make_flow("g", make_step(8))))
            await wait_until(partial(has_state, cell, "g", "completed"), "completed")
            await cell.stop_workers()
            assert double_runs(cell.hosts_by_name.values()) == []
            assert any(row[0].startswith("g.") for row in host.life.runs()), "it is used again"

    run(main)
