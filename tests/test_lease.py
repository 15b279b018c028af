"""Leases: the owner never counts a worker as lost while its lease may still run."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.lease import LeaseHolder, LeaseTable

LEASE_S = 30.0


def test_a_worker_is_lost_only_after_the_margin():
    """Guards against placing its tasks again while they run."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=0.0)
    owner.record_heartbeat("w", 1, now=100.0)
    assert owner.renew("w", 1)
    assert owner.lost_workers(131.59) == []
    assert owner.lost_workers(131.61) == ["w"]


def test_an_unacknowledged_heartbeat_does_not_count():
    """Guards against a worker kept alive by heartbeats without a quorum round."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=0.0)
    owner.add_worker("w")
    owner.record_heartbeat("w", 1, now=20.0)
    assert owner.lost_workers(31.7) == ["w"]


def test_a_new_owner_waits_for_leases_of_the_old_one():
    """Guards against counting a worker as lost at once after an election."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=1000.0)
    owner.add_worker("w")
    assert owner.lost_workers(1031.5) == [] and owner.lost_workers(1031.7) == ["w"]


def test_the_lease_runs_from_the_sending():
    """Guards against a lease made longer by a slow answer."""
    worker = LeaseHolder(lease_s=LEASE_S)
    seq = worker.next_heartbeat(now=0.0)
    assert worker.is_expired(0.0)
    assert worker.renew(seq, term=1)
    assert not worker.is_expired(29.9) and worker.is_expired(30.0)


def test_answers_out_of_order_and_old_terms():
    """Guards against a lease set back by a late answer, and against a deposed owner."""
    worker = LeaseHolder(lease_s=LEASE_S)
    first, second = worker.next_heartbeat(now=0.0), worker.next_heartbeat(now=5.0)
    assert worker.renew(second, term=2)
    assert worker.renew(first, term=2) and worker.expires_at() == 35.0
    third = worker.next_heartbeat(now=10.0)
    assert not worker.renew(third, term=1) and worker.expires_at() == 35.0
    assert not worker.renew(99, term=2)


@pytest.mark.parametrize("make", [LeaseHolder, LeaseTable])
def test_equal_states_have_equal_keys(make):
    """Guards against a model checker that sees the same state as two."""
    more = {"elected_at": 0.0} if make is LeaseTable else {}
    one, two = make(lease_s=LEASE_S, **more), make(lease_s=LEASE_S, **more)
    assert one.key() == two.key() and hash(one.key()) == hash(two.key())


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("beat", "elect", "pause")),
        st.floats(0.0, 25.0),
        st.floats(0.0, 20.0),
        st.floats(0.0, 20.0),
        st.booleans(),
    ),
    max_size=25,
)


@settings(max_examples=300, deadline=None)
@given(events=EVENTS, rate=st.floats(0.9905, 1.0095))
def test_no_owner_counts_a_worker_as_lost_while_its_lease_runs(events, rate):
    """Guards against two running attempts, with delays, pauses, new owners and unequal clocks.

    True time is the owner's clock; the worker's clock runs at ``rate``.
    """
    worker = LeaseHolder(lease_s=LEASE_S)
    owner, term, now = LeaseTable(lease_s=LEASE_S, elected_at=0.0), 1, 0.0
    owner.add_worker("w")
    for kind, wait, out, back, kept in events:
        now += wait
        if kind == "elect":
            term += 1
            owner = LeaseTable(lease_s=LEASE_S, elected_at=now)
            owner.add_worker("w")
        elif kind == "pause":
            now += out
        else:
            seq = worker.next_heartbeat(now=now * rate)
            now += out
            owner.record_heartbeat("w", seq, now=now)
            if kept and owner.renew("w", seq):
                now += back
                worker.renew(seq, term=term)
        if owner.lost_workers(now):
            assert worker.is_expired(now * rate)
