"""Workers that crash and start again under their id at their address, served over HTTP."""

from functools import partial

from anyio import Event, connect_tcp, sleep

from siskintally.clock import now as steady
from siskintally.control_pb2 import PoolWorker
from siskintally.http_server import serve_http
from siskintally.stub_pool import StubPoolWorker
from tests.flow_harness import SERVICE
from tests.processes import free_ports, wait_until
from tests.soak import SoakWorkerApp

TICK_S = 0.01
GRACEFUL_S = 0.05
FIRST_BORN_MS = 1_700_000_000_000
# Reading of a worker's clock when it starts; a reading of 0 would count as none.
CLOCK_START_S = 1.0


class WorkerLife(SoakWorkerApp):
    """One incarnation; its clock, fence, runs, and ends begin anew."""

    def __init__(self, *, record, run_s):
        self.born_at = steady()
        worker = StubPoolWorker(
            record=record, clock=lambda: CLOCK_START_S + steady() - self.born_at, run_s=run_s
        )
        super().__init__(worker=worker)
        self.stop_event = Event()
        self.stopped = Event()
        self.crashed_at = None

    async def handle(self, request):
        """Answer one call; a crashed worker answers none."""
        if self.crashed_at is not None:
            return None
        return await super().handle(request)

    async def serve(self):
        """Serve until the crash."""
        await serve_http(
            self,
            address=self.worker.record.address,
            stop_event=self.stop_event,
            graceful_s=GRACEFUL_S,
        )
        self.stopped.set()

    async def run(self):
        """End runs when they are due."""
        while self.crashed_at is None:
            self.record_lapse()
            self.worker.end_due_runs()
            await sleep(TICK_S)

    def runs(self):
        """Return the runs as [task id, run, start, end, whether its end was acknowledged]."""
        rows = {}
        for at, event, task_id, run in self.worker.history:
            at += self.born_at - CLOCK_START_S
            if event == "START":
                rows[task_id, run] = [task_id, run, at, self.crashed_at or float("inf"), False]
            else:
                rows[task_id, run][3:] = [at, (task_id, run) in self.noted_runs]
        return list(rows.values())


class WorkerHost:
    """Address at which the incarnations of one worker follow each other.

    :param tasks: task group that serves them.
    """

    def __init__(self, *, name, tasks, run_s=lambda task_id: 0.3, cpu_milli=4000):
        self.name = name
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        self.lives = []
        self._tasks = tasks
        self._run_s = run_s
        self._cpu_milli = cpu_milli

    @property
    def life(self):
        """Current incarnation."""
        return self.lives[-1]

    async def start(self):
        """Start the next incarnation; it listens when this returns."""
        record = PoolWorker(
            id=self.name,
            born_ms=FIRST_BORN_MS + len(self.lives),
            service=SERVICE,
            address=self.address,
            cpu_milli=self._cpu_milli,
            memory_mb=4000,
            labels=["a", "r1"],
            rack="r1",
        )
        life = WorkerLife(record=record, run_s=self._run_s)
        self.lives.append(life)
        self._tasks.start_soon(life.serve)
        self._tasks.start_soon(life.run)
        await wait_until(partial(_is_listening, self.address), "listening")
        return life

    async def crash(self):
        """End the incarnation and its connections."""
        self.life.crashed_at = steady()
        self.life.stop_event.set()
        await self.life.stopped.wait()

    def announcement(self):
        """Return the next announcement of the current incarnation."""
        worker = self.life.worker
        worker.record.seq += 1
        worker.record.clock_ms = worker.clock_ms
        return worker.record


async def _is_listening(address):
    host, _, port = address.rpartition(":")
    try:
        stream = await connect_tcp(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True


def double_runs(hosts):
    """Return the runs of one task that overlap, or of which one starts after a noted end."""
    rows = sorted(
        (row for host in hosts for life in host.lives for row in life.runs()),
        key=lambda row: row[2],
    )
    return [
        (earlier, later)
        for index, later in enumerate(rows)
        for earlier in rows[:index]
        if earlier[0] == later[0] and (earlier[3] > later[2] or earlier[4])
    ]
