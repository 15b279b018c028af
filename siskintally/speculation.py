"""Copies of tasks that race with a run on a worker that has gone silent; pure.

>>> from siskintally.speculation import Speculation
>>> Speculation.__slots__
()
"""

from siskintally.flow import TaskRun, TaskState


def may_speculate(task):
    """Tell whether a second run of a task may be started beside the one that it has."""
    spec = task.step.spec
    is_single = spec.speculative and not spec.gang and not spec.lasting
    return is_single and not task.copies and task.step.flow.is_open


class Speculation:
    """The part of a scheduler that starts copies and ends the ones that lost."""

    __slots__ = ()

    def race(self, worker, now):
        """Let tasks of a silent worker start elsewhere, where their steps allow copies.

        :returns: ids of the tasks.
        """
        raced = []
        for task in list(worker.held_by_task.values()):
            is_live = task.state in (TaskState.STARTING, TaskState.RUNNING)
            if is_live and task.copy_of is None and may_speculate(task):
                self._leave_copy(task, now)
                raced.append(task.id)
        return raced

    def _leave_copy(self, task, now):
        """Keep the present run as a copy, and let the task wait again."""
        self._set_aside(task, now)
        task.state = TaskState.WAITING
        task.step.waiting.append(task)
        self._ready((task.step,))

    def _set_aside(self, task, now):
        """Turn the present run of a task into a copy that holds its room."""
        copy = TaskRun(task_id=task.id, step=task.step, need=task.need)
        copy.copy_of = task
        copy.run, copy.worker, copy.since = task.run, task.worker, task.since
        copy.progress_at, copy.percent = now, task.percent
        copy.state = task.state
        task.worker.held_by_task[task.id] = copy
        task.worker = None
        task.copies.append(copy)
        if copy.state == TaskState.STARTING:
            # The order may still be carried out; a stop makes the worker refuse it.
            self.stop(copy)

    def _end_copies(self, task, now):
        """Stop every other run of a task that is done; the first end has won."""
        if task.worker is not None:
            self._set_aside(task, now)
        for copy in task.copies:
            if copy.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop(copy)
