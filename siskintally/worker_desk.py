"""Answers the heartbeats of workers and ends the attempts of workers that are lost.

>>> from siskintally.worker_desk import LOSS_CHECK_S
>>> LOSS_CHECK_S
0.5
"""

from anyio import sleep

from siskintally.codes import Code
from siskintally.domain_state_pb2 import DomainBatch
from siskintally.errors import BadRequestError, RefusedError
from siskintally.log import get_logger
from siskintally.reconciler import compare

LOSS_CHECK_S = 0.5

log = get_logger("worker-desk")


class WorkerDesk:
    """Heartbeats and losses of one tenure.

    :param tenure: :class:`~siskintally.tenure.Tenure`.
    :param domains: failure domains whose workers the group owns.
    """

    __slots__ = ("_domains", "_reported", "_tenure")

    def __init__(self, *, tenure, domains):
        self._tenure = tenure
        self._domains = domains
        self._reported = {}

    async def answer(self, session, beat):
        """Answer a WorkerBeat after a quorum round that began after it arrived.

        :returns: WorkerOrders; its lease runs from the sending of the heartbeat.
        :raises NotLeaderError: leadership has ended.
        :raises BadRequestError: a full heartbeat is expected, or the domain is not owned here.
        """
        tenure = self._tenure
        tenure.check()
        self._check(beat)
        if self._reported.get(beat.worker) != (session, beat.session):
            if not beat.full:
                raise BadRequestError("full heartbeat expected")
            tenure.leases.renewed(beat.worker)
        tenure.leases.arrived(beat.worker, beat.seq, now=tenure.clock())
        findings = compare(tenure.domain, beat)
        if findings.must_commit:
            await self._commit(beat, findings)
        await tenure.shared_confirm.wait()
        tenure.check()
        self._check(beat)
        if not tenure.leases.acknowledged(beat.worker, beat.seq):
            raise RefusedError("heartbeat of an earlier session", code=Code.OVERLOADED)
        self._register(session, beat)
        return self._orders(beat, findings)

    def _check(self, beat):
        if not beat.worker or not beat.session or beat.domain not in self._domains:
            raise BadRequestError(
                f"worker {beat.worker!r}: domain {beat.domain!r} is not owned here"
            )
        if beat.worker in self._tenure.losing:
            # Answering would renew the lease while the attempts are being placed elsewhere.
            raise RefusedError("the worker is being counted as lost", code=Code.OVERLOADED)

    async def _commit(self, beat, findings):
        tenure = self._tenure
        joined = [findings.joined] if findings.joined is not None else []
        reply = await tenure.commit(batch=DomainBatch(ended=findings.ended, joined=joined))
        if reply.code != Code.DONE or beat.worker in reply.refused:
            message = reply.message or "capacity below what is assigned"
            raise BadRequestError(f"worker {beat.worker!r}: {message}")
        for end in findings.ended:
            tenure.orders.ended(beat.worker, end.task_id, end.attempt)
        if joined:
            self._add(beat.worker)

    def _add(self, name):
        """Offer a new worker; one with another capacity is offered anew with its tasks."""
        tenure = self._tenure
        pool, worker = tenure.placement.pool, tenure.domain.worker_by_name[name]
        known = pool.worker_by_name.get(name)
        if known is not None and known.capacity == worker.capacity:
            return
        held = []
        if known is not None:
            held = [(one.job, one.task_id) for one in known.held_by_task.values()]
            tenure.placement.lose_worker(name)
        tenure.add_worker(name, worker, connected=False)
        for job, task_id in held:
            if task_id in worker.task_ids:
                pool.take(pool.worker_by_name[name], task_id, job)
            elif tenure.domain.task(task_id) is not None:
                tenure.placement.requeue(job.job_id, task_id)

    def _register(self, session, beat):
        """Take a link as the worker's only one; orders not confirmed on an earlier one are due."""
        tenure = self._tenure
        if self._reported.get(beat.worker) == (session, beat.session):
            return
        self._reported[beat.worker] = (session, beat.session)
        tenure.link_by_worker[beat.worker] = session
        tenure.orders.resend(beat.worker)
        tenure.placement.connect_worker(beat.worker, connected=True)
        tenure.review_due = True
        tenure.rouse()

    def _orders(self, beat, findings):
        tenure = self._tenure
        for task_id, attempt in findings.running:
            tenure.orders.running(beat.worker, task_id, attempt)
        for task_id in findings.missing:
            task = tenure.domain.task(task_id)
            if task is not None and task.worker == beat.worker and task.session == beat.session:
                tenure.start_task(task_id)
        for state in findings.seen:
            tenure.orders.ended(beat.worker, state.task_id, state.attempt)
        orders = tenure.orders_for(beat.worker, beat.session)
        orders.seq = beat.seq
        orders.stop.extend(findings.stops)
        orders.seen.extend(findings.seen)
        return orders

    def closed(self, session):
        """Give no new tasks to workers whose link has ended."""
        tenure = self._tenure
        names = [name for name, link in tenure.link_by_worker.items() if link is session]
        for name in names:
            del tenure.link_by_worker[name]
            self._reported.pop(name, None)
            tenure.placement.connect_worker(name, connected=False)

    async def watch(self):
        """End the attempts of lost workers until cancelled.

        :raises NotLeaderError: leadership has ended.
        """
        while True:
            await sleep(LOSS_CHECK_S)
            await self.lose()

    async def lose(self):
        """End the attempts of workers whose leases can no longer run."""
        tenure = self._tenure
        tenure.check()
        await tenure.settle_leases()
        names = []
        for name in tenure.leases.lost(tenure.clock()):
            tenure.leases.forget(name)
            if name in tenure.domain.worker_by_name:
                names.append(name)
        if not names:
            return
        log.info("workers lost", workers=names)
        tenure.losing.update(names)
        try:
            await tenure.commit(batch=DomainBatch(lost=names))
        finally:
            tenure.losing.difference_update(names)
        for name in names:
            tenure.orders.forget(name)
            tenure.link_by_worker.pop(name, None)
            self._reported.pop(name, None)
            if name in tenure.placement.pool.worker_by_name:
                tenure.placement.lose_worker(name)
        tenure.review_due = True
        tenure.rouse()
