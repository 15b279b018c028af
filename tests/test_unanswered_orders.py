"""Orders without an answer that are given up by an error, or carried out after later ones."""

from anyio import move_on_after, run

from siskintally.actions import StartAction, StopAction, ThrottleAction
from siskintally.control_pb2 import PoolWorker
from siskintally.driver import OrderReply, Refusal
from siskintally.errors import OutcomeUnknownError
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow import FlowRun, TaskState
from siskintally.worker_manager import WorkerManager
from tests.flow_harness import make_flow
from tests.test_unanswered_starts import start_last_step
from tests.test_worker_manager import TIMING, LeaderOfStops, ScriptedStops


def make_manager(leader, driver, state):
    """Return a manager of one worker, and a task with run 7 on it."""
    worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=1000, memory_mb=10))
    worker.status = WorkerStatus.READY
    task = FlowRun(flow=make_flow("f"), queue=None, arrived_at=0.0).step_by_key[0, 0].tasks[0]
    task.run, task.worker, task.state = 7, worker, state
    manager = WorkerManager(worker=worker, leader=leader, driver=driver, timing=TIMING)
    manager.lease.sample_clock(clock_ms=1000, received_at=0.0)
    return manager, task


class SpecOfABrokenFlow:
    """A flow whose specification text cannot be read."""

    id = "f"

    @property
    def spec(self):
        """Raise an unexpected error."""
        raise ArithmeticError("unexpected")


class LeaderOfUnanswered(LeaderOfStops):
    """Records what the manager tells about starts."""

    def __init__(self):
        super().__init__()
        self.told = []
        self.scheduler = self

    def isolate(self, flow_id, error, now=None):
        """Record an unexpected error."""
        self.told.append(("error", type(error).__name__))

    def handle_unanswered(self, action, error):
        """Record an attempt without an answer."""
        self.told.append(("unanswered", action.run))

    def handle_unsettled(self, action):
        """Record a start of which nothing more is known."""
        self.told.append(("unsettled", action.run))

    def handle_started(self, action):
        """Record a start that counts as confirmed."""
        self.told.append(("started", action.run))


def test_an_error_while_a_start_is_sent_confirms_nothing():
    """Guards against a run that counts as started, is not listed, and is then started again.

    The first attempt got no answer and may still be carried out.
    """
    leader = LeaderOfUnanswered()
    driver = ScriptedStops(Refusal.NONE)
    manager, task = make_manager(leader, driver, TaskState.STARTING)

    async def give_no_answer_once(worker, order, *, timeout):
        task.step.flow.flow = SpecOfABrokenFlow()
        raise OutcomeUnknownError("timeout")

    driver.start = give_no_answer_once

    async def main():
        with move_on_after(2.0) as scope:
            await manager.start(StartAction(task=task, worker=task.worker, run=7, ticket=""))
        assert not scope.cancelled_caught

    run(main)
    assert leader.told == [("unanswered", 7), ("unsettled", 7), ("error", "ArithmeticError")]


def test_a_start_that_is_given_up_by_an_error_is_stopped_before_its_task_starts_again():
    """Guards against two runs of a task after an unexpected error in the sending of its start."""
    harness, action = start_last_step("single")
    harness.scheduler.settle_by_stop(action.task, action.run)
    assert harness.send_starts() == []
    harness.carry_out(action)
    assert harness.carry_out_stops() == [action.task.id]
    harness.deliver_report(action.worker.id)
    assert len(harness.send_starts()) == 1


class LateThrottles(ScriptedStops):
    """Carries out the first throttle order late, after the next one, and answers only that."""

    def __init__(self):
        super().__init__(Refusal.NONE)
        self.percents = []

    async def throttle(self, worker, order, *, timeout):
        """Record the share that is in force after each order."""
        if not self.percents:
            self.percents.append(None)
            raise OutcomeUnknownError("timeout")
        self.percents.append(order.percent)
        return OrderReply()


def test_a_throttle_without_an_answer_is_sent_again_after_it_may_have_come_late(monkeypatch):
    """Guards against a best-effort task that stands still for good by an old throttle order."""
    monkeypatch.setattr("siskintally.worker_manager.THROTTLE_REFRESH_S", 0.05)
    leader, driver = LeaderOfStops(), LateThrottles()
    manager, task = make_manager(leader, driver, TaskState.RUNNING)
    worker = task.worker

    async def main():
        worker.best_effort_percent = 10
        with move_on_after(0.6):
            await manager.throttle(ThrottleAction(task, 7, worker, 10))
        worker.best_effort_percent = 100
        with move_on_after(0.3):
            await manager.throttle(ThrottleAction(task, 7, worker, 100))
        assert driver.percents.count(100) >= 2, "sent again, as the first order may come late"

    run(main)


class FailingOnce:
    """A quorum check that raises an unexpected error at the first wait."""

    def __init__(self):
        self.waits = 0

    async def wait(self):
        """Raise an unexpected error at the first call."""
        self.waits += 1
        if self.waits == 1:
            raise ArithmeticError("unexpected")


def test_a_stop_that_ends_by_an_error_is_sent_again(monkeypatch):
    """Guards against a task that waits for ever, with its room held, for the stop of its run."""
    monkeypatch.setattr("siskintally.worker_manager.SUSPENSION_S", 0.05)
    leader, driver = LeaderOfUnanswered(), ScriptedStops(Refusal.NONE)
    manager, task = make_manager(leader, driver, TaskState.STOPPING)
    leader.quorum_check = FailingOnce()

    async def main():
        with move_on_after(2.0) as scope:
            await manager.stop(StopAction(task.id, 7, task.worker))
        assert not scope.cancelled_caught

    run(main)
    assert leader.told == [("error", "ArithmeticError")]
    assert leader.stopped == [(task.id, 7)]
