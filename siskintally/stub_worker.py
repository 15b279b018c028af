"""Worker stub: runs timers as tasks under a lease and records what it ran and when.

>>> from siskintally.stub_worker import WorkerOptions
>>> options = WorkerOptions(name="w", domain="d", rack="r", capacity=None)
>>> options.beat_s
10.0
"""

from json import dumps
from time import monotonic

from anyio import (
    Event,
    create_task_group,
    get_cancelled_exc_class,
    move_on_after,
    sleep,
)

from siskintally.codes import Code
from siskintally.errors import OutcomeUnknownError, RefusedError, UnreachableError
from siskintally.link import Link
from siskintally.liveness import LinkTiming
from siskintally.log import get_logger
from siskintally.session import Handler
from siskintally.wire_pb2 import Hello, WorkerOrders
from siskintally.worker_state import WorkerState

# Ends are reported at once, so the regular heartbeat only renews the lease; a third of the lease
# leaves room for two that fail.
BEAT_S = 10.0
BEATS_PER_LEASE = 3
# Heartbeats are calls, so an idle link needs no pings between them; a path that has gone silent is
# noticed by TCP keepalive.
IDLE_PING_S = 12.0
BEAT_TIMEOUT_S = 4.0
OPEN_TIMEOUT_S = 2.0
RETRY_S = 0.2
# Changes within this time share one heartbeat.
GATHER_S = 0.1
MAX_TICK_S = 0.1
# A process that did not run for this long was paused, and so were its tasks.
PAUSED_S = 0.5

log = get_logger("stub-worker")


class WorkerOptions:
    """Options of one stub.

    :param capacity: Resources that it reports.
    :param faults: :class:`~siskintally.worker_state.Faults`, or None.
    :param beat_s: longest time between two heartbeats.
    """

    __slots__ = ("beat_s", "capacity", "domain", "faults", "name", "rack")

    def __init__(self, *, name, domain, rack, capacity, faults=None, beat_s=BEAT_S):
        self.name = name
        self.domain = domain
        self.rack = rack
        self.capacity = capacity
        self.faults = faults
        self.beat_s = beat_s


class TaskRecorder:
    """Appends a JSON line per event, written at once; shared by the workers of a process."""

    __slots__ = ("_file",)

    def __init__(self, *, path):
        self._file = open(path, "a", buffering=1, encoding="utf-8") if path else None  # noqa: SIM115

    def capacity(self, options):
        """Record that a worker begins without tasks."""
        self._write(monotonic(), options.name, "capacity", options.capacity)

    def event(self, at, worker, event):
        """Record a start, end or stop.

        :param at: reading of CLOCK_MONOTONIC, which all processes of a machine share.
        """
        self._write(
            at,
            worker,
            event.kind,
            event.each,
            task=event.task_id,
            attempt=event.attempt,
            result=event.result,
        )

    def _write(self, at, worker, event, resources, **fields):
        if self._file is None:
            return
        line = {
            "t": at,
            "worker": worker,
            "event": event,
            "cpu_milli": resources.cpu_milli,
            "memory_mb": resources.memory_mb,
            "accelerators": resources.accelerators,
            **fields,
        }
        self._file.write(dumps(line) + "\n")


class StubWorker(Handler):
    """One worker: a link to the owner, a lease, and timers.

    :param stores: processes of the domain group, :class:`~siskintally.settings.Process`.
    :param recorder: :class:`TaskRecorder`.
    """

    __slots__ = (
        "_changed",
        "_hello",
        "_hint",
        "_last_tick",
        "_options",
        "_recorder",
        "_secret",
        "_stores",
        "_tls",
        "state",
    )

    def __init__(self, *, options, stores, cell, secret, recorder, tls=None):
        self.state = WorkerState(faults=options.faults)
        self._options = options
        self._stores = list(stores)
        self._secret = secret
        self._recorder = recorder
        self._tls = tls
        self._hello = Hello(name=options.name, cell=cell, incarnation=self.state.session)
        self._hint = ""
        self._changed = Event()
        self._last_tick = monotonic()

    async def run(self):
        """Serve until cancelled; all tasks end with it."""
        self._recorder.capacity(self._options)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._keep_time)
                await self._keep_link()
        except get_cancelled_exc_class():
            log.debug("worker stopped", worker=self._options.name)
            raise

    async def _keep_time(self):
        while True:
            wait = self.state.next_time() - monotonic()
            await sleep(min(max(wait, 0.0), MAX_TICK_S))
            self._record(self.state.tick(now=monotonic()))

    def _record(self, events):
        """Record events; what a paused process stops had not run since it was last active."""
        now = monotonic()
        paused_at = self._last_tick if now - self._last_tick > PAUSED_S else now
        for event in events:
            at = paused_at if event.kind == "stop" else now
            self._recorder.event(at, self._options.name, event)
        self._last_tick = now
        if self.state.is_report_due:
            self._changed.set()

    async def _keep_link(self):
        """Hold one link at a time; the old one is closed before another is opened."""
        turn = 0
        while True:
            store = next((one for one in self._stores if one.name == self._hint), None)
            if store is None:
                store = self._stores[turn % len(self._stores)]
                turn += 1
            self._hint = ""
            async with create_task_group() as tasks:
                link = Link(
                    host=store.link.host,
                    port=store.link.port,
                    hello=self._hello,
                    secret=self._secret,
                    handler=self,
                    tls=self._tls,
                    timing=LinkTiming(idle_ping_s=IDLE_PING_S),
                )
                tasks.start_soon(link.run)
                with move_on_after(OPEN_TIMEOUT_S):
                    await link.wait_open()
                if link.is_open:
                    await self._converse(link)
                tasks.cancel_scope.cancel()
            await sleep(RETRY_S)

    async def _converse(self, link):
        """Send heartbeats on one session until it fails or its peer does not lead."""
        session = link.session
        self.state.reconnect()
        while link.session is session and not session.closed:
            try:
                await self._beat(session)
            except RefusedError as error:
                self._hint = error.leader if error.code == Code.NOT_LEADER else ""
                if error.code not in (Code.BAD_REQUEST, Code.OVERLOADED):
                    return
                log.info("heartbeat refused", worker=self._options.name, error=str(error))
                self.state.reconnect()
                await sleep(RETRY_S)
                continue
            except (OutcomeUnknownError, UnreachableError):
                return
            limit = self.state.lease.lease_s / BEATS_PER_LEASE
            with move_on_after(min(self._options.beat_s, limit)):
                await self._changed.wait()
                await sleep(GATHER_S)

    async def _beat(self, session):
        self._changed = Event()
        self._record(self.state.tick(now=monotonic()))
        beat = self.state.beat(now=monotonic())
        beat.worker = self._options.name
        beat.domain, beat.rack = self._options.domain, self._options.rack
        beat.capacity.CopyFrom(self._options.capacity)
        orders = await session.call(beat, timeout=BEAT_TIMEOUT_S)
        if isinstance(orders, WorkerOrders):
            self._record(self.state.answered(beat, orders, now=monotonic()))

    async def answer(self, session, body):
        """Refuse calls; an owner sends messages only."""
        raise RefusedError(f"{type(body).__name__}: no such call", code=Code.BAD_REQUEST)

    def receive(self, session, body):
        """Carry out orders that come between heartbeats."""
        if isinstance(body, WorkerOrders) and not session.closed:
            self._record(self.state.take(body, now=monotonic()))

    def closed(self, session):
        """Note that a link has ended; tasks go on until the lease ends."""
        self._changed.set()


class StubWorkers:
    """Several workers in one process, to save memory.

    :param workers: :class:`StubWorker` objects.
    """

    __slots__ = ("_scope", "_workers")

    def __init__(self, *, workers):
        self._workers = workers
        self._scope = None

    async def run(self):
        """Run all workers until :meth:`stop`."""
        async with create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            for worker in self._workers:
                tasks.start_soon(worker.run)

    async def stop(self):
        """End all workers."""
        if self._scope is not None:
            self._scope.cancel()
