"""Flow scheduler for one leader term; pure logic, callers pass the time in.

>>> from siskintally.control_pb2 import Flow, FlowStep, PoolWorker, Queue
>>> from siskintally.flow_scheduler import FlowScheduler
>>> scheduler = FlowScheduler(term=3)
>>> scheduler.join(PoolWorker(id="w", service="s", cpu_milli=1000, memory_mb=100), is_new=True)
>>> queue = Queue(name="q", service="s", max_attempts=2)
>>> flow = Flow(id="f", queue="q", steps=[FlowStep(tasks=1, cpu_milli=500)])
>>> scheduler.accept(flow, queue, now=0.0)
>>> [(start.task.id, start.worker.id) for start in scheduler.place(0.0, 0)]
[('f.0.0.0', 'w')]
"""

from siskintally.actions import StopAction
from siskintally.advice_planning import AdvicePlanning
from siskintally.control_state import Failures, Outcome
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow import FlowRun, TaskState
from siskintally.report_handling import ReportHandling
from siskintally.speculation import Speculation
from siskintally.step_placement import StepPlacement

# Each term has its own range of run numbers, so those of a later leader are always higher.
RUNS_PER_TERM = 1_000_000


class FlowScheduler(StepPlacement, AdvicePlanning, ReportHandling, Speculation):
    """Scheduling decisions of a leader during its term.

    ``ready_by_id``: unfinished steps whose dependencies are done. ``stops``, ``throttles``:
    :class:`~siskintally.actions.StopAction` and :class:`~siskintally.actions.ThrottleAction`
    objects waiting to be sent. ``taken_by_worker``: number of the last end processed from each
    worker. ``_unlocated_by_worker``: tasks that a former leader sent to a worker that has not yet
    reported in this term. ``_known_flows``: ids of all flows seen in this term.

    :param term: term of the leader; also the fence of its orders.
    """

    __slots__ = (
        "_known_flows",
        "_runs",
        "_unlocated_by_worker",
        "flow_by_id",
        "ready_by_id",
        "stops",
        "taken_by_worker",
        "term",
        "throttles",
        "worker_by_id",
    )

    def __init__(self, *, term):
        self.term = term
        self.flow_by_id = {}
        self.worker_by_id = {}
        self.ready_by_id = {}
        self.stops = []
        self.throttles = []
        self.taken_by_worker = {}
        self._runs = 0
        self._known_flows = set()
        self._unlocated_by_worker = {}

    def next_run(self):
        """Return a new run number."""
        self._runs += 1
        return self.term * RUNS_PER_TERM + self._runs

    def restore(self, state, now):
        """Load the flows and workers from the replicated state at the start of the term.

        A task can only be running on the worker that its last committed start names. Tasks that
        were never started, or whose worker is gone, can start at once.

        :param state: :class:`~siskintally.control_state.ControlState`.
        """
        for record in state.worker_by_id.values():
            self.join(record, is_new=False)
        for flow_state in state.flow_by_id.values():
            if flow_state.outcome == Outcome.OPEN:
                queue = state.queue(flow_state.flow.queue)
                self._restore_flow(flow_state, queue, now)

    def _restore_flow(self, state, queue, now):
        run = FlowRun(flow=state.flow, queue=queue, arrived=now)
        self.flow_by_id[run.id] = run
        self._known_flows.add(run.id)
        run.started = bool(state.done or state.start_by_task)
        for step in run.steps():
            self._restore_step(step, state)
        for step in run.steps():
            if not step.remaining:
                for follower in step.followers:
                    follower.blockers -= 1
        self._ready(run.steps())

    def _restore_step(self, step, state):
        step.waiting.clear()
        for task in reversed(step.tasks):
            failures = state.failures_by_task.get(task.id, Failures())
            task.failures = failures.count
            task.failed_run = failures.last_run
            worker = self._worker_of(state.start_by_task.get(task.id))
            if task.id in state.done:
                task.state = TaskState.DONE
            elif worker is not None:
                task.state = TaskState.UNKNOWN
                self._unlocated_by_worker.setdefault(worker.id, []).append(task)
            else:
                step.waiting.append(task)
        step.remaining = sum(task.state != TaskState.DONE for task in step.tasks)

    def _worker_of(self, start):
        """Return the worker on which a committed start may be running, or None."""
        worker = self.worker_by_id.get(start.worker) if start is not None else None
        if worker is None or worker.record.born_ms != start.born_ms:
            return None
        return worker

    def note_seen(self, worker):
        """Requeue the tasks that a former leader sent to a worker and that do not run there."""
        steps = {}
        for task in self._unlocated_by_worker.pop(worker.id, ()):
            steps[task.step.id] = task.step
            if task.state == TaskState.UNKNOWN and task.step.flow.is_open:
                self._requeue(task, "")
        for step in steps.values():
            self._rejoin_gang(step)

    def _rejoin_gang(self, step):
        """Stop the running members of an incomplete gang, once all members are located."""
        if not step.spec.gang or not 0 < len(step.waiting) < step.remaining:
            return
        if any(task.state == TaskState.UNKNOWN for task in step.tasks):
            return
        for task in step.tasks:
            if task.state == TaskState.RUNNING:
                self.stop(task)

    def accept(self, flow, queue, now):
        """Add a flow whose acceptance is committed.

        Flows already seen in this term are ignored: the scheduler may have finished one whose last
        end is not committed yet.
        """
        if flow.id in self._known_flows:
            return
        self._known_flows.add(flow.id)
        run = FlowRun(flow=flow, queue=queue, arrived=now)
        self.flow_by_id[flow.id] = run
        self._ready(run.steps())

    def _ready(self, steps):
        for step in steps:
            if step.is_ready and step.remaining:
                self.ready_by_id[step.id] = step

    def requeue_queues(self, state):
        """Apply a new queue configuration to all flows.

        :param state: :class:`~siskintally.control_state.ControlState`.
        """
        by_name = {queue.name: queue for queue in state.document.queues}
        for flow in self.flow_by_id.values():
            flow.queue = by_name.get(flow.flow.queue)

    def cancel(self, flow_id):
        """Close a flow whose cancellation is committed."""
        flow = self.flow_by_id.get(flow_id)
        if flow is not None:
            self.close(flow)

    def close(self, flow):
        """Start no more tasks of a flow and stop the running ones."""
        if not flow.is_open:
            return
        flow.is_open = False
        for step in flow.steps():
            self.ready_by_id.pop(step.id, None)
            step.waiting.clear()
            for task in step.tasks:
                for one in (task, *task.copies):
                    if one.worker and one.state in (TaskState.STARTING, TaskState.RUNNING):
                        self.stop(one)
        self._drop_if_over(flow)

    def stop(self, task):
        """Queue a stop order for a task on a worker."""
        task.state = TaskState.STOPPING
        task.since = float("inf")
        self.stops.append(StopAction(task.id, task.run, task.worker))

    def running_steps(self):
        """Yield unfinished steps with all tasks started that other steps depend on."""
        for step in self.ready_by_id.values():
            if not step.waiting and step.followers:
                yield step

    def join(self, record, *, is_new):
        """Add a worker, replace its former incarnation, or update its record.

        :param is_new: whether no leader has sent tasks to this incarnation before.
        """
        known = self.worker_by_id.get(record.id)
        if known is not None and known.record.born_ms == record.born_ms:
            known.update(record)
            return
        if known is not None:
            self.lose(known)
        worker = FleetWorker(record=record)
        if is_new:
            worker.status = WorkerStatus.READY
        self.worker_by_id[record.id] = worker
        self.taken_by_worker.pop(record.id, None)

    def evacuate(self, worker, now):
        """Stop the tasks that would not end before a leaving worker shuts down."""
        left_s = worker.record.leaves_in_ms / 1000
        for task in list(worker.held_by_task.values()):
            if task.state != TaskState.RUNNING:
                continue
            spec = task.step.spec
            remaining_s = spec.estimate_ms / 1000 * worker.expected_slowdown(now) - (
                now - task.since
            )
            if spec.lasting or remaining_s > left_s:
                self.stop(task)

    def lapse(self, worker):
        """Requeue the tasks of a worker whose lease has expired: none of them runs any more."""
        worker.status = WorkerStatus.LAPSED
        self._empty(worker)
        self.note_seen(worker)

    def lose(self, worker):
        """Remove a worker incarnation that no longer exists and requeue its tasks."""
        worker.status = WorkerStatus.LOST
        self._empty(worker)
        if self.worker_by_id.get(worker.id) is worker:
            del self.worker_by_id[worker.id]
            self.note_seen(worker)

    def _empty(self, worker):
        worker.foreign = {}
        for task in list(worker.held_by_task.values()):
            self._leave_worker(task)
            if task.state == TaskState.DONE:
                continue
            self._requeue(task, "")
            if task.step.spec.gang:
                self.break_gang(task.step, task.run)

    def _leave_worker(self, task):
        worker = task.worker
        worker.release(task)
        counts = task.step.count_by_worker
        counts[worker.id] = counts.get(worker.id, 1) - 1
        task.worker = None
        if task.copy_of is not None:
            task.copy_of.copies.remove(task)
        if not task.step.flow.is_open:
            self._drop_if_over(task.step.flow)

    def _requeue(self, task, checkpoint):
        """Make a task that runs nowhere startable again if its flow is open."""
        if task.copy_of is not None:
            return
        if checkpoint:
            task.checkpoint = checkpoint
        step = task.step
        if task.state == TaskState.DONE or not step.flow.is_open:
            return
        task.state = TaskState.WAITING
        step.waiting.append(task)
        self._ready((step,))

    def _finish(self, task, now):
        """Mark a task as done, whether or not its worker has freed the resources."""
        if task.state == TaskState.DONE:
            return
        step = task.step
        if task.state == TaskState.WAITING and task in step.waiting:
            step.waiting.remove(task)
        if not step.spec.gang:
            self._end_copies(task, now)
        task.state = TaskState.DONE
        task.since = now
        step.remaining -= 1
        if step.remaining:
            return
        self.ready_by_id.pop(step.id, None)
        for follower in step.followers:
            follower.blockers -= 1
        self._ready(step.followers)
        if all(not one.remaining for one in step.flow.steps()):
            step.flow.is_open = False
            self._drop_if_over(step.flow)

    def _drop_if_over(self, flow):
        """Remove a closed flow once no worker has a task of it."""
        if flow.is_open or self.flow_by_id.get(flow.id) is not flow:
            return
        if all(task.worker is None for step in flow.steps() for task in step.tasks):
            del self.flow_by_id[flow.id]

    def pending(self, queue_name):
        """Return the number of open flows of a queue without a started task."""
        return sum(
            flow.flow.queue == queue_name and flow.is_open and not flow.started
            for flow in self.flow_by_id.values()
        )
