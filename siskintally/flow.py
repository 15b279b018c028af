"""Runtime state that a leader keeps for each flow: occurrences, steps, and tasks.

A flow is a workflow of dependent steps, run by the control group; a scheduled flow runs its steps
once per occurrence. A job, in contrast, is a set of tasks of one kind, placed by domain groups.

>>> from siskintally.control_pb2 import Flow, FlowStep, Queue
>>> from siskintally.flow import FlowRun
>>> flow = Flow(id="f", queue="q", steps=[FlowStep(tasks=2), FlowStep(tasks=1, after=[0])])
>>> run = FlowRun(flow=flow, queue=Queue(name="q"), arrived_at=0.0)
>>> [step.is_ready for step in run.steps()]
[True, False]
"""

from enum import IntEnum
from math import inf

from siskintally.control_state import Failures
from siskintally.fleet import task_resources
from siskintally.task_id import TaskId, occurrence_count

NO_FAILURES = Failures()


class TaskState(IntEnum):
    """State of a task in the view of the leader."""

    # A former leader may have started it on the recorded worker, which has not reported yet.
    UNKNOWN = 0
    WAITING = 1
    STARTING = 2
    RUNNING = 3
    STOPPING = 4
    DONE = 5


class TaskRun:
    """One task of a step.

    ``failures``: :class:`~siskintally.control_state.Failures`; a gang counts them at its first
    task. ``run``: number of the current or last run, which a former leader may have started.
    ``since``: steady time of the last state change; once its run is stopped, the time at which its
    worker confirmed the stop, infinite until then. ``worker``:
    :class:`~siskintally.fleet.FleetWorker` on which resources are reserved for the task, or None.
    ``checkpoint``: checkpoint from which the next start resumes, "" for none. ``percent``:
    progress, or 100 for a long-running task that is working. ``progress_at``: steady time of the
    last change of ``percent``. ``copies``: other runs of the task that still have resources
    reserved, as tasks whose ``copy_of`` is this one. ``tail_latency_ms``: last reported tail
    latency of a long-running task.
    """

    __slots__ = (
        "checkpoint",
        "copies",
        "copy_of",
        "failures",
        "id",
        "percent",
        "progress_at",
        "resources",
        "run",
        "since",
        "state",
        "step",
        "tail_latency_ms",
        "worker",
    )

    def __init__(self, *, task_id, step, resources):
        self.id = task_id
        self.step = step
        self.resources = resources
        self.state = TaskState.WAITING
        self.run = 0
        self.worker = None
        self.copies = []
        self.copy_of = None
        self.checkpoint = ""
        self.failures = NO_FAILURES
        self.percent = 0
        self.progress_at = 0.0
        self.since = 0.0
        self.tail_latency_ms = 0

    def live_runs(self):
        """Return the numbers of the last run and of its copies."""
        return (self.run, *(copy.run for copy in self.copies))


class StepRun:
    """One step of one occurrence.

    ``unfinished_dependencies``: number of unfinished steps that this one depends on.
    ``dependents``: steps that depend on this one. ``waiting``: stack of tasks that can be started.
    ``task_count_by_worker``: number of this step's runs, copies included, for which each worker has
    resources reserved. ``ticket_by_worker``: permits of the advice service, as (ticket, steady time
    at which it expires). ``denied_worker_ids``: workers that the advice service denied.
    ``is_asking``: whether a call to the advice service is in flight. ``next_ask_at``: earliest
    steady time of the next call. ``gang_run``: run number shared by all members of a gang.
    ``path_s``: estimated run time of this step and of the longest chain of steps behind it.
    ``due_at``: steady time by which its occurrence should be done.
    ``reserved_worker_ids``: workers that the last pass kept free for its large tasks.
    """

    __slots__ = (
        "denied_worker_ids",
        "dependents",
        "due_at",
        "flow",
        "gang_run",
        "is_asking",
        "next_ask_at",
        "number",
        "occurrence",
        "path_s",
        "remaining",
        "reserved_worker_ids",
        "spec",
        "task_count_by_worker",
        "tasks",
        "ticket_by_worker",
        "unfinished_dependencies",
        "waiting",
    )

    def __init__(self, *, flow, occurrence, number, spec):
        self.flow = flow
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.unfinished_dependencies = len(set(spec.after))
        self.dependents = []
        resources = task_resources(spec)
        self.tasks = [
            TaskRun(
                task_id=str(TaskId(flow.id, occurrence, number, index)),
                step=self,
                resources=resources,
            )
            for index in range(spec.tasks)
        ]
        self.remaining = spec.tasks
        self.waiting = list(reversed(self.tasks))
        self.task_count_by_worker = {}
        self.ticket_by_worker = {}
        self.denied_worker_ids = set()
        self.is_asking = False
        self.next_ask_at = 0.0
        self.gang_run = 0
        self.reserved_worker_ids = frozenset()
        self.path_s = spec.estimate_ms / 1000
        self.due_at = 0.0

    @property
    def id(self):
        """Step id: ``flow.occurrence.step``."""
        return f"{self.flow.id}.{self.occurrence}.{self.number}"

    @property
    def resources(self):
        """Resources that each task reserves."""
        return self.tasks[0].resources

    @property
    def is_ready(self):
        """Whether all steps that it depends on are done."""
        return not self.unfinished_dependencies

    @property
    def is_due(self):
        """Whether the step has tasks to start, is ready, and its flow may start tasks."""
        return bool(self.waiting) and not self.unfinished_dependencies and self.flow.may_start


def _due_terms(queue):
    """Return the terms of a queue from which the due times of its flows follow."""
    return queue.aim_ms, queue.stretch


class FlowRun:
    """One flow that is open, or closed with tasks still on workers.

    ``due_at``: steady time by which the flow should be done; orders flows of equal priority.
    ``started``: whether any task has been started. ``suspended_until``: steady time before which no
    tasks are started, because an unexpected error came from the flow.

    :param queue: :class:`~siskintally.control_pb2.Queue`, None if it is no longer configured.
    :param arrived_at: steady time of acceptance; an estimate if a former leader accepted the flow.
    """

    __slots__ = (
        "arrived_at",
        "due_at",
        "flow",
        "is_open",
        "queue",
        "started",
        "step_by_key",
        "suspended_until",
    )

    def __init__(self, *, flow, queue, arrived_at):
        self.flow = flow
        self.suspended_until = -inf
        self.queue = queue
        self.arrived_at = arrived_at
        self.is_open = True
        self.started = False
        self.step_by_key = {}
        for occurrence in range(occurrence_count(flow)):
            for number, spec in enumerate(flow.steps):
                step = StepRun(flow=self, occurrence=occurrence, number=number, spec=spec)
                self.step_by_key[occurrence, number] = step
        for step in self.steps():
            for dependency in set(step.spec.after):
                self.step_by_key[step.occurrence, dependency].dependents.append(step)
        for step in reversed(self.step_by_key.values()):
            step.path_s += max((dependent.path_s for dependent in step.dependents), default=0.0)
        self.due_at = arrived_at
        if queue is not None:
            self._set_due_times()

    def _set_due_times(self):
        aim_s = self.queue.aim_ms / 1000
        stretch = max(self.queue.stretch, 1.0)
        self.due_at = self.arrived_at + aim_s + stretch * self.critical_path_s()
        for step in self.steps():
            delay_ms = self.scheduled_at_ms(step.occurrence) - self.flow.accepted_ms
            step.due_at = self.due_at + max(delay_ms, 0) / 1000

    def change_queue(self, queue):
        """Follow a new configuration; a flow whose queue it lacks waits until the queue is back.

        :param queue: :class:`~siskintally.control_pb2.Queue`, None if it is not configured.
        """
        former, self.queue = self.queue, queue
        if queue is not None and (former is None or _due_terms(former) != _due_terms(queue)):
            self._set_due_times()

    def is_in(self, queue):
        """Return whether the flow belongs to a configured queue."""
        own = self.queue
        return own is not None and (own.host, own.prefix) == (queue.host, queue.prefix)

    @property
    def may_start(self):
        """Whether tasks may be started: the flow is open and its queue is configured."""
        return self.is_open and self.queue is not None

    def is_suspended(self, now):
        """Return whether no tasks are started after an unexpected error."""
        return now < self.suspended_until

    @property
    def id(self):
        """Flow id."""
        return self.flow.id

    @property
    def priority(self):
        """Priority of the queue; 0 is the highest."""
        return self.queue.priority if self.queue is not None else 0

    def steps(self):
        """Yield the steps of all occurrences."""
        yield from self.step_by_key.values()

    def task(self, task_id):
        """Return a task.

        :param task_id: :class:`~siskintally.task_id.TaskId` of this flow.
        """
        return self.step_by_key[task_id.occurrence, task_id.step].tasks[task_id.index]

    def count_on_workers(self):
        """Return how many runs of its tasks, copies included, are on workers."""
        return sum(
            run.worker is not None
            for step in self.steps()
            for task in step.tasks
            for run in (task, *task.copies)
        )

    def critical_path_s(self):
        """Return the estimated run time of the critical path of one occurrence, s."""
        ends = []
        for spec in self.flow.steps:
            start_s = max(
                (ends[number] for number in spec.after if number < len(ends)), default=0.0
            )
            ends.append(start_s + spec.estimate_ms / 1000)
        return max(ends, default=0.0)

    def scheduled_at_ms(self, occurrence):
        """Return the scheduled Unix time of an occurrence in ms, 0 for a flow without schedule."""
        if not self.flow.times:
            return 0
        return self.flow.first_run_ms + occurrence * self.flow.interval_ms
