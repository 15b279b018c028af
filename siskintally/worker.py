"""State of one worker in the pool: free, reserved and allocated resources.

>>> from siskintally.size import Size
>>> from siskintally.worker import Worker
>>> worker = Worker(name="w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> worker.reserved = Size(cpu=1000)
>>> worker.available().cpu, worker.accepts_tasks
(3000, True)
"""

from siskintally.size import NO_RESOURCES


class Allocation:
    """Resources allocated to one task on a worker until the end of the task is reported."""

    __slots__ = ("job", "stopping", "task_id", "worker")

    def __init__(self, *, task_id, job, worker):
        self.task_id = task_id
        self.job = job
        self.worker = worker
        self.stopping = False


class Worker:
    """A worker with its resources and the tasks on it.

    :param capacity: total resources of the worker.

    ``pending_release`` counts the resources of tasks that were ordered to stop, ``preemptible``
    those of other tasks that urgent jobs may preempt. A worker with ``probing`` was ejected
    earlier: it gets one task, and no other until the result of that task is known.
    """

    __slots__ = (
        "allocation_by_task",
        "capacity",
        "connected",
        "count_by_job",
        "domain",
        "draining",
        "ejected",
        "free",
        "name",
        "pending_release",
        "preemptible",
        "probing",
        "rack",
        "reserved",
    )

    def __init__(self, *, name, domain, rack, capacity):
        self.name = name
        self.domain = domain
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.reserved = NO_RESOURCES
        self.pending_release = NO_RESOURCES
        self.preemptible = NO_RESOURCES
        self.allocation_by_task = {}
        self.count_by_job = {}
        self.draining = False
        self.connected = True
        self.ejected = False
        self.probing = False

    @property
    def accepts_tasks(self):
        """Whether the worker accepts new tasks."""
        return self.connected and not (self.draining or self.ejected)

    def available(self):
        """Return the resources that are free and not reserved for a waiting task."""
        return self.free - self.reserved if self.reserved is not NO_RESOURCES else self.free

    def available_after_stops(self, *, include_preemptible):
        """Return the resources available once all stopping tasks have ended.

        :param include_preemptible: count every preemptible task as stopping too.
        """
        available = self.available() + self.pending_release
        return available + self.preemptible if include_preemptible else available

    def long_running(self):
        """Return the resources of tasks that run until they are stopped, except stopping ones."""
        total = NO_RESOURCES
        for allocation in self.allocation_by_task.values():
            if allocation.job.is_long_running and not allocation.stopping:
                total += allocation.job.need
        return total
