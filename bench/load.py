"""Open-loop HTTP load: each request is sent at its planned time, whether earlier ones are answered.

Latencies count from the planned time, so that the requests which a stalled system delays are
included (no coordinated omission). Shared by the benchmarks of entries.
"""

from collections import Counter
from random import Random
from time import monotonic

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_task_group,
    move_on_after,
    sleep_until,
)
from anyio import current_time as loop_time
from h11 import CLIENT, NEED_DATA, Connection, Data, EndOfMessage, ProtocolError, Request, Response
from hdrh.histogram import HdrHistogram

HIGHEST_US = 120_000_000
DIGITS = 3
CHUNK_BYTES = 65536
REUSE_IDLE_S = 4.0
PERCENT_KEPT = (50, 99, 99.9)


class Histogram:
    """Histogram of latencies, up to 120 s."""

    __slots__ = ("_inner",)

    def __init__(self):
        self._inner = HdrHistogram(1, HIGHEST_US, DIGITS)

    def record(self, seconds):
        """Record a latency."""
        self._inner.record_value(max(1, min(int(seconds * 1e6), HIGHEST_US)))

    def ms(self, percent):
        """Return the latency at a percentile, ms."""
        return self._inner.get_value_at_percentile(percent) / 1000

    def mean_ms(self):
        """Return the mean latency, ms."""
        return self._inner.get_mean_value() / 1000

    def count(self):
        """Return the number of latencies."""
        return self._inner.get_total_count()


class Kind:
    """A kind of request in a mix.

    :param weight: share of the mix.
    :param headers: list of ``(name, value)``.
    :param deadline_s: deadline of a request, s.
    """

    __slots__ = ("deadline_s", "headers", "name", "weight")

    def __init__(self, *, name, weight, headers, deadline_s=1.0):
        self.name = name
        self.weight = weight
        self.headers = headers
        self.deadline_s = deadline_s


class Result:
    """Outcome of one run.

    :param codes_by_kind: ``{kind: Counter of result codes}``; code 0 is a lost connection.
    :param done_by_kind: ``{kind: latencies of answers with code 1000}``.
    :param refused: latencies of all other answers.
    :param refused_ratio: the same latencies, each in units of the request's deadline.
    :param lag: delays of the load generator against the planned times.
    :param seconds: length of the run.
    """

    __slots__ = (
        "codes_by_kind",
        "done_by_kind",
        "lag",
        "refused",
        "refused_ratio",
        "seconds",
    )

    def __init__(self, *, kinds):
        self.codes_by_kind = {kind.name: Counter() for kind in kinds}
        self.done_by_kind = {kind.name: Histogram() for kind in kinds}
        self.refused = Histogram()
        self.refused_ratio = Histogram()
        self.lag = Histogram()
        self.seconds = 0.0

    def codes(self):
        """Return the number of answers of all kinds by code."""
        return sum(self.codes_by_kind.values(), Counter())

    def all_done(self):
        """Return the latencies of the answers with code 1000, for all kinds together."""
        merged = Histogram()
        for histogram in self.done_by_kind.values():
            merged._inner.add(histogram._inner)
        return merged


class _HttpConnection:
    __slots__ = ("host", "parser", "stream", "used_at")

    def __init__(self, *, stream, host):
        self.stream = stream
        self.host = host
        self.parser = Connection(CLIENT)
        self.used_at = monotonic()

    async def exchange(self, path, headers):
        request = Request(
            method="POST",
            target=path,
            headers=[("host", self.host), ("content-length", "1"), *headers],
        )
        data = self.parser.send(request) + self.parser.send(Data(data=b"x"))
        await self.stream.send(data + self.parser.send(EndOfMessage()))
        code = 0
        while True:
            event = self.parser.next_event()
            if event is NEED_DATA:
                self.parser.receive_data(await self.stream.receive(CHUNK_BYTES))
            elif isinstance(event, Response):
                code = _code(event)
            elif isinstance(event, EndOfMessage):
                break
        self.parser.start_next_cycle()
        self.used_at = monotonic()
        return code


def _code(response):
    code_header = dict(response.headers).get(b"siskintally-code")
    return int(code_header) if code_header else response.status_code * 5


class Load:
    """Load generator that sends a mix of requests to the targets in turn.

    :param targets: list of ``(host, port)``.
    :param path: path of all requests.
    :param kinds: list of :class:`Kind`.
    :param seed: seed of the mix and of the intervals.
    """

    __slots__ = ("_idle_by_target", "_kinds", "_path", "_random", "_targets")

    def __init__(self, *, targets, path, kinds, seed):
        self._targets = targets
        self._path = path
        self._kinds = kinds
        self._random = Random(seed)
        self._idle_by_target = {target: [] for target in targets}

    async def run(self, *, rate, seconds, limit_s=30.0):
        """Send requests as a Poisson process, wait for the answers and return a :class:`Result`.

        :param rate: requests a second.
        :param limit_s: longest wait for answers after the last request.
        """
        result = Result(kinds=self._kinds)
        kinds = self._random.choices(
            self._kinds, [kind.weight for kind in self._kinds], k=int(rate * seconds)
        )
        planned_at = started_at = loop_time()
        with move_on_after(seconds + limit_s):
            async with create_task_group() as tasks:
                for number, kind in enumerate(kinds):
                    planned_at += self._random.expovariate(rate)
                    await sleep_until(planned_at)
                    target = self._targets[number % len(self._targets)]
                    tasks.start_soon(self._send, target, kind, planned_at, result)
        result.seconds = planned_at - started_at
        return result

    async def _send(self, target, kind, planned_at, result):
        result.lag.record(loop_time() - planned_at)
        try:
            code = await self._exchange(target, kind)
        except (OSError, EndOfStream, BrokenResourceError, ClosedResourceError, ProtocolError):
            code = 0
        latency = loop_time() - planned_at
        result.codes_by_kind[kind.name][code] += 1
        if code == 1000:
            result.done_by_kind[kind.name].record(latency)
        else:
            result.refused.record(latency)
            result.refused_ratio.record(latency / kind.deadline_s)

    async def _exchange(self, target, kind):
        is_new = False
        idle = self._idle_by_target[target]
        while idle and monotonic() - idle[-1].used_at > REUSE_IDLE_S:
            await idle.pop().stream.aclose()
        if idle:
            connection = idle.pop()
        else:
            connection = await self._open(target)
            is_new = True
        try:
            code = await connection.exchange(self._path, kind.headers)
        except (OSError, EndOfStream, BrokenResourceError, ClosedResourceError):
            # The target has closed the idle connection; open a new one, as a load balancer does.
            if is_new:
                raise
            connection = await self._open(target)
            code = await connection.exchange(self._path, kind.headers)
        host, _, port = connection.host.rpartition(":")
        self._idle_by_target[host, int(port)].append(connection)
        return code

    async def _open(self, target):
        # Like a load balancer, try the next target if one refuses the connection.
        first = self._targets.index(target)
        for host, port in self._targets[first:] + self._targets[:first]:
            try:
                return _HttpConnection(stream=await connect_tcp(host, port), host=f"{host}:{port}")
            except OSError as error:
                refused = error
        raise refused

    async def close(self):
        """Close the idle connections."""
        for idle in self._idle_by_target.values():
            for connection in idle:
                await connection.stream.aclose()
            idle.clear()
