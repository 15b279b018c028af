"""Placement of waiting tasks on workers; pure logic, callers pass the time in.

>>> from siskintally.step_placement import TICKET_MARGIN_S
>>> TICKET_MARGIN_S > 0
True
"""

from heapq import heapify, heappop, heappush
from itertools import islice
from math import inf
from operator import itemgetter

from siskintally.actions import StartAction
from siskintally.flow import TaskState
from siskintally.pass_index import PassIndex
from siskintally.room_reservation import workers_to_reserve

# A flow that will miss its due time waits behind those that can still meet theirs, up to this
# lateness; then it is served first.
MAX_LATENESS_S = 30.0
# A start order has to reach the worker before its ticket expires.
TICKET_MARGIN_S = 0.15


class StepPlacement:
    """Mixin of the scheduler that assigns waiting tasks to workers."""

    __slots__ = ()

    def place(self, now, wall_ms, *, max_starts=inf):
        """Reserve resources for waiting tasks; yield a :class:`StartAction` for each placed one.

        :param now: steady time, s.
        :param wall_ms: Unix time, ms.
        :param max_starts: number of starts after which placement ends; a gang is not split.
        """
        start_count = 0
        index = self.new_pass_index(now)
        for step in self.due_steps(now, wall_ms):
            if start_count >= max_starts:
                return
            try:
                # The index is updated last: an error there must neither lose the start of a task
                # that is assigned nor split a gang.
                workers = {}
                for action in self._place_step(step, now, index, max_starts - start_count):
                    start_count += 1
                    workers[action.worker.id] = action.worker
                    yield action
                for worker in workers.values():
                    index.update_room(worker)
                self._reserve_room(step, now, index)
            except Exception as error:
                self.isolate(step.flow.id, error, now)

    def _place_step(self, step, now, index, max_starts):
        if step.spec.gang:
            return self._place_gang(step, now, index)
        limit = None if max_starts == inf else max_starts
        return islice(self._place_tasks(step, now, index), limit)

    def _reserve_room(self, step, now, index):
        """Keep workers free for the large tasks of a step that still wait.

        Later steps go around them, unless they are late themselves.
        Reserved are workers that the advice service has allowed, if it is asked for the step.
        """
        if not step.waiting or not index.is_large(step):
            return
        workers = index.unreserved(step)
        if step.flow.queue.HasField("advice"):
            workers = [worker for worker in workers if worker.id in step.ticket_by_worker]
        limit = min(len(step.waiting), index.free_to_reserve(step))
        reserved = workers_to_reserve(step, workers, now, limit=limit)
        step.reserved_worker_ids = frozenset(worker.id for worker in reserved)
        for worker in reserved:
            index.reserve(worker)

    def new_pass_index(self, now):
        """Return a :class:`PassIndex` of the current workers."""
        return PassIndex(list_eligible=lambda step: self.eligible_workers(step, now))

    def due_steps(self, now, wall_ms):
        """Return the steps with tasks to start, in the order in which resources are allocated.

        Within a priority, steps that can still meet their due time go before those that cannot:
        in the order of due times alone, the backlog of an outage makes every later flow late.
        """
        due = []
        for step in self.ready_by_id.values():
            try:
                if _is_due(step, now, wall_ms):
                    due.append((_rank(step, now), step))
            except Exception as error:
                self.isolate(step.flow.id, error, now)
        due.sort(key=itemgetter(0))
        return [step for _, step in due]

    def _place_tasks(self, step, now, index):
        """Place tasks one by one; a heap of the workers spares a walk over them for each task."""
        heap = [
            (self.sort_key(step, worker, now), worker)
            for worker in self.candidates(step, now, index)
        ]
        heapify(heap)
        while step.waiting:
            worker = _pop_preferred(heap, {copy.worker for copy in step.waiting[-1].copies})
            if worker is None:
                return
            yield self._assign(step.waiting.pop(), worker, self.next_run_number(), now)
            if _has_capacity(step, worker):
                heappush(heap, (self.sort_key(step, worker, now), worker))

    def _place_gang(self, step, now, index):
        """Place all members or none.

        A gang that runs slower when spread over racks is placed within one rack if one has enough
        free resources.
        """
        if len(step.waiting) < len(step.tasks):
            return
        candidates = list(self.candidates(step, now, index))
        chosen = None
        if step.spec.one_rack:
            racks = {worker.rack for worker in candidates}
            options = [
                self._choose_gang_workers(
                    step, [worker for worker in candidates if worker.rack == rack], now
                )
                for rack in sorted(racks)
            ]
            chosen = next((option for option in options if option), None)
        chosen = chosen or self._choose_gang_workers(step, candidates, now)
        if not chosen:
            return
        step.gang_run = self.next_run_number()
        for worker in chosen:
            yield self._assign(step.waiting.pop(), worker, step.gang_run, now)

    def _choose_gang_workers(self, step, candidates, now):
        """Return a list with a worker for each member, or None if they do not all fit."""
        workers = []
        limit = step.spec.max_per_worker or step.spec.tasks
        for worker in sorted(candidates, key=lambda candidate: self.sort_key(step, candidate, now)):
            placed_count = step.task_count_by_worker.get(worker.id, 0)
            count = min(worker.capacity_for(step.resources), limit - placed_count)
            workers.extend([worker] * max(count, 0))
            if len(workers) >= len(step.tasks):
                return workers[: len(step.tasks)]
        return None

    def candidates(self, step, now, index):
        """Yield the eligible workers with a valid ticket and enough free resources.

        :param index: :class:`PassIndex` of the pass.
        """
        queue = step.flow.queue
        if queue.HasField("advice") and not step.ticket_by_worker:
            return
        is_late = now + step.path_s > step.due_at
        for worker in index.with_room(step, ignores_reservations=is_late):
            if self._valid_ticket(step, worker, now) is not None and _has_capacity(step, worker):
                yield worker

    def eligible_workers(self, step, now):
        """Yield the workers that match the service and label of a step and accept tasks."""
        service = step.flow.queue.service
        for worker in self.worker_by_id.values():
            if (
                worker.accepts_tasks
                and worker.record.service == service
                and worker.excluded_until <= now
                and (not step.spec.label or step.spec.label in worker.record.labels)
            ):
                yield worker

    def sort_key(self, step, worker, now):
        """Return a sort key; the worker with the smallest key is preferred."""
        spec = step.spec
        is_remote = bool(spec.data_rack) and worker.rack != spec.data_rack
        cpu_left_milli = worker.free_cpu_milli - step.resources.cpu_milli
        if spec.filling:
            # Best-effort tasks disturb tasks with a latency target, and get little processor time
            # on workers that throttle them.
            return (
                bool(worker.latency_task_count),
                -worker.best_effort_percent,
                is_remote,
                -cpu_left_milli,
                worker.id,
            )
        if step.flow.priority == 0:
            # Urgent tasks go to fast workers with the most free processor time.
            return (is_remote, round(worker.expected_slowdown(now), 1), -cpu_left_milli, worker.id)
        if spec.lasting:
            return (
                is_remote,
                step.task_count_by_worker.get(worker.id, 0),
                -cpu_left_milli,
                worker.id,
            )
        accelerators_left = worker.free_accelerators - step.resources.accelerators
        return (is_remote, accelerators_left, cpu_left_milli, worker.id)

    def _valid_ticket(self, step, worker, now):
        """Return the ticket for a worker, "" if none is needed, None if it is missing."""
        if not step.flow.queue.HasField("advice"):
            return ""
        ticket, expires_at = step.ticket_by_worker.get(worker.id, ("", 0.0))
        return ticket if expires_at - TICKET_MARGIN_S > now else None

    def _assign(self, task, worker, run, now):
        step = task.step
        task.state = TaskState.STARTING
        task.run = run
        task.worker = worker
        task.since = now
        worker.reserve(task)
        step.task_count_by_worker[worker.id] = step.task_count_by_worker.get(worker.id, 0) + 1
        step.flow.started = True
        ticket = self._valid_ticket(step, worker, now) or ""
        return StartAction(task=task, worker=worker, run=run, ticket=ticket)


def _pop_preferred(heap, excluded):
    """Remove and return the preferred worker that is not excluded, or None.

    :param heap: heap of (sort key, worker); keys are unique.
    """
    skipped = []
    chosen = None
    while heap and chosen is None:
        entry = heappop(heap)
        if entry[1] in excluded:
            skipped.append(entry)
        else:
            chosen = entry[1]
    for entry in skipped:
        heappush(heap, entry)
    return chosen


def _is_due(step, now, wall_ms):
    if not step.is_due or step.flow.is_suspended(now):
        return False
    return step.flow.scheduled_at_ms(step.occurrence) <= wall_ms


def _rank(step, now):
    """Return the sort key of a step with tasks to start."""
    lateness_s = now + step.path_s - step.due_at
    is_late = 0.0 < lateness_s <= MAX_LATENESS_S and not step.spec.lasting
    return (step.flow.priority, is_late, step.due_at, step.id)


def _has_capacity(step, worker):
    limit = step.spec.max_per_worker
    if limit and step.task_count_by_worker.get(worker.id, 0) >= limit:
        return False
    return worker.fits(step.resources)
