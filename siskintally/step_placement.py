"""Placement of waiting tasks on workers; pure logic, callers pass the time in.

>>> from siskintally.step_placement import TICKET_MARGIN_S
>>> TICKET_MARGIN_S > 0
True
"""

from siskintally.actions import StartAction
from siskintally.flow import TaskState

# A start order has to reach the worker before its ticket expires.
TICKET_MARGIN_S = 0.15


class StepPlacement:
    """Mixin of the scheduler that assigns waiting tasks to workers."""

    __slots__ = ()

    def place(self, now, wall_ms):
        """Reserve resources for waiting tasks; yield a :class:`StartAction` for each placed one.

        :param now: steady time, s.
        :param wall_ms: Unix time, ms.
        """
        for step in self.due_steps(wall_ms):
            if step.spec.gang:
                yield from self._place_gang(step, now)
            else:
                yield from self._place_tasks(step, now)

    def due_steps(self, wall_ms):
        """Return the steps with tasks to start, in the order in which resources are allocated."""
        due = [
            step
            for step in self.ready_by_id.values()
            if step.is_due and step.flow.starts_at(step.occurrence) <= wall_ms
        ]
        due.sort(key=lambda step: (step.flow.priority, step.flow.due, step.id))
        return due

    def _place_tasks(self, step, now):
        candidates = list(self.candidates(step, now))
        while step.waiting and candidates:
            held = {copy.worker for copy in step.waiting[-1].copies}
            options = [one for one in candidates if one not in held] if held else candidates
            if not options:
                return
            worker = min(options, key=lambda one: self.cost(step, one, now))
            yield self._assign(step.waiting.pop(), worker, self.next_run(), now)
            if not _has_place(step, worker):
                candidates.remove(worker)

    def _place_gang(self, step, now):
        """Place all members or none; within one rack if the step prefers that and one fits."""
        if len(step.waiting) < len(step.tasks):
            return
        candidates = list(self.candidates(step, now))
        chosen = None
        if step.spec.one_rack:
            racks = {worker.rack for worker in candidates}
            options = [
                self._gang_places(step, [one for one in candidates if one.rack == rack], now)
                for rack in sorted(racks)
            ]
            chosen = next((option for option in options if option), None)
        chosen = chosen or self._gang_places(step, candidates, now)
        if not chosen:
            return
        step.gang_run = self.next_run()
        for worker in chosen:
            yield self._assign(step.waiting.pop(), worker, step.gang_run, now)

    def _gang_places(self, step, candidates, now):
        """Return a list with a worker for each member, or None if they do not all fit."""
        places = []
        limit = step.spec.max_per_worker or step.spec.tasks
        for worker in sorted(candidates, key=lambda one: self.cost(step, one, now)):
            held = step.count_by_worker.get(worker.id, 0)
            count = min(worker.room_for(step.need), limit - held)
            places.extend([worker] * max(count, 0))
            if len(places) >= len(step.tasks):
                return places[: len(step.tasks)]
        return None

    def candidates(self, step, now):
        """Yield the eligible workers with a valid ticket and enough free resources."""
        for worker in self.eligible(step, now):
            if self._ticket(step, worker, now) is not None and _has_place(step, worker):
                yield worker

    def eligible(self, step, now):
        """Yield the workers that match the service and label of a step and accept tasks."""
        queue = step.flow.queue
        if queue is None:
            return
        for worker in self.worker_by_id.values():
            if (
                worker.is_open
                and worker.record.service == queue.service
                and worker.excluded_until <= now
                and (not step.spec.label or step.spec.label in worker.record.labels)
            ):
                yield worker

    def cost(self, step, worker, now):
        """Return a sort key; the worker with the smallest key is preferred."""
        spec = step.spec
        far = bool(spec.data_rack) and worker.rack != spec.data_rack
        left = worker.cpu_free - step.need.cpu_milli
        if spec.filling:
            # Best-effort tasks disturb tasks with a latency target, and get little processor time
            # on workers that throttle them.
            return (bool(worker.serving), -worker.fill_percent, far, -left, worker.id)
        if step.flow.priority == 0:
            # Urgent tasks go to fast workers with the most free processor time.
            return (far, round(worker.expected_slowdown(now), 1), -left, worker.id)
        if spec.lasting:
            return (far, step.count_by_worker.get(worker.id, 0), -left, worker.id)
        return (far, left, worker.id)

    def _ticket(self, step, worker, now):
        """Return the ticket for a worker, "" if none is needed, None if it is missing."""
        if not step.flow.queue.HasField("advice"):
            return ""
        ticket, ends = step.ticket_by_worker.get(worker.id, ("", 0.0))
        return ticket if ends - TICKET_MARGIN_S > now else None

    def _assign(self, task, worker, run, now):
        step = task.step
        task.state = TaskState.STARTING
        task.run = run
        task.worker = worker
        task.since = now
        worker.hold(task)
        step.count_by_worker[worker.id] = step.count_by_worker.get(worker.id, 0) + 1
        step.flow.started = True
        ticket = self._ticket(step, worker, now) or ""
        return StartAction(task=task, worker=worker, run=run, ticket=ticket)


def _has_place(step, worker):
    limit = step.spec.max_per_worker
    if limit and step.count_by_worker.get(worker.id, 0) >= limit:
        return False
    return worker.fits(step.need)
