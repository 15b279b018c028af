"""Assigns the tasks of a job to domain groups, and removes the shares of lost groups.

>>> from siskintally.job_shares import JobShares
>>> JobShares.__name__
'JobShares'
"""

from siskintally.cell_state_pb2 import Share
from siskintally.errors import NeverFitsError, NotFoundError
from siskintally.job_counts import ended_tasks
from siskintally.job_split import split

LOST_GROUP_REASON = "domain group lost: no other group can hold the tasks; restore it or cancel"


class JobShares:
    """Creates, extends and removes the shares of jobs.

    :param capacity: :class:`~siskintally.capacity.GroupCapacityTable`.
    :param group_statuses: :class:`~siskintally.group_status.GroupStatusTable`.
    :param changes: :class:`~siskintally.job_changes.JobChanges`.
    """

    __slots__ = ("_capacity", "_changes", "_group_statuses")

    def __init__(self, *, capacity, group_statuses, changes):
        self._capacity = capacity
        self._group_statuses = group_statuses
        self._changes = changes

    def assign(self, job, tasks, *, index):
        """Divide tasks over the groups with workers large enough for them.

        If only lost groups have such workers, the tasks wait until an operator restores one.

        :raises NeverFitsError: no group can ever fit a task.
        :raises NotFoundError: no group owns the failure domain that the job names.
        """
        refused = [share.group for share in job.shares if share.refused]
        views = self._capacity.candidates(job.spec, refused=refused)
        views = [view for view in views if not self._group_statuses.is_lost(view.name)]
        if not views:
            self._leave_unplaced(job, tasks)
            return
        share_by_group = {share.group: share for share in job.shares}
        present = {
            group: share.tasks - ended_tasks(share.progress)
            for group, share in share_by_group.items()
        }
        for group, number in split(job.spec, tasks, views, present=present).items():
            share = share_by_group.get(group)
            if share is None:
                job.shares.append(Share(group=group))
                share = job.shares[-1]
            share.tasks += number
            self._changes.record_change(job, share, index)

    def reassign(self, job, tasks, *, index):
        """Divide tasks that may have run before; if no group fits them, they wait."""
        try:
            self.assign(job, tasks, index=index)
        except (NeverFitsError, NotFoundError):
            self._leave_unplaced(job, tasks)

    def _leave_unplaced(self, job, tasks):
        job.unplaced += tasks
        job.reason = LOST_GROUP_REASON

    def remove_shares(self, job, groups):
        """Remove the shares of groups; their ended tasks stay counted in ``job.past``.

        A restored group syncs with the cell from the start, so the whole share can be removed.

        :returns: number of tasks in the shares that had not ended, None if there was no share.
        """
        shares = [share for share in job.shares if share.group in groups]
        remaining = 0
        for share in shares:
            remaining += max(0, share.tasks - ended_tasks(share.progress))
            job.past.succeeded += share.progress.succeeded
            job.past.failed += share.progress.failed
            job.past.cancelled += share.progress.cancelled
            self._changes.remove(job, share)
            job.shares.remove(share)
        return remaining if shares else None
