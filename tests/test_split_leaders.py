"""A former leader that still reaches workers beside its successor, which does not reach all."""

from anyio import create_task_group, fail_after, run, sleep, sleep_forever

from siskintally.clock import now as steady
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import QueueDocument, WorkerService
from siskintally.control_state import ControlState
from siskintally.counters import Counters
from siskintally.errors import OutcomeUnknownError
from siskintally.flow_timing import FlowTiming
from siskintally.stub_pool import StubPool
from siskintally.worker_lease import MIN_CLOCK_RATE
from tests.flow_harness import QUEUE, SERVICE, FlowHarness, make_flow, make_step

TIMING = FlowTiming.derive(lease_max_s=6.0, thaw_s=0.3, contact_s=3.0)
TASK = "f.0.0.0"
# Long enough for each leader to poll idle workers with its longest wait.
SETTLE_S = 2 * TIMING.max_wait_s
RESTART_TIMEOUT_S = 30.0


class CommitGroup:
    """A group that commits at once; without a quorum, neither commits nor confirmations end."""

    is_transferring = False

    def __init__(self, *, term, state):
        self.term = term
        self.state = state
        self.has_quorum = True
        self.index = 100

    async def propose(self, command):
        """Commit a command."""
        await self.confirm_leadership()
        self.index += 1
        self.state.apply(index=self.index, command=command)

    async def confirm_leadership(self):
        """Return while a quorum follows."""
        if not self.has_quorum:
            await sleep_forever()


class PartitionedPool(StubPool):
    """Stub workers as one leader reaches them.

    ``unreachable_ids``: workers whose calls from this leader get no reply. ``double_runs``: starts
    of a task that was running on another worker at that moment.
    """

    __slots__ = ("double_runs", "unreachable_ids")

    def __init__(self, *, worker_by_id=None):
        super().__init__(clock=lambda: steady() * MIN_CLOCK_RATE, run_s=lambda task_id: 3600.0)
        self.worker_by_id = worker_by_id if worker_by_id is not None else {}
        self.unreachable_ids = set()
        self.double_runs = []

    async def _find_reachable(self, worker, timeout):
        if worker.id in self.unreachable_ids:
            await sleep(timeout)
            raise OutcomeUnknownError(f"{worker.id}: no reply")
        return await super()._find_reachable(worker, timeout)

    async def start(self, worker, order, *, timeout):
        """Start a run; record whether the task was running elsewhere."""
        reply = await super().start(worker, order, timeout=timeout)
        for stub in self.worker_by_id.values():
            stub.end_due_runs()
            if stub.record.id != worker.id and order.task_id in stub.running_by_task:
                self.double_runs.append((order.task_id, stub.record.id, worker.id))
        return reply

    def workers_of_task(self):
        """Return the ids of the workers that run the task now."""
        return [name for name, stub in self.worker_by_id.items() if TASK in stub.running_by_task]


def make_leader(*, term, state, driver):
    """Return a (leader, group) of a term."""
    group = CommitGroup(term=term, state=state)
    leader = ControlLeader(
        group=group,
        state=state,
        driver=driver,
        advice_clients=lambda: (),
        timing=TIMING,
        counters=Counters(),
    )
    return leader, group


def make_state(records):
    """Return the state of a cell with workers and an open flow of one task."""
    harness = FlowHarness()
    document = QueueDocument(version=2, queues=[QUEUE], services=[WorkerService(name=SERVICE)])
    harness.commit(document=document)
    for record in records:
        harness.commit(join=record)
    harness.commit(accept=make_flow("f", make_step(1)))
    return harness.state


async def wait_for_run(pool, *, on=None):
    """Wait until the task runs, on any worker or on another one than ``on``; return the worker."""
    with fail_after(RESTART_TIMEOUT_S):
        while True:
            names = [name for name in pool.workers_of_task() if name != on]
            if names:
                return names[0]
            await sleep(0.02)


def test_a_task_is_restarted_only_when_the_grants_of_a_cut_off_leader_have_ended():
    """Guards against two runs of a task around a change of leaders.

    The former leader has lost its quorum but still polls the worker of the task, with the longest
    wait; its successor cannot reach that worker.
    """

    async def main():
        old_pool = PartitionedPool()
        for name in ("w1", "w2"):
            old_pool.add(name, cpu_milli=4000, memory_mb=1000, service=SERVICE)
        records = [stub.record for stub in old_pool.worker_by_id.values()]
        old_leader, old_group = make_leader(term=2, state=make_state(records), driver=old_pool)
        async with create_task_group() as tasks:
            tasks.start_soon(old_leader.run)
            first = await wait_for_run(old_pool)
            await sleep(SETTLE_S)
            state = ControlState()
            state.restore(old_leader.state.snapshot())
            old_group.has_quorum = False
            await sleep(TIMING.election_min_s)
            new_pool = PartitionedPool(worker_by_id=old_pool.worker_by_id)
            new_pool.unreachable_ids = {first}
            new_leader, _ = make_leader(term=3, state=state, driver=new_pool)
            tasks.start_soon(new_leader.run)
            await wait_for_run(new_pool, on=first)
            assert new_pool.double_runs == []
            tasks.cancel_scope.cancel()

    run(main)
