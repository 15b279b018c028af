"""Jobs and tasks of a domain group: task numbering, attempt ends and progress counts.

>>> from siskintally.domain_job import DomainJob
>>> from siskintally.wire_pb2 import JobItem, JobSpec
>>> job = DomainJob(item=JobItem(job_id="j", spec=JobSpec(), tasks=2), group="g", accepted_at=0.0)
>>> job.adjust_tasks()
>>> sorted(job.task_by_id)
['j/g.0', 'j/g.1']
"""

from siskintally.domain_state_pb2 import AttemptEnd, JobState, TaskState
from siskintally.size import Size
from siskintally.wire_pb2 import JobProgress, JobSpec

# A batch or gang task that has failed this often is reported as failed. Batch tasks are retried on
# other workers where possible.
MAX_TASK_FAILURES = 5


def job_id_of(task_id):
    """Return the job id within a task id.

    >>> job_id_of("j/g.0")
    'j'
    """
    return task_id.rpartition("/")[0]


class Task:
    """A task that has not ended; it has at most one live attempt.

    :param attempt: number of the last attempt, 0 before the first.
    :param worker: worker of the live attempt, empty if the task waits.
    :param session: session of that worker, empty if the task waits.
    :param failures: number of failed attempts.
    """

    __slots__ = ("attempt", "failures", "session", "task_id", "worker")

    def __init__(self, *, task_id, attempt=0, worker="", session="", failures=0):
        self.task_id = task_id
        self.attempt = attempt
        self.worker = worker
        self.session = session
        self.failures = failures

    def state(self):
        """Return the TaskState for a snapshot."""
        return TaskState(
            task_id=self.task_id,
            attempt=self.attempt,
            worker=self.worker,
            session=self.session,
            failures=self.failures,
        )


class DomainJob:
    """The share of a job that a domain group runs.

    :param item: last JobItem received from the cell.
    :param group: group name; part of the task ids, which makes them unique in the cell.
    :param epoch: epoch of the group in which it accepted the job. Above 0 it is part of the task
        ids too, because a restored group numbers the tasks of a job from 0 again.
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
    def has_ended(self):
        """Whether all tasks have ended."""
        return not self.task_by_id

    def apply_item(self, item):
        """Apply a newer item; the size of the tasks changes only when all of them have ended."""
        if self.has_ended:
            self.need = Size.from_message(item.spec.each)
        self.item = item
        self.adjust_tasks()

    def cancel(self):
        """Cancel the job, because the group was declared lost; waiting tasks end at once."""
        self.item.cancelled = True
        self.adjust_tasks()

    def drop_spec(self):
        """Drop the spec of an ended job, which is most of its size in a snapshot."""
        self.item.ClearField("spec")

    def adjust_tasks(self):
        """Add tasks up to the number in the item; drop surplus and cancelled waiting tasks."""
        if self.item.cancelled:
            for task in self.waiting_tasks():
                del self.task_by_id[task.task_id]
                self.cancelled += 1
            return
        surplus = self.ended + len(self.task_by_id) - self.item.tasks
        for task in reversed(list(self.waiting_tasks()) if surplus > 0 else []):
            if surplus > 0:
                del self.task_by_id[task.task_id]
                surplus -= 1
        while self.ended + len(self.task_by_id) < self.item.tasks:
            group_label = f"{self.group}~{self.epoch}" if self.epoch else self.group
            task_id = f"{self.item.job_id}/{group_label}.{self.next_number}"
            self.next_number += 1
            self.task_by_id[task_id] = Task(task_id=task_id)

    def waiting_tasks(self):
        """Return the tasks without a live attempt."""
        return [task for task in self.task_by_id.values() if not task.worker]

    def end_attempt(self, task, cause):
        """End the live attempt of a task; the task ends with it or waits for another attempt."""
        task.worker = task.session = ""
        self.running -= 1
        if cause == AttemptEnd.SUCCEEDED:
            self.succeeded += 1
        elif self.item.cancelled:
            self.cancelled += 1
        elif cause == AttemptEnd.FAILED and self._record_failure(task):
            self.failed += 1
        elif self.ended + len(self.task_by_id) <= self.item.tasks:
            return
        del self.task_by_id[task.task_id]

    def _record_failure(self, task):
        """Count a failed attempt; return whether the task has failed too often to run again."""
        task.failures += 1
        return self.item.spec.kind != JobSpec.SERVICE and task.failures >= MAX_TASK_FAILURES

    def progress(self):
        """Return the task counts as a JobProgress."""
        return JobProgress(
            job_id=self.item.job_id,
            waiting=len(self.task_by_id) - self.running,
            running=self.running,
            succeeded=self.succeeded,
            failed=self.failed,
            cancelled=self.cancelled,
        )

    def state(self):
        """Return the JobState for a snapshot."""
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
    def from_state(cls, state, *, group):
        """Return the job of a JobState from a snapshot."""
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
