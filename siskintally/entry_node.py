"""Entry process of a control plane: links to the stores, readiness, and advice calls.

>>> from siskintally.entry_node import EntryNode
>>> EntryNode.__name__
'EntryNode'
"""

from uuid import uuid4

from anyio import Event, create_task_group, sleep

from siskintally.advice_clients import handle_advice_call
from siskintally.clock import now as steady
from siskintally.control_client import ControlClient
from siskintally.control_pb2 import AdviceAsk, ControlNotice
from siskintally.errors import BadRequestError
from siskintally.leader_cache import LeaderCache
from siskintally.leader_contact import LeaderContact
from siskintally.link_pool import CELL_NAME, LinkPool
from siskintally.log import get_logger
from siskintally.session import Handler
from siskintally.session_log import SessionLog
from siskintally.wire_pb2 import Hello

# The platform checks the readiness once a second and stops sending new connections after two
# failures; until then they have to be served.
UNREADY_SERVING_S = 2.3
# Age of the last leader notice up to which an entry is ready. Longer than a change of leaders,
# which must not divert callers to other entries.
READY_AFTER_NOTICE_S = 4.0
# Share of the grace period that is left for requests in progress once new connections have stopped.
GRACEFUL_FRACTION = 0.5

log = get_logger("entry-node")


class EntryNode(Handler):
    """One entry process.

    ``graceful_s``: longest time to finish the requests in progress at shutdown, s. ``stopping``:
    event that ends the readiness. ``closing``: event that ends the HTTP servers.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param advice: :class:`~siskintally.driver.AdviceService`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = (
        "_advice",
        "_contact",
        "_leader_notice_at",
        "_links",
        "_session_log",
        "cache",
        "client",
        "closing",
        "graceful_s",
        "stopping",
    )

    def __init__(self, *, settings, advice, counters):
        self._advice = advice
        self._leader_notice_at = 0.0
        self.stopping = Event()
        self.closing = Event()
        self.graceful_s = settings.grace_s * GRACEFUL_FRACTION
        hello = Hello(name=settings.name, cell=CELL_NAME, incarnation=uuid4().hex)
        self._links = LinkPool(own_address="", hello=hello, secret=settings.secret, handler=self)
        self._links.add_addresses(settings.seed_link_addresses())
        fresh_s = settings.fresh_ms / 1000
        self.cache = LeaderCache(fresh_s=fresh_s)
        self._contact = LeaderContact(fresh_s=fresh_s, counters=counters, now=steady())
        self._session_log = SessionLog(counters=counters)
        self.client = ControlClient(
            cache=self.cache, call=self._links.call, has_link=lambda: self._links.has_open_link
        )

    def add_seeds(self, settings):
        """Open links to the seeds of reloaded settings; existing links stay open."""
        self._links.add_addresses(settings.seed_link_addresses())

    @property
    def is_ready(self):
        """Whether the entry can serve requests."""
        has_leader = steady() - self._leader_notice_at <= READY_AFTER_NOTICE_S
        return has_leader and self.cache.version > 0 and not self.stopping.is_set()

    async def run(self, serve):
        """Serve until stopped.

        :param serve: async function that serves requests until ``closing`` is set.
        """
        async with create_task_group() as tasks:
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._contact.run)
            await serve()
            tasks.cancel_scope.cancel()

    async def stop(self):
        """Report the entry as not ready; close the servers once new connections have stopped."""
        self.stopping.set()
        await sleep(UNREADY_SERVING_S)
        self.closing.set()

    async def handle_call(self, session, body):
        """Handle a call of a store."""
        if isinstance(body, AdviceAsk):
            return await handle_advice_call(self._advice, body)
        raise BadRequestError(f"{type(body).__name__}: entries do not handle this call")

    def handle_session_start(self, session):
        """Log the start of a session."""
        self._session_log.record_start(session)

    def handle_session_end(self, session):
        """Log and count the end of a session."""
        self._session_log.record_end(session)

    def handle_message(self, session, body):
        """Handle a notice of a store."""
        if not isinstance(body, ControlNotice):
            return
        now = steady()
        previous = self.cache.leader(now)
        self._links.add_addresses(body.members)
        known_version = self.cache.version
        self.cache.apply_notice(body, sender=session.peer.name, now=now)
        if self.cache.version > known_version:
            log.info("configuration", version=self.cache.version, source=session.peer.name)
        leader = self.cache.leader(now)
        if leader != previous:
            log.info("leader", leader=leader, before=previous)
            self.client.handle_leader_change()
        if body.leads:
            self._leader_notice_at = now
        # The cache ignores notices of former leaders, so not each one renews the contact.
        if self.cache.notice_age_s(now) == 0.0:
            self._contact.record_notice(now, leader=leader)
