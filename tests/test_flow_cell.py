"""Flows on a control group of real nodes with links on loopback and stub workers in memory."""

from contextlib import asynccontextmanager
from functools import partial
from threading import Event as ThreadEvent
from time import sleep as blocking_sleep

from anyio import create_task_group, current_time, run, sleep

from siskintally.clock import now as steady
from siskintally.control_node import ControlNode
from siskintally.control_pb2 import (
    DocumentPut,
    DocumentRead,
    FlowCancel,
    FlowRead,
    FlowStep,
    FlowSubmit,
    QueueDocument,
    WorkerSeen,
    WorkerService,
)
from siskintally.counters import Counters
from siskintally.driver import AdviceService
from siskintally.errors import SiskintallyError
from siskintally.flow_timing import FlowTiming
from siskintally.journal import Journal
from siskintally.node_settings import parse_node_settings
from siskintally.stub_pool import StubPool
from tests.flow_harness import QUEUE, SERVICE, make_flow, make_step
from tests.processes import free_ports, wait_until


class NoAdvice(AdviceService):
    """AdviceService service for queues that need no tickets."""

    async def ask(self, step_id, worker_ids, *, timeout):
        """Return no tickets."""
        return []


class FlowCell:
    """Three stores of a control group in one process, one loopback address each, same port."""

    def __init__(self, *, folder, run_s=lambda task_id: 0.3):
        self.folder = folder
        self.port = free_ports(1)[0]
        self.hosts = [f"127.0.0.{number}" for number in range(21, 24)]
        self.pool = StubPool(clock=steady, run_s=run_s)
        self.node_by_host = {}
        self.scope_by_host = {}
        self.tasks = None

    def settings(self, host, *, bootstrap=True):
        """Return the settings of a store."""
        seeds = ", ".join(f'"{seed}:1"' for seed in self.hosts)
        return parse_node_settings(
            f'name = "{host}"\nip = "{host}"\ndomain = "d"\nlink_port = {self.port}\n'
            f"seeds = [{seeds}]\nfounding = {str(bootstrap).lower()}\n"
            f'data = "{self.folder}/{host}"\n'
        )

    def start(self, host, *, bootstrap=True):
        """Start a store."""
        node = ControlNode(
            settings=self.settings(host, bootstrap=bootstrap),
            driver=self.make_driver(),
            advice=NoAdvice(),
            counters=Counters(),
        )
        self.node_by_host[host] = node
        self.tasks.start_soon(self._run, host, node)

    def make_driver(self):
        """Return the driver of a store."""
        return self.pool

    async def _run(self, host, node):
        async with create_task_group() as tasks:
            self.scope_by_host[host] = tasks.cancel_scope
            await node.run(node.closing.wait)

    def kill(self, host):
        """Kill a store without a graceful stop."""
        self.scope_by_host[host].cancel()
        del self.node_by_host[host]

    def leader(self):
        """Return the host of the store that leads, or None."""
        for host, node in self.node_by_host.items():
            if node.leads:
                return host
        return None

    async def call(self, body):
        """Call the leader through any store until it answers."""
        error = None
        for _ in range(200):
            for node in list(self.node_by_host.values()):
                try:
                    return await node.client.call(body, timeout=2.0)
                except SiskintallyError as raised:
                    error = raised
            await sleep(0.05)
        raise AssertionError(f"no answer: {error}")

    async def configure(self, *workers):
        """Set the configuration and announce workers of four cores."""
        await wait_until(self.leader, "a leader")
        document = QueueDocument(
            version=3, queues=[QUEUE], services=[WorkerService(name=SERVICE)], original=b"{}"
        )
        await self.call(DocumentPut(document=document))
        for name in workers:
            self.pool.add(name, cpu_milli=4000, memory_mb=4000, service=SERVICE)
            await self.announce(name)

    async def announce(self, name):
        """Let a worker announce itself."""
        worker = self.pool.worker_by_id[name]
        worker.record.seq += 1
        worker.record.clock_ms = worker.clock_ms
        await self.call(WorkerSeen(worker=worker.record))

    async def state(self, flow_id):
        """Return the state of a flow."""
        return (await self.call(FlowRead(id=flow_id, queue="q"))).state

    def starts(self):
        """Return the task ids of all starts, the earliest first."""
        events = [event for worker in self.pool.worker_by_id.values() for event in worker.history]
        return [task_id for _, kind, task_id, _ in sorted(events) if kind == "START"]

    @asynccontextmanager
    async def running(self):
        """Run all stores."""
        async with create_task_group() as tasks:
            self.tasks = tasks
            for host in self.hosts:
                self.start(host)
            yield self
            tasks.cancel_scope.cancel()


def run_check(folder, check, **options):
    """Run a check against a running cell."""

    async def main():
        async with FlowCell(folder=folder, **options).running() as cell:
            await check(cell)

    run(main)


def test_a_flow_runs_its_steps_in_order_and_is_completed(tmp_path):
    """Guards against a fault anywhere on the path from a submission to its completion."""

    async def check(cell):
        await cell.configure("w1", "w2")
        await cell.call(FlowSubmit(flow=make_flow("f", make_step(3), make_step(1, after=[0]))))
        await wait_until(partial(has_state, cell, "f", "completed"), "completed")
        assert sorted(cell.starts()) == ["f.0.0.0", "f.0.0.1", "f.0.0.2", "f.0.1.0"]
        assert cell.starts()[-1] == "f.0.1.0"

    run_check(tmp_path, check)


async def has_state(cell, flow_id, state):
    return await cell.state(flow_id) == state


def test_the_next_leader_continues_with_running_tasks(tmp_path):
    """Guards against a second run or a loss of tasks that run when the leader is killed."""

    async def check(cell):
        await cell.configure("w1", "w2")
        await cell.call(FlowSubmit(flow=make_flow("f", make_step(4), make_step(2, after=[0]))))
        await wait_until(lambda: len(cell.starts()) == 4, "first step started")
        cell.kill(cell.leader())
        await wait_until(cell.leader, "next leader")
        await cell.call(FlowSubmit(flow=make_flow("g", make_step(1))))
        for name in ("f", "g"):
            await wait_until(partial(has_state, cell, name, "completed"), f"{name} completed")
        assert sorted(cell.starts()) == [
            *("f.0.0.0", "f.0.0.1", "f.0.0.2", "f.0.0.3"),
            *("f.0.1.0", "f.0.1.1", "g.0.0.0"),
        ]

    run_check(tmp_path, check, run_s=lambda task_id: 1.0)


def test_an_order_that_was_carried_out_without_an_answer_is_not_doubled(tmp_path):
    """Guards against a second run of a task whose start got no answer.

    The worker carries out the start, but its answer is lost.
    """

    async def check(cell):
        await cell.configure("w1", "w2")
        cell.pool.worker_by_id["w1"].loses_replies = True
        await cell.call(FlowSubmit(flow=make_flow("f", make_step(8))))
        await wait_until(partial(has_state, cell, "f", "completed"), "completed")
        assert len(cell.starts()) == len(set(cell.starts())) == 8

    run_check(tmp_path, check)


def test_a_worker_without_answers_is_replaced_only_after_its_lease(tmp_path):
    """Guards against a task that runs on two workers while the first one is only unreachable."""

    async def check(cell):
        await cell.configure("w1")
        await cell.call(FlowSubmit(flow=make_flow("f", make_step(1))))
        first = cell.pool.worker_by_id["w1"]
        await wait_until(lambda: first.running_by_task, "started")
        first.is_unreachable = True
        cell.pool.add("w2", cpu_milli=4000, memory_mb=4000, service=SERVICE)
        await cell.announce("w2")
        await wait_until(lambda: cell.pool.worker_by_id["w2"].history, "moved")
        moved_at = cell.pool.worker_by_id["w2"].history[0][0]
        first.end_due_runs()
        assert not first.running_by_task
        assert first.history[-1][1] == "LAPSED"
        assert moved_at >= lease_end_s(first)

    run_check(tmp_path, check, run_s=lambda task_id: 60.0)


def lease_end_s(worker):
    return worker._lease_until_ms / 1000


def test_a_cancelled_flow_stops_and_stays_cancelled_when_resent(tmp_path):
    """Guards against tasks that run on after a cancel, and a resend that revives the flow."""

    async def check(cell):
        await cell.configure("w1")
        flow = make_flow("f", FlowStep(tasks=2, cpu_milli=1000, lasting=True))
        await cell.call(FlowSubmit(flow=flow))
        worker = cell.pool.worker_by_id["w1"]
        await wait_until(lambda: len(worker.running_by_task) == 2, "started")
        await cell.call(FlowCancel(id="f", queue="q"))
        await wait_until(lambda: not worker.running_by_task, "stopped")
        await cell.call(FlowSubmit(flow=flow))
        assert await cell.state("f") == "cancelled"
        await sleep(0.3)
        assert len(cell.starts()) == 2

    run_check(tmp_path, check, run_s=lambda task_id: 60.0)


def test_a_configuration_outlives_the_end_of_all_stores(tmp_path):
    """Guards against losing an acknowledged configuration when all stores are killed at once."""

    async def check(cell):
        await cell.configure()
        for host in cell.hosts:
            cell.kill(host)
        await sleep(0.3)
        for host in cell.hosts:
            cell.start(host, bootstrap=False)
        await wait_until(cell.leader, "a leader again")
        assert (await cell.call(DocumentRead())).document.version == 3

    run_check(tmp_path, check)


def test_an_older_configuration_is_acknowledged_and_changes_nothing(tmp_path):
    """Guards against a repeated older change that overwrites a newer one."""

    async def check(cell):
        await cell.configure()
        for version in (2, 3):
            document = QueueDocument(version=version, original=b'{"other": 1}')
            await cell.call(DocumentPut(document=document))
        stored = (await cell.call(DocumentRead())).document
        assert (stored.version, stored.original) == (3, b"{}")

    run_check(tmp_path, check)


def test_a_store_with_an_empty_disk_takes_the_place_of_a_lost_one(tmp_path):
    """Guards against a group that does not survive the next loss after a store was replaced."""

    async def check(cell):
        await cell.configure()
        lost = next(host for host in cell.hosts if host != cell.leader())
        cell.kill(lost)
        cell.start("127.0.0.24", bootstrap=False)
        voters = {f"{host}:{cell.port}" for host in [*cell.hosts, "127.0.0.24"] if host != lost}
        await wait_until(
            lambda: cell.leader() and cell.node_by_host[cell.leader()].voters == voters,
            "the lost store is no voter any more",
        )
        cell.kill(cell.leader())
        await wait_until(cell.leader, "a leader after the second loss")
        assert (await cell.call(DocumentRead())).document.version == 3

    run_check(tmp_path, check)


def test_a_store_whose_disk_fails_comes_back_without_a_new_process(tmp_path, monkeypatch):
    """Guards against a store that exits when its disk is full and does not recover by itself."""

    async def check(cell):
        await cell.configure()
        leader = cell.leader()
        disk_is_full = [True]

        def write(journal, effects, persistent_state, *, real=Journal.write):
            if disk_is_full[0] and journal.identity.name.startswith(f"{leader}:"):
                raise OSError("no space left")
            real(journal, effects, persistent_state)

        monkeypatch.setattr(Journal, "write", write)
        document = QueueDocument(version=9, original=b"{}")
        await cell.call(DocumentPut(document=document))
        await wait_until(lambda: cell.leader() not in (None, leader), "another leader")
        disk_is_full[0] = False
        cell.kill(cell.leader())
        await wait_until(cell.leader, "a quorum with the recovered store")
        assert (await cell.call(DocumentRead())).document.version == 9

    run_check(tmp_path, check)


def test_outcomes_are_forgotten_after_their_time(tmp_path, monkeypatch):
    """Guards against state that grows with every flow that ever ran."""
    monkeypatch.setattr("siskintally.control_leader.RETENTION_CHECK_S", 0.1)
    monkeypatch.setattr(
        "siskintally.flow_timing.FlowTiming.derive",
        partial(short_lived, FlowTiming.derive),
    )

    async def check(cell):
        await cell.configure("w1")
        await cell.call(FlowSubmit(flow=make_flow("f", make_step(1))))
        await wait_until(partial(has_state, cell, "f", "completed"), "completed")

        async def is_forgotten():
            return not (await cell.call(FlowRead(id="f", queue="q"))).known

        await wait_until(is_forgotten, "forgotten")

    run_check(tmp_path, check)


def short_lived(derive, **bounds):
    timing = derive(**bounds)
    timing.retention_s = 1.0
    return timing


def test_a_leader_whose_disk_hangs_is_replaced_and_does_not_end_itself(tmp_path, monkeypatch):
    """Guards against a store that counts its own blocked replica as still leading."""

    async def check(cell):
        await cell.configure("w1")
        flow = make_flow("f", FlowStep(tasks=1, cpu_milli=1000, lasting=True))
        await cell.call(FlowSubmit(flow=flow))
        await wait_until(cell.starts, "started")
        leader = cell.leader()
        disk_released = ThreadEvent()

        def write(journal, effects, persistent_state, *, real=Journal.write):
            if journal.identity.name.startswith(f"{leader}:"):
                disk_released.wait(30.0)
            real(journal, effects, persistent_state)

        monkeypatch.setattr(Journal, "write", write)
        await cell.call(DocumentPut(document=QueueDocument(version=9, original=b"{}")))
        other_nodes = [node for host, node in cell.node_by_host.items() if host != leader]
        await wait_until(lambda: any(node.leads for node in other_nodes), "another leader")
        # Longer than a leader waits before it checks that a quorum still follows it.
        await sleep(2.5)
        assert not cell.node_by_host[leader].leads
        disk_released.set()
        assert (await cell.call(DocumentRead())).document.version == 9
        assert cell.starts() == ["f.0.0.0"]

    run_check(tmp_path, check, run_s=lambda task_id: 60.0)


def test_a_slow_disk_of_the_leader_does_not_slow_commits(tmp_path, monkeypatch):
    """Guards against callers and starts that wait for the slowest disk under a burst.

    Scenario: the leader's disk takes thirty times as long for some seconds.
    """

    async def check(cell):
        await cell.configure("w1")
        leader = cell.leader()

        def write(journal, effects, persistent_state, *, real=Journal.write):
            if journal.identity.name.startswith(f"{leader}:"):
                blocking_sleep(0.3)
            real(journal, effects, persistent_state)

        monkeypatch.setattr(Journal, "write", write)
        for version in range(10, 20):
            started_at = current_time()
            document = QueueDocument(version=version, original=b"{}")
            await cell.call(DocumentPut(document=document))
            assert current_time() - started_at < 0.25
        assert cell.node_by_host[leader].leads

    run_check(tmp_path, check)
