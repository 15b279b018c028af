"""Dispatch of one service's requests: its queue, its endpoints, and this entry's slots on them.

>>> from siskintally.service_dispatcher import ServiceDispatcher
>>> ServiceDispatcher.__name__
'ServiceDispatcher'
"""

from siskintally.admission import Admission
from siskintally.balancer import Candidate
from siskintally.fair_queue import State
from siskintally.forward import Forwarder
from siskintally.health import HealthTable
from siskintally.limits import URGENT

MIN_HOLD_S = 0.5
MAX_HOLD_S = 5.0


class Slots:
    """Slots of one endpoint that this entry may use.

    :param key: name and incarnation of the endpoint.
    :param share: number of slots.
    """

    __slots__ = ("forwarder", "in_flight", "key", "ordinary", "share")

    def __init__(self, *, key, share, forwarder):
        self.key = key
        self.share = share
        self.forwarder = forwarder
        self.in_flight = 0
        self.ordinary = 0

    def take(self, *, urgent):
        """Occupy a slot."""
        self.in_flight += 1
        self.ordinary += not urgent

    def give_back(self, *, urgent):
        """Free a slot."""
        self.in_flight -= 1
        self.ordinary -= not urgent


class ServiceDispatcher:
    """Queues the requests of one service and sends them to its endpoints.

    :param live: ``live(now)`` returns the endpoints that may get new work.
    :param share_of: ``share_of(total, endpoint_name)`` returns this entry's share of a total.
    :param balancer: :class:`~siskintally.balancer.Balancer`.
    """

    __slots__ = (
        "_balancer",
        "_health",
        "_held",
        "_live",
        "_share_of",
        "_slots_by_key",
        "admission",
    )

    def __init__(self, *, limits, live, share_of, balancer):
        self.admission = Admission(limits=limits)
        self._live = live
        self._share_of = share_of
        self._balancer = balancer
        self._health = HealthTable()
        self._slots_by_key = {}
        self._held = []

    def capacity(self, now):
        """Return (free slots, all slots) that this entry has on usable endpoints."""
        usable = self._usable(now)
        free = sum(max(one.share - one.in_flight, 0) for one in usable)
        return free, sum(one.share for one in usable)

    def endpoints(self, now):
        """Return the number of endpoints that may get new work."""
        return len(self._live(now))

    def check(self, ticket, *, now):
        """Check whether a request would be accepted now; see :meth:`Admission.check`."""
        free, total = self.capacity(now)
        self.admission.check(ticket, now=now, free=free, total=total)

    def offer(self, ticket, *, now):
        """Queue a request, then dispatch what has a free slot; see :meth:`Admission.offer`."""
        free, total = self.capacity(now)
        victim = self.admission.offer(ticket, now=now, free=free, total=total)
        if victim is not None:
            victim.notify()
        self.pump(now)

    def keeps(self, ticket, *, now):
        """Return whether a waiting request can still meet its deadline."""
        if not self.endpoints(now):
            return False
        _, total = self.capacity(now)
        # Without usable endpoints the request stays: unreachable ones are probed within a second.
        return not total or self.admission.keeps(ticket, now=now, total=total)

    def withdraw(self, ticket):
        """Remove a request from its queue; do nothing if it isn't waiting."""
        self.admission.withdraw(ticket)

    def pump(self, now):
        """Assign free slots to waiting requests."""
        while len(self.admission):
            usable = self._usable(now)
            free = sum(max(one.share - one.in_flight, 0) for one in usable)
            total = sum(one.share for one in usable)
            ordinary = sum(one.ordinary for one in usable)
            ticket = self.admission.take(now=now, free=free, total=total, ordinary=ordinary)
            for expired in self.admission.take_expired():
                expired.notify()
            if ticket is None:
                return
            self._give(ticket, usable)

    def release(self, ticket, *, ok, seconds, now, may_run=False, unreachable=False):
        """Release the slot of a request and record the result.

        If the request may still run at the endpoint, its slot is released only after the estimated
        service time, 0.5 s to 5 s, to avoid sending the endpoint more requests than it has slots.

        :param ok: whether the endpoint succeeded, or None if unknown.
        :param seconds: service time of a complete response, or None.
        :param may_run: whether the endpoint may still be working on the request.
        :param unreachable: whether no connection to the endpoint could be made.
        """
        if may_run:
            self._held.append((now + self._hold_s(now), ticket))
        else:
            ticket.endpoint.give_back(urgent=ticket.rank == URGENT)
        key = ticket.endpoint.key
        if unreachable:
            self._health.lose(key, now=now)
        elif ok is None:
            self._health.abandon(key)
        else:
            names = [_key(endpoint) for endpoint in self._live(now)]
            self._health.record(key, ok=ok, names=names, now=now)
        if seconds is not None:
            self.admission.measured(seconds, now=now)
        self.pump(now)

    def is_idle(self, now):
        """Return whether the dispatcher has no requests and no endpoints, and can be dropped."""
        return not len(self.admission) and not self._slots_by_key and not self._live(now)

    def tidy(self, now):
        """Release slots whose delay has passed, dispatch waiting requests, drop dead endpoints.

        :returns: forwarders of the dropped endpoints, to be closed.
        """
        due = [ticket for at, ticket in self._held if at <= now]
        self._held = [held for held in self._held if held[0] > now]
        for ticket in due:
            ticket.endpoint.give_back(urgent=ticket.rank == URGENT)
        self.pump(now)
        live = {_key(endpoint) for endpoint in self._live(now)}
        self._health.keep(live | self._slots_by_key.keys())
        gone = [
            one for one in self._slots_by_key.values() if one.key not in live and not one.in_flight
        ]
        for one in gone:
            del self._slots_by_key[one.key]
        return [one.forwarder for one in gone]

    def _give(self, ticket, usable):
        free = [one for one in usable if one.in_flight < one.share]
        others = [one for one in free if self._suits(ticket, one.key)] or free
        candidates = [
            Candidate(
                name=one.key,
                share=one.share,
                in_flight=one.in_flight,
                suspect=self._health.is_suspect(one.key),
            )
            for one in others
        ]
        chosen = self._slots_by_key[self._balancer.choose(candidates, key=ticket.caller).name]
        chosen.take(urgent=ticket.rank == URGENT)
        self._health.start(chosen.key)
        ticket.endpoint = chosen
        ticket.notify()

    def _hold_s(self, now):
        return min(max(self.admission.needed_s(now), MIN_HOLD_S), MAX_HOLD_S)

    def _suits(self, ticket, key):
        return key != ticket.avoid and (ticket.may_probe or not self._health.is_ejected(key))

    def _usable(self, now):
        by_key = {_key(endpoint): endpoint for endpoint in self._live(now)}
        keys = self._health.usable(by_key, now=now)
        found = (self._slots(key, by_key[key]) for key in keys)
        return [one for one in found if one.share]

    def _slots(self, key, endpoint):
        slots = self._slots_by_key.get(key)
        if slots is None:
            connections = self._share_of(endpoint.connections, endpoint.name)
            slots = self._slots_by_key[key] = Slots(
                key=key,
                share=min(self._share_of(endpoint.slots, endpoint.name), connections),
                forwarder=Forwarder(url=endpoint.url, connections=max(connections, 1)),
            )
        return slots


def _key(endpoint):
    # A new incarnation starts with free slots, no connections, and no failures.
    return f"{endpoint.name}/{endpoint.incarnation}"


def is_granted(ticket):
    """Return whether a request has a slot."""
    return ticket.state is State.TAKEN
