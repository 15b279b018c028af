"""Stub worker for tests: runs tasks as timers under a lease, and records their starts and ends.

>>> from siskintally.stub_worker import WorkerOptions
>>> options = WorkerOptions(name="w", domain="d", rack="r", capacity=None)
>>> options.heartbeat_interval_s
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

# Ends of tasks are reported at once, so regular heartbeats only renew the lease. An interval of at
# most a third of the lease allows for two failed heartbeats.
HEARTBEAT_INTERVAL_S = 10.0
HEARTBEATS_PER_LEASE = 3
# Longer than the heartbeat interval: heartbeats are calls, so a link needs no pings between them,
# and TCP keepalive detects a connection on which packets are dropped.
IDLE_PING_S = 12.0
HEARTBEAT_TIMEOUT_S = 4.0
OPEN_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.2
# Changes within this time are reported in one heartbeat.
REPORT_DELAY_S = 0.1
MAX_TICK_INTERVAL_S = 0.1
# A process that did not run for this long is taken to have been paused, with its tasks.
PAUSE_THRESHOLD_S = 0.5

log = get_logger("stub-worker")


class WorkerOptions:
    """Options of one stub worker.

    :param capacity: Resources that the worker reports.
    :param faults: :class:`~siskintally.worker_state.Faults`, or None.
    :param heartbeat_interval_s: longest time between two heartbeats, seconds.
    """

    __slots__ = ("capacity", "domain", "faults", "heartbeat_interval_s", "name", "rack")

    def __init__(
        self,
        *,
        name,
        domain,
        rack,
        capacity,
        faults=None,
        heartbeat_interval_s=HEARTBEAT_INTERVAL_S,
    ):
        self.name = name
        self.domain = domain
        self.rack = rack
        self.capacity = capacity
        self.faults = faults
        self.heartbeat_interval_s = heartbeat_interval_s


class TaskRecorder:
    """Appends a JSON line per event to a file, line-buffered; shared by the workers of a process.

    :param path: path of the file; nothing is recorded if it is empty.
    """

    __slots__ = ("_file",)

    def __init__(self, *, path):
        self._file = open(path, "a", buffering=1, encoding="utf-8") if path else None  # noqa: SIM115

    def capacity(self, options):
        """Record the capacity of a worker that starts, without tasks."""
        self._write(monotonic(), options.name, "capacity", options.capacity)

    def event(self, at, worker, event):
        """Record a start, end or stop.

        :param at: time of CLOCK_MONOTONIC, which is the same for all processes of a machine.
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
    """One worker: a link to the owner, a lease, and timers as tasks.

    :param options: :class:`WorkerOptions`.
    :param stores: members of the domain group, as :class:`~siskintally.settings.Process`.
    :param cell: cell name.
    :param secret: secret of the cell.
    :param recorder: :class:`TaskRecorder`.
    """

    __slots__ = (
        "_hello",
        "_last_tick",
        "_leader_hint",
        "_options",
        "_recorder",
        "_report_due",
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
        self._leader_hint = ""
        self._report_due = Event()
        self._last_tick = monotonic()

    async def run(self):
        """Run until cancelled; all tasks end then."""
        self._recorder.capacity(self._options)
        try:
            async with create_task_group() as tasks:
                tasks.start_soon(self._run_timers)
                await self._run_link()
        except get_cancelled_exc_class():
            log.debug("worker stopped", worker=self._options.name)
            raise

    async def _run_timers(self):
        while True:
            wait = self.state.next_tick_time() - monotonic()
            await sleep(min(max(wait, 0.0), MAX_TICK_INTERVAL_S))
            self._record(self.state.tick(now=monotonic()))

    def _record(self, events):
        """Record events.

        Tasks that are stopped after a pause of the process did not run during the pause, so their
        stop is recorded with the time of the last tick before it.
        """
        now = monotonic()
        paused_at = self._last_tick if now - self._last_tick > PAUSE_THRESHOLD_S else now
        for event in events:
            at = paused_at if event.kind == "stop" else now
            self._recorder.event(at, self._options.name, event)
        self._last_tick = now
        if self.state.is_report_due:
            self._report_due.set()

    async def _run_link(self):
        """Connect to the store that a refusal named as leader, or else to the stores in turn.

        A link is closed before another is opened.
        """
        store_index = 0
        while True:
            store = next((store for store in self._stores if store.name == self._leader_hint), None)
            if store is None:
                store = self._stores[store_index % len(self._stores)]
                store_index += 1
            self._leader_hint = ""
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
                    await self._send_heartbeats(link)
                tasks.cancel_scope.cancel()
            await sleep(RETRY_DELAY_S)

    async def _send_heartbeats(self, link):
        """Send heartbeats on one session until it fails or the store refuses them.

        Retries on the same session after BAD_REQUEST or OVERLOADED.
        """
        session = link.session
        self.state.reconnect()
        while link.session is session and not session.closed:
            try:
                await self._send_heartbeat(session)
            except RefusedError as error:
                self._leader_hint = error.leader if error.code == Code.NOT_LEADER else ""
                if error.code not in (Code.BAD_REQUEST, Code.OVERLOADED):
                    return
                log.info("heartbeat refused", worker=self._options.name, error=str(error))
                self.state.reconnect()
                await sleep(RETRY_DELAY_S)
                continue
            except (OutcomeUnknownError, UnreachableError):
                return
            max_interval_s = self.state.lease.lease_s / HEARTBEATS_PER_LEASE
            with move_on_after(min(self._options.heartbeat_interval_s, max_interval_s)):
                await self._report_due.wait()
                await sleep(REPORT_DELAY_S)

    async def _send_heartbeat(self, session):
        self._report_due = Event()
        self._record(self.state.tick(now=monotonic()))
        heartbeat = self.state.next_heartbeat(now=monotonic())
        heartbeat.worker = self._options.name
        heartbeat.domain, heartbeat.rack = self._options.domain, self._options.rack
        heartbeat.capacity.CopyFrom(self._options.capacity)
        orders = await session.call(heartbeat, timeout=HEARTBEAT_TIMEOUT_S)
        if isinstance(orders, WorkerOrders):
            self._record(self.state.apply_heartbeat_reply(heartbeat, orders, now=monotonic()))

    async def handle_call(self, session, body):
        """Refuse any call; an owner only sends messages."""
        raise RefusedError(
            f"{type(body).__name__}: a worker serves no calls", code=Code.BAD_REQUEST
        )

    def handle_message(self, session, body):
        """Apply orders that arrive between heartbeats."""
        if isinstance(body, WorkerOrders) and not session.closed:
            self._record(self.state.apply_orders(body, now=monotonic()))

    def handle_session_end(self, session):
        """Wake up the heartbeat loop to reconnect; tasks run on until the lease expires."""
        self._report_due.set()


class StubWorkers:
    """Several stub workers in one process, to save memory.

    :param workers: :class:`StubWorker` objects.
    """

    __slots__ = ("_scope", "_workers")

    def __init__(self, *, workers):
        self._workers = workers
        self._scope = None

    async def run(self):
        """Run all workers until :meth:`stop` is called."""
        async with create_task_group() as tasks:
            self._scope = tasks.cancel_scope
            for worker in self._workers:
                tasks.start_soon(worker.run)

    async def stop(self):
        """Cancel all workers."""
        if self._scope is not None:
            self._scope.cancel()
