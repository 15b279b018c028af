"""The cached view of the leader, and when callers are told to retry."""

from siskintally.control_pb2 import ControlNotice
from siskintally.counters import Counters
from siskintally.flow_gateway import FlowGateway
from siskintally.leader_cache import LeaderCache


def make_cache_with_leader(now=10.0):
    cache = LeaderCache(fresh_s=1.5)
    notice = ControlNotice(leads=True, version=4)
    cache.apply_notice(notice, sender="a:1", now=now)
    assert cache.version == 4
    return cache


def test_an_entry_without_news_does_not_trust_its_configuration():
    """Guards against a 404 for a queue that was added while the entry was cut off."""
    cache = make_cache_with_leader()
    assert cache.is_fresh(11.0)
    assert not cache.is_fresh(11.6)


def test_a_leader_named_by_a_follower_counts_only_when_the_known_one_is_silent():
    """Guards against calls that go to a former leader because a slow follower still names it."""
    cache = make_cache_with_leader()
    cache.apply_notice(ControlNotice(leader="b:1"), sender="c:1", now=10.5)
    assert cache.leader(10.5) == "a:1"
    cache.apply_notice(ControlNotice(leader="b:1"), sender="c:1", now=12.0)
    assert cache.leader(12.0) == "b:1"


def test_a_store_that_does_not_lead_any_more_is_not_called_again():
    """Guards against further calls to a store that answered that it does not lead."""
    cache = make_cache_with_leader()
    cache.reject_leader("a:1")
    assert cache.leader(10.1) == ""
    assert not cache.is_fresh(10.1)
    cache.apply_notice(ControlNotice(leader="b:1"), sender="c:1", now=10.2)
    assert cache.leader(10.2) == "b:1"


def test_an_older_configuration_never_replaces_a_newer_one():
    """Guards against a notice of a former leader that undoes a newer change."""
    cache = make_cache_with_leader()
    older_notice = ControlNotice(leads=True, version=3)
    cache.apply_notice(older_notice, sender="b:1", now=11.0)
    assert cache.version == 4


def test_the_retry_delay_of_callers_grows_with_the_time_without_a_leader(monkeypatch):
    """Guards against callers whose retries are used up before a long outage ends.

    Scenario: all stores are unreachable for 4.5 s and callers have four retries.
    """
    gateway = FlowGateway(cache=make_cache_with_leader(now=10.0), client=None, counters=Counters())
    advised_delays_s = []
    for now in (10.5, 11.5, 13.2, 20.0):
        monkeypatch.setattr("siskintally.flow_gateway.steady", lambda now=now: now)
        advised_delays_s.append(gateway.retry_after_s())
    assert advised_delays_s == [1, 1, 3, 4]


def test_a_former_leader_that_still_claims_to_lead_is_ignored():
    """Guards against calls that go back and forth between two stores that both claim to lead.

    Scenario: the disk of a leader hangs, so it does not notice that another was elected.
    """
    cache = make_cache_with_leader(now=10.0)
    cache.apply_notice(ControlNotice(leads=True, term=3), sender="b:1", now=11.0)
    cache.apply_notice(ControlNotice(leads=True, term=2), sender="a:1", now=11.2)
    assert cache.leader(11.2) == "b:1"
    cache.apply_notice(ControlNotice(leader="a:1", term=2), sender="c:1", now=13.0)
    assert cache.leader(13.0) == ""
    cache.apply_notice(ControlNotice(leads=True, term=3), sender="b:1", now=13.1)
    assert cache.leader(13.1) == "b:1"
