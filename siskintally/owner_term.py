"""State of a domain owner in one term: placement, leases, links and pending orders.

>>> from siskintally.owner_term import OwnerTerm
>>> OwnerTerm.__name__
'OwnerTerm'
"""

from functools import partial

from anyio import Event

from siskintally.domain_job import job_id_of
from siskintally.domain_state_pb2 import AttemptEnd, DomainBatch, DomainCommand, DomainReply
from siskintally.errors import NotLeaderError
from siskintally.lease import FIXED_MARGIN_S, RATE_MARGIN, LeaseTable
from siskintally.orders import Orders
from siskintally.placement import Placement
from siskintally.shared_confirm import SharedConfirm
from siskintally.wire_pb2 import StartOrder, StopOrder, WorkerOrders
from siskintally.workload import Job, Kind, Urgency

# Heartbeats that arrive within this window share a quorum round. They are not urgent, and fewer
# rounds keep their share of the control traffic budget small.
CONFIRM_WINDOW_S = 0.25


class OwnerTerm:
    """State of the owner in one term, built from the committed state and dropped with leadership.

    :param group: :class:`~siskintally.group.Group` that this process leads.
    :param domain: its :class:`~siskintally.domain.Domain`.
    :param clock: monotonic seconds.
    :param status_check: :class:`~siskintally.group_status_check.GroupStatusCheck` of the process.
    """

    __slots__ = (
        "_committed_time",
        "changed_jobs",
        "clock",
        "domain",
        "feasibility_due",
        "granted_lease_s",
        "group",
        "heartbeat_confirm",
        "is_over",
        "is_pass_urgent",
        "leases",
        "link_by_worker",
        "long_leases_end_at",
        "losing_workers",
        "orders",
        "pass_requested",
        "placement",
        "registration_confirm",
        "started_at",
        "status_check",
        "term",
        "workers_to_push",
    )

    def __init__(self, *, group, domain, clock, status_check, window_s=CONFIRM_WINDOW_S):
        self.status_check = status_check
        self.group = group
        self.domain = domain
        self.clock = clock
        self.term = group.term
        self.started_at = clock()
        self._committed_time = domain.now
        self.is_over = False
        self.placement = Placement()
        self.leases = LeaseTable(lease_s=domain.longest_lease_s, elected_at=self.started_at)
        self.granted_lease_s = domain.longest_lease_s
        self.long_leases_end_at = self.started_at
        self.orders = Orders()
        # Workers that register after an election get no tasks before this round, so it is urgent.
        self.registration_confirm = SharedConfirm(
            confirm=group.confirm_leadership, window_s=window_s
        )
        # Not urgent: a separate round costs two messages for each follower, so the next heartbeat
        # of the group carries this one.
        self.heartbeat_confirm = SharedConfirm(
            confirm=partial(group.confirm_leadership, urgent=False), window_s=window_s
        )
        self.link_by_worker = {}
        self.losing_workers = set()
        self.changed_jobs = set()
        self.feasibility_due = False
        self.is_pass_urgent = False
        self.workers_to_push = set()
        self.pass_requested = Event()
        self._load_committed_state()
        self.apply_preset()

    def _load_committed_state(self):
        for name, worker in self.domain.worker_by_name.items():
            self.add_worker(name, worker, connected=False)
            self.leases.add_worker(name)
        # The former leader may have committed the end of a job and failed before reporting it.
        self.changed_jobs.update(self.domain.job_by_id)
        for job in self.domain.job_by_id.values():
            if not job.has_ended:
                self._add_job(job)
        self.request_pass()

    def apply_preset(self):
        """Apply the preset in force.

        Leases granted before may be longer. Until those have expired, the longer duration decides
        when a worker counts as lost.
        """
        preset = self.domain.preset()
        self.placement.may_preempt = preset.preempt
        self.placement.places_deferrable = preset.place_deferrable
        self.granted_lease_s = preset.lease_s
        self.leases.lease_s = max(self.leases.lease_s, self.granted_lease_s)
        self.long_leases_end_at = self.clock() + self.leases.lease_s * RATE_MARGIN + FIXED_MARGIN_S

    async def commit_longest_lease(self):
        """Commit the granted lease duration as the longest, once all longer leases have expired."""
        if self.leases.lease_s <= self.granted_lease_s or self.clock() < self.long_leases_end_at:
            return
        granted_lease_s = self.granted_lease_s
        await self.commit(batch=DomainBatch(longest_lease_s=granted_lease_s))
        if self.granted_lease_s == granted_lease_s:
            self.leases.lease_s = granted_lease_s

    def add_worker(self, name, worker, *, connected):
        """Add a committed worker to placement."""
        record = worker.record
        self.placement.add_worker(
            name, domain=record.domain, rack=record.rack, capacity=worker.capacity
        )
        self.placement.set_worker_connected(name, connected=connected)
        drain = self.domain.drain_by_key.get(("worker", name))
        self.placement.set_worker_draining(name, draining=drain is not None)
        self.feasibility_due = True

    def _add_job(self, job):
        age = max(0.0, self.domain.now - job.accepted_at)
        waiting = [task.task_id for task in job.waiting_tasks()]
        placement_job = Job.from_message(
            job.item.job_id, job.item.spec, tasks=waiting, submitted=self.clock() - age
        )
        self.placement.submit(placement_job)
        for task in job.task_by_id.values():
            if task.worker:
                self.placement.restore_task(job.item.job_id, task.task_id, task.worker)
        if job.item.cancelled:
            self.stop_tasks(self.placement.cancel(job.item.job_id))

    def request_pass(self, *, urgent=False):
        """Request a placement pass; an urgent one does not wait for other changes."""
        self.is_pass_urgent = self.is_pass_urgent or urgent
        self.pass_requested.set()

    async def commit(self, **change):
        """Commit a DomainCommand with one change, and handle the attempts that it ended.

        :returns: DomainReply.
        :raises NotLeaderError: nothing was proposed.
        :raises OutcomeUnknownError: leadership was lost; this object must not be used any more.
        """
        self.check_leadership()
        command = DomainCommand(at=self.command_time(), **change)
        reply = DomainReply.FromString(await self.group.propose(command.SerializeToString()))
        if reply.ended:
            batch = change["batch"]
            cause_by_task = {end.task_id: end.cause for end in batch.ended}
            for task_id in reply.ended:
                self._handle_attempt_end(task_id, cause_by_task.get(task_id, AttemptEnd.LOST))
            self.request_pass()
        return reply

    def command_time(self):
        """Return the timestamp of a command: committed time plus the time since the term began.

        With a wall clock that is a day ahead the ledger would drop requests that callers may still
        resend.
        """
        return self._committed_time + self.clock() - self.started_at

    def check_leadership(self):
        """Check that this process still leads the group in this term.

        :raises NotLeaderError: it does not.
        """
        if self.is_over or not self.group.is_leader or self.group.term != self.term:
            raise NotLeaderError("no longer the owner", leader=self.group.leader or "")

    def _handle_attempt_end(self, task_id, cause):
        job_id = job_id_of(task_id)
        self.changed_jobs.add(job_id)
        allocation = self.placement.pool.allocation_by_task.get(task_id)
        self.placement.record_end(
            task_id,
            now=self.clock(),
            failed=cause == AttemptEnd.FAILED,
            succeeded=cause == AttemptEnd.SUCCEEDED,
        )
        job = self.placement.job_by_id.get(job_id)
        if job is None:
            return
        if allocation is not None and cause == AttemptEnd.FAILED:
            job.avoided_workers.add(allocation.worker.name)
        task = self.domain.task(task_id)
        if task is not None and not task.worker:
            self.placement.requeue(job_id, task_id)
        if job.kind == Kind.GANG and cause != AttemptEnd.SUCCEEDED:
            self.stop_tasks(job.running)
        committed = self.domain.job_by_id.get(job_id)
        if committed is None or committed.has_ended:
            self.placement.remove_job(job_id)

    def stop_tasks(self, task_ids, *, checkpoint=False):
        """Queue stop orders for tasks; their resources stay allocated until the end is reported."""
        for task_id in list(task_ids):
            task = self.domain.task(task_id)
            if task is None or not task.worker:
                continue
            if task_id in self.placement.pool.allocation_by_task:
                self.placement.pool.mark_stopping(task_id)
            stop = StopOrder(task_id=task_id, attempt=task.attempt, checkpoint=checkpoint)
            self.orders.add_stop(task.worker, stop)
            self.workers_to_push.add(task.worker)

    def may_start_tasks(self):
        """Return whether the group status check permits starting tasks."""
        return self.status_check.permits_start(self.domain)

    def is_idle(self):
        """Return whether the group is fenced and runs nothing, even on workers it does not know."""
        leases_ended = self.clock() >= self.long_leases_end_at
        return self.domain.fenced and self.domain.is_idle and leases_ended

    def apply_group_loss(self):
        """Apply the committed state of a group declared lost: drop its jobs and stop its tasks."""
        for job_id in list(self.placement.job_by_id):
            if job_id in self.domain.job_by_id:
                self.apply_job(job_id)
            else:
                self.placement.cancel(job_id)
                self.placement.remove_job(job_id)
        self.push_orders()

    def start_task(self, task_id):
        """Queue the start order of a task, unless its committed assignment has ended."""
        task = self.domain.task(task_id)
        if task is None or not task.worker:
            return
        spec = self.domain.job_by_id[job_id_of(task_id)].item.spec
        start = StartOrder(
            task_id=task_id,
            attempt=task.attempt,
            each=spec.each,
            run_s=spec.run_s,
            command=spec.command,
        )
        self.orders.add_start(task.worker, start)
        self.changed_jobs.add(job_id_of(task_id))
        self.workers_to_push.add(task.worker)

    def orders_for(self, worker, session):
        """Return a WorkerOrders message with all due orders for a worker."""
        due = self.orders.take_due(worker, now=self.clock(), with_starts=self.may_start_tasks())
        return WorkerOrders(
            session=session,
            seq=self.leases.last_seq(worker),
            lease_s=self.granted_lease_s,
            term=self.term,
            start=due.starts,
            stop=due.stops,
        )

    def push_orders(self):
        """Send new orders at once; those that cannot be sent go with the next heartbeat answer."""
        self.check_leadership()
        names, self.workers_to_push = self.workers_to_push, set()
        for name in sorted(names):
            link = self.link_by_worker.get(name)
            worker = self.domain.worker_by_name.get(name)
            if link is None or worker is None or not self.leases.last_seq(name):
                continue
            message = self.orders_for(name, worker.record.session)
            if (message.start or message.stop) and not link.send(message):
                self.orders.resend(name)

    def apply_job(self, job_id):
        """Update placement from the committed state of a job."""
        job = self.domain.job_by_id.get(job_id)
        if job is None:
            return
        self.changed_jobs.add(job_id)
        known = self.placement.job_by_id.get(job_id)
        if job.item.cancelled:
            self.stop_tasks(self.placement.cancel(job_id))
            if job.has_ended:
                self.placement.remove_job(job_id)
            return
        if known is not None:
            self.placement.set_waiting(job_id, [task.task_id for task in job.waiting_tasks()])
        elif not job.has_ended:
            self._add_job(job)
        if job.has_ended:
            self.placement.remove_job(job_id)
        else:
            self.request_pass(urgent=self.placement.job_by_id[job_id].urgency == Urgency.URGENT)
