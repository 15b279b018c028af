"""Admission control of one service: a bounded queue per request class, by deadline.

A class is a number ("rank"): 0 urgent, 1 normal, 2 deferrable. Callers pass the current monotonic
time as ``now``.

>>> from siskintally.admission import Admission
>>> from siskintally.fair_queue import Ticket
>>> from siskintally.limits import EntryLimits, NORMAL, URGENT
>>> admission = Admission(limits=EntryLimits())
>>> for rank in (NORMAL, URGENT):
...     ticket = Ticket(rank=rank, caller="c", deadline=9.0, queued_at=0.0)
...     _ = admission.offer(ticket, now=0.0, free=0, total=8)
>>> admission.take(now=0.0, free=8, total=8, ordinary=0).rank
0
"""

from heapq import heappop, heappush
from itertools import count

from siskintally.codes import Code
from siskintally.errors import SiskintallyError
from siskintally.fair_queue import FairQueue, State
from siskintally.forecast import Rate, ServiceTime, wait_s
from siskintally.limits import DEFERRABLE, NORMAL, URGENT

RANKS = (URGENT, NORMAL, DEFERRABLE)
# An entry reserves one slot for urgent requests per this many slots, but at least one.
SLOTS_PER_RESERVE = 8
# A deferrable request is moved to the normal class for the last fifth of the time to its deadline,
# or for the last two mean service times if they are longer.
PROMOTE_RATIO = 0.2
PROMOTE_SERVICE_TIMES = 2.0
# Dispatches that deferrable requests may be owed at most.
MAX_CREDIT = 2.0
# The forecast wait is multiplied by this before it is compared with the deadline, because requests
# that arrive later with a higher class or an earlier deadline are sent first.
WAIT_MARGIN = 2.0
# Each waiting request is checked this many times between arrival and deadline. One that can't meet
# its deadline any more at the first check is refused within a quarter of that time.
REVIEWS = 5


class OverloadedError(SiskintallyError):
    """Admission control refused the request; it was not run."""

    code = Code.OVERLOADED


def urgent_reserve(total):
    """Return how many of an entry's slots only urgent requests may use.

    >>> [urgent_reserve(total) for total in (1, 2, 8, 24)]
    [0, 1, 1, 3]
    """
    return 0 if total < 2 else max(1, total // SLOTS_PER_RESERVE)


def next_review(ticket, now):
    """Return when a waiting request is checked next, at the latest at its deadline.

    >>> from siskintally.fair_queue import Ticket
    >>> ticket = Ticket(rank=1, caller="c", deadline=10.0, queued_at=0.0)
    >>> [next_review(ticket, now) for now in (0.0, 2.0, 3.0, 9.0)]
    [2.0, 4.0, 4.0, 10.0]
    """
    step = (ticket.deadline - ticket.queued_at) / REVIEWS
    if step <= 0:
        return ticket.deadline
    number = (now - ticket.queued_at) // step + 1
    return min(ticket.queued_at + number * step, ticket.deadline)


class Admission:
    """Queues of one service's requests that wait for a slot, with admission and dispatch order.

    :param limits: :class:`~siskintally.limits.EntryLimits`; may be replaced at any time.
    """

    __slots__ = (
        "_credit",
        "_demand",
        "_expired",
        "_numbers",
        "_promotions",
        "_queues",
        "_service",
        "limits",
    )

    def __init__(self, *, limits):
        self.limits = limits
        self._queues = tuple(FairQueue() for _ in RANKS)
        self._promotions = []
        self._numbers = count()
        self._credit = 0.0
        self._service = ServiceTime()
        self._demand = tuple(Rate() for _ in RANKS)
        self._expired = []

    def __len__(self):
        return sum(len(queue) for queue in self._queues)

    def waiting(self, rank):
        """Return the number of waiting requests of a class."""
        return len(self._queues[rank])

    def service_s(self, now):
        """Return the mean service time in seconds; 0 without a recent measurement."""
        return self._service.mean_s(now)

    def needed_s(self, now):
        """Return the service time in seconds that nearly all requests stay below."""
        return self._service.needed_s(now)

    def measured(self, seconds, *, now):
        """Record the service time of a complete response, in seconds."""
        self._service.add(seconds, now)

    def check(self, ticket, *, now, free, total):
        """Check whether a request would be accepted now; change nothing.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :raises OverloadedError: the request must be refused.
        """
        queue = self._queues[ticket.rank]
        if free > 0 and not any(self._ahead(ticket)):
            return
        wait = WAIT_MARGIN * self._wait_s(ticket, now, total)
        if now + wait + self.needed_s(now) > ticket.deadline:
            raise OverloadedError("deadline: can't be met with the requests that wait already")
        if len(queue) >= self.limits.queue_limit(ticket.rank) and self._victim(ticket) is None:
            raise OverloadedError("queue: full")

    def offer(self, ticket, *, now, free, total):
        """Queue a request, or refuse it.

        :returns: the waiting request that was evicted to free its place, or None.
        :raises OverloadedError: refused; nothing was changed.
        """
        self.check(ticket, now=now, free=free, total=total)
        queue = self._queues[ticket.rank]
        victim = None
        is_full = len(queue) >= self.limits.queue_limit(ticket.rank)
        if is_full and (free <= 0 or any(self._ahead(ticket))):
            victim = self._victim(ticket)
            if victim is None:
                raise OverloadedError("queue: full")
            queue.remove(victim)
        queue.push(ticket)
        self._demand[ticket.rank].add(now)
        if ticket.rank == DEFERRABLE:
            self._plan_promotion(ticket, now)
        return victim

    def keeps(self, ticket, *, now, total):
        """Return whether a waiting request can still meet its deadline.

        :param total: all slots of this entry.
        """
        finish = now + self._wait_s(ticket, now, total) + self.needed_s(now)
        return finish <= ticket.deadline

    def withdraw(self, ticket):
        """Remove a request from its queue; do nothing if it isn't waiting."""
        if ticket.state is State.WAITING:
            self._queues[ticket.rank].remove(ticket)

    def take(self, *, now, free, total, ordinary):
        """Remove and return the next request to send, or None.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :param ordinary: slots in use by normal and deferrable requests.
        """
        self._promote(now)
        # The reserve caps the slots in use by normal and deferrable requests. Keeping slots idle in
        # addition to those that urgent requests use would refuse requests below full capacity.
        while free > 0:
            rank = self._choose(ordinary < total - urgent_reserve(total))
            if rank is None:
                return None
            ticket = self._queues[rank].pop()
            if ticket.deadline <= now or self._is_hopeless(ticket, now):
                ticket.state = State.GONE
                self._expired.append(ticket)
                continue
            self._taken(rank)
            return ticket
        return None

    def take_expired(self):
        """Return the requests that :meth:`take` dropped since the last call; they were not run."""
        expired, self._expired = self._expired, []
        return expired

    def _ahead(self, ticket):
        queue = self._queues[ticket.rank]
        higher = [len(self._queues[rank]) for rank in range(ticket.rank)]
        return [*higher, queue.ahead_of(ticket)]

    def _wait_s(self, ticket, now, total):
        service = self.service_s(now)
        if not service:
            return 0.0
        capacity = total / service
        ordinary = (total - urgent_reserve(total)) / service
        demand = [rate.per_s(now) for rate in self._demand]
        waits = self._queues[DEFERRABLE] or ticket.rank == DEFERRABLE
        share = self.limits.deferrable_share if waits else 0.0
        return wait_s(ticket.rank, self._ahead(ticket), capacity, ordinary, demand, share=share)

    def _victim(self, ticket):
        queue = self._queues[ticket.rank]
        victim = queue.latest_of_largest()
        if victim is None:
            return None
        fair = queue.waiting_of(victim.caller) > queue.waiting_of(ticket.caller) + 1
        return victim if fair else None

    def _is_hopeless(self, ticket, now):
        # With others waiting, a late request would waste a slot. Without others it is sent, because
        # its response updates the measured service time.
        return len(self) > 0 and now + self.needed_s(now) > ticket.deadline

    def _choose(self, has_ordinary_slot):
        if has_ordinary_slot and self._credit >= 1.0 - 1e-9 and self._queues[DEFERRABLE]:
            return DEFERRABLE
        if self._queues[URGENT]:
            return URGENT
        if has_ordinary_slot:
            return next((rank for rank in (NORMAL, DEFERRABLE) if self._queues[rank]), None)
        return None

    def _taken(self, rank):
        if rank == DEFERRABLE:
            self._credit = max(0.0, self._credit - 1.0)
        if self._queues[DEFERRABLE]:
            self._credit = min(self._credit + self.limits.deferrable_share, MAX_CREDIT)

    def _plan_promotion(self, ticket, now):
        span = ticket.deadline - ticket.queued_at
        lead = max(span * PROMOTE_RATIO, self.service_s(now) * PROMOTE_SERVICE_TIMES)
        heappush(self._promotions, (ticket.deadline - lead, next(self._numbers), ticket))

    def _promote(self, now):
        while self._promotions and self._promotions[0][0] <= now:
            ticket = heappop(self._promotions)[2]
            if ticket.state is State.WAITING:
                self._queues[DEFERRABLE].remove(ticket)
                ticket.rank = NORMAL
                self._queues[NORMAL].push(ticket)
