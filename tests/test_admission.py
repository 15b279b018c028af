"""Admission queues: order, shares, refusals, promotion, fairness."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskintally.admission import Admission, OverloadedError, next_deadline_check, urgent_reserve
from siskintally.fair_queue import FairQueue, QueuedRequest, RequestState
from siskintally.limits import DEFERRABLE, NORMAL, URGENT, EntryLimits

TOTAL = 8


def make_request(rank=NORMAL, *, caller="c", deadline=100.0, at=0.0):
    return QueuedRequest(
        rank=rank, caller=caller, deadline=deadline, queued_at=at, notify=lambda: None
    )


def make_queue(**limits):
    return Admission(limits=EntryLimits(**limits))


def offer(queue, request, *, now=0.0, free=0):
    return queue.offer(request, now=now, free=free, total=TOTAL)


def drain(queue, *, free=TOTAL, now=0.0):
    return list(
        iter(lambda: queue.pop_next(now=now, free=free, total=TOTAL, non_urgent_in_flight=0), None)
    )


def test_urgent_comes_first_and_within_a_class_the_earliest_deadline():
    queue = make_queue()
    for rank, deadline in ((NORMAL, 5), (DEFERRABLE, 1), (NORMAL, 4), (URGENT, 9), (URGENT, 8)):
        offer(queue, make_request(rank, deadline=deadline))
    order = [(request.rank, request.deadline) for request in drain(queue)]
    assert order == [(0, 8), (0, 9), (1, 4), (1, 5), (2, 1)]


def test_reserved_slots_go_to_urgent_requests_only():
    """Guards against an urgent request that waits behind a deferrable one in the last slot."""
    queue = make_queue()
    for rank in (NORMAL, DEFERRABLE):
        offer(queue, make_request(rank))
    assert urgent_reserve(TOTAL) == 1
    assert queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 1) is None
    offer(queue, make_request(URGENT))
    assert (
        queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 1).rank == URGENT
    )


def test_slots_of_urgent_requests_count_as_the_reserve():
    """Guards against idle slots while normal requests wait.

    Urgent requests in flight already use the slots that are reserved for them.
    """
    queue = make_queue()
    offer(queue, make_request(NORMAL))
    assert (
        queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 2).rank == NORMAL
    )


@pytest.mark.parametrize("share", [0.1, 0.25])
def test_waiting_deferrable_requests_get_their_share_of_dispatches(share):
    """Guards against starvation of deferrable requests by a stream of urgent ones."""
    queue = make_queue(deferrable_share=share, queue_limit_urgent=999, queue_limit_deferrable=999)
    for _ in range(300):
        offer(queue, make_request(URGENT))
        offer(queue, make_request(DEFERRABLE))
    ranks = [
        queue.pop_next(now=0.0, free=2, total=TOTAL, non_urgent_in_flight=0).rank
        for _ in range(200)
    ]
    assert share * 200 - 2 <= ranks.count(DEFERRABLE) <= share * 200


def test_deferrable_request_counts_as_normal_near_its_deadline():
    queue = make_queue()
    near_deadline = make_request(DEFERRABLE, deadline=10.0)
    offer(queue, near_deadline)
    for _ in range(3):
        offer(queue, make_request(NORMAL, caller="d", deadline=50.0), now=8.5)
    assert queue.pop_next(now=8.5, free=TOTAL, total=TOTAL, non_urgent_in_flight=0) is near_deadline


def test_promoted_request_is_taken_once_and_from_its_new_class():
    """Guards against a promoted request that is also taken from its old queue.

    The new queue then counted one request too many and failed at its next turn, after an endpoint
    had answered.
    """
    queue = make_queue(deferrable_share=0.5, queue_limit_normal=20)
    normal = [make_request(NORMAL, deadline=40.0) for _ in range(10)]
    first = make_request(DEFERRABLE, deadline=50.0, at=29.0)
    promoted = make_request(DEFERRABLE, deadline=55.0, at=-100.0)
    last = make_request(DEFERRABLE, deadline=60.0, at=29.0)
    requests = [*normal, first, promoted, last]
    for request in requests:
        offer(queue, request)
    taken = drain(queue, now=30.0)
    assert promoted.rank == NORMAL
    assert len(taken) == len({id(request) for request in taken}) == len(requests)
    assert taken.index(last) < taken.index(promoted)
    assert len(queue) == 0


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    queue = make_queue()
    queue.record_service_time(1.0, now=0.0)
    for number in range(14):
        offer(queue, make_request(deadline=100.0, caller=f"c{number}"))
    # 14 requests wait for 7 slots: 2 s in the queue, doubled by the margin, and 1 s of service.
    with pytest.raises(OverloadedError):
        offer(queue, make_request(deadline=4.9, caller="new"))
    offer(queue, make_request(deadline=5.1, caller="new"))
    offer(queue, make_request(URGENT, deadline=1.1))


def test_deferrable_request_counts_on_its_share_only():
    """Guards against deferrable requests accepted for slots that later normal ones will take."""
    queue = make_queue(deferrable_share=0.1)
    queue.record_service_time(0.1, now=0.0)
    for number in range(80):
        offer(queue, make_request(NORMAL, caller=f"c{number}"), now=number / 80)
    offer(queue, make_request(DEFERRABLE, deadline=1.2), now=1.0)
    # The share is 8 of 80 requests a second: the second request waits 1/8 s, 1/4 s with the margin.
    bound_s = queue.service_bound_s(1.0)
    with pytest.raises(OverloadedError):
        offer(queue, make_request(DEFERRABLE, deadline=1.24 + bound_s), now=1.0)
    offer(queue, make_request(DEFERRABLE, deadline=1.26 + bound_s), now=1.0)


def test_waiting_request_is_kept_while_its_deadline_can_be_met():
    """Guards against a request that is refused only when its deadline passes."""
    queue = make_queue()
    queue.record_service_time(1.0, now=0.0)
    for number in range(14):
        offer(queue, make_request(deadline=100.0, caller=f"c{number}"))
    request = make_request(deadline=6.0, caller="new")
    offer(queue, request)
    assert queue.can_meet_deadline(request, now=2.0, total=TOTAL)
    # Half of the slots are gone; 3 of the others serve normal requests.
    assert not queue.can_meet_deadline(request, now=2.0, total=TOTAL // 2)
    assert next_deadline_check(request, 0.0) <= 0.25 * request.deadline


class OverloadSimulation:
    """Simulation of requests at twice the capacity, in virtual time."""

    SERVICE_S = 0.1
    DEADLINE_S = (1.0, 2.0, 4.0)

    def __init__(self, *, seed):
        self.random = Random(seed)
        self.queue = make_queue()
        self.events, self.sequence = [], count()
        self.sent_by_rank = Counter()
        # Delay of each refusal as a share of the time from the request to its deadline.
        self.refusal_delays, self.finished = [], []

    def run(self, seconds):
        """Offer requests for ``seconds``, and serve until none waits."""
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(2 * TOTAL / self.SERVICE_S)
            self._schedule(at, self._arrive)
        while self.events:
            now, _, action, arguments = heappop(self.events)
            action(now, *arguments)

    def _schedule(self, at, action, *arguments):
        heappush(self.events, (at, next(self.sequence), action, arguments))

    def _arrive(self, now):
        rank = self.random.choices((URGENT, NORMAL, DEFERRABLE), (1, 2, 1))[0]
        request = make_request(rank, deadline=now + self.DEADLINE_S[rank], at=now)
        try:
            offer(self.queue, request, now=now, free=TOTAL - self.sent_by_rank.total())
        except OverloadedError:
            self._record_refusal(now, request)
            return
        self._schedule(next_deadline_check(request, now), self._check_deadline, request)
        self._dispatch(now)

    def _check_deadline(self, now, request):
        if request.state is RequestState.WAITING:
            if now >= request.deadline or not self.queue.can_meet_deadline(
                request, now=now, total=TOTAL
            ):
                self.queue.withdraw(request)
                self._record_refusal(now, request)
            else:
                self._schedule(
                    next_deadline_check(request, now + 1e-6), self._check_deadline, request
                )

    def _dispatch(self, now):
        sent = self.sent_by_rank.total()
        non_urgent_in_flight = sent - self.sent_by_rank[URGENT]
        request = self.queue.pop_next(
            now=now, free=TOTAL - sent, total=TOTAL, non_urgent_in_flight=non_urgent_in_flight
        )
        for expired in self.queue.pop_expired():
            self._record_refusal(now, expired)
        if request is not None:
            self.sent_by_rank[request.rank] += 1
            service_s = self.SERVICE_S * self.random.uniform(0.5, 1.5)
            self._schedule(now + service_s, self._finish, request, service_s)
            self._dispatch(now)

    def _finish(self, now, request, service_s):
        self.sent_by_rank[request.rank] -= 1
        self.queue.record_service_time(service_s, now=now)
        self.finished.append((now, request))
        self._dispatch(now)

    def _record_refusal(self, now, request):
        self.refusal_delays.append(
            (now - request.queued_at) / (request.deadline - request.queued_at)
        )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_excess_at_twice_the_capacity_is_refused_within_a_quarter_of_the_deadline(seed):
    """Guards against requests that are queued and refused as "not run" much later."""
    simulation = OverloadSimulation(seed=seed)
    simulation.run(60.0)
    assert sorted(simulation.refusal_delays)[int(0.99 * len(simulation.refusal_delays))] <= 0.25
    assert all(now <= request.deadline for now, request in simulation.finished)
    # Refusals must not leave slots idle.
    assert len(simulation.finished) >= 0.95 * 60.0 * TOTAL / OverloadSimulation.SERVICE_S


def test_one_slow_measurement_does_not_close_a_service():
    """Guards against a service that refuses all requests after one slow measurement.

    Without an accepted request, there would never be a newer measurement.
    """
    queue = make_queue()
    queue.record_service_time(60.0, now=0.0)
    offer(queue, make_request(deadline=2.0), free=TOTAL)
    assert drain(queue)
    offer(queue, make_request(deadline=100.0), now=20.0)
    offer(queue, make_request(deadline=22.0), now=20.0)
    assert len(drain(queue, now=20.0)) == 2


def test_expired_requests_are_reported_and_take_no_slot():
    queue = make_queue()
    expired, waiting = make_request(deadline=5.0), make_request(deadline=50.0)
    offer(queue, expired)
    offer(queue, waiting)
    assert queue.pop_next(now=6.0, free=2, total=TOTAL, non_urgent_in_flight=0) is waiting
    assert queue.pop_expired() == [expired]
    assert expired.state is RequestState.GONE


def test_full_queue_drops_a_request_of_the_caller_with_the_most():
    """Guards against one caller that fills the queue, so that all others are refused."""
    queue = make_queue(queue_limit_normal=10)
    flood_requests = [make_request(caller="flood", deadline=100.0 + number) for number in range(10)]
    for request in flood_requests:
        offer(queue, request)
    with pytest.raises(OverloadedError):
        offer(queue, make_request(caller="flood"))
    assert offer(queue, make_request(caller="small")) is flood_requests[-1]
    callers = [request.caller for request in drain(queue)]
    assert callers[:2].count("small") == 1
    assert len(callers) == 10


def test_queue_limit_of_zero_still_lets_free_slots_be_used():
    queue = make_queue(queue_limit_normal=0)
    offer(queue, make_request(), free=TOTAL)
    assert len(drain(queue)) == 1
    with pytest.raises(OverloadedError):
        offer(queue, make_request(), free=0)


def test_caller_that_comes_back_gets_no_more_turns_than_others():
    queue = FairQueue()
    for _ in range(20):
        queue.push(make_request(caller="steady"))
    served = []
    for _ in range(20):
        if not queue.count_waiting("returning"):
            queue.push(make_request(caller="returning"))
        served.append(queue.pop().caller)
    assert served.count("steady") == 10


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["offer", "take", "withdraw"]),
            st.integers(0, 2),
            st.sampled_from("abc"),
            st.floats(0.1, 20.0),
        ),
        max_size=60,
    )
)
def test_every_request_ends_exactly_one_way(steps):
    """Guards against requests that are lost in a queue or leave it twice."""
    queue = make_queue(queue_limit_urgent=3, queue_limit_normal=3, queue_limit_deferrable=3)
    waiting, ended, now = [], [], 0.0
    for kind, rank, caller, number in steps:
        now += number / 10
        if kind == "offer":
            request = make_request(rank, caller=caller, deadline=now + number, at=now)
            try:
                dropped = offer(queue, request, now=now)
            except OverloadedError:
                continue
            waiting.append(request)
            ended += [dropped] if dropped else []
        elif kind == "take":
            taken = queue.pop_next(now=now, free=2, total=TOTAL, non_urgent_in_flight=0)
            ended += [taken] if taken else []
            ended += queue.pop_expired()
        elif waiting:
            request = waiting[int(number) % len(waiting)]
            ended += [request] if request.state is RequestState.WAITING else []
            queue.withdraw(request)
        assert len({id(request) for request in ended}) == len(ended)
        assert len(waiting) == len(ended) + len(queue)
        assert all(len(queue._queues[rank]) <= 3 for rank in (URGENT, DEFERRABLE))
