"""The leader of a control group at work: places tasks, keeps workers, commits ends.

>>> from siskintally.conductor import AUTHORITY_SHARE
>>> 0 < AUTHORITY_SHARE < 1
True
"""

from time import time

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.clock import now as steady
from siskintally.control_pb2 import (
    ControlCommand,
    EndBatch,
    FlowIds,
    StartBatch,
    TaskEnd,
    TaskStart,
    WorkerKey,
)
from siskintally.control_state import Outcome
from siskintally.errors import NotLeaderError, OutcomeUnknownError, SiskintallyError
from siskintally.fleet import Standing
from siskintally.flow_scheduler import FlowScheduler
from siskintally.keeper import Keeper
from siskintally.lanes import Lanes
from siskintally.log import get_logger
from siskintally.look_wait import LookWait
from siskintally.worker_lease import longest_s

# Nobody else can be elected while a quorum has heard this leader within the shortest election
# timeout, or a share of it that is larger than this one if its process has ended. The rest covers
# clocks that differ, and members that forget it by a restart.
AUTHORITY_SHARE = 0.5
CONFIRM_S = 0.15
# Events within this time share one pass over the waiting tasks.
GATHER_S = 0.004
IDLE_PASS_S = 0.1
ADVICE_MARGIN_S = 1.5
RETIRE_S = 10.0
# Orders get no answer for seconds when something is wrong with workers or links.
TROUBLED_WAIT_S = 0.3
TROUBLE_MEMORY_S = 3.0

log = get_logger("conductor")


class Conductor:
    """What a leader does in one term.

    :param group: :class:`~siskintally.group.Group` whose replica leads.
    :param state: :class:`~siskintally.control_state.ControlState` of the group.
    :param driver: :class:`~siskintally.driver.WorkerDriver`.
    :param lanes: function that returns :class:`~siskintally.lanes.Lane` objects.
    :param timing: :class:`~siskintally.flow_timing.FlowTiming`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = (
        "_authority_until",
        "_authorized",
        "_counters",
        "_driver",
        "_group",
        "_keeper_by_worker",
        "_lanes",
        "_scope",
        "_tasks",
        "_timing",
        "_wake",
        "is_over",
        "look_wait",
        "scheduler",
        "state",
        "term",
    )

    def __init__(self, *, group, state, driver, lanes, timing, counters):
        self.state = state
        self.term = group.term
        self.scheduler = FlowScheduler(term=group.term)
        self._group = group
        self._driver = driver
        self._lanes = Lanes(lanes=lanes)
        self._timing = timing
        self._counters = counters
        self._keeper_by_worker = {}
        self.look_wait = LookWait(
            calm_s=timing.wait_s, troubled_s=TROUBLED_WAIT_S, memory_s=TROUBLE_MEMORY_S
        )
        self._authority_until = 0.0
        self._authorized = Event()
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
                self._keep(worker).lease.wait_out(former_leases)
            tasks.start_soon(self._confirm)
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

    async def _confirm(self):
        """Keep the authority of this leader: a quorum still follows it."""
        while True:
            asked_at = steady()
            try:
                with move_on_after(self._timing.election_min_s * 2) as scope:
                    await self._group.confirm()
            except SiskintallyError as error:
                self.deposed(str(error))
                return
            if not scope.cancelled_caught:
                share = self._timing.election_min_s * AUTHORITY_SHARE
                self._authority_until = asked_at + share
                self._authorized.set()
                self._authorized = Event()
            await sleep(CONFIRM_S)

    async def _retire(self):
        """Forget flows whose outcome nobody asks for any more."""
        over_since = {}
        while True:
            await sleep(RETIRE_S)
            now = steady()
            over = [
                flow_id
                for flow_id, flow in self.state.flow_by_id.items()
                if flow.outcome != Outcome.OPEN
            ]
            over_since = {flow_id: over_since.get(flow_id, now) for flow_id in over}
            old = [one for one, since in over_since.items() if now - since > self._timing.keep_s]
            if old:
                log.info("flows forgotten", count=len(old))
                try:
                    await self.propose(forget=FlowIds(ids=old))
                except (NotLeaderError, OutcomeUnknownError) as error:
                    self.deposed(str(error))

    async def has_authority(self):
        """Wait until a quorum is known to follow this leader.

        :returns: whether it does; the term ends otherwise.
        """
        while steady() >= self._authority_until:
            await self._authorized.wait()
        return True

    def wake(self):
        """Look at the waiting tasks soon."""
        self._wake.set()

    async def _pass_on(self):
        while True:
            with move_on_after(IDLE_PASS_S):
                await self._wake.wait()
            await sleep(GATHER_S)
            self._wake = Event()
            self._run_pass(steady(), int(time() * 1000))

    def _run_pass(self, now, wall_ms):
        scheduler = self.scheduler
        actions = list(scheduler.place(now, wall_ms))
        for action in actions:
            self._counters.starts.inc()
            self._counters.start_seconds.observe(now - action.task.step.flow.arrived)
            log.info(
                "start",
                task=action.task.id,
                run=action.run,
                worker=action.worker.id,
                term=self.term,
                waited_ms=round((now - action.task.step.flow.arrived) * 1000),
            )
        if actions:
            self._tasks.start_soon(self._send_starts, actions)
        self._send_stops()
        self._send_paces()
        for action in scheduler.advice_wanted(now, wall_ms):
            lane = self._lanes.take(is_quick=action.is_quick)
            if lane is not None:
                action.step.asking = True
                self._tasks.start_soon(self._ask, lane, action)

    async def _send_starts(self, actions):
        """Commit where tasks are started, then send the orders.

        The next leader needs to wait only for the workers on record, not for every silent one.
        """
        starts = [
            TaskStart(
                task=action.task.id,
                run=action.run,
                worker=action.worker.id,
                born_ms=action.worker.record.born_ms,
            )
            for action in actions
        ]
        try:
            await self.propose(starts=StartBatch(starts=starts))
        except (NotLeaderError, OutcomeUnknownError) as error:
            self.deposed(str(error))
            return
        for action in actions:
            keeper = self._keeper_by_worker.get(action.worker.id)
            if keeper is not None and keeper.worker is action.worker:
                self._tasks.start_soon(keeper.start, action)

    def _send_paces(self):
        paces, self.scheduler.paces = self.scheduler.paces, []
        for action in paces:
            keeper = self._keeper_by_worker.get(action.worker.id)
            if keeper is not None and keeper.worker is action.worker:
                self._counters.paces.inc()
                log.info(
                    "pace", task=action.task.id, worker=action.worker.id, percent=action.percent
                )
                self._tasks.start_soon(keeper.pace, action)

    def _send_stops(self):
        stops, self.scheduler.stops = self.scheduler.stops, []
        for action in stops:
            keeper = self._keeper_by_worker.get(action.worker.id)
            if keeper is not None and keeper.worker is action.worker:
                self._counters.stops.inc()
                log.info("stop", task=action.task_id, run=action.run, worker=action.worker.id)
                keeper.wake()
                self._tasks.start_soon(keeper.stop, action)

    async def _ask(self, lane, action):
        tickets = None
        asked_at = steady()
        timeout = action.expected_s + ADVICE_MARGIN_S
        try:
            tickets = await lane.ask(action.step.id, action.worker_ids, timeout=timeout)
        except SiskintallyError as error:
            log.info("advice failed", step=action.step.id, lane=lane.name, error=str(error)[:120])
        finally:
            self._lanes.give_back(lane)
        now = steady()
        self._counters.advice_seconds.observe(now - asked_at)
        queue = action.step.flow.queue
        valid_s = queue.advice.valid_ms / 1000 if queue is not None else 0.0
        self.scheduler.advised(action, tickets, now + valid_s, now)
        if tickets is not None:
            log.info(
                "advice",
                step=action.step.id,
                lane=lane.name,
                asked=len(action.worker_ids),
                allowed=len(tickets),
                took_ms=round((now - asked_at) * 1000),
            )
        self.wake()

    def _keep(self, worker):
        keeper = Keeper(worker=worker, leader=self, driver=self._driver, timing=self._timing)
        self._keeper_by_worker[worker.id] = keeper
        self._tasks.start_soon(keeper.run)
        return keeper

    def keeper_of(self, worker_id):
        """Return the keeper of the present incarnation of a worker, or None."""
        return self._keeper_by_worker.get(worker_id)

    def joined(self, record, received_at):
        """Take a worker whose announcement is committed, or what a known one says of itself now.

        :param received_at: steady time at which its clock had been read.
        """
        known = self.scheduler.worker_by_id.get(record.id)
        is_new = known is None or known.record.born_ms != record.born_ms
        if is_new and known is not None:
            self._keeper_by_worker[record.id].wake()
        self.scheduler.join(record, is_new=is_new)
        worker = self.scheduler.worker_by_id[record.id]
        keeper = self._keep(worker) if is_new else self._keeper_by_worker[record.id]
        if record.clock_ms:
            keeper.lease.sample(
                clock_ms=record.clock_ms, sent_at=received_at, received_at=received_at
            )
        if worker.standing == Standing.LAPSED:
            keeper.wake()
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
        await self._group.confirm()

    async def take_report(self, keeper, report, asked_at):
        """Take a report, and commit the ends in it before the worker may forget them."""
        ends = self.scheduler.report(keeper.worker, report, asked_at, steady())
        self.wake()
        if ends:
            for end in ends:
                how = TaskEnd.How.Name(end.how)
                self._counters.ends.labels(how).inc()
                log.info("end", task=end.task, run=end.run, how=how, worker=keeper.worker.id)
            try:
                await self.propose(ends=EndBatch(ends=ends))
            except (NotLeaderError, OutcomeUnknownError) as error:
                self.deposed(str(error))
                return
        keeper.noted = max([keeper.noted, *(row.number for row in report.ended)])

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
        if worker.standing == Standing.LOST:
            return
        log.warning("worker lost", worker=worker.id, reason=reason[:120])
        self.scheduler.lose(worker)
        keeper = self._keeper_by_worker.get(worker.id)
        if keeper is not None and keeper.worker is worker:
            keeper.wake()
            del self._keeper_by_worker[worker.id]
        self._tasks.start_soon(self._commit_loss, worker.record)
        self.wake()

    async def _commit_loss(self, record):
        try:
            await self.propose(leave=WorkerKey(id=record.id, born_ms=record.born_ms))
        except (NotLeaderError, OutcomeUnknownError) as error:
            self.deposed(str(error))
