"""Failures of runs that a copy has overtaken count towards the limit of attempts (review/9)."""

from pytest import mark

from siskintally.control_pb2 import ControlSnapshot, Queue, TaskFailures
from siskintally.control_state import ControlState, Failures, Outcome
from siskintally.driver import EndKind
from siskintally.fleet import WorkerStatus
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker
from tests.test_removed_queue import restart_from_disk

TASK = "f.0.0.0"


def make_queue(max_attempts):
    """Return a queue like :data:`QUEUE` with another limit of attempts."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.max_attempts = max_attempts
    return queue


def make_harness(*, max_attempts=2, workers=2):
    """Return a harness whose only task, which may have copies, runs on some worker."""
    harness = FlowHarness(queue=make_queue(max_attempts))
    for number in range(workers):
        harness.add_worker(make_worker(f"w{number}", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(1, speculative=True)))
    return harness


def start(harness):
    """Start the task; return its worker."""
    [(task_id, worker_id)] = harness.place()
    assert task_id == TASK
    return worker_id


def cut_off(harness, worker_id):
    """Let a worker stop answering, so that its task is started elsewhere too."""
    worker = harness.scheduler.worker_by_id[worker_id]
    worker.status = WorkerStatus.SUSPECT
    harness.scheduler.speculate(worker, harness.now)


def fail(harness, worker_id):
    """Let the run on a worker fail; the leader hears of it later."""
    harness.end_run(worker_id, TASK, EndKind.FAILED)


def failure_count(harness):
    """Return how many failures of the task are committed."""
    return harness.state.flow_by_id["f"].failures_by_task.get(TASK, Failures()).count


def make_overtaken(*, max_attempts=2):
    """Return (harness, worker of the first run, worker of its copy); the copy's failure counts."""
    harness = make_harness(max_attempts=max_attempts)
    first = start(harness)
    cut_off(harness, first)
    second = start(harness)
    fail(harness, first)
    fail(harness, second)
    harness.deliver_report(second)
    assert failure_count(harness) == 1
    return harness, first, second


def test_the_failure_of_an_overtaken_run_counts():
    """Guards against a start beyond the limit after a worker was cut off for a moment."""
    harness, first, _ = make_overtaken()
    harness.deliver_report(first)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []


def test_the_failure_of_an_overtaken_run_stops_the_run_that_was_started_since():
    """Guards against a run that goes on although its flow has used up its attempts."""
    harness, first, second = make_overtaken()
    assert start(harness) == second
    harness.deliver_report(first)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.carry_out_stops() == [TASK]


@mark.parametrize("restart", [FlowHarness.begin_term, restart_from_disk], ids=["term", "snapshot"])
@mark.parametrize("is_first_heard_first", [False, True])
def test_a_new_leader_counts_the_failure_of_an_overtaken_run(restart, is_first_heard_first):
    """Guards against a failure that is lost, or counted twice, because the leader changes."""
    harness, first, second = make_overtaken()
    restart(harness, *([3] if restart is FlowHarness.begin_term else []))
    order = (first, second) if is_first_heard_first else (second, first)
    for worker_id in order:
        harness.deliver_report(worker_id)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert failure_count(harness) == 2
    assert harness.place() == []


@mark.parametrize("is_committed", [False, True])
def test_a_failure_of_an_overtaken_run_is_counted_once_by_two_leaders(is_committed):
    """Guards against a flow that fails early because two leaders hear of one overtaken run."""
    harness, first, second = make_overtaken(max_attempts=3)
    harness.deliver_report(first, commit=is_committed)
    harness.begin_term(3)
    for worker_id in (first, second, first, second):
        harness.deliver_report(worker_id)
    assert failure_count(harness) == 2
    assert harness.scheduler.find_task(TASK).failures.count == 2
    assert harness.state.flow_by_id["f"].outcome == Outcome.OPEN
    assert len(harness.place()) == 1


def test_the_failure_of_a_run_overtaken_by_two_others_counts():
    """Guards against a failure that is dropped after several runs of the task elsewhere."""
    harness = make_harness(max_attempts=3)
    first = start(harness)
    cut_off(harness, first)
    for _ in range(2):
        second = start(harness)
        fail(harness, second)
        harness.deliver_report(second)
    fail(harness, first)
    harness.deliver_report(first)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []


def test_failures_of_overtaken_runs_of_many_tasks_count():
    """Guards against failures that are lost when one report lists those of several tasks."""
    harness = FlowHarness(queue=make_queue(2))
    harness.add_worker(make_worker("w0", cpu_milli=4000))
    harness.submit(make_flow("f", make_step(4, speculative=True)))
    harness.place()
    cut_off(harness, "w0")
    harness.add_worker(make_worker("w1", cpu_milli=4000))
    tasks = [task_id for task_id, _ in harness.place()]
    assert len(tasks) == 4
    for worker_id in ("w1", "w0"):
        for task_id in tasks[:2]:
            harness.end_run(worker_id, task_id, EndKind.FAILED)
        harness.deliver_report(worker_id)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []


@mark.parametrize("kind", [EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN])
def test_an_overtaken_run_that_ends_in_another_way_does_not_count(kind):
    """Guards against a flow that fails early because its overtaken run was ended from outside."""
    harness = make_harness()
    first = start(harness)
    cut_off(harness, first)
    second = start(harness)
    harness.end_run(first, TASK, kind)
    fail(harness, second)
    harness.deliver_report(second)
    harness.deliver_report(first)
    assert failure_count(harness) == 1
    assert harness.state.flow_by_id["f"].outcome == Outcome.OPEN


@mark.parametrize("is_first_heard_first", [False, True])
def test_a_failure_before_the_end_of_a_lease_does_not_count_later(is_first_heard_first):
    """Guards against a flow that fails early by a run that its leader had given up."""
    harness = make_harness()
    first = start(harness)
    fail(harness, first)
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id[first])
    second = start(harness)
    fail(harness, second)
    harness.deliver_report(second)
    harness.begin_term(3)
    order = (first, second) if is_first_heard_first else (second, first)
    for worker_id in order:
        assert harness.deliver_report(worker_id) == []
    assert failure_count(harness) == 1
    assert harness.scheduler.find_task(TASK).failures.count == 1


def test_a_failure_that_is_committed_after_the_next_start_counts():
    """Guards against a failure that the next leader does not know of."""
    harness = make_harness()
    for _ in range(2):
        worker_id = start(harness)
        fail(harness, worker_id)
        harness.deliver_report(worker_id, commit=False)
    harness.commit_ends()
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED


@mark.parametrize("has_next_leader", [False, True], ids=["same leader", "next leader"])
@mark.parametrize("max_attempts", [1, 2])
def test_a_lowered_limit_of_attempts_ends_flows_that_have_used_it_up(max_attempts, has_next_leader):
    """Guards against a start after the limit in force, before the next failure closes the flow."""
    harness = make_harness(max_attempts=4)
    for _ in range(2):
        worker_id = start(harness)
        fail(harness, worker_id)
        harness.deliver_report(worker_id)
    harness.configure(make_queue(max_attempts))
    if has_next_leader:
        restart_from_disk(harness)
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    assert harness.place() == []


def test_a_lowered_limit_of_attempts_leaves_other_flows_alone():
    """Guards against a flow that fails early, or a done task that counts, after a lower limit."""
    harness = make_harness(max_attempts=4)
    worker_id = start(harness)
    fail(harness, worker_id)
    harness.deliver_report(worker_id)
    harness.configure(make_queue(2))
    worker_id = start(harness)
    harness.end_run(worker_id, TASK)
    harness.deliver_report(worker_id)
    harness.configure(make_queue(1))
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_the_failure_of_a_gang_counts_once_after_an_earlier_one():
    """Guards against a gang whose members are counted one by one, or not after its first run."""
    harness = FlowHarness(queue=make_queue(2))
    for number in range(2):
        harness.add_worker(make_worker(f"w{number}", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(2, gang=True)))
    for count in (1, 2):
        for task_id, worker_id in harness.place():
            harness.end_run(worker_id, task_id, EndKind.FAILED)
        for worker_id in ("w0", "w1"):
            harness.deliver_report(worker_id)
        assert failure_count(harness) == count
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED


def test_counted_runs_are_bounded():
    """Guards against a record of failures that grows with the limit of attempts."""
    harness = make_harness(max_attempts=1000)
    for _ in range(50):
        fail(harness, start(harness))
        for worker_id in ("w0", "w1"):
            harness.deliver_report(worker_id)
        harness.now += 10.0
    assert failure_count(harness) == 50
    assert len(harness.state.flow_by_id["f"].failures_by_task[TASK].runs) <= 2
    assert len(harness.scheduler.find_task(TASK).failures.runs) <= 2


def test_failures_in_a_snapshot_of_an_earlier_version_count():
    """Guards against attempts that are forgotten, or counted again, after an update."""
    harness = make_harness(max_attempts=3)
    first = start(harness)
    fail(harness, first)
    harness.deliver_report(first)
    snapshot = ControlSnapshot.FromString(harness.state.snapshot())
    [record] = snapshot.flows
    [run] = record.failures[TASK].runs
    record.failures[TASK].CopyFrom(TaskFailures(count=1, last_run=run))
    state = ControlState()
    state.restore(snapshot.SerializeToString())
    assert state.flow_by_id["f"].failures_by_task[TASK] == Failures(count=1, runs=(run,))
