"""Index of job changes: the job shares of each domain group by log index of the last change.

>>> from siskintally.job_changes import JobChanges
>>> JobChanges().latest_change("jylland")
0
"""

from siskintally.wire_pb2 import JobItem


class JobChanges:
    """Finds the job changes that a domain group has not received yet."""

    __slots__ = ("_index_by_group",)

    def __init__(self):
        self._index_by_group = {}

    def record_change(self, job, share, index):
        """Record that the desired state of a share changed at a log index."""
        share.changed_at = index
        index_by_job = self._index_by_group.setdefault(share.group, {})
        index_by_job.pop(job.job_id, None)
        index_by_job[job.job_id] = index

    def remove(self, job, share):
        """Remove a share."""
        del self._index_by_group[share.group][job.job_id]

    def latest_change(self, group):
        """Return the log index of the last change of a group's desired state, 0 if none."""
        index_by_job = self._index_by_group.get(group)
        return index_by_job[next(reversed(index_by_job))] if index_by_job else 0

    def items_since(self, group, since, job_by_id):
        """Return the JobItems of a group that changed after a log index, in order of change.

        :param job_by_id: ``{job id: Job}`` of all jobs.
        """
        items = []
        index_by_job = self._index_by_group.get(group, {})
        for job_id in reversed(index_by_job):
            if index_by_job[job_id] <= since:
                break
            job = job_by_id[job_id]
            share = next(share for share in job.shares if share.group == group)
            items.append(
                JobItem(
                    job_id=job_id,
                    spec=job.spec,
                    tasks=share.tasks,
                    cancelled=job.cancelled or not share.tasks,
                    changed_at=share.changed_at,
                )
            )
        items.reverse()
        return items

    def load(self, jobs):
        """Replace everything with the shares of restored jobs."""
        self._index_by_group = {}
        changes = [(share.changed_at, job.job_id, share) for job in jobs for share in job.shares]
        # Jobs that the same command changed are ordered by id here, but by order of change in a
        # replica that was not restored; the set of items after any index is the same.
        for index, job_id, share in sorted(changes, key=lambda change: change[:2]):
            self._index_by_group.setdefault(share.group, {})[job_id] = index
