"""Flows whose queue is removed from the configuration: they wait, and all others go on."""

from functools import partial

from anyio import run, sleep
from pytest import mark

from siskintally.control_pb2 import (
    AdviceTerms,
    DocumentPut,
    FlowRead,
    FlowSubmit,
    Queue,
    QueueDocument,
    WorkerService,
)
from siskintally.control_state import ControlState, Outcome
from siskintally.driver import EndKind, Ticket
from tests.flow_harness import QUEUE, SERVICE, FlowHarness, make_flow, make_step, make_worker
from tests.processes import wait_until
from tests.test_flow_cell import FlowCell

WORKER_CPU_MILLI = 8000
# A task of this size fits on no worker beside another one.
LARGE_CPU_MILLI = 7000
ADVICE = AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000)


def make_queue(name, *, advice=None, **fields):
    """Return a queue like :data:`QUEUE` with another name."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.MergeFrom(Queue(name=name, prefix=f"/{name}/", advice=advice, **fields))
    return queue


KEPT = make_queue("kept")
REMOVED = make_queue("removed")


def make_harness(removed=REMOVED, *, workers=1):
    """Return a harness with two queues and some workers."""
    harness = FlowHarness(queue=KEPT)
    harness.configure(KEPT, removed)
    for number in range(workers):
        harness.add_worker(make_worker(f"w{number}", cpu_milli=WORKER_CPU_MILLI))
    return harness


def submit(harness, *steps):
    """Submit a flow to the queue that will be removed."""
    harness.submit(make_flow("f", *steps, queue="removed"))


def has_room_for_others(harness):
    """Run passes; return whether a task of the kept queue starts and none of the removed one."""
    harness.submit(make_flow("other", make_step(1), queue="kept"))
    list(harness.scheduler.plan_advice_calls(harness.now, 0))
    return harness.place() == [("other.0.0.0", "w0")]


def restart_from_disk(harness):
    """Let a leader begin its term with the state of a snapshot."""
    state = ControlState()
    state.restore(harness.state.snapshot())
    harness.state = state
    harness.begin_term(3)


@mark.parametrize("advice", [None, ADVICE], ids=["no advice", "advice"])
@mark.parametrize(
    "step",
    [
        make_step(1, cpu_milli=LARGE_CPU_MILLI),
        make_step(1, cpu_milli=LARGE_CPU_MILLI, gang=True),
        make_step(1, cpu_milli=LARGE_CPU_MILLI, lasting=True),
        make_step(1, cpu_milli=LARGE_CPU_MILLI, speculative=True),
    ],
    ids=["single", "gang", "lasting", "speculative"],
)
@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_a_waiting_task_of_a_removed_queue_ends_no_pass(advice, step, has_next_leader):
    """Guards against an error that ends the leader, and each next one, in its first pass."""
    harness = make_harness(make_queue("removed", advice=advice))
    submit(harness, step)
    harness.configure(KEPT)
    if has_next_leader:
        restart_from_disk(harness)
        harness.deliver_report("w0")
    assert has_room_for_others(harness)


@mark.parametrize("kind", [EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED, EndKind.BROKEN])
@mark.parametrize("lasting", [False, True], ids=["batch", "lasting"])
def test_a_task_that_ends_after_its_queue_was_removed_is_not_started_again(kind, lasting):
    """Guards against a leader that ends when a task of a removed queue comes to wait again."""
    harness = make_harness()
    submit(harness, make_step(1, cpu_milli=LARGE_CPU_MILLI, lasting=lasting))
    assert harness.place() == [("f.0.0.0", "w0")]
    harness.configure(KEPT)
    harness.end_run("w0", "f.0.0.0", kind)
    harness.deliver_report("w0")
    assert has_room_for_others(harness)


def test_the_next_step_of_a_removed_queue_waits_for_the_queue():
    """Guards against a leader that ends, or a job that is lost, when the running step is done."""
    harness = make_harness()
    submit(harness, make_step(1), make_step(1, cpu_milli=LARGE_CPU_MILLI, after=[0]))
    harness.place()
    harness.configure(KEPT)
    harness.end_run("w0", "f.0.0.0")
    harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].done == {"f.0.0.0"}
    assert harness.place() == []
    harness.configure(KEPT, REMOVED)
    assert harness.place() == [("f.0.1.0", "w0")]


def test_a_task_of_a_lost_worker_waits_for_its_removed_queue():
    """Guards against a leader that ends when a worker with such a task is lost."""
    harness = make_harness(workers=2)
    submit(harness, make_step(1, cpu_milli=LARGE_CPU_MILLI))
    [(_, worker_id)] = harness.place()
    harness.configure(KEPT)
    harness.scheduler.remove_worker(harness.scheduler.worker_by_id[worker_id])
    assert harness.place() == []
    harness.configure(KEPT, REMOVED)
    assert [task_id for task_id, _ in harness.place()] == ["f.0.0.0"]


@mark.parametrize("times", [1, 3])
@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_a_flow_goes_on_when_its_queue_is_put_back(times, has_next_leader):
    """Guards against an accepted job that is forgotten or late for ever after the queue is back."""
    harness = make_harness()
    submit(harness, make_step(2, cpu_milli=LARGE_CPU_MILLI))
    due_at = harness.scheduler.flow_by_id["f"].due_at
    harness.place()
    for _ in range(times):
        harness.configure(KEPT)
        if has_next_leader:
            restart_from_disk(harness)
        harness.deliver_report("w0")
        assert harness.place() == []
        harness.configure(KEPT, REMOVED)
        flow = harness.scheduler.flow_by_id["f"]
        assert flow.due_at - flow.arrived_at == due_at - 100.0
    for _ in range(2):
        harness.place()
        [running] = harness.running_by_worker["w0"]
        harness.end_run("w0", running)
        harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED
    assert sorted(task_id for task_id, _ in harness.started) == ["f.0.0.0", "f.0.0.1"]


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
def test_a_flow_whose_attempts_end_while_its_queue_is_removed_fails_when_it_is_back(
    has_next_leader,
):
    """Guards against a start after the last allowed attempt has failed."""
    queue = make_queue("removed", max_attempts=1)
    harness = make_harness(queue)
    submit(harness, make_step(2))
    harness.place()
    harness.configure(KEPT)
    harness.end_run("w0", "f.0.0.0", EndKind.FAILED)
    harness.deliver_report("w0")
    assert harness.state.flow_by_id["f"].outcome == Outcome.OPEN
    if has_next_leader:
        restart_from_disk(harness)
        harness.deliver_report("w0")
    harness.configure(KEPT, queue)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []
    assert harness.carry_out_stops() == ["f.0.0.1"]


def test_advice_that_arrives_after_its_queue_was_removed_starts_nothing():
    """Guards against a leader that ends because of an answer about a removed queue."""
    harness = make_harness(make_queue("removed", advice=ADVICE))
    submit(harness, make_step(1, cpu_milli=LARGE_CPU_MILLI))
    (action,) = harness.scheduler.plan_advice_calls(harness.now, 0)
    action.step.is_asking = True
    harness.configure(KEPT)
    tickets = [Ticket(worker_id="w0", text="t")]
    harness.scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
    assert has_room_for_others(harness)


def test_a_removed_queue_reserves_no_worker():
    """Guards against room that is kept free for a task that may not start."""
    harness = make_harness(workers=3)
    submit(harness, make_step(1, cpu_milli=LARGE_CPU_MILLI))
    for number in range(3):
        small = make_step(1, cpu_milli=4000)
        harness.submit(make_flow(f"small{number}", small, queue="kept"))
    harness.configure(KEPT)
    harness.place()
    harness.submit(make_flow("last", make_step(3, cpu_milli=4000), queue="kept"))
    assert len(harness.place()) == 3


async def is_completed(cell, flow_id, queue):
    """Return whether a flow of a queue is completed."""
    return (await cell.call(FlowRead(id=flow_id, queue=queue))).state == "completed"


def test_the_leader_goes_on_after_a_queue_with_a_waiting_job_was_removed(tmp_path):
    """Guards against accepted jobs of other queues that never start (review/1)."""

    def document(version, *queues):
        services = [WorkerService(name=SERVICE)]
        return QueueDocument(version=version, queues=queues, services=services, original=b"{}")

    async def main():
        async with FlowCell(folder=tmp_path).running() as cell:
            await cell.configure("w1")
            await cell.call(DocumentPut(document=document(4, KEPT, REMOVED)))
            leader = cell.leader()
            large = make_step(2, cpu_milli=4000)
            await cell.call(FlowSubmit(flow=make_flow("f", large, queue="removed")))
            await wait_until(lambda: cell.starts() == ["f.0.0.0"], "started")
            await cell.call(DocumentPut(document=document(5, KEPT)))
            await cell.call(FlowSubmit(flow=make_flow("other", queue="kept")))
            await wait_until(partial(is_completed, cell, "other", "kept"), "completed")
            await sleep(0.5)
            assert cell.leader() == leader
            assert cell.starts() == ["f.0.0.0", "other.0.0.0"]
            await cell.call(DocumentPut(document=document(6, KEPT, REMOVED)))
            await wait_until(partial(is_completed, cell, "f", "removed"), "completed when back")

    run(main)
