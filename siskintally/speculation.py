"""Speculative execution: second runs of tasks whose workers are unresponsive; pure logic.

The code calls the earlier run the copy; the task itself is requeued and gets a new run elsewhere.

>>> from siskintally.speculation import Speculation
>>> Speculation.__slots__
()
"""

from siskintally.flow import TaskRun, TaskState


def may_speculate(task):
    """Return whether a second run of a task may be started beside the current one."""
    spec = task.step.spec
    is_single = spec.speculative and not spec.gang and not spec.lasting
    return is_single and not task.copies and task.step.flow.is_open


class Speculation:
    """Mixin of the scheduler that requeues tasks speculatively and stops superseded runs."""

    __slots__ = ()

    def speculate(self, worker, now):
        """Requeue the tasks of an unresponsive worker whose steps allow speculative copies.

        :returns: ids of the requeued tasks.
        """
        task_ids = []
        for task in list(worker.task_by_id.values()):
            is_live = task.state in (TaskState.STARTING, TaskState.RUNNING)
            if is_live and task.copy_of is None and may_speculate(task):
                self._requeue_with_copy(task, now)
                task_ids.append(task.id)
        return task_ids

    def _requeue_with_copy(self, task, now):
        """Keep the current run as a copy and requeue the task."""
        self._convert_to_copy(task, now)
        task.state = TaskState.WAITING
        task.step.waiting.append(task)
        self._add_ready((task.step,))

    def _convert_to_copy(self, task, now):
        """Turn the current run of a task into a copy, which takes over its reservation."""
        copy = TaskRun(task_id=task.id, step=task.step, resources=task.resources)
        copy.copy_of = task
        copy.run, copy.worker, copy.since = task.run, task.worker, task.since
        copy.progress_at, copy.percent = now, task.percent
        copy.state = task.state
        task.worker.task_by_id[task.id] = copy
        task.worker = None
        task.copies.append(copy)
        if copy.state == TaskState.STARTING:
            # The start order may still be executed; after a stop the worker refuses it.
            self.stop(copy)

    def restore_copy(self, task, start, worker, now):
        """Count an earlier start of a former leader as a running copy until its worker reports.

        :param start: :class:`~siskintally.control_state.Start`.
        :param worker: its worker, None if that incarnation is gone.
        """
        if worker is None:
            return
        copy = TaskRun(task_id=task.id, step=task.step, resources=task.resources)
        copy.copy_of = task
        copy.run, copy.worker, copy.since, copy.progress_at = start.run, worker, now, now
        copy.state = TaskState.RUNNING
        worker.reserve(copy)
        counts = task.step.task_count_by_worker
        counts[worker.id] = counts.get(worker.id, 0) + 1
        task.copies.append(copy)

    def _stop_copies(self, task, now):
        """Stop all other runs of a task that is done; the first run to finish counts."""
        if task.worker is not None:
            self._convert_to_copy(task, now)
        for copy in task.copies:
            if copy.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop(copy)
