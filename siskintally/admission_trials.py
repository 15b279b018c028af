"""Admission rules under comparison."""

from heapq import heappop, heappush
from itertools import count

from siskintally.admission import Admission, OverloadedError, urgent_reserve
from siskintally.fair_queue import FairQueue, State
from siskintally.limits import DEFERRABLE, NORMAL, URGENT

RANKS = (URGENT, NORMAL, DEFERRABLE)
# One slot in eight, at least one, is kept free for urgent requests.
SLOTS_PER_RESERVE = 8
# A deferrable request counts as normal in the last fifth of its time.
PROMOTE_RATIO = 0.2
PROMOTE_SERVICE_TIMES = 2.0
SMOOTHING = 0.1
# A request sent with less time left than mean and deviations often ends with an unknown outcome.
DEVIATIONS = 4.0
# A service time measured longer ago refuses nobody, so one slow answer can't close a service.
MEASURE_LIFE_S = 10.0
MAX_CREDIT = 2.0


class DeadlineOnly:
    """Requests of one service that wait for a slot.

    :param limits: :class:`~siskintally.limits.EntryLimits`; may be replaced at any time.
    """

    __slots__ = (
        "_credit",
        "_deviation_s",
        "_expired",
        "_interval_s",
        "_last_taken_at",
        "_measured_at",
        "_numbers",
        "_promotions",
        "_queues",
        "_service_s",
        "limits",
    )

    def __init__(self, *, limits):
        self.limits = limits
        self._queues = tuple(FairQueue() for _ in RANKS)
        self._promotions = []
        self._numbers = count()
        self._credit = 0.0
        self._service_s = 0.0
        self._deviation_s = 0.0
        self._measured_at = 0.0
        self._interval_s = [0.0 for _ in RANKS]
        self._last_taken_at = [None for _ in RANKS]
        self._expired = []

    def __len__(self):
        return sum(len(queue) for queue in self._queues)

    def waiting(self, rank):
        """Return how many requests of a class wait."""
        return len(self._queues[rank])

    def service_s(self, now):
        """Return the measured service time, s; 0 if there was no recent one."""
        return self._service_s if now - self._measured_at <= MEASURE_LIFE_S else 0.0

    def needed_s(self, now):
        """Return the time within which nearly all requests are served, s."""
        mean = self.service_s(now)
        return mean + DEVIATIONS * self._deviation_s if mean else 0.0

    def measured(self, seconds, *, now):
        """Take the service time of a complete response."""
        if self.service_s(now) == 0.0:
            self._service_s = seconds
            self._deviation_s = 0.0
        else:
            error = seconds - self._service_s
            self._service_s += SMOOTHING * error
            self._deviation_s += SMOOTHING * (abs(error) - self._deviation_s)
        self._measured_at = now

    def check(self, ticket, *, now, free, total):
        """Check whether a request would be accepted now.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :raises OverloadedError: the request must be refused.
        """
        queue = self._queues[ticket.rank]
        ahead = self._ahead(ticket)
        if free > 0 and not ahead:
            return
        finish = now + self._wait_s(ticket.rank, ahead, now, total) + self.needed_s(now)
        if finish > ticket.deadline:
            raise OverloadedError("deadline: can't be met with the requests that wait already")
        if len(queue) >= self.limits.queue_limit(ticket.rank) and self._victim(ticket) is None:
            raise OverloadedError("queue: full")

    def offer(self, ticket, *, now, free, total):
        """Queue a request.

        :returns: a waiting ticket that was evicted for it, or None.
        :raises OverloadedError: refused; nothing was changed.
        """
        self.check(ticket, now=now, free=free, total=total)
        queue = self._queues[ticket.rank]
        victim = None
        is_full = len(queue) >= self.limits.queue_limit(ticket.rank)
        if is_full and (free <= 0 or self._ahead(ticket)):
            victim = self._victim(ticket)
            if victim is None:
                raise OverloadedError("queue: full")
            queue.remove(victim)
        queue.push(ticket)
        if ticket.rank == DEFERRABLE:
            self._plan_promotion(ticket, now)
        return victim

    def keeps(self, ticket, *, now, total):
        """Keep every waiting request until its deadline."""
        return True

    def withdraw(self, ticket):
        """Take out a request that no longer waits."""
        if ticket.state is State.WAITING:
            self._queues[ticket.rank].remove(ticket)

    def take(self, *, now, free, total, ordinary):
        """Return the next request to send, or None.

        :param free: free slots of this entry.
        :param total: all slots of this entry.
        :param ordinary: slots in use by requests that are not urgent.
        """
        self._promote(now)
        # The reserve limits the others instead of keeping slots idle beside busy urgent ones;
        # that would refuse ordinary requests below the capacity.
        while free > 0:
            rank = self._choose(ordinary < total - urgent_reserve(total))
            if rank is None:
                return None
            ticket = self._queues[rank].pop()
            if ticket.deadline <= now or self._is_hopeless(ticket, now):
                ticket.state = State.GONE
                self._expired.append(ticket)
                continue
            self._taken(rank, now)
            return ticket
        return None

    def take_expired(self):
        """Return the requests dropped by :meth:`take` since the last call; they were not run."""
        expired, self._expired = self._expired, []
        return expired

    def _ahead(self, ticket):
        queue = self._queues[ticket.rank]
        own = queue.waiting_of(ticket.caller)
        callers = queue.callers() + (own == 0)
        # Round robin: others get at most as many turns as this caller before its new request.
        in_class = min(len(queue), (own + 1) * callers - 1)
        return in_class + sum(len(self._queues[rank]) for rank in range(ticket.rank))

    def _wait_s(self, rank, ahead, now, total):
        usable = total if rank == URGENT else total - urgent_reserve(total)
        by_model = ahead * self.service_s(now) / max(usable, 1)
        own = ahead - sum(len(self._queues[other]) for other in range(rank))
        return max(by_model, own * self._interval_s[rank])

    def _victim(self, ticket):
        queue = self._queues[ticket.rank]
        victim = queue.latest_of_largest()
        if victim is None:
            return None
        fair = queue.waiting_of(victim.caller) > queue.waiting_of(ticket.caller) + 1
        return victim if fair else None

    def _is_hopeless(self, ticket, now):
        # Sent alone it is a measurement; with others waiting it would waste a slot.
        return len(self) > 0 and now + self.needed_s(now) > ticket.deadline

    def _choose(self, has_ordinary_slot):
        if has_ordinary_slot and self._credit >= 1.0 - 1e-9 and self._queues[DEFERRABLE]:
            return DEFERRABLE
        if self._queues[URGENT]:
            return URGENT
        if has_ordinary_slot:
            return next((rank for rank in (NORMAL, DEFERRABLE) if self._queues[rank]), None)
        return None

    def _taken(self, rank, now):
        if rank == DEFERRABLE:
            self._credit = max(0.0, self._credit - 1.0)
        if self._queues[DEFERRABLE]:
            self._credit = min(self._credit + self.limits.deferrable_share, MAX_CREDIT)
        last = self._last_taken_at[rank]
        if last is not None:
            self._interval_s[rank] += SMOOTHING * (now - last - self._interval_s[rank])
        # Only intervals with a request waiting throughout tell how fast a queue drains.
        self._last_taken_at[rank] = now if self._queues[rank] else None

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


class ControlledDelay(Admission):
    """Short limit on the time in the queue while a class has a standing queue."""

    __slots__ = ("_no_queue_at",)

    def __init__(self, *, limits):
        super().__init__(limits=limits)
        self._no_queue_at = [0.0 for _ in RANKS]

    def check(self, ticket, *, now, free, total):
        """Check whether the queue has room; refusals come from the time in the queue."""
        queue = self._queues[ticket.rank]
        if free > 0 and not any(self._ahead(ticket)):
            return
        if now + self.needed_s(now) > ticket.deadline:
            raise OverloadedError("deadline: can't be met")
        if len(queue) >= self.limits.queue_limit(ticket.rank) and self._victim(ticket) is None:
            raise OverloadedError("queue: full")

    def take(self, *, now, free, total, ordinary):
        """Return the next request to send, or None."""
        ticket = super().take(now=now, free=free, total=total, ordinary=ordinary)
        if ticket is not None and now - ticket.queued_at < 0.05:
            self._no_queue_at[ticket.rank] = now
        return ticket

    def keeps(self, ticket, *, now, total):
        """Keep a request unless its class has had a standing queue for a while."""
        return now - self._no_queue_at[ticket.rank] < 0.5


ADMISSION_BY_NAME = {
    "deadline-only": DeadlineOnly,
    "class-share": Admission,
    "controlled-delay": ControlledDelay,
}
