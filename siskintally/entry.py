"""Entry daemon: accepts requests over HTTP and dispatches them to endpoints.

>>> from siskintally.entry import Entry
>>> Entry.__name__
'Entry'
"""

from functools import partial
from time import monotonic
from uuid import uuid4

from anyio import Event, create_task_group, sleep

from siskintally.announcement import AnnouncementTable
from siskintally.balancer import BALANCER_BY_NAME
from siskintally.call import Answer, parse_forward
from siskintally.codes import Code
from siskintally.config_follower import ConfigFollower
from siskintally.errors import BadRequestError, UnreachableError
from siskintally.gateway import Gateway
from siskintally.gossip import Gossip
from siskintally.http_server import serve_http
from siskintally.leader_client import LeaderClient
from siskintally.ledger_client import StandaloneLedger, StoreLedger
from siskintally.limits import EntryLimits
from siskintally.link import LinkServer
from siskintally.log import get_logger
from siskintally.metrics import Metrics
from siskintally.operator_relay import OperatorRelay
from siskintally.pause_detector import PauseDetector
from siskintally.peers import Peers
from siskintally.request_handler import RequestHandler
from siskintally.retry import RetryBudget
from siskintally.service_dispatcher import ServiceDispatcher
from siskintally.session import Handler
from siskintally.slot_share import entry_share
from siskintally.supervisor import Supervisor
from siskintally.wire_pb2 import AnnounceExchange, EntrySummary, ForwardRequest, Hello

MAINTENANCE_INTERVAL_S = 0.25
DRAIN_POLL_S = 0.05
# Shortest drain, unless drain_s is less. Until load balancers see the state, they open connections,
# and those that arrive while the listening socket closes are reset unread.
MIN_DRAIN_S = 1.0
# Time to write the last responses after all requests are answered.
RESPONSE_FLUSH_S = 2.0
# New requests are refused while the request bodies of callers in memory take up more than this.
MAX_BUFFERED_BYTES = 64 << 20

log = get_logger("entry")


class Entry(Handler):
    """One entry process.

    :param standalone: serve with default limits and without stores.
    :param drain_s: longest time in seconds that a planned stop waits for requests in flight and for
        the ledger.
    :param balancer: name of the load balancing policy.
    """

    __slots__ = (
        "_balancer",
        "_buffered_bytes",
        "_dispatcher_by_service",
        "_domain_entries",
        "_drain_s",
        "_follower",
        "_gossip",
        "_handler",
        "_in_flight",
        "_ledger",
        "_metrics",
        "_pause_detector",
        "_peers",
        "_process",
        "_server",
        "_settings",
        "_standalone",
        "_stopped",
        "_supervisor",
        "_table",
        "_tasks",
        "budget",
        "draining",
        "limits",
        "relay",
    )

    def __init__(self, *, settings, process, standalone, drain_s, balancer="power-of-two"):
        self._settings = settings
        self._process = process
        self._standalone = standalone
        self._drain_s = drain_s
        self._balancer = BALANCER_BY_NAME[balancer]()
        domain_entries = (entry.name for entry in settings.entries(domain=process.domain))
        self._domain_entries = tuple(sorted(domain_entries))
        self._metrics = Metrics(address=settings.statsd, prefix=f"siskintally.{process.name}")
        self._table = AnnouncementTable(domain=process.domain)
        self._pause_detector = PauseDetector()
        self.limits = EntryLimits()
        self.budget = RetryBudget(ratio=self.limits.retry_ratio)
        self._dispatcher_by_service = {}
        self._in_flight = 0
        self._buffered_bytes = 0
        self.draining = False
        self._stopped = Event()
        self._supervisor = Supervisor(name=process.name)
        self._create_links()

    def _create_links(self):
        settings, process = self._settings, self._process
        hello = Hello(name=process.name, cell=settings.cell, incarnation=uuid4().hex)
        self._server = LinkServer(
            hello=hello, secret=settings.secret, handler=self, tls=settings.tls(process.name)
        )
        self._peers = Peers(
            settings=settings, process=process, hello=hello, handler=self, server=self._server
        )
        self._gossip = Gossip(table=self._table, peers=self._peers, dispatcher_of=self.dispatcher)
        group = None if self._standalone else settings.group_of_domain(process.domain)
        members = group.members if group else ()
        self.relay = OperatorRelay(stores=members, call=self._peers.call)
        client = LeaderClient(
            group=group.name if group else "", members=members, call=self._peers.call
        )
        self._follower = ConfigFollower(
            client=client, on_limits=self._set_limits, on_drained=self._table.set_drained
        )

    async def run(self):
        """Serve until :meth:`stop` has finished.

        :raises SiskintallyError: a supervised task failed too often.
        """
        async with create_task_group() as tasks:
            self._tasks = tasks
            self._ledger = self._make_ledger(tasks)
            self._handler = RequestHandler(
                dispatcher_of=self.dispatcher,
                budget=self.budget,
                ledger=self._ledger,
                peers=self._peers,
                metrics=self._metrics,
                started=monotonic(),
            )
            self._add_tasks()
            await self._supervisor.run()
            tasks.cancel_scope.cancel()

    def _add_tasks(self):
        address = self._process.link
        add = self._supervisor.add
        add("links", partial(self._server.serve, host=address.host, port=address.port))
        add("http", self._serve_http)
        for name, link in self._peers.links():
            add(f"link to {name}", link.run)
        add("announcements", self._gossip.run_exchanges)
        add("summaries", self._gossip.run_summaries)
        add("tidy", self._run_maintenance)
        if not self._standalone:
            add("configuration", self._follower.run)

    def _make_ledger(self, tasks):
        if self._standalone:
            return StandaloneLedger(tasks=tasks)
        groups = list(self._settings.domain_groups())
        return StoreLedger(tasks=tasks, groups=groups, call=self._peers.call)

    async def _serve_http(self):
        await serve_http(
            Gateway(
                entry=self,
                operator_by_token=self._settings.operator_by_token,
                service_by_token=self._settings.service_by_token,
            ),
            address=str(self._process.http),
            stop_event=self._stopped,
            graceful_s=RESPONSE_FLUSH_S,
        )
        if self._stopped.is_set():
            self._supervisor.stop()

    async def stop(self):
        """Refuse new requests, finish those in flight, settle the ledger, and shut down."""
        if self.draining:
            return
        self.draining = True
        self._gossip.drain()
        drain_started = monotonic()
        end = drain_started + self._drain_s
        while self._is_busy(drain_started) and monotonic() < end:
            await sleep(DRAIN_POLL_S)
        log.info("drained", in_flight=self._in_flight, unsettled=self._ledger.unsettled)
        self._stopped.set()

    def _is_busy(self, drain_started):
        min_drain_passed = monotonic() >= drain_started + MIN_DRAIN_S
        return not min_drain_passed or self._in_flight or self._ledger.unsettled

    def dispatcher(self, service):
        """Return the dispatcher of a service, created on first use."""
        dispatcher = self._dispatcher_by_service.get(service)
        if dispatcher is None:
            dispatcher = self._dispatcher_by_service[service] = ServiceDispatcher(
                limits=self.limits,
                live_endpoints=lambda now: self._table.live(service, now=now),
                share_of=self._share_of,
                balancer=self._balancer,
            )
        return dispatcher

    def _share_of(self, total, endpoint):
        return entry_share(
            total, endpoint=endpoint, entry=self._process.name, entries=self._domain_entries
        )

    def health(self):
        """Return (whether load balancers may route callers here, state of the process)."""
        ready = not self.draining and self._has_config()
        state = "draining" if self.draining else "serving" if ready else "no configuration"
        return ready, {
            "name": self._process.name,
            "domain": self._process.domain,
            "state": state,
            "config_version": self._follower.version,
            "preset": self._follower.preset,
            "in_flight": self._in_flight,
            "endpoints": len(self._table),
        }

    def _has_config(self):
        return self._standalone or self._follower.version > 0

    def refusal(self):
        """Return the answer that refuses all new requests, or None if they are accepted."""
        if self.draining:
            return Answer.without_response(Code.DRAINING, "this entry is shutting down")
        if not self._has_config():
            return Answer.without_response(Code.NO_CONFIG, "no configuration yet")
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            return Answer.without_response(Code.OVERLOADED, "memory for bodies is used up")
        return None

    def record_announcement(self, endpoint, *, age_s, now):
        """Record an announcement from an endpoint.

        :param age_s: upper bound of its age in seconds, None without an echo.
        """
        if age_s is None:
            age_s = float("inf") if self._pause_detector.is_after_pause(now) else 0.0
        if self._table.record(endpoint, age_s=age_s, now=now):
            self._gossip.send_exchanges()
        if (
            endpoint.domain == self._process.domain
            and endpoint.service in self._dispatcher_by_service
        ):
            self._dispatcher_by_service[endpoint.service].dispatch_waiting(now)

    async def serve(self, call):
        """Serve a caller's request.

        :returns: an :class:`~siskintally.call.Answer`.
        """
        started = monotonic()
        self._in_flight += 1
        self._buffered_bytes += len(call.body)
        try:
            answer = await (
                self._run_detached(call) if call.non_idempotent else self._handler.handle(call)
            )
        finally:
            self._in_flight -= 1
            self._buffered_bytes -= len(call.body)
        self._metrics.count(f"answers.{int(answer.code)}")
        self._metrics.timing("request", monotonic() - started)
        return answer

    async def _run_detached(self, call):
        # A caller that disconnects must not cancel a request whose outcome goes to the ledger.
        done = Event()
        answers = []

        async def handle():
            try:
                answers.append(await self._handler.handle(call))
            except Exception:
                log.exception("request failed", request_id=call.request_id)
            finally:
                done.set()

        self._tasks.start_soon(handle)
        await done.wait()
        return answers[0] if answers else Answer.without_response(Code.INTERNAL, "internal error")

    async def handle_call(self, session, body):
        """Answer a call from another process."""
        if not isinstance(body, ForwardRequest):
            raise BadRequestError(f"{type(body).__name__}: not for an entry")
        if self._pause_detector.is_after_pause(monotonic()):
            raise UnreachableError("this process was paused; the request was not run")
        refusal = self.refusal()
        if refusal is not None:
            return refusal.to_message()
        call = parse_forward(body, caller=session.peer.name)
        self._in_flight += 1
        try:
            return (await self._handler.handle_forwarded(call)).to_message()
        finally:
            self._in_flight -= 1

    def handle_message(self, session, body):
        """Handle a message from another entry."""
        now = monotonic()
        if isinstance(body, AnnounceExchange):
            self._gossip.apply_exchange(session, body, now)
        elif isinstance(body, EntrySummary):
            self._gossip.record_summary(session, body)

    def handle_session_end(self, session):
        """Drop the state of a closed session."""
        self._gossip.drop_session(session)

    def _set_limits(self, limits):
        self.limits = limits
        self.budget.ratio = limits.retry_ratio
        for dispatcher in self._dispatcher_by_service.values():
            dispatcher.admission.limits = limits

    async def _run_maintenance(self):
        while True:
            now = monotonic()
            self._pause_detector.tick(now)
            self._table.expire(now=now)
            for service, dispatcher in list(self._dispatcher_by_service.items()):
                for forwarder in dispatcher.run_maintenance(now):
                    await forwarder.close()
                if dispatcher.is_idle(now):
                    del self._dispatcher_by_service[service]
            self._metrics.gauge("in_flight", self._in_flight)
            self._metrics.gauge("endpoints", len(self._table))
            await sleep(MAINTENANCE_INTERVAL_S)
