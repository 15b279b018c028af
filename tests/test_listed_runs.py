"""Reports that list two runs of a task, or a run of a former leader."""

from pytest import mark

from siskintally.driver import RunStatus, WorkerReport
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker
from tests.test_unanswered_starts import LateHarness


def test_a_throttled_run_that_is_adopted_gets_the_share_in_force():
    """Guards against a best-effort task that stands still for good after a change of leader.

    The next leader takes the share for 100 % and sends an order only when it changes.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    serving = make_step(1, lasting=True, tail_target_ms=10)
    harness.submit(make_flow("f", serving, make_step(1, filling=True)))
    harness.place()
    for _ in range(4):
        harness.deliver_report("w", load=100)
    assert harness.scheduler.throttles[-1].percent == 0
    harness.begin_term(3)
    for _ in range(6):
        harness.deliver_report("w", load=1)
    assert [action.percent for action in harness.scheduler.throttles][-1:] == [100]


@mark.parametrize("is_last", [False, True])
def test_a_run_is_listed_also_if_a_report_lists_another_run_of_its_task(is_last):
    """Guards against a second run elsewhere while the expected one goes on.

    A worker may list a former run of a task beside its present one, for instance after a stop
    without effect. The rows of a report are kept by task, so one of them is lost.
    """
    harness = LateHarness("w")
    harness.submit(make_flow("f", make_step(1)))
    [action] = harness.send_starts()
    harness.scheduler.apply_started(action.task, action.run, harness.now)
    runs = [action.run, action.run - 1] if is_last else [action.run - 1, action.run]
    rows = [RunStatus(task_id=action.task.id, run=run) for run in runs]
    for _ in range(2):
        harness.now += 0.01
        report = WorkerReport(clock_ms=1, running=rows)
        harness.scheduler.apply_report(action.worker, report, harness.now, harness.now)
    assert list(action.worker.task_by_id) == [action.task.id]
    assert [stop.run for stop in harness.scheduler.stops] == [action.run - 1]
