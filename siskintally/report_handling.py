"""Updates of task states from the reports and replies of workers; pure logic.

>>> from siskintally.report_handling import ReportHandling
>>> ReportHandling.__slots__
()
"""

from siskintally.actions import StopAction, ThrottleAction
from siskintally.control_pb2 import TaskEnd
from siskintally.driver import EndKind, Refusal
from siskintally.fleet import END_WEIGHT, PROGRESS_WEIGHT, WorkerStatus
from siskintally.flow import TaskState
from siskintally.task_id import TaskId
from siskintally.throttling import next_percent, worst_ratio

# Failures in a row, without a finished task between them, after which a worker is excluded.
SHUN_FAILURES = 3
# Time for which an excluded worker gets no new tasks.
SHUN_S = 4.0
# Minimum time without progress after which a task counts as stalled.
STILL_S = 2.5
# A task is not considered stalled while it may run this many times slower than estimated.
SLOWEST_FACTOR = 20
# Minimum run time and progress of a task from which the speed of its worker is derived: starting
# takes a moment, and progress is reported in whole percents.
TELLING_S = 0.3
TELLING_PERCENT = 5
# Minimum ratio of run time to estimate that counts as slow; inaccurate estimates alone seldom
# reach it.
SLOW_RATIO = 2.0


def stands_still(task, now):
    """Return whether a task makes no progress although it is not throttled.

    :param now: steady time, s.
    """
    if task.state != TaskState.RUNNING or task.step.spec.filling:
        return False
    quiet_s = now - task.progress_at
    if task.step.spec.lasting:
        return task.percent < 100 and quiet_s > STILL_S
    # Even on a worker that is slowed several times, a task gains 1 % within this time.
    slow_s = SLOWEST_FACTOR * task.step.spec.estimate_ms / 1000 / 100
    return task.percent < 100 and quiet_s > max(STILL_S, slow_s)


class ReportHandling:
    """Mixin of the scheduler that processes what workers report."""

    __slots__ = ()

    def report(self, worker, report, asked_at, now):
        """Apply a status report of a worker; return the :class:`TaskEnd` messages to commit.

        :param asked_at: steady time at which the status poll was sent; the report need not cover
            orders sent after that.
        """
        ends = list(self._take_ends(worker, report.ended, now))
        rows = {row.task_id: row for row in report.running}
        for row in report.running:
            self._take_running(worker, row, now)
        if not report.is_partial:
            self._note_vanished(worker, rows, asked_at, now)
            self.note_seen(worker)
        worker.foreign = {
            task_id: run
            for task_id, run in worker.foreign.items()
            if task_id in rows and rows[task_id].run == run
        }
        self._throttle(worker)
        worker.status = WorkerStatus.READY
        return ends

    def _throttle(self, worker):
        """Adapt the throttle of best-effort tasks to the tail latency of long-running tasks."""
        held = list(worker.held_by_task.values())
        percent = next_percent(worker.fill_percent, worst=worst_ratio(held))
        if percent == worker.fill_percent:
            return
        worker.fill_percent = percent
        for task in held:
            if task.step.spec.filling and task.state == TaskState.RUNNING:
                self.throttles.append(ThrottleAction(task, task.run, worker, percent))

    def _take_ends(self, worker, rows, now):
        for row in rows:
            if row.number <= self.taken_by_worker.get(worker.id, 0):
                continue
            self.taken_by_worker[worker.id] = row.number
            task = self.find(row.task_id)
            held = worker.held_by_task.get(row.task_id)
            is_present = held is not None and held.run == row.run
            if task is None:
                continue
            if is_present:
                self._learn_pace(worker, held, row, now)
                self._leave_worker(held)
            if row.kind == EndKind.DONE:
                yield from self._take_done(worker, task, row, is_present, now)
            elif is_present and held is not task:
                yield from self._take_failure(worker, task, row, now)
            elif is_present or (task.state == TaskState.UNKNOWN):
                yield from self._take_other_end(worker, task, row, now)

    def _take_done(self, worker, task, row, is_present, now):
        if task.step.spec.lasting:
            if is_present:
                self._requeue(task, row.checkpoint)
            return
        worker.failed_in_a_row = 0
        if task.state == TaskState.DONE:
            return
        yield TaskEnd(task=row.task_id, run=row.run, how=TaskEnd.DONE)
        ended = task.step.tasks if task.step.spec.gang else (task,)
        for one in ended:
            self._finish(one, now)

    def _learn_pace(self, worker, task, row, now):
        estimate_s = task.step.spec.estimate_ms / 1000
        is_whole = row.kind == EndKind.DONE and not task.checkpoint
        if estimate_s > 0 and is_whole and task.state == TaskState.RUNNING:
            worker.record_slowdown((now - task.since) / estimate_s, END_WEIGHT, now)

    def _note_slow(self, worker, task, now):
        """Record the slowdown of the worker of a slow task, long before the task ends."""
        estimate_s = task.step.spec.estimate_ms / 1000
        ran_s = now - task.since
        is_comparable = estimate_s > 0 and not task.checkpoint and not task.step.spec.filling
        if not is_comparable or task.state != TaskState.RUNNING or ran_s < TELLING_S:
            return
        # With less progress than that, the run time so far is a lower bound of the ratio.
        share = task.percent / 100 if task.percent >= TELLING_PERCENT else 1.0
        ratio = ran_s / share / estimate_s
        if ratio >= SLOW_RATIO:
            worker.record_slowdown(ratio, PROGRESS_WEIGHT, now)

    def _take_failure(self, worker, task, row, now):
        if row.kind != EndKind.FAILED:
            return
        worker.failed_in_a_row += 1
        if worker.failed_in_a_row >= SHUN_FAILURES:
            worker.excluded_until = now + SHUN_S
        yield from self._count_failure(task, row)

    def _take_other_end(self, worker, task, row, now):
        yield from self._take_failure(worker, task, row, now)
        if task.state != TaskState.UNKNOWN:
            self._requeue(task, row.checkpoint)
        elif row.checkpoint:
            task.checkpoint = row.checkpoint
        if task.step.spec.gang:
            self.break_gang(task.step, row.run)

    def _count_failure(self, task, row):
        step = task.step
        counted = step.tasks[0] if step.spec.gang else task
        is_over = step.spec.lasting or counted.state == TaskState.DONE
        if is_over or row.run <= counted.failed_run:
            return
        counted.failed_run = row.run
        yield TaskEnd(task=row.task_id, run=row.run, how=TaskEnd.FAILED)
        counted.failures += 1
        queue = step.flow.queue
        if queue is not None and counted.failures >= queue.max_attempts:
            self.close(step.flow)

    def break_gang(self, step, run):
        """Stop the other members of a gang when one run has ended; all restart together."""
        for task in step.tasks:
            is_member = task.run == run and task.worker is not None
            if is_member and task.state in (TaskState.STARTING, TaskState.RUNNING):
                self.stop(task)

    def _take_running(self, worker, row, now):
        held = worker.held_by_task.get(row.task_id)
        if held is not None and held.run == row.run:
            self._update(held, row, now)
            return
        task = self.find(row.task_id)
        if task is not None and task.state == TaskState.UNKNOWN and task.step.flow.is_open:
            self._claim(worker, task, row, now)
            return
        if worker.foreign.get(row.task_id) != row.run:
            worker.foreign[row.task_id] = row.run
            self.stops.append(StopAction(row.task_id, row.run, worker))

    def _update(self, task, row, now):
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if row.percent != task.percent or task.progress_at < task.since:
            task.percent = row.percent
            task.progress_at = now
            self._note_slow(task.worker, task, now)
        if task.step.spec.lasting:
            task.tail_ms = row.load
        if task.state == TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.since = now
        elif stands_still(task, now):
            self._replace_still(task, now)

    def _replace_still(self, task, now):
        """Stop a stalled task so that it restarts elsewhere; exclude its worker for a while."""
        task.worker.excluded_until = now + SHUN_S
        self.stop(task)
        if task.step.spec.gang:
            self.break_gang(task.step, task.run)

    def _claim(self, worker, task, row, now):
        """Adopt a run that a former leader started."""
        step = task.step
        task.state = TaskState.RUNNING
        task.run = row.run
        task.worker = worker
        task.since = now
        worker.hold(task)
        step.count_by_worker[worker.id] = step.count_by_worker.get(worker.id, 0) + 1
        step.flow.started = True
        if step.spec.gang:
            step.gang_run = max(step.gang_run, row.run)
        self._update(task, row, now)

    def _note_vanished(self, worker, rows, asked_at, now):
        """Release and requeue runs that are missing from a report requested after they began."""
        for task in list(worker.held_by_task.values()):
            row = rows.get(task.id)
            is_listed = row is not None and row.run == task.run
            is_settled = task.state != TaskState.STARTING and task.since < asked_at
            if is_listed or not is_settled:
                continue
            self._leave_worker(task)
            if task.state != TaskState.DONE:
                self._requeue(task, "")
                if task.step.spec.gang:
                    self.break_gang(task.step, task.run)

    def started(self, task, run, now):
        """Mark a task as running after its worker confirmed the start."""
        if task.run == run and task.state == TaskState.STARTING:
            task.state = TaskState.RUNNING
            task.since = now
            worker = task.worker
            if task.step.spec.filling and worker.fill_percent < 100:
                self.throttles.append(ThrottleAction(task, run, worker, worker.fill_percent))

    def refused(self, task, run, refusal, now, *, was_sent_before):
        """Release and requeue a task after its worker refused the start.

        :param was_sent_before: whether an earlier attempt to send the order may have started the
            run. Its end, if any, arrives with the next report.
        """
        if task.run != run or task.state not in (TaskState.STARTING, TaskState.STOPPING):
            return
        if refusal == Refusal.OLD and was_sent_before:
            if task.state == TaskState.STARTING:
                task.state = TaskState.RUNNING
            task.since = now
            return
        worker = task.worker
        if refusal == Refusal.TICKET:
            task.step.ticket_by_worker.pop(worker.id, None)
        self._leave_worker(task)
        self._requeue(task, "")
        if task.step.spec.gang:
            self.break_gang(task.step, run)

    def stopped(self, action, now):
        """Record a confirmed stop; the resources are released when the run has ended."""
        held = action.worker.held_by_task.get(action.task_id)
        if held is not None and held.run == action.run and held.state == TaskState.STOPPING:
            held.since = now

    def find(self, name):
        """Return the task with that id, or None if its flow or the task is unknown."""
        task_id = TaskId.parse(name)
        flow = self.flow_by_id.get(task_id.flow) if task_id is not None else None
        if flow is None or not task_id.is_of(flow.flow):
            return None
        return flow.task(task_id)
