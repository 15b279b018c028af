"""Replicated state machine of a control group: flows, task starts and ends, queues, workers.

>>> from siskintally.control_pb2 import ControlCommand, Flow, FlowStep
>>> from siskintally.control_state import ControlState
>>> state = ControlState()
>>> flow = Flow(id="f1", queue="q", steps=[FlowStep(tasks=1)])
>>> _ = state.apply(index=2, command=ControlCommand(accept=flow).SerializeToString())
>>> state.flow_by_id["f1"].outcome.name
'OPEN'
"""

from enum import IntEnum
from typing import NamedTuple

from siskintally.control_pb2 import (
    ControlCommand,
    ControlSnapshot,
    Flow,
    FlowRecord,
    PoolWorker,
    QueueDocument,
    TaskEnd,
    TaskFailures,
    TaskStart,
)
from siskintally.queue_index import QueueIndex
from siskintally.state_machine import StateMachine
from siskintally.task_id import TaskId, occurrence_count, step_task_ids


class Outcome(IntEnum):
    """Committed outcome of a flow."""

    OPEN = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class Failures(NamedTuple):
    """Failed attempts of a task.

    ``runs``: the counted runs that are live, and the highest counted one. Live are the last start
    of the task and its copy, which may fail in any order. Every other run is over; if a higher one
    counts, it has been counted or given up itself.

    >>> Failures().with_run(7, live_runs=(7, 3)).with_run(3, live_runs=(7, 3))
    Failures(count=2, runs=(7, 3))
    """

    count: int = 0
    runs: tuple = ()

    def includes(self, run, live_runs):
        """Return whether a failed run has been counted, or given up before a later one failed."""
        if run in live_runs:
            return run in self.runs
        return run <= max(self.runs, default=0)

    def with_run(self, run, live_runs):
        """Return the failures with one more."""
        highest = max(self.runs, default=0)
        kept = (known for known in self.runs if known in live_runs or known == highest)
        return Failures(count=self.count + 1, runs=(*kept, run))


class Start(NamedTuple):
    """Last committed start of a task.

    The task can run on no other worker, except that a speculative task may still run where
    ``copy``, an earlier start of it, was sent.
    """

    run: int
    worker: str
    born_ms: int
    copy: "Start | None" = None

    @classmethod
    def from_record(cls, record):
        """Return the start that a :class:`TaskStart` describes."""
        copy = cls.from_record(record.copy) if record.HasField("copy") else None
        return cls(run=record.run, worker=record.worker, born_ms=record.born_ms, copy=copy)

    def runs(self):
        """Return the numbers of the runs that may still be reported."""
        return (self.run,) if self.copy is None else (self.run, self.copy.run)

    def to_record(self, task_id):
        """Return the :class:`TaskStart` of a task."""
        copy = self.copy.to_record(task_id) if self.copy is not None else None
        return TaskStart(
            task=task_id, run=self.run, worker=self.worker, born_ms=self.born_ms, copy=copy
        )


class FlowState:
    """A flow with the committed starts and ends of its tasks.

    ``done``: ids of tasks that are done. ``failures_by_task``: :class:`Failures` by task id.
    ``start_by_task``: :class:`Start` of tasks that were sent to a worker and are not done.
    ``remaining``: number of tasks that are not done, infinite with a long-running step.
    """

    __slots__ = ("done", "failures_by_task", "flow", "outcome", "remaining", "start_by_task")

    def __init__(self, *, flow):
        self.flow = flow
        self.outcome = Outcome.OPEN
        self.done = set()
        self.failures_by_task = {}
        self.start_by_task = {}
        self.remaining = sum(
            float("inf") if step.lasting else step.tasks for step in flow.steps
        ) * occurrence_count(flow)

    def record_start(self, start):
        """Record the start of a task in place of its previous one."""
        if self.outcome == Outcome.OPEN and start.task not in self.done:
            self.start_by_task[start.task] = Start.from_record(start)

    def close(self, outcome):
        """Record the outcome of an open flow; its tasks are not started again."""
        if self.outcome == Outcome.OPEN:
            self.outcome = outcome
            self.start_by_task.clear()

    def record_done(self, task):
        """Record that a task is done; the end of one gang member counts for all members."""
        step = self.flow.steps[task.step]
        if step.lasting:
            return
        ended = step_task_ids(self.flow, task.occurrence, task.step) if step.gang else (str(task),)
        for name in ended:
            if name not in self.done:
                self.done.add(name)
                self.start_by_task.pop(name, None)
                self.remaining -= 1
        if not self.remaining:
            self.close(Outcome.COMPLETED)

    def record_failure(self, task, run, max_attempts):
        """Count a failed attempt; the flow fails when a task has used up its attempts.

        Two leaders may report the same end, so each run counts once.

        :param max_attempts: None if the queue is no longer configured.
        """
        step = self.flow.steps[task.step]
        name = str(task._replace(index=0)) if step.gang else str(task)
        if step.lasting or name in self.done:
            return
        start = self.start_by_task.get(str(task))
        live_runs = start.runs() if start is not None else ()
        failures = self.failures_by_task.get(name, Failures())
        if failures.includes(run, live_runs):
            return
        failures = self.failures_by_task[name] = failures.with_run(run, live_runs)
        is_exhausted = max_attempts is not None and failures.count >= max_attempts
        if is_exhausted:
            self.close(Outcome.FAILED)

    def close_if_exhausted(self, max_attempts):
        """Record the failure of a flow whose tasks have used up the attempts now allowed."""
        failures = self.failures_by_task
        if any(failures[name].count >= max_attempts for name in failures if name not in self.done):
            self.close(Outcome.FAILED)


class ControlState(StateMachine):
    """Replicated state; ``worker_by_id`` contains every worker that may have received tasks.

    ``on_applied``: ``on_applied(kind, body)`` is called after each applied command with the name
    and value of its field in :class:`ControlCommand`; None if nothing follows them.
    ``queues``: :class:`~siskintally.queue_index.QueueIndex` of the configuration.
    """

    __slots__ = ("document", "flow_by_id", "on_applied", "queues", "worker_by_id")

    def __init__(self):
        self.on_applied = None
        self._set_document(QueueDocument())
        self.flow_by_id = {}
        self.worker_by_id = {}

    def queue(self, name):
        """Return the queue of that name, or None."""
        return self.queues.by_name.get(name)

    def queue_of(self, flow):
        """Return the queue of a flow, or None if it is not configured."""
        return self.queues.of_flow(flow)

    def _set_document(self, document):
        self.document = document
        self.queues = QueueIndex(queues=document.queues)

    def apply(self, *, index, command):
        """Apply a committed :class:`ControlCommand`; the reply is empty."""
        parsed = ControlCommand.FromString(command)
        kind = parsed.WhichOneof("body")
        body = getattr(parsed, kind)
        getattr(self, f"_apply_{kind}")(body)
        if self.on_applied is not None:
            self.on_applied(kind, body)
        return b""

    def _apply_accept(self, flow):
        if flow.id not in self.flow_by_id:
            self.flow_by_id[flow.id] = FlowState(flow=flow)
            self._add_address(flow)

    def _add_address(self, flow):
        """Add the address of its queue to a flow that an earlier version stored with a name."""
        queue = self.queue(flow.queue) if not flow.prefix else None
        if queue is not None:
            flow.host, flow.prefix = queue.host, queue.prefix

    def _apply_cancel(self, key):
        state = self.flow_by_id.get(key.id)
        if state is not None:
            state.close(Outcome.CANCELLED)

    def _apply_starts(self, batch):
        for start in batch.starts:
            task = TaskId.parse(start.task)
            state = self.flow_by_id.get(task.flow) if task is not None else None
            if state is not None and task.belongs_to(state.flow):
                state.record_start(start)

    def _apply_ends(self, batch):
        for end in batch.ends:
            task = TaskId.parse(end.task)
            state = self.flow_by_id.get(task.flow) if task is not None else None
            if state is None or not task.belongs_to(state.flow):
                continue
            if end.how == TaskEnd.DONE:
                state.record_done(task)
            else:
                queue = self.queue_of(state.flow)
                max_attempts = queue.max_attempts if queue is not None else None
                state.record_failure(task, end.run, max_attempts)

    def _apply_document(self, document):
        if document.version <= self.document.version:
            return
        self._set_document(document)
        for state in self.flow_by_id.values():
            self._add_address(state.flow)
            queue = self.queue_of(state.flow)
            if queue is not None:
                state.close_if_exhausted(queue.max_attempts)

    def _apply_join(self, worker):
        self.worker_by_id[worker.id] = worker

    def _apply_leave(self, key):
        worker = self.worker_by_id.get(key.id)
        if worker is not None and worker.born_ms == key.born_ms:
            del self.worker_by_id[key.id]

    def _apply_forget(self, keys):
        for key in keys.ids:
            self.flow_by_id.pop(key, None)

    def snapshot(self):
        """Return the whole state as bytes."""
        snapshot = ControlSnapshot(
            document=self.document,
            flows=[_flow_record(state) for state in self.flow_by_id.values()],
            workers=list(self.worker_by_id.values()),
        )
        return snapshot.SerializeToString(deterministic=True)

    def restore(self, data):
        """Replace the state with a snapshot."""
        snapshot = ControlSnapshot.FromString(data)
        self._set_document(snapshot.document)
        self.worker_by_id = {
            worker.id: _copy_message(PoolWorker, worker) for worker in snapshot.workers
        }
        self.flow_by_id = {record.flow.id: _flow_state(record) for record in snapshot.flows}
        for state in self.flow_by_id.values():
            self._add_address(state.flow)


def _flow_record(state):
    return FlowRecord(
        flow=state.flow,
        cancelled=state.outcome == Outcome.CANCELLED,
        failed=state.outcome == Outcome.FAILED,
        done=sorted(state.done),
        failures={
            name: TaskFailures(count=failures.count, runs=failures.runs)
            for name, failures in state.failures_by_task.items()
        },
        starts=[start.to_record(name) for name, start in state.start_by_task.items()],
    )


def _flow_state(record):
    state = FlowState(flow=_copy_message(Flow, record.flow))
    state.done = set(record.done)
    state.failures_by_task = {
        name: Failures(count=failures.count, runs=tuple(failures.runs or (failures.last_run,)))
        for name, failures in record.failures.items()
    }
    state.remaining -= len(state.done)
    for start in record.starts:
        state.record_start(start)
    if record.cancelled:
        state.outcome = Outcome.CANCELLED
    elif record.failed:
        state.outcome = Outcome.FAILED
    elif not state.remaining:
        state.outcome = Outcome.COMPLETED
    return state


def _copy_message(kind, message):
    """Return a copy of a message that does not keep the whole snapshot in memory."""
    copy = kind()
    copy.CopyFrom(message)
    return copy
