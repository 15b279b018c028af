"""Pools of workers with a common interface, and a steady state in which the queue is never empty.

Each pool keeps its own queue. In a step the pool tries every waiting task, in the order of its
queue; steps are repeated until none places a task. New tasks are appended to the queue.
"""

from collections import Counter

from siskintally.placement import Placement
from siskintally.size import NO_RESOURCES
from siskintally.workload import Job, Kind

WORKERS_PER_RACK = 8
DOMAINS = 3
# Number of jobs that wait at any time.
WAITING_JOBS = 32
# Mean of the exponentially distributed run times, seconds.
RUN_S = 60.0
# Number of task ends in a run, for each worker; the second half is measured.
ENDS_PER_WORKER = 60


class ScanPool:
    """Baseline that scans all workers; first fit or best fit by processor, oldest task first.

    :param best_fit: best fit instead of first fit.
    """

    __slots__ = ("_allocation_by_task", "_best_fit", "_waiting", "free_by_worker")

    def __init__(self, *, workers, capacity, best_fit):
        self.free_by_worker = [[capacity.cpu, capacity.memory] for _ in range(workers)]
        self._best_fit = best_fit
        self._waiting = {}
        self._allocation_by_task = {}

    def submit(self, job):
        """Queue a job with one task."""
        self._waiting[job.waiting[0]] = job.need

    def step(self, now):
        """Place what fits; return the ids of the placed tasks."""
        placed = [task_id for task_id, need in self._waiting.items() if self._place(task_id, need)]
        for task_id in placed:
            del self._waiting[task_id]
        return placed

    def drop(self, job):
        """Take a job out of the queue."""
        del self._waiting[job.waiting[0]]

    def _place(self, task_id, need):
        fits = (
            free for free in self.free_by_worker if free[0] >= need.cpu and free[1] >= need.memory
        )
        free = (
            min(fits, key=lambda amounts: amounts[0], default=None)
            if self._best_fit
            else next(fits, None)
        )
        if free is None:
            return False
        free[0] -= need.cpu
        free[1] -= need.memory
        self._allocation_by_task[task_id] = (free, need)
        return True

    def end(self, task_id, now):
        """Free the resources of a task."""
        free, need = self._allocation_by_task.pop(task_id)
        free[0] += need.cpu
        free[1] += need.memory


class IndexedPool:
    """The placement of siskintally, with the interface of :class:`ScanPool`."""

    __slots__ = ("placement", "racks")

    def __init__(self, *, workers, capacity):
        self.placement = Placement()
        for number in range(workers):
            domain = f"d{number % DOMAINS}"
            rack = f"r{number // DOMAINS // WORKERS_PER_RACK}"
            self.placement.add_worker(f"w{number}", domain=domain, rack=rack, capacity=capacity)
        workers = self.placement.pool.worker_by_name.values()
        self.racks = len({(worker.domain, worker.rack) for worker in workers})

    def submit(self, job):
        """Queue a job."""
        self.placement.submit(job)

    def step(self, now):
        """Place what fits; return the ids of the placed tasks."""
        return [found.task_id for found in self.placement.decide(now=now).assignments]

    def drop(self, job):
        """Take a job out of the queue."""
        self.placement.cancel(job.job_id)
        self.placement.remove_job(job.job_id)

    def end(self, task_id, now):
        """Free the resources of a task."""
        self.placement.record_end(task_id, now=now, succeeded=True)
        job_id = task_id.partition("/")[0]
        job = self.placement.job_by_id[job_id]
        if not job.running and not job.waiting:
            self.placement.remove_job(job_id)


class Spread:
    """Numbers of domains and racks that the tasks of a service use and that they could use."""

    __slots__ = ("domains", "possible_domains", "possible_racks", "racks")

    def __init__(self, job, racks):
        tasks = len(job.running)
        self.domains, self.possible_domains = len(job.count_by_domain), min(tasks, DOMAINS)
        self.racks, self.possible_racks = len(job.count_by_rack), min(tasks, racks)


class Churn:
    """One run of the steady state.

    :param shapes: iterator of (kind, need, number of tasks).
    :param mean_use: mean share of the processors in use during the second half of the run.
    :param waits_by_kind: seconds from submission to the start of the last task of each job.
    :param spreads: :class:`Spread` of each service when its last task was placed.
    """

    def __init__(self, *, pool, shapes, random, total_cpu):
        self._pool = pool
        self._shapes = shapes
        self._random = random
        self._total_cpu = total_cpu
        self._job_by_id = {}
        self._unplaced_by_id = Counter()
        self._submitted_by_id = {}
        self._running = []
        self._used_cpu = 0
        self._now = 0.0
        self.mean_use = 0.0
        self.waits_by_kind = {kind: [] for kind in Kind}
        self.spreads = []

    def run(self, ends):
        """Run until ``ends`` tasks have ended; return this object."""
        total = 0.0
        for end_number in range(ends):
            self._fill_pool(measured=end_number >= ends // 2)
            if end_number >= ends // 2:
                total += self._used_cpu / self._total_cpu
            self._end_random_task()
        self.mean_use = total / (ends - ends // 2)
        return self

    def unfinished_waits_s(self, kind):
        """Return the waiting times so far of the jobs of a kind that still wait, seconds."""
        return [
            self._now - self._submitted_by_id[job_id]
            for job_id in self._unplaced_by_id
            if self._job_by_id[job_id].kind == kind
        ]

    def _fill_pool(self, *, measured):
        placed = [None]
        while placed:
            while len(self._unplaced_by_id) < WAITING_JOBS:
                self._submit()
            placed = self._pool.step(self._now)
            for task_id in placed:
                self._record_start(task_id, measured)

    def _submit(self):
        kind, need, tasks = next(self._shapes)
        job_id = f"c{len(self._submitted_by_id)}"
        run_s = 0.0 if kind == Kind.SERVICE else RUN_S
        job = Job(
            job_id=job_id, kind=kind, need=need, tasks=tasks, submitted=self._now, run_s=run_s
        )
        self._submitted_by_id[job_id] = self._now
        self._unplaced_by_id[job_id] = tasks
        self._job_by_id[job_id] = job
        self._pool.submit(job)

    def _record_start(self, task_id, measured):
        job_id = task_id.partition("/")[0]
        job = self._job_by_id[job_id]
        self._running.append(task_id)
        self._used_cpu += job.need.cpu
        self._unplaced_by_id[job_id] -= 1
        if not self._unplaced_by_id[job_id]:
            del self._unplaced_by_id[job_id]
            if measured:
                self.waits_by_kind[job.kind].append(self._now - self._submitted_by_id[job_id])
                if job.kind == Kind.SERVICE:
                    self.spreads.append(Spread(job, self._pool.racks))

    def _end_random_task(self):
        self._now += self._random.expovariate(len(self._running) / RUN_S)
        index = self._random.randrange(len(self._running))
        self._running[index], self._running[-1] = self._running[-1], self._running[index]
        task_id = self._running.pop()
        self._used_cpu -= self._job_by_id[task_id.partition("/")[0]].need.cpu
        self._pool.end(task_id, self._now)


def reservations_as_declared(placement):
    """Return whether reservations equal the declared sizes and no worker is overcommitted."""
    for worker in placement.pool.worker_by_name.values():
        reserved = sum((task.job.need for task in worker.allocation_by_task.values()), NO_RESOURCES)
        if reserved + worker.free != worker.capacity or min(worker.free.as_tuple()) < 0:
            return False
    return True
