"""Relay in front of a stub endpoint that sends each HTTP response twice (fault "doubled").

>>> from siskintally.stub_duplicator import ResponseDuplicator
>>> ResponseDuplicator(host="127.0.0.1", port=7301, target_host="127.0.0.2").port
7301
"""

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
)
from h11 import CLIENT, NEED_DATA, Connection, EndOfMessage, Request

CHUNK_BYTES = 65536
_CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)


class ResponseDuplicator:
    """TCP relay that parses responses, and repeats each one after its end.

    :param host: address to listen on, which entries connect to.
    :param port: port of both the relay and the stub.
    :param target_host: address of the stub.
    """

    __slots__ = ("_host", "_target_host", "port")

    def __init__(self, *, host, port, target_host):
        self._host = host
        self._target_host = target_host
        self.port = port

    async def run(self):
        """Relay until cancelled."""
        listener = await create_tcp_listener(local_host=self._host, local_port=self.port)
        async with listener:
            await listener.serve(self._serve)

    async def _serve(self, client):
        try:
            server = await connect_tcp(self._target_host, self.port)
        except OSError:
            await client.aclose()
            return
        async with client, server, create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server)
            await self._duplicate_responses(server, client)
            tasks.cancel_scope.cancel()

    @staticmethod
    async def _copy(source, sink):
        try:
            async for data in source:
                await sink.send(data)
            await sink.send_eof()
        except _CONNECTION_ERRORS:
            return

    async def _duplicate_responses(self, source, sink):
        # Caught here, because the task group would wrap the error and the whole stub would fail.
        try:
            await self._relay_responses(source, sink)
        except _CONNECTION_ERRORS:
            return

    @staticmethod
    async def _relay_responses(source, sink):
        parser, received = _parser(), b""
        while True:
            data = await source.receive(CHUNK_BYTES)
            received += data
            parser.receive_data(data)
            if _has_ended(parser):
                # One write for both, so that they arrive before the entry reuses the connection.
                await sink.send(data + received)
                parser, received = _parser(), b""
            else:
                await sink.send(data)


def _parser():
    parser = Connection(CLIENT)
    parser.send(Request(method="GET", target="/", headers=[("host", "stub")]))
    parser.send(EndOfMessage())
    return parser


def _has_ended(parser):
    while (event := parser.next_event()) is not NEED_DATA:
        if isinstance(event, EndOfMessage):
            return True
    return False
