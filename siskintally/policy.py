"""Placement policies: how each kind of job chooses workers for its tasks.

>>> from siskintally.policy import policy_for
>>> from siskintally.workload import Kind
>>> type(policy_for(Kind.GANG)).__name__
'GangPolicy'
"""

from abc import ABC, abstractmethod

from siskintally.workload import Kind


class Assignment:
    """A task and the worker it is assigned to."""

    __slots__ = ("job", "task_id", "worker")

    def __init__(self, *, task_id, job, worker):
        self.task_id = task_id
        self.job = job
        self.worker = worker


class Policy(ABC):
    """Chooses workers for the waiting tasks of a job and allocates their resources."""

    __slots__ = ()

    @abstractmethod
    def place(self, *, pool, job, limit):
        """Remove up to ``limit`` waiting tasks from the job; return their assignments.

        :param limit: maximum number of tasks; does not apply to a gang, which is placed whole.
        """


class _PerTaskPolicy(Policy):
    __slots__ = ()

    @abstractmethod
    def choose_worker(self, pool, job):
        """Return a worker for one task, or None if it fits nowhere."""

    def place(self, *, pool, job, limit):
        """Place tasks one at a time until one fits nowhere."""
        placed = []
        while job.waiting and len(placed) < limit:
            worker = self.choose_worker(pool, job)
            if worker is None:
                break
            if worker.name in job.avoided_workers:
                others = (
                    other for other in pool.fitting(job) if other.name not in job.avoided_workers
                )
                worker = next(others, worker)
            task_id = job.waiting.popleft()
            pool.allocate(worker, task_id, job)
            placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
        return placed


class BatchPolicy(_PerTaskPolicy):
    """Best fit by the scarcer resource, which keeps large free amounts for large tasks."""

    __slots__ = ()

    def choose_worker(self, pool, job):
        """Return the worker with the tightest fit."""
        return pool.best_fit(job)


class ServicePolicy(_PerTaskPolicy):
    """Spreads tasks: fewest of the job in a failure domain, then in a rack, then on a worker."""

    __slots__ = ()

    def choose_worker(self, pool, job):
        """Return a worker where few other tasks of the job run."""
        return pool.best_spread(job)


class GangPolicy(Policy):
    """Places all tasks or none; nothing stays allocated if a part of the gang does not fit."""

    __slots__ = ()

    def place(self, *, pool, job, limit):
        """Place the whole gang, or nothing."""
        if job.running or not _gang_fits(pool, job):
            return []
        placed = []
        freed_version = pool.freed_version
        for task_id in job.waiting:
            worker = pool.best_fit(job)
            if worker is None:
                break
            pool.allocate(worker, task_id, job)
            placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
        if len(placed) < len(job.waiting):
            for assignment in placed:
                pool.release(assignment.task_id)
            pool.freed_version = freed_version
            return []
        job.waiting.clear()
        return placed


def _gang_fits(pool, job):
    """Return whether enough tasks fit, without allocating; rejects most gangs that do not fit."""
    count = 0
    for worker in pool.fitting(job):
        count += 1 if worker.probing else job.need.max_count_in(worker.available())
        if count >= len(job.waiting):
            return True
    return False


_POLICY_BY_KIND = {
    Kind.BATCH: BatchPolicy(),
    Kind.SERVICE: ServicePolicy(),
    Kind.GANG: GangPolicy(),
}


def policy_for(kind):
    """Return the policy of a kind of job."""
    return _POLICY_BY_KIND[kind]
