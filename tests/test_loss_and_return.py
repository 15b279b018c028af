"""A worker that announces itself while its loss is being committed: state and scheduler agree."""

from contextlib import suppress
from functools import partial

from anyio import Event, Lock, create_task_group, fail_after, run, sleep
from pytest import mark, raises

from siskintally.clock import now as steady
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import (
    DocumentPut,
    FlowSubmit,
    QueueDocument,
    WorkerSeen,
    WorkerService,
)
from siskintally.control_service import ControlService
from siskintally.control_state import ControlState
from siskintally.counters import Counters
from siskintally.driver import WorkerReport
from siskintally.errors import NotLeaderError, SiskintallyError
from siskintally.flow_scheduler import FlowScheduler
from tests.flow_harness import QUEUE, SERVICE, make_flow, make_step, make_worker
from tests.processes import wait_until
from tests.test_control_leader import TIMING, GatedGroup, RecordingDriver

# Time in which everything that can happen without a commit has happened.
SETTLE_S = 0.1
ANSWER_S = 5.0


class OrderedGroup(GatedGroup):
    """A group that applies commands in the order of the calls, while the test allows commits."""

    def __init__(self, state):
        super().__init__()
        self.may_commit.set()
        self._state = state
        self._log_order = Lock()

    def hold(self):
        """Let commits wait until ``may_commit`` is set."""
        self.may_commit = Event()

    async def propose(self, command):
        """Commit a command after those before it."""
        async with self._log_order:
            await super().propose(command)
            self._state.apply(index=len(self.commands) + 1, command=command)


class RaceCell:
    """The leader of a group, its service, and the worker "w" that it knows."""

    def __init__(self):
        self.state = ControlState()
        self.group = OrderedGroup(self.state)
        self.driver = RecordingDriver()
        counters = Counters()
        self.leader = ControlLeader(
            group=self.group,
            state=self.state,
            driver=self.driver,
            advice_clients=lambda: (),
            timing=TIMING,
            counters=counters,
        )
        self.service = ControlService(leader=self.leader, counters=counters)
        self.seq = 0
        self.tasks = None

    async def announce(self, **fields):
        """Let the worker announce itself."""
        self.seq += 1
        record = make_worker("w", born_ms=fields.pop("born_ms", 1))
        record.seq = self.seq
        for name, value in fields.items():
            setattr(record, name, value)
        with fail_after(ANSWER_S):
            await self.service.handle(WorkerSeen(worker=record))

    async def try_to_announce(self, **fields):
        """Let the worker announce itself; an error makes the sender try again later."""
        with suppress(SiskintallyError):
            await self.announce(**fields)

    def lose(self):
        """Let the leader give up the worker."""
        worker = self.leader.scheduler.worker_by_id["w"]
        self.leader.handle_worker_lost(worker, "given up by the test")

    async def settle(self):
        """Let all commits go through."""
        await sleep(SETTLE_S)
        self.group.may_commit.set()
        await sleep(SETTLE_S)

    def known(self):
        """Return the start time of the worker in the state and in the scheduler, 0 if unknown."""
        stored = self.state.worker_by_id.get("w")
        scheduled = self.leader.scheduler.worker_by_id.get("w")
        return stored.born_ms if stored else 0, scheduled.record.born_ms if scheduled else 0


def run_race(check):
    """Run a check with a leader that knows one worker."""

    async def main():
        cell = RaceCell()
        async with create_task_group() as tasks:
            cell.tasks = tasks
            tasks.start_soon(cell.leader.run)
            await sleep(SETTLE_S)
            document = QueueDocument(
                version=1, queues=[QUEUE], services=[WorkerService(name=SERVICE)], original=b"{}"
            )
            await cell.service.handle(DocumentPut(document=document))
            await cell.announce()
            await check(cell)
            tasks.cancel_scope.cancel()

    run(main)


@mark.parametrize("losses", [1, 3])
@mark.parametrize("order", ["loss first", "announcement first"])
@mark.parametrize("leaving", [False, True])
def test_a_worker_that_returns_before_its_loss_is_committed_stays_stored(losses, order, leaving):
    """Guards against a worker that gets tasks although the state lacks it."""

    async def check(cell):
        await cell.announce(leaving=leaving)
        for _ in range(losses):
            cell.group.hold()
            if order == "announcement first":
                cell.tasks.start_soon(partial(cell.announce, leaving=leaving))
            cell.lose()
            if order == "loss first":
                await sleep(SETTLE_S)
                cell.tasks.start_soon(partial(cell.announce, leaving=leaving))
            await cell.settle()
            assert cell.known() == (1, 1)
            assert cell.state.worker_by_id["w"].leaving is leaving

    run_race(check)


def test_the_next_leader_starts_no_task_that_runs_on_a_returned_worker():
    """Guards against tasks run twice because the worker on which they run is not stored."""

    async def check(cell):
        cell.group.hold()
        cell.lose()
        cell.tasks.start_soon(cell.announce)
        await cell.settle()
        await cell.service.handle(FlowSubmit(flow=make_flow("f", make_step(2))))
        await wait_until(lambda: len(cell.driver.starts) == 2, "started")
        successor = FlowScheduler(term=4)
        successor.restore(cell.state, steady())
        successor.join(make_worker("another"))
        another = successor.worker_by_id["another"]
        successor.apply_report(another, WorkerReport(clock_ms=1000), steady(), steady())
        assert list(successor.place(steady(), 0)) == []
        assert set(successor.worker_by_id) == {"w", "another"}
        assert [task.state.name for task in tasks_of(successor, "f")] == ["UNKNOWN"] * 2

    run_race(check)


def tasks_of(scheduler, flow_id):
    """Return the tasks of a flow."""
    return [task for step in scheduler.flow_by_id[flow_id].steps() for task in step.tasks]


def test_a_worker_lost_while_a_change_of_it_is_committed_is_not_half_known():
    """Guards against a worker that joins the scheduler after its loss has left the state."""

    async def check(cell):
        cell.group.hold()
        cell.tasks.start_soon(partial(cell.try_to_announce, leaving=True))
        await sleep(SETTLE_S)
        cell.lose()
        await cell.settle()
        assert cell.known() == (0, 0)
        await cell.announce(leaving=True)
        assert cell.known() == (1, 1)

    run_race(check)


def test_the_next_life_joins_while_the_loss_of_the_former_one_is_committed():
    """Guards against a new life that is removed by the loss of the former one."""

    async def check(cell):
        cell.group.hold()
        cell.lose()
        cell.tasks.start_soon(partial(cell.announce, born_ms=2))
        await cell.settle()
        assert cell.known() == (2, 2)

    run_race(check)


def test_an_announcement_gets_an_error_if_the_loss_cannot_be_committed():
    """Guards against a call that waits for ever for a leader whose term has ended."""

    async def check(cell):
        cell.group.hold()
        cell.lose()
        await sleep(SETTLE_S)
        cell.group.error = NotLeaderError("another store leads")
        cell.tasks.start_soon(cell.settle)
        with raises(SiskintallyError):
            await cell.announce()
        with raises(SiskintallyError):
            await cell.announce()

    run_race(check)
