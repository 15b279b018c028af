"""Worker pool of a domain group: allocations, and searches for free resources.

>>> from siskintally.pool import Pool
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> job = Job(job_id="j", kind=Kind.BATCH, need=Size(cpu=3000), tasks=2, submitted=0.0)
>>> worker = pool.best_fit(job)
>>> pool.allocate(worker, "j/0", job)
>>> worker.free.cpu, pool.best_fit(job)
(1000, None)
"""

from itertools import islice

from siskintally.errors import SiskintallyError
from siskintally.size import NO_RESOURCES
from siskintally.worker import Allocation, Worker
from siskintally.worker_index import WorkerIndex

# Fitting workers compared when a service task is placed; comparing more takes time and hardly
# improves the spread.
MAX_COMPARED_WORKERS = 256


class OvercommitError(SiskintallyError):
    """An allocation was refused: it exceeds the free resources or the task has one already."""


class Pool:
    """All workers of a domain group.

    ``freed_version`` grows whenever a task that did not fit before may fit now.
    ``preemptible_version`` grows whenever a preemptible task is placed. A change of either shows
    that a failed search is worth repeating.
    """

    __slots__ = (
        "_index_by_domain",
        "_preemption_index_by_domain",
        "allocation_by_task",
        "capacity",
        "free",
        "freed_version",
        "preemptible_version",
        "worker_by_name",
    )

    def __init__(self):
        self.worker_by_name = {}
        self.allocation_by_task = {}
        self.capacity = NO_RESOURCES
        self.free = NO_RESOURCES
        self.freed_version = 0
        self.preemptible_version = 0
        self._index_by_domain = {}
        self._preemption_index_by_domain = {}

    def add(self, name, *, domain, rack, capacity):
        """Add a worker that runs no tasks."""
        worker = Worker(name=name, domain=domain, rack=rack, capacity=capacity)
        self.worker_by_name[name] = worker
        self.capacity += capacity
        self.free += capacity
        if domain not in self._index_by_domain:
            self._index_by_domain[domain] = WorkerIndex()
            self._preemption_index_by_domain[domain] = WorkerIndex()
        self.update_indexes(worker)

    def remove(self, name):
        """Remove a lost worker; return the ids of the tasks that were allocated on it."""
        worker = self.worker_by_name[name]
        tasks = list(worker.allocation_by_task)
        for task_id in tasks:
            self.release(task_id)
        worker.draining = True
        self.update_indexes(worker)
        del self.worker_by_name[name]
        self.capacity -= worker.capacity
        self.free -= worker.free
        return tasks

    def update_indexes(self, worker):
        """Update the indexes after a worker has changed."""
        index = self._index_by_domain[worker.domain]
        accelerated = worker.capacity.accelerators > 0
        size = worker.available() if worker.accepts_tasks else None
        if size is not None and min(size.as_tuple()) < 0:
            size = None
        index.put(worker, size, accelerated=accelerated)
        preemption_index = self._preemption_index_by_domain[worker.domain]
        available_after = None
        if worker.accepts_tasks and worker.preemptible != NO_RESOURCES:
            available_after = worker.available_after_stops(include_preemptible=True)
            available_after = available_after if min(available_after.as_tuple()) >= 0 else None
        preemption_index.put(worker, available_after, accelerated=accelerated)

    def allocate(self, worker, task_id, job):
        """Allocate resources to a task; the only method that allocates.

        :raises OvercommitError: the task does not fit or has resources allocated already.
        """
        left = worker.free - job.need
        if left.cpu < 0 or left.memory < 0 or left.accelerators < 0:
            raise OvercommitError(
                f"{task_id} needs {job.need}, {worker.name} has {worker.free} free"
            )
        if task_id in self.allocation_by_task:
            raise OvercommitError(f"{task_id} already has resources allocated")
        allocation = Allocation(task_id=task_id, job=job, worker=worker)
        self.allocation_by_task[task_id] = worker.allocation_by_task[task_id] = allocation
        worker.free = left
        self.free -= job.need
        if job.is_preemptible:
            worker.preemptible += job.need
            self.preemptible_version += 1
        _change_count(worker.count_by_job, job.job_id, 1)
        _change_count(job.count_by_rack, (worker.domain, worker.rack), 1)
        _change_count(job.count_by_domain, worker.domain, 1)
        job.running.add(task_id)
        worker.ejected = worker.ejected or worker.probing
        self.update_indexes(worker)

    def release(self, task_id):
        """Free the resources of a task that certainly no longer runs.

        :returns: the allocation, or None if the task had none.
        """
        allocation = self.allocation_by_task.pop(task_id, None)
        if allocation is None:
            return None
        worker, job = allocation.worker, allocation.job
        del worker.allocation_by_task[task_id]
        worker.free += job.need
        self.free += job.need
        if allocation.stopping:
            worker.pending_release -= job.need
        elif job.is_preemptible:
            worker.preemptible -= job.need
        _change_count(worker.count_by_job, job.job_id, -1)
        _change_count(job.count_by_rack, (worker.domain, worker.rack), -1)
        _change_count(job.count_by_domain, worker.domain, -1)
        job.running.discard(task_id)
        worker.ejected = worker.ejected and not worker.probing
        self.freed_version += 1
        self.update_indexes(worker)
        return allocation

    def mark_stopping(self, task_id):
        """Mark a task as stopping; its resources stay allocated until :meth:`release`."""
        allocation = self.allocation_by_task[task_id]
        if not allocation.stopping:
            self._set_stopping(allocation, stopping=True)

    def unmark_stopping(self, task_id):
        """Undo :meth:`mark_stopping` for a task whose stop order was not sent."""
        allocation = self.allocation_by_task[task_id]
        if allocation.stopping:
            self._set_stopping(allocation, stopping=False)

    def _set_stopping(self, allocation, *, stopping):
        worker, need = allocation.worker, allocation.job.need
        allocation.stopping = stopping
        worker.pending_release = (
            worker.pending_release + need if stopping else worker.pending_release - need
        )
        if allocation.job.is_preemptible:
            preemptible = worker.preemptible - need if stopping else worker.preemptible + need
            worker.preemptible = preemptible
        self.update_indexes(worker)

    def reserve(self, worker, need):
        """Withhold resources of a worker, also ones not free yet, from other tasks."""
        worker.reserved += need
        self.update_indexes(worker)

    def unreserve(self, worker, need):
        """Release a reservation."""
        left = worker.reserved - need
        worker.reserved = NO_RESOURCES if left == NO_RESOURCES else left
        self.freed_version += 1
        self.update_indexes(worker)

    def set_flags(self, worker, *, draining=None, ejected=None, connected=None):
        """Set the flags that decide whether a worker accepts new tasks."""
        if connected is not None:
            worker.connected = connected
        if draining is not None:
            worker.draining = draining
        if ejected is not None:
            worker.ejected = ejected
        self.freed_version += worker.accepts_tasks
        self.update_indexes(worker)

    def memory_is_scarcer(self):
        """Return whether a larger share of the memory than of the processors is in use."""
        total, free = self.capacity, self.free
        return free.memory * total.cpu < free.cpu * total.memory

    def _domains(self, job):
        if job.domain:
            return (job.domain,) if job.domain in self._index_by_domain else ()
        return self._index_by_domain

    def best_fit(self, job):
        """Return the worker with the tightest fit for a task of the job, or None."""
        by_memory = self.memory_is_scarcer()
        found = None
        for domain in self._domains(job):
            worker = self._index_by_domain[domain].best_fit(job.need, by_memory=by_memory)
            if worker is not None and (found is None or _tighter(worker, found, by_memory)):
                found = worker
        return found

    def fitting(self, job):
        """Yield the workers that a task of the job fits on now, tightest size classes first."""
        for domain in self._domains(job):
            yield from self._index_by_domain[domain].fitting(job.need)

    def best_fit_after_preemption(self, job):
        """Return a worker that a task fits on once preemptible tasks have stopped, or None.

        It has the tightest fit in its failure domain; the domains are not compared.
        """
        for domain in self._domains(job):
            worker = self._preemption_index_by_domain[domain].best_fit(job.need)
            if worker is not None:
                return worker
        return None

    def best_spread(self, job):
        """Return a worker in the domain and rack with the fewest tasks of the job, or None."""
        counts = job.count_by_domain
        for domain in sorted(self._domains(job), key=lambda name: counts.get(name, 0)):
            worker = self._best_spread_in(domain, job)
            if worker is not None:
                return worker
        return None

    def _best_spread_in(self, domain, job):
        found, fewest = None, None
        for worker in islice(self._index_by_domain[domain].fitting(job.need), MAX_COMPARED_WORKERS):
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


def _change_count(counts, key, change):
    number = counts.get(key, 0) + change
    if number:
        counts[key] = number
    else:
        del counts[key]
