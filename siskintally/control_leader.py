"""The leader of a control group at work: places tasks, keeps workers, commits ends.

>>> from siskintally.control_leader import GATHER_S, IDLE_PASS_S
>>> GATHER_S < IDLE_PASS_S
True
"""

from time import time

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.advice_client_pool import AdviceClientPool
from siskintally.clock import now as steady
from siskintally.control_pb2 import ControlCommand, EndBatch, FlowIds, TaskEnd, WorkerKey
from siskintally.control_state import Outcome
from siskintally.errors import NotLeaderError, OutcomeUnknownError, SiskintallyError
from siskintally.fleet import WorkerStatus
from siskintally.flow_dispatcher import FlowDispatcher
from siskintally.flow_retention import FlowRetention
from siskintally.flow_scheduler import FlowScheduler
from siskintally.log import get_logger
from siskintally.long_poll import LongPollWait
from siskintally.quorum_check import QuorumCheck
from siskintally.worker_lease import longest_s
from siskintally.worker_manager import WorkerManager

# Events within this time share one pass over the waiting tasks.
GATHER_S = 0.004
IDLE_PASS_S = 0.1
RETIRE_S = 10.0
# Orders get no answer for seconds when something is wrong with workers or links.
TROUBLED_WAIT_S = 0.3
TROUBLE_MEMORY_S = 3.0

log = get_logger("control-leader")


class ControlLeader:
    """What a leader does in one term.

    :param group: :class:`~siskintally.group.Group` whose replica leads.
    :param state: :class:`~siskintally.control_state.ControlState` of the group.
    :param driver: :class:`~siskintally.driver.WorkerDriver`.
    :param advice_clients: function that returns
        :class:`~siskintally.advice_client_pool.AdviceClient` objects.
    :param timing: :class:`~siskintally.flow_timing.FlowTiming`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = (
        "_counters",
        "_driver",
        "_group",
        "_manager_by_worker",
        "_orders",
        "_scope",
        "_tasks",
        "_timing",
        "_wake",
        "is_over",
        "poll_wait",
        "quorum_check",
        "scheduler",
        "state",
        "term",
    )

    def __init__(self, *, group, state, driver, advice_clients, timing, counters):
        self.state = state
        self.term = group.term
        self.scheduler = FlowScheduler(term=group.term)
        self._group = group
        self._driver = driver
        self._orders = FlowDispatcher(
            leader=self, advice_clients=AdviceClientPool(clients=advice_clients), counters=counters
        )
        self._timing = timing
        self._counters = counters
        self._manager_by_worker = {}
        self.poll_wait = LongPollWait(
            calm_s=timing.wait_s, troubled_s=TROUBLED_WAIT_S, memory_s=TROUBLE_MEMORY_S
        )
        self.quorum_check = QuorumCheck(group=group, election_min_s=timing.election_min_s)
        self._wake = Event()
        self._scope = None
        self._tasks = None
        self.is_over = False

    async def run(self):
        """Work until deposed or cancelled."""
        now = steady()
        log.info("term begins", term=self.term, flows=len(self.state.flow_by_id))
        self.scheduler.restore(self.state, now)
        former_leases = now + longest_s(self._timing.lease_s, self._timing.margin_s)
        async with create_task_group() as tasks:
            self._tasks = tasks
            self._scope = tasks.cancel_scope
            for worker in list(self.scheduler.worker_by_id.values()):
                self._manage(worker).lease.wait_out(former_leases)
            tasks.start_soon(self._hold_authority)
            tasks.start_soon(self._pass_on)
            tasks.start_soon(self._retire)
        self.is_over = True
        log.info("term over", term=self.term)

    def cancel(self):
        """End the term because this store does not lead any more."""
        if self._scope is not None:
            self._scope.cancel()

    def deposed(self, reason):
        """End the term."""
        log.warning("deposed", term=self.term, reason=reason)
        self.cancel()

    async def _hold_authority(self):
        try:
            await self.quorum_check.run()
        except SiskintallyError as error:
            self.deposed(str(error))

    async def _retire(self):
        """Forget flows whose outcome nobody asks for any more."""
        retention = FlowRetention(keep_s=self._timing.keep_s)
        while True:
            await sleep(RETIRE_S)
            flows = self.state.flow_by_id.values()
            closed = [state.flow.id for state in flows if state.outcome != Outcome.OPEN]
            old = retention.old(closed, steady())
            if old:
                log.info("flows forgotten", count=len(old))
                try:
                    await self.propose(forget=FlowIds(ids=old))
                except (NotLeaderError, OutcomeUnknownError) as error:
                    self.deposed(str(error))

    def wake(self):
        """Look at the waiting tasks soon."""
        self._wake.set()

    async def _pass_on(self):
        while True:
            with move_on_after(IDLE_PASS_S):
                await self._wake.wait()
            await sleep(GATHER_S)
            self._wake = Event()
            self._orders.run_pass(steady(), int(time() * 1000), self._tasks)

    def _manage(self, worker):
        manager = WorkerManager(
            worker=worker, leader=self, driver=self._driver, timing=self._timing
        )
        self._manager_by_worker[worker.id] = manager
        self._tasks.start_soon(manager.run)
        return manager

    def manager_of(self, worker_id):
        """Return the manager of the present incarnation of a worker, or None."""
        return self._manager_by_worker.get(worker_id)

    def joined(self, record, received_at):
        """Take a worker whose announcement is committed, or what a known one says of itself now.

        :param received_at: steady time at which its clock had been read.
        """
        known = self.scheduler.worker_by_id.get(record.id)
        is_new = known is None or known.record.born_ms != record.born_ms
        if is_new and known is not None:
            self._manager_by_worker[record.id].wake()
        self.scheduler.join(record, is_new=is_new)
        worker = self.scheduler.worker_by_id[record.id]
        manager = self._manage(worker) if is_new else self._manager_by_worker[record.id]
        if record.clock_ms:
            manager.lease.sample(
                clock_ms=record.clock_ms, sent_at=received_at, received_at=received_at
            )
        if worker.status == WorkerStatus.LAPSED:
            manager.wake()
        if record.leaving:
            self.scheduler.evacuate(worker, steady())
        self.wake()

    async def propose(self, **body):
        """Commit a :class:`ControlCommand`.

        :param body: its one field.
        :raises NotLeaderError: nothing was committed.
        :raises OutcomeUnknownError: it may or may not be committed.
        """
        await self._group.propose(ControlCommand(**body).SerializeToString())

    async def confirm(self):
        """Return once the state holds all that was committed before the call."""
        await self._group.confirm_leadership()

    async def take_report(self, manager, report, asked_at):
        """Take a report, and commit the ends in it before the worker may forget them."""
        ends = self.scheduler.report(manager.worker, report, asked_at, steady())
        self.wake()
        if ends:
            for end in ends:
                how = TaskEnd.How.Name(end.how)
                self._counters.ends.labels(how).inc()
                log.info("end", task=end.task, run=end.run, how=how, worker=manager.worker.id)
            try:
                await self.propose(ends=EndBatch(ends=ends))
            except (NotLeaderError, OutcomeUnknownError) as error:
                self.deposed(str(error))
                return
        manager.noted = max([manager.noted, *(row.number for row in report.ended)])

    def started(self, action):
        """Note a confirmed start."""
        self.scheduler.started(action.task, action.run, steady())

    def refused(self, action, refusal, *, was_sent_before):
        """Note a refused start."""
        log.info("start refused", task=action.task.id, run=action.run, reason=refusal.name)
        self._counters.starts_refused.labels(refusal.name).inc()
        if refusal.name == "FENCED":
            self.deposed(f"worker {action.worker.id} has a higher fence")
            return
        self.scheduler.refused(
            action.task, action.run, refusal, steady(), was_sent_before=was_sent_before
        )
        self.wake()

    def stop_confirmed(self, action):
        """Note a confirmed stop."""
        self.scheduler.stopped(action, steady())

    def suspected(self, worker):
        """Let tasks of a silent worker race with copies elsewhere, where they may."""
        raced = self.scheduler.race(worker, steady())
        if raced:
            log.info("copies wanted", worker=worker.id, tasks=len(raced), first=raced[0])
            self.wake()

    def lapsed(self, worker):
        """Note that the lease of a worker has ended."""
        self._counters.workers_lapsed.inc()
        log.warning("worker lapsed", worker=worker.id, held=len(worker.held_by_task))
        self.scheduler.lapse(worker)
        self.wake()

    def gone(self, worker, reason):
        """Note that an incarnation of a worker does not exist any more."""
        if worker.status == WorkerStatus.LOST:
            return
        log.warning("worker lost", worker=worker.id, reason=reason[:120])
        self.scheduler.lose(worker)
        manager = self._manager_by_worker.get(worker.id)
        if manager is not None and manager.worker is worker:
            manager.wake()
            del self._manager_by_worker[worker.id]
        self._tasks.start_soon(self._commit_loss, worker.record)
        self.wake()

    async def _commit_loss(self, record):
        try:
            await self.propose(leave=WorkerKey(id=record.id, born_ms=record.born_ms))
        except (NotLeaderError, OutcomeUnknownError) as error:
            self.deposed(str(error))
