"""Placement of waiting tasks on workers; does no I/O, callers pass the time.

>>> from siskintally.placement import Placement
>>> from siskintally.size import Size
>>> from siskintally.workload import Job, Kind
>>> placement = Placement()
>>> placement.add_worker("w1", domain="d", rack="r", capacity=Size(cpu=4000, memory=4000))
>>> job = Job(job_id="j", kind=Kind.BATCH, need=Size(cpu=3000), tasks=1, submitted=0.0)
>>> placement.submit(job)
>>> [(found.task_id, found.worker) for found in placement.decide(now=0.0).assignments]
[('j/0', 'w1')]
"""

from collections import deque

from siskintally.backlog import Backlog
from siskintally.failed_searches import FailedSearches
from siskintally.feasibility import FeasibilityCheck
from siskintally.policy import policy_for
from siskintally.pool import Pool
from siskintally.preemption import preempt
from siskintally.readmission import Readmission
from siskintally.reservation import RESERVE_AFTER_S, Reservations
from siskintally.workload import Kind, Urgency

# Failed searches in each part of a pass, with the feasibility checks, preemptions and reservations
# that follow them. The limit keeps a pass below the 2 ms that a decision may take.
MAX_FAILED_SEARCHES = 32
# Jobs examined in each part of a pass; most are skipped because they are known not to fit.
MAX_JOBS_EXAMINED = 500
# Shortest time between passes while nothing changes; a pass then makes reservations that are due.
PASS_INTERVAL_S = 1.0


class Decision:
    """Result of one placement pass.

    :param assignments: list of :class:`~siskintally.policy.Assignment`.
    :param stops: ids of tasks to preempt for urgent jobs.
    """

    __slots__ = ("assignments", "stops")

    def __init__(self):
        self.assignments = []
        self.stops = []


class Placement:
    """Queued jobs, the worker pool, and the passes that assign tasks to workers.

    A pass allocates resources at once; :meth:`record_end` or :meth:`remove_worker` frees them.
    ``may_preempt`` and ``places_deferrable`` are set from the preset in force.
    """

    __slots__ = (
        "_backlog",
        "_completed_version",
        "_cursor",
        "_failed_preemption_searches",
        "_failed_searches",
        "_feasibility",
        "_last_pass",
        "_new_jobs",
        "_readmission",
        "_reservations",
        "job_by_id",
        "may_preempt",
        "places_deferrable",
        "pool",
    )

    def __init__(self):
        self.pool = Pool()
        self.job_by_id = {}
        self.may_preempt = True
        self.places_deferrable = True
        self._backlog = Backlog()
        self._feasibility = FeasibilityCheck()
        self._readmission = Readmission(pool=self.pool)
        self._reservations = Reservations(pool=self.pool)
        self._failed_searches = FailedSearches()
        self._failed_preemption_searches = FailedSearches()
        self._new_jobs = []
        self._cursor = 0
        self._completed_version = None
        self._last_pass = float("-inf")

    def add_worker(self, name, *, domain, rack, capacity):
        """Add a worker that runs no tasks."""
        self.pool.add(name, domain=domain, rack=rack, capacity=capacity)
        self.pool.freed_version += 1
        self._feasibility.add(domain, capacity)

    def remove_worker(self, name):
        """Remove a lost worker; return the ids of the tasks that ran on it."""
        worker = self.pool.worker_by_name[name]
        self._reservations.release_on(worker)
        self._feasibility.remove(worker.domain, worker.capacity)
        self._readmission.forget(name)
        return self.pool.remove(name)

    def set_worker_draining(self, name, *, draining):
        """Stop or resume placing new tasks on a worker."""
        worker = self.pool.worker_by_name.get(name)
        if worker is not None and worker.draining != draining:
            if draining:
                self._reservations.release_on(worker)
            self.pool.set_flags(worker, draining=draining)

    def set_worker_connected(self, name, *, connected):
        """Record whether a worker is connected; only connected workers get new tasks."""
        worker = self.pool.worker_by_name.get(name)
        if worker is not None and worker.connected != connected:
            self.pool.set_flags(worker, connected=connected)

    def set_waiting(self, job_id, task_ids):
        """Replace the waiting tasks of a job, except tasks that have resources allocated."""
        job = self.job_by_id[job_id]
        allocated = self.pool.allocation_by_task
        job.waiting = deque(task_id for task_id in task_ids if task_id not in allocated)
        if job.reservations:
            self._reservations.release(job)
        if job.waiting:
            self._backlog.add(job)
            self._new_jobs.append(job)
        else:
            self._backlog.remove(job)

    def submit(self, job):
        """Queue the waiting tasks of a new job."""
        self.job_by_id[job.job_id] = job
        if job.waiting:
            self._backlog.add(job)
            self._new_jobs.append(job)

    def requeue(self, job_id, task_id):
        """Queue a task again after its attempt ended."""
        job = self.job_by_id[job_id]
        if not job.cancelled:
            job.waiting.append(task_id)
            self._backlog.add(job)

    def restore_task(self, job_id, task_id, worker):
        """Allocate resources to a task that the committed state assigns to a worker.

        :raises OvercommitError: the worker has too few free resources.
        """
        job = self.job_by_id[job_id]
        self.pool.allocate(self.pool.worker_by_name[worker], task_id, job)

    def cancel(self, job_id):
        """Drop the waiting tasks of a job; return the ids of its running tasks, to be stopped."""
        job = self.job_by_id.get(job_id)
        if job is None or job.cancelled:
            return []
        job.cancelled = True
        job.waiting.clear()
        self._backlog.remove(job)
        if job.reservations:
            self._reservations.release(job)
        return list(job.running)

    def remove_job(self, job_id):
        """Remove a job that has no running tasks left."""
        job = self.job_by_id.pop(job_id, None)
        if job is not None:
            self._backlog.remove(job)
            self._reservations.release(job)

    def record_end(self, task_id, *, now, failed=False, succeeded=False):
        """Free the resources of a task whose attempt has ended.

        :param failed: the task ended with an error; counts towards ejecting the worker.
        :param succeeded: the task ran to completion.
        """
        allocation = self.pool.release(task_id)
        if allocation is None:
            return
        worker = allocation.worker
        if failed and self._readmission.record_failure(worker, allocation.job.job_id, now=now):
            self._reservations.release_on(worker)
        elif succeeded:
            self._readmission.record_success(worker)
        self._reservations.move_to(worker)

    def decide(self, *, now, limit=1000):
        """Run a pass: place waiting tasks in queue order.

        :param now: monotonic seconds.
        :param limit: maximum number of assignments; the last gang may exceed it.
        :returns: :class:`Decision`; the resources of its assignments are allocated already.
        """
        decision = Decision()
        self._readmission.update(now)
        self._backlog.promote(now)
        version = (self.pool.freed_version, self._backlog.additions)
        if version == self._completed_version and now - self._last_pass < PASS_INTERVAL_S:
            return decision
        self._place_reserved(decision)
        version = (self.pool.freed_version, self._backlog.additions)
        complete = self._run_pass(decision, now, limit)
        self._last_pass = now
        self._completed_version = version if complete else None
        return decision

    def _place_reserved(self, decision):
        placed, jobs = self._reservations.place_tasks()
        decision.assignments.extend(placed)
        for job in jobs:
            self._clean_up(job)

    def _run_pass(self, decision, now, limit):
        """Try to place the queued jobs; return whether all were tried before a limit was reached.

        Tries the head of the queue first, then new jobs, then the others round robin.
        """
        self._failed_searches.start_pass(self.pool.freed_version)
        self._failed_preemption_searches.start_pass(
            (self.pool.freed_version, self.pool.preemptible_version)
        )
        jobs = self._backlog.jobs()
        new_jobs, self._new_jobs = self._new_jobs, []
        head = self._try_jobs(jobs, 0, decision, now, limit)
        if head == len(jobs):
            self._cursor = 0
            return True
        reached_new = self._try_jobs(new_jobs, 0, decision, now, limit)
        self._new_jobs.extend(new_jobs[reached_new:])
        reached = self._try_jobs(jobs, max(self._cursor, head), decision, now, limit)
        self._cursor = reached if reached < len(jobs) else 0
        return False

    def _try_jobs(self, jobs, start, decision, now, limit):
        """Try jobs from a position on; return the position at which a limit stopped the pass."""
        searches = 0
        for position in range(start, min(start + MAX_JOBS_EXAMINED, len(jobs))):
            if searches >= MAX_FAILED_SEARCHES or len(decision.assignments) >= limit:
                return position
            job = jobs[position]
            if job.queue_class == Urgency.DEFERRABLE and not self.places_deferrable:
                continue
            if job.waiting and not job.never_fits and len(job.reservations) < len(job.waiting):
                searches += self._try_job(job, decision, now, limit)
        return min(start + MAX_JOBS_EXAMINED, len(jobs))

    def _try_job(self, job, decision, now, limit):
        """Place as many tasks of a job as fit; return the number of searches made for the rest."""
        is_blocked, is_known = True, self._failed_searches.is_known_to_fail(job)
        if not is_known:
            max_tasks = limit - len(decision.assignments)
            placed = policy_for(job.kind).place(pool=self.pool, job=job, limit=max_tasks)
            decision.assignments.extend(placed)
            is_blocked = bool(job.waiting) and len(placed) < max_tasks
        self._clean_up(job)
        if not is_blocked or (job.kind == Kind.GANG and job.running):
            return 0
        if not is_known:
            self._failed_searches.record(job)
        return (not is_known) + self._handle_blocked(job, decision, now)

    def _handle_blocked(self, job, decision, now):
        """Preempt or reserve for a job that does not fit; return the number of searches made."""
        searches = 0
        if job.blocked_since is None:
            searches = 1
            job.blocked_since = now
            job.reason, job.never_fits = self._feasibility.explain(job)
        if job.never_fits:
            return searches
        if job.urgency == Urgency.URGENT:
            if self.may_preempt and not self._failed_preemption_searches.is_known_to_fail(job):
                searches += 1
                decision.stops.extend(preempt(self.pool, job))
                if job.reservations:
                    self._reservations.register(job)
                if len(job.reservations) < len(job.waiting):
                    self._failed_preemption_searches.record(job)
        elif now - job.blocked_since >= RESERVE_AFTER_S and not job.reservations:
            searches += self._reservations.can_reserve
            self._reservations.reserve(job)
        return searches

    def _clean_up(self, job):
        if not job.waiting:
            self._backlog.remove(job)
            job.blocked_since = None
            job.reason = ""
            self._reservations.release(job)
        elif not job.reservations:
            self._reservations.release(job)

    def update_feasibility(self):
        """Recompute which jobs can never fit, after workers were added or lost."""
        for job in self.job_by_id.values():
            if job.waiting:
                job.reason, job.never_fits = self._feasibility.explain(job)
