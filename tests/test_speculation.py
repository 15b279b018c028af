"""Speculative copies: an unresponsive worker does not delay a step whose tasks may run twice."""

from siskintally.driver import EndKind
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from tests.flow_rig import FlowRig, flow, step, worker


def silenced_rig(*, speculative=True, confirmed=True):
    """Return (harness, suspect worker id, other worker id).

    One task was sent to the worker that is suspect now; the other worker is idle.
    """
    rig = FlowRig()
    rig.add(worker("w1", cpu_milli=1000))
    rig.add(worker("w2", cpu_milli=1000))
    rig.submit(flow("f", step(1, speculative=speculative)))
    [(_, silent)] = rig.place()
    other = "w2" if silent == "w1" else "w1"
    if not confirmed:
        rig.scheduler.find_task("f.0.0.0").state = TaskState.STARTING
    found = rig.scheduler.worker_by_id[silent]
    found.status = WorkerStatus.SUSPECT
    rig.scheduler.speculate(found, rig.now)
    return rig, silent, other


def test_a_task_of_a_silent_worker_starts_elsewhere_before_the_lease_is_over():
    """Guards against urgent flows that wait for a lease to expire though copies are allowed.

    Scenario: workers are unreachable for seconds under load.
    """
    rig, _, other = silenced_rig()
    assert rig.place() == [("f.0.0.0", other)]


def test_a_task_that_must_not_run_twice_waits_for_the_lease():
    """Guards against two runs of a task whose step does not allow copies."""
    rig, silent, _ = silenced_rig(speculative=False)
    assert rig.place() == []
    rig.scheduler.expire_lease(rig.scheduler.worker_by_id[silent])
    assert len(rig.place()) == 1


def test_the_first_end_wins_and_the_other_run_is_stopped():
    """Guards against a run that continues after the other run of its task has ended as done."""
    for winner_is_silent in (True, False):
        rig, silent, other = silenced_rig()
        rig.place()
        winner, loser = (silent, other) if winner_is_silent else (other, silent)
        rig.end(winner, "f.0.0.0")
        rig.report(winner)
        assert rig.state.flow_by_id["f"].outcome.name == "COMPLETED"
        assert rig.carry_out_stops() == ["f.0.0.0"]
        rig.report(loser)
        assert rig.scheduler.worker_by_id[loser].free_cpu_milli == 1000
        assert rig.scheduler.flow_by_id == {}


def test_a_copy_that_fails_counts_once_and_leaves_the_other_run_alone():
    """Guards against a third run, and against attempts that are counted twice."""
    rig, silent, other = silenced_rig()
    rig.place()
    rig.end(silent, "f.0.0.0", EndKind.FAILED)
    rig.report(silent)
    assert rig.place() == []
    assert rig.scheduler.find_task("f.0.0.0").failures == 1
    rig.end(other, "f.0.0.0")
    rig.report(other)
    assert rig.state.flow_by_id["f"].outcome.name == "COMPLETED"
    assert rig.carry_out_stops() == []


def test_a_copy_is_not_started_on_the_worker_that_may_run_the_task():
    """Guards against two runs of one task on one worker, where a report shows only one of them."""
    rig, silent, _ = silenced_rig()
    rig.scheduler.remove_worker(rig.scheduler.worker_by_id["w2" if silent == "w1" else "w1"])
    rig.add(worker("w3", cpu_milli=500))
    found = rig.scheduler.worker_by_id[silent]
    found.update(worker(silent, cpu_milli=4000))
    rig.report(silent)
    assert found.accepts_tasks
    assert rig.place() == []


def test_the_room_of_a_start_under_way_is_kept_until_its_stop_is_confirmed():
    """Guards against a worker over its capacity when a start order arrives seconds late."""
    rig, silent, other = silenced_rig(confirmed=False)
    rig.running_by_worker[silent].clear()
    assert rig.place() == [("f.0.0.0", other)]
    found = rig.scheduler.worker_by_id[silent]
    rig.report(silent)
    assert found.free_cpu_milli == 0, "the start may still arrive"
    rig.carry_out_stops()
    rig.report(silent)
    assert found.free_cpu_milli == 1000


def test_the_end_of_a_lease_leaves_the_copy_elsewhere_alone():
    """Guards against a task that is queued again though a copy of it runs."""
    rig, silent, _ = silenced_rig()
    rig.place()
    rig.scheduler.expire_lease(rig.scheduler.worker_by_id[silent])
    assert rig.place() == []
    assert rig.scheduler.find_task("f.0.0.0").state == TaskState.RUNNING


def test_a_cancelled_flow_stops_all_copies():
    """Guards against a copy that runs on after its flow was cancelled."""
    rig, silent, other = silenced_rig()
    rig.place()
    rig.commit(cancel={"id": "f"})
    rig.scheduler.cancel("f")
    assert rig.carry_out_stops() == ["f.0.0.0"] * 2
    rig.report(silent)
    rig.report(other)
    assert rig.scheduler.flow_by_id == {}
