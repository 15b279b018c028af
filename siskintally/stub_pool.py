"""Stub workers in memory that follow the rules of a platform: fences, runs, leases, ends.

They are a second implementation of :class:`~siskintally.driver.WorkerDriver`, for tests and for
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
    EndRow,
    GoneError,
    OrderReply,
    Refusal,
    RunRow,
    WorkerDriver,
    WorkerReport,
)
from siskintally.errors import OutcomeUnknownError, UnreachableError

POLL_S = 0.01


class StubRun:
    """One run on a stub worker.

    :param ends_at: clock reading at which it ends as done.
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

    ``history``: (time, event, task id, run) of all that ran, for checks. ``is_dark``: whether
    calls get no answer. ``loses_answers``: whether orders are carried out and not answered.

    :param run_s: ``run_s(task_id)`` returns the time that a task takes, in seconds.
    """

    __slots__ = (
        "_clock",
        "_ended",
        "_fence",
        "_highest_by_task",
        "_lease_until_ms",
        "_number",
        "_run_s",
        "history",
        "is_dark",
        "loses_answers",
        "record",
        "running_by_task",
    )

    def __init__(self, *, record, clock, run_s):
        self.record = record
        self.history = []
        self.is_dark = False
        self.loses_answers = False
        self.running_by_task = {}
        self._clock = clock
        self._run_s = run_s
        self._fence = 0
        self._number = 0
        self._ended = []
        self._highest_by_task = {}
        self._lease_until_ms = 0

    @property
    def clock_ms(self):
        """Steady clock of the worker."""
        return int(self._clock() * 1000)

    def tick(self):
        """End what is done, or everything if the lease is over."""
        is_over = self.clock_ms >= self._lease_until_ms
        for one in list(self.running_by_task.values()):
            if is_over:
                self._end(one, EndKind.LAPSED)
            elif self._clock() >= one.ends_at:
                self._end(one, EndKind.DONE)

    def _end(self, one, kind):
        del self.running_by_task[one.task_id]
        self._highest_by_task[one.task_id] = one.run
        self._number += 1
        self._ended.append(EndRow(number=self._number, task_id=one.task_id, run=one.run, kind=kind))
        self.history.append((self._clock(), kind.name, one.task_id, one.run))

    def fail(self, task_id):
        """Let a run end as failed."""
        self._end(self.running_by_task[task_id], EndKind.FAILED)

    def _extend(self, until_ms):
        self._lease_until_ms = max(self._lease_until_ms, until_ms or 0)

    def start(self, order):
        """Carry out a start order."""
        self.tick()
        present = self.running_by_task.get(order.task_id)
        refusal = Refusal.NONE
        if order.fence < self._fence:
            return self._reply(Refusal.FENCED)
        self._fence = order.fence
        if present is not None and present.run == order.run:
            self._extend(order.lease_until_ms)
        elif order.run <= self._highest_by_task.get(order.task_id, 0) or present is not None:
            refusal = Refusal.OLD
        elif order.lease_until_ms <= self.clock_ms:
            refusal = Refusal.LATE
        else:
            self._extend(order.lease_until_ms)
            self._begin(order)
        return self._reply(refusal)

    def _begin(self, order):
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
        """Carry out a stop order; a run that is not there yet is refused later."""
        self.tick()
        if order.fence < self._fence:
            return self._reply(Refusal.FENCED)
        self._fence = order.fence
        present = self.running_by_task.get(order.task_id)
        if present is not None and present.run <= order.run:
            self._end(present, EndKind.STOPPED)
        highest = self._highest_by_task.get(order.task_id, 0)
        self._highest_by_task[order.task_id] = max(highest, order.run)
        return self._reply(Refusal.NONE)

    def hold(self, *, fence, lease_until_ms, noted):
        """Renew the lease and list what runs and what has ended."""
        self.tick()
        if fence < self._fence:
            return WorkerReport(clock_ms=self.clock_ms, refusal=Refusal.FENCED)
        self._fence = fence
        self._extend(lease_until_ms)
        self._ended = [row for row in self._ended if row.number > noted]
        return WorkerReport(
            clock_ms=self.clock_ms,
            running=[
                RunRow(task_id=one.task_id, run=one.run, checkpoint=one.checkpoint)
                for one in self.running_by_task.values()
            ],
            ended=list(self._ended),
        )

    def _reply(self, refusal):
        return OrderReply(refusal=refusal, clock_ms=self.clock_ms)


class StubPool(WorkerDriver):
    """Workers by address.

    :param clock: function that returns the steady time in seconds.
    :param run_s: ``run_s(task_id)`` returns the time that a task takes, in seconds.
    """

    __slots__ = ("_clock", "_run_s", "worker_by_id")

    def __init__(self, *, clock, run_s=lambda task_id: 0.1):
        self._clock = clock
        self._run_s = run_s
        self.worker_by_id = {}

    def add(self, name, *, cpu_milli, memory_mb, born_ms=1, service="pool"):
        """Add a worker, or a new incarnation of one; return the :class:`StubPoolWorker`."""
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

    async def _reach(self, worker, timeout):
        found = self.worker_by_id.get(worker.id)
        if found is None:
            raise UnreachableError(f"{worker.id}: no such worker")
        if found.is_dark:
            await sleep(timeout)
            raise OutcomeUnknownError(f"{worker.id}: no answer")
        if found.record.born_ms != worker.born_ms:
            raise GoneError(f"{worker.id}: another incarnation")
        await sleep(0)
        return found

    async def _order(self, worker, timeout, carry_out):
        found = await self._reach(worker, timeout)
        reply = carry_out(found)
        if found.loses_answers:
            await sleep(timeout)
            raise OutcomeUnknownError(f"{worker.id}: no answer")
        return reply

    async def start(self, worker, order, *, timeout):
        """Start a run."""
        return await self._order(worker, timeout, lambda found: found.start(order))

    async def stop(self, worker, order, *, timeout):
        """Stop a run."""
        return await self._order(worker, timeout, lambda found: found.stop(order))

    async def pace(self, worker, order, *, timeout):
        """Take a pace order; stub tasks run at one speed."""
        return await self._order(worker, timeout, lambda found: OrderReply())

    async def hold(self, worker, *, fence, lease_until_ms, noted, wait_ms, timeout):
        """Renew the lease; wait for an end that is not noted yet."""
        found = await self._reach(worker, timeout)
        report = found.hold(fence=fence, lease_until_ms=lease_until_ms, noted=noted)
        with move_on_after(wait_ms / 1000):
            while not report.ended and report.refusal == Refusal.NONE and not found.is_dark:
                await sleep(POLL_S)
                report = found.hold(fence=fence, lease_until_ms=None, noted=noted)
        return report

    async def forget(self, worker):
        """Do nothing: there are no connections."""
