"""Flows as a leader runs them: occurrences, steps, tasks.

>>> from siskintally.control_pb2 import Flow, FlowStep, Queue
>>> from siskintally.flow import FlowRun
>>> flow = Flow(id="f", queue="q", steps=[FlowStep(tasks=2), FlowStep(tasks=1, after=[0])])
>>> run = FlowRun(flow=flow, queue=Queue(name="q"), arrived=0.0)
>>> [step.is_ready for step in run.steps()]
[True, False]
"""

from enum import IntEnum

from siskintally.fleet import need_of
from siskintally.task_id import TaskId, occurrences


class TaskState(IntEnum):
    """What a leader knows of a task."""

    # A former leader may have started it on the worker that is on record.
    UNKNOWN = 0
    WAITING = 1
    STARTING = 2
    RUNNING = 3
    STOPPING = 4
    DONE = 5


class TaskRun:
    """One task.

    ``failures``, ``failed_run``: failed attempts and the run that failed last; a gang counts them
    at its first task. ``run``: number of the present or last start. ``since``: steady time of the
    last change of state. ``worker``: :class:`~siskintally.fleet.FleetWorker` that holds it, or
    None. ``checkpoint``: where a new start resumes, "" for none. ``percent``: progress, or 100 for
    a lasting task that is at work. ``progress_at``: steady time at which it last changed.
    ``copies``: other runs of the task that still hold room, as tasks whose ``copy_of`` is this one.
    """

    __slots__ = (
        "checkpoint",
        "copies",
        "copy_of",
        "failed_run",
        "failures",
        "id",
        "need",
        "percent",
        "progress_at",
        "run",
        "since",
        "state",
        "step",
        "tail_ms",
        "worker",
    )

    def __init__(self, *, task_id, step, need):
        self.id = task_id
        self.step = step
        self.need = need
        self.state = TaskState.WAITING
        self.run = 0
        self.worker = None
        self.copies = []
        self.copy_of = None
        self.checkpoint = ""
        self.failures = 0
        self.failed_run = 0
        self.percent = 0
        self.progress_at = 0.0
        self.since = 0.0
        self.tail_ms = 0


class StepRun:
    """One step of one occurrence.

    ``blockers``: number of steps that have to be done first. ``waiting``: tasks that may be
    started, a stack. ``count_by_worker``: tasks that each worker holds. ``ticket_by_worker``:
    permits of the advice service as (ticket, steady time of its end). ``refused``: ids of workers
    that the advice service does not allow. ``gang_run``: run number that the members share.
    """

    __slots__ = (
        "asking",
        "blockers",
        "count_by_worker",
        "flow",
        "followers",
        "gang_run",
        "next_ask",
        "number",
        "occurrence",
        "refused",
        "remaining",
        "spec",
        "tasks",
        "ticket_by_worker",
        "waiting",
    )

    def __init__(self, *, flow, occurrence, number, spec):
        self.flow = flow
        self.occurrence = occurrence
        self.number = number
        self.spec = spec
        self.blockers = len(set(spec.after))
        self.followers = []
        need = need_of(spec)
        self.tasks = [
            TaskRun(task_id=str(TaskId(flow.id, occurrence, number, index)), step=self, need=need)
            for index in range(spec.tasks)
        ]
        self.remaining = spec.tasks
        self.waiting = list(reversed(self.tasks))
        self.count_by_worker = {}
        self.ticket_by_worker = {}
        self.refused = set()
        self.asking = False
        self.next_ask = 0.0
        self.gang_run = 0

    @property
    def id(self):
        """Name of the step: ``flow.occurrence.step``."""
        return f"{self.flow.id}.{self.occurrence}.{self.number}"

    @property
    def need(self):
        """What one task reserves."""
        return self.tasks[0].need

    @property
    def is_ready(self):
        """Whether all steps before it are done."""
        return not self.blockers

    @property
    def is_due(self):
        """Whether tasks may be started now."""
        return bool(self.waiting) and not self.blockers and self.flow.is_open


class FlowRun:
    """One flow that is not over.

    :param arrived: steady time of its acceptance, or of the beginning of this leader's term.
    """

    __slots__ = (
        "arrived",
        "due",
        "flow",
        "is_open",
        "queue",
        "started",
        "step_by_key",
    )

    def __init__(self, *, flow, queue, arrived):
        self.flow = flow
        self.queue = queue
        self.arrived = arrived
        self.is_open = True
        self.started = False
        self.step_by_key = {}
        for occurrence in range(occurrences(flow)):
            for number, spec in enumerate(flow.steps):
                step = StepRun(flow=self, occurrence=occurrence, number=number, spec=spec)
                self.step_by_key[occurrence, number] = step
        for step in self.steps():
            for before in set(step.spec.after):
                self.step_by_key[step.occurrence, before].followers.append(step)
        aim_s = queue.aim_ms / 1000 if queue is not None else 0.0
        stretch = queue.stretch if queue is not None else 1.0
        self.due = arrived + aim_s + max(stretch, 1.0) * self.chain_s()

    @property
    def id(self):
        """Flow id."""
        return self.flow.id

    @property
    def priority(self):
        """Priority of its queue, 0 first."""
        return self.queue.priority if self.queue is not None else 0

    def steps(self):
        """Yield all steps of all occurrences."""
        yield from self.step_by_key.values()

    def task(self, task_id):
        """Return a task.

        :param task_id: :class:`~siskintally.task_id.TaskId` of this flow.
        """
        return self.step_by_key[task_id.occurrence, task_id.step].tasks[task_id.index]

    def chain_s(self):
        """Return the estimated time of the longest chain of steps."""
        ends = []
        for spec in self.flow.steps:
            before = max((ends[number] for number in spec.after if number < len(ends)), default=0.0)
            ends.append(before + spec.estimate_ms / 1000)
        return max(ends, default=0.0)

    def starts_at(self, occurrence):
        """Return the Unix time in ms at which an occurrence is due, 0 without a schedule."""
        if not self.flow.times:
            return 0
        return self.flow.first_run_ms + occurrence * self.flow.interval_ms
