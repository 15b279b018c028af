"""Check whether a job could ever run on the known workers, and why it waits.

>>> from siskintally.feasibility import FeasibilityCheck
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> check = FeasibilityCheck()
>>> check.add("d", Size(cpu=32000, memory=64000))
>>> check.explain(Job(job_id="j", kind=Kind.BATCH, need=Size(cpu=64000), tasks=1, submitted=0.0))
('needs 64000 cpu_milli, the largest worker has 32000', True)
"""

from collections import Counter

from siskintally.size import NO_RESOURCES
from siskintally.workload import Kind

_RESOURCE_NAMES = ("cpu_milli", "memory_mb", "accelerators")
WAITS_FOR_RESOURCES = "waits for free resources"
NO_WORKERS = "no worker is known"


class FeasibilityCheck:
    """Number of workers for each failure domain and capacity, whatever runs on them."""

    __slots__ = ("_count_by_capacity",)

    def __init__(self):
        self._count_by_capacity = Counter()

    def add(self, domain, capacity):
        """Add a worker."""
        self._count_by_capacity[domain, capacity] += 1

    def remove(self, domain, capacity):
        """Remove a worker."""
        self._count_by_capacity[domain, capacity] -= 1
        if not self._count_by_capacity[domain, capacity]:
            del self._count_by_capacity[domain, capacity]

    def _capacities(self, job):
        for (domain, capacity), count in self._count_by_capacity.items():
            if job.domain in ("", domain):
                yield capacity, count

    def explain(self, job):
        """Return why a job waits.

        :returns: the reason, and whether the job would not fit even if all workers were empty.
        """
        capacities = list(self._capacities(job))
        if not capacities:
            return NO_WORKERS, False
        fitting = sum(job.need.max_count_in(capacity) * count for capacity, count in capacities)
        tasks = len(job.waiting) + len(job.running)
        if fitting >= (tasks if job.kind == Kind.GANG else 1):
            return WAITS_FOR_RESOURCES, False
        if fitting:
            return f"{tasks} tasks must run at once, all workers together hold {fitting}", True
        for number, name in enumerate(_RESOURCE_NAMES):
            needed = job.need.as_tuple()[number]
            largest = max(capacity.as_tuple()[number] for capacity, _ in capacities)
            if needed > largest:
                return f"needs {needed} {name}, the largest worker has {largest}", True
        return f"no worker has {_describe(job.need)} together", True


def _describe(size):
    parts = zip(_RESOURCE_NAMES, size.as_tuple(), NO_RESOURCES.as_tuple(), strict=True)
    return ", ".join(f"{amount} {name}" for name, amount, nothing in parts if amount != nothing)
