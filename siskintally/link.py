"""Streams between the processes of a cell: opening, accepting, opening again.

A link is one gRPC bidirectional stream that carries :class:`~siskintally.wire_pb2.Frame` messages;
:class:`~siskintally.session.Session` is what goes over it.

>>> from siskintally.link import Link
>>> Link(host="127.0.0.1", port=7201, hello=None, secret="s", handler=None).is_open
False
"""

from hmac import compare_digest
from random import random
from time import monotonic
from uuid import uuid4

from anyio import Event, create_task_group, move_on_after, sleep, sleep_forever
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server

from siskintally.errors import UnreachableError
from siskintally.log import get_logger
from siskintally.session import LOST, Session, unwrap, wrap
from siskintally.wire_grpc import PeerBase, PeerStub
from siskintally.wire_pb2 import Hello

SECRET_HEADER = "siskintally-secret"
CONNECT_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0

log = get_logger("link")


class Link:
    """Outgoing link that is opened again whenever it is lost.

    >>> from siskintally.link import Link
    >>> link = Link(host="127.0.0.1", port=7201, hello=None, secret="s", handler=None)
    >>> link.is_open
    False

    :param hello: what this process says of itself.
    :param handler: takes calls and messages of the other side.
    :param tls: :class:`~siskintally.settings.Tls`, or None.
    """

    __slots__ = ("_handler", "_hello", "_opened", "_secret", "_tls", "host", "port", "session")

    def __init__(self, *, host, port, hello, secret, handler, tls=None):
        self.host = host
        self.port = port
        self.session = None
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._tls = tls.client_context() if tls is not None else None
        self._opened = Event()

    @property
    def is_open(self):
        """Whether a session is established."""
        return self.session is not None and not self.session.closed

    async def wait_open(self):
        """Wait until a session is established."""
        while not self.is_open:
            await self._opened.wait()

    async def call(self, body, *, timeout):
        """Call the other side; see :meth:`Session.call`.

        :raises UnreachableError: the link is not open.
        """
        if not self.is_open:
            raise UnreachableError(f"no link to {self.host}:{self.port}")
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
            # In a task of its own: grpclib cancels the task that reads when the connection is lost,
            # and on Python 3.11 the cancellation count that stays would end the tasks around it.
            async with create_task_group() as tasks:
                tasks.start_soon(self._hold)
            self.session = None
            if monotonic() - started > MAX_BACKOFF_S:
                backoff = MIN_BACKOFF_S
            await sleep(backoff * (0.5 + random()))
            backoff = min(backoff * 2, MAX_BACKOFF_S)

    async def _hold(self):
        channel = Channel(self.host, self.port, ssl=self._tls)
        try:
            await self._converse(channel)
        except LOST as error:
            log.debug("connect failed", address=f"{self.host}:{self.port}", error=str(error))
        finally:
            channel.close()

    async def _converse(self, channel):
        metadata = {SECRET_HEADER: self._secret}
        async with PeerStub(channel).Link.open(metadata=metadata) as stream:
            peer = None
            with move_on_after(CONNECT_TIMEOUT_S):
                await stream.send_message(wrap(self._hello))
                frame = await stream.recv_message()
                peer = unwrap(frame) if frame is not None else None
            if not isinstance(peer, Hello):
                await stream.cancel()
                return
            self.session = Session(stream=stream, peer=peer, handler=self._handler)
            self._opened.set()
            self._opened = Event()
            await self.session.run()
            await stream.cancel()


class LinkServer(PeerBase):
    """Accepts links of other processes.

    :param hello: what this process says of itself.
    :param secret: secret of the cell; others are refused.
    :param tls: :class:`~siskintally.settings.Tls`, or None.
    """

    __slots__ = ("_handler", "_hello", "_secret", "_tls", "session_by_id")

    def __init__(self, *, hello, secret, handler, tls=None):
        self.session_by_id = {}
        self._hello = hello
        self._secret = secret
        self._handler = handler
        self._tls = tls.server_context() if tls is not None else None

    async def Link(self, stream):  # noqa: N802 - name fixed by the generated base class
        """Serve one stream."""
        given = stream.metadata.get(SECRET_HEADER, "")
        if not compare_digest(str(given).encode(), self._secret.encode()):
            log.warning("link refused: wrong secret")
            raise GRPCError(Status.UNAUTHENTICATED, "wrong cell secret")
        session = None
        with move_on_after(CONNECT_TIMEOUT_S):
            frame = await stream.recv_message()
            peer = unwrap(frame) if frame is not None else None
            if isinstance(peer, Hello) and peer.cell == self._hello.cell:
                await stream.send_message(wrap(self._hello))
                session = Session(stream=stream, peer=peer, handler=self._handler)
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
        await server.start(host, port, ssl=self._tls)
        try:
            await sleep_forever()
        finally:
            for session in list(self.session_by_id.values()):
                session.close()
            server.close()
            with move_on_after(1.0, shield=True):
                await server.wait_closed()
