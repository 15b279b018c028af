"""Passes the commands that the group commits to the scheduler of the leader.

The call that proposed a command may be cancelled before it learns of the commit, for example when
its link closes. The scheduler must follow the command all the same, or a cancelled flow would run
on and an accepted one would never start.

>>> from siskintally.committed_commands import CommittedCommands
>>> CommittedCommands(scheduler=None, state=None, on_document=None).apply(now=0.0)
0
"""

from collections import deque

from siskintally.control_state import Outcome
from siskintally.error_isolation import SUSPENSION_S
from siskintally.log import get_logger
from siskintally.step_text import describe_step
from siskintally.task_id import TaskId

# Most steps that the log line of a flow describes; flows have only a few, and lines stay short.
LOGGED_STEPS = 8

log = get_logger("committed-commands")


class CommittedCommands:
    """Committed commands that the scheduler has yet to follow.

    :param scheduler: :class:`~siskintally.flow_scheduler.FlowScheduler`.
    :param state: :class:`~siskintally.control_state.ControlState`.
    :param on_document: function that is called when a new configuration is in force.
    """

    __slots__ = ("_commands", "_failed", "_on_document", "_scheduler", "_state")

    def __init__(self, *, scheduler, state, on_document):
        self._commands = deque()
        # (steady time of the next attempt, kind, body) of commands whose handler failed.
        self._failed = deque()
        self._scheduler = scheduler
        self._state = state
        self._on_document = on_document

    def record(self, kind, body):
        """Record a command that the group has just applied.

        :returns: whether the scheduler has to follow it.
        """
        if kind not in _HANDLER_BY_KIND:
            return False
        self._commands.append((kind, body))
        return True

    def apply(self, now):
        """Let the scheduler follow the recorded commands; return their number.

        :param now: steady time, s.
        """
        count = 0
        while self._failed and self._failed[0][0] <= now:
            self._commands.append(self._failed.popleft()[1:])
        while self._commands:
            self._follow(*self._commands.popleft(), now)
            count += 1
        return count

    def _follow(self, kind, body, now):
        """Follow a command; after an unexpected error, it is tried again later."""
        try:
            _HANDLER_BY_KIND[kind](self, body, now)
        except Exception as error:
            self._failed.append((now + SUSPENSION_S, kind, body))
            self._scheduler.isolate(getattr(body, "id", ""), error, now)

    def _accept(self, flow, now):
        flow_state = self._state.flow_by_id.get(flow.id)
        if flow_state is None or flow_state.outcome != Outcome.OPEN:
            return
        if self._scheduler.knows(flow.id):
            return
        flow = flow_state.flow
        log.info(
            "flow accepted",
            flow=flow.id,
            queue=flow.queue,
            steps=[describe_step(step) for step in flow.steps[:LOGGED_STEPS]],
        )
        self._scheduler.accept(flow, self._state.queue_of(flow), now)

    def _cancel(self, key, now):
        flow_state = self._state.flow_by_id.get(key.id)
        if flow_state is None:
            return
        flow = self._scheduler.flow_by_id.get(key.id)
        on_workers = flow.count_on_workers() if flow is not None else 0
        stop_orders_before = len(self._scheduler.stops)
        self._scheduler.cancel(key.id)
        log.info(
            "flow cancelled",
            flow=key.id,
            outcome=flow_state.outcome.name,
            scheduled=flow is not None,
            on_workers=on_workers,
            stop_orders=len(self._scheduler.stops) - stop_orders_before,
        )

    def _close_ended(self, batch, now):
        """Close the flows that an end has closed in the state.

        The scheduler may have counted the end with another limit of attempts.
        """
        for end in batch.ends:
            task_id = TaskId.parse(end.task)
            flow_state = self._state.flow_by_id.get(task_id.flow) if task_id is not None else None
            if flow_state is not None and flow_state.outcome != Outcome.OPEN:
                self._scheduler.cancel(flow_state.flow.id)

    def _update_queues(self, document, now):
        self._scheduler.update_queues(self._state, now)
        waiting = [flow.id for flow in self._scheduler.flows_without_queue()]
        if waiting:
            log.info(
                "flows without a queue",
                version=document.version,
                count=len(waiting),
                first=waiting[0],
            )
        self._on_document()


_HANDLER_BY_KIND = {
    "accept": CommittedCommands._accept,
    "cancel": CommittedCommands._cancel,
    "document": CommittedCommands._update_queues,
    "ends": CommittedCommands._close_ended,
}
