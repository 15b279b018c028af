"""Ejection of failing workers from the pool, and their readmission after a probe task.

>>> from siskintally.pool import Pool
>>> from siskintally.readmission import Readmission
>>> from siskintally.size import Size
>>> pool = Pool()
>>> pool.add("w1", domain="d", rack="r", capacity=Size(cpu=4000))
>>> worker, readmission = pool.worker_by_name["w1"], Readmission(pool=pool)
>>> [readmission.failed(worker, job_id, now=0.0) for job_id in "aaaab"][-1], worker.accepts_tasks
(True, False)
>>> readmission.review(60.0)
>>> worker.accepts_tasks, worker.probing
(True, True)
"""

from siskintally.ejection import Ejection

# A worker is readmitted when its probe task has run this long.
PROBE_RUN_S = 30.0


class Readmission:
    """Ejects and readmits the workers of a pool after failures and successes of their tasks.

    :param pool: :class:`~siskintally.pool.Pool`.
    """

    __slots__ = ("_ejection", "_pool", "_since_by_name")

    def __init__(self, *, pool):
        self._ejection = Ejection()
        self._pool = pool
        self._since_by_name = {}

    def failed(self, worker, job_id, *, now):
        """Record a failed task; return whether the worker was ejected for it.

        :param now: monotonic seconds.
        """
        if not self._ejection.failed(worker.name, job_id, now=now):
            return False
        worker.probing = False
        self._pool.set_flags(worker, ejected=True)
        return True

    def succeeded(self, worker):
        """Record a task that ran to completion; a successful probe readmits its worker."""
        if self._ejection.succeeded(worker.name):
            self._restore(worker)

    def review(self, now):
        """Readmit workers whose probe task has run long enough; start probes that are due.

        A probe counts as a success before its task ends, because a service never ends.
        """
        for name, since in list(self._since_by_name.items()):
            worker = self._pool.worker_by_name.get(name)
            if worker is None or not worker.probing:
                del self._since_by_name[name]
            elif not worker.allocation_by_task:
                self._since_by_name[name] = None
            elif since is None:
                self._since_by_name[name] = now
            elif now - since >= PROBE_RUN_S:
                self._ejection.succeeded(name)
                self._restore(worker)
        for name in self._ejection.due(now):
            if name in self._pool.worker_by_name:
                self._since_by_name[name] = None
                worker = self._pool.worker_by_name[name]
                worker.probing = True
                self._pool.set_flags(worker, ejected=False)

    def forget(self, name):
        """Drop the failure history of a removed worker."""
        self._ejection.forget(name)

    def _restore(self, worker):
        worker.probing = False
        self._pool.set_flags(worker, ejected=False)
