"""Reservations of resources for tasks that wait.

A reservation keeps resources from other jobs. It allocates nothing: the task is placed when the
resources are free, which is after the worker has reported the end of what used them.

>>> from siskintally.pool import Pool
>>> from siskintally.preemption import reserve
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> gang = Job(job_id="g", kind=Kind.GANG, need=Size(cpu=1000), tasks=4, submitted=0.0)
>>> reserve(pool, gang)
True
>>> pool.best(Job(job_id="b", kind=Kind.BATCH, need=Size(cpu=1), tasks=1, submitted=0.0))
"""

from collections import Counter

from siskintally.policy import Assignment
from siskintally.workload import Kind


def preempt(pool, job):
    """Reserve places for the waiting tasks of an urgent job by stopping deferrable batch tasks.

    :returns: ids of the tasks to stop. A gang gets all places or none.
    """
    victims = []
    first = len(job.reservations)
    for _ in range(len(job.waiting) - len(job.reservations)):
        worker = pool.reclaim(job)
        if worker is None:
            break
        for held in _cheapest(worker, job.need):
            pool.stop(held.task_id)
            victims.append(held)
        pool.reserve(worker, job.need)
        job.reservations.append(worker)
    if job.kind == Kind.GANG and len(job.reservations) < len(job.waiting):
        for held in victims:
            pool.resume(held.task_id)
        for worker in job.reservations[first:]:
            pool.unreserve(worker, job.need)
        del job.reservations[first:]
        return []
    return [held.task_id for held in victims]


def _cheapest(worker, need):
    """Return few deferrable tasks whose end makes room for ``need``."""
    room = worker.after_stops(reclaim=False)
    candidates = [
        held for held in worker.held_by_task.values() if held.job.reclaimable and not held.stopping
    ]
    candidates.sort(key=lambda held: held.job.need.key())
    chosen = []
    while not need.within(room):
        held = _closing(candidates, need - room)
        candidates.remove(held)
        chosen.append(held)
        room += held.job.need
    for held in list(chosen):
        if need.within(room - held.job.need):
            chosen.remove(held)
            room -= held.job.need
    return chosen


def _closing(candidates, gap):
    """Return the smallest task that closes the gap alone, otherwise the largest task."""
    for held in candidates:
        if gap.within(held.job.need):
            return held
    return candidates[-1]


def reserve(pool, job):
    """Reserve places for a job that has waited long: for all tasks of a gang, otherwise for one.

    Tasks that run until stopped are not counted on to end.

    :returns: whether all reservations could be made.
    """
    wanted = len(job.waiting) if job.kind == Kind.GANG else 1
    rooms = []
    for worker in pool.worker_by_name.values():
        if worker.is_open and job.domain in ("", worker.domain):
            count = job.need.times(worker.capacity - worker.lasting() - worker.reserved)
            if count > 0:
                rooms.append((worker.available().key(), worker.name, worker, count))
    rooms.sort(reverse=True)
    chosen = []
    for _, _, worker, count in rooms:
        chosen.extend([worker] * min(count, wanted - len(chosen)))
        if len(chosen) == wanted:
            break
    if len(chosen) < wanted:
        return False
    for worker, count in Counter(chosen).items():
        for _ in range(count):
            pool.reserve(worker, job.need)
    job.reservations.extend(chosen)
    return True


def withdraw(pool, job):
    """Take back all reservations of a job."""
    for worker in job.reservations:
        pool.unreserve(worker, job.need)
    job.reservations.clear()


def place_reserved(pool, job):
    """Place the tasks whose reserved resources are free now.

    :returns: assignments; for a gang all or none.
    """
    if job.kind == Kind.GANG:
        if job.running or len(job.reservations) != len(job.waiting):
            return []
        for worker, count in Counter(job.reservations).items():
            if job.need.times(worker.free) < count:
                return []
        ready = list(job.reservations)
    else:
        ready = _free_now(job)
    placed = []
    for worker in ready:
        job.reservations.remove(worker)
        pool.unreserve(worker, job.need)
        task_id = job.waiting.popleft()
        pool.take(worker, task_id, job)
        placed.append(Assignment(task_id=task_id, job=job, worker=worker.name))
    return placed


def _free_now(job):
    ready = []
    for worker, count in Counter(job.reservations).items():
        ready.extend([worker] * min(count, job.need.times(worker.free)))
    return ready[: len(job.waiting)]
