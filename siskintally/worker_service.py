"""Owner side of worker heartbeats: answers them and ends the attempts of lost workers.

>>> from siskintally.worker_service import LOSS_CHECK_S
>>> LOSS_CHECK_S
0.5
"""

from anyio import sleep

from siskintally.codes import Code
from siskintally.domain_state_pb2 import DomainBatch
from siskintally.errors import BadRequestError, RefusedError
from siskintally.log import get_logger
from siskintally.reconciler import compare_heartbeat

LOSS_CHECK_S = 0.5

log = get_logger("worker-service")


class WorkerService:
    """Handles worker heartbeats and worker losses during one term as owner.

    :param owner_term: :class:`~siskintally.owner_term.OwnerTerm`.
    :param domains: failure domains whose workers the group owns.
    """

    __slots__ = ("_domains", "_owner_term", "_session_by_worker")

    def __init__(self, *, owner_term, domains):
        self._owner_term = owner_term
        self._domains = domains
        self._session_by_worker = {}

    async def handle_call(self, session, heartbeat):
        """Answer a WorkerBeat after a quorum round that began after it arrived.

        :returns: WorkerOrders; its lease runs from the time the heartbeat was sent.
        :raises NotLeaderError: leadership has ended.
        :raises OutcomeUnknownError: leadership was lost during a commit.
        :raises BadRequestError: the first heartbeat of a worker session on a link is not full, this
            group does not own the failure domain of the worker, or its capacity is below the
            resources allocated to its tasks.
        :raises RefusedError: the worker is being declared lost, or the heartbeat is from an earlier
            session.
        """
        owner_term = self._owner_term
        owner_term.check_leadership()
        self._check_sender(heartbeat)
        if self._session_by_worker.get(heartbeat.worker) != (session, heartbeat.session):
            if not heartbeat.full:
                raise BadRequestError("the first heartbeat of a session on a link must be full")
            owner_term.leases.reset_session(heartbeat.worker)
        owner_term.leases.record_heartbeat(heartbeat.worker, heartbeat.seq, now=owner_term.clock())
        diff = compare_heartbeat(owner_term.domain, heartbeat)
        if diff.must_commit:
            await self._commit(heartbeat, diff)
        confirm = (
            owner_term.registration_confirm if heartbeat.full else owner_term.heartbeat_confirm
        )
        await confirm.wait()
        owner_term.check_leadership()
        self._check_sender(heartbeat)
        if not owner_term.leases.renew(heartbeat.worker, heartbeat.seq):
            raise RefusedError("heartbeat of an earlier session", code=Code.OVERLOADED)
        self._register_link(session, heartbeat)
        return self._build_orders(heartbeat, diff)

    def _check_sender(self, heartbeat):
        if not heartbeat.worker or not heartbeat.session or heartbeat.domain not in self._domains:
            raise BadRequestError(
                f"worker {heartbeat.worker!r}: this group does not own domain {heartbeat.domain!r}"
            )
        if heartbeat.worker in self._owner_term.losing_workers:
            # An answer would renew the lease while the tasks are being placed on other workers.
            raise RefusedError("the worker is being declared lost", code=Code.OVERLOADED)

    async def _commit(self, heartbeat, diff):
        owner_term = self._owner_term
        joined = [diff.worker_record] if diff.worker_record is not None else []
        reply = await owner_term.commit(batch=DomainBatch(ended=diff.ended, joined=joined))
        if reply.code != Code.DONE or heartbeat.worker in reply.refused:
            message = reply.message or "its capacity is below its assigned resources"
            raise BadRequestError(f"worker {heartbeat.worker!r}: {message}")
        for end in diff.ended:
            owner_term.orders.remove_attempt(heartbeat.worker, end.task_id, end.attempt)
        if joined:
            self._update_placement(heartbeat.worker)

    def _update_placement(self, name):
        """Add a new worker to placement; re-add one whose capacity changed, with its tasks."""
        owner_term = self._owner_term
        pool, worker = owner_term.placement.pool, owner_term.domain.worker_by_name[name]
        known = pool.worker_by_name.get(name)
        if known is not None and known.capacity == worker.capacity:
            return
        allocated = []
        if known is not None:
            allocated = [
                (allocation.job, allocation.task_id)
                for allocation in known.allocation_by_task.values()
            ]
            owner_term.placement.remove_worker(name)
        owner_term.add_worker(name, worker, connected=False)
        for job, task_id in allocated:
            if task_id in worker.task_ids:
                pool.allocate(pool.worker_by_name[name], task_id, job)
            elif owner_term.domain.task(task_id) is not None:
                owner_term.placement.requeue(job.job_id, task_id)

    def _register_link(self, session, heartbeat):
        """Register the link of a worker; orders not confirmed on an earlier link are resent."""
        owner_term = self._owner_term
        if self._session_by_worker.get(heartbeat.worker) == (session, heartbeat.session):
            return
        self._session_by_worker[heartbeat.worker] = (session, heartbeat.session)
        owner_term.link_by_worker[heartbeat.worker] = session
        owner_term.orders.resend(heartbeat.worker)
        owner_term.placement.set_worker_connected(heartbeat.worker, connected=True)
        owner_term.feasibility_due = True
        owner_term.request_pass()

    def _build_orders(self, heartbeat, diff):
        owner_term = self._owner_term
        for task_id, attempt in diff.running:
            owner_term.orders.confirm_start(heartbeat.worker, task_id, attempt)
        for task_id in diff.unreported:
            task = owner_term.domain.task(task_id)
            if (
                task is not None
                and task.worker == heartbeat.worker
                and task.session == heartbeat.session
            ):
                owner_term.start_task(task_id)
        for state in diff.reported_ends:
            owner_term.orders.remove_attempt(heartbeat.worker, state.task_id, state.attempt)
        orders = owner_term.orders_for(heartbeat.worker, heartbeat.session)
        orders.seq = heartbeat.seq
        orders.stop.extend(diff.stops)
        orders.seen.extend(diff.reported_ends)
        return orders

    def handle_session_end(self, session):
        """Place no new tasks on the workers of a closed link."""
        owner_term = self._owner_term
        names = [name for name, link in owner_term.link_by_worker.items() if link is session]
        for name in names:
            del owner_term.link_by_worker[name]
            self._session_by_worker.pop(name, None)
            owner_term.placement.set_worker_connected(name, connected=False)

    async def watch_leases(self):
        """Check for lost workers periodically until cancelled.

        :raises NotLeaderError: leadership has ended.
        :raises OutcomeUnknownError: leadership was lost during a commit.
        """
        while True:
            await sleep(LOSS_CHECK_S)
            await self.end_lost_workers()

    async def end_lost_workers(self):
        """Declare workers lost whose leases have certainly expired; this ends their attempts."""
        owner_term = self._owner_term
        owner_term.check_leadership()
        await owner_term.commit_longest_lease()
        names = []
        for name in owner_term.leases.lost_workers(owner_term.clock()):
            owner_term.leases.remove_worker(name)
            if name in owner_term.domain.worker_by_name:
                names.append(name)
        if not names:
            return
        log.info("workers lost", workers=names)
        owner_term.losing_workers.update(names)
        try:
            await owner_term.commit(batch=DomainBatch(lost=names))
        finally:
            owner_term.losing_workers.difference_update(names)
        for name in names:
            owner_term.orders.remove_worker(name)
            owner_term.link_by_worker.pop(name, None)
            self._session_by_worker.pop(name, None)
            if name in owner_term.placement.pool.worker_by_name:
                owner_term.placement.remove_worker(name)
        owner_term.feasibility_due = True
        owner_term.request_pass()
