"""Cache of placement searches that have failed since resources were last freed.

>>> from siskintally.failed_searches import FailedSearches
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> small, large = (
...     Job(job_id=f"j{cpu}", kind=Kind.BATCH, need=Size(cpu=cpu), tasks=1, submitted=0.0)
...     for cpu in (1000, 2000)
... )
>>> searches = FailedSearches()
>>> searches.add(small)
>>> searches.covers(large)
True
"""

from siskintally.workload import Kind


class FailedSearches:
    """Needs that fitted nowhere since resources were last freed; larger ones need no search."""

    __slots__ = ("_failed", "_freed", "_shapes")

    def __init__(self):
        self._freed = None
        self._failed = []
        self._shapes = set()

    def start(self, freed):
        """Begin a pass; a changed value of ``freed`` clears the cache."""
        if freed != self._freed:
            self._freed = freed
            self._failed = []
            self._shapes = set()

    def covers(self, job):
        """Return whether a search for the job is known to fail."""
        if job.shape in self._shapes:
            return True
        return any(
            domain in ("", job.domain) and need.within(job.need) for domain, need in self._failed
        )

    def add(self, job):
        """Record that a search for the job has failed."""
        self._shapes.add(job.shape)
        if job.kind != Kind.GANG:
            self._failed = [
                (domain, need)
                for domain, need in self._failed
                if not (job.domain in ("", domain) and job.need.within(need))
            ]
            self._failed.append((job.domain, job.need))
