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
UNBOUNDED = 1 << 31


class GroupView:
    """Capacity of a domain group for the division of a job.

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

    def can_hold(self, each):
        """Return whether some worker may be large enough; True if the group has not reported."""
        return not self.reported or not lacking(self.largest, each)


def lacking(largest, each):
    """Return the names of the resources that a task needs more of than the largest worker has."""
    return [name for name in RESOURCE_NAMES if getattr(each, name) > getattr(largest, name)]


def task_count(available, each):
    """Return the number of tasks that fit in an amount of resources, at least 0."""
    counts = [
        getattr(available, name) // getattr(each, name)
        for name in RESOURCE_NAMES
        if getattr(each, name) > 0
    ]
    return max(0, min(counts, default=UNBOUNDED))


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
    room_by_name = {view.name: task_count(view.free, spec.each) for view in views}
    total_by_name = {view.name: task_count(view.total, spec.each) for view in views}
    order = sorted(views, key=lambda view: (-room_by_name[view.name], view.name))
    if spec.kind == JobSpec.GANG:
        best = min(order, key=lambda view: _gang_rank(view, tasks, total_by_name))
        return {best.name: tasks}
    names = [view.name for view in order]
    if spec.kind == JobSpec.SERVICE:
        given = _spread(tasks, names, room_by_name, present or {})
    else:
        given = _fill(tasks, names, room_by_name, total_by_name)
    return {name: number for name, number in given.items() if number}


def _gang_rank(view, tasks, total_by_name):
    if not view.reported:
        return 1
    return 0 if total_by_name[view.name] >= tasks else 2


def _spread(tasks, names, room_by_name, present):
    given = dict.fromkeys(names, 0)
    left = _level(tasks, given, room_by_name, present)
    open_names = [name for name in names if room_by_name[name]]
    while left and open_names:
        step = max(1, left // len(open_names))
        for name in open_names:
            number = min(step, room_by_name[name] - given[name], left)
            given[name] += number
            left -= number
        open_names = [name for name in open_names if given[name] < room_by_name[name]]
    return _divide(left, given, dict.fromkeys(names, 1))


def _level(tasks, given, room_by_name, present):
    """Add tasks to the groups with the fewest tasks of the job until all have equally many.

    :returns: number of tasks left.
    """
    level = max((present.get(name, 0) for name in given), default=0)
    order = sorted(given, key=lambda name: present.get(name, 0))
    left = tasks
    for position, name in enumerate(order):
        above = present.get(order[position + 1], 0) if position + 1 < len(order) else level
        lower = [one for one in order[: position + 1] if given[one] < room_by_name[one]]
        for _ in range(above - present.get(name, 0)):
            for one in lower:
                number = 1 if left and given[one] < room_by_name[one] else 0
                given[one] += number
                left -= number
    return left


def _fill(tasks, names, room_by_name, total_by_name):
    given = dict.fromkeys(names, 0)
    left = tasks
    for name in names:
        given[name] = min(left, room_by_name[name])
        left -= given[name]
    return _divide(left, given, total_by_name)


def _divide(tasks, given, weight_by_name):
    """Add the tasks that no group has free capacity for, in proportion to the weights."""
    weight = sum(weight_by_name.values())
    left = tasks
    for name in given:
        number = tasks * weight_by_name[name] // weight if weight else tasks // len(given)
        given[name] += number
        left -= number
    for name in given:
        number = 1 if left else 0
        given[name] += number
        left -= number
    return given
