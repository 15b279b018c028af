"""Pure functions that derive counts and the state of a job from the progress of its shares.

>>> from siskintally.cell_state_pb2 import Job
>>> from siskintally.job_counts import job_state
>>> job_state(Job())
'waiting'
"""

from siskintally.wire_pb2 import JobSpec


def ended_tasks(progress):
    """Return the number of ended tasks in a JobProgress."""
    return progress.succeeded + progress.failed + progress.cancelled


def job_state(job):
    """Return the name of the state of a job.

    :returns: waiting, running, cancelling, succeeded, failed, cancelled, or never.
    """
    if job.code:
        return "never"
    if not job.ended:
        if job.cancelled:
            return "cancelling"
        running = any(share.progress.running for share in job.shares)
        return "running" if running else "waiting"
    parts = [job.past, *(share.progress for share in job.shares)]
    if any(part.failed for part in parts):
        return "failed"
    succeeded = sum(part.succeeded for part in parts)
    return "succeeded" if succeeded >= job.spec.tasks else "cancelled"


def share_has_ended(job, share):
    """Return whether all tasks of a share have ended."""
    progress = share.progress
    if progress.running:
        return False
    if job.cancelled and share.reported and not progress.waiting:
        # A group that received the job and its cancellation together created no tasks, so its
        # report has no ended ones.
        return True
    return ended_tasks(progress) >= share.tasks


def quota_and_demand(job):
    """Return (number of tasks that count against the quota, {group: tasks not placed yet}).

    All tasks of a gang count until the whole job ends.
    """
    total_ended = ended_tasks(job.past)
    demand_by_group = {}
    for share in job.shares:
        ended = ended_tasks(share.progress)
        total_ended += min(ended, share.tasks)
        demand_by_group[share.group] = max(0, share.tasks - ended - share.progress.running)
    if job.spec.kind == JobSpec.GANG:
        return job.spec.tasks, demand_by_group
    return job.spec.tasks - total_ended, demand_by_group
