"""Beliefs of the scheduler about runs that no report of a worker confirms."""

from pytest import mark

from siskintally.driver import EndKind, Refusal, RunStatus, WorkerReport
from siskintally.pass_index import PassIndex
from siskintally.report_handling import STOP_AGAIN_S
from tests.flow_harness import FlowHarness, make_flow, make_step, make_worker
from tests.test_joining_worker import lose_and_return
from tests.test_unanswered_starts import CPU_MILLI, LateHarness, start_last_step


@mark.parametrize("tasks", [1, 4])
def test_a_start_without_an_answer_may_come_after_the_return_of_its_worker(tasks):
    """Guards against a second run, and an overfull worker, after a wrong loss.

    The worker returns with the same start time. Starts that were sent before are still carried out
    after its first report, because their fence and their lease are still good there.
    """
    harness = LateHarness("w")
    harness.submit(make_flow("f", make_step(tasks)))
    actions = harness.send_starts()
    lose_and_return(harness, make_worker("w", cpu_milli=CPU_MILLI))
    harness.deliver_report("w")
    later = harness.send_starts()
    for action in actions:
        harness.carry_out(action)
    assert later == [], "the first starts may still be carried out"


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


def test_a_task_whose_placement_is_broken_off_by_an_error_starts_later(monkeypatch):
    """Guards against a task that waits for ever, with its room held, for a start never sent."""
    harness = LateHarness("w")
    harness.scheduler.on_error = lambda flow_id, error: None
    harness.submit(make_flow("f", make_step(1)))
    update_room = PassIndex.update_room

    def fail(self, worker):
        raise ArithmeticError("unexpected")

    monkeypatch.setattr(PassIndex, "update_room", fail)
    assert harness.send_starts() == []
    monkeypatch.setattr(PassIndex, "update_room", update_room)
    harness.now += 100.0
    for _ in range(3):
        harness.deliver_report("w")
        harness.carry_out_stops()
        harness.deliver_report("w")
    assert len(harness.send_starts()) == 1


def test_an_end_whose_handling_is_broken_off_by_an_error_leaves_its_task_startable(monkeypatch):
    """Guards against a task that waits for ever after an error between release and requeue."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.scheduler.on_error = lambda flow_id, error: None
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    kind = type(harness.scheduler)

    def fail(self, worker, task, row, now):
        raise ArithmeticError("unexpected")

    monkeypatch.setattr(kind, "_handle_failure", fail)
    harness.end_run("w", "f.0.0.0", EndKind.STOPPED)
    harness.deliver_report("w")
    monkeypatch.undo()
    harness.now += 100.0
    harness.deliver_report("w")
    assert harness.place() == [("f.0.0.0", "w")]


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


@mark.parametrize("has_come", [False, True])
def test_a_stop_that_is_given_up_by_an_error_is_ordered_again(has_come):
    """Guards against a task that waits for ever, with its room held, after a lost stop.

    An unexpected error in the sending of a stop ends the sending, and is isolated to its flow.
    """
    harness, action = start_last_step("single")
    harness.refuse(action, Refusal.ROOM)
    assert [stop.run for stop in harness.scheduler.stops] == [action.run]
    harness.scheduler.stops.clear()
    if has_come:
        harness.carry_out(action)
    for _ in range(3):
        harness.now += 2 * STOP_AGAIN_S
        harness.deliver_report(action.worker.id)
    assert [stop.run for stop in harness.scheduler.stops][:1] == [action.run]
