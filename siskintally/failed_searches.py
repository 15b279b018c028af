"""Cache of placement searches that have failed since resources were last freed.

>>> from siskintally.failed_searches import FailedSearches
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> small, large = (
...     Job(job_id=f"j{cpu}", kind=Kind.BATCH, need=Size(cpu=cpu), tasks=1, submitted=0.0)
...     for cpu in (1000, 2000)
... )
>>> searches = FailedSearches()
>>> searches.record(small)
>>> searches.is_known_to_fail(large)
True
"""

from siskintally.workload import Kind


class FailedSearches:
    """Needs that fitted nowhere since resources were last freed; larger ones need no search."""

    __slots__ = ("_failed_needs", "_search_keys", "_version")

    def __init__(self):
        self._version = None
        self._failed_needs = []
        self._search_keys = set()

    def start_pass(self, version):
        """Begin a pass; a changed value of ``version`` clears the cache."""
        if version != self._version:
            self._version = version
            self._failed_needs = []
            self._search_keys = set()

    def is_known_to_fail(self, job):
        """Return whether a search for the job is known to fail."""
        if job.search_key in self._search_keys:
            return True
        return any(
            domain in ("", job.domain) and need.fits_in(job.need)
            for domain, need in self._failed_needs
        )

    def record(self, job):
        """Record that a search for the job has failed."""
        self._search_keys.add(job.search_key)
        if job.kind != Kind.GANG:
            self._failed_needs = [
                (domain, need)
                for domain, need in self._failed_needs
                if not (job.domain in ("", domain) and job.need.fits_in(need))
            ]
            self._failed_needs.append((job.domain, job.need))
