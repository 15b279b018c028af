"""Dispatch loop of a domain owner: places tasks, commits assignments, sends start orders.

>>> from siskintally.dispatcher import PASS_S
>>> PASS_S
0.05
"""

from anyio import Event, move_on_after, sleep

from siskintally.domain_job import job_id_of
from siskintally.domain_state_pb2 import AssignmentRecord, DomainBatch
from siskintally.log import get_logger

# Delay before a pass that is not urgent, so that tasks that arrive together share one commit.
PASS_S = 0.05
# Longest time between passes: reservations and probes of ejected workers become due without any
# event.
IDLE_PASS_S = 1.0

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
        :raises OutcomeUnknownError: as above, during a commit.
        """
        owner_term = self._owner_term
        while True:
            with move_on_after(IDLE_PASS_S):
                await owner_term.wake.wait()
            if owner_term.wake.is_set() and not owner_term.urgent:
                await sleep(PASS_S)
            owner_term.wake = Event()
            owner_term.urgent = False
            await self.step()

    async def step(self):
        """Run one pass; only send stop orders while the group may not start tasks."""
        owner_term = self._owner_term
        if not owner_term.may_start():
            owner_term.push()
            return
        started = owner_term.clock()
        decision = owner_term.placement.decide(now=started)
        if decision.assignments:
            await self._assign(decision.assignments)
        owner_term.stop_tasks(decision.stops, checkpoint=True)
        owner_term.push()
        if decision.assignments:
            self._metrics.count("placements", len(decision.assignments))
            self._metrics.timing("placement_pass", owner_term.clock() - started)
            owner_term.request_pass()

    async def _assign(self, assignments):
        owner_term = self._owner_term
        records, records_by_task = [], {}
        for found in assignments:
            record = self._record(found)
            if record is not None:
                records.append(record)
            records_by_task[found.task_id] = record
        reply = await owner_term.commit(batch=DomainBatch(assigned=records))
        refused = set(reply.refused)
        refused.update(task for task, record in records_by_task.items() if record is None)
        for found in assignments:
            if found.task_id in refused:
                self._give_back(found.task_id)
            else:
                owner_term.start_task(found.task_id)

    def _record(self, found):
        domain = self._owner_term.domain
        task, worker = domain.task(found.task_id), domain.worker_by_name.get(found.worker)
        if task is None or worker is None:
            return None
        return AssignmentRecord(
            task_id=found.task_id,
            attempt=task.attempt + 1,
            worker=found.worker,
            session=worker.record.session,
        )

    def _give_back(self, task_id):
        """Undo an assignment that the domain refused because the worker or the job had changed."""
        owner_term = self._owner_term
        log.info("assignment refused", task=task_id)
        owner_term.placement.pool.release(task_id)
        task, job_id = owner_term.domain.task(task_id), job_id_of(task_id)
        job = owner_term.placement.job_by_id.get(job_id)
        if job is not None and task is not None and not task.worker and task_id not in job.waiting:
            owner_term.placement.requeue(job_id, task_id)
        owner_term.request_pass()
