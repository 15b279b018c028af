"""Updates of task states from the reports and replies of workers; pure logic.

>>> from siskintally.report_handling import ReportHandling
>>> ReportHandling.__slots__
()
"""

from siskintally.actions import Release, ReleaseCause, StopAction, ThrottleAction
from siskintally.control_pb2 import TaskEnd
from siskintally.driver import EndKind, Refusal
from siskintally.fleet import END_WEIGHT, PROGRESS_WEIGHT, UnexpectedRun, WorkerStatus
from siskintally.flow import TaskState
from siskintally.task_id import TaskId
from siskintally.throttling import next_percent, worst_ratio

# Failures in a row, without a finished task between them, after which a worker is excluded.
MAX_CONSECUTIVE_FAILURES = 3
# Time for which an excluded worker gets no new tasks.
EXCLUSION_S = 4.0
# Minimum time without progress after which a task counts as stalled.
MIN_STALL_S = 2.5
# A task is not considered stalled while it may run this many times slower than estimated.
STALL_SLOWDOWN = 20
# Minimum run time and progress of a task from which the speed of its worker is derived: starting
# takes a moment, and progress is reported in whole percents.
MIN_OBSERVED_S = 0.3
MIN_OBSERVED_PERCENT = 5
# Minimum ratio of run time to estimate that counts as slow; inaccurate estimates alone seldom
# reach it.
SLOW_RATIO = 2.0
# Time after a confirmed stop, or after the end of another member of its gang, from which a run that
# its worker still lists is stopped again. It exceeds the longest time that a stop takes on a worker
# (0.9 s) plus the longest wait of a status poll (1.2 s).
STOP_AGAIN_S = 2.5

_HOW_BY_KIND = {EndKind.DONE: TaskEnd.DONE, EndKind.FAILED: TaskEnd.FAILED}


def is_stalled(task, now):
    """Return whether a task makes no progress although it is not throttled.

    Best-effort tasks may be throttled to a halt, so they never count as stalled.

    :param now: steady time, s.
    """
    if task.state != TaskState.RUNNING or task.step.spec.filling:
        return False
    unchanged_s = now - task.progress_at
    if task.step.spec.lasting:
        return task.percent < 100 and unchanged_s > MIN_STALL_S
    # Even on a worker that is slowed several times, a task gains 1 % within this time.
    percent_s = STALL_SLOWDOWN * task.step.spec.estimate_ms / 1000 / 100
    return task.percent < 100 and unchanged_s > max(MIN_STALL_S, percent_s)


def _flow_id(row):
    """Return the id of the flow that a row of a report names, "" if it names none."""
    task_id = TaskId.parse(row.task_id)
    return task_id.flow if task_id is not None else ""


class ReportHandling:
    """Mixin of the scheduler that processes what workers report."""

    __slots__ = ()

    def apply_report(self, worker, report, asked_at, now):
        """Apply a status report of a worker; return the :class:`TaskEnd` messages to commit.

        :param asked_at: steady time at which the status poll was sent; the report need not cover
            orders sent after that.
        """
        if worker.status == WorkerStatus.LOST:
            # The poll was in flight when another incarnation took the place of this one.
            return []
        ends = list(self._handle_ends(worker, report.ended, now))
        listed_runs = {(row.task_id, row.run) for row in report.running}
        for row in report.running:
            try:
                self._handle_running(worker, row, now)
            except Exception as error:
                self.isolate(_flow_id(row), error, now)
        if not report.is_partial:
            self._release_unlisted(worker, listed_runs, asked_at, now)
            self.requeue_unlocated(worker)
        worker.unexpected_run_by_task = {
            task_id: run
            for task_id, run in worker.unexpected_run_by_task.items()
            if (task_id, run.number) in listed_runs
        }
        self._throttle(worker)
        worker.status = WorkerStatus.READY
        return ends

    def _throttle(self, worker):
        """Adapt the throttle of best-effort tasks to the tail latency of long-running tasks."""
        tasks = list(worker.task_by_id.values())
        percent = next_percent(worker.best_effort_percent, worst=worst_ratio(tasks))
        if percent == worker.best_effort_percent:
            return
        worker.best_effort_percent = percent
        for task in tasks:
            if task.step.spec.filling and task.state == TaskState.RUNNING:
                self._order_throttle(task)

    def _order_throttle(self, task):
        """Queue an order with the share of best-effort tasks in force on the worker of a task."""
        percent = task.worker.best_effort_percent
        self.throttles.append(ThrottleAction(task, task.run, task.worker, percent))

    def _handle_ends(self, worker, rows, now):
        for row in rows:
            if row.number <= self.last_end_by_worker.get(worker.id, 0):
                continue
            self.last_end_by_worker[worker.id] = row.number
            try:
                yield from self._handle_end(worker, row, now)
            except Exception as error:
                self.isolate(_flow_id(row), error, now)
                yield from self._keep_end(row)
                self._settle_broken_off_end(row, now)

    def _handle_end(self, worker, row, now):
        task = self.find_task(row.task_id)
        reserved = worker.task_by_id.get(row.task_id)
        is_present = reserved is not None and reserved.run == row.run
        if task is None:
            yield from self._keep_end(row)
            return
        live_runs = task.live_runs()
        if is_present:
            self._record_run_time(worker, reserved, row, now)
            self._release_from_worker(reserved)
        if row.kind == EndKind.DONE:
            yield from self._handle_done(worker, task, row, is_present, now)
        elif is_present and reserved is not task:
            yield from self._handle_failure(worker, task, row, live_runs, now)
        elif is_present or (task.state == TaskState.UNKNOWN):
            yield from self._handle_failure(worker, task, row, live_runs, now)
            self._handle_other_end(task, row)

    def _keep_end(self, row):
        """Commit an end that could not be handled: the worker will not list it again.

        The replicated state counts a failure that has been committed before only once.
        """
        how = _HOW_BY_KIND.get(row.kind)
        task = self.find_task(row.task_id)
        if how == TaskEnd.DONE and task is not None and not task.step.spec.lasting:
            task.state = TaskState.DONE
        is_known = task is not None or _flow_id(row) in self._dropped_flow_ids
        if how is not None and is_known:
            yield TaskEnd(task=row.task_id, run=row.run, how=how)

    def _settle_broken_off_end(self, row, now):
        """Make the task of an end startable if an error came after the release of its run.

        After an error before that, the run is released because reports no longer list it.
        """
        task = self.find_task(row.task_id)
        if task is None or task.run != row.run or task.worker is not None:
            return
        try:
            if task not in task.step.waiting:
                self._requeue(task, row.checkpoint)
            if task.step.spec.gang and row.kind != EndKind.DONE:
                self.stop_gang(task.step, row.run)
        except Exception as error:
            self.isolate(_flow_id(row), error, now)

    def _handle_done(self, worker, task, row, is_present, now):
        if task.step.spec.lasting:
            if is_present:
                self._requeue(task, row.checkpoint)
            return
        worker.consecutive_failures = 0
        if task.state == TaskState.DONE:
            return
        yield TaskEnd(task=row.task_id, run=row.run, how=TaskEnd.DONE)
        ended = task.step.tasks if task.step.spec.gang else (task,)
        for ended_task in ended:
            self._finish(ended_task, row.run, now)

    def _record_run_time(self, worker, task, row, now):
        estimate_s = task.step.spec.estimate_ms / 1000
        is_whole = row.kind == EndKind.DONE and not task.checkpoint
        if estimate_s > 0 and is_whole and task.state == TaskState.RUNNING:
            worker.record_slowdown((now - task.since) / estimate_s, END_WEIGHT, now)

    def _record_slow_progress(self, worker, task, now):
        """Record the slowdown of the worker of a slow task, long before the task ends."""
        estimate_s = task.step.spec.estimate_ms / 1000
        ran_s = now - task.since
        is_comparable = estimate_s > 0 and not task.checkpoint and not task.step.spec.filling
        if not is_comparable or task.state != TaskState.RUNNING or ran_s < MIN_OBSERVED_S:
            return
        # With less progress than that, the run time so far is a lower bound of the ratio.
        done_share = task.percent / 100 if task.percent >= MIN_OBSERVED_PERCENT else 1.0
        ratio = ran_s / done_share / estimate_s
        if ratio >= SLOW_RATIO:
            worker.record_slowdown(ratio, PROGRESS_WEIGHT, now)

    def _handle_failure(self, worker, task, row, live_runs, now):
        if row.kind != EndKind.FAILED:
            return
        worker.consecutive_failures += 1
        if worker.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            worker.exclude_until(now + EXCLUSION_S)
        yield from self._count_failure(task, row, live_runs)

    def _handle_other_end(self, task, row):
        if task.state != TaskState.UNKNOWN:
            self._requeue(task, row.checkpoint)
        elif row.checkpoint:
            task.checkpoint = row.checkpoint
        if task.step.spec.gang:
            self.stop_gang(task.step, row.run)

    def _count_failure(self, task, row, live_runs):
        step = task.step
        counted = step.tasks[0] if step.spec.gang else task
        is_over = step.spec.lasting or counted.state == TaskState.DONE
        if is_over or counted.failures.includes(row.run, live_runs):
            return
        counted.failures = counted.failures.with_run(row.run, live_runs)
        yield TaskEnd(task=row.task_id, run=row.run, how=TaskEnd.FAILED)
        queue = step.flow.queue
        if queue is not None and counted.failures.count >= queue.max_attempts:
            self.close(step.flow)

    def stop_gang(self, step, run):
        """Stop the other members of a gang when one run has ended; all restart together."""
        for task in step.tasks:
            is_member = task.run == run and task.worker is not None
            if is_member and task.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop(task)

    def _handle_running(self, worker, row, now):
        reserved = worker.task_by_id.get(row.task_id)
        if reserved is not None and reserved.run == row.run:
            self._update_run(reserved, row, now)
            return
        task = self.find_task(row.task_id)
        if task is not None and task.state == TaskState.UNKNOWN and task.step.flow.is_open:
            self._adopt_run(worker, task, row, now)
            return
        self._stop_unexpected(worker, row, now)

    def _stop_unexpected(self, worker, row, now):
        """Stop an unexpected run, again if a confirmed stop had no effect."""
        run = worker.unexpected_run_by_task.get(row.task_id)
        is_known = run is not None and run.number == row.run
        if is_known and now - run.stop_confirmed_at <= STOP_AGAIN_S:
            return
        worker.unexpected_run_by_task[row.task_id] = UnexpectedRun(number=row.run)
        self.stops.append(StopAction(row.task_id, row.run, worker, is_overdue=is_known))

    def _update_run(self, task, row, now):
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent or task.progress_at < task.since:
            task.percent = row.percent
            task.progress_at = now
            self._record_slow_progress(task.worker, task, now)
        if task.step.spec.lasting:
            task.tail_latency_ms = row.load
        if task.state == TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.since = now
        elif task.state in (TaskState.STOPPING, TaskState.DONE):
            if now - task.since > STOP_AGAIN_S:
                self.order_stop(task, is_overdue=True)
        elif is_stalled(task, now):
            self._replace_stalled(task, now)

    def _replace_stalled(self, task, now):
        """Stop a stalled task so that it restarts elsewhere; exclude its worker for a while."""
        task.worker.exclude_until(now + EXCLUSION_S)
        self.stop(task)
        if task.step.spec.gang:
            self.stop_gang(task.step, task.run)

    def _adopt_run(self, worker, task, row, now):
        """Adopt a run that a former leader started."""
        step = task.step
        task.state = TaskState.RUNNING
        task.run = row.run
        task.worker = worker
        task.since = now
        worker.reserve(task)
        step.task_count_by_worker[worker.id] = step.task_count_by_worker.get(worker.id, 0) + 1
        step.flow.started = True
        if step.spec.gang:
            step.gang_run = max(step.gang_run, row.run)
        if step.spec.filling:
            # The former leader may have throttled it.
            self._order_throttle(task)
        self._update_run(task, row, now)

    def _release_unlisted(self, worker, listed_runs, asked_at, now):
        """Release and requeue runs that a report does not list although it should.

        Covered are runs whose start, or stop if one was ordered, was confirmed before the status
        poll was sent.
        """
        for task in list(worker.task_by_id.values()):
            is_listed = (task.id, task.run) in listed_runs
            is_settled = task.state != TaskState.STARTING and task.since < asked_at
            if is_listed or not is_settled:
                continue
            try:
                self._release_and_requeue(task, ReleaseCause.UNLISTED)
            except Exception as error:
                self.isolate(task.step.flow.id, error, now)

    def apply_started(self, task, run, now):
        """Mark a task as running after its worker confirmed the start."""
        if task.run == run and task.state == TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.since = now
            if task.step.spec.filling and task.worker.best_effort_percent < 100:
                self._order_throttle(task)

    def apply_refusal(self, task, run, refusal, now, *, was_sent_before):
        """Process a refused start; requeue the task if the run is certainly over.

        A refusal speaks for the attempt that it answers. An earlier attempt may still be carried
        out, except after ``OLD``: then the next report lists the end of the run, if there was one.

        :param was_sent_before: whether an earlier attempt got no answer.
        """
        is_pending = task.state in (TaskState.STARTING, TaskState.STOPPING)
        if task.run != run or not is_pending or task.worker is None:
            return
        worker = task.worker
        if refusal == Refusal.TICKET:
            task.step.ticket_by_worker.pop(worker.id, None)
        if was_sent_before:
            if refusal == Refusal.OLD:
                self._await_report(task, now)
            else:
                self.settle_by_stop(task, run)
            return
        self.releases.append(Release(task.id, run, worker.id, ReleaseCause.REFUSED))
        self._release_from_worker(task)
        self._requeue(task, "")
        if task.step.spec.gang:
            self.stop_gang(task.step, run)

    @staticmethod
    def _await_report(task, now):
        """Let the next report tell whether a run that is not there has ended."""
        if task.state == TaskState.STARTING:
            task.state = TaskState.RUNNING
        task.since = now

    def settle_by_stop(self, task, run):
        """Stop a run that may still be started by an order without an answer.

        Its room and its task are held until a report asked for after the stop does not list it: the
        worker refuses the start of a stopped run.
        """
        if task.run != run or task.worker is None or task.state != TaskState.STARTING:
            return
        self.stop(task)
        if task.step.spec.gang:
            self.stop_gang(task.step, run)

    def apply_stopped(self, action, now):
        """Record a confirmed stop; the resources are released when the run has ended."""
        worker = action.worker
        reserved = worker.task_by_id.get(action.task_id)
        if (
            reserved is not None
            and reserved.run == action.run
            and reserved.state in (TaskState.STOPPING, TaskState.DONE)
        ):
            reserved.since = now
        unexpected = worker.unexpected_run_by_task.get(action.task_id)
        if unexpected is not None and unexpected.number == action.run:
            unexpected.stop_confirmed_at = now

    def find_task(self, name):
        """Return the task with the id ``name``, or None if its flow or the task is unknown."""
        task_id = TaskId.parse(name)
        flow = self.flow_by_id.get(task_id.flow) if task_id is not None else None
        if flow is None or not task_id.belongs_to(flow.flow):
            return None
        return flow.task(task_id)
