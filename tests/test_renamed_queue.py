"""Queues that get another name at the same host and prefix: their flows go on (review/7)."""

from functools import partial

from anyio import run
from pytest import mark

from siskintally.control_pb2 import (
    AdviceTerms,
    ControlSnapshot,
    DocumentPut,
    Flow,
    FlowCancel,
    FlowRead,
    FlowSubmit,
    Queue,
    QueueAddress,
    QueueDocument,
    WorkerService,
)
from siskintally.control_state import Outcome
from siskintally.driver import EndKind, Ticket
from tests.flow_harness import QUEUE, SERVICE, FlowHarness, make_flow, make_step, make_worker
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell
from tests.test_removed_queue import restart_from_disk

OTHER_SERVICE = "other-pool"
ADVICE = AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000)
STEP_KINDS = {
    "single": {},
    "gang": {"gang": True},
    "lasting": {"lasting": True},
    "speculative": {"speculative": True},
}


def make_queue(name, *, prefix="/p/", **fields):
    """Return a queue like :data:`QUEUE` with another name and address."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.MergeFrom(Queue(name=name, prefix=prefix, **fields))
    return queue


FORMER = make_queue("former")
RENAMED = make_queue("renamed")


def make_harness(*queues):
    """Return a harness with some queues and one worker."""
    harness = FlowHarness()
    harness.configure(*(queues or (FORMER,)))
    harness.add_worker(make_worker("w0"))
    return harness


def change_leader(harness):
    """Let another leader begin with the state of a snapshot and hear from the worker."""
    restart_from_disk(harness)
    harness.deliver_report("w0")


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
@mark.parametrize("kind", STEP_KINDS)
def test_a_waiting_task_starts_after_its_queue_was_renamed(kind, has_next_leader):
    """Guards against an accepted job that never starts because it is looked up by a former name."""
    harness = make_harness()
    harness.submit(make_flow("f", make_step(1, **STEP_KINDS[kind]), queue="former"))
    harness.configure(RENAMED)
    if has_next_leader:
        change_leader(harness)
    assert harness.place() == [("f.0.0.0", "w0")]


@mark.parametrize("times", [1, 3])
@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_the_next_step_starts_after_its_queue_was_renamed(times, has_next_leader):
    """Guards against a job that stops between two steps, also after several new names."""
    harness = make_harness()
    steps = (make_step(1), make_step(1, after=[0]))
    harness.submit(make_flow("f", *steps, queue="former"))
    harness.place()
    for number in range(times):
        harness.configure(make_queue(f"renamed-{number}"))
        if has_next_leader:
            change_leader(harness)
    harness.end_run("w0", "f.0.0.0")
    harness.deliver_report("w0")
    assert harness.place() == [("f.0.1.0", "w0")]
    harness.end_run("w0", "f.0.1.0")
    harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


@mark.parametrize("lasting", [False, True], ids=["batch", "lasting"])
def test_a_retry_starts_after_its_queue_was_renamed(lasting):
    """Guards against a retry, or a lasting task that has ended, that waits for a former name."""
    harness = make_harness()
    harness.submit(make_flow("f", make_step(1, lasting=lasting), queue="former"))
    harness.place()
    harness.configure(RENAMED)
    harness.end_run("w0", "f.0.0.0", EndKind.FAILED)
    harness.deliver_report("w0")
    assert harness.place() == [("f.0.0.0", "w0")]


def test_a_scheduled_flow_goes_on_after_its_queue_was_renamed():
    """Guards against occurrences that are not started once the queue has another name."""
    harness = make_harness()
    flow = make_flow("f", make_step(1), queue="former")
    flow.MergeFrom(Flow(times=2, first_run_ms=1, interval_ms=1))
    harness.submit(flow)
    harness.configure(RENAMED)
    actions = list(harness.scheduler.place(harness.now, 10_000))
    assert sorted(action.task.id for action in actions) == ["f.0.0.0", "f.1.0.0"]


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_a_queue_that_is_put_back_under_another_name_continues_its_flows(has_next_leader):
    """Guards against flows that wait for a name which the operator does not use again."""
    harness = make_harness()
    harness.submit(make_flow("f", queue="former"))
    harness.configure(QUEUE)
    assert harness.place() == []
    if has_next_leader:
        change_leader(harness)
    harness.configure(RENAMED)
    assert harness.place() == [("f.0.0.0", "w0")]


def test_flows_stay_at_their_address_when_two_queues_exchange_their_names():
    """Guards against tasks that start on the workers, or with the limits, of another queue."""
    first = make_queue("first", prefix="/1/", max_attempts=1)
    second = make_queue("second", prefix="/2/", service=OTHER_SERVICE)
    harness = make_harness(first, second)
    harness.submit(make_flow("f", queue="first"))
    harness.submit(make_flow("g", queue="second"))
    first.name, second.name = second.name, first.name
    harness.configure(first, second)
    assert harness.place() == [("f.0.0.0", "w0")]
    assert harness.scheduler.flow_by_id["g"].queue.service == OTHER_SERVICE
    harness.end_run("w0", "f.0.0.0", EndKind.FAILED)
    harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED


def test_a_flow_does_not_follow_the_name_of_its_queue_to_another_address():
    """Guards against tasks of a removed address that start under a queue which reuses its name."""
    harness = make_harness()
    harness.submit(make_flow("f", queue="former"))
    harness.configure(make_queue("former", prefix="/elsewhere/"))
    assert harness.place() == []
    harness.configure(RENAMED)
    assert harness.place() == [("f.0.0.0", "w0")]


def test_a_flow_that_is_committed_after_the_new_name_starts():
    """Guards against a flow whose queue is renamed between its lookup and its commit."""
    harness = make_harness()
    flow = make_flow("f", queue="former")
    flow.host, flow.prefix = FORMER.host, FORMER.prefix
    harness.configure(RENAMED)
    harness.accept(flow)
    assert harness.place() == [("f.0.0.0", "w0")]


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_attempts_that_fail_before_and_after_the_new_name_count_together(has_next_leader):
    """Guards against a start beyond the limit of attempts, or a failed flow shown as running."""
    harness = make_harness(make_queue("former", max_attempts=2))
    harness.submit(make_flow("f", queue="former"))
    for name in ("renamed", "renamed again"):
        assert harness.place() == [("f.0.0.0", "w0")]
        harness.configure(make_queue(name, max_attempts=2))
        if has_next_leader:
            change_leader(harness)
        harness.end_run("w0", "f.0.0.0", EndKind.FAILED)
        harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_waiting_flows_of_a_renamed_queue_count_as_pending(has_next_leader):
    """Guards against a count that leaves out the flows accepted under a former name."""
    harness = make_harness()
    for name in ("f", "g"):
        harness.submit(make_flow(name, queue="former"))
    harness.configure(RENAMED, QUEUE)
    if has_next_leader:
        change_leader(harness)
    assert harness.scheduler.count_pending(RENAMED) == 2
    assert harness.scheduler.count_pending(QUEUE) == 0


def test_advice_that_was_requested_before_the_new_name_is_used():
    """Guards against permits that are thrown away, or an error, when the queue is renamed."""
    harness = make_harness(make_queue("former", advice=ADVICE))
    harness.submit(make_flow("f", queue="former"))
    (action,) = harness.scheduler.plan_advice_calls(harness.now, 0)
    action.step.is_asking = True
    harness.configure(make_queue("renamed", advice=ADVICE))
    tickets = [Ticket(worker_id="w0", text="t")]
    harness.scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
    assert harness.place() == [("f.0.0.0", "w0")]


def test_a_renamed_queue_orders_its_flows_by_its_present_terms():
    """Guards against an order of flows that differs between a leader and the next one."""
    harness = make_harness()
    harness.submit(make_flow("f", queue="former"))
    harness.configure(make_queue("renamed", aim_ms=9000))
    due_at = harness.scheduler.flow_by_id["f"].due_at
    restart_from_disk(harness)
    assert due_at == harness.scheduler.flow_by_id["f"].due_at


def snapshot_without_addresses(harness):
    """Return a snapshot as an earlier version wrote it, with the names of queues alone."""
    snapshot = ControlSnapshot.FromString(harness.state.snapshot())
    for record in snapshot.flows:
        record.flow.ClearField("host")
        record.flow.ClearField("prefix")
    return snapshot.SerializeToString()


@mark.parametrize("source", ["log", "snapshot"])
@mark.parametrize("removed_first", [False, True], ids=["configured", "removed at the update"])
def test_a_flow_of_an_earlier_version_goes_on_after_its_queue_was_renamed(source, removed_first):
    """Guards against flows in the log or snapshot of an earlier version that lose their queue."""
    harness = make_harness()
    if removed_first:
        harness.configure(QUEUE)
    harness.accept(make_flow("f", queue="former"))
    if source == "snapshot":
        harness.state.restore(snapshot_without_addresses(harness))
        harness.begin_term(3)
        harness.deliver_report("w0")
    if removed_first:
        assert harness.place() == []
        harness.configure(FORMER)
    harness.configure(RENAMED)
    assert harness.place() == [("f.0.0.0", "w0")]


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_a_flow_goes_on_when_its_queue_gets_its_former_name_back(has_next_leader):
    """Guards against a flow that follows only the first change of a name."""
    harness = make_harness()
    harness.submit(make_flow("f", make_step(1), make_step(1, after=[0]), queue="former"))
    for queue in (RENAMED, FORMER):
        harness.configure(queue)
        if has_next_leader:
            change_leader(harness)
    for task_id in ("f.0.0.0", "f.0.1.0"):
        assert harness.place() == [(task_id, "w0")]
        harness.end_run("w0", task_id)
        harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_callers_see_their_jobs_go_on_at_the_same_address(tmp_path):
    """Guards against a job shown as running that nobody continues, and a cancel without effect."""

    def document(version, *queues):
        services = [WorkerService(name=SERVICE)]
        return QueueDocument(version=version, queues=queues, services=services, original=b"{}")

    def address(flow_id):
        return QueueAddress(host=QUEUE.host, path=FORMER.prefix + flow_id)

    def run_s(task_id):
        return 60.0 if task_id.startswith("g") else 0.3

    async def has_state(cell, flow_id, state):
        reply = await cell.call(FlowRead(id=flow_id, address=address(flow_id)))
        return reply.state == state

    async def main():
        async with FlowCell(folder=tmp_path, run_s=run_s).running() as cell:
            await cell.configure("w1")
            await cell.call(DocumentPut(document=document(4, FORMER)))
            flow = make_flow("f", make_step(1), make_step(1, after=[0]), queue="")
            lasting = make_flow("g", make_step(1, lasting=True), queue="")
            for submitted in (flow, lasting):
                body = FlowSubmit(flow=submitted, address=address(submitted.id))
                await cell.call(body)
            await wait_until(lambda: len(cell.starts()) == 2, "started")
            await cell.call(DocumentPut(document=document(5, RENAMED)))
            await cell.call(FlowSubmit(flow=flow, address=address("f")))
            await wait_until(partial(has_state, cell, "f", "completed"), "completed")
            assert sorted(cell.starts()) == ["f.0.0.0", "f.0.1.0", "g.0.0.0"]
            assert (await cell.call(FlowCancel(id="g", address=address("g")))).known
            worker = cell.pool.worker_by_id["w1"]
            await wait_until(lambda: not worker.running_by_task, "stopped")

    run(main)
