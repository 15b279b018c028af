"""Planning of calls to the advice service, which permits steps to use workers; pure logic.

>>> from siskintally.advice_planning import MAX_WORKERS
>>> MAX_WORKERS
100
"""

from math import inf
from typing import NamedTuple

from siskintally.flow import StepRun, TaskState
from siskintally.step_placement import TICKET_MARGIN_S

# Workers named in one call.
MAX_WORKERS = 100
# Calls expected to take longer than this may not use the clients reserved for quick calls.
QUICK_S = 0.15
# Delay before a step asks again after a call that failed or granted no permit.
RETRY_S = 0.25


class AdviceAction(NamedTuple):
    """A planned call to the advice service for one step.

    ``expected_s``: call duration according to the terms of the service.
    """

    step: StepRun
    worker_ids: tuple
    expected_s: float

    @property
    def is_quick(self):
        """Whether the call may use a client reserved for quick calls."""
        return self.expected_s <= QUICK_S


class AdvicePlanning:
    """Mixin of the scheduler that requests permits."""

    __slots__ = ()

    def advice_wanted(self, now, wall_ms):
        """Yield an :class:`AdviceAction` for each step that should ask now, by priority."""
        for step in (*self.due_steps(wall_ms), *self._next_steps(now)):
            if step.asking or now < step.next_ask or not step.flow.is_open:
                continue
            queue = step.flow.queue
            if queue is None or not queue.HasField("advice"):
                continue
            workers = self._to_ask(step, now)
            if workers:
                terms = queue.advice
                expected_s = (terms.decide_ms + terms.per_worker_ms * len(workers)) / 1000
                yield AdviceAction(step=step, worker_ids=workers, expected_s=expected_s)

    def _next_steps(self, now):
        """Yield steps whose last dependency ends soon, so that their permits arrive in time."""
        for step in self.running_steps():
            for follower in step.followers:
                if follower.blockers == 1 and not follower.ticket_by_worker:
                    queue = follower.flow.queue
                    if queue is None or not queue.HasField("advice"):
                        continue
                    lead_s = (queue.advice.decide_ms + 200) / 1000
                    if self._ends_in(step, now) <= lead_s:
                        yield follower

    def _ends_in(self, step, now):
        """Return the estimated time until a step ends, s; infinite if a task is not running."""
        latest = 0.0
        for task in step.tasks:
            if task.state == TaskState.DONE:
                continue
            if task.state != TaskState.RUNNING:
                return inf
            whole_s = step.spec.estimate_ms / 1000 * task.worker.expected_slowdown(now)
            latest = max(latest, task.since + whole_s - now)
        return latest

    def _to_ask(self, step, now):
        """Return ids of the workers to ask about, none if there are enough permits.

        Urgent steps and steps that are not ready ask also about workers that are full now.
        """
        eligible = [one for one in self.eligible(step, now) if one.id not in step.refused]
        held = sum(one.fits(step.need) for one in eligible if self._is_permitted(step, one, now))
        wanted = len(step.waiting) or len(step.tasks)
        if held and (held >= wanted or step.blockers):
            return ()
        missing = [one for one in eligible if not self._is_permitted(step, one, now)]
        if step.flow.priority == 0 or step.blockers:
            chosen = missing
        else:
            chosen = [one for one in missing if one.fits(step.need)]
        chosen.sort(key=lambda one: self.cost(step, one, now))
        return tuple(one.id for one in chosen[:MAX_WORKERS])

    def _is_permitted(self, step, worker, now):
        _, ends = step.ticket_by_worker.get(worker.id, ("", 0.0))
        return ends - TICKET_MARGIN_S > now

    def advised(self, action, tickets, valid_until, now):
        """Store the tickets and denials from an answer of the advice service.

        :param tickets: :class:`~siskintally.driver.Ticket` objects, None after a failed call.
        :param valid_until: steady time at which the tickets expire.
        """
        step = action.step
        step.asking = False
        if tickets is None:
            step.next_ask = now + RETRY_S
            return
        allowed = {ticket.worker_id for ticket in tickets}
        step.refused.update(one for one in action.worker_ids if one not in allowed)
        for ticket in tickets:
            step.ticket_by_worker[ticket.worker_id] = (ticket.text, valid_until)
        if not allowed:
            step.next_ask = now + RETRY_S
