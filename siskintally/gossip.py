"""Exchange of endpoint announcements and load summaries between entries.

>>> from siskintally.gossip import Gossip
>>> Gossip.__name__
'Gossip'
"""

from time import monotonic

from anyio import sleep

from siskintally.announcement import ANNOUNCEMENT_TTL_S
from siskintally.entry_summary import SummaryThrottle
from siskintally.peers import incarnation_id
from siskintally.wire_pb2 import EntrySummary, ServiceLoad

EXCHANGE_INTERVAL_S = 0.5
SUMMARY_INTERVAL_S = 2.0


class Gossip:
    """Sends announcements and load summaries to the other entries, and applies theirs.

    :param table: :class:`~siskintally.announcement.AnnouncementTable`.
    :param peers: :class:`~siskintally.peers.Peers`.
    :param dispatcher_of: ``dispatcher_of(service)`` returns the dispatcher of a service.
    """

    __slots__ = (
        "_dispatcher_of",
        "_draining",
        "_echo_until_by_peer",
        "_peers",
        "_table",
        "_throttle_by_session",
    )

    def __init__(self, *, table, peers, dispatcher_of):
        self._table = table
        self._peers = peers
        self._dispatcher_of = dispatcher_of
        self._draining = False
        self._throttle_by_session = {}
        self._echo_until_by_peer = {}

    async def run_exchanges(self):
        """Relay announcements every 0.5 s until cancelled."""
        while True:
            self.send_exchanges()
            await sleep(EXCHANGE_INTERVAL_S)

    def send_exchanges(self):
        """Relay announcements now."""
        now = monotonic()
        for process, session in self._peers.open_entries(own_domain=True):
            session.send(self._build_exchange(process, session, now))
        # Cross-region bytes are billed, so entries of other domains get a message only if it has
        # announcements of their endpoints, or an echo while they relay announcements to this entry.
        for process, session in self._peers.open_entries(own_domain=False):
            message = self._build_exchange(process, session, now)
            if message.announcements or now < self._echo_until(session):
                session.send(message)

    def apply_exchange(self, session, body, now):
        """Record the announcements relayed by another entry.

        :returns: names of the endpoints that are leaving and were not known to be.
        """
        peer = incarnation_id(session.peer)
        if body.announcements:
            self._echo_until_by_peer[peer] = now + ANNOUNCEMENT_TTL_S
        return self._table.merge_exchange(body, peer=peer, now=now)

    def record_summary(self, session, body):
        """Record the summary of an entry of another domain."""
        self._peers.summaries.record(session.peer.name, body)

    def drop_session(self, session):
        """Drop the state of a closed session."""
        peer = incarnation_id(session.peer)
        self._table.forget_peer(peer)
        self._echo_until_by_peer.pop(peer, None)
        self._throttle_by_session.pop(session, None)
        if self._peers.session(session.peer.name) is None:
            self._peers.summaries.forget(session.peer.name)

    async def run_summaries(self):
        """Send changed summaries to entries of other domains every 2 s until cancelled."""
        while True:
            self.send_summaries()
            await sleep(SUMMARY_INTERVAL_S)

    def drain(self):
        """Announce to entries of other domains that this one takes no more requests."""
        self._draining = True
        self.send_summaries()

    def send_summaries(self):
        """Send the summaries that are due now."""
        now = monotonic()
        summary = EntrySummary(draining=self._draining)
        for service in self._table.services(now=now):
            dispatcher = self._dispatcher_of(service)
            free, total = dispatcher.capacity(now)
            if total:
                load = ServiceLoad(
                    service=service, endpoints=dispatcher.endpoint_count(now), free_slots=free
                )
                summary.services.append(load)
        for _, session in self._peers.open_entries(own_domain=False):
            throttle = self._throttle_by_session.setdefault(session, SummaryThrottle())
            if throttle.is_due(summary, now=now):
                session.send(summary)

    def _build_exchange(self, process, session, now):
        peer = incarnation_id(session.peer)
        return self._table.build_exchange(peer=peer, domain=process.domain, now=now)

    def _echo_until(self, session):
        return self._echo_until_by_peer.get(incarnation_id(session.peer), 0.0)
