"""Jobs with waiting tasks, in the order they are placed.

>>> from siskintally.backlog import Backlog
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind, Urgency
>>> backlog = Backlog()
>>> for name, urgency in (("a", Urgency.NORMAL), ("b", Urgency.URGENT)):
...     backlog.add(
...         Job(job_id=name, kind=Kind.BATCH, need=Size(), tasks=1, submitted=0, urgency=urgency)
...     )
>>> [job.job_id for job in backlog.jobs()]
['b', 'a']
"""

from bisect import bisect_left, insort

from siskintally.workload import Kind, Urgency

# Deferrable work is placed as normal work when its latest start is this near.
PROMOTE_BEFORE_S = 600.0
# Jobs whose latest starts fall into the same window are tried largest first: small tasks then fill
# the holes that large ones leave. No job is passed by one of a later window, so the wait that this
# order adds is bounded; windows of 10 s pack less well, of 60 s no better.
ORDER_WINDOW_S = 30.0


class _Entry:
    __slots__ = ("job", "key", "live")

    def __init__(self, *, key, job):
        self.key = key
        self.job = job
        self.live = True

    def __lt__(self, other):
        return self.key < other.key


class Backlog:
    """Urgent before normal before deferrable; within a class by window of latest start, then size.

    Removal only unmarks the job; entries are dropped when the list is next read, so that a wave of
    cancellations costs the same for each job however long the list is.
    """

    __slots__ = ("_dead", "_entries", "_jobs", "_next", "changes")

    def __init__(self):
        self._entries = []
        self._dead = 0
        self._jobs = None
        self._next = 0
        self.changes = 0

    def __len__(self):
        return len(self._entries) - self._dead

    def add(self, job):
        """Add a job; one that is queued already stays where it is."""
        self.changes += 1
        if job.queued is not None:
            return
        self._next += 1
        window = job.latest_start // ORDER_WINDOW_S
        together = len(job.waiting) if job.kind == Kind.GANG else 1
        key = (job.rank, window, -job.need.cpu * together, job.latest_start, self._next)
        job.queued = _Entry(key=key, job=job)
        insort(self._entries, job.queued)
        self._jobs = None

    def remove(self, job):
        """Remove a job."""
        if job.queued is not None:
            job.queued.live = False
            job.queued = None
            self._dead += 1
            self._jobs = None

    def jobs(self):
        """Return the queued jobs, first to place first; the list must not be changed."""
        if self._jobs is None:
            self._entries = [entry for entry in self._entries if entry.live]
            self._dead = 0
            self._jobs = [entry.job for entry in self._entries]
        return self._jobs

    def promote(self, now):
        """Treat deferrable jobs whose latest start is near as normal ones.

        :param now: monotonic seconds.
        """
        late = list(self._due(now + PROMOTE_BEFORE_S))
        for job in late:
            self.remove(job)
            job.rank = Urgency.NORMAL
            self.add(job)
        return len(late)

    def _due(self, until):
        probe = _Entry(key=(Urgency.DEFERRABLE, float("-inf")), job=None)
        for entry in self._entries[bisect_left(self._entries, probe) :]:
            if entry.key[1] > until // ORDER_WINDOW_S:
                return
            if entry.live and entry.job.latest_start <= until:
                yield entry.job
