"""Speculative copies: an unresponsive worker does not delay a step whose tasks may run twice."""

from siskintally.driver import EndKind
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker


def make_harness_with_suspect(*, speculative=True, confirmed=True):
    """Return (harness, suspect worker id, other worker id).

    One task was sent to the worker that is suspect now; the other worker is idle.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.add_worker(make_worker("w2", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(1, speculative=speculative)))
    [(_, suspect)] = harness.place()
    other = "w2" if suspect == "w1" else "w1"
    if not confirmed:
        harness.scheduler.find_task("f.0.0.0").state = TaskState.STARTING
    worker = harness.scheduler.worker_by_id[suspect]
    worker.status = WorkerStatus.SUSPECT
    harness.scheduler.speculate(worker, harness.now)
    return harness, suspect, other


def test_a_task_of_an_unresponsive_worker_starts_elsewhere_before_the_lease_expires():
    """Guards against urgent flows that wait for a lease to expire though copies are allowed.

    Scenario: workers are unreachable for seconds under load.
    """
    harness, _, other = make_harness_with_suspect()
    assert harness.place() == [("f.0.0.0", other)]


def test_a_task_that_must_not_run_twice_waits_for_the_lease():
    """Guards against two runs of a task whose step does not allow copies."""
    harness, suspect, _ = make_harness_with_suspect(speculative=False)
    assert harness.place() == []
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id[suspect])
    assert len(harness.place()) == 1


def test_the_first_end_wins_and_the_other_run_is_stopped():
    """Guards against a run that continues after the other run of its task has ended as done."""
    for winner_is_suspect in (True, False):
        harness, suspect, other = make_harness_with_suspect()
        harness.place()
        winner, loser = (suspect, other) if winner_is_suspect else (other, suspect)
        harness.end_run(winner, "f.0.0.0")
        harness.deliver_report(winner)
        assert harness.state.flow_by_id["f"].outcome.name == "COMPLETED"
        assert harness.carry_out_stops() == ["f.0.0.0"]
        harness.deliver_report(loser)
        assert harness.scheduler.worker_by_id[loser].free_cpu_milli == 1000
        assert harness.scheduler.flow_by_id == {}


def test_a_copy_that_fails_counts_once_and_leaves_the_other_run_alone():
    """Guards against a third run, and against attempts that are counted twice."""
    harness, suspect, other = make_harness_with_suspect()
    harness.place()
    harness.end_run(suspect, "f.0.0.0", EndKind.FAILED)
    harness.deliver_report(suspect)
    assert harness.place() == []
    assert harness.scheduler.find_task("f.0.0.0").failures.count == 1
    harness.end_run(other, "f.0.0.0")
    harness.deliver_report(other)
    assert harness.state.flow_by_id["f"].outcome.name == "COMPLETED"
    assert harness.carry_out_stops() == []


def test_a_copy_is_not_started_on_the_worker_that_may_run_the_task():
    """Guards against two runs of one task on one worker, where a report shows only one of them."""
    harness, suspect, _ = make_harness_with_suspect()
    harness.scheduler.remove_worker(
        harness.scheduler.worker_by_id["w2" if suspect == "w1" else "w1"]
    )
    harness.add_worker(make_worker("w3", cpu_milli=500))
    worker = harness.scheduler.worker_by_id[suspect]
    worker.update(make_worker(suspect, cpu_milli=4000))
    harness.deliver_report(suspect)
    assert worker.accepts_tasks
    assert harness.place() == []


def test_resources_of_a_start_in_flight_stay_allocated_until_its_stop_is_confirmed():
    """Guards against a worker over its capacity when a start order arrives seconds late."""
    harness, suspect, other = make_harness_with_suspect(confirmed=False)
    harness.running_by_worker[suspect].clear()
    assert harness.place() == [("f.0.0.0", other)]
    worker = harness.scheduler.worker_by_id[suspect]
    harness.deliver_report(suspect)
    assert worker.free_cpu_milli == 0, "the start may still arrive"
    harness.carry_out_stops()
    harness.deliver_report(suspect)
    assert worker.free_cpu_milli == 1000


def test_the_end_of_a_lease_leaves_the_copy_elsewhere_alone():
    """Guards against a task that is queued again though a copy of it runs."""
    harness, suspect, _ = make_harness_with_suspect()
    harness.place()
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id[suspect])
    assert harness.place() == []
    assert harness.scheduler.find_task("f.0.0.0").state == TaskState.RUNNING


def test_a_cancelled_flow_stops_all_copies():
    """Guards against a copy that runs on after its flow was cancelled."""
    harness, suspect, other = make_harness_with_suspect()
    harness.place()
    harness.commit(cancel={"id": "f"})
    harness.scheduler.cancel("f")
    assert harness.carry_out_stops() == ["f.0.0.0"] * 2
    harness.deliver_report(suspect)
    harness.deliver_report(other)
    assert harness.scheduler.flow_by_id == {}
