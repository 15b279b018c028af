"""The manager of one worker: failed status polls, and stop orders until they are confirmed."""

from anyio import create_task_group, move_on_after, run, sleep_forever
from pytest import fixture, mark

from siskintally.actions import StartAction, StopAction
from siskintally.control_pb2 import PoolWorker
from siskintally.driver import BusyError, Order, OrderReply, Refusal, WorkerDriver, WorkerReport
from siskintally.errors import ConnectionLostError, OutcomeUnknownError
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow import FlowRun, TaskState
from siskintally.flow_timing import FlowTiming
from siskintally.long_poll import LongPollWait
from siskintally.stub_pool import StubPool
from siskintally.worker_manager import WorkerManager
from tests.flow_harness import make_flow

TIMING = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
REPORT = WorkerReport(clock_ms=1000)
# A report whose handling ends with an unexpected error.
ODD_REPORT = WorkerReport(clock_ms=1000)


class ScriptedWorker(WorkerDriver):
    """Answers each status poll with the next of some reports or errors."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.lease_by_poll = []
        self.wait_by_poll = []

    async def poll_status(
        self, worker, *, fence, lease_until_ms, committed_end_number, wait_ms, timeout
    ):
        """Answer a status poll."""
        self.lease_by_poll.append(lease_until_ms)
        self.wait_by_poll.append(wait_ms)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def start(self, worker, order, *, timeout):
        """Not used here."""

    async def stop(self, worker, order, *, timeout):
        """Not used here."""

    async def throttle(self, worker, order, *, timeout):
        """Not used here."""

    async def disconnect(self, worker):
        """Not used here."""


class OpenQuorumCheck:
    """Confirms the leadership at once."""

    async def wait(self):
        """Return at once."""

    def is_confirmed(self, now):
        """Return that a quorum follows the leader."""
        return True


class LostQuorumCheck:
    """Confirmations of a leader that no quorum follows any more."""

    async def wait(self):
        """Wait for a confirmation that never comes."""
        await sleep_forever()

    def is_confirmed(self, now):
        """Return that the last confirmation has run out."""
        return False


class LeaderOfOneWorker:
    """Records the status of the worker at each report; ends the manager after the last."""

    term = 3

    def __init__(self, driver, quorum_check):
        self.driver = driver
        self.quorum_check = quorum_check
        self.statuses = []
        self.poll_wait = LongPollWait(normal_wait_s=1.2, reduced_wait_s=0.3, reduced_period_s=3.0)

    async def handle_report(self, manager, report, asked_at):
        """Record the status of the worker; end the manager after the last report."""
        if report is ODD_REPORT:
            raise ArithmeticError("unexpected")
        self.statuses.append(manager.worker.status)
        manager.worker.status = WorkerStatus.READY if self.driver.outcomes else WorkerStatus.LOST

    def handle_suspect(self, worker):
        """Not used here."""

    def handle_lease_expired(self, worker):
        """End the manager, because the lease has expired."""
        worker.status = WorkerStatus.LOST


@fixture
def run_manager():
    """Return a function that runs a manager on outcomes of polls and returns (leader, driver)."""

    def run_outcomes(*outcomes, quorum_check=None):
        driver = ScriptedWorker(*outcomes)
        leader = LeaderOfOneWorker(driver, quorum_check or OpenQuorumCheck())
        worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=1000, memory_mb=10))
        worker.task_by_id = {"some task": None}
        manager = WorkerManager(worker=worker, leader=leader, driver=driver, timing=TIMING)

        async def main():
            async with create_task_group() as tasks:
                tasks.start_soon(manager.run)

        run(main)
        return leader, driver

    return run_outcomes


def test_one_lost_connection_does_not_make_a_worker_suspect(run_manager):
    """Guards against a healthy worker that gets no new tasks because of one reset connection."""
    leader, driver = run_manager(REPORT, ConnectionLostError("reset"), REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.READY]
    assert driver.lease_by_poll[1] is not None
    assert driver.lease_by_poll[2] is None, "a poll after a failed one must not extend the lease"


def test_connections_lost_one_after_the_other_make_a_worker_suspect(run_manager):
    """Guards against further starts to a worker that resets every connection."""
    lost = ConnectionLostError("reset")
    leader, _ = run_manager(REPORT, lost, lost, REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]


def test_a_worker_that_does_not_answer_is_suspect_at_once(run_manager):
    """Guards against starts that wait for a worker whose status poll timed out."""
    leader, _ = run_manager(REPORT, OutcomeUnknownError("timeout"), REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]


def test_a_refused_poll_reports_no_runs(run_manager):
    """Guards against tasks that start elsewhere because a refusal counts as an empty report."""
    refused = WorkerReport(clock_ms=None, refusal=Refusal.INVALID)
    leader, _ = run_manager(REPORT, refused, REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]


def test_an_error_without_a_code_makes_one_worker_suspect_and_ends_nothing(run_manager):
    """Guards against one worker whose calls end the leader's process, and each next leader's."""
    leader, _ = run_manager(REPORT, OverflowError("port"), RecursionError("depth"), REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]


def test_a_report_that_cannot_be_handled_makes_one_worker_suspect_and_ends_nothing(run_manager):
    """Guards against a report that ends each leader, and a lease that it keeps up for ever."""
    leader, driver = run_manager(REPORT, ODD_REPORT, REPORT)
    assert leader.statuses == [WorkerStatus.UNSEEN, WorkerStatus.SUSPECT]
    assert driver.lease_by_poll[2] is None


def test_status_polls_wait_less_after_a_call_without_an_answer(run_manager):
    """Guards against ends that the leader learns of seconds late after each lost answer."""
    _, driver = run_manager(REPORT, REPORT, OutcomeUnknownError("timeout"), REPORT, REPORT)
    assert driver.wait_by_poll == [0, 1200, 1200, 0, 300]


def test_no_lease_is_renewed_without_a_quorum(run_manager):
    """Guards against two runs of a task: the next leader does not wait for such a grant."""
    _, driver = run_manager(REPORT, REPORT, REPORT, quorum_check=LostQuorumCheck())
    assert driver.lease_by_poll == [None, None, None]


STOP = StopAction("f.0.0.0", 7, None)
STOP_TIMEOUT_S = 1.5


class ScriptedStops(ScriptedWorker):
    """Answers each stop order with the next of some replies or errors, the last one for ever."""

    def __init__(self, *replies):
        super().__init__()
        self.replies = list(replies)
        self.starts = []
        self.stops = []

    async def start(self, worker, order, *, timeout):
        """Record a start order; give no answer."""
        self.starts.append((order.task_id, order.run))
        raise OutcomeUnknownError("timeout")

    async def stop(self, worker, order, *, timeout):
        """Answer a stop order."""
        self.stops.append((order.task_id, order.run))
        reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
        if isinstance(reply, Exception):
            raise reply
        return OrderReply(refusal=reply)


class LeaderOfStops:
    """Records the confirmed stops and the end of the term."""

    term = 3

    def __init__(self):
        self.quorum_check = OpenQuorumCheck()
        self.poll_wait = LongPollWait(normal_wait_s=1.2, reduced_wait_s=0.3, reduced_period_s=3.0)
        self.stopped = []
        self.end_reasons = []

    def handle_stopped(self, action):
        """Record a confirmed stop."""
        self.stopped.append((action.task_id, action.run))

    def handle_stop_unconfirmed(self, action, reason):
        """Not recorded here."""

    def end_term(self, reason):
        """Record the end of the term."""
        self.end_reasons.append(reason)


def stop_run(*replies, is_listed=True):
    """Stop a run on a worker with the given replies; return (leader, driver)."""
    driver, leader = ScriptedStops(*replies), LeaderOfStops()
    worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=1000, memory_mb=10))
    worker.status = WorkerStatus.READY
    if is_listed:
        task = FlowRun(flow=make_flow("f"), queue=None, arrived_at=0.0).step_by_key[0, 0].tasks[0]
        task.run, task.worker = STOP.run, worker
        worker.reserve(task)
    manager = WorkerManager(worker=worker, leader=leader, driver=driver, timing=TIMING)

    async def main():
        with move_on_after(STOP_TIMEOUT_S) as scope:
            await manager.stop(STOP._replace(worker=worker))
        assert not scope.cancelled_caught, "the stop order is repeated for ever"

    run(main)
    return leader, driver


@mark.parametrize("reply", [Refusal.INVALID, Refusal.ROOM, Refusal.LATE, Refusal.TICKET])
def test_a_stop_whose_refusal_says_nothing_about_the_run_is_repeated(reply):
    """Guards against a run that goes on because a reply such as 400 or 404 counted as its stop."""
    leader, driver = stop_run(reply, reply, Refusal.NONE)
    assert len(driver.stops) == 3
    assert leader.stopped == [("f.0.0.0", 7)]


def test_a_stop_is_repeated_while_the_worker_is_busy_or_does_not_answer():
    """Guards against a run that goes on because its worker replied 503 or not at all."""
    leader, driver = stop_run(BusyError("503"), OutcomeUnknownError("timeout"), Refusal.NONE)
    assert len(driver.stops) == 3
    assert leader.stopped == [("f.0.0.0", 7)]


def test_a_stop_refused_as_old_is_confirmed():
    """Guards against a stop that is repeated although its run has ended on the worker."""
    leader, driver = stop_run(Refusal.OLD)
    assert len(driver.stops) == 1
    assert leader.stopped == [("f.0.0.0", 7)]


def test_a_refused_stop_of_a_run_that_is_over_is_not_repeated():
    """Guards against stop orders without end to a worker that refuses those of unknown runs."""
    leader, driver = stop_run(Refusal.INVALID, is_listed=False)
    assert len(driver.stops) == 1
    assert leader.stopped == []


def test_a_stop_refused_by_a_higher_fence_ends_the_term():
    """Guards against a former leader that goes on sending orders."""
    leader, _ = stop_run(Refusal.FENCED)
    assert leader.stopped == []
    assert len(leader.end_reasons) == 1


class ClosingQuorumCheck:
    """Confirms the leadership only after the flow of a task was cancelled meanwhile."""

    def __init__(self, task):
        self.task = task

    async def wait(self):
        """Return once the task is stopping."""
        self.task.state = TaskState.STOPPING

    def is_confirmed(self, now):
        """Return that a quorum follows the leader."""
        return True


class PausedQuorumCheck(OpenQuorumCheck):
    """Confirms the leadership, but the process is paused until the confirmation has run out.

    ``pauses``: number of pauses so far; a start is given up after the third.
    """

    def __init__(self, task):
        self.task = task
        self.pauses = 0

    def is_confirmed(self, now):
        """Return that the confirmation has run out during the pause."""
        self.pauses += 1
        if self.pauses == 3:
            self.task.state = TaskState.STOPPING
        return False


def start_once(make_quorum_check):
    """Run a start order; return the (quorum check, driver)."""
    driver, leader = ScriptedStops(Refusal.NONE), LeaderOfStops()
    worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=1000, memory_mb=10))
    worker.status = WorkerStatus.READY
    task = FlowRun(flow=make_flow("f"), queue=None, arrived_at=0.0).step_by_key[0, 0].tasks[0]
    task.run, task.worker, task.state = 7, worker, TaskState.STARTING
    leader.quorum_check = make_quorum_check(task)
    manager = WorkerManager(worker=worker, leader=leader, driver=driver, timing=TIMING)
    manager.lease.sample_clock(clock_ms=1000, received_at=0.0)

    async def main():
        with move_on_after(STOP_TIMEOUT_S):
            await manager.start(StartAction(task=task, worker=worker, run=7, ticket=""))

    run(main)
    return leader.quorum_check, driver


def test_a_start_is_not_sent_once_its_task_is_stopping():
    """Guards against a start sent after the cancellation of its flow.

    The order waits until a quorum has confirmed the leader; the cancellation comes meanwhile.
    """
    _, driver = start_once(ClosingQuorumCheck)
    assert driver.starts == []


def test_a_start_is_not_sent_after_a_pause_that_outlasts_the_confirmation():
    """Guards against a former leader that goes on sending starts after its process was paused."""
    quorum_check, driver = start_once(PausedQuorumCheck)
    assert quorum_check.pauses == 3
    assert driver.starts == []


@mark.parametrize("is_start_first", [True, False])
def test_a_start_without_an_answer_leaves_no_run_after_the_stop(is_start_first):
    """Guards against a run that goes on because its start arrived about the time of its stop.

    A start carried out before the stop is ended by it; one that arrives later is refused as old.
    """
    worker = StubPool(clock=lambda: 1.0).add("w", cpu_milli=1000, memory_mb=10)
    start = Order(task_id="f.0.0.0", run=7, fence=3, lease_until_ms=5000)
    stop = Order(task_id="f.0.0.0", run=7, fence=3)
    if is_start_first:
        assert worker.start(start).refusal == Refusal.NONE
    assert worker.stop(stop).refusal == Refusal.NONE
    assert worker.start(start).refusal == Refusal.OLD
    assert worker.running_by_task == {}
