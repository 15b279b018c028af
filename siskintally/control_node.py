"""Store process of a control plane: a replica of the control group, and its leader's work.

>>> from siskintally.control_node import NOTICE_S
>>> NOTICE_S < 1.0
True
"""

from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.advice_clients import LocalAdviceClient, RemoteAdviceClient, answer_advice
from siskintally.clock import now as steady
from siskintally.control_client import ControlClient
from siskintally.control_group import bootstrap_group, flow_timing, make_group
from siskintally.control_leader import ControlLeader
from siskintally.control_pb2 import AdviceAsk, ControlNotice
from siskintally.control_service import ControlService
from siskintally.control_state import ControlState
from siskintally.errors import (
    BadRequestError,
    NotLeaderError,
    OutcomeUnknownError,
    SiskintallyError,
    StoppedError,
)
from siskintally.leader_cache import LeaderCache
from siskintally.link import LinkServer
from siskintally.link_pool import CELL, LinkPool
from siskintally.liveness import LinkTiming
from siskintally.log import get_logger
from siskintally.session import Handler
from siskintally.wire_pb2 import Hello, JoinRequest

NOTICE_S = 0.3
DISK_RETRY_S = 0.5
# Longest time for the requests in progress when a store ends.
LAST_REQUESTS_S = 1.0
ACCEPTED_TIMING = LinkTiming(idle_ping_s=2.0, busy_ping_s=0.8, ping_timeout_s=1.5)

log = get_logger("control-node")


class ControlNode(Handler):
    """One store.

    ``last_requests_s``: longest time for the requests in progress at the end, s.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param driver: :class:`~siskintally.driver.WorkerDriver`.
    :param advice: :class:`~siskintally.driver.Advice`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = (
        "_advice",
        "_counters",
        "_driver",
        "_group",
        "_links",
        "_notice_now",
        "_served",
        "_server",
        "_service",
        "_settings",
        "_stop_asked",
        "_stopping",
        "_tasks",
        "_told_by_session",
        "_works",
        "cache",
        "calls",
        "closing",
        "last_requests_s",
        "state",
    )

    def __init__(self, *, settings, driver, advice, counters):
        self._settings = settings
        self._driver = driver
        self._advice = advice
        self._counters = counters
        self._service = None
        self._stopping = False
        self._stop_asked = Event()
        self.closing = Event()
        self.last_requests_s = LAST_REQUESTS_S
        self._served = Event()
        self._works = None
        self._tasks = None
        self._notice_now = Event()
        self._told_by_session = {}
        own = settings.link
        hello = Hello(name=own, cell=CELL, incarnation=uuid4().hex)
        self._server = LinkServer(
            hello=hello, secret=settings.secret, handler=self, timing=ACCEPTED_TIMING
        )
        self._links = LinkPool(
            own=own, hello=hello, secret=settings.secret, handler=self, ended=self._store_ended
        )
        self._links.learn(settings.seed_links())
        self.cache = LeaderCache(fresh_s=settings.fresh_ms / 1000)
        self.calls = ControlClient(cache=self.cache, call=self._call)
        self.state = ControlState()
        self._group = make_group(
            settings, machine=self.state, contacts=self._links.addresses, send=self._links.send
        )

    def _store_ended(self, address):
        """Note that the process at the address of a store has ended."""
        self._group.peer_ended(address)

    @property
    def document(self):
        """Newest configuration that is known to be committed."""
        return self.state.document

    @property
    def leads(self):
        """Whether this store leads and answers calls."""
        return self._service is not None and not self._works.is_over

    @property
    def voters(self):
        """Link addresses of the voters in force."""
        return {member.identity.name for member in self._group.members if member.voter}

    async def run(self, serve):
        """Serve until stopped.

        :param serve: async function that serves requests until ``closing`` is set.
        """
        bootstrap_group(self._settings)
        async with create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._serve)
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._keep_group)
            tasks.start_soon(self._notify)
            tasks.start_soon(self._lead)
            tasks.start_soon(self._answer_http, serve)
            await self._stop_asked.wait()
            await self._end()
            # The server must not be cancelled while it finishes its last requests.
            await self._served.wait()
            tasks.cancel_scope.cancel()

    async def _answer_http(self, serve):
        await serve()
        self._served.set()

    async def _keep_group(self):
        """Run the replica, and open it again after its disk has failed."""
        while True:
            try:
                await self._group.run()
                return
            except OSError as error:
                log.error("disk failed", error=str(error))
            await sleep(DISK_RETRY_S)

    async def _serve(self):
        log.info("serving", link=self._settings.link)
        await self._server.serve(host=self._settings.ip, port=self._settings.link_port)

    async def stop(self):
        """Hand leadership over and stop."""
        self._stopping = True
        self._stop_asked.set()

    def learn_seeds(self, settings):
        """Link to the seeds of changed settings too."""
        self._links.learn(settings.seed_links())

    async def _end(self):
        self.closing.set()
        if self._works is not None:
            self._works.cancel()
        with move_on_after(self._settings.grace_s * 0.6):
            await self._group.stop()

    async def _lead(self):
        """Run a control leader in each term in which this store leads."""
        stream = self._group.watch()
        term = None
        async for leadership in stream:
            if leadership.is_leader and leadership.term == term:
                continue
            if self._works is not None:
                self._works.cancel()
                self._works = self._service = None
            term = leadership.term if leadership.is_leader else None
            log.info("leadership", term=leadership.term, leader=leadership.leader)
            if leadership.is_leader and not self._stopping:
                self._begin_term()
            self._notice_now.set()

    def _begin_term(self):
        leader = ControlLeader(
            group=self._group,
            state=self.state,
            driver=self._driver,
            advice_clients=self._advice_clients,
            timing=flow_timing(self._settings),
            counters=self._counters,
        )
        self._service = ControlService(leader=leader, published=self._publish)
        self._works = leader
        self._tasks.start_soon(self._work, leader)

    async def _work(self, leader):
        """Run a control leader; a leader that ended its own term must not begin it a second time.

        :raises StoppedError: a quorum still follows this store, which does nothing any more.
        """
        await leader.run()
        await sleep(self._settings.fresh_ms / 1000)
        if self._works is not leader or self._stopping:
            return
        try:
            # Waits while the disk hangs; the others have another leader then.
            await self._group.confirm()
        except SiskintallyError as error:
            log.info("term was over", term=leader.term, reason=str(error))
            return
        if self._works is leader and not self._stopping:
            raise StoppedError("the term was ended, and a quorum still follows: restart")

    def _publish(self):
        """Tell the others of a new configuration at once."""
        self._notice_now.set()

    def _advice_clients(self):
        yield LocalAdviceClient(name=self._settings.name, advice=self._advice)
        for session in list(self._server.session_by_id.values()):
            if not session.closed:
                yield RemoteAdviceClient(name=session.peer.name, session=session)

    async def _notify(self):
        """Tell all linked processes who leads, and the leader its configuration."""
        while True:
            sessions = list(self._server.session_by_id.values())
            leads = self.leads
            if leads:
                own = self._settings.link
                notice = ControlNotice(leads=True, leader=own, term=self._group.term)
                self._take_notice(notice, own)
            members = [member.identity.name for member in self._group.members]
            self._links.learn(members)
            for session in sessions:
                self._tell(session, leads, members)
            alive = {id(session) for session in sessions}
            self._told_by_session = {
                key: version for key, version in self._told_by_session.items() if key in alive
            }
            self._notice_now = Event()
            with move_on_after(NOTICE_S):
                await self._notice_now.wait()

    def _tell(self, session, leads, members):
        version = self.state.document.version
        notice = ControlNotice(
            leader=self._group.leader,
            members=members,
            version=version,
            leads=leads,
            term=self._group.term,
        )
        if leads and self._told_by_session.get(id(session)) != version:
            notice.document.CopyFrom(self.state.document)
            self._told_by_session[id(session)] = version
        session.send(notice)

    async def handle_call(self, session, body):
        """Answer a call of another process."""
        if isinstance(body, JoinRequest):
            return await self._group.join_request(body)
        if isinstance(body, AdviceAsk):
            return await answer_advice(self._advice, body)
        if not ControlService.takes(body):
            raise BadRequestError(f"{type(body).__name__}: no such call")
        return await self._answer_flow(body)

    async def _answer_flow(self, body):
        service = self._service
        if not self.leads or self._stopping:
            leader = self._group.leader
            leader = leader if leader != self._settings.link else ""
            raise NotLeaderError(f"{self._settings.name} does not lead", leader=leader)
        return await service.answer(body)

    def handle_message(self, session, body):
        """Take a message of another process."""
        if isinstance(body, ControlNotice):
            self._links.learn(body.members)
            self._take_notice(body, session.peer.name)
        else:
            self._group.receive(body)

    def _take_notice(self, notice, sender):
        now = steady()
        before = self.cache.leader(now)
        self.cache.take(notice, sender=sender, now=now)
        if self.cache.leader(now) != before:
            self.calls.leader_changed()

    async def _call(self, address, body, *, timeout):
        if address != self._settings.link:
            return await self._links.call(address, body, timeout=timeout)
        with move_on_after(timeout):
            return await self._answer_flow(body)
        raise OutcomeUnknownError(f"{type(body).__name__}: no answer in {timeout:.1f} s")
