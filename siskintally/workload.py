"""Jobs as placement sees them: needs, priority class, waiting and running tasks.

>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> job = Job(job_id="j1", kind=Kind.BATCH, need=Size(cpu=1000), tasks=2, submitted=0.0)
>>> list(job.waiting)
['j1/0', 'j1/1']
"""

from collections import deque
from enum import IntEnum

from siskintally.size import Size

# A job without a deadline is queued as if it had to start within an hour of its submission, so that
# newer jobs with deadlines cannot overtake it forever.
DEFAULT_START_WITHIN_S = 3600.0


class Kind(IntEnum):
    """Kinds of jobs, numbered as in ``JobSpec.Kind``."""

    BATCH = 0
    SERVICE = 1
    GANG = 2


class Urgency(IntEnum):
    """Priority classes, most urgent first."""

    URGENT = 0
    NORMAL = 1
    DEFERRABLE = 2


# Urgency by the number of JobSpec.Class, where NORMAL is 0 because 0 is the default on the wire.
_URGENCY_BY_WIRE = (Urgency.NORMAL, Urgency.URGENT, Urgency.DEFERRABLE)


class Job:
    """One job with its waiting and running tasks.

    :param need: :class:`~siskintally.size.Size` of one task.
    :param tasks: number of tasks, or the ids of the waiting ones.
    :param domain: failure domain that the tasks must run in, empty for any.
    :param submitted: time of submission, monotonic seconds.
    :param run_s: declared run time, 0 for a job that runs until it is stopped.
    :param deadline_s: seconds from submission to the end, 0 for none.

    Workers in ``avoided_workers`` are used only if the task fits on no other. Urgent jobs may
    preempt tasks of a job with ``is_preemptible``. ``queue_class`` is the class that the job is
    queued in: a deferrable job is queued as a normal one when its latest start is near.
    """

    __slots__ = (
        "avoided_workers",
        "blocked_since",
        "cancelled",
        "count_by_domain",
        "count_by_rack",
        "domain",
        "is_long_running",
        "is_preemptible",
        "job_id",
        "kind",
        "latest_start",
        "need",
        "never_fits",
        "queue_class",
        "queue_entry",
        "reason",
        "reservations",
        "running",
        "search_key",
        "urgency",
        "waiting",
    )

    def __init__(
        self,
        *,
        job_id,
        kind,
        need,
        tasks,
        submitted,
        urgency=Urgency.NORMAL,
        domain="",
        run_s=0.0,
        deadline_s=0.0,
    ):
        task_ids = tasks
        if isinstance(tasks, int):
            task_ids = [f"{job_id}/{number}" for number in range(tasks)]
        self.job_id = job_id
        self.kind = kind
        self.need = need
        self.domain = domain
        self.urgency = urgency
        self.queue_class = urgency
        self.is_preemptible = kind == Kind.BATCH and urgency == Urgency.DEFERRABLE
        self.is_long_running = kind == Kind.SERVICE or run_s <= 0
        self.latest_start = submitted + (
            max(deadline_s - run_s, 0.0) if deadline_s else DEFAULT_START_WITHIN_S
        )
        self.waiting = deque(task_ids)
        self.running = set()
        self.reservations = []
        self.count_by_rack = {}
        self.count_by_domain = {}
        self.avoided_workers = set()
        self.blocked_since = None
        self.cancelled = False
        self.queue_entry = None
        self.never_fits = False
        self.reason = ""
        task_count = len(self.waiting) if kind == Kind.GANG else 1
        self.search_key = (kind, domain, need.as_tuple(), task_count)

    @classmethod
    def from_message(cls, job_id, spec, *, tasks, submitted):
        """Create a job from the wire message ``JobSpec``."""
        return cls(
            job_id=job_id,
            kind=Kind(spec.kind),
            need=Size.from_message(spec.each),
            tasks=tasks,
            submitted=submitted,
            urgency=_URGENCY_BY_WIRE[spec.class_],
            domain=spec.domain,
            run_s=spec.run_s,
            deadline_s=spec.deadline_s,
        )
