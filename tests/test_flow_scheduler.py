"""Decisions of the flow scheduler; each test names the failure it guards against."""

from pytest import mark

from siskintally.control_pb2 import (
    AdviceTerms,
    ControlCommand,
    EndBatch,
    Queue,
    QueueDocument,
    StartBatch,
    TaskEnd,
)
from siskintally.control_state import ControlState, Outcome
from siskintally.driver import EndKind, Refusal, RunEnd, RunStatus, Ticket, WorkerReport
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from siskintally.report_handling import STOP_AGAIN_S
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker


def test_a_resent_flow_is_not_run_again_while_its_last_end_is_not_committed():
    """Guards against a second run of a flow whose last end was reported but not yet committed."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    flow = make_flow("f", make_step(1))
    harness.submit(flow)
    harness.place()
    harness.end_run("w", "f.0.0.0")
    harness.deliver_report("w", commit=False)
    harness.submit(flow)
    assert harness.place() == []
    harness.commit_ends()
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_a_failed_run_counts_once_though_two_leaders_report_it():
    """Guards against a flow that is shown as failed before its attempts are used up.

    The old and the new leader both read the same failed end from the worker.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.end_run("w", "f.0.0.0", EndKind.FAILED)
    harness.deliver_report("w")
    # The next leader reads the same end again: the worker got no acknowledgement of the commit.
    harness.begin_term(3)
    harness.deliver_report("w")
    assert harness.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1
    harness.commit(ends=EndBatch(ends=[TaskEnd(task="f.0.0.0", run=1, how=TaskEnd.FAILED)]))
    assert harness.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1


def test_the_failure_that_ends_a_flow_stops_only_what_still_runs():
    """Guards against a stop order for a task that has already ended on its worker."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(2)))
    for _ in range(3):
        harness.place()
        harness.end_run("w", "f.0.0.0", EndKind.FAILED)
        harness.deliver_report("w")
    assert harness.carry_out_stops() == ["f.0.0.1"]
    assert harness.state.flow_by_id["f"].outcome == Outcome.FAILED
    harness.deliver_report("w")
    assert harness.scheduler.flow_by_id == {}


def test_no_worker_gets_more_than_it_has_and_a_stopping_task_still_counts():
    """Guards against a start on resources that are not free yet.

    A task that was told to stop uses its resources until its worker reports that it ended.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w", cpu_milli=2000))
    harness.submit(make_flow("f", make_step(2)))
    assert len(harness.place()) == 2
    harness.submit(make_flow("g", make_step(1)))
    assert harness.place() == []
    harness.scheduler.cancel("f")
    assert harness.place() == []
    harness.carry_out_stops()
    assert harness.place() == []
    harness.deliver_report("w")
    assert harness.place() == [("g.0.0.0", "w")]


def test_a_step_waits_for_the_steps_before_it():
    """Guards against a start before all tasks of an earlier step are done."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(2), make_step(1, after=[0])))
    harness.place()
    harness.end_run("w", "f.0.0.0")
    harness.deliver_report("w")
    assert harness.place() == []
    harness.end_run("w", "f.0.0.1")
    harness.deliver_report("w")
    assert harness.place() == [("f.0.1.0", "w")]


def test_a_new_leader_restarts_no_task_before_its_worker_reports_or_its_lease_expires():
    """Guards against a second run of a task on a worker that the new leader cannot reach."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.add_worker(make_worker("w2", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(2)))
    harness.place()
    harness.begin_term(3)
    harness.deliver_report("w1")
    assert harness.place() == []
    unreported = harness.scheduler.worker_by_id["w2"]
    harness.scheduler.expire_lease(unreported)
    assert harness.place() == []
    states = sorted(
        task.state for task in harness.scheduler.flow_by_id["f"].step_by_key[0, 0].tasks
    )
    assert states == [TaskState.WAITING, TaskState.RUNNING]


def test_a_new_leader_waits_only_for_the_workers_on_which_a_task_may_run():
    """Guards against flows that all stall after a leader change because few workers are cut off.

    Scenario: one worker of four is unresponsive when the leader changes; urgent flows are open.
    """
    harness = FlowHarness()
    for number in range(4):
        harness.add_worker(make_worker(f"w{number}", cpu_milli=1000))
    harness.submit(make_flow("a", make_step(2), make_step(1, after=[0])))
    first_starts = harness.place()
    harness.submit(make_flow("b", make_step(1)))
    reporting, unresponsive = (worker_id for _, worker_id in first_starts)
    idle_workers = [
        f"w{number}" for number in range(4) if f"w{number}" not in (reporting, unresponsive)
    ]
    harness.begin_term(3)
    for worker_id in idle_workers:
        harness.deliver_report(worker_id)
    assert harness.place() == [("b.0.0.0", idle_workers[0])], (
        "never sent to a worker: starts at once"
    )
    harness.running_by_worker[reporting].clear()
    harness.deliver_report(reporting)
    assert [task for task, _ in harness.place()] == [first_starts[0][0]], (
        "not on its worker: starts again"
    )
    assert harness.scheduler.find_task(first_starts[1][0]).state == TaskState.UNKNOWN
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id[unresponsive])
    assert harness.scheduler.find_task(first_starts[1][0]).state == TaskState.WAITING


def test_a_task_may_start_again_when_its_worker_is_another_incarnation():
    """Guards against waiting for a worker that was replaced by another one with the same id."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f"))
    harness.place()
    harness.commit(join=make_worker("w", born_ms=2))
    harness.begin_term(3)
    assert harness.scheduler.find_task("f.0.0.0").state == TaskState.WAITING


def test_a_partial_report_does_not_show_which_tasks_are_missing():
    """Guards against a second run of a task whose end is on the next page of a report."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f"))
    harness.place()
    harness.begin_term(3)
    worker = harness.scheduler.worker_by_id["w"]
    report = WorkerReport(clock_ms=1, running=[], ended=[], is_partial=True)
    harness.scheduler.apply_report(worker, report, harness.now, harness.now)
    assert harness.place() == []
    assert harness.scheduler.find_task("f.0.0.0").state == TaskState.UNKNOWN


def test_a_failure_that_is_older_than_one_that_counts_is_not_counted():
    """Guards against a flow that fails early because ends are reported out of order."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.add_worker(make_worker("w2", cpu_milli=1000))
    harness.submit(make_flow("f"))
    [(task_id, first)] = harness.place()
    second = "w2" if first == "w1" else "w1"
    harness.end_run(first, task_id, EndKind.FAILED)
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id[first])
    assert harness.place() == [(task_id, second)]
    harness.end_run(second, task_id, EndKind.FAILED)
    harness.deliver_report(second)
    harness.begin_term(3)
    assert harness.deliver_report(second) == []
    assert harness.deliver_report(first) == []
    assert harness.scheduler.find_task(task_id).failures.count == 1


def test_a_gang_with_a_lost_member_starts_again_once_all_members_are_located():
    """Guards against stopping members while another one may run on a worker not yet reported."""
    harness = FlowHarness()
    for name in ("w1", "w2", "w3"):
        harness.add_worker(make_worker(name, cpu_milli=1000))
    harness.submit(make_flow("f", make_step(3, gang=True)))
    harness.place()
    harness.begin_term(3)
    harness.deliver_report("w1")
    harness.running_by_worker["w2"].clear()
    harness.deliver_report("w2")
    assert harness.carry_out_stops() == []
    harness.deliver_report("w3")
    assert len(harness.carry_out_stops()) == 2
    assert harness.place() == []


def test_a_new_leader_stops_what_belongs_to_no_open_flow():
    """Guards against a task that runs on after its flow was cancelled in a former term."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.commit(cancel={"id": "f"})
    harness.begin_term(3)
    harness.deliver_report("w")
    assert harness.carry_out_stops() == ["f.0.0.0"]
    assert not harness.scheduler.worker_by_id["w"].accepts_tasks
    harness.deliver_report("w")
    assert harness.scheduler.worker_by_id["w"].accepts_tasks


def test_a_gang_is_placed_as_a_whole_and_starts_again_as_a_whole():
    """Guards against a gang that starts in part, and against members of two runs at once."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=2000))
    harness.submit(make_flow("f", make_step(3, gang=True)))
    assert harness.place() == []
    harness.add_worker(make_worker("w2", cpu_milli=2000))
    assert len(harness.place()) == 3
    runs = {run for runs in harness.running_by_worker.values() for run in runs.values()}
    assert len(runs) == 1
    task_id = next(iter(harness.running_by_worker["w1"]))
    harness.end_run("w1", task_id, EndKind.FAILED)
    harness.deliver_report("w1")
    assert harness.place() == []
    assert len(harness.carry_out_stops()) == 2
    harness.deliver_report("w1")
    harness.deliver_report("w2")
    assert len(harness.place()) == 3
    assert harness.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1


def test_the_end_of_one_gang_member_counts_for_all():
    """Guards against a second run of members whose own end was not reported yet."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.add_worker(make_worker("w2", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(2, gang=True)))
    harness.place()
    harness.end_run("w1", next(iter(harness.running_by_worker["w1"])))
    harness.deliver_report("w1")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED
    assert harness.scheduler.worker_by_id["w2"].free_cpu_milli == 0
    harness.end_run("w2", next(iter(harness.running_by_worker["w2"])), EndKind.BROKEN)
    harness.deliver_report("w2")
    assert harness.scheduler.worker_by_id["w2"].free_cpu_milli == 1000
    assert harness.place() == []
    assert harness.scheduler.flow_by_id == {}


def test_tasks_of_a_lost_worker_are_placed_again():
    """Guards against tasks that nobody runs after a worker is gone."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id["w1"])
    assert harness.place() == []
    harness.add_worker(make_worker("w2"))
    assert harness.place() == [("f.0.0.0", "w2")]


def test_a_new_incarnation_under_the_same_id_has_no_earlier_state():
    """Guards against ends of a former incarnation that hide those of the new one.

    The end numbers of a new incarnation begin at 1 again.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w", born_ms=1))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.end_run("w", "f.0.0.0", EndKind.FAILED)
    harness.deliver_report("w")
    harness.ended_by_worker["w"] = []
    harness.end_number_by_worker["w"] = 0
    harness.running_by_worker["w"] = {}
    harness.add_worker(make_worker("w", born_ms=2))
    assert harness.place() == [("f.0.0.0", "w")]
    harness.end_run("w", "f.0.0.0")
    harness.deliver_report("w")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_a_long_running_task_starts_again_however_it_ends():
    """Guards against a service task that is not restarted after it ended."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1, lasting=True)))
    for kind in (EndKind.DONE, EndKind.FAILED, EndKind.FAILED, EndKind.FAILED, EndKind.FAILED):
        assert harness.place() == [("f.0.0.0", "w")]
        harness.end_run("w", "f.0.0.0", kind)
        harness.deliver_report("w")
        harness.scheduler.worker_by_id["w"].excluded_until = 0.0
    assert harness.state.flow_by_id["f"].outcome == Outcome.OPEN


def test_no_more_tasks_of_a_step_than_allowed_on_one_worker():
    """Guards against a step whose tasks are not spread over workers as it requires."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.add_worker(make_worker("w2"))
    harness.submit(make_flow("f", make_step(6, max_per_worker=2)))
    assert len(harness.place()) == 4


def test_filling_tasks_are_throttled_while_a_serving_task_is_over_its_target():
    """Guards against a serving task that stays over its latency target beside best-effort tasks."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("s", make_step(1, lasting=True, tail_target_ms=100)))
    harness.submit(make_flow("b", make_step(2, filling=True)))
    harness.place()
    worker = harness.scheduler.worker_by_id["w"]
    harness.deliver_report("w", load=150)
    assert {action.percent for action in harness.scheduler.throttles} == {25}
    harness.deliver_report("w", load=150)
    harness.deliver_report("w", load=150)
    assert worker.best_effort_percent == 0
    harness.deliver_report("w", load=90)
    assert worker.best_effort_percent == 0
    harness.deliver_report("w", load=50)
    assert worker.best_effort_percent == 25


def test_a_filling_task_that_starts_on_a_throttled_worker_is_throttled_too():
    """Guards against new best-effort tasks that run unthrottled on a worker that is throttled."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.scheduler.worker_by_id["w"].best_effort_percent = 5
    harness.submit(make_flow("b", make_step(1, filling=True)))
    harness.place()
    assert [action.percent for action in harness.scheduler.throttles] == [5]


def test_a_stalled_task_is_started_on_another_worker():
    """Guards against tasks that hang on a worker whose announcements are normal."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.submit(make_flow("f", make_step(1, estimate_ms=1000)))
    harness.place()
    harness.add_worker(make_worker("w2"))
    harness.deliver_report("w1", percent=30)
    harness.now += 2.0
    harness.deliver_report("w1", percent=30)
    assert harness.carry_out_stops() == []
    harness.now += 1.0
    harness.deliver_report("w1", percent=30)
    assert harness.carry_out_stops() == ["f.0.0.0"]
    harness.deliver_report("w1")
    assert harness.place() == [("f.0.0.0", "w2")]


def test_a_slow_task_is_left_alone_while_it_makes_progress():
    """Guards against work that is lost because a task on a slow worker counts as stalled."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.submit(make_flow("f", make_step(1, estimate_ms=12000)))
    harness.place()
    for percent in range(10, 20):
        harness.now += 2.0
        harness.deliver_report("w1", percent=percent)
    assert harness.carry_out_stops() == []


def test_a_working_long_running_task_does_not_count_as_stalled():
    """Guards against service tasks that are restarted although they work.

    A service task reports 100 percent all the time, which looks like no progress.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.submit(make_flow("f", make_step(1, lasting=True)))
    harness.place()
    for _ in range(4):
        harness.now += 5.0
        harness.deliver_report("w1", percent=100)
    assert harness.carry_out_stops() == []


def test_an_occurrence_is_not_started_before_its_time():
    """Guards against a scheduled occurrence that runs early, or that waits for the one before."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    flow = make_flow("f", make_step(1))
    flow.times, flow.first_run_ms, flow.interval_ms = 2, 1000, 500
    harness.submit(flow)
    started = {}
    for wall_ms in (999, 1000, 1499, 1500):
        started[wall_ms] = [
            action.task.id for action in harness.scheduler.place(harness.now, wall_ms)
        ]
    assert started == {999: [], 1000: ["f.0.0.0"], 1499: [], 1500: ["f.1.0.0"]}


@mark.parametrize("is_answered", [True, False], ids=["answered before", "answered after"])
@mark.parametrize("is_allowed", [True, False], ids=["allowed", "denied"])
def test_advice_about_a_former_life_of_a_worker_does_not_hold_for_the_next_one(
    is_answered, is_allowed
):
    """Guards against starts refused for their ticket, and a worker that is never asked about again.

    A ticket is valid during one life of the worker, which may return as a machine of another kind.
    """
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.advice.CopyFrom(AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000))
    harness = FlowHarness(queue=queue)
    harness.add_worker(make_worker("w", born_ms=1))
    harness.submit(make_flow("f"))
    scheduler = harness.scheduler
    (action,) = scheduler.plan_advice_calls(harness.now, 0)
    tickets = [Ticket(worker_id="w", text="t")] if is_allowed else []
    if is_answered:
        scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
        harness.add_worker(make_worker("w", born_ms=2))
    else:
        action.step.is_asking = True
        harness.add_worker(make_worker("w", born_ms=2))
        scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
    assert harness.place() == []
    harness.now += 1.0
    (action,) = scheduler.plan_advice_calls(harness.now, 0)
    assert action.worker_ids == ("w",)


def test_a_start_on_a_queue_with_advice_needs_a_ticket_in_force():
    """Guards against starts that workers refuse for want of a ticket."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.advice.CopyFrom(AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000))
    harness = FlowHarness(queue=queue)
    harness.add_worker(make_worker("w1"))
    harness.add_worker(make_worker("w2"))
    harness.submit(make_flow("f", make_step(2)))
    assert harness.place() == []
    (action,) = harness.scheduler.plan_advice_calls(harness.now, 0)
    assert sorted(action.worker_ids) == ["w1", "w2"]
    tickets = [Ticket(worker_id="w2", text="t")]
    harness.scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
    harness.now += 1.9
    assert harness.place() == []
    (action,) = harness.scheduler.plan_advice_calls(harness.now, 0)
    assert action.worker_ids == ("w2",)
    harness.scheduler.apply_advice(action, tickets, harness.now + 2.0, harness.now)
    assert {worker_id for _, worker_id in harness.place()} == {"w2"}


def test_an_urgent_flow_comes_before_others_that_arrived_earlier():
    """Guards against urgent work that waits behind batch work.

    Scenario: a burst of batch flows is queued, then an urgent flow arrives.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w", cpu_milli=1000))
    batch = Queue()
    batch.CopyFrom(QUEUE)
    batch.priority = 2
    for number in range(20):
        flow = make_flow(f"b{number}", make_step(1))
        harness.commit(accept=flow)
        harness.scheduler.accept(flow, batch, harness.now)
    harness.submit(make_flow("u", make_step(1)))
    assert harness.place() == [("u.0.0.0", "w")]


def test_urgent_tasks_avoid_a_worker_as_soon_as_its_tasks_run_slowly():
    """Guards against late urgent flows if a slow worker is detected only when its tasks end.

    Scenario: during a burst, a twelfth of the workers takes six times as long for some seconds.
    """
    harness = FlowHarness(
        queue=Queue(name="q", service="pool", priority=0, max_attempts=3, stretch=1.5)
    )
    harness.add_worker(make_worker("slow"))
    harness.submit(make_flow("a", make_step(1, estimate_ms=640)))
    harness.place()
    harness.add_worker(make_worker("sound", cpu_milli=4000))
    harness.now += 0.6
    harness.deliver_report("slow", percent=15)
    harness.submit(make_flow("b", make_step(1, estimate_ms=640)))
    assert harness.place() == [("b.0.0.0", "sound")]
    harness.now += 30
    harness.submit(make_flow("c", make_step(1, estimate_ms=640)))
    assert harness.place() == [("c.0.0.0", "slow")], (
        "an old observation of a slowdown no longer counts"
    )


def test_a_rough_estimate_is_not_taken_for_a_slow_worker():
    """Guards against healthy workers that are avoided because tasks slightly exceed estimates."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("a", make_step(1, estimate_ms=640)))
    harness.place()
    harness.now += 0.6
    harness.deliver_report("w", percent=60)
    assert harness.scheduler.worker_by_id["w"].expected_slowdown(harness.now) == 1.0


def test_tasks_that_a_leaving_worker_cannot_finish_are_moved():
    """Guards against tasks that are killed with their worker though it announced that it leaves."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.submit(make_flow("f", make_step(1, estimate_ms=500), make_step(1, estimate_ms=60000)))
    harness.place()
    leaving = make_worker("w1")
    leaving.leaving, leaving.leaves_in_ms = True, 2000
    harness.scheduler.join(leaving)
    harness.scheduler.evacuate(harness.scheduler.worker_by_id["w1"], harness.now)
    assert harness.carry_out_stops() == ["f.0.1.0"]
    harness.deliver_report("w1")
    assert harness.place() == []
    harness.add_worker(make_worker("w2"))
    assert harness.place() == [("f.0.1.0", "w2")]


def test_a_member_of_a_gang_waits_until_all_members_can_start():
    """Guards against a member that starts alone while others of its gang are still stopping."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1"))
    harness.add_worker(make_worker("w2"))
    harness.submit(make_flow("f", make_step(3, gang=True)))
    harness.place()
    task_id = next(iter(harness.running_by_worker["w1"]))
    harness.end_run("w1", task_id, EndKind.FAILED)
    harness.deliver_report("w1")
    assert harness.place() == []


def test_the_highest_version_of_the_configuration_stays_in_force():
    """Guards against an older configuration that replaces a newer one if commits are reordered."""
    state = ControlState()
    for index, version in enumerate((5, 4, 5), start=2):
        document = QueueDocument(version=version, original=b"%d" % index)
        command = ControlCommand(document=document).SerializeToString()
        state.apply(index=index, command=command)
    assert (state.document.version, state.document.original) == (5, b"2")


def test_a_snapshot_holds_the_whole_state():
    """Guards against ends, failures, or workers that are lost when a log is compacted."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(2), make_step(1, after=[0])))
    harness.place()
    harness.end_run("w", "f.0.0.0")
    harness.end_run("w", "f.0.0.1", EndKind.FAILED)
    harness.deliver_report("w")
    harness.place()
    restored_state = ControlState()
    restored_state.restore(harness.state.snapshot())
    original, restored = harness.state.flow_by_id["f"], restored_state.flow_by_id["f"]
    assert restored.start_by_task == original.start_by_task
    assert list(restored.start_by_task) == ["f.0.0.1"]
    assert (restored.done, restored.failures_by_task, restored.remaining) == (
        original.done,
        original.failures_by_task,
        original.remaining,
    )
    assert restored.failures_by_task["f.0.0.1"].count == 1
    assert restored_state.worker_by_id == harness.state.worker_by_id
    assert restored_state.document == harness.state.document


def test_a_run_listed_long_after_its_confirmed_stop_is_stopped_again():
    """Guards against a task of a cancelled flow that runs on because its stop had no effect."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.scheduler.cancel("f")
    for _ in range(3):
        assert harness.confirm_stops_without_effect() == ["f.0.0.0"]
        harness.deliver_report("w")
        assert harness.scheduler.stops == [], "a stop takes a moment"
        harness.now += STOP_AGAIN_S
        harness.deliver_report("w")
        [action] = harness.scheduler.stops
        assert action.is_overdue
        harness.deliver_report("w")
        assert len(harness.scheduler.stops) == 1, "one order at a time"
    harness.carry_out_stops()
    harness.deliver_report("w")
    assert harness.scheduler.flow_by_id == {}


def test_an_unexpected_run_listed_long_after_its_confirmed_stop_is_stopped_again():
    """Guards against a run of a flow cancelled in a former term that runs on for ever.

    Its worker got no new tasks either while it listed the run.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.commit(cancel={"id": "f"})
    harness.begin_term(3)
    harness.deliver_report("w")
    for _ in range(3):
        assert harness.confirm_stops_without_effect() == ["f.0.0.0"]
        harness.deliver_report("w")
        assert harness.scheduler.stops == [], "a stop takes a moment"
        harness.now += STOP_AGAIN_S
        harness.deliver_report("w")
        harness.deliver_report("w")
        assert len(harness.scheduler.stops) == 1, "one order at a time"
    harness.carry_out_stops()
    harness.deliver_report("w")
    assert harness.scheduler.worker_by_id["w"].accepts_tasks


def test_a_member_of_a_gang_that_runs_on_after_the_gang_is_done_is_stopped():
    """Guards against a member that holds its worker for ever once another one has ended."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.add_worker(make_worker("w2", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(2, gang=True), make_step(1, after=[0])))
    (task, worker), (_, other) = harness.place()
    harness.end_run(worker, task)
    harness.deliver_report(worker)
    harness.deliver_report(other)
    assert harness.place() == [("f.0.1.0", worker)]
    assert harness.scheduler.stops == [], "the members end within a moment of each other"
    harness.now += STOP_AGAIN_S
    harness.deliver_report(other)
    assert len(harness.carry_out_stops()) == 1
    harness.deliver_report(other)
    assert harness.scheduler.worker_by_id[other].free_cpu_milli == 1000
    assert harness.place() == [], "the gang is done"


def test_a_run_that_a_lapsed_worker_still_lists_is_stopped():
    """Guards against a run whose stop order was given up when the lease of its worker expired."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.scheduler.cancel("f")
    harness.scheduler.stops.clear()
    harness.scheduler.expire_lease(harness.scheduler.worker_by_id["w"])
    harness.deliver_report("w")
    assert harness.carry_out_stops() == ["f.0.0.0"]


def test_a_copy_outlives_its_flow_until_its_worker_has_stopped_it():
    """Guards against a copy that nobody stops after its cancelled flow was removed."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w1", cpu_milli=1000))
    harness.submit(make_flow("f", make_step(1, speculative=True)))
    harness.place()
    worker = harness.scheduler.worker_by_id["w1"]
    worker.status = WorkerStatus.SUSPECT
    harness.scheduler.speculate(worker, harness.now)
    harness.scheduler.cancel("f")
    assert harness.scheduler.flow_by_id == {}
    assert harness.confirm_stops_without_effect() == ["f.0.0.0"]
    harness.now += STOP_AGAIN_S
    harness.deliver_report("w1")
    assert harness.carry_out_stops() == ["f.0.0.0"]
    harness.deliver_report("w1")
    assert worker.free_cpu_milli == 1000


def test_a_later_run_of_a_gang_is_stopped_when_an_earlier_run_is_reported_as_done():
    """Guards against members that go on, or start late, after an earlier run of the gang is done.

    The leader learns of the end only after the lease of the first workers has expired.
    """
    harness = FlowHarness()
    for name in ("w1", "w2"):
        harness.add_worker(make_worker(name, cpu_milli=1000))
    harness.submit(make_flow("f", make_step(2, gang=True)))
    members = harness.place()
    for task, worker in members:
        harness.end_run(worker, task)
        harness.scheduler.expire_lease(harness.scheduler.worker_by_id[worker])
    harness.carry_out_stops()
    for name in ("w3", "w4"):
        harness.add_worker(make_worker(name, cpu_milli=1000))
    assert len(harness.place()) == 2
    harness.scheduler.find_task("f.0.0.1").state = TaskState.STARTING
    harness.deliver_report(members[0][1])
    for name in ("w3", "w4"):
        harness.running_by_worker[name].pop("f.0.0.1", None)
        harness.deliver_report(name)
        worker = harness.scheduler.worker_by_id[name]
        assert worker.free_cpu_milli == 0, "the start may still arrive"
    assert sorted(harness.carry_out_stops()) == ["f.0.0.0", "f.0.0.1"]
    harness.deliver_report("w3")
    harness.deliver_report("w4")
    assert harness.scheduler.flow_by_id == {}
    for name in ("w3", "w4"):
        assert harness.scheduler.worker_by_id[name].free_cpu_milli == 1000


def test_a_start_refused_after_its_task_was_stopped_and_released_changes_nothing():
    """Guards against a leader that ends with an error because of a late reply.

    The start was in flight when the flow was cancelled, so the worker refuses it as old.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    [start] = harness.scheduler.place(harness.now, 0)
    harness.scheduler.cancel("f")
    harness.carry_out_stops()
    harness.deliver_report("w")
    assert harness.scheduler.flow_by_id == {}
    harness.scheduler.apply_refusal(
        start.task, start.run, Refusal.OLD, harness.now, was_sent_before=False
    )
    assert harness.scheduler.worker_by_id["w"].free_cpu_milli == 8000


def test_a_report_of_a_former_incarnation_changes_nothing():
    """Guards against a worker that was replaced and is polled, and kept alive, by a late report.

    Its runs would have no manager to stop them, and the numbers of its ends would hide those of
    the new incarnation.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w", born_ms=1))
    former = harness.scheduler.worker_by_id["w"]
    harness.add_worker(make_worker("w", born_ms=2))
    report = WorkerReport(
        clock_ms=1,
        running=[RunStatus(task_id="f.0.0.1", run=3)],
        ended=[RunEnd(number=9, task_id="f.0.0.0", run=2, kind=EndKind.DONE)],
    )
    assert harness.scheduler.apply_report(former, report, harness.now, harness.now) == []
    assert former.status == WorkerStatus.LOST
    assert harness.scheduler.stops == []
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    harness.end_run("w", "f.0.0.0")
    harness.deliver_report("w")
    assert harness.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_a_step_of_a_closed_flow_does_not_become_ready():
    """Guards against steps of cancelled flows that stay among the steps to start for ever."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1), make_step(1, after=[0])))
    harness.place()
    harness.scheduler.cancel("f")
    harness.end_run("w", "f.0.0.0")
    harness.deliver_report("w")
    assert harness.place() == []
    assert harness.scheduler.flow_by_id == {}
    assert harness.scheduler.ready_by_id == {}


def test_a_flow_cancelled_before_its_first_start_is_not_revived_by_a_resend():
    """Guards against a cancelled flow that runs because its POST was sent again.

    The resend comes in the same term, and again under the next leader.
    """
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    flow = make_flow("f", make_step(1))
    harness.submit(flow)
    harness.commit(cancel={"id": "f"})
    harness.scheduler.cancel("f")
    harness.submit(flow)
    assert harness.place() == []
    harness.begin_term(3)
    harness.commit(accept=flow)
    harness.deliver_report("w")
    assert harness.state.flow_by_id["f"].outcome == Outcome.CANCELLED
    assert harness.scheduler.flow_by_id == {}
    assert harness.place() == []


def test_a_start_committed_after_the_cancellation_is_not_taken_over_by_the_next_leader():
    """Guards against a cancelled flow whose last starts were being committed at that moment."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    [start] = harness.scheduler.place(harness.now, 0)
    harness.commit(cancel={"id": "f"})
    harness.commit(starts=StartBatch(starts=[start.to_record()]))
    harness.running_by_worker["w"][start.task.id] = start.run
    harness.begin_term(3)
    harness.deliver_report("w")
    assert harness.carry_out_stops() == ["f.0.0.0"]
    assert harness.place() == []
