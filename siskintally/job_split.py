"""Pure functions that divide the tasks of a job over domain groups by free capacity.

>>> from siskintally.job_split import GroupView, split
>>> from siskintally.wire_pb2 import JobSpec, Resources
>>> free = Resources(cpu_milli=8000, memory_mb=8000)
>>> views = [GroupView(name=name, reported=True, largest=free, free=free, total=free)
...          for name in ("jylland", "fjeld")]
>>> spec = JobSpec(kind=JobSpec.SERVICE, each=Resources(cpu_milli=1000))
>>> split(spec, 4, views)
{'fjeld': 2, 'jylland': 2}
"""

from siskintally.wire_pb2 import JobSpec

RESOURCE_NAMES = ("cpu_milli", "memory_mb", "accelerators")
UNBOUNDED_TASKS = 1 << 31


class GroupView:
    """Capacity of a domain group for the division of a job.

    :param name: name of the group.
    :param reported: whether the group has reported its workers.
    :param largest: largest amount of each resource that some worker has.
    :param free: unallocated resources, less the demand of tasks that are not placed yet.
    :param total: resources of all workers.
    """

    __slots__ = ("free", "largest", "name", "reported", "total")

    def __init__(self, *, name, reported, largest, free, total):
        self.name = name
        self.reported = reported
        self.largest = largest
        self.free = free
        self.total = total

    def may_fit(self, each):
        """Return whether some worker may be large enough; True if the group has not reported."""
        return not self.reported or not insufficient_resources(self.largest, each)


def insufficient_resources(largest, each):
    """Return the names of the resources that a task needs more of than the largest worker has."""
    return [name for name in RESOURCE_NAMES if getattr(each, name) > getattr(largest, name)]


def task_count(available, each):
    """Return the number of tasks that fit in an amount of resources, at least 0."""
    counts = [
        getattr(available, name) // getattr(each, name)
        for name in RESOURCE_NAMES
        if getattr(each, name) > 0
    ]
    return max(0, min(counts, default=UNBOUNDED_TASKS))


def split(spec, tasks, views, *, present=None):
    """Divide tasks over groups, each of which can fit at least one.

    A gang goes to one group, a service is spread evenly, and a batch job fills the groups with the
    most free capacity first.

    :param tasks: number of tasks, at least 1.
    :param views: candidate groups, at least one.
    :param present: ``{group name: tasks}`` that the job already has; they count in the spread of a
        service.
    :returns: ``{group name: tasks}``; groups without tasks are left out.
    """
    free_tasks_by_name = {view.name: task_count(view.free, spec.each) for view in views}
    total_tasks_by_name = {view.name: task_count(view.total, spec.each) for view in views}
    order = sorted(views, key=lambda view: (-free_tasks_by_name[view.name], view.name))
    if spec.kind == JobSpec.GANG:
        best = min(order, key=lambda view: _gang_rank(view, tasks, total_tasks_by_name))
        return {best.name: tasks}
    names = [view.name for view in order]
    if spec.kind == JobSpec.SERVICE:
        assigned_by_name = _spread(tasks, names, free_tasks_by_name, present or {})
    else:
        assigned_by_name = _fill_freest_first(tasks, names, free_tasks_by_name, total_tasks_by_name)
    return {name: number for name, number in assigned_by_name.items() if number}


def _gang_rank(view, tasks, total_tasks_by_name):
    """Return 0 for a group whose total capacity fits the gang, 2 if not, 1 if not reported."""
    if not view.reported:
        return 1
    return 0 if total_tasks_by_name[view.name] >= tasks else 2


def _spread(tasks, names, free_tasks_by_name, present):
    """Divide tasks evenly within the free capacity; divide the rest evenly without regard to it."""
    assigned_by_name = dict.fromkeys(names, 0)
    remaining = _level_up(tasks, assigned_by_name, free_tasks_by_name, present)
    open_names = [name for name in names if free_tasks_by_name[name]]
    while remaining and open_names:
        step = max(1, remaining // len(open_names))
        for name in open_names:
            number = min(step, free_tasks_by_name[name] - assigned_by_name[name], remaining)
            assigned_by_name[name] += number
            remaining -= number
        open_names = [
            name for name in open_names if assigned_by_name[name] < free_tasks_by_name[name]
        ]
    return _divide(remaining, assigned_by_name, dict.fromkeys(names, 1))


def _level_up(tasks, assigned_by_name, free_tasks_by_name, present):
    """Add tasks to the groups with the fewest tasks of the job until all have equally many.

    Groups without free capacity for another task stay below the others.

    :returns: number of tasks remaining.
    """
    highest = max((present.get(name, 0) for name in assigned_by_name), default=0)
    order = sorted(assigned_by_name, key=lambda name: present.get(name, 0))
    remaining = tasks
    for position, name in enumerate(order):
        next_level = present.get(order[position + 1], 0) if position + 1 < len(order) else highest
        lowest = [
            candidate
            for candidate in order[: position + 1]
            if assigned_by_name[candidate] < free_tasks_by_name[candidate]
        ]
        for _ in range(next_level - present.get(name, 0)):
            for candidate in lowest:
                number = (
                    1
                    if remaining and assigned_by_name[candidate] < free_tasks_by_name[candidate]
                    else 0
                )
                assigned_by_name[candidate] += number
                remaining -= number
    return remaining


def _fill_freest_first(tasks, names, free_tasks_by_name, total_tasks_by_name):
    """Fill the free capacity in the order of names; divide the rest by total capacity."""
    assigned_by_name = dict.fromkeys(names, 0)
    remaining = tasks
    for name in names:
        assigned_by_name[name] = min(remaining, free_tasks_by_name[name])
        remaining -= assigned_by_name[name]
    return _divide(remaining, assigned_by_name, total_tasks_by_name)


def _divide(tasks, assigned_by_name, weight_by_name):
    """Add the tasks that no group has free capacity for, in proportion to the weights."""
    total_weight = sum(weight_by_name.values())
    remaining = tasks
    for name in assigned_by_name:
        number = (
            tasks * weight_by_name[name] // total_weight
            if total_weight
            else tasks // len(assigned_by_name)
        )
        assigned_by_name[name] += number
        remaining -= number
    for name in assigned_by_name:
        number = 1 if remaining else 0
        assigned_by_name[name] += number
        remaining -= number
    return assigned_by_name
