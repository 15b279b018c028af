"""Queue of jobs with waiting tasks, in the order in which they are placed.

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

# A deferrable job is queued as a normal one when its latest start is this near.
PROMOTE_BEFORE_S = 600.0
# Jobs whose latest starts fall into the same window are tried largest first, so that small tasks
# fill the gaps between large ones. No job is overtaken by one of a later window, which bounds the
# wait that this order adds. Windows of 10 s pack less well, windows of 60 s no better.
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
    """Jobs sorted by class (urgent first), window of latest start, then size (largest first).

    :meth:`remove` only marks the entry; :meth:`jobs` drops marked entries. Each of many
    cancellations therefore costs the same however long the queue is.
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
        """Add a job; a job that is queued already keeps its position."""
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
        """Return the queued jobs in placement order; callers must not change the list."""
        if self._jobs is None:
            self._entries = [entry for entry in self._entries if entry.live]
            self._dead = 0
            self._jobs = [entry.job for entry in self._entries]
        return self._jobs

    def promote(self, now):
        """Queue deferrable jobs whose latest start is near as normal ones; return their number.

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
