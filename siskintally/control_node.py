"""Store process of a control plane: control group replica, and the leader while it leads.

>>> from siskintally.control_node import NOTICE_INTERVAL_S
>>> NOTICE_INTERVAL_S < 1.0
True
"""

from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep

from siskintally.advice_clients import LocalAdviceClient, RemoteAdviceClient, handle_advice_call
from siskintally.clock import now as steady
from siskintally.control_client import ControlClient
from siskintally.control_group import bootstrap_group, create_group, flow_timing
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
from siskintally.link_pool import CELL_NAME, LinkPool
from siskintally.liveness import LinkTiming
from siskintally.log import get_logger
from siskintally.session import Handler
from siskintally.session_log import SessionLog
from siskintally.wire_pb2 import Hello, JoinRequest

NOTICE_INTERVAL_S = 0.3
DISK_RETRY_S = 0.5
# Longest time to finish the HTTP requests in progress at shutdown.
HTTP_GRACEFUL_S = 1.0
ACCEPTED_LINK_TIMING = LinkTiming(idle_ping_s=2.0, busy_ping_s=0.8, ping_timeout_s=1.5)

log = get_logger("control-node")


class ControlNode(Handler):
    """One store process.

    ``graceful_s``: longest time to finish the requests in progress at shutdown, s. ``closing``:
    event that ends the HTTP servers.

    :param settings: :class:`~siskintally.node_settings.NodeSettings`.
    :param driver: :class:`~siskintally.driver.WorkerDriver`.
    :param advice: :class:`~siskintally.driver.AdviceService`.
    :param counters: :class:`~siskintally.counters.Counters`.
    """

    __slots__ = (
        "_advice",
        "_counters",
        "_driver",
        "_group",
        "_http_finished",
        "_leader",
        "_links",
        "_notice_event",
        "_server",
        "_service",
        "_session_log",
        "_settings",
        "_stop_requested",
        "_stopping",
        "_tasks",
        "cache",
        "client",
        "closing",
        "graceful_s",
        "state",
    )

    def __init__(self, *, settings, driver, advice, counters):
        self._settings = settings
        self._driver = driver
        self._advice = advice
        self._counters = counters
        self._session_log = SessionLog(counters=counters)
        self._service = None
        self._stopping = False
        self._stop_requested = Event()
        self.closing = Event()
        self.graceful_s = HTTP_GRACEFUL_S
        self._http_finished = Event()
        self._leader = None
        self._tasks = None
        self._notice_event = Event()
        own_address = settings.link_address
        hello = Hello(name=own_address, cell=CELL_NAME, incarnation=uuid4().hex)
        self._server = LinkServer(
            hello=hello, secret=settings.secret, handler=self, timing=ACCEPTED_LINK_TIMING
        )
        self._links = LinkPool(
            own_address=own_address,
            hello=hello,
            secret=settings.secret,
            handler=self,
            on_process_exit=self._handle_process_exit,
        )
        self._links.add_addresses(settings.seed_link_addresses())
        self.cache = LeaderCache(fresh_s=settings.fresh_ms / 1000)
        self.client = ControlClient(cache=self.cache, call=self._call)
        self.state = ControlState()
        self._group = create_group(
            settings,
            state_machine=self.state,
            contacts=self._links.addresses,
            send=self._links.send,
        )

    def _handle_process_exit(self, address):
        """Report the exit of the store process at an address to the group."""
        self._group.record_peer_exit(address)

    @property
    def document(self):
        """Newest configuration that this replica knows to be committed."""
        return self.state.document

    @property
    def leads(self):
        """Whether this store leads and handles calls."""
        return self._service is not None and not self._leader.is_over

    @property
    def voters(self):
        """Link addresses of the current voters."""
        return {member.identity.name for member in self._group.members if member.voter}

    async def run(self, serve):
        """Serve until stopped.

        :param serve: async function that serves requests until ``closing`` is set.
        """
        bootstrap_group(self._settings)
        async with create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._serve_links)
            tasks.start_soon(self._links.run)
            tasks.start_soon(self._run_replica)
            tasks.start_soon(self._send_notices)
            tasks.start_soon(self._follow_leadership)
            tasks.start_soon(self._serve_http, serve)
            await self._stop_requested.wait()
            await self._shut_down()
            # The HTTP server must not be cancelled while it finishes its last requests.
            await self._http_finished.wait()
            tasks.cancel_scope.cancel()

    async def _serve_http(self, serve):
        await serve()
        self._http_finished.set()

    async def _run_replica(self):
        """Run the replica; reopen it after a disk failure."""
        while True:
            try:
                await self._group.run()
                return
            except OSError as error:
                log.error("disk failed", error=str(error))
            await sleep(DISK_RETRY_S)

    async def _serve_links(self):
        log.info("serving", link=self._settings.link_address)
        await self._server.serve(host=self._settings.ip, port=self._settings.link_port)

    async def stop(self):
        """Transfer leadership to another store and stop."""
        self._stopping = True
        self._stop_requested.set()

    def add_seeds(self, settings):
        """Open links to the seeds of reloaded settings; existing links stay open."""
        self._links.add_addresses(settings.seed_link_addresses())

    async def _shut_down(self):
        self.closing.set()
        if self._leader is not None:
            self._leader.cancel()
        with move_on_after(self._settings.grace_s * 0.6):
            await self._group.stop()

    async def _follow_leadership(self):
        """Run a control leader in each term in which this replica is the leader."""
        leadership_changes = self._group.watch()
        term = None
        async for leadership in leadership_changes:
            if leadership.is_leader and leadership.term == term:
                continue
            if self._leader is not None:
                self._leader.cancel()
                self._leader = self._service = None
            term = leadership.term if leadership.is_leader else None
            log.info("leadership", term=leadership.term, leader=leadership.leader)
            if leadership.is_leader and not self._stopping:
                self._start_leader()
            self._notice_event.set()

    def _start_leader(self):
        leader = ControlLeader(
            group=self._group,
            state=self.state,
            driver=self._driver,
            advice_clients=self._advice_clients,
            timing=flow_timing(self._settings),
            counters=self._counters,
            on_document=self._request_notices,
        )
        self._service = ControlService(leader=leader, counters=self._counters)
        self._leader = leader
        self._tasks.start_soon(self._run_leader, leader)

    async def _run_leader(self, leader):
        """Run a control leader until its term ends; a leader must not start the same term twice.

        :raises StoppedError: the leader ended its own term, but a quorum still follows this store,
            so no store would do the work of the leader.
        """
        await leader.run()
        await sleep(self._settings.fresh_ms / 1000)
        if self._leader is not leader or self._stopping:
            return
        try:
            # Blocks while the disk hangs; the other stores elect another leader meanwhile.
            await self._group.confirm_leadership()
        except SiskintallyError as error:
            log.info("term already over", term=leader.term, reason=str(error))
            return
        if self._leader is leader and not self._stopping:
            raise StoppedError("the leader ended its term and a quorum still follows: restart")

    def _request_notices(self):
        """Send notices now instead of at the next interval."""
        self._notice_event.set()

    def _advice_clients(self):
        yield LocalAdviceClient(name=self._settings.name, advice=self._advice)
        for session in list(self._server.session_by_id.values()):
            if not session.closed:
                yield RemoteAdviceClient(name=session.peer.name, session=session)

    async def _send_notices(self):
        """Send notices to all linked processes at intervals and after each change.

        A notice names the leader, the members, and the configuration version. It carries no
        content that grows, since heartbeats on the same link must not wait behind it.
        """
        while True:
            sessions = list(self._server.session_by_id.values())
            leads = self.leads
            if leads:
                own_address = self._settings.link_address
                notice = ControlNotice(leads=True, leader=own_address, term=self._group.term)
                self._apply_notice(notice, own_address)
            members = [member.identity.name for member in self._group.members]
            self._links.add_addresses(members)
            for session in sessions:
                self._send_notice(session, leads, members)
            self._notice_event = Event()
            with move_on_after(NOTICE_INTERVAL_S):
                await self._notice_event.wait()

    def _send_notice(self, session, leads, members):
        notice = ControlNotice(
            leader=self._group.leader,
            members=members,
            version=self.state.document.version,
            leads=leads,
            term=self._group.term,
        )
        session.send(notice)

    async def handle_call(self, session, body):
        """Handle a call of a linked process."""
        if isinstance(body, JoinRequest):
            return await self._group.handle_join_request(body)
        if isinstance(body, AdviceAsk):
            return await handle_advice_call(self._advice, body)
        if not ControlService.handles(body):
            raise BadRequestError(f"{type(body).__name__}: stores do not handle this call")
        return await self._handle_leader_call(body)

    async def _handle_leader_call(self, body):
        service = self._service
        if not self.leads or self._stopping:
            leader = self._group.leader
            leader = leader if leader != self._settings.link_address else ""
            raise NotLeaderError(f"{self._settings.name} is not the leader", leader=leader)
        return await service.handle(body)

    def handle_session_start(self, session):
        """Log the start of a session."""
        self._session_log.record_start(session)

    def handle_session_end(self, session):
        """Log and count the end of a session."""
        self._session_log.record_end(session)

    def handle_message(self, session, body):
        """Handle a message of a linked process that expects no reply."""
        if isinstance(body, ControlNotice):
            self._links.add_addresses(body.members)
            self._apply_notice(body, session.peer.name)
        else:
            self._group.receive(body)

    def _apply_notice(self, notice, sender):
        now = steady()
        previous = self.cache.leader(now)
        self.cache.apply_notice(notice, sender=sender, now=now)
        if self.cache.leader(now) != previous:
            self.client.handle_leader_change()

    async def _call(self, address, body, *, timeout):
        if address != self._settings.link_address:
            return await self._links.call(address, body, timeout=timeout)
        with move_on_after(timeout):
            return await self._handle_leader_call(body)
        raise OutcomeUnknownError(f"{type(body).__name__}: no reply within {timeout:.1f} s")
