"""State of a stub worker: tasks, session and lease. Does no I/O; the caller passes the time.

>>> from siskintally.worker_state import WorkerState
>>> from siskintally.wire_pb2 import StartOrder, WorkerOrders
>>> state = WorkerState(session="s1")
>>> heartbeat = state.next_heartbeat(now=0.0)
>>> start = StartOrder(task_id="j/g.0", attempt=1, run_s=5)
>>> orders = WorkerOrders(session="s1", seq=heartbeat.seq, lease_s=30, term=1, start=[start])
>>> [event.kind for event in state.apply_orders(orders, now=0.5)]
['start']
>>> [event.kind for event in state.tick(now=6.0)]
['end']
"""

from math import inf
from uuid import uuid4

from siskintally.lease import LeaseHolder
from siskintally.wire_pb2 import AttemptState, Resources, WorkerBeat

DEFAULT_LEASE_S = 30.0
# Time from start to end of a task if the worker fails all tasks.
FAILED_TASK_DURATION_S = 0.05
# Ended attempts that are remembered after the owner has confirmed them, so that a repeated start
# order is ignored.
MAX_REMEMBERED_ATTEMPTS = 20_000


class Faults:
    """Faults that a stub worker injects.

    :param fail: whether each task fails.
    :param run_factor: actual run time as a multiple of the declared one.
    :param size_factor: reported use as a multiple of the declared size.
    :param pause_s: delay between the receipt of a start order and the start, seconds.
    """

    __slots__ = ("fail", "pause_s", "run_factor", "size_factor")

    def __init__(self, *, fail=False, run_factor=1.0, size_factor=1.0, pause_s=0.0):
        self.fail = fail
        self.run_factor = run_factor
        self.size_factor = size_factor
        self.pause_s = pause_s


class TaskEvent:
    """Start, end or stop of an attempt, to be recorded.

    :param kind: ``start``, ``end`` (the task ended on its own) or ``stop``.
    :param result: name of an AttemptState.State; empty for a start.
    """

    __slots__ = ("attempt", "each", "kind", "result", "task_id")

    def __init__(self, *, kind, accepted, result=""):
        self.kind = kind
        self.task_id = accepted.order.task_id
        self.attempt = accepted.order.attempt
        self.each = accepted.order.each
        self.result = result


class _AcceptedAttempt:
    __slots__ = ("end_at", "order", "start_at", "started")

    def __init__(self, *, order, start_at):
        self.order = order
        self.start_at = start_at
        self.started = False
        self.end_at = inf


class WorkerState:
    """Attempts and lease of one worker.

    The worker starts each task it is ordered to, even if its capacity is exceeded. It ignores start
    orders without a valid lease, for another session, or for an attempt that it knows already. When
    the lease expires, it stops all tasks and begins a new session, so that orders in flight for the
    old session have no effect.

    :param session: id of the first session, random by default.
    :param faults: :class:`Faults`, or None.
    :param lease_s: duration of the lease, seconds.
    """

    __slots__ = (
        "_changed_keys",
        "_confirmed",
        "_ended",
        "_is_full_due",
        "_running",
        "faults",
        "lease",
        "session",
    )

    def __init__(self, *, session="", faults=None, lease_s=DEFAULT_LEASE_S):
        self.session = session or uuid4().hex
        self.faults = faults or Faults()
        self.lease = LeaseHolder(lease_s=lease_s)
        self._running = {}
        self._ended = {}
        self._confirmed = {}
        self._changed_keys = set()
        self._is_full_due = True

    @property
    def is_report_due(self):
        """Whether to send a heartbeat soon; starts are reported with the next regular one."""
        return self._is_full_due or any(key in self._ended for key in self._changed_keys)

    @property
    def running(self):
        """Keys (task id, attempt) of the attempts that have been started."""
        return [key for key, accepted in self._running.items() if accepted.started]

    def reconnect(self):
        """Report all attempts with the next heartbeat, not only changed ones."""
        self._is_full_due = True

    def next_heartbeat(self, *, now):
        """Return a WorkerBeat without worker name, domain, rack and capacity.

        The lease that it renews runs from ``now``. Ends are reported with each heartbeat until the
        owner has confirmed that they are committed.
        """
        heartbeat = WorkerBeat(
            session=self.session, seq=self.lease.next_heartbeat(now=now), full=self._is_full_due
        )
        for key, accepted in self._running.items():
            if self._is_full_due or key in self._changed_keys:
                heartbeat.attempts.append(
                    self._attempt_state(key, AttemptState.RUNNING, accepted.order.each)
                )
        for key, result in self._ended.items():
            heartbeat.attempts.append(self._attempt_state(key, result, Resources()))
        return heartbeat

    def _attempt_state(self, key, state, each):
        factor = self.faults.size_factor
        used = Resources(
            cpu_milli=int(each.cpu_milli * factor), memory_mb=int(each.memory_mb * factor)
        )
        return AttemptState(task_id=key[0], attempt=key[1], state=state, used=used)

    def apply_heartbeat_reply(self, heartbeat, orders, *, now):
        """Apply the reply to a heartbeat; return the events.

        First, an expired lease is handled: after a pause, the reply must not renew it.
        """
        events = self.tick(now=now)
        if orders.session != self.session or heartbeat.session != self.session:
            return events
        if not self.lease.renew(orders.seq, term=orders.term, lease_s=orders.lease_s):
            return events
        if heartbeat.full:
            self._is_full_due = False
        self._changed_keys.difference_update(
            (state.task_id, state.attempt)
            for state in heartbeat.attempts
            if (state.state == AttemptState.RUNNING)
            == ((state.task_id, state.attempt) in self._running)
        )
        return events + self.apply_orders(orders, now=now)

    def apply_orders(self, orders, *, now):
        """Apply start and stop orders; return the events."""
        events = self.tick(now=now)
        is_current_session = orders.session == self.session
        if not is_current_session or not self.lease.renew(orders.seq, term=orders.term):
            return events
        for state in orders.seen:
            self._confirm_end((state.task_id, state.attempt))
        for stop in orders.stop:
            events.extend(self._stop((stop.task_id, stop.attempt)))
        for start in orders.start:
            self._accept(start, now)
        return events + self.tick(now=now)

    def _confirm_end(self, key):
        if self._ended.pop(key, None) is not None:
            self._changed_keys.discard(key)
            self._confirmed[key] = None
            if len(self._confirmed) > MAX_REMEMBERED_ATTEMPTS:
                del self._confirmed[next(iter(self._confirmed))]

    def _accept(self, order, now):
        key = (order.task_id, order.attempt)
        is_known = key in self._running or key in self._ended or key in self._confirmed
        if is_known or self.lease.is_expired(now):
            return
        self._running[key] = _AcceptedAttempt(order=order, start_at=now + self.faults.pause_s)
        self._changed_keys.add(key)

    def _stop(self, key):
        """Stop an attempt; if it is unknown, remember it, so that a late start order is ignored."""
        accepted = self._running.pop(key, None)
        if accepted is None and key in self._confirmed:
            return []
        if accepted is not None or key not in self._ended:
            self._end(key, AttemptState.STOPPED)
        if accepted is not None and accepted.started:
            return [TaskEvent(kind="stop", accepted=accepted, result="STOPPED")]
        return []

    def _end(self, key, result):
        self._ended[key] = result
        self._changed_keys.add(key)

    def tick(self, *, now):
        """Start and end the tasks that are due, or stop all if the lease has expired.

        :returns: the events.
        """
        if self.lease.valid_from is not None and self.lease.is_expired(now):
            return self._expire()
        events = []
        for key, accepted in list(self._running.items()):
            if not accepted.started and accepted.start_at <= now:
                accepted.started = True
                accepted.end_at = accepted.start_at + self._duration(accepted.order)
                events.append(TaskEvent(kind="start", accepted=accepted))
            if accepted.started and accepted.end_at <= now:
                del self._running[key]
                result = AttemptState.FAILED if self.faults.fail else AttemptState.SUCCEEDED
                self._end(key, result)
                name = AttemptState.State.Name(result)
                events.append(TaskEvent(kind="end", accepted=accepted, result=name))
        return events

    def _duration(self, order):
        if self.faults.fail:
            return FAILED_TASK_DURATION_S
        return order.run_s * self.faults.run_factor if order.run_s > 0 else inf

    def _expire(self):
        events = []
        for key in list(self._running):
            events.extend(self._stop(key))
        self.session = uuid4().hex
        self.lease = self._next_lease()
        self._is_full_due = True
        return events

    def _next_lease(self):
        lease = LeaseHolder(lease_s=self.lease.lease_s)
        lease.term = self.lease.term
        return lease

    def next_tick_time(self):
        """Return the time at which :meth:`tick` is due next, or inf."""
        times = [
            inf if accepted.started else accepted.start_at for accepted in self._running.values()
        ]
        times.extend(accepted.end_at for accepted in self._running.values())
        if self.lease.valid_from is not None:
            times.append(self.lease.expires_at())
        return min(times, default=inf)
