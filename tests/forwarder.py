"""TCP forwarder with faults, for failure tests.

The bytes of a blocked direction are held and delivered after :meth:`Forwarder.heal`, as TCP does
after a partition.
"""

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

_LOST = (BrokenResourceError, ClosedResourceError, EndOfStream, OSError)
CHUNK_BYTES = 65536


class _Connection:
    __slots__ = ("client", "server", "silent")

    def __init__(self, *, client, server):
        self.client = client
        self.server = server
        self.silent = False


class Forwarder:
    """Forwards one listening port to one target port on loopback.

    :param port: port that clients connect to.
    :param target: port that is forwarded to.
    """

    __slots__ = (
        "_changed",
        "_connections",
        "blocked",
        "delay_s",
        "is_cut",
        "port",
        "target",
    )

    def __init__(self, *, port, target):
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.is_cut = False
        self.blocked = set()  # of "to_server", "to_client"
        self._connections = []
        self._changed = Event()

    async def run(self):
        """Forward until cancelled."""
        async with await create_tcp_listener(local_host="127.0.0.1", local_port=self.port) as ears:
            await ears.serve(self._serve)

    async def cut(self):
        """Reset all connections and refuse new ones."""
        self.is_cut = True
        for connection in self._connections:
            await connection.client.aclose()
            await connection.server.aclose()

    def block(self, *directions):
        """Hold the bytes of ``to_server``, ``to_client`` or both, on all connections."""
        self.blocked.update(directions)

    def silence(self):
        """Make the present connections silent for good; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def heal(self):
        """End all faults but the silence of single connections."""
        self.is_cut = False
        self.delay_s = 0.0
        self.blocked.clear()
        self._changed.set()
        self._changed = Event()

    async def _serve(self, client):
        if self.is_cut:
            await client.aclose()
            return
        try:
            server = await connect_tcp("127.0.0.1", self.target)
        except OSError:
            await client.aclose()
            return
        connection = _Connection(client=client, server=server)
        self._connections.append(connection)
        try:
            async with client, server, create_task_group() as tasks:
                tasks.start_soon(self._pump, connection, client, server, "to_server")
                tasks.start_soon(self._pump, connection, server, client, "to_client")
        finally:
            self._connections.remove(connection)

    async def _pump(self, connection, source, sink, direction):
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                if self.delay_s:
                    await sleep(self.delay_s)
                while connection.silent or direction in self.blocked:
                    await self._changed.wait()
                await sink.send(data)
        except EndOfStream:
            try:
                await sink.send_eof()
            except _LOST:
                return
        except _LOST:
            await source.aclose()
            await sink.aclose()
