"""Failure counts of workers: when a worker is ejected, and for how long.

>>> from siskintally.ejection import Ejection
>>> ejection = Ejection()
>>> [ejection.failed("w1", job_id, now=0.0) for job_id in "aaaab"]
[False, False, False, False, True]
>>> ejection.due(59.0), ejection.due(60.0)
([], ['w1'])
"""

FAILURES = 5
# Failures must come from this many jobs: failures of a single job suggest that the job is broken.
MIN_JOBS = 2
FIRST_PAUSE_S = 60.0
MAX_PAUSE_S = 3600.0


class _History:
    __slots__ = ("failures", "jobs", "pause", "probing", "until")

    def __init__(self):
        self.failures = 0
        self.jobs = set()
        self.pause = FIRST_PAUSE_S
        self.until = None
        self.probing = False


class Ejection:
    """Counts consecutive failures of each worker and decides how long it stays ejected."""

    __slots__ = ("_history_by_worker",)

    def __init__(self):
        self._history_by_worker = {}

    def failed(self, worker, job_id, *, now):
        """Record a failed task; return whether the worker must be ejected now.

        :param now: monotonic seconds.
        """
        history = self._history_by_worker.setdefault(worker, _History())
        if history.until is not None:
            return False
        history.failures += 1
        history.jobs.add(job_id)
        if not history.probing and (history.failures < FAILURES or len(history.jobs) < MIN_JOBS):
            return False
        history.until = now + history.pause
        history.pause = min(history.pause * 2, MAX_PAUSE_S)
        return True

    def succeeded(self, worker):
        """Record a successful task; return whether the worker was being probed."""
        history = self._history_by_worker.get(worker)
        if history is None or history.until is not None:
            return False
        del self._history_by_worker[worker]
        return history.probing

    def due(self, now):
        """Return the workers whose pause is over; each must be probed with one task."""
        over = []
        for worker, history in self._history_by_worker.items():
            if history.until is not None and history.until <= now:
                history.until = None
                history.probing = True
                over.append(worker)
        return over

    def forget(self, worker):
        """Drop the failure history of a removed worker."""
        self._history_by_worker.pop(worker, None)
