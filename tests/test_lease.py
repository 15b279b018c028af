"""Leases: the owner never counts a worker as lost while its lease may still run."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from siskintally.lease import LeaseHolder, LeaseTable

LEASE_S = 30.0


def test_a_worker_is_lost_only_after_the_margin():
    """Guards against placing the tasks of a worker again while they may still run."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=0.0)
    owner.record_heartbeat("w", 1, now=100.0)
    assert owner.renew("w", 1)
    assert owner.lost_workers(131.59) == []
    assert owner.lost_workers(131.61) == ["w"]


def test_an_unacknowledged_heartbeat_does_not_count():
    """Guards against a lease that is renewed by heartbeats without a quorum round."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=0.0)
    owner.add_worker("w")
    owner.record_heartbeat("w", 1, now=20.0)
    assert owner.lost_workers(31.7) == ["w"]


def test_a_new_owner_waits_for_leases_of_the_old_one():
    """Guards against counting a worker as lost at once after an election."""
    owner = LeaseTable(lease_s=LEASE_S, elected_at=1000.0)
    owner.add_worker("w")
    assert owner.lost_workers(1031.5) == [] and owner.lost_workers(1031.7) == ["w"]


def test_a_lease_starts_when_its_heartbeat_is_sent():
    """Guards against a lease that a slow answer makes longer."""
    worker = LeaseHolder(lease_s=LEASE_S)
    seq = worker.next_heartbeat(now=0.0)
    assert worker.is_expired(0.0)
    assert worker.renew(seq, term=1)
    assert not worker.is_expired(29.9) and worker.is_expired(30.0)


def test_answers_out_of_order_and_old_terms():
    """Guards against a lease that a late answer shortens or a former owner renews."""
    worker = LeaseHolder(lease_s=LEASE_S)
    first, second = worker.next_heartbeat(now=0.0), worker.next_heartbeat(now=5.0)
    assert worker.renew(second, term=2)
    assert worker.renew(first, term=2) and worker.expires_at() == 35.0
    third = worker.next_heartbeat(now=10.0)
    assert not worker.renew(third, term=1) and worker.expires_at() == 35.0
    assert not worker.renew(99, term=2)


@pytest.mark.parametrize("lease_class", [LeaseHolder, LeaseTable])
def test_equal_states_have_equal_keys(lease_class):
    """Guards against a model checker that counts equal states as different."""
    arguments = {"elected_at": 0.0} if lease_class is LeaseTable else {}
    first, second = (
        lease_class(lease_s=LEASE_S, **arguments),
        lease_class(lease_s=LEASE_S, **arguments),
    )
    assert first.key() == second.key() and hash(first.key()) == hash(second.key())


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("heartbeat", "elect", "pause")),
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
    """Guards against two running attempts of a task.

    Heartbeats are late or unacknowledged, processes pause, owners change, clock rates differ.

    The owner's clock shows true time; the worker's clock runs at ``rate``.
    """
    worker = LeaseHolder(lease_s=LEASE_S)
    owner, term, now = LeaseTable(lease_s=LEASE_S, elected_at=0.0), 1, 0.0
    owner.add_worker("w")
    for kind, wait_s, send_delay_s, answer_delay_s, is_confirmed in events:
        now += wait_s
        if kind == "elect":
            term += 1
            owner = LeaseTable(lease_s=LEASE_S, elected_at=now)
            owner.add_worker("w")
        elif kind == "pause":
            now += send_delay_s
        else:
            seq = worker.next_heartbeat(now=now * rate)
            now += send_delay_s
            owner.record_heartbeat("w", seq, now=now)
            if is_confirmed and owner.renew("w", seq):
                now += answer_delay_s
                worker.renew(seq, term=term)
        if owner.lost_workers(now):
            assert worker.is_expired(now * rate)
