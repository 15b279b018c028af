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
# fill the gaps between large ones. Within a class no job is overtaken by one of a later window,
# which bounds the wait that this order adds. Windows of 10 s pack less well, windows of 60 s no
# better.
ORDER_WINDOW_S = 30.0


class _Entry:
    __slots__ = ("is_queued", "job", "key")

    def __init__(self, *, key, job):
        self.key = key
        self.job = job
        self.is_queued = True

    def __lt__(self, other):
        return self.key < other.key


class Backlog:
    """Jobs sorted by class (urgent first), window of latest start, then size (largest first).

    :meth:`remove` only marks the entry; :meth:`jobs` drops marked entries. Each of many
    cancellations therefore costs the same however long the queue is.
    """

    __slots__ = ("_entries", "_jobs", "_last_number", "_removed_count", "additions")

    def __init__(self):
        self._entries = []
        self._removed_count = 0
        self._jobs = None
        self._last_number = 0
        self.additions = 0

    def __len__(self):
        return len(self._entries) - self._removed_count

    def add(self, job):
        """Add a job; a job that is queued already keeps its position."""
        self.additions += 1
        if job.queue_entry is not None:
            return
        self._last_number += 1
        window = job.latest_start // ORDER_WINDOW_S
        task_count = len(job.waiting) if job.kind == Kind.GANG else 1
        key = (
            job.queue_class,
            window,
            -job.need.cpu * task_count,
            job.latest_start,
            self._last_number,
        )
        job.queue_entry = _Entry(key=key, job=job)
        insort(self._entries, job.queue_entry)
        self._jobs = None

    def remove(self, job):
        """Remove a job."""
        if job.queue_entry is not None:
            job.queue_entry.is_queued = False
            job.queue_entry = None
            self._removed_count += 1
            self._jobs = None

    def jobs(self):
        """Return the queued jobs in placement order; callers must not change the list."""
        if self._jobs is None:
            self._entries = [entry for entry in self._entries if entry.is_queued]
            self._removed_count = 0
            self._jobs = [entry.job for entry in self._entries]
        return self._jobs

    def promote(self, now):
        """Queue deferrable jobs whose latest start is near as normal ones; return their number.

        :param now: monotonic seconds.
        """
        due_jobs = list(self._due_before(now + PROMOTE_BEFORE_S))
        for job in due_jobs:
            self.remove(job)
            job.queue_class = Urgency.NORMAL
            self.add(job)
        return len(due_jobs)

    def _due_before(self, until):
        first_deferrable = _Entry(key=(Urgency.DEFERRABLE, float("-inf")), job=None)
        for entry in self._entries[bisect_left(self._entries, first_deferrable) :]:
            if entry.key[1] > until // ORDER_WINDOW_S:
                return
            if entry.is_queued and entry.job.latest_start <= until:
                yield entry.job
