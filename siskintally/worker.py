"""State of one worker in the pool: free, reserved and allocated resources.

>>> from siskintally.size import Size
>>> from siskintally.worker import Worker
>>> worker = Worker(name="w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> worker.reserved = Size(cpu=1000)
>>> worker.available().cpu, worker.is_open
(3000, True)
"""

from siskintally.size import NOTHING


class Held:
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

    ``ending`` counts the resources of tasks that were ordered to stop, ``reclaimable`` those of
    other tasks that urgent jobs may preempt. A worker with ``probing`` was ejected earlier: it
    gets one task, and no other until the result of that task is known.
    """

    __slots__ = (
        "capacity",
        "connected",
        "count_by_job",
        "domain",
        "draining",
        "ejected",
        "ending",
        "free",
        "held_by_task",
        "name",
        "probing",
        "rack",
        "reclaimable",
        "reserved",
    )

    def __init__(self, *, name, domain, rack, capacity):
        self.name = name
        self.domain = domain
        self.rack = rack
        self.capacity = capacity
        self.free = capacity
        self.reserved = NOTHING
        self.ending = NOTHING
        self.reclaimable = NOTHING
        self.held_by_task = {}
        self.count_by_job = {}
        self.draining = False
        self.connected = True
        self.ejected = False
        self.probing = False

    @property
    def is_open(self):
        """Whether the worker accepts new tasks."""
        return self.connected and not (self.draining or self.ejected)

    def available(self):
        """Return the resources that are free and not reserved for a waiting task."""
        return self.free - self.reserved if self.reserved is not NOTHING else self.free

    def after_stops(self, *, reclaim):
        """Return the resources available once all stopping tasks have ended.

        :param reclaim: count every preemptible task as stopping too.
        """
        room = self.available() + self.ending
        return room + self.reclaimable if reclaim else room

    def lasting(self):
        """Return the resources of tasks that run until they are stopped, except stopping ones."""
        total = NOTHING
        for held in self.held_by_task.values():
            if held.job.lasting and not held.stopping:
                total += held.job.need
        return total
