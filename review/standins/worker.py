"""A stand-in for a worker, as the protocol page describes it.

A life of the worker is a process: it keeps its runs, ends, fence and clock in memory, and a crash
loses all of them. A machine may start a worker again under the same id.
"""

import asyncio
import contextlib
import json
import time

from review.standins.cell import HEARTBEAT_MS
from review.standins.http import Server, call

HOLD_MAX_MS = 6000
STOP_MS = 50
# The first clock reading of a life.
FIRST_CLOCK_MS = 1000


class _Run:
    def __init__(self, number, ends_at):
        self.number = number
        self.ends_at = ends_at
        self.started_at = time.monotonic()
        self.stops_at = None

    def percent(self):
        """Return the progress; a task that lasts is at work from its start."""
        if self.ends_at is None:
            return 100
        done_s = time.monotonic() - self.started_at
        return min(int(100 * done_s / (self.ends_at - self.started_at)), 100)


class Life:
    """One life of a worker: everything that a crash loses."""

    def __init__(self, number):
        self.number = number
        self.born_ms = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.until_ms = 0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        # How often the lease has lapsed, and whether it is lapsed now.
        self.lapses = 0
        self.is_lapsed = True
        self.lapses_at_end = {}
        self.highest = {}
        self.seq = 0
        self.changed = asyncio.Event()

    def clock_ms(self):
        """Return the reading of the steady clock of this life."""
        return FIRST_CLOCK_MS + int((time.monotonic() - self.born_at) * 1000)


class Worker:
    """A machine that starts a worker process and may start it again.

    :param duration_s: ``duration_s(task_name)`` returns how long a task works, None if it lasts.
    :param first_beat_s: time from a start to the first heartbeat of that life.
    """

    def __init__(
        self,
        *,
        cell,
        record,
        name,
        ip,
        cpu=4000,
        memory_mb=16384,
        service="svc",
        duration_s=lambda task: 1.0,
        first_beat_s=0.2,
    ):
        self.name = name
        self.address = f"{ip}:{cell.worker_port}"
        self.cpu = cpu
        self.service = service
        self.life = None
        self._cell = cell
        self._record = record
        self._ip = ip
        self._memory_mb = memory_mb
        self._duration_s = duration_s
        self._first_beat_s = first_beat_s
        self._server = None
        self._tasks = []
        self._lives = 0
        self.beats = True
        self.hangs = lambda path, fields: False
        # (task, run, life number, start, end, how); the end is None while the run goes on.
        self.history = []

    # -- lives ---------------------------------------------------------------------------------

    async def start(self):
        """Start a life: listen, and send heartbeats."""
        self._lives += 1
        self.life = Life(self._lives)
        self._server = Server(self._handle)
        await self._server.start(self._ip, self._cell.worker_port)
        self._record.add(self.name, "up", life=self.life.number, born=self.life.born_ms)
        self._tasks = [
            asyncio.create_task(self._send_beats(self.life)),
            asyncio.create_task(self._advance(self.life)),
        ]

    def crash(self):
        """End the life at once; nothing is said to anyone."""
        life, self.life = self.life, None
        for task in self._tasks:
            task.cancel()
        self._server.abort()
        at = self._record.add(self.name, "crashed", life=life.number, runs=len(life.runs))
        for name, number in life.runs:
            self._close_history(name, number, life, at, "crashed")

    async def _send_beats(self, life):
        await asyncio.sleep(self._first_beat_s)
        number = life.number
        while True:
            number += 1
            if self.beats:
                life.seq += 1
                address = self._cell.controls[number % len(self._cell.controls)]
                path = f"/instances/{self.name}/heartbeat"
                reply = await call(address, "POST", path, self.announcement(), timeout=1.0)
                status = reply.status if reply is not None else None
                self._record.add(
                    self.name,
                    "heartbeat",
                    life=life.number,
                    to=address,
                    seq=life.seq,
                    status=status,
                )
                if status is None or status >= 300:
                    await asyncio.sleep(0.1)
                    continue
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def announcement(self):
        """Return the body of a heartbeat."""
        life = self.life
        return {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self._memory_mb, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": life.clock_ms(),
            "born": life.born_ms,
            "seq": life.seq,
        }

    # -- runs ----------------------------------------------------------------------------------

    async def _advance(self, life):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if life.clock_ms() >= life.until_ms and not life.is_lapsed:
                life.is_lapsed = True
                life.lapses += 1
            for (name, _), run in list(life.runs.items()):
                if life.clock_ms() >= life.until_ms:
                    self._end(life, name, run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._end(life, name, run, "stopped")
                elif run.stops_at is None and run.ends_at is not None and now >= run.ends_at:
                    self._end(life, name, run, "done")

    def _end(self, life, name, run, how):
        del life.runs[name, run.number]
        life.highest[name] = max(life.highest.get(name, 0), run.number)
        life.end_count += 1
        life.ends.append([life.end_count, name, run.number, how, ""])
        life.lapses_at_end[life.end_count] = life.lapses
        life.changed.set()
        at = self._record.add(
            self.name, "END", life=life.number, n=life.end_count, task=name, run=run.number, how=how
        )
        self._close_history(name, run.number, life, at, how)

    def _close_history(self, name, number, life, at, how):
        for row in self.history:
            if row[:3] == [name, number, life.number] and row[4] is None:
                row[4:] = [at, how]

    # -- calls ---------------------------------------------------------------------------------

    async def _handle(self, method, path, headers, body):
        life = self.life
        if life is None:
            return None
        if headers.get("siskintally-expect-instance", self.name) != self.name:
            return 421, {"clockMs": life.clock_ms(), "born": life.born_ms}
        fields = json.loads(body)
        if self.hangs(path, fields):
            return None
        common = {"clockMs": life.clock_ms(), "born": life.born_ms}
        if fields.get("fence", 0) < life.fence:
            self._record.add(self.name, "refused", path=path, reason="fence")
            return 409, {**common, "reason": "fence"}
        life.fence = fields.get("fence", 0)
        handle = {
            "/run-start": self._run_start,
            "/run-stop": self._run_stop,
            "/hold": self._hold,
            "/pace": self._pace,
        }.get(path)
        if handle is None:
            return 400, common
        status, fields = await handle(life, fields)
        return status, {"clockMs": life.clock_ms(), "born": life.born_ms, **fields}

    def _extend(self, life, until_ms):
        limit_ms = life.clock_ms() + HOLD_MAX_MS
        life.until_ms = max(life.until_ms, min(until_ms or 0, limit_ms))
        life.is_lapsed = life.is_lapsed and life.clock_ms() >= life.until_ms

    async def _run_start(self, life, fields):
        name, number = fields["task"], fields["run"]
        if (name, number) in life.runs:
            self._extend(life, fields["untilMs"])
            return 200, {}
        if number <= life.highest.get(name, 0):
            self._extend(life, fields["untilMs"])
            return 409, {"reason": "old"}
        if fields["untilMs"] <= life.clock_ms():
            return 409, {"reason": "late"}
        self._extend(life, fields["untilMs"])
        duration_s = self._duration_s(name)
        ends_at = None if duration_s is None else time.monotonic() + duration_s
        life.runs[name, number] = _Run(number, ends_at)
        at = self._record.add(
            self.name, "START", life=life.number, task=name, run=number, fence=fields["fence"]
        )
        self.history.append([name, number, life.number, at, None, None])
        return 200, {}

    async def _run_stop(self, life, fields):
        name, number = fields["task"], fields["run"]
        self._record.add(self.name, "stop ordered", life=life.number, task=name, run=number)
        life.highest[name] = max(life.highest.get(name, 0), number)
        run = life.runs.get((name, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_MS / 1000
        return 200, {}

    async def _hold(self, life, fields):
        self._extend(life, fields.get("untilMs"))
        acked = fields.get("ackedUpto", 0)
        forgotten = [row for row in life.ends if row[0] <= acked]
        for row in forgotten:
            self._record.add(
                self.name,
                "end taken note of",
                life=life.number,
                n=row[0],
                task=row[1],
                run=row[2],
                how=row[3],
                ackedUpto=acked,
                lapsed=life.lapses > life.lapses_at_end[row[0]],
            )
        life.ends = [row for row in life.ends if row[0] > acked]
        if not life.ends and fields.get("waitMs"):
            life.changed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(life.changed.wait(), fields["waitMs"] / 1000)
        running = [
            [name, number, "", run.percent(), 0] for (name, number), run in life.runs.items()
        ]
        return 200, {"running": running, "ended": life.ends[:500]}

    async def _pace(self, life, fields):
        return 200, {}
