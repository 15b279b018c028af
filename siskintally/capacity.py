"""Capacity table of the domain groups, their demand not placed yet, and quota use of teams.

>>> from siskintally.capacity import GroupCapacityTable
>>> GroupCapacityTable().info_by_group
{}
"""

from siskintally.cell_state_pb2 import GroupInfo
from siskintally.errors import NeverFitsError, NotFoundError, QuotaExceededError
from siskintally.job_counts import quota_and_demand
from siskintally.job_split import RESOURCE_NAMES, GroupView, insufficient_resources
from siskintally.wire_pb2 import Resources

# Workers register again after an election. For this time a report of a smaller largest worker is
# ignored: it would reject a job as never fitting before the large workers have registered.
LARGEST_WORKER_RETENTION_S = 600.0
ZERO_AMOUNTS = (0, 0, 0)


class GroupCapacityTable:
    """Last reported capacity of each domain group, and the demand on it.

    :param info_by_group: ``{group name: GroupInfo}``.
    :param largest_at: ``{group name: Unix time}`` of the last accepted report of the largest
        worker, s.
    """

    __slots__ = ("_demand_by_group", "info_by_group", "largest_at")

    def __init__(self):
        self.info_by_group = {}
        self.largest_at = {}
        self._demand_by_group = {}

    def update(self, infos, now):
        """Replace the domain groups and their capacity; an empty list changes nothing.

        :param infos: GroupInfo messages; a group without workers keeps its previous capacity.
        """
        if not infos:
            return
        previous = self.info_by_group
        self.info_by_group = {}
        for info in infos:
            merged = GroupInfo()
            merged.CopyFrom(info)
            before = previous.get(info.name)
            if before is not None:
                self._merge(merged.capacity, before.capacity, info.name, now)
            else:
                self.largest_at[info.name] = now
            self.info_by_group[info.name] = merged

    def _merge(self, capacity, before, group, now):
        """Keep values of the previous DomainCapacity that a new report must not replace yet."""
        if not capacity.workers:
            capacity.CopyFrom(before)
        elif (
            before.workers
            and insufficient_resources(capacity.largest, before.largest)
            and now - self.largest_at.get(group, now) < LARGEST_WORKER_RETENTION_S
        ):
            for name in RESOURCE_NAMES:
                larger = max(getattr(capacity.largest, name), getattr(before.largest, name))
                setattr(capacity.largest, name, larger)
        else:
            self.largest_at[group] = now

    def add_demand(self, group, each, tasks):
        """Add a number of tasks that wait for placement in a group; negative to subtract."""
        _add(self._demand_by_group, group, each, tasks)

    def candidates(self, spec, *, refused=()):
        """Return a GroupView of each group with a worker that may be large enough for a task.

        :param refused: names of groups that have refused the job.
        :raises NotFoundError: no group owns the failure domain that the job names.
        :raises NeverFitsError: no group can fit a task.
        """
        infos = [
            info
            for info in self.info_by_group.values()
            if not spec.domain or spec.domain in info.domains
        ]
        if not infos:
            raise NotFoundError(f"domain = {spec.domain!r}: no group owns it")
        views = [self._view(info) for info in infos]
        views = [view for view in views if view.name not in refused and view.may_fit(spec.each)]
        if not views:
            names = {
                name
                for info in infos
                for name in insufficient_resources(info.capacity.largest, spec.each)
            }
            what = ", ".join(sorted(names)) or "all resources together"
            raise NeverFitsError(f"no worker is large enough: {what}")
        return views

    def _view(self, info):
        demand = self._demand_by_group.get(info.name, ZERO_AMOUNTS)
        free = Resources()
        for name, pending in zip(RESOURCE_NAMES, demand, strict=True):
            setattr(free, name, getattr(info.capacity.free, name) - pending)
        return GroupView(
            name=info.name,
            reported=info.capacity.workers > 0,
            largest=info.capacity.largest,
            free=free,
            total=info.capacity.total,
        )


class QuotaUse:
    """Resources of the admitted jobs of each team, which count against its quota."""

    __slots__ = ("_used_by_team",)

    def __init__(self):
        self._used_by_team = {}

    def add(self, team, each, tasks):
        """Add a number of tasks of a team; negative to subtract."""
        _add(self._used_by_team, team, each, tasks)

    def used(self, team):
        """Return the resources that count against the quota of a team, as Resources."""
        values = self._used_by_team.get(team, ZERO_AMOUNTS)
        return Resources(**dict(zip(RESOURCE_NAMES, values, strict=True)))

    def fits(self, team, each, tasks, quota):
        """Return whether a number of further tasks of a team fits in its quota."""
        used = self._used_by_team.get(team, ZERO_AMOUNTS)
        return all(
            amount + getattr(each, name) * tasks <= getattr(quota, name)
            for amount, name in zip(used, RESOURCE_NAMES, strict=True)
        )


class JobUsage:
    """Quota use and placement demand of each job, summed up by team and by domain group."""

    __slots__ = ("_capacity", "_quota_use", "_usage_by_job")

    def __init__(self, *, capacity, quota_use):
        self._capacity = capacity
        self._quota_use = quota_use
        self._usage_by_job = {}

    def update(self, job):
        """Replace the quota use and the demand of a job by the present ones."""
        tasks_before, demand_before = self._usage_by_job.pop(job.job_id, (0, {}))
        tasks_in_quota, demand = 0, {}
        if job.admitted and not job.ended:
            tasks_in_quota, demand = self._usage_by_job[job.job_id] = quota_and_demand(job)
        if tasks_in_quota != tasks_before:
            self._quota_use.add(job.spec.team, job.spec.each, tasks_in_quota - tasks_before)
        if demand == demand_before:
            return
        for group in demand | demand_before:
            tasks = demand.get(group, 0) - demand_before.get(group, 0)
            if tasks:
                self._capacity.add_demand(group, job.spec.each, tasks)


def first_above_quota(each, tasks, quota):
    """Return (name, need, quota) of the first resource above the whole quota, or None."""
    for name in RESOURCE_NAMES:
        need, allowed = getattr(each, name) * tasks, getattr(quota, name)
        if need > allowed:
            return name, need, allowed
    return None


def check_within_quota(spec, quota):
    """Check that a job alone fits in the quota of its team.

    :param quota: None if the team has no quota.
    :raises QuotaExceededError: names the resource.
    """
    if quota is None:
        raise QuotaExceededError(f"team {spec.team!r} has no quota in the configuration")
    above = first_above_quota(spec.each, spec.tasks, quota)
    if above is not None:
        name, need, allowed = above
        raise QuotaExceededError(f"{name}: {need} needed, quota of {spec.team} is {allowed}")


def _add(table, key, each, factor):
    cpu_milli, memory_mb, accelerators = table.get(key, ZERO_AMOUNTS)
    table[key] = (
        cpu_milli + each.cpu_milli * factor,
        memory_mb + each.memory_mb * factor,
        accelerators + each.accelerators * factor,
    )
