"""Admission control of one service: a bounded queue per request class, by deadline.

A class is a number ("rank"): 0 urgent, 1 normal, 2 deferrable. Callers pass the current monotonic
time as ``now``.

>>> from siskintally.admission import Admission
>>> from siskintally.fair_queue import QueuedRequest
>>> from siskintally.limits import EntryLimits, NORMAL, URGENT
>>> admission = Admission(limits=EntryLimits())
>>> for rank in (NORMAL, URGENT):
...     request = QueuedRequest(rank=rank, caller="c", deadline=9.0, queued_at=0.0)
...     _ = admission.offer(request, now=0.0, free=0, total=8)
>>> admission.pop_next(now=0.0, free=8, total=8, non_urgent_in_flight=0).rank
0
"""

from heapq import heappop, heappush
from itertools import count

from siskintally.codes import Code
from siskintally.errors import SiskintallyError
from siskintally.fair_queue import FairQueue, RequestState
from siskintally.forecast import EventRate, ServiceTime, forecast_wait_s
from siskintally.limits import DEFERRABLE, NORMAL, URGENT

RANKS = (URGENT, NORMAL, DEFERRABLE)
# An entry reserves one slot for urgent requests per this many slots, but at least one.
SLOTS_PER_URGENT_RESERVE = 8
# A deferrable request is moved to the normal class for the last fifth of the time to its deadline,
# or for the last two mean service times if they are longer.
PROMOTION_RATIO = 0.2
PROMOTION_SERVICE_TIMES = 2.0
# Dispatches that deferrable requests may be owed at most.
MAX_DEFERRABLE_CREDIT = 2.0
# On admission, the forecast wait is multiplied by this before it is compared with the deadline,
# because requests that arrive later with a higher class or an earlier deadline are sent first.
WAIT_SAFETY_FACTOR = 2.0
# Each waiting request is checked this many times between arrival and deadline. One that can't meet
# its deadline any more at the first check is refused within a quarter of that time.
DEADLINE_CHECKS_PER_REQUEST = 5


class OverloadedError(SiskintallyError):
    """Admission control refused the request; it was not run."""

    code = Code.OVERLOADED


def urgent_reserve(total):
    """Return how many of an entry's slots only urgent requests may use.

    >>> [urgent_reserve(total) for total in (1, 2, 8, 24)]
    [0, 1, 1, 3]
    """
    return 0 if total < 2 else max(1, total // SLOTS_PER_URGENT_RESERVE)


def next_deadline_check(request, now):
    """Return when a waiting request is checked next, at the latest at its deadline.

    >>> from siskintally.fair_queue import QueuedRequest
    >>> request = QueuedRequest(rank=1, caller="c", deadline=10.0, queued_at=0.0)
    >>> [next_deadline_check(request, now) for now in (0.0, 2.0, 3.0, 9.0)]
    [2.0, 4.0, 4.0, 10.0]
    """
    step = (request.deadline - request.queued_at) / DEADLINE_CHECKS_PER_REQUEST
    if step <= 0:
        return request.deadline
    number = (now - request.queued_at) // step + 1
    return min(request.queued_at + number * step, request.deadline)


class Admission:
    """Queues of one service's requests that wait for a slot, with admission and dispatch order.

    :param limits: :class:`~siskintally.limits.EntryLimits`; may be replaced at any time.
    """

    __slots__ = (
        "_arrival_rates",
        "_deferrable_credit",
        "_expired",
        "_promotions",
        "_queues",
        "_sequence",
        "_service_time",
        "limits",
    )

    def __init__(self, *, limits):
        self.limits = limits
        self._queues = tuple(FairQueue() for _ in RANKS)
        self._promotions = []
        self._sequence = count()
        self._deferrable_credit = 0.0
        self._service_time = ServiceTime()
        self._arrival_rates = tuple(EventRate() for _ in RANKS)
        self._expired = []

    def __len__(self):
        return sum(len(queue) for queue in self._queues)

    def waiting_count(self, rank):
        """Return the number of waiting requests of a class."""
        return len(self._queues[rank])

    def mean_service_s(self, now):
        """Return the mean service time in seconds; 0 without a recent measurement."""
        return self._service_time.mean_s(now)

    def service_bound_s(self, now):
        """Return the service time in seconds that nearly all requests stay below; 0 if unknown."""
        return self._service_time.upper_bound_s(now)

    def record_service_time(self, seconds, *, now):
        """Record the service time of a complete response, in seconds."""
        self._service_time.add(seconds, now)

    def check(self, request, *, now, free, total):
        """Check whether a request would be accepted now; change nothing.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :raises OverloadedError: the request must be refused.
        """
        queue = self._queues[request.rank]
        if free > 0 and not any(self._ahead_by_rank(request)):
            return
        wait = WAIT_SAFETY_FACTOR * self._forecast_wait_s(request, now, total)
        if now + wait + self.service_bound_s(now) > request.deadline:
            raise OverloadedError("deadline: can't be met with the requests that wait already")
        if (
            len(queue) >= self.limits.queue_limit(request.rank)
            and self._find_victim(request) is None
        ):
            raise OverloadedError("queue: full")

    def offer(self, request, *, now, free, total):
        """Queue a request, or refuse it.

        :returns: the waiting request that was evicted to free its place, or None.
        :raises OverloadedError: refused; nothing was changed.
        """
        self.check(request, now=now, free=free, total=total)
        queue = self._queues[request.rank]
        victim = None
        is_full = len(queue) >= self.limits.queue_limit(request.rank)
        if is_full and (free <= 0 or any(self._ahead_by_rank(request))):
            victim = self._find_victim(request)
            if victim is None:
                raise OverloadedError("queue: full")
            queue.remove(victim)
        queue.push(request)
        self._arrival_rates[request.rank].add(now)
        if request.rank == DEFERRABLE:
            self._schedule_promotion(request, now)
        return victim

    def can_meet_deadline(self, request, *, now, total):
        """Return whether a waiting request can still meet its deadline.

        :param total: all slots of this entry.
        """
        finish = now + self._forecast_wait_s(request, now, total) + self.service_bound_s(now)
        return finish <= request.deadline

    def withdraw(self, request):
        """Remove a request from its queue; do nothing if it isn't waiting."""
        if request.state is RequestState.WAITING:
            self._queues[request.rank].remove(request)

    def pop_next(self, *, now, free, total, non_urgent_in_flight):
        """Remove and return the next request to send, or None.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :param non_urgent_in_flight: slots in use by normal and deferrable requests.
        """
        self._promote_due(now)
        # The reserve caps the slots in use by normal and deferrable requests. Keeping slots idle in
        # addition to those that urgent requests use would refuse requests below full capacity.
        while free > 0:
            rank = self._choose_rank(non_urgent_in_flight < total - urgent_reserve(total))
            if rank is None:
                return None
            request = self._queues[rank].pop()
            if request.deadline <= now or self._would_be_late(request, now):
                request.state = RequestState.GONE
                self._expired.append(request)
                continue
            self._update_credit(rank)
            return request
        return None

    def pop_expired(self):
        """Return what :meth:`pop_next` dropped since the last call; those requests were not run."""
        expired, self._expired = self._expired, []
        return expired

    def _ahead_by_rank(self, request):
        queue = self._queues[request.rank]
        higher = [len(self._queues[rank]) for rank in range(request.rank)]
        return [*higher, queue.count_ahead(request)]

    def _forecast_wait_s(self, request, now, total):
        service_s = self.mean_service_s(now)
        if not service_s:
            return 0.0
        capacity = total / service_s
        non_urgent_capacity = (total - urgent_reserve(total)) / service_s
        arrivals_per_s = [rate.per_s(now) for rate in self._arrival_rates]
        deferrable_waits = self._queues[DEFERRABLE] or request.rank == DEFERRABLE
        share = self.limits.deferrable_share if deferrable_waits else 0.0
        return forecast_wait_s(
            request.rank,
            self._ahead_by_rank(request),
            capacity,
            non_urgent_capacity,
            arrivals_per_s,
            share=share,
        )

    def _find_victim(self, request):
        queue = self._queues[request.rank]
        victim = queue.latest_of_busiest_caller()
        if victim is None:
            return None
        is_fair = queue.count_waiting(victim.caller) > queue.count_waiting(request.caller) + 1
        return victim if is_fair else None

    def _would_be_late(self, request, now):
        # With others waiting, a late request would waste a slot. Without others it is sent, because
        # its response updates the measured service time.
        return len(self) > 0 and now + self.service_bound_s(now) > request.deadline

    def _choose_rank(self, has_non_urgent_slot):
        if (
            has_non_urgent_slot
            and self._deferrable_credit >= 1.0 - 1e-9
            and self._queues[DEFERRABLE]
        ):
            return DEFERRABLE
        if self._queues[URGENT]:
            return URGENT
        if has_non_urgent_slot:
            return next((rank for rank in (NORMAL, DEFERRABLE) if self._queues[rank]), None)
        return None

    def _update_credit(self, rank):
        if rank == DEFERRABLE:
            self._deferrable_credit = max(0.0, self._deferrable_credit - 1.0)
        if self._queues[DEFERRABLE]:
            self._deferrable_credit = min(
                self._deferrable_credit + self.limits.deferrable_share, MAX_DEFERRABLE_CREDIT
            )

    def _schedule_promotion(self, request, now):
        span = request.deadline - request.queued_at
        lead = max(span * PROMOTION_RATIO, self.mean_service_s(now) * PROMOTION_SERVICE_TIMES)
        heappush(self._promotions, (request.deadline - lead, next(self._sequence), request))

    def _promote_due(self, now):
        while self._promotions and self._promotions[0][0] <= now:
            request = heappop(self._promotions)[2]
            if request.state is RequestState.WAITING:
                self._queues[DEFERRABLE].remove(request)
                request.rank = NORMAL
                self._queues[NORMAL].push(request)
