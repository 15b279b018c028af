"""A worker that joins gets no tasks before its first report: it may have runs from before."""

from functools import partial

from anyio import create_task_group, run, sleep
from pytest import mark

from siskintally.clock import now as steady
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import FlowSubmit, WorkerKey, WorkerSeen
from siskintally.control_state import ControlState
from siskintally.counters import Counters
from siskintally.driver import EndKind
from siskintally.errors import ConnectionLostError, OutcomeUnknownError
from siskintally.fleet import WorkerStatus
from tests.flow_harness import QUEUE, FlowHarness, make_flow, make_step, make_worker
from tests.processes import wait_until
from tests.test_control_leader import TIMING, GatedGroup, RecordingDriver
from tests.test_flow_cell import has_state
from tests.test_unanswered_starts import CPU_MILLI, LateHarness
from tests.test_worker_incarnations import LivesCell
from tests.worker_lives import overfull_workers

# A worker that joins is polled within this time, far below the interval of heartbeats.
POLLED_AT_ONCE_S = 0.1
LONG_RUN_S = 2.5
# Time from an announcement until the tasks that are started because of it run.
SETTLE_S = 0.3


def lose_and_return(harness, record):
    """Let the leader give up an incarnation that runs on and announces itself again."""
    scheduler = harness.scheduler
    scheduler.remove_worker(scheduler.worker_by_id[record.id])
    scheduler.join(record)


STEPS = {
    "single": [make_step(8)],
    "gang": [make_step(4, gang=True), make_step(4, gang=True)],
    "later step": [make_step(8), make_step(2, after=[0])],
}


@mark.parametrize("kind", STEPS)
@mark.parametrize("losses", [1, 3])
def test_a_returned_worker_gets_no_tasks_until_its_former_runs_are_over(kind, losses):
    """Guards against a worker that is filled again beside runs that its leader gave up."""
    harness = FlowHarness()
    record = make_worker("w")
    harness.add_worker(record)
    harness.submit(make_flow("f", *STEPS[kind]))
    first = harness.place()
    assert first
    for _ in range(losses):
        lose_and_return(harness, record)
        assert harness.place() == [], "it has not reported yet"
    harness.deliver_report("w")
    assert harness.place() == [], "its former runs go on"
    assert set(harness.carry_out_stops()) == {task_id for task_id, _ in first}
    assert harness.place() == [], "no report shows that they have ended"
    harness.deliver_report("w")
    assert sorted(harness.place()) == sorted(first)


def test_an_end_of_a_former_run_counts_after_the_return():
    """Guards against a task that runs again although the returned worker reports its success."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(1)))
    harness.place()
    lose_and_return(harness, make_worker("w"))
    harness.end_run("w", "f.0.0.0", EndKind.DONE)
    assert [end.task for end in harness.deliver_report("w")] == ["f.0.0.0"]
    assert harness.place() == []


def test_a_returned_worker_that_leaves_gets_no_tasks():
    """Guards against tasks on a draining worker after its first report has made it ready."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(8)))
    harness.place()
    leaving = make_worker("w")
    leaving.leaving = True
    lose_and_return(harness, leaving)
    for _ in range(2):
        harness.deliver_report("w")
        harness.carry_out_stops()
        assert harness.place() == []


def test_a_worker_that_returns_to_the_next_leader_gets_no_tasks_before_its_report():
    """Guards against a worker that is taken for empty because its loss was committed before."""
    harness = FlowHarness()
    harness.add_worker(make_worker("w"))
    harness.submit(make_flow("f", make_step(8)))
    first = harness.place()
    harness.commit(leave=WorkerKey(id="w", born_ms=1))
    harness.begin_term(3)
    harness.scheduler.join(make_worker("w"))
    assert harness.place() == []
    harness.deliver_report("w")
    assert harness.place() == []
    harness.carry_out_stops()
    harness.deliver_report("w")
    assert sorted(harness.place()) == sorted(first)


@mark.parametrize("tasks", [1, 4])
def test_a_start_without_an_answer_may_come_after_the_return_of_its_worker(tasks):
    """Guards against a second run, and an overfull worker, after a wrong loss.

    The worker returns with the same start time. Starts that were sent before are still carried out
    after its first report, because their fence and their lease are still good there.
    """
    harness = LateHarness("w")
    harness.submit(make_flow("f", make_step(tasks)))
    actions = harness.send_starts()
    lease_end = harness.now + 5.0
    actions[0].worker.lease_expires_at = lease_end
    lose_and_return(harness, make_worker("w", cpu_milli=CPU_MILLI))
    harness.deliver_report("w")
    later = harness.send_starts()
    for action in actions:
        harness.carry_out(action)
    assert later == [], "the first starts may still be carried out"
    harness.deliver_report("w")
    harness.carry_out_stops()
    harness.now = lease_end
    harness.deliver_report("w")
    assert len(harness.send_starts()) == tasks


class CountingDriver(RecordingDriver):
    """Workers whose first polls fail; ``polled_at``: steady times of all polls."""

    def __init__(self, *errors):
        super().__init__()
        self.errors = list(errors)
        self.polled_at = []

    async def poll_status(self, worker, **options):
        """Record a poll; fail or report what runs."""
        self.polled_at.append(steady())
        if self.errors:
            raise self.errors.pop(0)
        return await super().poll_status(worker, **options)


FIRST_ERRORS = {
    "none": [],
    "timeouts": [OutcomeUnknownError("timeout"), OutcomeUnknownError("timeout")],
    "lost connection": [ConnectionLostError("reset")],
}


@mark.parametrize("errors", FIRST_ERRORS)
def test_a_joining_worker_is_polled_at_once_and_again_after_an_error(errors):
    """Guards against a new worker that stays without tasks until one of its next heartbeats."""

    async def main():
        driver = CountingDriver(*FIRST_ERRORS[errors])
        group = GatedGroup()
        group.may_commit.set()
        leader = ControlLeader(
            group=group,
            state=ControlState(),
            driver=driver,
            advice_clients=lambda: (),
            timing=TIMING,
            counters=Counters(),
        )
        async with create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await sleep(SETTLE_S)
            leader.scheduler.accept(make_flow("f", make_step(1)), QUEUE, steady())
            joined_at = steady()
            leader.handle_join(make_worker("w"))
            worker = leader.scheduler.worker_by_id["w"]
            assert worker.status == WorkerStatus.UNSEEN
            await wait_until(lambda: driver.starts, "started")
            assert driver.polled_at[0] - joined_at < POLLED_AT_ONCE_S
            assert worker.status == WorkerStatus.READY
            assert len(driver.polled_at) > len(FIRST_ERRORS[errors])
            tasks.cancel_scope.cancel()

    run(main)


@mark.parametrize("trouble", ["once", "several times", "next leader"])
@mark.parametrize("gang", [False, True])
def test_a_worker_that_was_given_up_wrongly_is_not_overfilled(tmp_path, trouble, gang):
    """Guards against more tasks than fit on a worker that a leader has given up while it runs."""

    async def main():
        async with LivesCell(folder=tmp_path).running() as cell:
            await cell.configure()
            await cell.add_worker("w1", run_s=lambda task_id: LONG_RUN_S)
            names = [f"f{number}" for number in range(5)]
            for name in names:
                await cell.call(FlowSubmit(flow=make_flow(name, make_step(4, gang=gang))))
            host = cell.hosts_by_name["w1"]
            for number in range(2, 4 if trouble == "several times" else 3):
                await wait_until(lambda: len(host.life.worker.running_by_task) == 4, "full")
                leader = cell.node_by_host[cell.leader()]._leader
                worker = leader.scheduler.worker_by_id["w1"]
                leader.handle_worker_lost(worker, "given up by the test")
                await wait_until(partial(is_gone, cell), "loss committed")
                if trouble == "next leader":
                    cell.kill(cell.leader())
                    await wait_until(cell.leader, "next leader")
                # The tasks of the lost worker start on this one, and others could on the lost one.
                await cell.add_worker(f"w{number}", run_s=lambda task_id: LONG_RUN_S)
                await sleep(SETTLE_S)
                await cell.call(WorkerSeen(worker=host.announcement()))
                await sleep(SETTLE_S)
            for name in names:
                await wait_until(partial(has_state, cell, name, "completed"), f"{name} completed")
            await cell.stop_workers()
            assert overfull_workers(cell.hosts_by_name.values()) == []

    run(main)


def is_gone(cell):
    """Return whether the loss of the first worker is committed."""
    return all("w1" not in node.state.worker_by_id for node in cell.node_by_host.values())
