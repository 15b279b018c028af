"""Entry process of a control plane: links to the stores, readiness, and a client for advice.

>>> from siskintally.entry_node import EntryNode
>>> EntryNode.__name__
'EntryNode'
"""

from uuid import uuid4

from anyio import Event, create_task_group, sleep

from siskintally.advice_clients import answer_advice
from siskintally.clock import now as steady
from siskintally.control_client import ControlClient
from siskintally.control_pb2 import AdviceAsk, ControlNotice
from siskintally.errors import BadRequestError
from siskintally.leader_cache import LeaderCache
from siskintally.link_pool import CELL, LinkPool
from siskintally.log import get_logger
from siskintally.session import Handler
from siskintally.wire_pb2 import Hello

# The platform looks at the readiness once a second and takes two failures as an end; new
# connections come until then.
DRAIN_S = 2.3
# Readiness outlives a change of leaders, so that callers are not sent away for it.
READY_S = 4.0
# Part of the grace of a stop that is left when the platform has noticed that no more is wanted.
LAST_REQUESTS_SHARE = 0.5

log = get_logger("entry-node")


class EntryNode(Handler):
    """One entry.

    ``last_requests_s``: longest time for the requests in progress at the end, s.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param advice: :class:`~siskintally.driver.Advice`.
    """

    __slots__ = (
        "_advice",
        "_heard_at",
        "_links",
        "cache",
        "calls",
        "closing",
        "last_requests_s",
        "stopping",
    )

    def __init__(self, *, settings, advice):
        self._advice = advice
        self._heard_at = 0.0
        self.stopping = Event()
        self.closing = Event()
        self.last_requests_s = settings.grace_s * LAST_REQUESTS_SHARE
        hello = Hello(name=settings.name, cell=CELL, incarnation=uuid4().hex)
        self._links = LinkPool(own="", hello=hello, secret=settings.secret, handler=self)
        self._links.learn(settings.seed_links())
        self.cache = LeaderCache(fresh_s=settings.fresh_ms / 1000)
        self.calls = ControlClient(cache=self.cache, call=self._links.call)

    def learn_seeds(self, settings):
        """Link to the seeds of changed settings too."""
        self._links.learn(settings.seed_links())

    @property
    def is_ready(self):
        """Whether requests can be served now."""
        is_heard = steady() - self._heard_at <= READY_S
        return is_heard and self.cache.document.version > 0 and not self.stopping.is_set()

    async def run(self, serve):
        """Serve until stopped.

        :param serve: async function that serves requests until ``closing`` is set.
        """
        async with create_task_group() as tasks:
            tasks.start_soon(self._links.run)
            await serve()
            tasks.cancel_scope.cancel()

    async def stop(self):
        """Tell that no more requests are wanted, and end when those at hand are answered."""
        self.stopping.set()
        await sleep(DRAIN_S)
        self.closing.set()

    async def handle_call(self, session, body):
        """Answer a call of a store."""
        if isinstance(body, AdviceAsk):
            return await answer_advice(self._advice, body)
        raise BadRequestError(f"{type(body).__name__}: no such call")

    def handle_message(self, session, body):
        """Take a notice of a store."""
        if not isinstance(body, ControlNotice):
            return
        now = steady()
        before = self.cache.leader(now)
        self._links.learn(body.members)
        if self.cache.take(body, sender=session.peer.name, now=now):
            log.info("configuration", version=self.cache.document.version, source=session.peer.name)
        leader = self.cache.leader(now)
        if leader != before:
            log.info("leader", leader=leader, before=before)
            self.calls.leader_changed()
        if body.leads:
            self._heard_at = now
