"""Workers that steps may use, computed once per pass for all steps with equal requirements.

A walk over all workers for each waiting step makes a pass grow with the backlog.

>>> from siskintally.pass_index import PassIndex
>>> PassIndex(list_eligible=lambda step: []).__slots__
('_eligible_by_key', '_is_large_by_key', '_list_eligible', '_reserved', '_with_room_by_key')
"""

from math import ceil

from siskintally.room_reservation import is_large

# Share of the workers of a step that may be reserved at a time; the rest is for smaller tasks.
MAX_RESERVED_SHARE = 0.34


class PassIndex:
    """Eligible workers during one pass, in which workers only get fuller.

    :param list_eligible: function of a step that returns its eligible workers.
    """

    __slots__ = (
        "_eligible_by_key",
        "_is_large_by_key",
        "_list_eligible",
        "_reserved",
        "_with_room_by_key",
    )

    def __init__(self, *, list_eligible):
        self._list_eligible = list_eligible
        self._eligible_by_key = {}
        self._is_large_by_key = {}
        self._reserved = set()
        self._with_room_by_key = {}

    def eligible(self, step):
        """Return the workers that match the service and label of a step and accept tasks."""
        key = _requirements(step)
        workers = self._eligible_by_key.get(key)
        if workers is None:
            workers = self._eligible_by_key[key] = list(self._list_eligible(step))
        return workers

    def with_room(self, step, *, ignores_reservations=False):
        """Return the eligible workers into whose free resources a task of the step fits.

        :param ignores_reservations: whether to include workers that an earlier step of the pass
            has reserved.
        """
        if ignores_reservations:
            return [worker for worker in self.eligible(step) if worker.fits(step.resources)]
        key = (_requirements(step), step.resources)
        workers = self._with_room_by_key.get(key)
        if workers is None:
            workers = self._with_room_by_key[key] = [
                worker
                for worker in self.eligible(step)
                if worker.fits(step.resources) and worker not in self._reserved
            ]
        return workers

    def is_large(self, step):
        """Return whether the tasks of a step take a large share of each eligible worker."""
        key = (_requirements(step), step.resources)
        if key not in self._is_large_by_key:
            self._is_large_by_key[key] = is_large(step.resources, self.eligible(step))
        return self._is_large_by_key[key]

    def unreserved(self, step):
        """Return the eligible workers that no earlier step of the pass has reserved."""
        return [worker for worker in self.eligible(step) if worker not in self._reserved]

    def free_to_reserve(self, step):
        """Return how many more of the eligible workers may be reserved in this pass."""
        workers = self.eligible(step)
        reserved_count = sum(worker in self._reserved for worker in workers)
        return max(ceil(len(workers) * MAX_RESERVED_SHARE) - reserved_count, 0)

    def reserve(self, worker):
        """Keep a worker free of the tasks of later steps in this pass."""
        self._reserved.add(worker)
        for workers in self._with_room_by_key.values():
            if worker in workers:
                workers.remove(worker)

    def update_room(self, worker):
        """Apply that resources of a worker have been reserved."""
        for (_, resources), workers in self._with_room_by_key.items():
            if not worker.fits(resources) and worker in workers:
                workers.remove(worker)


def _requirements(step):
    """Return what the eligible workers depend on, apart from the free resources."""
    return step.flow.queue.service, step.spec.label
