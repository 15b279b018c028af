"""The two loops between a domain owner and the cell: what to run, and how it goes.

>>> from siskintally.cell_feed import SYNC_WAIT_S
>>> SYNC_WAIT_S
5.0
"""

from time import monotonic

from anyio import sleep

from siskintally.codes import Code
from siskintally.errors import NotLeaderError, SiskintallyError
from siskintally.log import get_logger
from siskintally.size import NOTHING, Size
from siskintally.wire_pb2 import DomainCapacity, JobReport, SyncRequest

SYNC_WAIT_S = 5.0
SYNC_TIMEOUT_S = 10.0
RETRY_S = 0.5
REPORT_S = 1.0
REPORT_TIMEOUT_S = 5.0
MAX_REPORT_JOBS = 5000
# Workers that register one after the other must not turn a large job into one that never fits.
NEVER_AFTER_S = 10.0

log = get_logger("cell-feed")


class CellFeed:
    """Follows the cell and reports to it during one tenure.

    :param tenure: :class:`~siskintally.tenure.Tenure`.
    :param cell_call: ``async cell_call(body, timeout=seconds)`` to the leader of the cell group.
    """

    __slots__ = ("_cell_call", "_on_config", "_reason_by_job", "_reported_by_job", "_tenure")

    def __init__(self, *, tenure, cell_call, on_config):
        self._tenure = tenure
        self._cell_call = cell_call
        self._on_config = on_config
        self._reported_by_job = {}
        self._reason_by_job = {}

    async def follow(self):
        """Commit what changes in the cell, then act on it, until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        tenure = self._tenure
        while True:
            request = SyncRequest(
                group=tenure.group.name,
                since=tenure.domain.cell_index,
                wait_s=SYNC_WAIT_S,
                capacity=self.capacity(),
            )
            started = monotonic()
            try:
                reply = await self._cell_call(request, timeout=SYNC_TIMEOUT_S)
            except SiskintallyError as error:
                tenure.check()
                log.info("cell not reached", error=str(error))
                await sleep(RETRY_S)
                continue
            if reply.jobs or reply.drains or reply.HasField("config"):
                await self._take(reply)
            elif monotonic() - started < RETRY_S:
                await sleep(RETRY_S)

    async def _take(self, reply):
        tenure = self._tenure
        before = tenure.domain.config.version
        answer = await tenure.commit(sync=reply)
        if answer.code != Code.DONE:
            log.error("cell item refused", code=answer.code, message=answer.message)
            await sleep(RETRY_S)
            return
        for drain in reply.drains:
            if drain.kind == "worker":
                tenure.placement.drain_worker(drain.name, draining=drain.draining)
            else:
                self._on_config()
        for item in reply.jobs:
            tenure.follow(item.job_id)
        tenure.push()
        tenure.rouse()
        if tenure.domain.config.version != before:
            self._on_config()

    def capacity(self):
        """Return the DomainCapacity of the registered workers."""
        pool = self._tenure.placement.pool
        largest = NOTHING
        for worker in pool.worker_by_name.values():
            pairs = zip(largest.key(), worker.capacity.key(), strict=True)
            cpu, memory, accelerators = (max(pair) for pair in pairs)
            largest = Size(cpu=cpu, memory=memory, accelerators=accelerators)
        return DomainCapacity(
            total=pool.capacity.message(),
            free=pool.free.message(),
            largest=largest.message(),
            workers=len(pool.worker_by_name),
        )

    async def report(self):
        """Report the progress of jobs that changed, each second, until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        while True:
            await sleep(REPORT_S)
            self._tenure.check()
            if self._tenure.review_due:
                self._tenure.review_due = False
                self._tenure.placement.review()
            await self.send_report()

    async def send_report(self):
        """Send one report of what has changed since the last; what fails is sent again."""
        tenure = self._tenure
        self._add_waiting()
        jobs = sorted(tenure.dirty)[:MAX_REPORT_JOBS]
        progress = [one for one in map(self._progress, jobs) if one is not None]
        changed = [one for one in progress if self._reported_by_job.get(one.job_id) != one]
        tenure.dirty.difference_update(jobs)
        if not changed:
            return
        try:
            await self._cell_call(
                JobReport(group=tenure.group.name, jobs=changed), timeout=REPORT_TIMEOUT_S
            )
        except NotLeaderError:
            tenure.dirty.update(jobs)
        except SiskintallyError as error:
            tenure.dirty.update(jobs)
            log.info("report not delivered", error=str(error))
        else:
            self._reported_by_job.update((one.job_id, one) for one in changed)
            for one in changed:
                job = tenure.domain.job_by_id.get(one.job_id)
                if job is None or job.is_over:
                    self._reported_by_job.pop(one.job_id)

    def _add_waiting(self):
        """Look again at jobs whose reason for waiting has changed."""
        tenure = self._tenure
        is_due = tenure.clock() - tenure.since >= NEVER_AFTER_S
        before, self._reason_by_job = self._reason_by_job, {}
        for job_id, job in tenure.placement.job_by_id.items():
            if job.reason:
                reason = self._reason_by_job[job_id] = (job.reason, job.never and is_due)
                if before.get(job_id) != reason:
                    tenure.dirty.add(job_id)

    def _progress(self, job_id):
        tenure = self._tenure
        job = tenure.domain.job_by_id.get(job_id)
        if job is None:
            return None
        progress = job.progress()
        placed = tenure.placement.job_by_id.get(job_id)
        if placed is not None and progress.waiting:
            progress.reason = placed.reason
            if placed.never and tenure.clock() - tenure.since >= NEVER_AFTER_S:
                progress.code = int(Code.NEVER_FITS)
        return progress
