"""Dispatch loop of a domain owner: places tasks, commits assignments, sends start orders.

>>> from siskintally.dispatcher import PASS_DELAY_S
>>> PASS_DELAY_S
0.05
"""

from anyio import Event, move_on_after, sleep

from siskintally.domain_job import job_id_of
from siskintally.domain_state_pb2 import AssignmentRecord, DomainBatch
from siskintally.log import get_logger

# Delay before a pass that is not urgent, so that tasks that arrive together share one commit.
PASS_DELAY_S = 0.05
# Longest time between passes: reservations and probes of ejected workers become due without any
# event.
MAX_PASS_INTERVAL_S = 1.0

log = get_logger("dispatcher")


class Dispatcher:
    """Places waiting tasks during one term as owner.

    :param owner_term: :class:`~siskintally.owner_term.OwnerTerm`.
    """

    __slots__ = ("_metrics", "_owner_term")

    def __init__(self, *, owner_term, metrics):
        self._owner_term = owner_term
        self._metrics = metrics

    async def run(self):
        """Place tasks until cancelled.

        :raises NotLeaderError: leadership has ended.
        :raises OutcomeUnknownError: leadership was lost during a commit.
        """
        owner_term = self._owner_term
        while True:
            with move_on_after(MAX_PASS_INTERVAL_S):
                await owner_term.pass_requested.wait()
            if owner_term.pass_requested.is_set() and not owner_term.is_pass_urgent:
                await sleep(PASS_DELAY_S)
            owner_term.pass_requested = Event()
            owner_term.is_pass_urgent = False
            await self.run_pass()

    async def run_pass(self):
        """Run one pass; only send stop orders while the group may not start tasks."""
        owner_term = self._owner_term
        if not owner_term.may_start_tasks():
            owner_term.push_orders()
            return
        started = owner_term.clock()
        decision = owner_term.placement.decide(now=started)
        if decision.assignments:
            await self._assign(decision.assignments)
        owner_term.stop_tasks(decision.stops, checkpoint=True)
        owner_term.push_orders()
        if decision.assignments:
            self._metrics.count("placements", len(decision.assignments))
            self._metrics.timing("placement_pass", owner_term.clock() - started)
            owner_term.request_pass()

    async def _assign(self, assignments):
        owner_term = self._owner_term
        records, records_by_task = [], {}
        for assignment in assignments:
            record = self._build_record(assignment)
            if record is not None:
                records.append(record)
            records_by_task[assignment.task_id] = record
        reply = await owner_term.commit(batch=DomainBatch(assigned=records))
        refused = set(reply.refused)
        refused.update(task for task, record in records_by_task.items() if record is None)
        for assignment in assignments:
            if assignment.task_id in refused:
                self._undo_assignment(assignment.task_id)
            else:
                owner_term.start_task(assignment.task_id)

    def _build_record(self, assignment):
        domain = self._owner_term.domain
        task, worker = domain.task(assignment.task_id), domain.worker_by_name.get(assignment.worker)
        if task is None or worker is None:
            return None
        return AssignmentRecord(
            task_id=assignment.task_id,
            attempt=task.attempt + 1,
            worker=assignment.worker,
            session=worker.record.session,
        )

    def _undo_assignment(self, task_id):
        """Undo an assignment that the domain refused because the worker or the job had changed."""
        owner_term = self._owner_term
        log.info("assignment refused", task=task_id)
        owner_term.placement.pool.release(task_id)
        task, job_id = owner_term.domain.task(task_id), job_id_of(task_id)
        job = owner_term.placement.job_by_id.get(job_id)
        if job is not None and task is not None and not task.worker and task_id not in job.waiting:
            owner_term.placement.requeue(job_id, task_id)
        owner_term.request_pass()
