"""Failure counts of workers: when a worker is ejected, and for how long.

>>> from siskintally.ejection import Ejection
>>> ejection = Ejection()
>>> [ejection.record_failure("w1", job_id, now=0.0) for job_id in "aaaab"]
[False, False, False, False, True]
>>> ejection.start_due_probes(59.0), ejection.start_due_probes(60.0)
([], ['w1'])
"""

# Consecutive failures after which a worker is ejected.
MIN_FAILURES = 5
# Failures must come from at least this many jobs: failures of a single job suggest that the job is
# broken.
MIN_FAILED_JOBS = 2
FIRST_PAUSE_S = 60.0
MAX_PAUSE_S = 3600.0


class _History:
    __slots__ = ("ejected_until", "failures", "jobs", "pause_s", "probing")

    def __init__(self):
        self.failures = 0
        self.jobs = set()
        self.pause_s = FIRST_PAUSE_S
        self.ejected_until = None
        self.probing = False


class Ejection:
    """Counts consecutive failures of each worker and decides how long it stays ejected."""

    __slots__ = ("_history_by_worker",)

    def __init__(self):
        self._history_by_worker = {}

    def record_failure(self, worker, job_id, *, now):
        """Record a failed task; return whether the worker must be ejected now.

        :param now: monotonic seconds.
        """
        history = self._history_by_worker.setdefault(worker, _History())
        if history.ejected_until is not None:
            return False
        history.failures += 1
        history.jobs.add(job_id)
        if not history.probing and (
            history.failures < MIN_FAILURES or len(history.jobs) < MIN_FAILED_JOBS
        ):
            return False
        history.ejected_until = now + history.pause_s
        history.pause_s = min(history.pause_s * 2, MAX_PAUSE_S)
        return True

    def record_success(self, worker):
        """Record a successful task; return whether the worker was being probed."""
        history = self._history_by_worker.get(worker)
        if history is None or history.ejected_until is not None:
            return False
        del self._history_by_worker[worker]
        return history.probing

    def start_due_probes(self, now):
        """Return the workers whose pause is over; each must be probed with one task."""
        due_workers = []
        for worker, history in self._history_by_worker.items():
            if history.ejected_until is not None and history.ejected_until <= now:
                history.ejected_until = None
                history.probing = True
                due_workers.append(worker)
        return due_workers

    def forget(self, worker):
        """Drop the failure history of a removed worker."""
        self._history_by_worker.pop(worker, None)
