"""What a worker stub runs, and the rules it follows; pure, with the time passed in.

>>> from siskintally.worker_state import WorkerState
>>> from siskintally.wire_pb2 import StartOrder, WorkerOrders
>>> state = WorkerState(session="s1")
>>> beat = state.beat(now=0.0)
>>> start = StartOrder(task_id="j/g.0", attempt=1, run_s=5)
>>> orders = WorkerOrders(session="s1", seq=beat.seq, lease_s=30, term=1, start=[start])
>>> [event.kind for event in state.take(orders, now=0.5)]
['start']
>>> [event.kind for event in state.tick(now=6.0)]
['end']
"""

from math import inf
from uuid import uuid4

from siskintally.lease import LeaseHolder
from siskintally.wire_pb2 import AttemptState, Resources, WorkerBeat

DEFAULT_LEASE_S = 30.0
# A task of a worker that fails everything ends this long after its start.
FAIL_AFTER_S = 0.05
# Attempts that are remembered so that a repeated start is ignored.
KEEP_ENDED = 20_000


class Faults:
    """How a stub misbehaves.

    :param fail: every task fails.
    :param run_factor: true run time as a multiple of the declared one.
    :param size_factor: reported use as a multiple of the declared size.
    :param pause_s: time between the receipt of an order and the start.
    """

    __slots__ = ("fail", "pause_s", "run_factor", "size_factor")

    def __init__(self, *, fail=False, run_factor=1.0, size_factor=1.0, pause_s=0.0):
        self.fail = fail
        self.run_factor = run_factor
        self.size_factor = size_factor
        self.pause_s = pause_s


class Event:
    """Start, end or stop of an attempt, for the record.

    :param kind: ``start``, ``end`` (by itself) or ``stop``.
    """

    __slots__ = ("attempt", "each", "kind", "result", "task_id")

    def __init__(self, *, kind, running, result=""):
        self.kind = kind
        self.task_id = running.order.task_id
        self.attempt = running.order.attempt
        self.each = running.order.each
        self.result = result


class _Running:
    __slots__ = ("end_at", "order", "start_at", "started")

    def __init__(self, *, order, start_at):
        self.order = order
        self.start_at = start_at
        self.started = False
        self.end_at = inf


class WorkerState:
    """Attempts and lease of one worker.

    It starts whatever it is given, whether it fits or not. Starts need a lease in force and the
    present session; an attempt that is known already is ignored. When the lease ends everything is
    stopped and a new session begins, so that orders under way for the old one have no effect.

    :param session: name of the first session, random by default.
    """

    __slots__ = (
        "_changed",
        "_ended",
        "_forgotten",
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
        self._forgotten = {}
        self._changed = set()
        self._is_full_due = True

    @property
    def is_report_due(self):
        """Whether a heartbeat should be sent soon; starts wait for the next regular one."""
        return self._is_full_due or any(key in self._ended for key in self._changed)

    @property
    def running(self):
        """Keys (task id, attempt) of the attempts that have been started."""
        return [key for key, one in self._running.items() if one.started]

    def reconnect(self):
        """Report everything with the next heartbeat."""
        self._is_full_due = True

    def beat(self, *, now):
        """Return a WorkerBeat without the names of the worker; its lease would run from now.

        Ends are repeated until the owner has confirmed that they are committed.
        """
        beat = WorkerBeat(
            session=self.session, seq=self.lease.next_heartbeat(now=now), full=self._is_full_due
        )
        for key, one in self._running.items():
            if self._is_full_due or key in self._changed:
                beat.attempts.append(self._state(key, AttemptState.RUNNING, one.order.each))
        for key, result in self._ended.items():
            beat.attempts.append(self._state(key, result, Resources()))
        return beat

    def _state(self, key, state, each):
        factor = self.faults.size_factor
        used = Resources(
            cpu_milli=int(each.cpu_milli * factor), memory_mb=int(each.memory_mb * factor)
        )
        return AttemptState(task_id=key[0], attempt=key[1], state=state, used=used)

    def answered(self, beat, orders, *, now):
        """Take the answer to a heartbeat; return the events.

        A lease that has ended is noticed first: after a pause, the answer must not revive it.
        """
        events = self.tick(now=now)
        if orders.session != self.session or beat.session != self.session:
            return events
        if not self.lease.renew(orders.seq, term=orders.term, lease_s=orders.lease_s):
            return events
        if beat.full:
            self._is_full_due = False
        self._changed.difference_update(
            (state.task_id, state.attempt)
            for state in beat.attempts
            if (state.state == AttemptState.RUNNING)
            == ((state.task_id, state.attempt) in self._running)
        )
        return events + self.take(orders, now=now)

    def take(self, orders, *, now):
        """Carry out orders; return the events."""
        events = self.tick(now=now)
        known = orders.session == self.session
        if not known or not self.lease.renew(orders.seq, term=orders.term):
            return events
        for state in orders.seen:
            self._forget((state.task_id, state.attempt))
        for stop in orders.stop:
            events.extend(self._stop((stop.task_id, stop.attempt)))
        for start in orders.start:
            self._accept(start, now)
        return events + self.tick(now=now)

    def _forget(self, key):
        if self._ended.pop(key, None) is not None:
            self._changed.discard(key)
            self._forgotten[key] = None
            if len(self._forgotten) > KEEP_ENDED:
                del self._forgotten[next(iter(self._forgotten))]

    def _accept(self, order, now):
        key = (order.task_id, order.attempt)
        is_known = key in self._running or key in self._ended or key in self._forgotten
        if is_known or self.lease.is_expired(now):
            return
        self._running[key] = _Running(order=order, start_at=now + self.faults.pause_s)
        self._changed.add(key)

    def _stop(self, key):
        """Stop an attempt; one that is not known yet will be refused when its start arrives."""
        running = self._running.pop(key, None)
        if running is None and key in self._forgotten:
            return []
        if running is not None or key not in self._ended:
            self._end(key, AttemptState.STOPPED)
        if running is not None and running.started:
            return [Event(kind="stop", running=running, result="STOPPED")]
        return []

    def _end(self, key, result):
        self._ended[key] = result
        self._changed.add(key)

    def tick(self, *, now):
        """Start and end what is due, or stop all if the lease is over; return the events."""
        if self.lease.valid_from is not None and self.lease.is_expired(now):
            return self._expire()
        events = []
        for key, one in list(self._running.items()):
            if not one.started and one.start_at <= now:
                one.started = True
                one.end_at = one.start_at + self._duration(one.order)
                events.append(Event(kind="start", running=one))
            if one.started and one.end_at <= now:
                del self._running[key]
                result = AttemptState.FAILED if self.faults.fail else AttemptState.SUCCEEDED
                self._end(key, result)
                name = AttemptState.State.Name(result)
                events.append(Event(kind="end", running=one, result=name))
        return events

    def _duration(self, order):
        if self.faults.fail:
            return FAIL_AFTER_S
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

    def next_time(self):
        """Return when :meth:`tick` has something to do, inf if never."""
        times = [inf if one.started else one.start_at for one in self._running.values()]
        times.extend(one.end_at for one in self._running.values())
        if self.lease.valid_from is not None:
            times.append(self.lease.expires_at())
        return min(times, default=inf)
