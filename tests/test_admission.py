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


def request(rank=NORMAL, *, caller="c", deadline=100.0, at=0.0):
    return QueuedRequest(
        rank=rank, caller=caller, deadline=deadline, queued_at=at, notify=lambda: None
    )


def admission(**limits):
    return Admission(limits=EntryLimits(**limits))


def offer(queue, one, *, now=0.0, free=0):
    return queue.offer(one, now=now, free=free, total=TOTAL)


def drain(queue, *, free=TOTAL, now=0.0):
    return list(
        iter(lambda: queue.pop_next(now=now, free=free, total=TOTAL, non_urgent_in_flight=0), None)
    )


def test_urgent_comes_first_and_within_a_class_the_earliest_deadline():
    queue = admission()
    for rank, deadline in ((NORMAL, 5), (DEFERRABLE, 1), (NORMAL, 4), (URGENT, 9), (URGENT, 8)):
        offer(queue, request(rank, deadline=deadline))
    order = [(one.rank, one.deadline) for one in drain(queue)]
    assert order == [(0, 8), (0, 9), (1, 4), (1, 5), (2, 1)]


def test_reserved_slots_go_to_urgent_requests_only():
    """Guards against an urgent request that waits behind a deferrable one in the last slot."""
    queue = admission()
    for rank in (NORMAL, DEFERRABLE):
        offer(queue, request(rank))
    assert urgent_reserve(TOTAL) == 1
    assert queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 1) is None
    offer(queue, request(URGENT))
    assert (
        queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 1).rank == URGENT
    )


def test_slots_of_urgent_requests_count_as_the_reserve():
    """Guards against idle slots while normal requests wait.

    Urgent requests in flight already use the slots that are reserved for them.
    """
    queue = admission()
    offer(queue, request(NORMAL))
    assert (
        queue.pop_next(now=0.0, free=1, total=TOTAL, non_urgent_in_flight=TOTAL - 2).rank == NORMAL
    )


@pytest.mark.parametrize("share", [0.1, 0.25])
def test_waiting_deferrable_requests_get_their_share_of_dispatches(share):
    """Guards against starvation of deferrable requests by a stream of urgent ones."""
    queue = admission(deferrable_share=share, queue_limit_urgent=999, queue_limit_deferrable=999)
    for _ in range(300):
        offer(queue, request(URGENT))
        offer(queue, request(DEFERRABLE))
    ranks = [
        queue.pop_next(now=0.0, free=2, total=TOTAL, non_urgent_in_flight=0).rank
        for _ in range(200)
    ]
    assert share * 200 - 2 <= ranks.count(DEFERRABLE) <= share * 200


def test_deferrable_request_counts_as_normal_near_its_deadline():
    queue = admission()
    late = request(DEFERRABLE, deadline=10.0)
    offer(queue, late)
    for _ in range(3):
        offer(queue, request(NORMAL, caller="d", deadline=50.0), now=8.5)
    assert queue.pop_next(now=8.5, free=TOTAL, total=TOTAL, non_urgent_in_flight=0) is late


def test_promoted_request_is_taken_once_and_from_its_new_class():
    """Guards against a promoted request that is also taken from its old queue.

    The new queue then counted one request too many and failed at its next turn, after an endpoint
    had answered.
    """
    queue = admission(deferrable_share=0.5, queue_limit_normal=20)
    normal = [request(NORMAL, deadline=40.0) for _ in range(10)]
    first = request(DEFERRABLE, deadline=50.0, at=29.0)
    promoted = request(DEFERRABLE, deadline=55.0, at=-100.0)
    last = request(DEFERRABLE, deadline=60.0, at=29.0)
    requests = [*normal, first, promoted, last]
    for one in requests:
        offer(queue, one)
    taken = drain(queue, now=30.0)
    assert promoted.rank == NORMAL
    assert len(taken) == len({id(one) for one in taken}) == len(requests)
    assert taken.index(last) < taken.index(promoted)
    assert len(queue) == 0


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    queue = admission()
    queue.record_service_time(1.0, now=0.0)
    for number in range(14):
        offer(queue, request(deadline=100.0, caller=f"c{number}"))
    # 14 requests wait for 7 slots: 2 s in the queue, doubled by the margin, and 1 s of service.
    with pytest.raises(OverloadedError):
        offer(queue, request(deadline=4.9, caller="new"))
    offer(queue, request(deadline=5.1, caller="new"))
    offer(queue, request(URGENT, deadline=1.1))


def test_deferrable_request_counts_on_its_share_only():
    """Guards against deferrable requests accepted for slots that later normal ones will take."""
    queue = admission(deferrable_share=0.1)
    queue.record_service_time(0.1, now=0.0)
    for number in range(80):
        offer(queue, request(NORMAL, caller=f"c{number}"), now=number / 80)
    offer(queue, request(DEFERRABLE, deadline=1.2), now=1.0)
    # The share is 8 of 80 requests a second: the second request waits 1/8 s, 1/4 s with the margin.
    bound_s = queue.service_bound_s(1.0)
    with pytest.raises(OverloadedError):
        offer(queue, request(DEFERRABLE, deadline=1.24 + bound_s), now=1.0)
    offer(queue, request(DEFERRABLE, deadline=1.26 + bound_s), now=1.0)


def test_waiting_request_is_kept_while_its_deadline_can_be_met():
    """Guards against a request that is refused only when its deadline passes."""
    queue = admission()
    queue.record_service_time(1.0, now=0.0)
    for number in range(14):
        offer(queue, request(deadline=100.0, caller=f"c{number}"))
    one = request(deadline=6.0, caller="new")
    offer(queue, one)
    assert queue.can_meet_deadline(one, now=2.0, total=TOTAL)
    # Half of the slots are gone; 3 of the others serve normal requests.
    assert not queue.can_meet_deadline(one, now=2.0, total=TOTAL // 2)
    assert next_deadline_check(one, 0.0) <= 0.25 * one.deadline


class Overload:
    """Simulation of requests at twice the capacity, in virtual time."""

    SERVICE_S = 0.1
    DEADLINE_S = (1.0, 2.0, 4.0)

    def __init__(self, *, seed):
        self.random = Random(seed)
        self.queue = admission()
        self.events, self.numbers = [], count()
        self.sent_by_rank = Counter()
        self.told, self.finished = [], []

    def run(self, seconds):
        """Offer requests for ``seconds``, and serve until none waits."""
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(2 * TOTAL / self.SERVICE_S)
            self._plan(at, self._arrive)
        while self.events:
            now, _, act, arguments = heappop(self.events)
            act(now, *arguments)

    def _plan(self, at, act, *arguments):
        heappush(self.events, (at, next(self.numbers), act, arguments))

    def _arrive(self, now):
        rank = self.random.choices((URGENT, NORMAL, DEFERRABLE), (1, 2, 1))[0]
        one = request(rank, deadline=now + self.DEADLINE_S[rank], at=now)
        try:
            offer(self.queue, one, now=now, free=TOTAL - self.sent_by_rank.total())
        except OverloadedError:
            self._tell(now, one)
            return
        self._plan(next_deadline_check(one, now), self._review, one)
        self._pump(now)

    def _review(self, now, one):
        if one.state is RequestState.WAITING:
            if now >= one.deadline or not self.queue.can_meet_deadline(one, now=now, total=TOTAL):
                self.queue.withdraw(one)
                self._tell(now, one)
            else:
                self._plan(next_deadline_check(one, now + 1e-6), self._review, one)

    def _pump(self, now):
        sent = self.sent_by_rank.total()
        non_urgent_in_flight = sent - self.sent_by_rank[URGENT]
        one = self.queue.pop_next(
            now=now, free=TOTAL - sent, total=TOTAL, non_urgent_in_flight=non_urgent_in_flight
        )
        for expired in self.queue.pop_expired():
            self._tell(now, expired)
        if one is not None:
            self.sent_by_rank[one.rank] += 1
            service_s = self.SERVICE_S * self.random.uniform(0.5, 1.5)
            self._plan(now + service_s, self._finish, one, service_s)
            self._pump(now)

    def _finish(self, now, one, service_s):
        self.sent_by_rank[one.rank] -= 1
        self.queue.record_service_time(service_s, now=now)
        self.finished.append((now, one))
        self._pump(now)

    def _tell(self, now, one):
        self.told.append((now - one.queued_at) / (one.deadline - one.queued_at))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_excess_at_twice_the_capacity_is_told_within_a_quarter_of_the_deadline(seed):
    """Guards against requests that are queued and refused as "not run" much later."""
    load = Overload(seed=seed)
    load.run(60.0)
    assert sorted(load.told)[int(0.99 * len(load.told))] <= 0.25
    assert all(now <= one.deadline for now, one in load.finished)
    # Refusals must not leave slots idle.
    assert len(load.finished) >= 0.95 * 60.0 * TOTAL / Overload.SERVICE_S


def test_one_slow_measurement_does_not_close_a_service():
    """Guards against a service that refuses all requests after one slow measurement.

    Without an accepted request, there would never be a newer measurement.
    """
    queue = admission()
    queue.record_service_time(60.0, now=0.0)
    offer(queue, request(deadline=2.0), free=TOTAL)
    assert drain(queue)
    offer(queue, request(deadline=100.0), now=20.0)
    offer(queue, request(deadline=22.0), now=20.0)
    assert len(drain(queue, now=20.0)) == 2


def test_expired_requests_are_told_and_take_no_slot():
    queue = admission()
    gone, kept = request(deadline=5.0), request(deadline=50.0)
    offer(queue, gone)
    offer(queue, kept)
    assert queue.pop_next(now=6.0, free=2, total=TOTAL, non_urgent_in_flight=0) is kept
    assert queue.pop_expired() == [gone]
    assert gone.state is RequestState.GONE


def test_full_queue_takes_the_place_from_the_largest_caller():
    """Guards against one caller that fills the queue, so that all others are refused."""
    queue = admission(queue_limit_normal=10)
    flood = [request(caller="flood", deadline=100.0 + number) for number in range(10)]
    for one in flood:
        offer(queue, one)
    with pytest.raises(OverloadedError):
        offer(queue, request(caller="flood"))
    assert offer(queue, request(caller="small")) is flood[-1]
    callers = [one.caller for one in drain(queue)]
    assert callers[:2].count("small") == 1
    assert len(callers) == 10


def test_queue_limit_of_zero_still_lets_free_slots_be_used():
    queue = admission(queue_limit_normal=0)
    offer(queue, request(), free=TOTAL)
    assert len(drain(queue)) == 1
    with pytest.raises(OverloadedError):
        offer(queue, request(), free=0)


def test_caller_that_comes_back_gets_no_more_turns_than_others():
    queue = FairQueue()
    for _ in range(20):
        queue.push(request(caller="steady"))
    served = []
    for _ in range(20):
        if not queue.count_waiting("returning"):
            queue.push(request(caller="returning"))
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
    queue = admission(queue_limit_urgent=3, queue_limit_normal=3, queue_limit_deferrable=3)
    waiting, ended, now = [], [], 0.0
    for kind, rank, caller, number in steps:
        now += number / 10
        if kind == "offer":
            one = request(rank, caller=caller, deadline=now + number, at=now)
            try:
                victim = offer(queue, one, now=now)
            except OverloadedError:
                continue
            waiting.append(one)
            ended += [victim] if victim else []
        elif kind == "take":
            taken = queue.pop_next(now=now, free=2, total=TOTAL, non_urgent_in_flight=0)
            ended += [taken] if taken else []
            ended += queue.pop_expired()
        elif waiting:
            one = waiting[int(number) % len(waiting)]
            ended += [one] if one.state is RequestState.WAITING else []
            queue.withdraw(one)
        assert len({id(one) for one in ended}) == len(ended)
        assert len(waiting) == len(ended) + len(queue)
        assert all(len(queue._queues[rank]) <= 3 for rank in (URGENT, DEFERRABLE))
