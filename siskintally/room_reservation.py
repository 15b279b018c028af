"""Reservation of workers for large tasks, which smaller ones would keep waiting; pure logic.

A task that takes half of a worker or more finds room only if smaller tasks stop filling the worker.

>>> from siskintally.control_pb2 import PoolWorker
>>> from siskintally.fleet import FleetWorker, TaskResources
>>> worker = FleetWorker(record=PoolWorker(id="w", cpu_milli=8000, accelerators=8))
>>> is_large(TaskResources(cpu_milli=1000, memory_mb=0, accelerators=4), [worker])
True
>>> is_large(TaskResources(cpu_milli=1000, memory_mb=0, accelerators=1), [worker])
False
"""

from math import inf

from siskintally.flow import TaskState

# Share of the largest worker from which on a task counts as large.
LARGE_SHARE = 0.5


def is_large(resources, workers):
    """Return whether a task takes a large share of each worker, in any of its resources."""
    records = [worker.record for worker in workers]
    limits = (
        (resources.cpu_milli, max((record.cpu_milli for record in records), default=0)),
        (resources.memory_mb, max((record.memory_mb for record in records), default=0)),
        (resources.accelerators, max((record.accelerators for record in records), default=0)),
    )
    return any(needed and needed >= LARGE_SHARE * most for needed, most in limits)


def remaining_s(task, now):
    """Return the estimated time until the run of a task ends, s; infinite if that is not known."""
    if task.step.spec.lasting or task.state not in (TaskState.STARTING, TaskState.RUNNING):
        return inf
    run_s = task.step.spec.estimate_ms / 1000 * task.worker.expected_slowdown(now)
    return max(task.since + run_s - now, 0.0)


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


def workers_to_reserve(step, workers, now):
    """Return the workers to keep free for the waiting tasks of a step, or none.

    Workers that a former pass has chosen are kept, so that they get empty. A gang gets a worker
    for each member or none.

    :param workers: workers on which the tasks may run.
    """
    wanted_count = len(step.waiting)
    room_by_worker = {worker: room_in_s(worker, step.resources, now) for worker in workers}
    options = sorted(
        (worker for worker, room_s in room_by_worker.items() if room_s < inf),
        key=lambda worker: (
            worker.id not in step.reserved_worker_ids,
            room_by_worker[worker],
            worker.id,
        ),
    )
    if step.spec.gang and len(options) < wanted_count:
        return []
    return options[:wanted_count]
