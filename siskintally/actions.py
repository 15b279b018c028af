"""Orders that a scheduler has decided on but not yet sent, and runs that it has released.

>>> from siskintally.actions import StopAction
>>> StopAction(task_id="f.0.0.1", run=7, worker=None).run
7
"""

from enum import StrEnum
from typing import NamedTuple

from siskintally.control_pb2 import TaskStart
from siskintally.fleet import FleetWorker
from siskintally.flow import TaskRun
from siskintally.task_id import TaskId


class StartAction(NamedTuple):
    """A start order to send."""

    task: TaskRun
    worker: FleetWorker
    run: int
    ticket: str

    @property
    def flow_id(self):
        """Id of the flow that the action is for."""
        return self.task.step.flow.id

    def to_record(self):
        """Return the :class:`TaskStart` to commit before the order is sent.

        It also names the copy of the task that may still run, so that the next leader counts it.
        """
        record = _record(self.task.id, self.run, self.worker)
        for copy in self.task.copies:
            record.copy.CopyFrom(_record(copy.id, copy.run, copy.worker))
        return record


def _record(task_id, run, worker):
    return TaskStart(task=task_id, run=run, worker=worker.id, born_ms=worker.record.born_ms)


class StopAction(NamedTuple):
    """A stop order to send.

    ``is_overdue``: whether the run is listed although it should have ended before.
    """

    task_id: str
    run: int
    worker: FleetWorker
    is_overdue: bool = False

    @property
    def flow_id(self):
        """Id of the flow that the action is for."""
        task_id = TaskId.parse(self.task_id)
        return task_id.flow if task_id is not None else ""


class ThrottleAction(NamedTuple):
    """An order to send that limits a best-effort task to a share of the processor."""

    task: TaskRun
    run: int
    worker: FleetWorker
    percent: int

    @property
    def flow_id(self):
        """Id of the flow that the action is for."""
        return self.task.step.flow.id


class ReleaseCause(StrEnum):
    """Evidence on which a run counts as over although no end of it was reported."""

    # A report that should list the run does not.
    UNLISTED = "unlisted"
    LEASE_EXPIRED = "lease expired"
    # The incarnation of the worker no longer exists.
    WORKER_GONE = "worker gone"
    # The first report to this leader lacks a run that a former leader ordered.
    NOT_REPORTED = "not reported"
    # The worker refused the start.
    REFUSED = "refused"


class Release(NamedTuple):
    """A run without a reported end that the scheduler counts as over.

    ``run``: 0 if a former leader ordered it.
    """

    task_id: str
    run: int
    worker_id: str
    cause: ReleaseCause
