"""Shared tools of the benchmarks: processor time, memory, byte counts and linear fits."""

from os import getpid
from pathlib import Path
from resource import RUSAGE_SELF, getrusage

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
)

PAGE_BYTES = 4096
MB = 1_000_000


def cpu_seconds():
    """Return the processor time of this process so far, seconds."""
    usage = getrusage(RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def process_cpu_seconds(pid):
    """Return the processor time of a process so far, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def resident_mb(pid=None):
    """Return the resident memory of a process, by default of this one, MB."""
    pages = Path(f"/proc/{pid or getpid()}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / MB


def fit_line(points):
    """Fit a line by least squares.

    >>> fit([(1, 3.0), (2, 5.0), (3, 7.0)])
    (2.0, 1.0)

    :param points: ``[(x, y)]``, two or more.
    :returns: slope and intercept.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return slope, mean_y - slope * mean_x


class ByteCounter:
    """TCP relay that counts the bytes in each direction.

    :param port: port to listen on.
    :param target: port to connect to; both ports are on loopback.
    :param sent: bytes from clients to the target.
    :param received: bytes from the target to clients.
    """

    __slots__ = ("_target", "port", "received", "sent")

    def __init__(self, *, port, target):
        self.port = port
        self._target = target
        self.sent = 0
        self.received = 0

    async def run(self):
        """Relay connections until cancelled."""
        listener = await create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        await listener.serve(self._relay)

    async def _relay(self, client):
        try:
            server = await connect_tcp("127.0.0.1", self._target)
        except OSError:
            await client.aclose()
            return
        async with client, server, create_task_group() as tasks:
            tasks.start_soon(self._copy, client, server, "sent")
            await self._copy(server, client, "received")
            tasks.cancel_scope.cancel()

    async def _copy(self, source, sink, counter):
        try:
            async for data in source:
                setattr(self, counter, getattr(self, counter) + len(data))
                await sink.send(data)
        except (EndOfStream, BrokenResourceError, ClosedResourceError, OSError):
            return
