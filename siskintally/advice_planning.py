"""Planning of calls to the advice service, which permits steps to use workers; pure logic.

>>> from siskintally.advice_planning import MAX_WORKERS
>>> MAX_WORKERS
100
"""

from math import inf
from typing import NamedTuple

from siskintally.flow import StepRun, TaskState
from siskintally.room_reservation import remaining_s, room_in_s
from siskintally.step_placement import TICKET_MARGIN_S

# Workers named in one call.
MAX_WORKERS = 100
# Calls expected to take longer than this may not use the clients reserved for quick calls.
QUICK_CALL_MAX_S = 0.15
# Delay before a step asks again after a call that failed or granted no permit.
RETRY_S = 0.25


class AdviceAction(NamedTuple):
    """A planned call to the advice service for one step.

    ``workers``: the :class:`~siskintally.fleet.FleetWorker` objects that it names, the preferred
    one first. ``expected_s``: call duration according to the terms of the service.
    """

    step: StepRun
    workers: tuple
    expected_s: float

    @property
    def worker_ids(self):
        """Ids of the workers that the call names."""
        return tuple(worker.id for worker in self.workers)

    @property
    def flow_id(self):
        """Id of the flow that the action is for."""
        return self.step.flow.id

    @property
    def is_quick(self):
        """Whether the call may use a client reserved for quick calls."""
        return self.expected_s <= QUICK_CALL_MAX_S


def _any_client(*, is_quick):
    return True


def _expected_s(terms, worker_count):
    """Return the call duration that the terms of the service state."""
    return (terms.decide_ms + terms.per_worker_ms * worker_count) / 1000


def _is_quick(terms, *, worker_count):
    return _expected_s(terms, worker_count) <= QUICK_CALL_MAX_S


class AdvicePlanning:
    """Mixin of the scheduler that requests permits."""

    __slots__ = ()

    def plan_advice_calls(self, now, wall_ms, *, has_client=_any_client):
        """Yield an :class:`AdviceAction` for each step that should ask now, by priority.

        Planning ends once no client is free, so that its cost doesn't grow with the backlog.

        :param has_client: function of ``is_quick`` that returns whether a client is free for such
            a call.
        """
        index = self.new_pass_index(now)
        # Listing the clients is costly with many linked processes, and only a call changes it.
        free = {is_quick: has_client(is_quick=is_quick) for is_quick in (True, False)}
        for step in (*self.due_steps(now, wall_ms), *self._steps_ready_soon(now)):
            if not free[True]:
                return
            try:
                action = self._plan_advice_call(step, now, index, free)
            except Exception as error:
                self.isolate(step.flow.id, error, now)
                continue
            if action is not None:
                yield action
                free = {is_quick: has_client(is_quick=is_quick) for is_quick in (True, False)}

    def _plan_advice_call(self, step, now, index, free):
        """Return the :class:`AdviceAction` of a step, or None if it should not ask now.

        :param free: whether a client is free, by whether it is for quick calls.
        """
        if step.is_asking or now < step.next_ask_at or not step.flow.may_start:
            return None
        queue = step.flow.queue
        if not queue.HasField("advice") or not free[_is_quick(queue.advice, worker_count=1)]:
            return None
        workers = self._workers_to_ask(step, now, index)
        worker_count = min(len(workers), MAX_WORKERS)
        if not worker_count or not free[_is_quick(queue.advice, worker_count=worker_count)]:
            return None
        return AdviceAction(
            step=step,
            workers=self._preferred_workers(step, workers, now),
            expected_s=_expected_s(queue.advice, worker_count),
        )

    def _steps_ready_soon(self, now):
        """Yield steps whose last dependency ends soon, so that their permits arrive in time."""
        for step in self.running_steps():
            if not step.flow.may_start or not step.flow.queue.HasField("advice"):
                continue
            if step.flow.is_suspended(now):
                continue
            try:
                yield from self._dependents_ready_soon(step, now)
            except Exception as error:
                self.isolate(step.flow.id, error, now)

    def _dependents_ready_soon(self, step, now):
        lead_s = (step.flow.queue.advice.decide_ms + 200) / 1000
        for dependent in step.dependents:
            is_last = dependent.unfinished_dependencies == 1
            if not is_last or dependent.ticket_by_worker:
                continue
            if self._remaining_s(step, now) <= lead_s:
                yield dependent

    def _remaining_s(self, step, now):
        """Return the estimated time until a step ends, s; infinite if a task is not running."""
        longest_s = 0.0
        for task in step.tasks:
            if task.state == TaskState.DONE:
                continue
            if task.state != TaskState.RUNNING:
                return inf
            longest_s = max(longest_s, remaining_s(task, now))
        return longest_s

    def _workers_to_ask(self, step, now, index):
        """Return the workers to ask about, in no order; none if there are enough permits.

        Urgent steps and steps that are not ready ask also about workers that are full now.
        """
        asks_about_full = step.flow.priority == 0 or step.unfinished_dependencies
        if not asks_about_full and index.is_large(step):
            return self._workers_for_large_tasks(step, now, index)
        if not asks_about_full and not index.with_room(step):
            return ()
        if not step.ticket_by_worker and not step.denied_worker_ids:
            return index.eligible(step) if asks_about_full else index.with_room(step)
        workers = [
            worker for worker in index.eligible(step) if worker.id not in step.denied_worker_ids
        ]
        usable_count = sum(
            worker.fits(step.resources)
            for worker in workers
            if self._is_permitted(step, worker, now)
        )
        wanted_count = len(step.waiting) or len(step.tasks)
        if usable_count and (usable_count >= wanted_count or step.unfinished_dependencies):
            return ()
        unpermitted = [worker for worker in workers if not self._is_permitted(step, worker, now)]
        if asks_about_full:
            return unpermitted
        return [worker for worker in unpermitted if worker.fits(step.resources)]

    def _workers_for_large_tasks(self, step, now, index):
        """Return the workers to ask about for tasks that wait for reserved workers.

        Until one is allowed, these are all others, whether full or not, to find out which ones to
        reserve; then the reserved ones, by the time that they have room, and others with room.
        """
        reply_s = _expected_s(step.flow.queue.advice, worker_count=1)
        workers = index.eligible(step)
        allowed = [worker for worker in workers if worker.id in step.ticket_by_worker]
        unknown = [
            worker
            for worker in workers
            if worker.id not in step.denied_worker_ids and worker not in allowed
        ]
        if not allowed:
            return unknown
        expired = [worker for worker in allowed if not self._is_permitted(step, worker, now)]
        reserved = [
            worker
            for worker in expired
            if worker.id in step.reserved_worker_ids
            and room_in_s(worker, step.resources, now) <= reply_s
        ]
        others = [
            worker
            for worker in (*expired, *unknown)
            if worker not in reserved and worker.fits(step.resources)
        ]
        return reserved + others

    def _preferred_workers(self, step, workers, now):
        """Return the workers to name in a call, the preferred one first."""
        ordered = sorted(workers, key=lambda worker: self.sort_key(step, worker, now))
        return tuple(ordered[:MAX_WORKERS])

    def _is_permitted(self, step, worker, now):
        _, expires_at = step.ticket_by_worker.get(worker.id, ("", 0.0))
        return expires_at - TICKET_MARGIN_S > now

    def apply_advice(self, action, tickets, valid_until, now):
        """Store the tickets and denials from an answer of the advice service.

        Those of an incarnation that has ended since the call are ignored.

        :param tickets: :class:`~siskintally.driver.Ticket` objects, None after a failed call.
        :param valid_until: steady time at which the tickets expire.
        """
        step = action.step
        step.is_asking = False
        if tickets is None:
            step.next_ask_at = now + RETRY_S
            return
        allowed = {ticket.worker_id for ticket in tickets}
        current = {
            worker.id for worker in action.workers if self.worker_by_id.get(worker.id) is worker
        }
        step.denied_worker_ids.update(current - allowed)
        for ticket in tickets:
            if ticket.worker_id in current:
                step.ticket_by_worker[ticket.worker_id] = (ticket.text, valid_until)
        if not allowed:
            step.next_ask_at = now + RETRY_S

    def forget_advice(self, worker_id):
        """Forget the tickets and denials of an incarnation that has ended."""
        for flow in self.flow_by_id.values():
            for step in flow.steps():
                step.ticket_by_worker.pop(worker_id, None)
                step.denied_worker_ids.discard(worker_id)
