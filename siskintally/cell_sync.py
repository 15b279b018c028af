"""Sync of a domain owner with the cell: fetches jobs and settings, reports job progress.

>>> from siskintally.cell_sync import SYNC_WAIT_S
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
# A job is reported as never fitting only this long after the term began: a large job must not be
# failed while workers are still registering.
NEVER_AFTER_S = 10.0

log = get_logger("cell-sync")


class CellSync:
    """Follows the state of the cell and reports to the cell during one term as owner.

    :param owner_term: :class:`~siskintally.owner_term.OwnerTerm`.
    :param cell_call: ``async cell_call(body, timeout=seconds)`` to the leader of the cell group.
    """

    __slots__ = ("_cell_call", "_on_config", "_owner_term", "_reason_by_job", "_reported_by_job")

    def __init__(self, *, owner_term, cell_call, on_config):
        self._owner_term = owner_term
        self._cell_call = cell_call
        self._on_config = on_config
        self._reported_by_job = {}
        self._reason_by_job = {}

    async def follow(self):
        """Fetch the changes of the cell, commit and apply them, until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        owner_term = self._owner_term
        while True:
            request = SyncRequest(
                group=owner_term.group.name,
                since=owner_term.domain.cell_index,
                wait_s=self._wait_s(),
                capacity=self.capacity(),
                epoch=owner_term.domain.epoch,
                idle=owner_term.is_idle(),
            )
            started = monotonic()
            try:
                reply = await self._cell_call(request, timeout=SYNC_TIMEOUT_S)
            except SiskintallyError as error:
                owner_term.check()
                log.info("cell unreachable", error=str(error))
                await sleep(RETRY_S)
                continue
            if self._is_too_early(reply):
                await sleep(RETRY_S)
            elif self._has_news(reply):
                await self._take(reply)
                self._clear(reply)
            elif not owner_term.may_start():
                self._clear(reply)
            elif monotonic() - started < RETRY_S:
                await sleep(RETRY_S)

    def _wait_s(self):
        """Return the wait of the long poll, seconds; 0 while the owner may not start tasks."""
        owner_term = self._owner_term
        return SYNC_WAIT_S if owner_term.may_start() or owner_term.domain.fenced else 0.0

    def _has_news(self, reply):
        domain = self._owner_term.domain
        if reply.epoch != domain.epoch:
            return reply.epoch > domain.epoch
        items = reply.jobs or reply.drains or reply.HasField("config")
        return bool(items) or reply.lost != domain.fenced

    def _is_too_early(self, reply):
        """Return whether a restore of the group must wait until it is idle."""
        owner_term = self._owner_term
        same_epoch = reply.epoch == owner_term.domain.epoch
        return same_epoch and owner_term.domain.fenced and not (reply.lost or owner_term.is_idle())

    def _clear(self, reply):
        """Record the group's status; send pending start orders if it newly permits starts."""
        owner_term = self._owner_term
        before = owner_term.may_start()
        owner_term.status_check.record_reply(reply)
        if owner_term.may_start() and not before:
            owner_term.unsent.update(owner_term.link_by_worker)
            owner_term.push()
            owner_term.request_pass()

    async def _take(self, reply):
        owner_term = self._owner_term
        before, epoch = owner_term.domain.config.version, owner_term.domain.epoch
        answer = await owner_term.commit(sync=reply)
        if answer.code != Code.DONE:
            log.error("cell changes refused", code=answer.code, message=answer.message)
            await sleep(RETRY_S)
            return
        if owner_term.domain.epoch != epoch:
            log.error("declared lost, all tasks end", epoch=owner_term.domain.epoch)
            self._reported_by_job.clear()
            owner_term.withdraw()
            return
        for drain in reply.drains:
            if drain.kind == "worker":
                owner_term.placement.set_worker_draining(drain.name, draining=drain.draining)
            else:
                self._on_config()
        for item in reply.jobs:
            owner_term.follow(item.job_id)
        owner_term.push()
        owner_term.request_pass()
        if owner_term.domain.config.version != before:
            self._on_config()

    def capacity(self):
        """Return a DomainCapacity message for the registered workers."""
        pool = self._owner_term.placement.pool
        largest = NOTHING
        for worker in pool.worker_by_name.values():
            pairs = zip(largest.key(), worker.capacity.key(), strict=True)
            cpu, memory, accelerators = (max(pair) for pair in pairs)
            largest = Size(cpu=cpu, memory=memory, accelerators=accelerators)
        return DomainCapacity(
            total=pool.capacity.to_message(),
            free=pool.free.to_message(),
            largest=largest.to_message(),
            workers=len(pool.worker_by_name),
        )

    async def report(self):
        """Report the progress of changed jobs every ``REPORT_S`` seconds until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        while True:
            await sleep(REPORT_S)
            self._owner_term.check()
            if self._owner_term.review_due:
                self._owner_term.review_due = False
                self._owner_term.placement.update_feasibility()
            await self.send_report()

    async def send_report(self):
        """Report the jobs changed since the last report; a failed report is repeated later."""
        owner_term = self._owner_term
        if owner_term.domain.fenced:
            owner_term.dirty.clear()
            return
        self._add_waiting()
        jobs = sorted(owner_term.dirty)[:MAX_REPORT_JOBS]
        progress = [one for one in map(self._progress, jobs) if one is not None]
        changed = [one for one in progress if self._reported_by_job.get(one.job_id) != one]
        owner_term.dirty.difference_update(jobs)
        if not changed:
            return
        try:
            await self._cell_call(
                JobReport(group=owner_term.group.name, jobs=changed, epoch=owner_term.domain.epoch),
                timeout=REPORT_TIMEOUT_S,
            )
        except NotLeaderError:
            owner_term.dirty.update(jobs)
        except SiskintallyError as error:
            owner_term.dirty.update(jobs)
            log.info("progress report failed", error=str(error))
        else:
            self._reported_by_job.update((one.job_id, one) for one in changed)
            for one in changed:
                job = owner_term.domain.job_by_id.get(one.job_id)
                if job is None or job.is_over:
                    self._reported_by_job.pop(one.job_id)

    def _add_waiting(self):
        """Mark the jobs whose reason for waiting has changed as to be reported."""
        owner_term = self._owner_term
        is_due = owner_term.clock() - owner_term.since >= NEVER_AFTER_S
        before, self._reason_by_job = self._reason_by_job, {}
        for job_id, job in owner_term.placement.job_by_id.items():
            if job.reason:
                reason = self._reason_by_job[job_id] = (job.reason, job.never_fits and is_due)
                if before.get(job_id) != reason:
                    owner_term.dirty.add(job_id)

    def _progress(self, job_id):
        owner_term = self._owner_term
        job = owner_term.domain.job_by_id.get(job_id)
        if job is None:
            return None
        progress = job.progress()
        placed = owner_term.placement.job_by_id.get(job_id)
        if placed is not None and progress.waiting:
            progress.reason = placed.reason
            if placed.never_fits and owner_term.clock() - owner_term.since >= NEVER_AFTER_S:
                progress.code = int(Code.NEVER_FITS)
        return progress
