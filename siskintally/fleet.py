"""Workers in the view of the leader: their tasks, free resources, and observed speed.

>>> from siskintally.control_pb2 import PoolWorker
>>> from siskintally.fleet import FleetWorker, TaskResources
>>> worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=4000, memory_mb=100))
>>> worker.fits(TaskResources(cpu_milli=3000, memory_mb=50, accelerators=0))
True
"""

from enum import IntEnum
from math import exp, inf
from typing import NamedTuple


class TaskResources(NamedTuple):
    """Resources that one task reserves."""

    cpu_milli: int
    memory_mb: int
    accelerators: int


def task_resources(step):
    """Return what a task of a step reserves; best-effort tasks reserve no processor time."""
    return TaskResources(0 if step.filling else step.cpu_milli, step.memory_mb, step.accelerators)


# Time constant of the exponential decay of an observed slowdown: disturbances last some seconds.
SLOWDOWN_DECAY_S = 5.0
# Weights of an observation in the average: from a finished task, and from the progress of a
# running one.
END_WEIGHT = 0.1
PROGRESS_WEIGHT = 0.4
# Bounds of a single slowdown observation, because estimates of run times are inaccurate.
MIN_SLOWDOWN = 0.3
MAX_SLOWDOWN = 8.0


class WorkerStatus(IntEnum):
    """Status of a worker in the view of the leader."""

    # It has not reported in this term, so the tasks that run there are not known.
    UNSEEN = 0
    READY = 1
    # Calls fail; no new tasks are placed there.
    SUSPECT = 2
    # Its lease has expired, so no task runs there any more.
    LAPSED = 3
    # This incarnation no longer exists.
    LOST = 4


class UnexpectedRun:
    """A reported run that the scheduler does not expect and stops.

    ``stop_confirmed_at``: steady time at which its worker confirmed the stop, infinite until then.
    """

    __slots__ = ("number", "stop_confirmed_at")

    def __init__(self, *, number):
        self.number = number
        self.stop_confirmed_at = inf


class FleetWorker:
    """One incarnation of a worker.

    ``task_by_id``: :class:`~siskintally.flow.TaskRun` objects with reserved resources.
    ``lease_expires_at``: steady time by which all runs there have ended unless the lease is
    renewed. ``unexpected_run_by_task``: :class:`UnexpectedRun` objects by task id.
    ``latency_task_count``: number of tasks with a latency target.
    ``best_effort_percent``: share of the processor that best-effort tasks may use.
    ``excluded_until``: steady time before which no new tasks are placed there. ``slowdown``: run
    time as a multiple of the estimate, averaged at steady time ``slowdown_at``.
    """

    __slots__ = (
        "best_effort_percent",
        "consecutive_failures",
        "excluded_until",
        "free_accelerators",
        "free_cpu_milli",
        "free_memory_mb",
        "latency_task_count",
        "lease_expires_at",
        "record",
        "slowdown",
        "slowdown_at",
        "status",
        "task_by_id",
        "unexpected_run_by_task",
    )

    def __init__(self, *, record):
        self.record = record
        self.task_by_id = {}
        self.unexpected_run_by_task = {}
        self.lease_expires_at = -inf
        self.status = WorkerStatus.UNSEEN
        self.free_cpu_milli = record.cpu_milli
        self.free_memory_mb = record.memory_mb
        self.free_accelerators = record.accelerators
        self.consecutive_failures = 0
        self.excluded_until = -inf
        self.slowdown = 1.0
        self.slowdown_at = 0.0
        self.best_effort_percent = 100
        self.latency_task_count = 0

    @property
    def id(self):
        """Worker id."""
        return self.record.id

    @property
    def rack(self):
        """Rack of the worker."""
        return self.record.rack

    @property
    def accepts_tasks(self):
        """Whether new tasks may be placed on the worker."""
        return (
            self.status == WorkerStatus.READY
            and not self.record.leaving
            and not self.unexpected_run_by_task
        )

    def exclude_until(self, time):
        """Place no new tasks here before a steady time, or before a later one set earlier."""
        self.excluded_until = max(self.excluded_until, time)

    def fits(self, resources):
        """Return whether a task fits into the free resources."""
        return (
            resources.cpu_milli <= self.free_cpu_milli
            and resources.memory_mb <= self.free_memory_mb
            and resources.accelerators <= self.free_accelerators
        )

    def capacity_for(self, resources):
        """Return how many tasks of that size fit into the free resources."""
        counts = [
            free // each
            for free, each in (
                (self.free_cpu_milli, resources.cpu_milli),
                (self.free_memory_mb, resources.memory_mb),
                (self.free_accelerators, resources.accelerators),
            )
            if each
        ]
        return max(min(counts, default=0), 0)

    def fits_when_empty(self, resources):
        """Return whether a task fits on the worker when it is empty."""
        record = self.record
        return (
            resources.cpu_milli <= record.cpu_milli
            and resources.memory_mb <= record.memory_mb
            and resources.accelerators <= record.accelerators
        )

    def reserve(self, task):
        """Reserve the resources of a task."""
        self.task_by_id[task.id] = task
        self.latency_task_count += bool(task.step.spec.tail_target_ms)
        self._change_reserved(task.resources, 1)

    def release(self, task):
        """Release the resources of a task that no longer runs here."""
        if self.task_by_id.pop(task.id, None) is not None:
            self.latency_task_count -= bool(task.step.spec.tail_target_ms)
            self._change_reserved(task.resources, -1)

    def tracks_run(self, task_id, run):
        """Return whether a run holds resources here or was reported without being expected."""
        reserved = self.task_by_id.get(task_id)
        is_reserved = reserved is not None and reserved.run == run
        unexpected = self.unexpected_run_by_task.get(task_id)
        return is_reserved or (unexpected is not None and unexpected.number == run)

    def _change_reserved(self, resources, sign):
        self.free_cpu_milli -= sign * resources.cpu_milli
        self.free_memory_mb -= sign * resources.memory_mb
        self.free_accelerators -= sign * resources.accelerators

    def expected_slowdown(self, now):
        """Return the expected slowdown; it decays to 1 as the last observation ages."""
        weight = exp(-max(now - self.slowdown_at, 0.0) / SLOWDOWN_DECAY_S)
        return 1.0 + (self.slowdown - 1.0) * weight

    def record_slowdown(self, ratio, weight, now):
        """Add an observed slowdown to the average.

        :param ratio: run time of a task as a multiple of its estimate.
        :param weight: share of this observation in the new average.
        """
        previous = self.expected_slowdown(now)
        self.slowdown = previous + weight * (min(max(ratio, MIN_SLOWDOWN), MAX_SLOWDOWN) - previous)
        self.slowdown_at = now

    def update(self, record):
        """Replace the record of the worker and adjust the free resources."""
        self.free_cpu_milli += record.cpu_milli - self.record.cpu_milli
        self.free_memory_mb += record.memory_mb - self.record.memory_mb
        self.free_accelerators += record.accelerators - self.record.accelerators
        self.record = record
