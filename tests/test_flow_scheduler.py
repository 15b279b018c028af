"""Decisions of the flow scheduler; each test names the failure it guards against."""

from siskintally.control_pb2 import (
    AdviceTerms,
    ControlCommand,
    EndBatch,
    Queue,
    QueueDocument,
    TaskEnd,
)
from siskintally.control_state import ControlState, Outcome
from siskintally.driver import EndKind, Ticket, WorkerReport
from siskintally.flow import TaskState
from tests.flow_rig import QUEUE, FlowRig, flow, step, worker


def test_a_resent_flow_is_not_run_again_while_its_last_end_is_not_committed():
    """Guards against a second run of a flow whose last end was reported but not yet committed."""
    rig = FlowRig()
    rig.add(worker("w"))
    body = flow("f", step(1))
    rig.submit(body)
    rig.place()
    rig.end("w", "f.0.0.0")
    rig.report("w", commit=False)
    rig.submit(body)
    assert rig.place() == []
    rig.settle()
    assert rig.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_a_failed_run_counts_once_though_two_leaders_report_it():
    """Guards against a flow that is shown as failed before its attempts are used up.

    The old and the new leader both read the same failed end from the worker.
    """
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(1)))
    rig.place()
    rig.end("w", "f.0.0.0", EndKind.FAILED)
    rig.report("w")
    # The next leader reads the same end again: the worker got no acknowledgement of the commit.
    rig.lead(3)
    rig.report("w")
    assert rig.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1
    rig.commit(ends=EndBatch(ends=[TaskEnd(task="f.0.0.0", run=1, how=TaskEnd.FAILED)]))
    assert rig.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1


def test_the_failure_that_ends_a_flow_stops_only_what_still_runs():
    """Guards against a stop order for a task that has already ended on its worker."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(2)))
    for _ in range(3):
        rig.place()
        rig.end("w", "f.0.0.0", EndKind.FAILED)
        rig.report("w")
    assert rig.carry_out_stops() == ["f.0.0.1"]
    assert rig.state.flow_by_id["f"].outcome == Outcome.FAILED
    rig.report("w")
    assert rig.scheduler.flow_by_id == {}


def test_no_worker_gets_more_than_it_has_and_a_stopping_task_still_counts():
    """Guards against a start on resources that are not free yet.

    A task that was told to stop uses its resources until its worker reports that it ended.
    """
    rig = FlowRig()
    rig.add(worker("w", cpu_milli=2000))
    rig.submit(flow("f", step(2)))
    assert len(rig.place()) == 2
    rig.submit(flow("g", step(1)))
    assert rig.place() == []
    rig.scheduler.cancel("f")
    assert rig.place() == []
    rig.carry_out_stops()
    assert rig.place() == []
    rig.report("w")
    assert rig.place() == [("g.0.0.0", "w")]


def test_a_step_waits_for_the_steps_before_it():
    """Guards against a start before all tasks of an earlier step are done."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(2), step(1, after=[0])))
    rig.place()
    rig.end("w", "f.0.0.0")
    rig.report("w")
    assert rig.place() == []
    rig.end("w", "f.0.0.1")
    rig.report("w")
    assert rig.place() == [("f.0.1.0", "w")]


def test_a_new_leader_starts_nothing_old_before_every_worker_is_seen_or_waited_out():
    """Guards against a second run of a task on a worker that the new leader cannot reach."""
    rig = FlowRig()
    rig.add(worker("w1", cpu_milli=1000))
    rig.add(worker("w2", cpu_milli=1000))
    rig.submit(flow("f", step(2)))
    rig.place()
    rig.lead(3)
    rig.report("w1")
    assert rig.place() == []
    unseen = rig.scheduler.worker_by_id["w2"]
    rig.scheduler.expire_lease(unseen)
    assert rig.place() == []
    states = sorted(task.state for task in rig.scheduler.flow_by_id["f"].step_by_key[0, 0].tasks)
    assert states == [TaskState.WAITING, TaskState.RUNNING]


def test_a_new_leader_waits_only_for_the_workers_on_which_a_task_may_run():
    """Guards against flows that all stall after a leader change because few workers are cut off.

    Scenario: one worker of four is unresponsive when the leader changes; urgent flows are open.
    """
    rig = FlowRig()
    for number in range(4):
        rig.add(worker(f"w{number}", cpu_milli=1000))
    rig.submit(flow("a", step(2), step(1, after=[0])))
    ran = rig.place()
    rig.submit(flow("b", step(1)))
    seen, silent = (worker_id for _, worker_id in ran)
    idle = [f"w{number}" for number in range(4) if f"w{number}" not in (seen, silent)]
    rig.lead(3)
    for worker_id in idle:
        rig.report(worker_id)
    assert rig.place() == [("b.0.0.0", idle[0])], "never sent to a worker: starts at once"
    rig.running_by_worker[seen].clear()
    rig.report(seen)
    assert [task for task, _ in rig.place()] == [ran[0][0]], "not on its worker: starts again"
    assert rig.scheduler.find_task(ran[1][0]).state == TaskState.UNKNOWN
    rig.scheduler.expire_lease(rig.scheduler.worker_by_id[silent])
    assert rig.scheduler.find_task(ran[1][0]).state == TaskState.WAITING


def test_a_task_may_start_again_when_its_worker_is_another_incarnation():
    """Guards against waiting for a worker that was replaced by another one with the same id."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f"))
    rig.place()
    rig.commit(join=worker("w", born_ms=2))
    rig.lead(3)
    assert rig.scheduler.find_task("f.0.0.0").state == TaskState.WAITING


def test_a_part_of_a_report_does_not_tell_what_is_missing():
    """Guards against a second run of a task whose end is on the next page of a report."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f"))
    rig.place()
    rig.lead(3)
    found = rig.scheduler.worker_by_id["w"]
    report = WorkerReport(clock_ms=1, running=[], ended=[], is_partial=True)
    rig.scheduler.apply_report(found, report, rig.now, rig.now)
    assert rig.place() == []
    assert rig.scheduler.find_task("f.0.0.0").state == TaskState.UNKNOWN


def test_a_failure_that_is_older_than_one_that_counts_is_not_counted():
    """Guards against a flow that fails early because ends are reported out of order."""
    rig = FlowRig()
    rig.add(worker("w1", cpu_milli=1000))
    rig.add(worker("w2", cpu_milli=1000))
    rig.submit(flow("f"))
    [(task_id, first)] = rig.place()
    second = "w2" if first == "w1" else "w1"
    rig.end(first, task_id, EndKind.FAILED)
    rig.scheduler.expire_lease(rig.scheduler.worker_by_id[first])
    assert rig.place() == [(task_id, second)]
    rig.end(second, task_id, EndKind.FAILED)
    rig.report(second)
    rig.lead(3)
    assert rig.report(second) == []
    assert rig.report(first) == []
    assert rig.scheduler.find_task(task_id).failures == 1


def test_a_gang_with_a_lost_member_starts_again_once_all_members_are_located():
    """Guards against stopping members while another one may run on a worker not yet reported."""
    rig = FlowRig()
    for name in ("w1", "w2", "w3"):
        rig.add(worker(name, cpu_milli=1000))
    rig.submit(flow("f", step(3, gang=True)))
    rig.place()
    rig.lead(3)
    rig.report("w1")
    rig.running_by_worker["w2"].clear()
    rig.report("w2")
    assert rig.carry_out_stops() == []
    rig.report("w3")
    assert len(rig.carry_out_stops()) == 2
    assert rig.place() == []


def test_a_new_leader_stops_what_belongs_to_no_open_flow():
    """Guards against a task that runs on after its flow was cancelled in a former term."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(1)))
    rig.place()
    rig.commit(cancel={"id": "f"})
    rig.lead(3)
    rig.report("w")
    assert rig.carry_out_stops() == ["f.0.0.0"]
    assert not rig.scheduler.worker_by_id["w"].accepts_tasks
    rig.report("w")
    assert rig.scheduler.worker_by_id["w"].accepts_tasks


def test_a_gang_is_placed_as_a_whole_and_starts_again_as_a_whole():
    """Guards against a gang that starts in part, and against members of two runs at once."""
    rig = FlowRig()
    rig.add(worker("w1", cpu_milli=2000))
    rig.submit(flow("f", step(3, gang=True)))
    assert rig.place() == []
    rig.add(worker("w2", cpu_milli=2000))
    assert len(rig.place()) == 3
    runs = {run for runs in rig.running_by_worker.values() for run in runs.values()}
    assert len(runs) == 1
    task_id = next(iter(rig.running_by_worker["w1"]))
    rig.end("w1", task_id, EndKind.FAILED)
    rig.report("w1")
    assert rig.place() == []
    assert len(rig.carry_out_stops()) == 2
    rig.report("w1")
    rig.report("w2")
    assert len(rig.place()) == 3
    assert rig.state.flow_by_id["f"].failures_by_task["f.0.0.0"].count == 1


def test_one_end_of_a_gang_stands_for_all():
    """Guards against a second run of members whose own end was not reported yet."""
    rig = FlowRig()
    rig.add(worker("w1", cpu_milli=1000))
    rig.add(worker("w2", cpu_milli=1000))
    rig.submit(flow("f", step(2, gang=True)))
    rig.place()
    rig.end("w1", next(iter(rig.running_by_worker["w1"])))
    rig.report("w1")
    assert rig.state.flow_by_id["f"].outcome == Outcome.COMPLETED
    assert rig.scheduler.worker_by_id["w2"].free_cpu_milli == 0
    rig.end("w2", next(iter(rig.running_by_worker["w2"])), EndKind.BROKEN)
    rig.report("w2")
    assert rig.scheduler.worker_by_id["w2"].free_cpu_milli == 1000
    assert rig.place() == []
    assert rig.scheduler.flow_by_id == {}


def test_a_lost_worker_gives_back_its_tasks():
    """Guards against tasks that nobody runs after a worker is gone."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.submit(flow("f", step(1)))
    rig.place()
    rig.scheduler.expire_lease(rig.scheduler.worker_by_id["w1"])
    assert rig.place() == []
    rig.add(worker("w2"))
    assert rig.place() == [("f.0.0.0", "w2")]


def test_a_new_incarnation_under_the_same_id_knows_nothing():
    """Guards against ends of a former incarnation that hide those of the new one.

    The end numbers of a new incarnation begin at 1 again.
    """
    rig = FlowRig()
    rig.add(worker("w", born_ms=1))
    rig.submit(flow("f", step(1)))
    rig.place()
    rig.end("w", "f.0.0.0", EndKind.FAILED)
    rig.report("w")
    rig.ended_by_worker["w"] = []
    rig.number_by_worker["w"] = 0
    rig.running_by_worker["w"] = {}
    rig.add(worker("w", born_ms=2))
    assert rig.place() == [("f.0.0.0", "w")]
    rig.end("w", "f.0.0.0")
    rig.report("w")
    assert rig.state.flow_by_id["f"].outcome == Outcome.COMPLETED


def test_a_lasting_task_starts_again_however_it_ends():
    """Guards against a service task that is not restarted after it ended."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(1, lasting=True)))
    for kind in (EndKind.DONE, EndKind.FAILED, EndKind.FAILED, EndKind.FAILED, EndKind.FAILED):
        assert rig.place() == [("f.0.0.0", "w")]
        rig.end("w", "f.0.0.0", kind)
        rig.report("w")
        rig.scheduler.worker_by_id["w"].excluded_until = 0.0
    assert rig.state.flow_by_id["f"].outcome == Outcome.OPEN


def test_no_more_tasks_of_a_step_than_allowed_on_one_worker():
    """Guards against a step whose tasks are not spread over workers as it requires."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.add(worker("w2"))
    rig.submit(flow("f", step(6, max_per_worker=2)))
    assert len(rig.place()) == 4


def test_filling_tasks_are_slowed_while_a_serving_task_is_over_its_target():
    """Guards against a serving task that stays over its latency target beside best-effort tasks."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("s", step(1, lasting=True, tail_target_ms=100)))
    rig.submit(flow("b", step(2, filling=True)))
    rig.place()
    found = rig.scheduler.worker_by_id["w"]
    rig.report("w", load=150)
    assert {action.percent for action in rig.scheduler.throttles} == {25}
    rig.report("w", load=150)
    rig.report("w", load=150)
    assert found.best_effort_percent == 0
    rig.report("w", load=90)
    assert found.best_effort_percent == 0
    rig.report("w", load=50)
    assert found.best_effort_percent == 25


def test_a_filling_task_that_starts_beside_a_slowed_one_is_slowed_too():
    """Guards against new best-effort tasks that run unthrottled on a worker that is throttled."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.scheduler.worker_by_id["w"].best_effort_percent = 5
    rig.submit(flow("b", step(1, filling=True)))
    rig.place()
    assert [action.percent for action in rig.scheduler.throttles] == [5]


def test_a_task_that_stands_still_is_started_on_another_worker():
    """Guards against tasks that hang on a worker whose announcements are normal."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.submit(flow("f", step(1, estimate_ms=1000)))
    rig.place()
    rig.add(worker("w2"))
    rig.report("w1", percent=30)
    rig.now += 2.0
    rig.report("w1", percent=30)
    assert rig.carry_out_stops() == []
    rig.now += 1.0
    rig.report("w1", percent=30)
    assert rig.carry_out_stops() == ["f.0.0.0"]
    rig.report("w1")
    assert rig.place() == [("f.0.0.0", "w2")]


def test_a_slow_task_is_left_alone_while_it_makes_progress():
    """Guards against work that is lost because a task on a slow worker counts as stalled."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.submit(flow("f", step(1, estimate_ms=12000)))
    rig.place()
    for percent in range(10, 20):
        rig.now += 2.0
        rig.report("w1", percent=percent)
    assert rig.carry_out_stops() == []


def test_a_lasting_task_that_is_at_work_is_not_taken_for_standing_still():
    """Guards against service tasks that are restarted although they work.

    A service task reports 100 percent all the time, which looks like no progress.
    """
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.submit(flow("f", step(1, lasting=True)))
    rig.place()
    for _ in range(4):
        rig.now += 5.0
        rig.report("w1", percent=100)
    assert rig.carry_out_stops() == []


def test_an_occurrence_is_not_started_before_its_time():
    """Guards against a scheduled occurrence that runs early, or that waits for the one before."""
    rig = FlowRig()
    rig.add(worker("w"))
    body = flow("f", step(1))
    body.times, body.first_run_ms, body.interval_ms = 2, 1000, 500
    rig.submit(body)
    started = {}
    for wall_ms in (999, 1000, 1499, 1500):
        started[wall_ms] = [one.task.id for one in rig.scheduler.place(rig.now, wall_ms)]
    assert started == {999: [], 1000: ["f.0.0.0"], 1499: [], 1500: ["f.1.0.0"]}


def test_a_start_on_a_queue_with_advice_needs_a_ticket_in_force():
    """Guards against starts that workers refuse for want of a ticket."""
    queue = Queue()
    queue.CopyFrom(QUEUE)
    queue.advice.CopyFrom(AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000))
    rig = FlowRig(queue=queue)
    rig.add(worker("w1"))
    rig.add(worker("w2"))
    rig.submit(flow("f", step(2)))
    assert rig.place() == []
    (action,) = rig.scheduler.plan_advice_calls(rig.now, 0)
    assert sorted(action.worker_ids) == ["w1", "w2"]
    tickets = [Ticket(worker_id="w2", text="t")]
    rig.scheduler.apply_advice(action, tickets, rig.now + 2.0, rig.now)
    rig.now += 1.9
    assert rig.place() == []
    (action,) = rig.scheduler.plan_advice_calls(rig.now, 0)
    assert action.worker_ids == ("w2",)
    rig.scheduler.apply_advice(action, tickets, rig.now + 2.0, rig.now)
    assert {worker_id for _, worker_id in rig.place()} == {"w2"}


def test_an_urgent_flow_comes_before_others_that_arrived_earlier():
    """Guards against urgent work that waits behind batch work.

    Scenario: a burst of batch flows is queued, then an urgent flow arrives.
    """
    rig = FlowRig()
    rig.add(worker("w", cpu_milli=1000))
    batch = Queue()
    batch.CopyFrom(QUEUE)
    batch.priority = 2
    for number in range(20):
        body = flow(f"b{number}", step(1))
        rig.commit(accept=body)
        rig.scheduler.accept(body, batch, rig.now)
    rig.submit(flow("u", step(1)))
    assert rig.place() == [("u.0.0.0", "w")]


def test_urgent_tasks_avoid_a_worker_as_soon_as_its_tasks_crawl():
    """Guards against late urgent flows if a slow worker is detected only when its tasks end.

    Scenario: during a burst, a twelfth of the workers takes six times as long for some seconds.
    """
    rig = FlowRig(queue=Queue(name="q", service="pool", priority=0, max_attempts=3, stretch=1.5))
    rig.add(worker("slow"))
    rig.submit(flow("a", step(1, estimate_ms=640)))
    rig.place()
    rig.add(worker("sound", cpu_milli=4000))
    rig.now += 0.6
    rig.report("slow", percent=15)
    rig.submit(flow("b", step(1, estimate_ms=640)))
    assert rig.place() == [("b.0.0.0", "sound")]
    rig.now += 30
    rig.submit(flow("c", step(1, estimate_ms=640)))
    assert rig.place() == [("c.0.0.0", "slow")], "an old observation of a slowdown no longer counts"


def test_a_rough_estimate_is_not_taken_for_a_slow_worker():
    """Guards against healthy workers that are avoided because tasks slightly exceed estimates."""
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("a", step(1, estimate_ms=640)))
    rig.place()
    rig.now += 0.6
    rig.report("w", percent=60)
    assert rig.scheduler.worker_by_id["w"].expected_slowdown(rig.now) == 1.0


def test_what_a_leaving_worker_cannot_finish_moves_away():
    """Guards against tasks that are killed with their worker though it announced that it leaves."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.submit(flow("f", step(1, estimate_ms=500), step(1, estimate_ms=60000)))
    rig.place()
    leaving = worker("w1")
    leaving.leaving, leaving.leaves_in_ms = True, 2000
    rig.scheduler.join(leaving, is_new=False)
    rig.scheduler.evacuate(rig.scheduler.worker_by_id["w1"], rig.now)
    assert rig.carry_out_stops() == ["f.0.1.0"]
    rig.report("w1")
    assert rig.place() == []
    rig.add(worker("w2"))
    assert rig.place() == [("f.0.1.0", "w2")]


def test_a_member_of_a_gang_waits_until_all_members_can_start():
    """Guards against a member that starts alone while others of its gang are still stopping."""
    rig = FlowRig()
    rig.add(worker("w1"))
    rig.add(worker("w2"))
    rig.submit(flow("f", step(3, gang=True)))
    rig.place()
    task_id = next(iter(rig.running_by_worker["w1"]))
    rig.end("w1", task_id, EndKind.FAILED)
    rig.report("w1")
    assert rig.place() == []


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
    rig = FlowRig()
    rig.add(worker("w"))
    rig.submit(flow("f", step(2), step(1, after=[0])))
    rig.place()
    rig.end("w", "f.0.0.0")
    rig.end("w", "f.0.0.1", EndKind.FAILED)
    rig.report("w")
    rig.place()
    copy = ControlState()
    copy.restore(rig.state.snapshot())
    found, kept = rig.state.flow_by_id["f"], copy.flow_by_id["f"]
    assert kept.start_by_task == found.start_by_task
    assert list(kept.start_by_task) == ["f.0.0.1"]
    assert (kept.done, kept.failures_by_task, kept.remaining) == (
        found.done,
        found.failures_by_task,
        found.remaining,
    )
    assert kept.failures_by_task["f.0.0.1"].count == 1
    assert copy.worker_by_id == rig.state.worker_by_id
    assert copy.document == rig.state.document
