"""Failing tests of the review of issue 17; each states one finding."""

from contextlib import suppress

from anyio import run

from siskintally.committed_commands import CommittedCommands
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import (
    DocumentPut,
    FlowCancel,
    FlowId,
    FlowReply,
    FlowStep,
    FlowSubmit,
    Queue,
    QueueAddress,
    QueueDocument,
    WorkerService,
)
from siskintally.control_state import ControlState, Outcome
from siskintally.errors import NotFoundError
from siskintally.http_server import HttpRequest
from siskintally.platform.http import ClientApp
from tests.flow_harness import QUEUE, SERVICE, make_flow
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell

JOB_ID = "0123456789abcdef"
LIMIT_S = 6.0


def document_with(version, *queues):
    """Return a configuration with some queues."""
    return QueueDocument(version=version, queues=queues, services=[WorkerService(name=SERVICE)])


def run_cell(folder, check):
    """Run a check against a cell with one worker."""

    async def main():
        cell = FlowCell(folder=folder, run_s=lambda task_id: 60.0)
        async with cell.running():
            await cell.configure("w1")
            await check(cell)

    run(main)


async def submit_and_drop_queue(cell):
    """Submit a flow, then commit a configuration without its queue; return its address."""
    address = QueueAddress(host="h", path=f"/q/{JOB_ID}")
    flow = make_flow(JOB_ID, FlowStep(tasks=2, cpu_milli=1000, lasting=True))
    await cell.call(FlowSubmit(flow=flow, address=address))
    worker = cell.pool.worker_by_id["w1"]
    await wait_until(lambda: len(worker.running_by_task) == 2, "started", limit_s=LIMIT_S)
    other = Queue(name="other", host="h", prefix="/o/", service=SERVICE, timeout_ms=100)
    await cell.call(DocumentPut(document=document_with(4, other)))
    return flow, address


def test_a_resent_submission_is_known_although_its_queue_was_dropped(tmp_path):
    """Guards against a 404, which means not run, for a flow that is committed and running."""

    async def check(cell):
        flow, address = await submit_and_drop_queue(cell)
        node = cell.node_by_host[cell.leader()]
        try:
            reply = await node.handle_call(None, FlowSubmit(flow=flow, address=address))
        except NotFoundError:
            reply = FlowReply()
        assert reply.known

    run_cell(tmp_path, check)


def test_a_flow_whose_queue_was_dropped_can_be_cancelled(tmp_path):
    """Guards against tasks that no caller can stop any more."""

    async def check(cell):
        _, address = await submit_and_drop_queue(cell)
        node = cell.node_by_host[cell.leader()]
        try:
            reply = await node.handle_call(None, FlowCancel(id=JOB_ID, address=address))
        except NotFoundError:
            reply = FlowReply()
        assert reply.known

    run_cell(tmp_path, check)


def test_a_cancellation_stops_a_flow_that_only_the_state_shows_as_failed(tmp_path):
    """Guards against an acknowledged cancellation while the scheduler keeps the flow open.

    The committed failure stands for one that the state counts with a lower limit of attempts than
    the scheduler, because a new configuration was committed between the report and its end.
    """

    async def check(cell):
        flow = make_flow(JOB_ID, FlowStep(tasks=1, cpu_milli=1000, estimate_ms=60_000))
        await cell.call(FlowSubmit(flow=flow))
        worker = cell.pool.worker_by_id["w1"]
        await wait_until(lambda: len(worker.running_by_task) == 1, "started", limit_s=LIMIT_S)
        node = cell.node_by_host[cell.leader()]
        limited = Queue()
        limited.CopyFrom(QUEUE)
        limited.max_attempts = 1

        class LeaderWithConcurrentChange(ControlLeader):
            """Leader on which a configuration is committed just before the next end."""

            __slots__ = ()

            async def propose(self, **body):
                if "ends" in body:
                    await super().propose(document=document_with(4, limited))
                await super().propose(**body)

        node._leader.__class__ = LeaderWithConcurrentChange
        worker.fail_run(next(iter(worker.running_by_task)))
        state = node.state
        await wait_until(
            lambda: state.flow_by_id[JOB_ID].outcome == Outcome.FAILED, "failed", limit_s=LIMIT_S
        )
        await wait_until(lambda: worker.running_by_task, "started again", limit_s=LIMIT_S)
        reply = await node.handle_call(None, FlowCancel(id=JOB_ID, queue="q"))
        assert reply.known
        await wait_until(lambda: not worker.running_by_task, "stopped", limit_s=LIMIT_S)

    run_cell(tmp_path, check)


def test_a_command_that_cannot_be_followed_does_not_drop_the_later_ones():
    """Guards against a lost cancellation because another command of the batch failed."""
    state = ControlState()
    state._apply_accept(make_flow("f"))
    cancelled = []

    class Scheduler:
        """Scheduler that cannot accept a flow."""

        flow_by_id = {}
        stops = []

        def knows(self, flow_id):
            return False

        def accept(self, flow, queue, now):
            raise ValueError("odd flow")

        def cancel(self, flow_id):
            cancelled.append(flow_id)

    commands = CommittedCommands(scheduler=Scheduler(), state=state, on_document=None)
    commands.record("accept", make_flow("f"))
    commands.record("cancel", FlowId(id="f"))
    for _ in range(2):
        with suppress(ValueError):
            commands.apply(now=0.0)
    assert cancelled == ["f"]


def test_a_queue_whose_prefix_ends_like_a_job_id_is_counted():
    """Guards against a status read in place of the count of a queue such as /tenant/<hex>."""
    prefix = f"/tenant/{JOB_ID}"
    asked = []

    class Gateway:
        """Gateway that records what it is asked for."""

        async def count_pending(self, address, *, deadline_s):
            asked.append("count")
            return 0

        async def read(self, flow_id, address, *, deadline_s):
            asked.append("read")

    request = HttpRequest(
        method="GET", path=prefix, query="", header_items=[(b"host", b"h")], body=b""
    )
    run(ClientApp(gateway=Gateway()).handle, request)
    assert asked == ["count"]
