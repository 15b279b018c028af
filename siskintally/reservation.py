"""Reservations of worker resources for jobs that have waited long.

A reservation withholds resources from other jobs but allocates nothing. The task is placed once the
resources are free, after the worker has reported the end of the tasks that used them.

>>> from siskintally.pool import Pool
>>> from siskintally.reservation import Reservations
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> gang = Job(job_id="g", kind=Kind.GANG, need=Size(cpu=1000), tasks=4, submitted=0.0)
>>> Reservations(pool=pool).reserve(gang)
True
>>> pool.best_fit(Job(job_id="b", kind=Kind.BATCH, need=Size(cpu=1), tasks=1, submitted=0.0))
"""

from collections import Counter
from heapq import heapify, heappop, heappush

from siskintally.policy import Assignment, policy_for
from siskintally.workload import Kind, Urgency

# A job that has not fitted for this long gets a reservation. Most large tasks fit earlier. With 5 s
# the resources kept idle for them cost 0.5 to 1.3 percentage points of packing on 100 workers.
RESERVE_AFTER_S = 15.0
# Jobs with reservations at a time, not counting urgent ones. Reservations keep resources idle, so
# only the jobs that were first to wait long enough get one.
MAX_RESERVATIONS = 4
# Reservations of a job compared with a worker on which a task ended; bounds the time for large
# gangs.
MAX_COMPARED_RESERVATIONS = 32


class Reservations:
    """Jobs with reserved resources.

    When a task ends, reservations move to its worker if fewer resources are missing there.

    :param pool: :class:`~siskintally.pool.Pool`.
    """

    __slots__ = ("_job_by_id", "_jobs", "_pool")

    def __init__(self, *, pool):
        self._pool = pool
        self._job_by_id = {}
        self._jobs = []

    @property
    def can_reserve(self):
        """Whether another job may get a reservation."""
        return len(self._jobs) < MAX_RESERVATIONS

    def reserve(self, job):
        """Reserve resources for all tasks of a gang, or for one task of another job.

        :returns: False if the workers or the limit on jobs with reservations do not permit it.
        """
        if not self.can_reserve:
            return False
        chosen = _choose_workers(self._pool, job, len(job.waiting) if job.kind == Kind.GANG else 1)
        for worker in chosen:
            self._pool.reserve(worker, job.need)
        job.reservations.extend(chosen)
        if not chosen:
            return False
        self.register(job)
        return True

    def register(self, job):
        """Register a job that has reservations; those of urgent jobs are never moved."""
        if job.job_id not in self._job_by_id and job.urgency != Urgency.URGENT:
            self._jobs.append(job)
        self._job_by_id[job.job_id] = job

    def release(self, job):
        """Release all reservations of a job and unregister it."""
        unreserve_all(self._pool, job)
        if self._job_by_id.pop(job.job_id, None) is not None and job in self._jobs:
            self._jobs.remove(job)

    def release_on(self, worker):
        """Release all reservations of the jobs that have one on a worker no longer available."""
        for job in list(self._job_by_id.values()):
            if worker in job.reservations:
                self.release(job)

    def place_tasks(self):
        """Place tasks that fit now; return the assignments and all jobs that had reservations."""
        jobs = list(self._job_by_id.values())
        return [assignment for job in jobs for assignment in place_reserved(self._pool, job)], jobs

    def move_to(self, worker):
        """Move reservations to a worker on which a task ended, if the shortfall is smaller there.

        Jobs that have had reservations for longer come first.
        """
        for job in self._jobs:
            while _move_reservation(self._pool, job, worker):
                pass


def _choose_workers(pool, job, wanted):
    """Return ``wanted`` workers with the smallest shortfall, repeats allowed; empty if too few."""
    candidates = [
        (_shortfall(worker, job.need, 1), worker.name, 1, worker)
        for worker in pool.worker_by_name.values()
        if _can_reserve_on(worker, job)
    ]
    heapify(candidates)
    chosen, max_by_name = [], {}
    while candidates and len(chosen) < wanted:
        _, name, count, worker = heappop(candidates)
        if name not in max_by_name:
            max_by_name[name] = _max_tasks(worker, job.need)
        if count <= max_by_name[name]:
            chosen.append(worker)
            shortfall = _shortfall(worker, job.need, count + 1)
            heappush(candidates, (shortfall, name, count + 1, worker))
    return chosen if len(chosen) == wanted else []


def _can_reserve_on(worker, job):
    return (
        worker.accepts_tasks
        and job.domain in ("", worker.domain)
        and job.need.fits_in(worker.capacity)
    )


def _max_tasks(worker, need):
    """Return how many more tasks can be reserved for, assuming that long-running tasks stay."""
    count = need.max_count_in(worker.capacity - worker.long_running() - worker.reserved)
    return min(count, 1) if worker.probing else count


def _move_reservation(pool, job, worker):
    """Move the reservation with the largest shortfall to ``worker``, if it is smaller there.

    :returns: whether a reservation was moved.
    """
    if not job.reservations or not _can_reserve_on(worker, job):
        return False
    compared = job.reservations[:MAX_COMPARED_RESERVATIONS]
    if len(job.reservations) > MAX_COMPARED_RESERVATIONS:
        # Rotates the list, so that the next call compares other reservations.
        job.reservations.extend(compared)
        del job.reservations[:MAX_COMPARED_RESERVATIONS]
    shortfalls = [_shortfall(reserved_worker, job.need, 0) for reserved_worker in compared]
    worst = max(shortfalls)
    if worst <= 0 or _shortfall(worker, job.need, 1) >= worst or not _max_tasks(worker, job.need):
        return False
    source = compared[shortfalls.index(worst)]
    if source is worker:
        return False
    pool.unreserve(source, job.need)
    pool.reserve(worker, job.need)
    job.reservations.remove(source)
    job.reservations.append(worker)
    return True


def _shortfall(worker, need, count):
    """Return the resources missing for ``count`` more tasks, as the largest share of the capacity.

    Negative if more is available than needed.
    """
    capacity, free, reserved = worker.capacity, worker.free, worker.reserved
    parts = [0.0]
    if capacity.cpu:
        parts[0] = (need.cpu * count + reserved.cpu - free.cpu) / capacity.cpu
    if capacity.memory:
        parts.append((need.memory * count + reserved.memory - free.memory) / capacity.memory)
    if need.accelerators:
        short = need.accelerators * count + reserved.accelerators - free.accelerators
        parts.append(short / capacity.accelerators)
    return max(parts)


def unreserve_all(pool, job):
    """Release all reservations of a job."""
    for worker in job.reservations:
        pool.unreserve(worker, job.need)
    job.reservations.clear()


def place_reserved(pool, job):
    """Place the tasks of a job that fit now, on reserved or other resources.

    :returns: assignments; for a gang of all tasks or of none.
    """
    if job.kind == Kind.GANG:
        if job.running or not _gang_fits(pool, job):
            return []
        unreserve_all(pool, job)
        return policy_for(job.kind).place(pool=pool, job=job, limit=len(job.waiting))
    placed = []
    for worker in _ready_workers(job):
        job.reservations.remove(worker)
        pool.unreserve(worker, job.need)
        task_id = job.waiting.popleft()
        pool.allocate(worker, task_id, job)
        placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
    policy = policy_for(job.kind)
    placed.extend(policy.place(pool=pool, job=job, limit=len(job.reservations)))
    while len(job.reservations) > len(job.waiting):
        pool.unreserve(job.reservations.pop(), job.need)
    return placed


def _gang_fits(pool, job):
    """Return whether the whole gang fits now, counting its own reservations as available."""
    own = Counter(job.reservations)
    count = 0
    for worker, reserved in own.items():
        if worker.accepts_tasks:
            fitting = job.need.max_count_in(worker.available() + job.need.scaled(reserved))
            count += min(1, fitting) if worker.probing else fitting
    if count >= len(job.waiting):
        return True
    for worker in pool.fitting(job):
        if worker not in own:
            count += 1 if worker.probing else job.need.max_count_in(worker.available())
            if count >= len(job.waiting):
                return True
    return False


def _ready_workers(job):
    ready = []
    for worker, count in Counter(job.reservations).items():
        if worker.accepts_tasks:
            ready.extend([worker] * min(count, job.need.max_count_in(worker.free)))
    return ready[: len(job.waiting)]
