"""The manager of one worker: how a failed status poll changes the status of the worker."""

from anyio import create_task_group, run
from pytest import fixture

from siskintally.control_pb2 import PoolWorker
from siskintally.driver import Refusal, WorkerDriver, WorkerReport
from siskintally.errors import ConnectionLostError, OutcomeUnknownError
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow_timing import FlowTiming
from siskintally.long_poll import LongPollWait
from siskintally.worker_manager import WorkerManager

TIMING = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
REPORT = WorkerReport(clock_ms=1000)


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


class LeaderOfOneWorker:
    """Records the status of the worker at each report; ends the manager after the last."""

    term = 3

    def __init__(self, driver):
        self.driver = driver
        self.statuses = []
        self.poll_wait = LongPollWait(normal_wait_s=1.2, reduced_wait_s=0.3, reduced_period_s=3.0)

    async def handle_report(self, manager, report, asked_at):
        """Record the status of the worker; end the manager after the last report."""
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

    def run_outcomes(*outcomes):
        driver = ScriptedWorker(*outcomes)
        leader = LeaderOfOneWorker(driver)
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


def test_status_polls_wait_less_after_a_call_without_an_answer(run_manager):
    """Guards against ends that the leader learns of seconds late after each lost answer."""
    _, driver = run_manager(REPORT, REPORT, OutcomeUnknownError("timeout"), REPORT, REPORT)
    assert driver.wait_by_poll == [0, 1200, 1200, 0, 300]
