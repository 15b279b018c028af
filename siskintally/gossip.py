"""Gossip of announcements and summaries with other entries.

>>> from siskintally.gossip import Gossip
>>> Gossip.__name__
'Gossip'
"""

from time import monotonic

from anyio import sleep

from siskintally.announcement import TTL_S
from siskintally.entry_summary import SummarySender
from siskintally.peers import identity
from siskintally.wire_pb2 import EntrySummary, ServiceLoad

PASS_ON_S = 0.5
SUMMARY_S = 2.0


class Gossip:
    """Sends what this entry knows to the other entries.

    :param table: :class:`~siskintally.announcement.AnnouncementTable`.
    :param peers: :class:`~siskintally.peers.Peers`.
    :param dispatcher_of: ``dispatcher_of(service)`` returns the dispatcher of a service.
    """

    __slots__ = (
        "_dispatcher_of",
        "_draining",
        "_echo_until_by_peer",
        "_peers",
        "_senders",
        "_table",
    )

    def __init__(self, *, table, peers, dispatcher_of):
        self._table = table
        self._peers = peers
        self._dispatcher_of = dispatcher_of
        self._draining = False
        self._senders = {}
        self._echo_until_by_peer = {}

    async def pass_on(self):
        """Pass announcements on every 0.5 s until cancelled."""
        while True:
            self.pass_on_once()
            await sleep(PASS_ON_S)

    def pass_on_once(self):
        """Pass announcements on now."""
        now = monotonic()
        for process, session in self._peers.open_entries(own_domain=True):
            session.send(self._message(process, session, now))
        # Entries of other domains get only what endpoints of their domain announced here, and
        # an echo while they pass something on, because cross-region bytes are billed.
        for process, session in self._peers.open_entries(own_domain=False):
            message = self._message(process, session, now)
            if message.announcements or now < self._echo_until(session):
                session.send(message)

    def take_announcements(self, session, body, now):
        """Take an exchange message.

        :returns: names of the endpoints just learned to be leaving.
        """
        peer = identity(session.peer)
        if body.announcements:
            self._echo_until_by_peer[peer] = now + TTL_S
        return self._table.merge(body, peer=peer, now=now)

    def take_summary(self, session, body):
        """Take the summary of an entry of another domain."""
        self._peers.summaries.learn(session.peer.name, body)

    def forget(self, session):
        """Drop what belongs to a session that has ended."""
        peer = identity(session.peer)
        self._table.forget_peer(peer)
        self._echo_until_by_peer.pop(peer, None)
        self._senders.pop(session, None)
        if self._peers.session(session.peer.name) is None:
            self._peers.summaries.forget(session.peer.name)

    async def summarize(self):
        """Send summaries to entries of other domains, when they changed, until cancelled."""
        while True:
            self.summarize_once()
            await sleep(SUMMARY_S)

    def drain(self):
        """Tell entries of other domains to send nothing more."""
        self._draining = True
        self.summarize_once()

    def summarize_once(self):
        """Send summaries that are due now."""
        now = monotonic()
        summary = EntrySummary(draining=self._draining)
        for service in self._table.services(now=now):
            dispatcher = self._dispatcher_of(service)
            free, total = dispatcher.capacity(now)
            if total:
                load = ServiceLoad(
                    service=service, endpoints=dispatcher.endpoints(now), free_slots=free
                )
                summary.services.append(load)
        for _, session in self._peers.open_entries(own_domain=False):
            sender = self._senders.setdefault(session, SummarySender())
            if sender.is_due(summary, now=now):
                session.send(summary)

    def _message(self, process, session, now):
        peer = identity(session.peer)
        return self._table.exchange_for(peer=peer, domain=process.domain, now=now)

    def _echo_until(self, session):
        return self._echo_until_by_peer.get(identity(session.peer), 0.0)
