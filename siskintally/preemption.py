"""Preemption: stops deferrable batch tasks to free resources for urgent tasks.

>>> from siskintally.pool import Pool
>>> from siskintally.preemption import preempt
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind, Urgency
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> need, low = Size(cpu=3000), Urgency.DEFERRABLE
>>> job = Job(job_id="b", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0, urgency=low)
>>> pool.allocate(pool.best_fit(job), "b/0", job)
>>> preempt(pool, Job(job_id="u", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0))
['b/0']
"""

from siskintally.workload import Kind


def preempt(pool, job):
    """Choose deferrable batch tasks to stop, and reserve resources on their workers for a job.

    :param job: an urgent job.

    :returns: ids of the tasks to stop. A gang gets reservations for all its tasks or for none.
    """
    victims = []
    previous_count = len(job.reservations)
    for _ in range(len(job.waiting) - len(job.reservations)):
        worker = pool.best_fit_after_preemption(job)
        if worker is None:
            break
        for allocation in _choose_victims(worker, job.need):
            pool.mark_stopping(allocation.task_id)
            victims.append(allocation)
        pool.reserve(worker, job.need)
        job.reservations.append(worker)
    if job.kind == Kind.GANG and len(job.reservations) < len(job.waiting):
        for allocation in victims:
            pool.unmark_stopping(allocation.task_id)
        for worker in job.reservations[previous_count:]:
            pool.unreserve(worker, job.need)
        del job.reservations[previous_count:]
        return []
    return [allocation.task_id for allocation in victims]


def _choose_victims(worker, need):
    """Return few preemptible tasks that free enough resources for ``need`` when they stop."""
    available = worker.available_after_stops(include_preemptible=False)
    candidates = [
        allocation
        for allocation in worker.allocation_by_task.values()
        if allocation.job.is_preemptible and not allocation.stopping
    ]
    candidates.sort(key=lambda allocation: allocation.job.need.as_tuple())
    chosen = []
    while not need.fits_in(available):
        allocation = _best_victim(candidates, need - available)
        candidates.remove(allocation)
        chosen.append(allocation)
        available += allocation.job.need
    for allocation in list(chosen):
        if need.fits_in(available - allocation.job.need):
            chosen.remove(allocation)
            available -= allocation.job.need
    return chosen


def _best_victim(candidates, gap):
    """Return the smallest task that covers the missing resources alone, otherwise the largest."""
    for allocation in candidates:
        if gap.fits_in(allocation.job.need):
            return allocation
    return candidates[-1]
