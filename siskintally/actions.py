"""Start, stop, and throttle orders that a scheduler has decided on but not yet sent.

>>> from siskintally.actions import StopAction
>>> StopAction(task_id="f.0.0.1", run=7, worker=None).run
7
"""

from typing import NamedTuple

from siskintally.fleet import FleetWorker
from siskintally.flow import TaskRun


class StartAction(NamedTuple):
    """A start order to send."""

    task: TaskRun
    worker: FleetWorker
    run: int
    ticket: str


class StopAction(NamedTuple):
    """A stop order to send.

    ``is_overdue``: whether the run is listed although it should have ended before.
    """

    task_id: str
    run: int
    worker: FleetWorker
    is_overdue: bool = False


class ThrottleAction(NamedTuple):
    """An order to send that limits a best-effort task to a share of the processor."""

    task: TaskRun
    run: int
    worker: FleetWorker
    percent: int
