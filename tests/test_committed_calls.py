"""Calls that end between the commit of their command and their reply, on real control nodes."""

from anyio import move_on_after, run, sleep

from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import (
    DocumentPut,
    FlowCancel,
    FlowStep,
    FlowSubmit,
    Queue,
    QueueDocument,
    WorkerService,
)
from siskintally.control_state import Outcome
from tests.flow_harness import QUEUE, SERVICE, make_flow
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell

# The reply is held back for longer than the caller stays.
REPLY_DELAY_S = 0.5
CALLER_LEAVES_S = 0.25
# Well below the run time of the stand-in's tasks.
LIMIT_S = 15.0


def run_check(folder, monkeypatch, check):
    """Run a check against a cell with a worker whose leader holds back the replies of commits."""
    holds_back = []

    async def propose(leader, *, real=ControlLeader.propose, **body):
        await real(leader, **body)
        if holds_back and not {"starts", "ends", "join"} & body.keys():
            await sleep(REPLY_DELAY_S)

    monkeypatch.setattr(ControlLeader, "propose", propose)

    async def call_and_leave(cell, body):
        holds_back.append(True)
        with move_on_after(CALLER_LEAVES_S) as scope:
            await cell.node_by_host[cell.leader()].handle_call(None, body)
        holds_back.clear()
        assert scope.cancelled_caught

    async def main():
        cell = FlowCell(folder=folder, run_s=lambda task_id: 60.0)
        async with cell.running():
            await cell.configure("w1")
            await check(cell, call_and_leave)

    run(main)


def lasting_flow():
    """Return a flow whose two tasks run until it is cancelled."""
    return make_flow("f", FlowStep(tasks=2, cpu_milli=1000, lasting=True))


def test_a_committed_cancellation_stops_the_tasks_although_its_call_has_ended(
    tmp_path, monkeypatch
):
    """Guards against tasks that run on after their flow is shown as cancelled."""

    async def check(cell, call_and_leave):
        await cell.call(FlowSubmit(flow=lasting_flow()))
        worker = cell.pool.worker_by_id["w1"]
        await wait_until(lambda: len(worker.running_by_task) == 2, "started", limit_s=LIMIT_S)
        await call_and_leave(cell, FlowCancel(id="f", queue="q"))
        state = cell.node_by_host[cell.leader()].state
        await wait_until(lambda: state.flow_by_id["f"].outcome == Outcome.CANCELLED, "committed")
        await wait_until(lambda: not worker.running_by_task, "stopped", limit_s=LIMIT_S)
        # Without progress, the stand-in's tasks are also stopped to be started again.
        scheduler = cell.node_by_host[cell.leader()]._leader.scheduler
        await wait_until(lambda: not scheduler.flow_by_id, "closed", limit_s=LIMIT_S)

    run_check(tmp_path, monkeypatch, check)


def test_a_committed_flow_starts_although_its_call_has_ended(tmp_path, monkeypatch):
    """Guards against a stored flow that no leader starts until it is sent again."""

    async def check(cell, call_and_leave):
        await call_and_leave(cell, FlowSubmit(flow=lasting_flow()))
        worker = cell.pool.worker_by_id["w1"]
        await wait_until(lambda: len(worker.running_by_task) == 2, "started", limit_s=LIMIT_S)

    run_check(tmp_path, monkeypatch, check)


def test_a_committed_configuration_is_in_force_although_its_call_has_ended(tmp_path, monkeypatch):
    """Guards against flows that follow a replaced queue until the next change."""

    async def check(cell, call_and_leave):
        flow = make_flow("f", FlowStep(tasks=1, cpu_milli=99_000, lasting=True))
        await cell.call(FlowSubmit(flow=flow))
        other_queue = Queue(name="other", host="h", prefix="/o/", service=SERVICE, timeout_ms=100)
        document = QueueDocument(
            version=4, queues=[QUEUE, other_queue], services=[WorkerService(name=SERVICE)]
        )
        document.queues[0].priority = 7
        await call_and_leave(cell, DocumentPut(document=document))
        scheduler = cell.node_by_host[cell.leader()]._leader.scheduler
        await wait_until(
            lambda: scheduler.flow_by_id["f"].priority == 7, "in force", limit_s=LIMIT_S
        )

    run_check(tmp_path, monkeypatch, check)
