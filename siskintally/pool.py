"""Worker pool of a domain group: allocations, and searches for free resources.

>>> from siskintally.pool import Pool
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> job = Job(job_id="j", kind=Kind.BATCH, need=Size(cpu=3000), tasks=2, submitted=0.0)
>>> worker = pool.best(job)
>>> pool.take(worker, "j/0", job)
>>> worker.free.cpu, pool.best(job)
(1000, None)
"""

from itertools import islice

from siskintally.errors import SiskintallyError
from siskintally.size import NOTHING
from siskintally.worker import Held, Worker
from siskintally.worker_index import WorkerIndex

# Workers with enough free resources compared to spread a service; more cost time and hardly help.
MAX_COMPARED = 256


class OvercommitError(SiskintallyError):
    """An allocation was refused: it exceeds the free resources or the task has one already."""


class Pool:
    """All workers of a domain group.

    ``freed`` grows whenever a task that did not fit before may fit now. ``offered`` grows whenever
    a preemptible task is placed. Both show that a failed search is worth repeating.
    """

    __slots__ = (
        "_index_by_domain",
        "_reclaim_by_domain",
        "capacity",
        "free",
        "freed",
        "held_by_task",
        "offered",
        "worker_by_name",
    )

    def __init__(self):
        self.worker_by_name = {}
        self.held_by_task = {}
        self.capacity = NOTHING
        self.free = NOTHING
        self.freed = 0
        self.offered = 0
        self._index_by_domain = {}
        self._reclaim_by_domain = {}

    def add(self, name, *, domain, rack, capacity):
        """Add a worker that runs no tasks."""
        worker = Worker(name=name, domain=domain, rack=rack, capacity=capacity)
        self.worker_by_name[name] = worker
        self.capacity += capacity
        self.free += capacity
        if domain not in self._index_by_domain:
            self._index_by_domain[domain] = WorkerIndex()
            self._reclaim_by_domain[domain] = WorkerIndex()
        self.refresh(worker)

    def remove(self, name):
        """Remove a lost worker; return the ids of the tasks that were allocated on it."""
        worker = self.worker_by_name[name]
        tasks = list(worker.held_by_task)
        for task_id in tasks:
            self.release(task_id)
        worker.draining = True
        self.refresh(worker)
        del self.worker_by_name[name]
        self.capacity -= worker.capacity
        self.free -= worker.free
        return tasks

    def refresh(self, worker):
        """Update the indexes after a worker has changed."""
        index = self._index_by_domain[worker.domain]
        accelerated = worker.capacity.accelerators > 0
        size = worker.available() if worker.is_open else None
        if size is not None and min(size.key()) < 0:
            size = None
        index.put(worker, size, accelerated=accelerated)
        reclaim = self._reclaim_by_domain[worker.domain]
        after = None
        if worker.is_open and worker.reclaimable != NOTHING:
            after = worker.after_stops(reclaim=True)
            after = after if min(after.key()) >= 0 else None
        reclaim.put(worker, after, accelerated=accelerated)

    def take(self, worker, task_id, job):
        """Allocate resources to a task; nothing else allocates.

        :raises OvercommitError: the task does not fit or has resources allocated already.
        """
        left = worker.free - job.need
        if left.cpu < 0 or left.memory < 0 or left.accelerators < 0:
            raise OvercommitError(
                f"{task_id} needs {job.need}, {worker.name} has {worker.free} free"
            )
        if task_id in self.held_by_task:
            raise OvercommitError(f"{task_id} already has resources allocated")
        held = Held(task_id=task_id, job=job, worker=worker)
        self.held_by_task[task_id] = worker.held_by_task[task_id] = held
        worker.free = left
        self.free -= job.need
        if job.reclaimable:
            worker.reclaimable += job.need
            self.offered += 1
        _count(worker.count_by_job, job.job_id, 1)
        _count(job.count_by_rack, (worker.domain, worker.rack), 1)
        _count(job.count_by_domain, worker.domain, 1)
        job.running.add(task_id)
        worker.ejected = worker.ejected or worker.probing
        self.refresh(worker)

    def release(self, task_id):
        """Free the resources of a task that certainly no longer runs.

        :returns: the allocation, or None if the task had none.
        """
        held = self.held_by_task.pop(task_id, None)
        if held is None:
            return None
        worker, job = held.worker, held.job
        del worker.held_by_task[task_id]
        worker.free += job.need
        self.free += job.need
        if held.stopping:
            worker.ending -= job.need
        elif job.reclaimable:
            worker.reclaimable -= job.need
        _count(worker.count_by_job, job.job_id, -1)
        _count(job.count_by_rack, (worker.domain, worker.rack), -1)
        _count(job.count_by_domain, worker.domain, -1)
        job.running.discard(task_id)
        worker.ejected = worker.ejected and not worker.probing
        self.freed += 1
        self.refresh(worker)
        return held

    def stop(self, task_id):
        """Mark a task as stopping; its resources stay allocated until :meth:`release`."""
        held = self.held_by_task[task_id]
        if not held.stopping:
            self._mark(held, stopping=True)

    def resume(self, task_id):
        """Undo :meth:`stop` for a task whose stop order was not sent."""
        held = self.held_by_task[task_id]
        if held.stopping:
            self._mark(held, stopping=False)

    def _mark(self, held, *, stopping):
        worker, need = held.worker, held.job.need
        held.stopping = stopping
        worker.ending = worker.ending + need if stopping else worker.ending - need
        if held.job.reclaimable:
            change = worker.reclaimable - need if stopping else worker.reclaimable + need
            worker.reclaimable = change
        self.refresh(worker)

    def reserve(self, worker, need):
        """Withhold resources of a worker, also ones not free yet, from other tasks."""
        worker.reserved += need
        self.refresh(worker)

    def unreserve(self, worker, need):
        """Release a reservation."""
        left = worker.reserved - need
        worker.reserved = NOTHING if left == NOTHING else left
        self.freed += 1
        self.refresh(worker)

    def open(self, worker, *, draining=None, ejected=None, connected=None):
        """Set the flags that decide whether a worker accepts new tasks."""
        if connected is not None:
            worker.connected = connected
        if draining is not None:
            worker.draining = draining
        if ejected is not None:
            worker.ejected = ejected
        self.freed += worker.is_open
        self.refresh(worker)

    def memory_is_scarcer(self):
        """Return whether a larger share of the memory than of the processors is in use."""
        total, free = self.capacity, self.free
        return free.memory * total.cpu < free.cpu * total.memory

    def _domains(self, job):
        if job.domain:
            return (job.domain,) if job.domain in self._index_by_domain else ()
        return self._index_by_domain

    def best(self, job):
        """Return the worker with the tightest fit for a task of the job, or None."""
        by_memory = self.memory_is_scarcer()
        found = None
        for domain in self._domains(job):
            worker = self._index_by_domain[domain].best(job.need, by_memory=by_memory)
            if worker is not None and (found is None or _tighter(worker, found, by_memory)):
                found = worker
        return found

    def fitting(self, job):
        """Yield the workers that a task of the job fits on now, tightest size classes first."""
        for domain in self._domains(job):
            yield from self._index_by_domain[domain].fitting(job.need)

    def reclaim(self, job):
        """Return the worker with the tightest fit if its preemptible tasks are stopped, or None."""
        for domain in self._domains(job):
            worker = self._reclaim_by_domain[domain].best(job.need)
            if worker is not None:
                return worker
        return None

    def spread(self, job):
        """Return a worker in the domain and rack with the fewest tasks of the job, or None."""
        counts = job.count_by_domain
        for domain in sorted(self._domains(job), key=lambda name: counts.get(name, 0)):
            worker = self._spread_in(domain, job)
            if worker is not None:
                return worker
        return None

    def _spread_in(self, domain, job):
        found, fewest = None, None
        for worker in islice(self._index_by_domain[domain].fitting(job.need), MAX_COMPARED):
            count = job.count_by_rack.get((domain, worker.rack), 0)
            if not count:
                return worker
            rank = (count, worker.count_by_job.get(job.job_id, 0))
            if fewest is None or rank < fewest:
                found, fewest = worker, rank
        return found


def _tighter(worker, other, by_memory):
    if by_memory:
        return worker.free.memory < other.free.memory
    return worker.free.cpu < other.free.cpu


def _count(counts, key, change):
    number = counts.get(key, 0) + change
    if number:
        counts[key] = number
    else:
        del counts[key]
