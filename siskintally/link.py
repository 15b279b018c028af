"""Links between the processes of a cell: opens, accepts and reopens gRPC streams.

A link is one bidirectional gRPC stream of :class:`~siskintally.wire_pb2.Frame` messages. Calls and
messages on an established link are the job of :class:`~siskintally.session.Session`.

>>> from siskintally.link import Link
>>> Link(host="127.0.0.1", port=7201, hello=None, secret="s", handler=None).is_open
False
"""

from hmac import compare_digest
from random import random
from socket import (
    AF_INET,
    AF_INET6,
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    create_server,
)
from time import monotonic
from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from siskintally.errors import UnreachableError
from siskintally.liveness import LinkTiming, check_sessions
from siskintally.log import get_logger
from siskintally.session import CONNECTION_ERRORS, Session, unwrap, wrap
from siskintally.wire_grpc import PeerBase, PeerStub
from siskintally.wire_pb2 import Hello

SECRET_HEADER = "siskintally-secret"
MIN_BACKOFF_S = 0.1
# Longer than the heartbeat interval of workers (10 s) and the ping interval of the opening side
# (5 s), so that only the opening side pings an idle link.
ACCEPTED_TIMING = LinkTiming(idle_ping_s=12.0)

# If the network drops packets, the kernel closes an idle connection after 5 s and 3 probes (1 s
# apart), at no cost to this process. Pings find failures behind a host (such as a proxy) that still
# acknowledges the probes.
TCP_KEEPALIVE_OPTIONS = ((TCP_KEEPIDLE, 5), (TCP_KEEPINTVL, 1), (TCP_KEEPCNT, 3))

log = get_logger("link")


def enable_tcp_keepalive(sock):
    """Turn on TCP keepalive for a connection, or for all that a listening socket accepts."""
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    for option, value in TCP_KEEPALIVE_OPTIONS:
        sock.setsockopt(IPPROTO_TCP, option, value)


class Link:
    """Outgoing link that is reopened, with exponential backoff, whenever it is lost.

    >>> from siskintally.link import Link
    >>> link = Link(host="127.0.0.1", port=7201, hello=None, secret="s", handler=None)
    >>> link.is_open
    False

    :param hello: :class:`~siskintally.wire_pb2.Hello` that identifies this process.
    :param handler: :class:`~siskintally.session.Handler` for calls and messages of the peer.
    :param tls: :class:`~siskintally.settings.Tls`, or None.
    :param timing: :class:`~siskintally.liveness.LinkTiming`.
    :param on_peer_exit: called when the peer process has exited: the connection was refused, or a
        process with another incarnation answered.
    """

    __slots__ = (
        "_handler",
        "_hello",
        "_incarnation",
        "_on_peer_exit",
        "_opened",
        "_secret",
        "_timing",
        "_tls",
        "host",
        "port",
        "session",
    )

    def __init__(
        self, *, host, port, hello, secret, handler, tls=None, timing=None, on_peer_exit=None
    ):
        self.host = host
        self.port = port
        self.session = None
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._timing = timing or LinkTiming()
        self._tls = tls.client_context() if tls is not None else None
        self._opened = Event()
        self._on_peer_exit = on_peer_exit
        self._incarnation = None

    @property
    def is_open(self):
        """Whether a session is established."""
        return self.session is not None and not self.session.closed

    async def wait_open(self):
        """Wait until a session is established."""
        while not self.is_open:
            await self._opened.wait()

    async def call(self, body, *, timeout):
        """Call the peer; see :meth:`Session.call`.

        :raises UnreachableError: the link is not open.
        """
        if not self.is_open:
            raise UnreachableError(f"no open link to {self.host}:{self.port}")
        return await self.session.call(body, timeout=timeout)

    def send(self, body):
        """Send a message without a reply.

        :returns: whether it was queued.
        """
        return self.is_open and self.session.send(body)

    async def run(self):
        """Keep the link open until cancelled."""
        backoff = MIN_BACKOFF_S
        while True:
            started = monotonic()
            # In a separate task: grpclib cancels the reading task when the connection is lost, and
            # on Python 3.11 the remaining cancellation count would end the enclosing tasks too.
            async with create_task_group() as tasks:
                tasks.start_soon(check_sessions, self._open_sessions)
                tasks.start_soon(self._connect_once, tasks.cancel_scope)
            self.session = None
            if monotonic() - started > self._timing.max_backoff_s:
                backoff = MIN_BACKOFF_S
            await sleep(backoff * (0.5 + random()))
            backoff = min(backoff * 2, self._timing.max_backoff_s)

    def _open_sessions(self):
        return (self.session,) if self.is_open else ()

    async def _connect_once(self, scope):
        channel = Channel(self.host, self.port, ssl=self._tls)
        try:
            await self._run_session(channel)
        except CONNECTION_ERRORS as error:
            log.debug("connect failed", address=f"{self.host}:{self.port}", error=str(error))
            if isinstance(error, ConnectionRefusedError):
                self._report_peer_exit()
        finally:
            channel.close()
            scope.cancel()

    def _report_peer_exit(self):
        if self._on_peer_exit is not None:
            self._on_peer_exit()

    def _check_incarnation(self, incarnation):
        if self._incarnation not in (None, incarnation):
            self._report_peer_exit()
        self._incarnation = incarnation

    async def _run_session(self, channel):
        metadata = {SECRET_HEADER: self._secret}
        async with PeerStub(channel).Link.open(metadata=metadata) as stream:
            peer = None
            with move_on_after(self._timing.connect_timeout_s):
                await stream.send_message(wrap(self._hello))
                # grpclib has no public access to its socket.
                enable_tcp_keepalive(stream.peer._transport.get_extra_info("socket"))
                frame = await stream.recv_message()
                peer = unwrap(frame) if frame is not None else None
            if not isinstance(peer, Hello):
                await stream.cancel()
                return
            self._check_incarnation(peer.incarnation)
            self.session = session = Session(
                stream=stream, peer=peer, handler=self._handler, timing=self._timing
            )
            self._opened.set()
            self._opened = Event()
            await session.run()
            await stream.cancel()


class LinkServer(PeerBase):
    """Accepts links of other processes.

    :param hello: :class:`~siskintally.wire_pb2.Hello` that identifies this process.
    :param secret: secret of the cell; links with another secret are refused.
    :param handler: :class:`~siskintally.session.Handler` for calls and messages of the peers.
    :param tls: :class:`~siskintally.settings.Tls`, or None.
    :param timing: :class:`~siskintally.liveness.LinkTiming` of the sessions.
    """

    __slots__ = ("_handler", "_hello", "_secret", "_timing", "_tls", "session_by_id")

    def __init__(self, *, hello, secret, handler, tls=None, timing=ACCEPTED_TIMING):
        self._timing = timing
        self.session_by_id = {}
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._tls = tls.server_context() if tls is not None else None

    async def Link(self, stream):  # noqa: N802 - name fixed by the generated base class
        """Serve one stream."""
        presented_secret = stream.metadata.get(SECRET_HEADER, "")
        if not compare_digest(str(presented_secret).encode(), self._secret.encode()):
            log.warning("link refused: wrong secret")
            raise GRPCError(Status.UNAUTHENTICATED, "wrong cell secret")
        session = None
        with move_on_after(self._timing.connect_timeout_s):
            frame = await stream.recv_message()
            peer = unwrap(frame) if frame is not None else None
            if isinstance(peer, Hello) and peer.cell == self._hello.cell:
                await stream.send_message(wrap(self._hello))
                session = Session(
                    stream=stream,
                    peer=peer,
                    handler=self._handler,
                    timing=self._timing,
                    is_accepted=True,
                )
        if session is None:
            return
        key = uuid4().hex
        self.session_by_id[key] = session
        try:
            await session.run()
        finally:
            del self.session_by_id[key]

    async def serve(self, *, host, port):
        """Accept links until cancelled.

        :raises OSError: the address is in use.
        """
        server = Server([self])
        family = AF_INET6 if ":" in host else AF_INET
        listener = create_server((host, port), family=family)
        # Accepted connections inherit the socket options.
        enable_tcp_keepalive(listener)
        await server.start(sock=listener, ssl=self._tls)
        try:
            await check_sessions(lambda: list(self.session_by_id.values()))
        finally:
            for session in list(self.session_by_id.values()):
                session.close()
            server.close()
            with move_on_after(1.0, shield=True):
                await server.wait_closed()
