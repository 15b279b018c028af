"""Announcements that change what a leader believes of a life that goes on."""

from functools import partial

from anyio import Event, create_task_group, run, sleep
from pytest import mark

from siskintally.clock import now as steady
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import ControlCommand, WorkerSeen
from siskintally.control_service import ControlService
from siskintally.control_state import ControlState
from siskintally.counters import Counters
from siskintally.driver import IncarnationGoneError, WorkerReport
from siskintally.flow_scheduler import FlowScheduler
from tests.flow_harness import QUEUE, make_flow, make_step, make_worker
from tests.test_control_leader import TIMING, RecordingDriver

SETTLE_S = 0.2
CPU_MILLI = 4000
TRUE_CLOCK_MS = 1000


class ApplyingGroup:
    """A group that applies commands; ``gate_by_kind``: events that hold back some of them."""

    term = 3
    is_transferring = False

    def __init__(self, state):
        self.state = state
        self.gate_by_kind = {}

    async def propose(self, command):
        """Commit a command."""
        kind = ControlCommand.FromString(command).WhichOneof("body")
        if kind in self.gate_by_kind:
            await self.gate_by_kind[kind].wait()
        self.state.apply(index=1, command=command)

    async def confirm_leadership(self):
        """Return as a group whose quorum confirms the leader."""


class FirstLifeDriver(RecordingDriver):
    """A worker that runs on in its first life and answers for no other one."""

    async def poll_status(self, worker, **options):
        """Report what runs."""
        if worker.born_ms != 1:
            raise IncarnationGoneError("the first life goes on")
        report = await super().poll_status(worker, **options)
        return WorkerReport(clock_ms=TRUE_CLOCK_MS, running=report.running)


def announce(*, seq, **fields):
    """Return an announcement of the worker."""
    record = make_worker("w", cpu_milli=CPU_MILLI)
    record.seq = seq
    for name, value in fields.items():
        setattr(record, name, value)
    return WorkerSeen(worker=record)


def check(body):
    """Run a check against a leader with a worker for four tasks, four of which run there."""

    async def main():
        state = ControlState()
        group, driver = ApplyingGroup(state), FirstLifeDriver()
        leader = ControlLeader(
            group=group,
            state=state,
            driver=driver,
            advice_clients=lambda: (),
            timing=TIMING,
            counters=Counters(),
        )
        service = ControlService(leader=leader, counters=Counters())
        async with create_task_group() as tasks:
            tasks.start_soon(leader.run)
            await sleep(0.01)
            await service.handle(announce(seq=1))
            flow = make_flow("f", make_step(8))
            state.apply(index=1, command=ControlCommand(accept=flow).SerializeToString())
            leader.scheduler.accept(flow, QUEUE, steady())
            leader.request_pass()
            await sleep(2 * SETTLE_S)
            assert len(driver.starts) == 4
            await body(leader, service, group, driver, tasks)
            tasks.cancel_scope.cancel()

    run(main)


@mark.parametrize("seq", [2, 1000])
def test_the_clock_in_an_announcement_does_not_lengthen_leases(seq):
    """Guards against a lease that goes on at the worker after the leader counts it as over.

    An announcement of another writer names a clock that is ahead of the worker's. The worker then
    keeps runs, while the leader starts their tasks elsewhere after the usual time.
    """

    async def body(leader, service, group, driver, tasks):
        lease = leader.manager_of("w").lease
        began_at = steady()
        await service.handle(announce(seq=seq, clock_ms=TRUE_CLOCK_MS + 3_600_000))
        await sleep(SETTLE_S)
        now = steady()
        until_ms = lease.grant(now)
        # The fixed clock of the stand-in shows at least this when the leader's wait is over.
        clock_then_ms = TRUE_CLOCK_MS + (lease.expired_by - began_at) * 1000
        assert until_ms <= clock_then_ms

    check(body)


def test_another_writer_cannot_raise_the_capacity_of_a_life():
    """Guards against an overfull worker after one announcement that is not its own.

    Its sequence number makes the worker's own announcements look outdated for hours.
    """

    async def body(leader, service, group, driver, tasks):
        await service.handle(announce(seq=1_000_000, cpu_milli=2 * CPU_MILLI))
        await service.handle(announce(seq=2))
        leader.request_pass()
        await sleep(SETTLE_S)
        assert len(driver.starts) == 4

    check(body)


def test_a_worker_that_joins_again_while_its_loss_is_committed_stays_recorded():
    """Guards against a next leader that starts tasks which run on a worker it has no record of.

    The loss is committed after the worker has joined again and got tasks.
    """

    async def body(leader, service, group, driver, tasks):
        group.gate_by_kind["leave"] = gate = Event()
        driver.running.clear()
        leader.handle_worker_lost(leader.scheduler.worker_by_id["w"], "by the test")
        await sleep(SETTLE_S)
        await service.handle(announce(seq=2))
        await sleep(2 * SETTLE_S)
        assert len(driver.starts) == 8, "four tasks run again there"
        gate.set()
        await sleep(SETTLE_S)
        later = FlowScheduler(term=group.term + 1)
        later.restore(leader.state, steady())
        [step] = later.flow_by_id["f"].steps()
        assert len(step.waiting) == 4, "the next leader knows where four tasks run"

    check(body)


def test_a_lapsed_worker_that_returns_while_another_life_is_committed_keeps_its_tasks():
    """Guards against two runs of a task: the life is not asked, as its lease was over before."""

    async def body(leader, service, group, driver, tasks):
        worker = leader.scheduler.worker_by_id["w"]
        driver.running.clear()
        leader.handle_lease_expired(worker)
        group.gate_by_kind["join"] = gate = Event()
        tasks.start_soon(partial(service.handle, announce(seq=2, born_ms=2)))
        await sleep(0.01)
        await service.handle(announce(seq=2))
        await sleep(2 * SETTLE_S)
        held = dict(worker.task_by_id)
        assert len(held) == 4, "it is in use again"
        gate.set()
        await sleep(SETTLE_S)
        assert worker.task_by_id == held

    check(body)
