"""Manager of one worker: renews its lease, polls its status, and sends its orders.

>>> from siskintally.worker_manager import REPLY_MARGIN_S
>>> REPLY_MARGIN_S > 0
True
"""

from anyio import Event, move_on_after, sleep

from siskintally.clock import now as steady
from siskintally.driver import BusyError, IncarnationGoneError, Order, Refusal
from siskintally.error_isolation import SUSPENSION_S, isolated
from siskintally.errors import (
    ConnectionLostError,
    OutcomeUnknownError,
    SiskintallyError,
    UnreachableError,
)
from siskintally.fleet import WorkerStatus
from siskintally.flow import TaskState
from siskintally.log import get_logger
from siskintally.worker_lease import WorkerLease

# Timeout of a status poll beyond the wait that the worker was asked for: more than the longest
# round trip with one lost packet.
REPLY_MARGIN_S = 0.5
RETRY_S = 0.2
# Interval at which a throttle is repeated if an earlier order got no answer: that order may be
# carried out after later ones.
THROTTLE_REFRESH_S = 5.0
# Time for which a worker that could not take a start gets no new tasks.
BUSY_EXCLUSION_S = 1.0
# Replies to a stop order after which the run cannot go on or start on the worker.
STOP_CONFIRMATIONS = (Refusal.NONE, Refusal.OLD)

log = get_logger("worker-manager")


def _is_running(action):
    """Return whether the run that a throttle order is for goes on."""
    return action.task.run == action.run and action.task.state == TaskState.RUNNING


class WorkerManager:
    """Calls of the leader to one incarnation of a worker.

    ``committed_end_number``: number of the worker's last end that is committed.

    :param worker: :class:`~siskintally.fleet.FleetWorker`.
    :param leader: :class:`~siskintally.control_leader.ControlLeader`.
    """

    __slots__ = (
        "_driver",
        "_has_lost_connection",
        "_leader",
        "_throttle_by_task",
        "_timing",
        "_unanswered_throttles",
        "_wake_event",
        "committed_end_number",
        "lease",
        "worker",
    )

    def __init__(self, *, worker, leader, driver, timing):
        self.worker = worker
        self.lease = WorkerLease(length_s=timing.lease_s, margin_s=timing.margin_s)
        self.committed_end_number = 0
        self._leader = leader
        self._driver = driver
        self._timing = timing
        self._wake_event = Event()
        # Last throttle order for each task.
        self._throttle_by_task = {}
        # (task id, run) of runs for which a throttle order got no answer.
        self._unanswered_throttles = set()
        # Whether a status poll has lost its connection since the last report.
        self._has_lost_connection = False

    def wake(self):
        """Poll the worker now instead of waiting for the next reason or retry."""
        self._wake_event.set()

    async def run(self):
        """Poll the worker while there is a reason to, until it is lost."""
        try:
            while self.worker.status != WorkerStatus.LOST:
                if self._is_idle():
                    self._wake_event = Event()
                    await self._wake_event.wait()
                    continue
                await self._poll_status()
        finally:
            await self._driver.disconnect(self.worker.record)

    def _is_idle(self):
        worker = self.worker
        if worker.status == WorkerStatus.LAPSED:
            return not self._wake_event.is_set()
        needs_poll = (
            worker.task_by_id
            or worker.unexpected_run_by_task
            or worker.status != WorkerStatus.READY
        )
        return not needs_poll

    async def _poll_status(self):
        worker = self.worker
        self._wake_event = Event()
        is_healthy = worker.status == WorkerStatus.READY and not self._has_lost_connection
        if is_healthy:
            with move_on_after(RETRY_S):
                await self._leader.quorum_check.wait()
        asked_at = steady()
        may_wait = is_healthy and not worker.unexpected_run_by_task
        wait_s = self._leader.poll_wait.seconds(asked_at) if may_wait else 0.0
        until_ms = self._renew_lease(asked_at) if is_healthy else None
        worker.lease_expires_at = self.lease.expired_by
        try:
            report = await self._call(
                self._driver.poll_status,
                fence=self._leader.term,
                lease_until_ms=until_ms,
                committed_end_number=self.committed_end_number,
                wait_ms=int(wait_s * 1000),
                timeout=wait_s + REPLY_MARGIN_S,
            )
        except IncarnationGoneError as error:
            self._leader.handle_worker_lost(worker, str(error))
            return
        except (UnreachableError, OutcomeUnknownError, BusyError) as error:
            await self._handle_poll_failure(error)
            return
        received_at = steady()
        self._has_lost_connection = False
        if report.refusal == Refusal.FENCED:
            self._leader.end_term(f"worker {worker.id} has a higher fence")
            return
        if report.refusal != Refusal.NONE:
            # The worker says nothing about its runs, so they must not count as ended.
            await self._handle_poll_failure(BusyError(f"poll refused: {report.refusal.name}"))
            return
        self.lease.sample_clock(clock_ms=report.clock_ms, received_at=received_at)
        try:
            await self._leader.handle_report(self, report, asked_at)
        except SiskintallyError:
            raise
        except Exception as error:
            # Its lease is not renewed until a report can be handled.
            log.exception("report not handled", worker=worker.id)
            await self._handle_poll_failure(OutcomeUnknownError(type(error).__name__))
            return
        if worker.unexpected_run_by_task:
            # Such runs count until a report no longer lists them, which takes a moment after the
            # stop; until then workers reply to polls at once.
            await sleep(RETRY_S)

    def _renew_lease(self, now):
        """Extend the lease of a responsive worker; return its end, or None if it is not extended.

        The lease of an unresponsive worker would never expire if it were renewed. Without a
        confirmation by a quorum, the next leader may not wait for the grant.
        """
        if not self.lease.has_clock_sample or not self._leader.quorum_check.is_confirmed(now):
            return None
        return self.lease.grant(now)

    async def _call(self, method, *arguments, timeout, **options):
        """Call the worker; an error without a code becomes one of an unknown outcome.

        A worker whose record or replies cannot be used must not end the term, because the next
        leader would call the same worker.

        :raises IncarnationGoneError: another incarnation answers at the address of the worker.
        """
        record = self.worker.record
        try:
            return await method(record, *arguments, timeout=timeout, **options)
        except IncarnationGoneError as error:
            if record.address == self.worker.record.address:
                raise
            raise UnreachableError(f"{record.id} has moved: {error}") from error
        except SiskintallyError:
            raise
        except Exception as error:
            log.exception("worker call failed", worker=self.worker.id)
            reason = f"{self.worker.id}: {type(error).__name__}"
            raise OutcomeUnknownError(reason) from error

    async def _handle_poll_failure(self, error):
        worker = self.worker
        now = steady()
        self._leader.poll_wait.record_unanswered(now)
        if isinstance(error, ConnectionLostError) and not self._has_lost_connection:
            # A single reset says nothing about the worker; a second failure, on a new connection,
            # does.
            self._has_lost_connection = True
            log.info("look repeated", worker=worker.id, error=str(error)[:120])
            return
        if worker.status == WorkerStatus.READY:
            worker.status = WorkerStatus.SUSPECT
            log.info("worker suspect", worker=worker.id, error=str(error)[:120])
            self._leader.handle_suspect(worker)
        if worker.status != WorkerStatus.LAPSED and now >= self.lease.expired_by:
            self._leader.handle_lease_expired(worker)
            return
        with move_on_after(RETRY_S):
            await self._wake_event.wait()

    @isolated
    async def start(self, action):
        """Send a start order until it is confirmed, refused, or obsolete."""
        try:
            await self._send_start_until_settled(action)
        except Exception:
            self._leader.handle_unsettled(action)
            raise

    async def _send_start_until_settled(self, action):
        was_sent = False
        while self._is_start_due(action):
            await self._leader.quorum_check.wait()
            if not self._is_start_due(action):
                return
            refusal, sent = await self._try_start(action, was_sent)
            was_sent = was_sent or sent
            if refusal is not None:
                return
            await sleep(0.02)

    def _is_start_due(self, action):
        task = action.task
        return (
            task.run == action.run
            and task.worker is self.worker
            and task.state == TaskState.STARTING
            and self.worker.status in (WorkerStatus.READY, WorkerStatus.SUSPECT)
        )

    async def _try_start(self, action, was_sent):
        """Send a start order once.

        :returns: (refusal, whether the order may have reached the worker). The refusal is None if
            the order has neither been confirmed nor refused; it is ``INVALID`` also if the order
            could not be delivered.
        """
        if not self.lease.has_clock_sample:
            self.wake()
            await sleep(0.05)
            return None, False
        task = action.task
        now = steady()
        if not self._leader.quorum_check.is_confirmed(now):
            # This process was paused after it had waited for the confirmation.
            return None, False
        order = Order(
            task_id=task.id,
            run=action.run,
            fence=self._leader.term,
            spec=task.step.flow.flow.spec,
            lease_until_ms=self._lease_for_start(now),
            checkpoint=task.checkpoint,
            ticket=action.ticket,
        )
        self.worker.lease_expires_at = self.lease.expired_by
        self.wake()
        return await self._send_start(action, order, was_sent)

    async def _send_start(self, action, order, was_sent):
        try:
            reply = await self._call(
                self._driver.start, order, timeout=self._timing.order_timeout_s
            )
        except OutcomeUnknownError as error:
            self._leader.poll_wait.record_unanswered(steady())
            self._leader.handle_unanswered(action, error)
            return None, True
        except IncarnationGoneError as error:
            self._leader.handle_worker_lost(self.worker, str(error))
            return None, was_sent
        except (UnreachableError, BusyError) as error:
            if was_sent:
                await sleep(RETRY_S)
                return None, False
            self._exclude_worker(error)
            self._leader.handle_refused(action, Refusal.INVALID, was_sent_before=False)
            return Refusal.INVALID, False
        self._sample_clock(reply)
        if reply.refusal == Refusal.NONE:
            self._leader.handle_started(action)
        else:
            self._leader.handle_refused(action, reply.refusal, was_sent_before=was_sent)
        return reply.refusal, True

    def _lease_for_start(self, now):
        if self.worker.status == WorkerStatus.READY:
            return self.lease.grant(now)
        return self.lease.until_ms

    def _exclude_worker(self, error):
        self.worker.exclude_until(steady() + BUSY_EXCLUSION_S)
        log.info("start not delivered", worker=self.worker.id, error=str(error)[:120])
        self.wake()

    def _sample_clock(self, reply):
        if reply.clock_ms is not None:
            self.lease.sample_clock(clock_ms=reply.clock_ms, received_at=steady())

    @isolated
    async def throttle(self, action):
        """Send a throttle order until the worker replies or the order is obsolete.

        If an order for the run got no answer, go on sending the one in force.
        """
        task_id = action.task.id
        key = task_id, action.run
        self._throttle_by_task[task_id] = action
        while self._is_throttle_due(action):
            await self._leader.quorum_check.wait()
            is_answered = await self._try_throttle(action)
            if is_answered and key not in self._unanswered_throttles:
                break
            await sleep(THROTTLE_REFRESH_S if is_answered else RETRY_S)
        if not _is_running(action):
            self._unanswered_throttles.discard(key)
        if self._throttle_by_task.get(task_id) is action:
            del self._throttle_by_task[task_id]

    def _is_throttle_due(self, action):
        return (
            self._throttle_by_task.get(action.task.id) is action
            and _is_running(action)
            and self.worker.best_effort_percent == action.percent
            and self.worker.status in (WorkerStatus.READY, WorkerStatus.SUSPECT)
        )

    async def _try_throttle(self, action):
        """Send a throttle order once; return whether the worker replied."""
        order = Order(
            task_id=action.task.id, run=action.run, fence=self._leader.term, percent=action.percent
        )
        try:
            await self._call(self._driver.throttle, order, timeout=self._timing.order_timeout_s)
        except IncarnationGoneError as error:
            self._leader.handle_worker_lost(self.worker, str(error))
        except (UnreachableError, OutcomeUnknownError, BusyError) as error:
            if isinstance(error, OutcomeUnknownError):
                self._unanswered_throttles.add((action.task.id, action.run))
            log.info(
                "throttle order repeated",
                task=action.task.id,
                run=action.run,
                error=str(error)[:120],
            )
            return False
        return True

    async def stop(self, action):
        """Send a stop order until it is confirmed or nothing can run on the worker any more.

        After an unexpected error it is sent again later: room and task are held until the stop.
        """
        while True:
            try:
                await self._send_stop_until_settled(action)
                return
            except Exception as error:
                self._leader.scheduler.isolate(action.flow_id, error, steady())
            await sleep(SUSPENSION_S)

    async def _send_stop_until_settled(self, action):
        order = Order(task_id=action.task_id, run=action.run, fence=self._leader.term)
        while self.worker.status in (
            WorkerStatus.UNSEEN,
            WorkerStatus.READY,
            WorkerStatus.SUSPECT,
        ):
            await self._leader.quorum_check.wait()
            try:
                reply = await self._call(
                    self._driver.stop, order, timeout=self._timing.order_timeout_s
                )
            except IncarnationGoneError as error:
                self._leader.handle_stop_unconfirmed(action, "worker gone")
                self._leader.handle_worker_lost(self.worker, str(error))
                return
            except (UnreachableError, OutcomeUnknownError, BusyError) as error:
                log.info("stop repeated", task=action.task_id, run=action.run, error=str(error))
                await sleep(RETRY_S)
                continue
            self._sample_clock(reply)
            if reply.refusal == Refusal.FENCED:
                self._leader.handle_stop_unconfirmed(action, "fenced")
                self._leader.end_term(f"worker {self.worker.id} has a higher fence")
                return
            if reply.refusal in STOP_CONFIRMATIONS:
                self._leader.handle_stopped(action)
                return
            log.warning(
                "stop refused", task=action.task_id, run=action.run, reason=reply.refusal.name
            )
            if not self.worker.tracks_run(action.task_id, action.run):
                self._leader.handle_stop_unconfirmed(action, "refused")
                return
            await sleep(RETRY_S)
        self._leader.handle_stop_unconfirmed(action, f"worker {self.worker.status.name.lower()}")
