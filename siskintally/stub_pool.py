"""In-memory stub workers that enforce fences, run numbers, and leases like a platform.

This is a second implementation of :class:`~siskintally.driver.WorkerDriver`, for tests and for
trials without a platform.

>>> from siskintally.stub_pool import StubPool
>>> pool = StubPool(clock=lambda: 5.0)
>>> pool.add("w", cpu_milli=4000, memory_mb=1000).record.id
'w'
"""

from anyio import move_on_after, sleep

from siskintally.control_pb2 import PoolWorker
from siskintally.driver import (
    EndKind,
    IncarnationGoneError,
    OrderReply,
    Refusal,
    RunEnd,
    RunStatus,
    WorkerDriver,
    WorkerReport,
)
from siskintally.errors import OutcomeUnknownError, UnreachableError

POLL_INTERVAL_S = 0.01


class StubRun:
    """One run on a stub worker.

    :param ends_at: steady time at which the run ends as done, s.
    """

    __slots__ = ("checkpoint", "ends_at", "run", "started_at", "task_id")

    def __init__(self, *, task_id, run, started_at, ends_at, checkpoint):
        self.task_id = task_id
        self.run = run
        self.started_at = started_at
        self.ends_at = ends_at
        self.checkpoint = checkpoint


class StubPoolWorker:
    """One incarnation of a worker.

    ``history``: (time, event, task id, run) of each start and end, for checks in tests.
    ``is_unreachable``: whether calls time out without an effect. ``loses_replies``: whether orders
    are executed but their replies are lost.

    :param run_s: ``run_s(task_id)`` returns the run time of a task in seconds.
    """

    __slots__ = (
        "_clock",
        "_fence",
        "_highest_run_by_task",
        "_last_end_number",
        "_lease_until_ms",
        "_run_s",
        "_unacknowledged_ends",
        "history",
        "is_unreachable",
        "loses_replies",
        "record",
        "running_by_task",
    )

    def __init__(self, *, record, clock, run_s):
        self.record = record
        self.history = []
        self.is_unreachable = False
        self.loses_replies = False
        self.running_by_task = {}
        self._clock = clock
        self._run_s = run_s
        self._fence = 0
        self._last_end_number = 0
        self._unacknowledged_ends = []
        self._highest_run_by_task = {}
        self._lease_until_ms = 0

    @property
    def clock_ms(self):
        """Steady clock of the worker in ms."""
        return int(self._clock() * 1000)

    def end_due_runs(self):
        """End the runs that are done, or all runs if the lease has expired."""
        is_lease_expired = self.clock_ms >= self._lease_until_ms
        for stub_run in list(self.running_by_task.values()):
            if is_lease_expired:
                self._end_run(stub_run, EndKind.LAPSED)
            elif self._clock() >= stub_run.ends_at:
                self._end_run(stub_run, EndKind.DONE)

    def _end_run(self, stub_run, kind):
        del self.running_by_task[stub_run.task_id]
        self._highest_run_by_task[stub_run.task_id] = stub_run.run
        self._last_end_number += 1
        self._unacknowledged_ends.append(
            RunEnd(
                number=self._last_end_number, task_id=stub_run.task_id, run=stub_run.run, kind=kind
            )
        )
        self.history.append((self._clock(), kind.name, stub_run.task_id, stub_run.run))

    def fail_run(self, task_id):
        """End the run of a task as failed."""
        self._end_run(self.running_by_task[task_id], EndKind.FAILED)

    def _extend_lease(self, until_ms):
        self._lease_until_ms = max(self._lease_until_ms, until_ms or 0)

    def start(self, order):
        """Execute a start order."""
        self.end_due_runs()
        current_run = self.running_by_task.get(order.task_id)
        refusal = Refusal.NONE
        if order.fence < self._fence:
            return self._reply(Refusal.FENCED)
        self._fence = order.fence
        if current_run is not None and current_run.run == order.run:
            self._extend_lease(order.lease_until_ms)
        elif (
            order.run <= self._highest_run_by_task.get(order.task_id, 0) or current_run is not None
        ):
            refusal = Refusal.OLD
        elif order.lease_until_ms <= self.clock_ms:
            refusal = Refusal.LATE
        else:
            self._extend_lease(order.lease_until_ms)
            self._start_run(order)
        return self._reply(refusal)

    def _start_run(self, order):
        now = self._clock()
        self.running_by_task[order.task_id] = StubRun(
            task_id=order.task_id,
            run=order.run,
            started_at=now,
            ends_at=now + self._run_s(order.task_id),
            checkpoint=order.checkpoint,
        )
        self.history.append((now, "START", order.task_id, order.run))

    def stop(self, order):
        """Execute a stop order; the start of a run that is not there yet is refused later."""
        self.end_due_runs()
        if order.fence < self._fence:
            return self._reply(Refusal.FENCED)
        self._fence = order.fence
        current_run = self.running_by_task.get(order.task_id)
        if current_run is not None and current_run.run <= order.run:
            self._end_run(current_run, EndKind.STOPPED)
        highest = self._highest_run_by_task.get(order.task_id, 0)
        self._highest_run_by_task[order.task_id] = max(highest, order.run)
        return self._reply(Refusal.NONE)

    def poll_status(self, *, fence, lease_until_ms, committed_end_number):
        """Renew the lease; report the runs in progress and the unacknowledged ends."""
        self.end_due_runs()
        if fence < self._fence:
            return WorkerReport(clock_ms=self.clock_ms, refusal=Refusal.FENCED)
        self._fence = fence
        self._extend_lease(lease_until_ms)
        self._unacknowledged_ends = [
            row for row in self._unacknowledged_ends if row.number > committed_end_number
        ]
        return WorkerReport(
            clock_ms=self.clock_ms,
            running=[
                RunStatus(
                    task_id=stub_run.task_id, run=stub_run.run, checkpoint=stub_run.checkpoint
                )
                for stub_run in self.running_by_task.values()
            ],
            ended=list(self._unacknowledged_ends),
        )

    def _reply(self, refusal):
        return OrderReply(refusal=refusal, clock_ms=self.clock_ms)


class StubPool(WorkerDriver):
    """Driver of a set of stub workers.

    :param clock: function that returns the steady time in seconds.
    :param run_s: ``run_s(task_id)`` returns the run time of a task in seconds.
    """

    __slots__ = ("_clock", "_run_s", "worker_by_id")

    def __init__(self, *, clock, run_s=lambda task_id: 0.1):
        self._clock = clock
        self._run_s = run_s
        self.worker_by_id = {}

    def add(self, name, *, cpu_milli, memory_mb, born_ms=1, service="pool"):
        """Add a worker or a new incarnation of one; return its :class:`StubPoolWorker`."""
        record = PoolWorker(
            id=name,
            born_ms=born_ms,
            service=service,
            address=f"{name}:1",
            cpu_milli=cpu_milli,
            memory_mb=memory_mb,
            labels=["a", "r1"],
            rack="r1",
        )
        self.worker_by_id[name] = StubPoolWorker(
            record=record, clock=self._clock, run_s=self._run_s
        )
        return self.worker_by_id[name]

    async def _find_reachable(self, worker, timeout):
        stub = self.worker_by_id.get(worker.id)
        if stub is None:
            raise UnreachableError(f"{worker.id}: no such worker")
        if stub.is_unreachable:
            await sleep(timeout)
            raise OutcomeUnknownError(f"{worker.id}: no reply")
        if stub.record.born_ms != worker.born_ms:
            raise IncarnationGoneError(f"{worker.id}: another incarnation")
        await sleep(0)
        return stub

    async def _execute(self, worker, timeout, apply_order):
        stub = await self._find_reachable(worker, timeout)
        reply = apply_order(stub)
        if stub.loses_replies:
            await sleep(timeout)
            raise OutcomeUnknownError(f"{worker.id}: no reply")
        return reply

    async def start(self, worker, order, *, timeout):
        """Start a run."""
        return await self._execute(worker, timeout, lambda stub: stub.start(order))

    async def stop(self, worker, order, *, timeout):
        """Stop a run."""
        return await self._execute(worker, timeout, lambda stub: stub.stop(order))

    async def throttle(self, worker, order, *, timeout):
        """Accept a throttle order without effect: stub tasks run at a fixed speed."""
        return await self._execute(worker, timeout, lambda stub: OrderReply())

    async def poll_status(
        self, worker, *, fence, lease_until_ms, committed_end_number, wait_ms, timeout
    ):
        """Renew the lease; wait for an end that is not committed yet."""
        stub = await self._find_reachable(worker, timeout)
        report = stub.poll_status(
            fence=fence, lease_until_ms=lease_until_ms, committed_end_number=committed_end_number
        )
        with move_on_after(wait_ms / 1000):
            while not report.ended and report.refusal == Refusal.NONE and not stub.is_unreachable:
                await sleep(POLL_INTERVAL_S)
                report = stub.poll_status(
                    fence=fence, lease_until_ms=None, committed_end_number=committed_end_number
                )
        return report

    async def disconnect(self, worker):
        """Do nothing: there are no connections."""
