"""Dispatch of one service's requests: its queue, its endpoints, and this entry's slots on them.

>>> from siskintally.service_dispatcher import ServiceDispatcher
>>> ServiceDispatcher.__name__
'ServiceDispatcher'
"""

from siskintally.admission import Admission
from siskintally.balancer import Candidate
from siskintally.fair_queue import RequestState
from siskintally.forward import Forwarder
from siskintally.health import HealthTable
from siskintally.limits import URGENT

# Limits of the delay after which the slot of a request that may still run is released.
MIN_RELEASE_DELAY_S = 0.5
MAX_RELEASE_DELAY_S = 5.0


class EndpointSlots:
    """Slots of one endpoint that this entry may use.

    :param key: name and incarnation of the endpoint.
    :param share: number of slots.
    """

    __slots__ = ("forwarder", "in_flight", "key", "non_urgent_in_flight", "share")

    def __init__(self, *, key, share, forwarder):
        self.key = key
        self.share = share
        self.forwarder = forwarder
        self.in_flight = 0
        self.non_urgent_in_flight = 0

    def acquire(self, *, urgent):
        """Occupy a slot."""
        self.in_flight += 1
        self.non_urgent_in_flight += not urgent

    def release(self, *, urgent):
        """Free a slot."""
        self.in_flight -= 1
        self.non_urgent_in_flight -= not urgent


class ServiceDispatcher:
    """Queues the requests of one service and sends them to its endpoints.

    :param live_endpoints: ``live_endpoints(now)`` returns the endpoints that may get new work.
    :param share_of: ``share_of(total, endpoint_name)`` returns this entry's share of a total.
    :param balancer: :class:`~siskintally.balancer.Balancer`.
    """

    __slots__ = (
        "_balancer",
        "_delayed_releases",
        "_health",
        "_live_endpoints",
        "_share_of",
        "_slots_by_key",
        "admission",
    )

    def __init__(self, *, limits, live_endpoints, share_of, balancer):
        self.admission = Admission(limits=limits)
        self._live_endpoints = live_endpoints
        self._share_of = share_of
        self._balancer = balancer
        self._health = HealthTable()
        self._slots_by_key = {}
        self._delayed_releases = []

    def capacity(self, now):
        """Return (free slots, all slots) that this entry has on usable endpoints."""
        usable = self._usable_slots(now)
        free = sum(max(slots.share - slots.in_flight, 0) for slots in usable)
        return free, sum(slots.share for slots in usable)

    def endpoint_count(self, now):
        """Return the number of endpoints that may get new work."""
        return len(self._live_endpoints(now))

    def check(self, request, *, now):
        """Check whether a request would be accepted now; see :meth:`Admission.check`."""
        free, total = self.capacity(now)
        self.admission.check(request, now=now, free=free, total=total)

    def offer(self, request, *, now):
        """Queue a request, then dispatch what has a free slot; see :meth:`Admission.offer`."""
        free, total = self.capacity(now)
        victim = self.admission.offer(request, now=now, free=free, total=total)
        if victim is not None:
            victim.notify()
        self.dispatch_waiting(now)

    def can_meet_deadline(self, request, *, now):
        """Return whether a waiting request can still meet its deadline."""
        if not self.endpoint_count(now):
            return False
        _, total = self.capacity(now)
        # Without usable endpoints the request stays: unreachable ones are probed within a second.
        return not total or self.admission.can_meet_deadline(request, now=now, total=total)

    def withdraw(self, request):
        """Remove a request from its queue; do nothing if it isn't waiting."""
        self.admission.withdraw(request)

    def dispatch_waiting(self, now):
        """Assign free slots to waiting requests."""
        while len(self.admission):
            usable = self._usable_slots(now)
            free = sum(max(slots.share - slots.in_flight, 0) for slots in usable)
            total = sum(slots.share for slots in usable)
            non_urgent_in_flight = sum(slots.non_urgent_in_flight for slots in usable)
            request = self.admission.pop_next(
                now=now, free=free, total=total, non_urgent_in_flight=non_urgent_in_flight
            )
            for expired in self.admission.pop_expired():
                expired.notify()
            if request is None:
                return
            self._assign_endpoint(request, usable)

    def release(self, request, *, ok, seconds, now, may_run=False, unreachable=False):
        """Release the slot of a request and record the result.

        If the request may still run at the endpoint, its slot is released only after the estimated
        service time, 0.5 s to 5 s, to avoid sending the endpoint more requests than it has slots.

        :param ok: whether the endpoint succeeded, or None if unknown.
        :param seconds: service time of a complete response, or None.
        :param may_run: whether the endpoint may still be working on the request.
        :param unreachable: whether no connection to the endpoint could be made.
        """
        if may_run:
            self._delayed_releases.append((now + self._release_delay_s(now), request))
        else:
            request.endpoint.release(urgent=request.rank == URGENT)
        key = request.endpoint.key
        if unreachable:
            self._health.record_unreachable(key, now=now)
        elif ok is None:
            self._health.record_no_result(key)
        else:
            names = [_incarnation_key(endpoint) for endpoint in self._live_endpoints(now)]
            self._health.record_result(key, ok=ok, names=names, now=now)
        if seconds is not None:
            self.admission.record_service_time(seconds, now=now)
        self.dispatch_waiting(now)

    def is_idle(self, now):
        """Return whether the dispatcher has no requests and no endpoints, and can be dropped."""
        return not len(self.admission) and not self._slots_by_key and not self._live_endpoints(now)

    def run_maintenance(self, now):
        """Release slots whose delay has passed, dispatch waiting requests, drop gone endpoints.

        :returns: forwarders of the dropped endpoints, to be closed.
        """
        due = [request for at, request in self._delayed_releases if at <= now]
        self._delayed_releases = [delayed for delayed in self._delayed_releases if delayed[0] > now]
        for request in due:
            request.endpoint.release(urgent=request.rank == URGENT)
        self.dispatch_waiting(now)
        live_keys = {_incarnation_key(endpoint) for endpoint in self._live_endpoints(now)}
        self._health.retain(live_keys | self._slots_by_key.keys())
        gone = [
            slots
            for slots in self._slots_by_key.values()
            if slots.key not in live_keys and not slots.in_flight
        ]
        for slots in gone:
            del self._slots_by_key[slots.key]
        return [slots.forwarder for slots in gone]

    def _assign_endpoint(self, request, usable):
        free = [slots for slots in usable if slots.in_flight < slots.share]
        preferred = [slots for slots in free if self._is_preferred(request, slots.key)] or free
        candidates = [
            Candidate(
                name=slots.key,
                share=slots.share,
                in_flight=slots.in_flight,
                suspect=self._health.is_suspect(slots.key),
            )
            for slots in preferred
        ]
        chosen = self._slots_by_key[self._balancer.choose(candidates, key=request.caller).name]
        chosen.acquire(urgent=request.rank == URGENT)
        self._health.record_send(chosen.key)
        request.endpoint = chosen
        request.notify()

    def _release_delay_s(self, now):
        return min(
            max(self.admission.service_bound_s(now), MIN_RELEASE_DELAY_S), MAX_RELEASE_DELAY_S
        )

    def _is_preferred(self, request, key):
        return key != request.avoid and (request.may_probe or not self._health.is_ejected(key))

    def _usable_slots(self, now):
        by_key = {_incarnation_key(endpoint): endpoint for endpoint in self._live_endpoints(now)}
        keys = self._health.usable(by_key, now=now)
        found = (self._slots_of(key, by_key[key]) for key in keys)
        return [slots for slots in found if slots.share]

    def _slots_of(self, key, endpoint):
        slots = self._slots_by_key.get(key)
        if slots is None:
            connections = self._share_of(endpoint.connections, endpoint.name)
            slots = self._slots_by_key[key] = EndpointSlots(
                key=key,
                share=min(self._share_of(endpoint.slots, endpoint.name), connections),
                forwarder=Forwarder(url=endpoint.url, connections=max(connections, 1)),
            )
        return slots


def _incarnation_key(endpoint):
    # A new incarnation starts with free slots, no connections, and no failures.
    return f"{endpoint.name}/{endpoint.incarnation}"


def has_slot(request):
    """Return whether a request has a slot."""
    return request.state is RequestState.TAKEN
