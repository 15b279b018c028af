"""Orders for workers that a scheduler decides on, before they are sent.

>>> from siskintally.actions import StopAction
>>> StopAction(task_id="f.0.0.1", run=7, worker=None).run
7
"""

from typing import NamedTuple

from siskintally.fleet import FleetWorker
from siskintally.flow import TaskRun


class StartAction(NamedTuple):
    """A start order that is to be sent."""

    task: TaskRun
    worker: FleetWorker
    run: int
    ticket: str


class StopAction(NamedTuple):
    """A stop order that is to be sent."""

    task_id: str
    run: int
    worker: FleetWorker


class ThrottleAction(NamedTuple):
    """An order to limit a filling task that is to be sent."""

    task: TaskRun
    run: int
    worker: FleetWorker
    percent: int
