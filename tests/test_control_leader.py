"""The leader of the control group: what must be committed before an order is sent."""

from anyio import Event, create_task_group, run, sleep

from siskintally.clock import now as steady
from siskintally.control_group import EXITED_LEADER_TIMEOUT_FACTOR
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import ControlCommand
from siskintally.control_state import ControlState
from siskintally.counters import Counters
from siskintally.driver import OrderReply, RunStatus, WorkerDriver, WorkerReport
from siskintally.errors import NotLeaderError
from siskintally.flow_timing import FlowTiming
from siskintally.quorum_check import CONFIRMED_LEADER_SHARE
from tests.flow_harness import QUEUE, make_flow, make_step, make_worker

TIMING = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
SETTLE_S = 0.3


class GatedGroup:
    """A group whose commits wait until the test allows them, or fail with ``error``."""

    term = 3
    is_transferring = False

    def __init__(self):
        self.commands = []
        self.may_commit = Event()
        self.error = None

    async def propose(self, command):
        """Commit a command."""
        self.commands.append(ControlCommand.FromString(command))
        await self.may_commit.wait()
        if self.error is not None:
            raise self.error

    async def confirm_leadership(self):
        """Return as a group whose quorum confirms the leader."""


class RecordingDriver(WorkerDriver):
    """Workers that accept every order and never end a run."""

    def __init__(self):
        self.starts = []
        self.running = []

    async def start(self, worker, order, *, timeout):
        """Accept a start order."""
        self.starts.append((order.task_id, worker.id))
        row = RunStatus(task_id=order.task_id, run=order.run, checkpoint="", percent=1, load=0)
        self.running.append(row)
        return OrderReply(clock_ms=1000)

    async def poll_status(
        self, worker, *, fence, lease_until_ms, committed_end_number, wait_ms, timeout
    ):
        """Report what runs."""
        await sleep(0.05)
        return WorkerReport(clock_ms=1000, running=list(self.running))

    async def stop(self, worker, order, *, timeout):
        """Accept a stop order."""
        return OrderReply(clock_ms=1000)

    async def throttle(self, worker, order, *, timeout):
        """Accept a throttle order."""
        return OrderReply(clock_ms=1000)

    async def disconnect(self, worker):
        """Nothing to close."""


def run_check(check):
    """Run a check against a leader with one worker and one flow of two tasks."""

    async def main():
        group, driver = GatedGroup(), RecordingDriver()
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
            await sleep(0.01)
            leader.handle_join(make_worker("w"))
            leader.scheduler.accept(make_flow("f", make_step(2)), QUEUE, 0.0)
            leader.request_pass()
            await sleep(SETTLE_S)
            await check(leader, group, driver)
            tasks.cancel_scope.cancel()

    run(main)


def test_a_leader_stops_acting_before_the_next_one_may_be_elected():
    """Guards against two leaders that act at once after a change of either constant."""
    assert CONFIRMED_LEADER_SHARE < EXITED_LEADER_TIMEOUT_FACTOR <= 1.0


def test_a_leader_does_not_act_while_it_transfers_leadership():
    """Guards against orders of two leaders: the target is elected without an election timeout."""

    async def check(leader, group, driver):
        assert leader.quorum_check.is_confirmed(steady())
        group.is_transferring = True
        assert not leader.quorum_check.is_confirmed(steady())
        group.may_commit.set()
        await sleep(SETTLE_S)
        assert driver.starts == []
        group.is_transferring = False
        await sleep(SETTLE_S)
        assert len(driver.starts) == 2

    run_check(check)


def test_a_start_is_sent_only_after_its_worker_is_committed():
    """Guards against a run that the next leader does not know of.

    It happens if a start is sent before the commit that records its worker.
    """

    async def check(leader, group, driver):
        assert driver.starts == []
        [command] = group.commands
        assert [start.worker for start in command.starts.starts] == ["w", "w"]
        group.may_commit.set()
        await sleep(SETTLE_S)
        assert sorted(driver.starts) == [("f.0.0.0", "w"), ("f.0.0.1", "w")]

    run_check(check)


def test_a_start_whose_record_is_not_committed_is_never_sent():
    """Guards against orders of a leader whose commit failed because another store leads."""

    async def check(leader, group, driver):
        group.error = NotLeaderError("another store leads")
        group.may_commit.set()
        await sleep(SETTLE_S)
        assert driver.starts == []
        assert leader.is_over

    run_check(check)
