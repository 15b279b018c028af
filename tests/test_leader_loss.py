"""Requests at an entry while the leader is lost: none is sent to it once its notices are overdue.

Pattern: the leader freezes or is cut off under load, and its successor announces itself within
about a second.
"""

from anyio import create_task_group, run, sleep
from pytest import raises

from siskintally.clock import now as steady
from siskintally.control_client import ControlClient
from siskintally.control_pb2 import ControlNotice, FlowReply, QueueAddress
from siskintally.counters import Counters
from siskintally.errors import NoConfigError
from siskintally.flow_gateway import LEADER_WAIT_S, FlowGateway
from siskintally.leader_cache import OVERDUE_NOTICE_S, LeaderCache
from tests.flow_harness import make_flow

ADDRESS = QueueAddress(host="h", path="/q/0123456789abcdef")
FRESH_S = 1.5
DEADLINE_S = 3.0


class Entry:
    """Gateway of an entry that heard its leader for the last time some seconds ago."""

    def __init__(self, *, silent_s, is_linked=True):
        self.called = []
        self.cache = LeaderCache(fresh_s=FRESH_S)
        self.client = ControlClient(cache=self.cache, call=self.call, has_link=lambda: is_linked)
        self.gateway = FlowGateway(cache=self.cache, client=self.client, counters=Counters())
        self.announce("former", term=1, at=steady() - silent_s)

    def announce(self, name, *, term, at):
        """Let a store announce that it leads."""
        notice = ControlNotice(leads=True, term=term, version=1)
        self.cache.apply_notice(notice, sender=name, now=at)

    async def call(self, name, body, *, timeout):
        """Answer a call to a store."""
        self.called.append(name)
        return FlowReply(known=True)

    async def submit(self):
        """Submit a flow."""
        await self.gateway.submit(make_flow("f"), ADDRESS, deadline_s=DEADLINE_S)


def test_a_request_waits_for_the_next_leader_in_place_of_an_answer_with_unknown_outcome():
    """Guards against answers after which callers can't try again though nothing was sent on."""
    entry = Entry(silent_s=OVERDUE_NOTICE_S + 0.1)

    async def main():
        async with create_task_group() as tasks:
            tasks.start_soon(entry.submit)
            await sleep(0.3)
            assert entry.called == []
            entry.announce("next", term=2, at=steady())

    run(main)
    assert entry.called == ["next"]


def test_a_request_is_refused_unsent_if_no_leader_announces_itself():
    """Guards against requests that wait for their whole time for a leader that does not come."""
    entry = Entry(silent_s=OVERDUE_NOTICE_S + 0.1)
    started_at = steady()
    with raises(NoConfigError):
        run(entry.submit)
    assert entry.called == []
    assert steady() - started_at < LEADER_WAIT_S + 0.5


def test_a_request_is_refused_at_once_without_a_link_to_any_store():
    """Guards against a wait at an entry that is cut off, while other entries could serve."""
    entry = Entry(silent_s=FRESH_S + 1.0, is_linked=False)
    started_at = steady()
    with raises(NoConfigError):
        run(entry.submit)
    assert entry.called == []
    assert steady() - started_at < 0.5


def test_a_request_is_sent_at_once_while_the_leader_is_heard():
    """Guards against a delay of each request by the check of the leader."""
    entry = Entry(silent_s=OVERDUE_NOTICE_S / 2)
    started_at = steady()
    run(entry.submit)
    assert entry.called == ["former"]
    assert steady() - started_at < 0.2
