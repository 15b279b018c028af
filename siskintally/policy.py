"""How the tasks of one job are put on workers, by kind of job.

>>> from siskintally.policy import policy_for
>>> from siskintally.workload import Kind
>>> type(policy_for(Kind.GANG)).__name__
'GangPolicy'
"""

from abc import ABC, abstractmethod

from siskintally.workload import Kind


class Assignment:
    """A task and the worker it was given."""

    __slots__ = ("job", "task_id", "worker")

    def __init__(self, *, task_id, job, worker):
        self.task_id = task_id
        self.job = job
        self.worker = worker


class Policy(ABC):
    """Chooses workers for the waiting tasks of a job and takes their resources."""

    __slots__ = ()

    @abstractmethod
    def place(self, *, pool, job, limit):
        """Return assignments for up to ``limit`` waiting tasks; the tasks no longer wait.

        :param limit: number of tasks; a gang is placed whole even if it is larger.
        """


class _OneByOne(Policy):
    __slots__ = ()

    @abstractmethod
    def choose(self, pool, job):
        """Return a worker for one task, or None."""

    def place(self, *, pool, job, limit):
        """Place tasks one after the other."""
        placed = []
        while job.waiting and len(placed) < limit:
            worker = self.choose(pool, job)
            if worker is None:
                break
            if worker.name in job.avoid:
                others = (one for one in pool.fitting(job) if one.name not in job.avoid)
                worker = next(others, worker)
            task_id = job.waiting.popleft()
            pool.take(worker, task_id, job)
            placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
        return placed


class BatchPolicy(_OneByOne):
    """Best fit on the scarcer resource, so that large holes stay for large tasks."""

    __slots__ = ()

    def choose(self, pool, job):
        """Return the tightest worker."""
        return pool.best(job)


class ServicePolicy(_OneByOne):
    """Fewest tasks of the same job in a domain, then in a rack, then on a worker."""

    __slots__ = ()

    def choose(self, pool, job):
        """Return a worker far from the other tasks of the job."""
        return pool.spread(job)


class GangPolicy(Policy):
    """All tasks or none; nothing is held while a part of the gang has no room."""

    __slots__ = ()

    def place(self, *, pool, job, limit):
        """Place the whole gang in one decision, or nothing."""
        if job.running or not _has_room(pool, job):
            return []
        placed = []
        freed = pool.freed
        for task_id in job.waiting:
            worker = pool.best(job)
            if worker is None:
                break
            pool.take(worker, task_id, job)
            placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
        if len(placed) < len(job.waiting):
            for assignment in placed:
                pool.release(assignment.task_id)
            pool.freed = freed
            return []
        job.waiting.clear()
        return placed


def _has_room(pool, job):
    """Count places without taking any; most gangs that do not fit are refused here."""
    count = 0
    for worker in pool.fitting(job):
        count += 1 if worker.probing else job.need.times(worker.available())
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
