"""Frame of a case: starts a cell, plays, judges, and ends everything that was started."""

import asyncio
import os
import sys
import traceback
from pathlib import Path

from review.standins.cell import Cell
from review.standins.record import Record
from review.standins.worker import Worker

HOST = "jobs.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110


SERVICE = "svc"


def configuration(version=7, *, queues=("jobs",)):
    """Return a configuration, as the protocol page shows it.

    :param queues: names of its queues; the jobs of queue ``a`` are at ``/a/``.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{queue}",
                "host": HOST,
                "pathPrefix": f"/{queue}/",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetRuntimeMs": 300,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 4,
                "stretch": 1.5,
            }
            for queue in queues
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/health",
                "maxConns": 64,
                "protocol": "h1",
                "tls": False,
                "enforcesCapacity": False,
                "spare": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def job(*, tasks=1, cpu=1000, estimate_ms=1000, **fields):
    """Return a job of one step."""
    step = {"count": tasks, "cpu": cpu, "memMb": 64, "estimateMs": estimate_ms, **fields}
    return {"spec": "x", "steps": [step]}


class Case:
    """What a case works with: ``cell``, ``record``, ``workers`` and ``with_trouble``."""

    def __init__(self, record):
        self.record = record
        self.with_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.cell = Cell(record=record)
        self.workers = []
        self._supervisor = None

    def stop_supervisor(self):
        """Leave processes that end from now on as they are."""
        if self._supervisor is not None:
            self._supervisor.cancel()

    async def prepare(self, config):
        """Start the processes and store the first configuration."""
        self.cell.start_all()
        self._supervisor = asyncio.create_task(self.cell.supervise())
        reply = await self.cell.operate("POST", "/config/replace", config)
        if reply is None or reply.status != 200:
            raise RuntimeError("the first configuration was not acknowledged")
        await self.cell.wait_ready()

    async def add_worker(self, name, **options):
        """Start a worker and return it."""
        ip = f"{self.cell.network}.{100 + len(self.workers)}"
        worker = Worker(cell=self.cell, record=self.record, name=name, ip=ip, **options)
        self.workers.append(worker)
        await worker.start()
        return worker

    def runs(self):
        """Return the rows of all workers: (task, run, worker, life, start, end, how)."""
        return [
            (task, run, worker.name, life, start, end, how)
            for worker in self.workers
            for task, run, life, start, end, how in worker.history
        ]

    def double_runs(self):
        """Return what breaks TWICE: runs of one task that overlap, or a start after a noted end.

        An end is not noted if the worker's lease lapsed between the end and its acknowledgement.
        """
        noted = {
            (actor, fields["life"], fields["task"], fields["run"])
            for _, actor, event, fields in self.record.events
            if event == "end taken note of" and fields["how"] == "done" and not fields["lapsed"]
        }
        found = []
        rows = sorted(self.runs(), key=lambda row: row[4])
        for index, later in enumerate(rows):
            for earlier in rows[:index]:
                if earlier[0] != later[0] or earlier[1] == later[1]:
                    continue
                if earlier[5] is None or earlier[5] > later[4]:
                    found.append(("two runs at the same time", earlier, later))
                elif earlier[6] == "done" and (earlier[2], earlier[3], *earlier[:2]) in noted:
                    found.append(("a start after a noted end", earlier, later))
        return found


def main(folder, play):
    """Play a case and exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.

    :param play: ``async play(case)`` that returns what broke the rule, as lines of text.
    """
    record = Record(Path(folder) / "record.txt")
    status = NOT_RUN

    async def run():
        case = Case(record)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await play(case)
        finally:
            case.stop_supervisor()
            keep = os.environ.get("KEEP_LOGS") == "1"
            for worker in case.workers:
                if worker.life is not None:
                    worker.crash()
            case.cell.close(keep_logs=keep)

    try:
        broken = asyncio.run(run())
        for line in broken:
            record.add("check", "BROKEN", what=line)
            print(f"broken: {line}")
        status = BROKEN if broken else HELD
    except Exception:  # the case could not run; the trace says why
        traceback.print_exc()
        record.add("check", "not run", why=traceback.format_exc().splitlines()[-1])
    record.add("check", "result", status=status)
    print({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[status])
    sys.exit(status)
