"""Job table of the cell: admission by quota, shares of domain groups, progress and end of jobs.

>>> from siskintally.jobs import JobTable
>>> table = JobTable()
>>> table.job_by_id, table.latest_change("jylland")
({}, 0)
"""

from siskintally.capacity import (
    GroupCapacityTable,
    JobUsage,
    QuotaUse,
    check_within_quota,
    first_above_quota,
)
from siskintally.cell_state_pb2 import Job
from siskintally.codes import Code
from siskintally.errors import (
    NeverFitsError,
    NotFoundError,
    SiskintallyError,
)
from siskintally.group_status import GroupStatusTable
from siskintally.job_changes import JobChanges
from siskintally.job_counts import ended_tasks, share_has_ended
from siskintally.job_shares import JobShares
from siskintally.wire_pb2 import JobSpec

ENDED_JOB_RETENTION_S = 24 * 3600.0
MAX_KEPT_ENDED_JOBS = 20_000
MAX_ACTIVE_JOBS = 50_000
QUOTA_WAIT_REASON = "quota"
ABOVE_QUOTA_REASON = "quota: the job is larger than the whole quota of its team"
_RANK_BY_CLASS = {JobSpec.URGENT: 0, JobSpec.NORMAL: 1, JobSpec.DEFERRABLE: 2}


class TooManyJobsError(SiskintallyError):
    """The cell has the maximum number of jobs that have not ended; nothing changed."""

    code = Code.OVERLOADED


class JobTable:
    """All jobs of the cell with their shares; every method is deterministic.

    A job is a set of tasks of one kind. Each share of it is run by one domain group.

    :param job_by_id: ``{job id: Job}`` in order of submission.
    :param capacity: last reported capacity of the domain groups.
    :param quota_use: resources that count against the quota of each team.
    :param group_statuses: which domain groups were declared lost.
    """

    __slots__ = (
        "_ended_ids",
        "_job_changes",
        "_job_shares",
        "_job_usage",
        "_waiting_by_team",
        "capacity",
        "group_statuses",
        "job_by_id",
        "quota_use",
    )

    def __init__(self):
        self.job_by_id = {}
        self.capacity = GroupCapacityTable()
        self.quota_use = QuotaUse()
        self.group_statuses = GroupStatusTable()
        self._ended_ids = {}
        self._waiting_by_team = {}
        self._job_usage = JobUsage(capacity=self.capacity, quota_use=self.quota_use)
        self._job_changes = JobChanges()
        self._job_shares = JobShares(
            capacity=self.capacity, group_statuses=self.group_statuses, changes=self._job_changes
        )

    def submit(self, spec, *, operator, index, now, quota_by_team):
        """Add a job; it is admitted at once or waits for quota.

        :param spec: JobSpec that has passed :func:`~siskintally.spec.check_spec`.
        :returns: the Job.
        :raises QuotaExceededError: the job is larger than the whole quota of its team.
        :raises NeverFitsError: all groups have reported, and no worker can ever fit a task.
        :raises NotFoundError: no group owns the failure domain that the job names.
        :raises TooManyJobsError: too many jobs have not ended.
        """
        if len(self.job_by_id) - len(self._ended_ids) >= MAX_ACTIVE_JOBS:
            raise TooManyJobsError(f"{MAX_ACTIVE_JOBS} jobs have not ended")
        check_within_quota(spec, quota_by_team.get(spec.team))
        self.capacity.candidates(spec)
        job = Job(
            job_id=f"{spec.name}-{index}",
            spec=spec,
            operator=operator,
            submitted_at=now,
            index=index,
        )
        self.job_by_id[job.job_id] = job
        self._waiting_by_team.setdefault(spec.team, {})[job.job_id] = None
        self.admit_waiting(index=index, now=now, quota_by_team=quota_by_team, teams=(spec.team,))
        return job

    def cancel(self, job_ids, prefix, *, index, now):
        """Cancel jobs given by their ids and by a prefix of ids.

        :param prefix: cancels all jobs whose id starts with it; empty: none.
        :returns: (ids cancelled now, ids that had ended, ids not found).
        """
        matching = dict.fromkeys(job_ids)
        if prefix:
            matching.update(
                dict.fromkeys(name for name in self.job_by_id if name.startswith(prefix))
            )
        cancelled, ended, missing = [], [], []
        for job_id in matching:
            job = self.job_by_id.get(job_id)
            if job is None:
                missing.append(job_id)
            elif job.ended:
                ended.append(job_id)
            else:
                self._cancel(job, index=index, now=now)
                cancelled.append(job_id)
        return cancelled, ended, missing

    def _cancel(self, job, *, index, now):
        job.cancelled = True
        self._waiting_by_team.get(job.spec.team, {}).pop(job.job_id, None)
        job.past.cancelled += job.unplaced
        job.unplaced = 0
        for share in job.shares:
            self._job_changes.record_change(job, share, index)
        if self._end_if_done(job, now):
            self._job_usage.update(job)

    def admit_waiting(self, *, index, now, quota_by_team, teams=None):
        """Admit the waiting jobs that fit in the quotas of their teams.

        Within a team no job is admitted before an earlier one of its class or any one of a higher
        class, so a stream of small jobs cannot starve a large one.

        :param teams: teams whose jobs are considered; None: all.
        """
        for team in list(self._waiting_by_team) if teams is None else teams:
            waiting = [self.job_by_id[job_id] for job_id in self._waiting_by_team.get(team, {})]
            waiting.sort(key=lambda job: (_RANK_BY_CLASS[job.spec.class_], job.index))
            quota = quota_by_team.get(team)
            is_blocked = False
            for job in waiting:
                each, tasks = job.spec.each, job.spec.tasks
                if quota is None or first_above_quota(each, tasks, quota):
                    job.reason = ABOVE_QUOTA_REASON
                elif is_blocked or not self.quota_use.fits(team, each, tasks, quota):
                    job.reason = QUOTA_WAIT_REASON
                    is_blocked = True
                else:
                    self._place(job, index=index, now=now)
            if not self._waiting_by_team.get(team):
                self._waiting_by_team.pop(team, None)

    def _place(self, job, *, index, now):
        self._waiting_by_team[job.spec.team].pop(job.job_id)
        job.reason = ""
        try:
            self._job_shares.assign(job, job.spec.tasks, index=index)
        except (NeverFitsError, NotFoundError) as error:
            self._end_as_never_fitting(job, str(error), index=index, now=now)
            return
        job.admitted = True
        self._update_derived(job, now)

    def report(self, report, *, index, now):
        """Apply a JobReport of one domain group; unknown and ended jobs are skipped."""
        for progress in report.jobs:
            job = self.job_by_id.get(progress.job_id)
            if job is None or job.ended:
                continue
            share = next((share for share in job.shares if share.group == report.group), None)
            if share is None or (share.refused and not share.tasks):
                continue
            if share.reported and ended_tasks(progress) < ended_tasks(share.progress):
                # An old report of a former leader of the group, received after a newer one.
                continue
            share.progress.CopyFrom(progress)
            share.reported = True
            if not job.unplaced:
                job.reason = progress.reason if progress.waiting or progress.code else ""
            if progress.code == Code.NEVER_FITS and not job.cancelled and not share.refused:
                self._move_refused_tasks(job, share, index=index, now=now)
            self._update_derived(job, now)

    def _move_refused_tasks(self, job, share, *, index, now):
        """Move the tasks that no worker of a group can ever fit to other groups, or end the job."""
        kept = min(share.tasks, ended_tasks(share.progress) + share.progress.running)
        moved = share.tasks - kept
        share.refused = True
        share.tasks = kept
        self._job_changes.record_change(job, share, index)
        if not moved:
            return
        try:
            self._job_shares.assign(job, moved, index=index)
        except NeverFitsError as error:
            reason = share.progress.reason or str(error)
            self._end_as_never_fitting(job, reason, index=index, now=now)

    def declare_lost(self, groups, *, index, now):
        """Declare groups lost and divide their tasks over the remaining groups.

        A task whose end was reported stays ended; any other task may run a second time.

        :returns: (number of tasks moved to other groups, number that fit in no other group).
        """
        for group in groups:
            self.group_statuses.declare_lost(group, index=index)
        moved = unplaced = 0
        for job in self.job_by_id.values():
            remaining = self._job_shares.remove_shares(job, groups)
            if job.ended or remaining is None:
                continue
            if job.cancelled:
                job.past.cancelled += remaining
            elif remaining:
                unplaced_before = job.unplaced
                self._job_shares.reassign(job, remaining, index=index)
                job.restarted += remaining
                unplaced += job.unplaced - unplaced_before
                moved += remaining - (job.unplaced - unplaced_before)
            self._update_derived(job, now)
        return moved, unplaced

    def restore(self, group, *, index, now):
        """Put a lost group back into service and divide the unplaced tasks again.

        :raises GroupInUseError: the group has not confirmed that nothing runs there.
        """
        self.group_statuses.restore(group, index=index)
        for job in self.job_by_id.values():
            if job.unplaced:
                tasks, job.unplaced, job.reason = job.unplaced, 0, ""
                self._job_shares.reassign(job, tasks, index=index)
                self._update_derived(job, now)

    def _end_as_never_fitting(self, job, reason, *, index, now):
        job.code = int(Code.NEVER_FITS)
        job.reason = reason
        self._cancel(job, index=index, now=now)

    def _update_derived(self, job, now):
        """Update a job's end, quota use and placement demand after a change of its shares."""
        self._end_if_done(job, now)
        self._job_usage.update(job)

    def _end_if_done(self, job, now):
        """End a job if all its tasks have ended; return whether it ended now."""
        is_started = job.admitted or job.cancelled
        all_ended = not job.unplaced and all(share_has_ended(job, share) for share in job.shares)
        if job.ended or not is_started or not all_ended:
            return False
        job.ended = True
        job.ended_at = now
        self._ended_ids[job.job_id] = None
        if not job.code:
            job.reason = ""
        return True

    def latest_change(self, group):
        """Return the log index of the last change of a group's desired state, 0 if none."""
        return self._job_changes.latest_change(group)

    def items_since(self, group, since):
        """Return the JobItems of a group that changed after a log index, in order of change."""
        return self._job_changes.items_since(group, since, self.job_by_id)

    def drop_old_jobs(self, now):
        """Drop jobs that ended more than 24 h ago, and the oldest ended ones above 20,000."""
        while self._ended_ids:
            job_id = next(iter(self._ended_ids))
            is_old = now - self.job_by_id[job_id].ended_at > ENDED_JOB_RETENTION_S
            if not is_old and len(self._ended_ids) <= MAX_KEPT_ENDED_JOBS:
                return
            del self._ended_ids[job_id]
            job = self.job_by_id.pop(job_id)
            for share in job.shares:
                self._job_changes.remove(job, share)

    def save(self, state):
        """Write jobs and groups into a State message."""
        state.jobs.extend(self.job_by_id.values())
        state.ended.extend(self._ended_ids)
        for info in self.capacity.info_by_group.values():
            state.groups.append(info)
            state.largest_at.append(self.capacity.largest_at[info.name])
        self.group_statuses.save(state)

    def load(self, state):
        """Replace everything with the jobs and groups of a State message."""
        self.__init__()
        for info, at in zip(state.groups, state.largest_at, strict=True):
            self.capacity.info_by_group[info.name] = info
            self.capacity.largest_at[info.name] = at
        self.group_statuses.load(state)
        self._ended_ids = dict.fromkeys(state.ended)
        for job in state.jobs:
            self.job_by_id[job.job_id] = job
            self._job_usage.update(job)
            if not job.admitted and not job.ended:
                self._waiting_by_team.setdefault(job.spec.team, {})[job.job_id] = None
        self._job_changes.load(state.jobs)
