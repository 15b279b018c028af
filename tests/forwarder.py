"""TCP forwarder that injects network faults.

The bytes of a blocked direction are buffered and delivered after :meth:`Forwarder.heal`, as by TCP
after a partition.
"""

from socket import SO_RCVBUF, SOL_SOCKET
from time import monotonic

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    Event,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    sleep,
)
from anyio.abc import SocketAttribute

_CONNECTION_ERRORS = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)
CHUNK_BYTES = 65536
# Small buffers make the sender wait for a limited direction, as on a slow link.
LIMITED_CHUNK_BYTES = 4096
LIMITED_BUFFER_BYTES = 65536


class _Connection:
    __slots__ = ("client", "server", "silent")

    def __init__(self, *, client, server):
        self.client = client
        self.server = server
        self.silent = False


class Forwarder:
    """Forwards connections from one loopback port to another.

    :param port: port that clients connect to.
    :param target: port of the server.
    :param target_host: address of the server.
    :param bytes_per_s: bandwidth toward the clients, shared by all connections; None for no limit.
    """

    __slots__ = (
        "_connections",
        "_healed",
        "_sent_until",
        "blocked",
        "bytes_per_s",
        "delay_s",
        "is_cut",
        "port",
        "target",
        "target_host",
    )

    def __init__(self, *, port, target, target_host="127.0.0.1", bytes_per_s=None):
        self.port = port
        self.target = target
        self.target_host = target_host
        self.bytes_per_s = bytes_per_s
        self.delay_s = 0.0
        self.is_cut = False
        self.blocked = set()  # "to_server", "to_client" or both
        self._connections = []
        self._healed = Event()
        self._sent_until = 0.0

    async def run(self):
        """Forward connections until cancelled."""
        async with await create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        ) as listener:
            await listener.serve(self._serve)

    async def cut(self):
        """Reset all connections and refuse new ones."""
        self.is_cut = True
        for connection in self._connections:
            await connection.client.aclose()
            await connection.server.aclose()

    def block(self, *directions):
        """Stop delivery in ``to_server``, ``to_client`` or both, on all connections."""
        self.blocked.update(directions)

    def silence(self):
        """Stop delivery on the existing connections for good; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def heal(self):
        """End all faults except those of :meth:`silence`."""
        self.is_cut = False
        self.delay_s = 0.0
        self.blocked.clear()
        self._healed.set()
        self._healed = Event()

    async def _serve(self, client):
        if self.is_cut:
            await client.aclose()
            return
        try:
            server = await connect_tcp(self.target_host, self.target)
        except OSError:
            await client.aclose()
            return
        if self.bytes_per_s is not None:
            raw_socket = server.extra(SocketAttribute.raw_socket)
            raw_socket.setsockopt(SOL_SOCKET, SO_RCVBUF, LIMITED_BUFFER_BYTES)
        connection = _Connection(client=client, server=server)
        self._connections.append(connection)
        try:
            async with client, server, create_task_group() as tasks:
                tasks.start_soon(self._forward, connection, client, server, "to_server")
                tasks.start_soon(self._forward, connection, server, client, "to_client")
        finally:
            self._connections.remove(connection)

    async def _forward(self, connection, source, sink, direction):
        is_limited = self.bytes_per_s is not None and direction == "to_client"
        chunk_bytes = LIMITED_CHUNK_BYTES if is_limited else CHUNK_BYTES
        try:
            while True:
                data = await source.receive(chunk_bytes)
                if is_limited:
                    await self._wait_for_bandwidth(len(data))
                if self.delay_s:
                    await sleep(self.delay_s)
                while connection.silent or direction in self.blocked:
                    await self._healed.wait()
                await sink.send(data)
        except EndOfStream:
            try:
                await sink.send_eof()
            except _CONNECTION_ERRORS:
                return
        except _CONNECTION_ERRORS:
            await source.aclose()
            await sink.aclose()

    async def _wait_for_bandwidth(self, size):
        """Wait until the limited direction has transmitted this many more bytes."""
        now = monotonic()
        self._sent_until = max(self._sent_until, now) + size / self.bytes_per_s
        await sleep(self._sent_until - now)
