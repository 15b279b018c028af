"""Ejection of failing workers from the pool, and their readmission after a probe task.

>>> from siskintally.pool import Pool
>>> from siskintally.readmission import Readmission
>>> from siskintally.size import Size
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000))
>>> worker, readmission = pool.worker_by_name["w1"], Readmission(pool=pool)
>>> [readmission.record_failure(worker, job_id, now=0.0) for job_id in "aaaab"][-1]
True
>>> worker.accepts_tasks
False
>>> readmission.update(60.0)
>>> worker.accepts_tasks, worker.probing
(True, True)
"""

from siskintally.ejection import Ejection

# A worker is readmitted when its probe task has run this long or has succeeded earlier.
PROBE_RUN_S = 30.0


class Readmission:
    """Ejects and readmits the workers of a pool after failures and successes of their tasks.

    :param pool: :class:`~siskintally.pool.Pool`.
    """

    __slots__ = ("_ejection", "_pool", "_probe_started_by_name")

    def __init__(self, *, pool):
        self._ejection = Ejection()
        self._pool = pool
        self._probe_started_by_name = {}

    def record_failure(self, worker, job_id, *, now):
        """Record a failed task; return whether the worker was ejected for it.

        :param now: monotonic seconds.
        """
        if not self._ejection.record_failure(worker.name, job_id, now=now):
            return False
        worker.probing = False
        self._pool.set_flags(worker, ejected=True)
        return True

    def record_success(self, worker):
        """Record a task that ran to completion; a successful probe readmits its worker."""
        if self._ejection.record_success(worker.name):
            self._readmit(worker)

    def update(self, now):
        """Readmit workers whose probe task has run long enough; start probes that are due.

        A probe counts as a success before its task ends, because a service never ends.
        """
        for name, started_at in list(self._probe_started_by_name.items()):
            worker = self._pool.worker_by_name.get(name)
            if worker is None or not worker.probing:
                del self._probe_started_by_name[name]
            elif not worker.allocation_by_task:
                self._probe_started_by_name[name] = None
            elif started_at is None:
                self._probe_started_by_name[name] = now
            elif now - started_at >= PROBE_RUN_S:
                self._ejection.record_success(name)
                self._readmit(worker)
        for name in self._ejection.start_due_probes(now):
            if name in self._pool.worker_by_name:
                self._probe_started_by_name[name] = None
                worker = self._pool.worker_by_name[name]
                worker.probing = True
                self._pool.set_flags(worker, ejected=False)

    def forget(self, name):
        """Drop the failure history of a removed worker."""
        self._ejection.forget(name)

    def _readmit(self, worker):
        worker.probing = False
        self._pool.set_flags(worker, ejected=False)
