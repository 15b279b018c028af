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
from siskintally.size import NO_RESOURCES, Size
from siskintally.wire_pb2 import DomainCapacity, JobReport, SyncRequest

SYNC_WAIT_S = 5.0
SYNC_TIMEOUT_S = 10.0
RETRY_S = 0.5
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 5.0
MAX_REPORT_JOBS = 5000
# A job is reported as never fitting only this long after the term began: a large job must not be
# failed while workers are still registering.
NEVER_FITS_DELAY_S = 10.0

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

    async def run_sync(self):
        """Fetch the changes of the cell, commit and apply them, until cancelled.

        :raises NotLeaderError: leadership has ended.
        :raises OutcomeUnknownError: leadership was lost during a commit.
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
                owner_term.check_leadership()
                log.info("cell unreachable", error=str(error))
                await sleep(RETRY_S)
                continue
            if self._must_wait_for_idle(reply):
                await sleep(RETRY_S)
            elif self._has_changes(reply):
                await self._apply_reply(reply)
                self._apply_status(reply)
            elif not owner_term.may_start_tasks():
                self._apply_status(reply)
            elif monotonic() - started < RETRY_S:
                await sleep(RETRY_S)

    def _wait_s(self):
        """Return the wait of the long poll, seconds; 0 while the owner may not start tasks."""
        owner_term = self._owner_term
        return SYNC_WAIT_S if owner_term.may_start_tasks() or owner_term.domain.fenced else 0.0

    def _has_changes(self, reply):
        domain = self._owner_term.domain
        if reply.epoch != domain.epoch:
            return reply.epoch > domain.epoch
        items = reply.jobs or reply.drains or reply.HasField("config")
        return bool(items) or reply.lost != domain.fenced

    def _must_wait_for_idle(self, reply):
        """Return whether a restore of the group must wait until it is idle."""
        owner_term = self._owner_term
        same_epoch = reply.epoch == owner_term.domain.epoch
        return same_epoch and owner_term.domain.fenced and not (reply.lost or owner_term.is_idle())

    def _apply_status(self, reply):
        """Record the group's status; send pending start orders if it newly permits starts."""
        owner_term = self._owner_term
        before = owner_term.may_start_tasks()
        owner_term.status_check.record_reply(reply)
        if owner_term.may_start_tasks() and not before:
            owner_term.workers_to_push.update(owner_term.link_by_worker)
            owner_term.push_orders()
            owner_term.request_pass()

    async def _apply_reply(self, reply):
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
            owner_term.apply_group_loss()
            return
        for drain in reply.drains:
            if drain.kind == "worker":
                owner_term.placement.set_worker_draining(drain.name, draining=drain.draining)
            else:
                self._on_config()
        for item in reply.jobs:
            owner_term.apply_job(item.job_id)
        owner_term.push_orders()
        owner_term.request_pass()
        if owner_term.domain.config.version != before:
            self._on_config()

    def capacity(self):
        """Return a DomainCapacity message for the registered workers."""
        pool = self._owner_term.placement.pool
        largest = NO_RESOURCES
        for worker in pool.worker_by_name.values():
            pairs = zip(largest.as_tuple(), worker.capacity.as_tuple(), strict=True)
            cpu, memory, accelerators = (max(pair) for pair in pairs)
            largest = Size(cpu=cpu, memory=memory, accelerators=accelerators)
        return DomainCapacity(
            total=pool.capacity.to_message(),
            free=pool.free.to_message(),
            largest=largest.to_message(),
            workers=len(pool.worker_by_name),
        )

    async def run_reports(self):
        """Report the progress of changed jobs periodically, until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        while True:
            await sleep(REPORT_INTERVAL_S)
            self._owner_term.check_leadership()
            if self._owner_term.feasibility_due:
                self._owner_term.feasibility_due = False
                self._owner_term.placement.update_feasibility()
            await self.send_report()

    async def send_report(self):
        """Report the jobs changed since the last report; a failed report is repeated later."""
        owner_term = self._owner_term
        if owner_term.domain.fenced:
            owner_term.changed_jobs.clear()
            return
        self._mark_changed_reasons()
        jobs = sorted(owner_term.changed_jobs)[:MAX_REPORT_JOBS]
        reports = [report for report in map(self._progress, jobs) if report is not None]
        changed = [
            report for report in reports if self._reported_by_job.get(report.job_id) != report
        ]
        owner_term.changed_jobs.difference_update(jobs)
        if not changed:
            return
        try:
            await self._cell_call(
                JobReport(group=owner_term.group.name, jobs=changed, epoch=owner_term.domain.epoch),
                timeout=REPORT_TIMEOUT_S,
            )
        except NotLeaderError:
            owner_term.changed_jobs.update(jobs)
        except SiskintallyError as error:
            owner_term.changed_jobs.update(jobs)
            log.info("progress report failed", error=str(error))
        else:
            self._reported_by_job.update((report.job_id, report) for report in changed)
            for report in changed:
                job = owner_term.domain.job_by_id.get(report.job_id)
                if job is None or job.has_ended:
                    self._reported_by_job.pop(report.job_id)

    def _mark_changed_reasons(self):
        """Mark the jobs whose reason for waiting has changed as to be reported."""
        owner_term = self._owner_term
        is_due = owner_term.clock() - owner_term.started_at >= NEVER_FITS_DELAY_S
        before, self._reason_by_job = self._reason_by_job, {}
        for job_id, job in owner_term.placement.job_by_id.items():
            if job.reason:
                reason = self._reason_by_job[job_id] = (job.reason, job.never_fits and is_due)
                if before.get(job_id) != reason:
                    owner_term.changed_jobs.add(job_id)

    def _progress(self, job_id):
        owner_term = self._owner_term
        job = owner_term.domain.job_by_id.get(job_id)
        if job is None:
            return None
        progress = job.progress()
        placement_job = owner_term.placement.job_by_id.get(job_id)
        if placement_job is not None and progress.waiting:
            progress.reason = placement_job.reason
            if (
                placement_job.never_fits
                and owner_term.clock() - owner_term.started_at >= NEVER_FITS_DELAY_S
            ):
                progress.code = int(Code.NEVER_FITS)
        return progress
