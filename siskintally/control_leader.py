"""Leader of a control group during its term: places tasks, manages workers, commits ends.

>>> from siskintally.control_leader import PASS_DELAY_S, MAX_PASS_INTERVAL_S
>>> PASS_DELAY_S < MAX_PASS_INTERVAL_S
True
"""

from time import time

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.advice_client_pool import AdviceClientPool
from siskintally.clock import now as steady
from siskintally.committed_commands import CommittedCommands
from siskintally.control_pb2 import ControlCommand, EndBatch, FlowIds, TaskEnd, WorkerKey
from siskintally.control_state import Outcome
from siskintally.driver import Refusal
from siskintally.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    SiskintallyError,
    UnreachableError,
)
from siskintally.fleet import WorkerStatus
from siskintally.flow_dispatcher import FlowDispatcher
from siskintally.flow_retention import FlowRetention
from siskintally.flow_scheduler import FlowScheduler
from siskintally.log import get_logger
from siskintally.long_poll import LongPollWait
from siskintally.pending_losses import PendingLosses
from siskintally.quorum_check import QuorumCheck
from siskintally.worker_lease import longest_grant_s
from siskintally.worker_manager import WorkerManager

# Events within this time share one placement pass.
PASS_DELAY_S = 0.004
# Longest time between placement passes.
MAX_PASS_INTERVAL_S = 0.1
# Interval at which closed flows whose retention time is over are removed.
RETENTION_CHECK_S = 10.0
# Wait of a status poll, and for how long it applies, after a call without a reply: faults of
# workers or links leave calls without a reply for seconds.
REDUCED_WAIT_S = 0.3
REDUCED_WAIT_PERIOD_S = 3.0
# Timeout of the call that confirms an announcement, which has to be answered within a second.
VERIFICATION_TIMEOUT_S = 0.5

log = get_logger("control-leader")


class ControlLeader:
    """Leader of a control group during one term.

    ``is_over``: whether the term has ended.

    :param group: :class:`~siskintally.group.Group` whose replica leads.
    :param state: :class:`~siskintally.control_state.ControlState` of the group.
    :param driver: :class:`~siskintally.driver.WorkerDriver`.
    :param advice_clients: function that returns
        :class:`~siskintally.advice_client_pool.AdviceClient` objects.
    :param timing: :class:`~siskintally.flow_timing.FlowTiming`.
    :param counters: :class:`~siskintally.counters.Counters`.
    :param on_document: function that is called when a new configuration is in force.
    """

    __slots__ = (
        "_cancel_scope",
        "_committed",
        "_counters",
        "_dispatcher",
        "_driver",
        "_group",
        "_manager_by_worker",
        "_pending_losses",
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

    def __init__(
        self, *, group, state, driver, advice_clients, timing, counters, on_document=lambda: None
    ):
        self.state = state
        self.term = group.term
        self.scheduler = FlowScheduler(term=group.term, on_error=self._record_flow_error)
        self._committed = CommittedCommands(
            scheduler=self.scheduler, state=state, on_document=on_document
        )
        self._group = group
        self._driver = driver
        self._dispatcher = FlowDispatcher(
            leader=self, advice_pool=AdviceClientPool(clients=advice_clients), counters=counters
        )
        self._timing = timing
        self._counters = counters
        self._manager_by_worker = {}
        self._pending_losses = PendingLosses()
        self.poll_wait = LongPollWait(
            normal_wait_s=timing.max_wait_s,
            reduced_wait_s=REDUCED_WAIT_S,
            reduced_period_s=REDUCED_WAIT_PERIOD_S,
        )
        self.quorum_check = QuorumCheck(group=group, election_min_s=timing.election_min_s)
        self._wake = Event()
        self._cancel_scope = None
        self._tasks = None
        self.is_over = False

    async def run(self):
        """Lead until the term ends or is cancelled."""
        now = steady()
        log.info("term begins", term=self.term, flows=len(self.state.flow_by_id))
        self.scheduler.restore(self.state, now, wall_ms=int(time() * 1000))
        self.state.on_applied = self._record_committed
        try:
            await self._lead(now)
        finally:
            if self.state.on_applied == self._record_committed:
                self.state.on_applied = None
        self.is_over = True
        log.info("term over", term=self.term)

    async def _lead(self, now):
        async with create_task_group() as tasks:
            self._tasks = tasks
            self._cancel_scope = tasks.cancel_scope
            for worker in list(self.scheduler.worker_by_id.values()):
                self._start_manager(worker, now)
            tasks.start_soon(self._run_quorum_check)
            tasks.start_soon(self._run_passes)
            tasks.start_soon(self._forget_closed_flows)

    def cancel(self):
        """End the term because this store is no longer the leader."""
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    def end_term(self, reason):
        """End the term because leadership is lost or in doubt."""
        log.warning("deposed", term=self.term, reason=reason)
        self.cancel()

    async def _run_quorum_check(self):
        try:
            await self.quorum_check.run()
        except SiskintallyError as error:
            self.end_term(str(error))

    async def _forget_closed_flows(self):
        """Remove closed flows from the state after their retention time."""
        retention = FlowRetention(retention_s=self._timing.retention_s)
        while True:
            await sleep(RETENTION_CHECK_S)
            flows = self.state.flow_by_id.values()
            closed = [state.flow.id for state in flows if state.outcome != Outcome.OPEN]
            expired = retention.expired(closed, steady())
            if expired:
                log.info("flows forgotten", count=len(expired))
                try:
                    await self.propose(forget=FlowIds(ids=expired))
                except (NotLeaderError, OutcomeUnknownError) as error:
                    self.end_term(str(error))

    def _record_committed(self, kind, body):
        if self._committed.record(kind, body):
            self.request_pass()

    def apply_committed(self):
        """Let the scheduler follow the commands that are committed by now."""
        if self._committed.apply(steady()):
            self.request_pass()

    def request_pass(self):
        """Request a placement pass."""
        self._wake.set()

    def _record_flow_error(self, flow_id, error):
        """Record an unexpected error; called while it is handled."""
        log.exception("unexpected error", flow=flow_id)
        self._counters.flow_errors.labels(type(error).__name__).inc()

    async def _run_passes(self):
        while True:
            with move_on_after(MAX_PASS_INTERVAL_S):
                await self._wake.wait()
            await sleep(PASS_DELAY_S)
            self._wake = Event()
            try:
                self._committed.apply(steady())
                self._dispatcher.run_pass(steady(), int(time() * 1000), self._tasks)
            except Exception as error:
                self.scheduler.isolate("", error)

    def _start_manager(self, worker, now):
        """Start the manager of an incarnation, which may hold a lease that was granted before."""
        timing = self._timing
        manager = WorkerManager(worker=worker, leader=self, driver=self._driver, timing=timing)
        former_grants = now + longest_grant_s(timing.lease_s, timing.margin_s)
        manager.lease.include_former_grants(former_grants)
        self._manager_by_worker[worker.id] = manager
        self._tasks.start_soon(manager.run)
        return manager

    def manager_of(self, worker_id):
        """Return the manager of the current incarnation of a worker, or None."""
        return self._manager_by_worker.get(worker_id)

    def handle_join(self, record):
        """Add a worker whose announcement is committed, or update the record of a known one.

        Its clock is read from replies of the worker alone: leases rest on it, and an announcement
        may come from another writer.
        """
        existing = self.scheduler.worker_by_id.get(record.id)
        is_new = existing is None or existing.record.born_ms != record.born_ms
        if is_new and existing is not None:
            self._manager_by_worker[record.id].wake()
        if not is_new and existing.record.address != record.address:
            self._tasks.start_soon(self._driver.disconnect, existing.record)
        self.scheduler.join(record)
        worker = self.scheduler.worker_by_id[record.id]
        if is_new:
            self._start_manager(worker, steady())
        if worker.status == WorkerStatus.LAPSED:
            self._manager_by_worker[record.id].wake()
        if record.leaving:
            self.scheduler.evacuate(worker, steady())
        self.request_pass()

    async def verify_announcement(self, record):
        """Ask a worker whether it has started again, or has moved to another address.

        An announcement may come from another writer. A worker that is wrongly declared gone, or
        is called at the address of another process, would count as lost, and its tasks would run
        twice.

        :raises SiskintallyError: the announced incarnation did not answer at the announced address.
        """
        if not self._needs_verification(record):
            return
        try:
            report = await self._driver.poll_status(
                record,
                fence=self.term,
                lease_until_ms=None,
                committed_end_number=0,
                wait_ms=0,
                timeout=VERIFICATION_TIMEOUT_S,
            )
            if report.refusal != Refusal.NONE:
                # A refusal has no start time, so it may come from another incarnation.
                raise UnreachableError(f"{record.id}: poll refused: {report.refusal.name}")
        except SiskintallyError as error:
            log.info("announcement not confirmed", worker=record.id, error=str(error)[:120])
            await self._driver.disconnect(record)
            raise

    def _needs_verification(self, record):
        """Return whether an announcement replaces a known incarnation or changes its address."""
        existing = self.scheduler.worker_by_id.get(record.id)
        if existing is None:
            return False
        return (existing.record.born_ms, existing.record.address) != (
            record.born_ms,
            record.address,
        )

    async def propose(self, **body):
        """Commit a :class:`ControlCommand`.

        :param body: the one field of the command.
        :raises NotLeaderError: nothing was committed.
        :raises OutcomeUnknownError: it may or may not be committed.
        """
        await self._group.propose(ControlCommand(**body).SerializeToString())

    async def confirm(self):
        """Wait until the state contains all commands committed before the call."""
        await self._group.confirm_leadership()

    async def handle_report(self, manager, report, asked_at):
        """Apply a status report; commit its ends before they are acknowledged to the worker."""
        unexpected_runs = manager.worker.unexpected_run_by_task
        known_runs = {task_id: run.number for task_id, run in unexpected_runs.items()}
        self._log_return(manager.worker, report)
        ends = self.scheduler.apply_report(manager.worker, report, asked_at, steady())
        self._record_unexpected_runs(manager.worker, known_runs)
        self.request_pass()
        if ends:
            for end in ends:
                how = TaskEnd.How.Name(end.how)
                self._counters.ends.labels(how).inc()
                log.info("end", task=end.task, run=end.run, how=how, worker=manager.worker.id)
            try:
                await self.propose(ends=EndBatch(ends=ends))
            except (NotLeaderError, OutcomeUnknownError) as error:
                self.end_term(str(error))
                return
        manager.committed_end_number = max(
            [manager.committed_end_number, *(row.number for row in report.ended)]
        )

    @staticmethod
    def _log_return(worker, report):
        """Log the report with which a worker becomes usable, or usable again."""
        if worker.status == WorkerStatus.READY:
            return
        log.info(
            "worker reports",
            worker=worker.id,
            born_ms=worker.record.born_ms,
            status=worker.status.name,
            running=len(report.running),
            ended=len(report.ended),
            held=len(worker.task_by_id),
        )

    def _record_unexpected_runs(self, worker, known_runs):
        """Record the runs that a worker lists for the first time without being expected."""
        for task_id, run in worker.unexpected_run_by_task.items():
            if known_runs.get(task_id) == run.number:
                continue
            task = self.scheduler.find_task(task_id)
            self._counters.unexpected_runs.inc()
            log.info(
                "unexpected run",
                task=task_id,
                run=run.number,
                worker=worker.id,
                state=task.state.name if task is not None else "unknown flow",
            )

    def handle_started(self, action):
        """Process a confirmed start."""
        self.scheduler.apply_started(action.task, action.run, steady())

    def handle_unsettled(self, action):
        """Process a start that was given up and may have reached the worker."""
        self.scheduler.settle_by_stop(action.task, action.run)
        self.request_pass()

    def handle_unanswered(self, action, error):
        """Record an attempt to send a start that the worker may carry out, even later."""
        self._counters.starts_unanswered.inc()
        log.info(
            "start repeated",
            task=action.task.id,
            run=action.run,
            worker=action.worker.id,
            error=str(error)[:120],
        )

    def handle_refused(self, action, refusal, *, was_sent_before):
        """Process a refused start."""
        log.info(
            "start refused",
            task=action.task.id,
            run=action.run,
            worker=action.worker.id,
            reason=refusal.name,
            after_unanswered=was_sent_before,
        )
        self._counters.starts_refused.labels(refusal.name, str(was_sent_before).lower()).inc()
        if refusal.name == "FENCED":
            self.end_term(f"worker {action.worker.id} has a higher fence")
            return
        self.scheduler.apply_refusal(
            action.task, action.run, refusal, steady(), was_sent_before=was_sent_before
        )
        self.request_pass()

    def handle_stopped(self, action):
        """Process a confirmed stop."""
        self._counters.stops_confirmed.inc()
        self.scheduler.apply_stopped(action, steady())

    def handle_stop_unconfirmed(self, action, reason):
        """Record a stop order that is given up because nothing can run there any more."""
        self._counters.stops_unconfirmed.labels(reason).inc()
        log.info(
            "stop unconfirmed",
            task=action.task_id,
            run=action.run,
            worker=action.worker.id,
            reason=reason,
        )

    def handle_suspect(self, worker):
        """Requeue the tasks of an unresponsive worker that may run speculatively elsewhere."""
        task_ids = self.scheduler.speculate(worker, steady())
        if task_ids:
            log.info("copies wanted", worker=worker.id, tasks=len(task_ids), first=task_ids[0])
            self.request_pass()

    def handle_lease_expired(self, worker):
        """Process the expired lease of a worker."""
        self._counters.leases_expired.inc()
        log.warning("worker lapsed", worker=worker.id, held=len(worker.task_by_id))
        self.scheduler.expire_lease(worker)
        self.request_pass()

    def handle_worker_lost(self, worker, reason):
        """Process the loss of a worker incarnation that no longer exists."""
        if worker.status == WorkerStatus.LOST:
            return
        log.warning(
            "worker lost",
            worker=worker.id,
            born_ms=worker.record.born_ms,
            held=len(worker.task_by_id),
            reason=reason[:120],
        )
        self.scheduler.remove_worker(worker)
        manager = self._manager_by_worker.get(worker.id)
        if manager is not None and manager.worker is worker:
            manager.wake()
            del self._manager_by_worker[worker.id]
        self._pending_losses.begin(worker.record)
        self._tasks.start_soon(self._commit_loss, worker.record)
        self.request_pass()

    async def _commit_loss(self, record):
        is_committed = False
        try:
            await self.propose(leave=WorkerKey(id=record.id, born_ms=record.born_ms))
            is_committed = True
        except (NotLeaderError, OutcomeUnknownError) as error:
            self.end_term(str(error))
        finally:
            self._pending_losses.end(record, is_committed=is_committed)

    async def wait_for_loss(self, record):
        """Wait until no loss of an incarnation is being committed.

        Otherwise its announcement would find a record that the loss then removes from the state.

        :raises OutcomeUnknownError: its loss could not be committed.
        """
        await self._pending_losses.wait(record)

    def is_stored(self, record):
        """Return whether the state contains an incarnation that is not being given up."""
        stored = self.state.worker_by_id.get(record.id)
        is_known = stored is not None and stored.born_ms == record.born_ms
        return is_known and not self._pending_losses.includes(record)
