"""Preemption: stops deferrable batch tasks to free resources for urgent tasks.

>>> from siskintally.pool import Pool
>>> from siskintally.preemption import preempt
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind, Urgency
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> need, low = Size(cpu=3000), Urgency.DEFERRABLE
>>> job = Job(job_id="b", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0, urgency=low)
>>> pool.take(pool.best(job), "b/0", job)
>>> preempt(pool, Job(job_id="u", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0))
['b/0']
"""

from siskintally.workload import Kind


def preempt(pool, job):
    """Choose deferrable batch tasks to stop, and reserve their resources for an urgent job.

    :returns: ids of the tasks to stop. A gang gets reservations for all its tasks or for none.
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
    """Return few preemptible tasks that free enough resources for ``need`` when they stop."""
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
    """Return the smallest task that covers the missing resources alone, otherwise the largest."""
    for held in candidates:
        if gap.within(held.job.need):
            return held
    return candidates[-1]
