"""Reservation of workers for large tasks, which smaller ones would keep waiting; pure logic.

A task that takes most of a worker finds room only if smaller tasks stop filling the worker.

>>> from siskintally.control_pb2 import PoolWorker
>>> from siskintally.fleet import FleetWorker, TaskResources
>>> worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=8000, accelerators=8))
>>> is_large(TaskResources(cpu_milli=1000, memory_mb=0, accelerators=4), [worker])
True
>>> is_large(TaskResources(cpu_milli=1000, memory_mb=0, accelerators=1), [worker])
False
>>> is_large(TaskResources(cpu_milli=3500, memory_mb=0, accelerators=0), [worker])
False
>>> is_large(TaskResources(cpu_milli=3500, memory_mb=0, accelerators=1), [worker])
True
"""

from math import inf

from siskintally.flow import TaskState

# Tasks of which at most this many fit on the largest worker count as large. Workers with
# accelerators are few, so a task that needs them has fewer places to go to.
LARGE_TASKS_PER_WORKER = 1
LARGE_ACCELERATED_TASKS_PER_WORKER = 2
# Least progress from which the run time of a task is derived; progress is in whole percents.
MIN_PROGRESS_PERCENT = 5


def is_large(resources, workers):
    """Return whether only few such tasks fit on any worker, by one of their resources."""
    records = [worker.record for worker in workers]
    limits = (
        (resources.cpu_milli, max((record.cpu_milli for record in records), default=0)),
        (resources.memory_mb, max((record.memory_mb for record in records), default=0)),
        (resources.accelerators, max((record.accelerators for record in records), default=0)),
    )
    count = LARGE_ACCELERATED_TASKS_PER_WORKER if resources.accelerators else LARGE_TASKS_PER_WORKER
    return any(needed and most // needed <= count for needed, most in limits)


def remaining_s(task, now):
    """Return the estimated time until the run of a task ends, s; infinite if that is not known."""
    if task.step.spec.lasting or task.state not in (TaskState.STARTING, TaskState.RUNNING):
        return inf
    return max(task.since + _run_s(task, now) - now, 0.0)


def _run_s(task, now):
    """Return the run time of a task by its progress, or by its estimate without one, s."""
    has_progress = task.percent >= MIN_PROGRESS_PERCENT and task.progress_at > task.since
    if has_progress and not task.checkpoint:
        return (task.progress_at - task.since) * 100 / task.percent
    return task.step.spec.estimate_ms / 1000 * task.worker.expected_slowdown(now)


def room_in_s(worker, resources, now):
    """Return the estimated time until a task fits if nothing else is started on a worker, s."""
    if worker.fits(resources):
        return 0.0
    free = [worker.free_cpu_milli, worker.free_memory_mb, worker.free_accelerators]
    ends = sorted((remaining_s(task, now), task.resources) for task in worker.task_by_id.values())
    for ends_in_s, freed in ends:
        free = [amount + more for amount, more in zip(free, freed, strict=True)]
        if all(amount >= needed for amount, needed in zip(free, resources, strict=True)):
            return ends_in_s
    return inf


def workers_to_reserve(step, workers, now, *, limit):
    """Return the workers to keep free for the waiting tasks of a step, or none.

    Workers with room come first, then those that a former pass has chosen, so that they get empty.
    A gang gets a worker for each member or none.

    :param workers: workers on which the tasks may run.
    :param limit: most workers to keep free.
    """
    room_by_worker = {worker: room_in_s(worker, step.resources, now) for worker in workers}
    options = sorted(
        (worker for worker, room_s in room_by_worker.items() if room_s < inf),
        key=lambda worker: (
            room_by_worker[worker] > 0.0,
            worker.id not in step.reserved_worker_ids,
            room_by_worker[worker],
            worker.id,
        ),
    )
    if step.spec.gang and min(len(options), limit) < len(step.waiting):
        return []
    return options[:limit]
