"""Division of the tasks of a job over domain groups, and its withdrawal from lost ones.

>>> from siskintally.job_shares import JobShares
>>> JobShares.__name__
'JobShares'
"""

from siskintally.cell_state_pb2 import Share
from siskintally.errors import NeverFitsError, NotFoundError
from siskintally.job_counts import ended_tasks
from siskintally.job_split import split

WAITS_FOR_GROUP = "domain group lost: no other group can hold the tasks; restore it or cancel"


class JobShares:
    """Gives tasks to domain groups and takes them back.

    :param capacity: :class:`~siskintally.capacity.CapacityTable`.
    :param group_statuses: :class:`~siskintally.group_status.GroupStatusTable`.
    :param changes: :class:`~siskintally.job_changes.JobChanges`.
    """

    __slots__ = ("_capacity", "_changes", "_group_statuses")

    def __init__(self, *, capacity, group_statuses, changes):
        self._capacity = capacity
        self._group_statuses = group_statuses
        self._changes = changes

    def give(self, job, tasks, *, index):
        """Divide tasks over the groups that may hold them.

        If only lost groups may, the tasks wait until an operator restores one.

        :raises NeverFitsError: no group can ever hold one.
        :raises NotFoundError: no group owns the domain of the job.
        """
        refused = [share.group for share in job.shares if share.refused]
        views = self._capacity.candidates(job.spec, refused=refused)
        views = [view for view in views if not self._group_statuses.is_lost(view.name)]
        if not views:
            self._hold_back(job, tasks)
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
            self._changes.touch(job, share, index)

    def give_again(self, job, tasks, *, index):
        """Divide tasks that may have run before; they never turn into ones that never fit."""
        try:
            self.give(job, tasks, index=index)
        except (NeverFitsError, NotFoundError):
            self._hold_back(job, tasks)

    def _hold_back(self, job, tasks):
        job.unplaced += tasks
        job.reason = WAITS_FOR_GROUP

    def withdraw(self, job, groups):
        """Keep only the ended tasks of the shares of groups.

        A group that comes back follows the cell from the start, so nothing of the share is left.

        :returns: number of other tasks that they had, or None if there were no such shares.
        """
        shares = [share for share in job.shares if share.group in groups]
        left = 0
        for share in shares:
            left += max(0, share.tasks - ended_tasks(share.progress))
            job.past.succeeded += share.progress.succeeded
            job.past.failed += share.progress.failed
            job.past.cancelled += share.progress.cancelled
            self._changes.drop(job, share)
            job.shares.remove(share)
        return left if shares else None
