"""Flow scheduler for one leader term; pure logic, callers pass the time in.

>>> from siskintally.control_pb2 import Flow, FlowStep, PoolWorker, Queue
>>> from siskintally.driver import WorkerReport
>>> from siskintally.flow_scheduler import FlowScheduler
>>> scheduler = FlowScheduler(term=3)
>>> scheduler.join(PoolWorker(id="w", service="s", cpu_milli=1000, memory_mb=100))
>>> scheduler.apply_report(scheduler.worker_by_id["w"], WorkerReport(clock_ms=0), 0.0, 0.0)
[]
>>> queue = Queue(name="q", service="s", max_attempts=2)
>>> flow = Flow(id="f", queue="q", steps=[FlowStep(tasks=1, cpu_milli=500)])
>>> scheduler.accept(flow, queue, now=0.0)
>>> [(start.task.id, start.worker.id) for start in scheduler.place(0.0, 0)]
[('f.0.0.0', 'w')]
"""

from math import inf

from siskintally.actions import Release, ReleaseCause, StopAction
from siskintally.advice_planning import AdvicePlanning
from siskintally.control_state import Outcome
from siskintally.error_isolation import ErrorIsolation
from siskintally.fleet import FleetWorker, WorkerStatus
from siskintally.flow import NO_FAILURES, FlowRun, TaskState
from siskintally.report_handling import ReportHandling
from siskintally.speculation import Speculation
from siskintally.step_placement import StepPlacement

# Each term has its own range of run numbers, so those of a later leader are always higher.
RUNS_PER_TERM = 1_000_000
# Longest age of a flow that a leader takes over, for its place in the order of starts.
MAX_RESTORED_AGE_S = 60.0


class FlowScheduler(StepPlacement, AdvicePlanning, ReportHandling, Speculation, ErrorIsolation):
    """Scheduling decisions of a leader during its term.

    ``ready_by_id``: unfinished steps whose dependencies are done. ``stops``, ``throttles``:
    :class:`~siskintally.actions.StopAction` and :class:`~siskintally.actions.ThrottleAction`
    objects waiting to be sent. ``releases``: :class:`~siskintally.actions.Release` objects waiting
    to be logged. ``last_end_by_worker``: number of the last end processed from each worker.
    ``_unlocated_by_worker``: tasks that a former leader sent to a worker that has not yet reported
    in this term. ``_lease_end_by_lost``: steady time at which the lease of a lost incarnation ends,
    by (id, start time). ``_known_flow_ids``: ids of all flows seen in this term.
    ``_dropped_flow_ids``: ids of the flows that could not be restored.

    :param term: term of the leader; also the fence of its orders.
    :param on_error: ``on_error(flow_id, error)`` that is called for an unexpected error that
        suspends a flow; None to raise such errors.
    """

    __slots__ = (
        "_dropped_flow_ids",
        "_known_flow_ids",
        "_lease_end_by_lost",
        "_run_count",
        "_unlocated_by_worker",
        "flow_by_id",
        "last_end_by_worker",
        "on_error",
        "ready_by_id",
        "releases",
        "stops",
        "term",
        "throttles",
        "worker_by_id",
    )

    def __init__(self, *, term, on_error=None):
        self.term = term
        self.on_error = on_error
        self.flow_by_id = {}
        self.worker_by_id = {}
        self.ready_by_id = {}
        self.stops = []
        self.throttles = []
        self.releases = []
        self.last_end_by_worker = {}
        self._run_count = 0
        self._known_flow_ids = set()
        self._dropped_flow_ids = set()
        self._lease_end_by_lost = {}
        self._unlocated_by_worker = {}

    def next_run_number(self):
        """Return a new run number."""
        self._run_count += 1
        return self.term * RUNS_PER_TERM + self._run_count

    def restore(self, state, now, *, wall_ms=0):
        """Load the flows and workers from the replicated state at the start of the term.

        A task can only be running on the worker that its last committed start names; a speculative
        task also on the workers of earlier starts. Tasks that were never started, or whose worker
        is gone, can start at once.

        :param state: :class:`~siskintally.control_state.ControlState`.
        :param wall_ms: Unix time, ms; 0 if flows are to count as accepted now.
        """
        for record in state.worker_by_id.values():
            self.join(record)
        for flow_state in state.flow_by_id.values():
            if flow_state.outcome != Outcome.OPEN:
                continue
            queue = state.queue_of(flow_state.flow)
            age_s = (wall_ms - flow_state.flow.accepted_ms) / 1000 if wall_ms else 0.0
            # The clocks of the VMs may differ by seconds.
            arrived_at = now - min(max(age_s, 0.0), MAX_RESTORED_AGE_S)
            self._known_flow_ids.add(flow_state.flow.id)
            try:
                self._restore_flow(flow_state, queue, arrived_at, now)
            except Exception as error:
                self._drop(flow_state.flow.id, error)

    def _drop(self, flow_id, error):
        """Leave out a flow that cannot be restored; runs of it that workers list are stopped."""
        flow = self.flow_by_id.pop(flow_id, None)
        if flow is not None:
            flow.is_open = False
        self._dropped_flow_ids.add(flow_id)
        self.isolate(flow_id, error)

    def _restore_flow(self, state, queue, arrived_at, now):
        run = FlowRun(flow=state.flow, queue=queue, arrived_at=arrived_at)
        self.flow_by_id[run.id] = run
        run.started = bool(state.done or state.start_by_task)
        for step in run.steps():
            self._restore_step(step, state, now)
        for step in run.steps():
            if not step.remaining:
                for dependent in step.dependents:
                    dependent.unfinished_dependencies -= 1
        self._add_ready(run.steps())

    def _restore_step(self, step, state, now):
        step.waiting.clear()
        for task in reversed(step.tasks):
            task.failures = state.failures_by_task.get(task.id, NO_FAILURES)
            start = state.start_by_task.get(task.id)
            worker = self._worker_of_start(start)
            if start is not None and task.id not in state.done:
                self.restore_copy(task, start.copy, self._worker_of_start(start.copy), now)
            if task.id in state.done:
                task.state = TaskState.DONE
            elif worker is not None:
                task.state = TaskState.UNKNOWN
                task.run = start.run
                self._unlocated_by_worker.setdefault(worker.id, []).append(task)
            else:
                step.waiting.append(task)
        step.remaining = sum(task.state != TaskState.DONE for task in step.tasks)

    def _worker_of_start(self, start):
        """Return the worker on which a committed start may be running, or None."""
        worker = self.worker_by_id.get(start.worker) if start is not None else None
        if worker is None or worker.record.born_ms != start.born_ms:
            return None
        return worker

    def requeue_unlocated(self, worker):
        """Requeue the tasks that a former leader sent to a worker and that do not run there."""
        steps = {}
        for task in self._unlocated_by_worker.pop(worker.id, ()):
            steps[task.step.id] = task.step
            if task.state == TaskState.UNKNOWN and task.step.flow.is_open:
                self.releases.append(Release(task.id, 0, worker.id, ReleaseCause.NOT_REPORTED))
                self._requeue(task, "")
        for step in steps.values():
            try:
                self._stop_incomplete_gang(step)
            except Exception as error:
                self.isolate(step.flow.id, error)

    def _stop_incomplete_gang(self, step):
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
        if flow.id in self._known_flow_ids:
            return
        self._known_flow_ids.add(flow.id)
        run = FlowRun(flow=flow, queue=queue, arrived_at=now)
        self.flow_by_id[flow.id] = run
        self._add_ready(run.steps())

    def knows(self, flow_id):
        """Return whether a flow has been seen in this term."""
        return flow_id in self._known_flow_ids

    def _add_ready(self, steps):
        for step in steps:
            if step.flow.is_open and step.is_ready and step.remaining:
                self.ready_by_id[step.id] = step

    def update_queues(self, state, now):
        """Apply a new queue configuration to all flows.

        :param state: :class:`~siskintally.control_state.ControlState`.
        """
        for flow in list(self.flow_by_id.values()):
            try:
                flow.change_queue(state.queue_of(flow.flow))
                flow_state = state.flow_by_id.get(flow.id)
                if flow_state is not None and flow_state.outcome != Outcome.OPEN:
                    self.close(flow)
            except Exception as error:
                self.isolate(flow.id, error, now)

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
                for run in (task, *task.copies):
                    if run.worker and run.state in (TaskState.STARTING, TaskState.RUNNING):
                        self.stop(run)
        self._remove_if_over(flow)

    def stop(self, task):
        """Stop a task on a worker."""
        task.state = TaskState.STOPPING
        self.order_stop(task)

    def order_stop(self, task, *, is_overdue=False):
        """Queue a stop order for the run of a task that is stopping or done.

        :param is_overdue: whether the run is listed although it should have ended before.
        """
        task.since = float("inf")
        self.stops.append(StopAction(task.id, task.run, task.worker, is_overdue))

    def running_steps(self):
        """Yield unfinished steps that have dependents and no more tasks to start."""
        for step in self.ready_by_id.values():
            if not step.waiting and step.dependents:
                yield step

    def join(self, record):
        """Add a worker, replace its former incarnation, or update its record.

        An incarnation that is added gets no tasks before its first report: it may have runs of a
        former leader. If this leader has wrongly given it up, it gets none either until the lease
        in its earlier starts, which may still be carried out, is over.
        """
        existing = self.worker_by_id.get(record.id)
        if existing is not None and existing.record.born_ms == record.born_ms:
            existing.update(record)
            return
        if existing is not None:
            self.remove_worker(existing)
        worker = FleetWorker(record=record)
        worker.exclude_until(self._lease_end_by_lost.get((record.id, record.born_ms), -inf))
        self.worker_by_id[record.id] = worker
        self.last_end_by_worker.pop(record.id, None)

    def evacuate(self, worker, now):
        """Stop the tasks that would not end before a leaving worker shuts down."""
        time_left_s = worker.record.leaves_in_ms / 1000
        for task in list(worker.task_by_id.values()):
            if task.state != TaskState.RUNNING:
                continue
            spec = task.step.spec
            remaining_s = spec.estimate_ms / 1000 * worker.expected_slowdown(now) - (
                now - task.since
            )
            if spec.lasting or remaining_s > time_left_s:
                self.stop(task)

    def expire_lease(self, worker):
        """Requeue the tasks of a worker whose lease has expired: nothing runs there any more."""
        worker.status = WorkerStatus.LAPSED
        self._release_tasks(worker, ReleaseCause.LEASE_EXPIRED)
        self.requeue_unlocated(worker)

    def remove_worker(self, worker):
        """Remove a worker incarnation that no longer exists and requeue its tasks."""
        worker.status = WorkerStatus.LOST
        self._lease_end_by_lost[worker.id, worker.record.born_ms] = worker.lease_expires_at
        self._release_tasks(worker, ReleaseCause.WORKER_GONE)
        if self.worker_by_id.get(worker.id) is worker:
            del self.worker_by_id[worker.id]
            self.forget_advice(worker.id)
            self.requeue_unlocated(worker)

    def _release_tasks(self, worker, cause):
        worker.unexpected_run_by_task = {}
        for task in list(worker.task_by_id.values()):
            try:
                self._release_and_requeue(task, cause)
            except Exception as error:
                self.isolate(task.step.flow.id, error)

    def _release_and_requeue(self, task, cause):
        """Release a run that is over without a known end, and start its task again."""
        self.releases.append(Release(task.id, task.run, task.worker.id, cause))
        self._release_from_worker(task)
        if task.state == TaskState.DONE:
            return
        self._requeue(task, "")
        if task.step.spec.gang:
            self.stop_gang(task.step, task.run)

    def _release_from_worker(self, task):
        worker = task.worker
        worker.release(task)
        counts = task.step.task_count_by_worker
        counts[worker.id] = counts.get(worker.id, 1) - 1
        task.worker = None
        if task.copy_of is not None:
            task.copy_of.copies.remove(task)
        if not task.step.flow.is_open:
            self._remove_if_over(task.step.flow)

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
        self._add_ready((step,))

    def _finish(self, task, run, now):
        """Mark a task as done, whether or not its worker has freed the resources.

        :param run: number of the run that is done. Members of a gang with the same run number end
            by themselves; all other runs of the task are stopped.
        """
        if task.state == TaskState.DONE:
            return
        step = task.step
        if task.state == TaskState.WAITING and task in step.waiting:
            step.waiting.remove(task)
        if not step.spec.gang or task.run != run:
            self._stop_copies(task, now)
        task.state = TaskState.DONE
        task.since = now
        step.remaining -= 1
        if step.remaining:
            return
        self.ready_by_id.pop(step.id, None)
        for dependent in step.dependents:
            dependent.unfinished_dependencies -= 1
        self._add_ready(step.dependents)
        if all(not other.remaining for other in step.flow.steps()):
            step.flow.is_open = False
            self._remove_if_over(step.flow)

    def _remove_if_over(self, flow):
        """Remove a closed flow once none of its tasks, apart from copies, is on a worker."""
        if flow.is_open or self.flow_by_id.get(flow.id) is not flow:
            return
        if all(task.worker is None for step in flow.steps() for task in step.tasks):
            del self.flow_by_id[flow.id]

    def count_pending(self, queue):
        """Return the number of open flows of a queue without a started task."""
        return sum(
            flow.is_in(queue) and flow.is_open and not flow.started
            for flow in self.flow_by_id.values()
        )

    def flows_without_queue(self):
        """Yield the open flows that wait until their queue is configured again."""
        for flow in self.flow_by_id.values():
            if flow.is_open and flow.queue is None:
                yield flow
