"""Jobs and tasks in the state of a domain group.

>>> from siskintally.domain_job import DomainJob
>>> from siskintally.wire_pb2 import JobItem, JobSpec
>>> job = DomainJob(item=JobItem(job_id="j", spec=JobSpec(), tasks=2), group="g", accepted_at=0.0)
>>> job.resize()
>>> sorted(job.task_by_id)
['j/g.0', 'j/g.1']
"""

from siskintally.domain_state_pb2 import AttemptEnd, JobState, TaskState
from siskintally.size import Size
from siskintally.wire_pb2 import JobProgress, JobSpec

# A batch task that failed this often on different workers is reported as failed.
MAX_FAILURES = 5


def job_id_of(task_id):
    """Return the job of a task.

    >>> job_id_of("j/g.0")
    'j'
    """
    return task_id.rpartition("/")[0]


class Task:
    """One task that has not ended; it has at most one live attempt.

    :param worker: worker of the live attempt, empty if the task waits.
    """

    __slots__ = ("attempt", "failures", "session", "task_id", "worker")

    def __init__(self, *, task_id, attempt=0, worker="", session="", failures=0):
        self.task_id = task_id
        self.attempt = attempt
        self.worker = worker
        self.session = session
        self.failures = failures

    def state(self):
        """Return the message for a snapshot."""
        return TaskState(
            task_id=self.task_id,
            attempt=self.attempt,
            worker=self.worker,
            session=self.session,
            failures=self.failures,
        )


class DomainJob:
    """The share of a job that a domain group runs.

    :param item: JobItem as the cell sent it last.
    :param group: group name, part of the task ids, so that they are unique in the cell.
    :param epoch: epoch of the group in which it accepted the job, also part of the task ids: a
        group that comes back numbers the tasks of a job from 0 again.
    """

    __slots__ = (
        "accepted_at",
        "cancelled",
        "epoch",
        "failed",
        "group",
        "item",
        "need",
        "next_number",
        "running",
        "succeeded",
        "task_by_id",
    )

    def __init__(self, *, item, group, accepted_at, epoch=0):
        self.item = item
        self.group = group
        self.epoch = epoch
        self.need = Size.from_message(item.spec.each)
        self.accepted_at = accepted_at
        self.next_number = 0
        self.running = 0
        self.succeeded = 0
        self.failed = 0
        self.cancelled = 0
        self.task_by_id = {}

    @property
    def ended(self):
        """Number of tasks that have ended."""
        return self.succeeded + self.failed + self.cancelled

    @property
    def is_over(self):
        """Whether no task is left."""
        return not self.task_by_id

    def follow(self, item):
        """Take a newer item; the size of a task stays while the job has any."""
        if self.is_over:
            self.need = Size.from_message(item.spec.each)
        self.item = item
        self.resize()

    def withdraw(self):
        """Drop what waits and cancel what runs, because the group was declared lost."""
        self.item.cancelled = True
        self.resize()

    def strip(self):
        """Drop the spec of an ended job, most of what it would add to a snapshot."""
        self.item.ClearField("spec")

    def resize(self):
        """Follow the item: add tasks, drop waiting ones that are too many or cancelled."""
        if self.item.cancelled:
            for task in self.waiting():
                del self.task_by_id[task.task_id]
                self.cancelled += 1
            return
        surplus = self.ended + len(self.task_by_id) - self.item.tasks
        for task in reversed(list(self.waiting()) if surplus > 0 else []):
            if surplus > 0:
                del self.task_by_id[task.task_id]
                surplus -= 1
        while self.ended + len(self.task_by_id) < self.item.tasks:
            label = f"{self.group}~{self.epoch}" if self.epoch else self.group
            task_id = f"{self.item.job_id}/{label}.{self.next_number}"
            self.next_number += 1
            self.task_by_id[task_id] = Task(task_id=task_id)

    def waiting(self):
        """Return the tasks without a live attempt."""
        return [task for task in self.task_by_id.values() if not task.worker]

    def end(self, task, cause):
        """End the live attempt of a task; the task ends too, or waits again."""
        task.worker = task.session = ""
        self.running -= 1
        if cause == AttemptEnd.SUCCEEDED:
            self.succeeded += 1
        elif self.item.cancelled:
            self.cancelled += 1
        elif cause == AttemptEnd.FAILED and self._has_failed_too_often(task):
            self.failed += 1
        elif self.ended + len(self.task_by_id) <= self.item.tasks:
            return
        del self.task_by_id[task.task_id]

    def _has_failed_too_often(self, task):
        task.failures += 1
        return self.item.spec.kind != JobSpec.SERVICE and task.failures >= MAX_FAILURES

    def progress(self):
        """Return the counts as JobProgress."""
        return JobProgress(
            job_id=self.item.job_id,
            waiting=len(self.task_by_id) - self.running,
            running=self.running,
            succeeded=self.succeeded,
            failed=self.failed,
            cancelled=self.cancelled,
        )

    def state(self):
        """Return the message for a snapshot."""
        return JobState(
            item=self.item,
            next_number=self.next_number,
            succeeded=self.succeeded,
            failed=self.failed,
            cancelled=self.cancelled,
            accepted_at=self.accepted_at,
            tasks=[task.state() for task in self.task_by_id.values()],
            epoch=self.epoch,
        )

    @classmethod
    def of(cls, state, *, group):
        """Rebuild a job from a snapshot."""
        job = cls(item=state.item, group=group, accepted_at=state.accepted_at, epoch=state.epoch)
        job.next_number = state.next_number
        job.succeeded, job.failed = state.succeeded, state.failed
        job.cancelled = state.cancelled
        for task in state.tasks:
            job.task_by_id[task.task_id] = Task(
                task_id=task.task_id,
                attempt=task.attempt,
                worker=task.worker,
                session=task.session,
                failures=task.failures,
            )
            job.running += bool(task.worker)
        return job
