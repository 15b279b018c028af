"""Backlog on workers that do not guard their capacity, and a check of what they ran.

Leaders are told of a later life of a worker: a true one that is announced late, or one that another
writer has made up. The workers' own records decide.
"""

from collections import Counter
from functools import partial
from random import Random
from typing import NamedTuple

from anyio import sleep

from tests.processes import wait_until
from tests.worker_lives import WorkerHost

WORKER_COUNT = 6
WORKER_CPU_MILLI = 4000
# Number and cpu_milli of the tasks of each step. Large tasks wait while small ones find room, so
# one pass can start a task a second time elsewhere and fill the room that it seems to have left.
STEPS = ((14, 1000), (6, 3000))
FLOW_COUNT = 6
# A worker that starts again is down for a moment and announces itself up to a second later.
DOWN_S = 0.2
UNANNOUNCED_S = 1.0
# Time between two disturbances, in which workers are filled again.
INTERVAL_S = 0.4
DISTURBANCES = 4
COMPLETION_LIMIT_S = 40.0


class WorkerRun(NamedTuple):
    """One run as its worker has recorded it, with steady times in s.

    ``process``: worker and number of its incarnation.
    """

    process: tuple
    task_id: str
    run: int
    started_at: float
    ended_at: float


class BrokenInstant(NamedTuple):
    """State of one process right after a start.

    ``double_task_ids``: its tasks that also run a second time, there or elsewhere.
    """

    at: float
    process: tuple
    used_cpu_milli: int
    double_task_ids: tuple


class BrokenRules(NamedTuple):
    """What the workers' records show.

    ``overfull``: instants at which a process runs more than it has room for. ``double``: pairs of
    runs of one task that overlap. ``both``: overfull instants at which tasks of the same process
    run twice.
    """

    overfull: list
    double: list
    both: list

    def counts(self):
        """Return the numbers as text."""
        return (
            f"{len(self.overfull)} overfull instants, {len(self.double)} double runs, "
            f"{len(self.both)} instants with both"
        )


def list_runs(hosts):
    """Return the :class:`WorkerRun` objects of all incarnations, the earliest first."""
    runs = [
        WorkerRun((host.name, number), task_id, run, started_at, ended_at)
        for host in hosts
        for number, life in enumerate(host.lives, start=1)
        for task_id, run, started_at, ended_at, _ in life.runs()
    ]
    return sorted(runs, key=lambda run: run.started_at)


def find_broken_rules(runs):
    """Return the :class:`BrokenRules`; processor time and single runs are checked at each start."""
    overfull, double = [], []
    for index, latest in enumerate(runs):
        at = latest.started_at
        active = [run for run in runs[: index + 1] if run.ended_at > at]
        double.extend(
            (run, latest) for run in active if run.task_id == latest.task_id and run is not latest
        )
        overfull.extend(_find_overfull(at, active))
    both = [instant for instant in overfull if instant.double_task_ids]
    return BrokenRules(overfull, double, both)


def _find_overfull(at, active):
    """Yield a :class:`BrokenInstant` for each process that runs more than it has room for."""
    count_by_task = Counter(run.task_id for run in active)
    for process in sorted({run.process for run in active}):
        task_ids = [run.task_id for run in active if run.process == process]
        used_cpu_milli = sum(map(cpu_milli, task_ids))
        if used_cpu_milli > WORKER_CPU_MILLI:
            doubles = tuple(sorted(task for task in set(task_ids) if count_by_task[task] > 1))
            yield BrokenInstant(at, process, used_cpu_milli, doubles)


def cpu_milli(task_id):
    """Return the processor time that a task reserves."""
    step_number = int(task_id.split(".")[2])
    return STEPS[step_number][1]


def run_s(task_id):
    """Return the run time of a task, s; ends are spread, so that workers have room at any time."""
    return 0.2 + 1.2 * Random(task_id).random()


class OverfillScenario:
    """Mixin of a cell with workers that are called over HTTP.

    The cell provides ``announce(host)``, ``announce_made_up_life(host)``, ``submit(name)`` and
    ``is_completed(name)``.
    """

    async def start_workers(self, tasks):
        """Start and announce the workers."""
        self.worker_hosts = [
            WorkerHost(name=f"w{number}", tasks=tasks, run_s=run_s, cpu_milli=WORKER_CPU_MILLI)
            for number in range(WORKER_COUNT)
        ]
        for host in self.worker_hosts:
            await host.start()
            await self.announce(host)

    async def restart_worker(self, host):
        """Let a worker crash, start again under its id, and announce itself only later."""
        await host.crash()
        await sleep(DOWN_S)
        await host.start()
        await sleep(UNANNOUNCED_S)
        await self.announce(host)

    async def play(self, disturb):
        """Submit the backlog, disturb some workers in turn, and wait for the ends.

        The workers are stopped then: their servers cannot be cancelled.

        :param disturb: coroutine function of a :class:`~tests.worker_lives.WorkerHost`.
        :returns: the :class:`BrokenRules`.
        """
        try:
            await self._play_backlog(disturb)
            return find_broken_rules(list_runs(self.worker_hosts))
        finally:
            for host in self.worker_hosts:
                await host.crash()

    async def _play_backlog(self, disturb):
        names = [f"{number:016x}" for number in range(FLOW_COUNT)]
        for name in names:
            await self.submit(name)
        for host in self.worker_hosts[:DISTURBANCES]:
            await sleep(INTERVAL_S)
            await wait_until(lambda host=host: host.life.worker.running_by_task, "tasks there")
            await disturb(host)
        for name in names:
            await wait_until(
                partial(self.is_completed, name), f"{name} completed", limit_s=COMPLETION_LIMIT_S
            )
