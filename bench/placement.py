"""Speed of placement decisions, compared with a first-fit scan in the same run.

Prints placements a second and decision times in ms for three numbers of workers, and the time in ms
to cancel 10,000 jobs.

Usage: python -m bench.placement [--json FILE] [--seed N] [--quick] [--check]
"""

from json import dumps
from pathlib import Path
from random import Random
from sys import exit as exit_process
from time import perf_counter

from absl import app, flags
from hdrh.histogram import HdrHistogram

from siskintally.placement import Placement
from siskintally.size import Size
from siskintally.workload import Job, Kind, Urgency

FLAGS = flags.FLAGS
flags.DEFINE_string("json", "", "file for the results as JSON")
flags.DEFINE_integer("seed", 1, "seed of the workload")
flags.DEFINE_bool("quick", False, "a tenth of the decisions")
flags.DEFINE_bool("check", False, "exit with 1 when a target is missed")

WORKERS = (100, 850, 5000)
TASKS_PER_WORKER = 20_000 / 850
CAPACITY = Size(cpu=32_000, memory=128_000)
WORKERS_PER_RACK = 8
DECISIONS = 20_000
CANCELLATIONS = 10_000
TARGET_PER_S = 5000
TARGET_P99_MS = 2.0
TARGET_WAVE_MS = 100.0


class FirstFit:
    """Baseline that scans the workers in order for the first one with free resources."""

    __slots__ = ("allocation_by_task", "free")

    def __init__(self, *, workers):
        self.free = [[CAPACITY.cpu, CAPACITY.memory] for _ in range(workers)]
        self.allocation_by_task = {}

    def place(self, task_id, need):
        """Place a task; return the number of its worker, or None if it fits nowhere."""
        for number, free_amounts in enumerate(self.free):
            if free_amounts[0] >= need.cpu and free_amounts[1] >= need.memory:
                free_amounts[0] -= need.cpu
                free_amounts[1] -= need.memory
                self.allocation_by_task[task_id] = (number, need)
                return number
        return None

    def end(self, task_id):
        """Free the resources of a task."""
        number, need = self.allocation_by_task.pop(task_id)
        self.free[number][0] += need.cpu
        self.free[number][1] += need.memory


class Workload:
    """Random jobs with one task; a fifth of them are services, the rest batch jobs."""

    __slots__ = ("_random", "count")

    def __init__(self, *, seed):
        self._random = Random(seed)
        self.count = 0

    def need(self):
        """Return the size of a task."""
        cpu = self._random.choice((250, 500, 500, 1000, 1000, 1500, 2000, 3000))
        return Size(cpu=cpu, memory=int(cpu * self._random.uniform(2.0, 6.0)))

    def job(self):
        """Return a job with one task."""
        self.count += 1
        pick = self._random.random()
        kind = Kind.SERVICE if pick < 0.2 else Kind.BATCH
        urgency = self._random.choice((Urgency.URGENT, Urgency.NORMAL, Urgency.DEFERRABLE))
        return Job(
            job_id=f"j{self.count}",
            kind=kind,
            need=self.need(),
            tasks=1,
            submitted=float(self.count),
            urgency=urgency,
            run_s=60.0,
        )

    def pop_random(self, items):
        """Remove and return one of the items."""
        number = self._random.randrange(len(items))
        items[number], items[-1] = items[-1], items[number]
        return items.pop()


def filled_placement(workers, workload):
    """Return a placement on filled workers, and the ids of its running tasks."""
    placement = Placement()
    for number in range(workers):
        domain = f"d{number % 3}"
        rack = f"r{number // 3 // WORKERS_PER_RACK}"
        placement.add_worker(f"w{number}", domain=domain, rack=rack, capacity=CAPACITY)
    running = []
    while len(running) < workers * TASKS_PER_WORKER:
        placement.submit(workload.job())
        running.extend(assignment.task_id for assignment in placement.decide(now=0.0).assignments)
    return placement, running


def measure_indexed(workers, decisions, seed):
    """Return the speed of the placement in a steady state: one task ends for each new one."""
    workload = Workload(seed=seed)
    placement, running = filled_placement(workers, workload)
    histogram = HdrHistogram(1, 60_000_000, 3)
    total = 0.0
    placed = 0
    for _ in range(decisions):
        task_id = workload.pop_random(running)
        placement.record_end(task_id, now=0.0, succeeded=True)
        placement.remove_job(task_id.partition("/")[0])
        job = workload.job()
        started = perf_counter()
        placement.submit(job)
        decision = placement.decide(now=0.0)
        elapsed_s = perf_counter() - started
        total += elapsed_s
        histogram.record_value(max(1, int(elapsed_s * 1e6)))
        running.extend(assignment.task_id for assignment in decision.assignments)
        placed += len(decision.assignments)
    return {
        "per_s": placed / total,
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "max_ms": histogram.get_max_value() / 1000,
        "running": len(running),
    }


def measure_first_fit(workers, decisions, seed):
    """Return the speed of the first-fit scan in the same steady state."""
    workload = Workload(seed=seed)
    pool = FirstFit(workers=workers)
    running = []
    while len(running) < workers * TASKS_PER_WORKER:
        job = workload.job()
        if pool.place(job.job_id, job.need) is not None:
            running.append(job.job_id)
    total = 0.0
    for _ in range(decisions):
        pool.end(workload.pop_random(running))
        job = workload.job()
        started = perf_counter()
        assignment = pool.place(job.job_id, job.need)
        total += perf_counter() - started
        if assignment is not None:
            running.append(job.job_id)
    return {"per_s": decisions / total}


def measure_wave(workers, seed):
    """Cancel 10,000 waiting or running jobs in parts of 500, with a placement after each part."""
    workload = Workload(seed=seed)
    placement, running = filled_placement(workers, workload)
    waiting = []
    while len(waiting) < CANCELLATIONS // 2:
        job = workload.job()
        job.need = job.need.scaled(30)
        job.search_key = (job.kind, "", job.need.as_tuple(), 1)
        placement.submit(job)
        waiting.append(job.job_id)
    placement.decide(now=0.0)
    wave = waiting + [task.partition("/")[0] for task in running[: CANCELLATIONS - len(waiting)]]
    wave_s, slowest = 0.0, 0.0
    for start in range(0, len(wave), 500):
        started = perf_counter()
        for job_id in wave[start : start + 500]:
            placement.cancel(job_id)
        wave_s += perf_counter() - started
        started = perf_counter()
        placement.submit(workload.job())
        placement.decide(now=0.0)
        slowest = max(slowest, perf_counter() - started)
    return {"wave_ms": wave_s * 1000, "slowest_decision_ms": slowest * 1000}


def main(_):
    """Run all measurements; print the figures and the targets, and write the JSON file."""
    decisions = DECISIONS // 10 if FLAGS.quick else DECISIONS
    results = {"seed": FLAGS.seed, "decisions": decisions, "by_workers": {}}
    for workers in WORKERS:
        indexed = measure_indexed(workers, decisions, FLAGS.seed)
        scan = measure_first_fit(workers, decisions, FLAGS.seed)
        row = {"indexed": indexed, "first_fit": scan, "ratio": indexed["per_s"] / scan["per_s"]}
        results["by_workers"][workers] = row
        print(
            f"{workers:5d} workers, {indexed['running']:6d} tasks: {indexed['per_s']:6.0f}/s,"
            f" p50 {indexed['p50_ms']:.3f} ms, p99 {indexed['p99_ms']:.3f} ms,"
            f" max {indexed['max_ms']:.2f} ms; first fit {scan['per_s']:8.0f} a second,"
            f" ratio {row['ratio']:.2f}"
        )
    by_workers = results["by_workers"]
    rate = [by_workers[workers]["indexed"]["per_s"] for workers in WORKERS]
    scan_rate = [by_workers[workers]["first_fit"]["per_s"] for workers in WORKERS]
    results["growth"] = rate[0] / rate[-1]
    results["growth_first_fit"] = scan_rate[0] / scan_rate[-1]
    print(
        f"time per decision grows {results['growth']:.2f} times for"
        f" {WORKERS[-1] // WORKERS[0]} times the workers;"
        f" first fit {results['growth_first_fit']:.2f} times"
    )
    wave = results["wave"] = measure_wave(850, FLAGS.seed)
    print(
        f"{CANCELLATIONS} cancellations: {wave['wave_ms']:.1f} ms, slowest decision between them"
        f" {wave['slowest_decision_ms']:.2f} ms"
    )
    results["targets"] = {
        "per_s": by_workers[850]["indexed"]["per_s"] >= TARGET_PER_S,
        "p99": by_workers[850]["indexed"]["p99_ms"] < TARGET_P99_MS,
        "growth": results["growth"] < WORKERS[-1] / WORKERS[0],
        "wave": wave["wave_ms"] < TARGET_WAVE_MS,
    }
    print(
        "targets:",
        ", ".join(f"{k} {'met' if v else 'MISSED'}" for k, v in results["targets"].items()),
    )
    if FLAGS.json:
        Path(FLAGS.json).write_text(dumps(results, indent=2) + "\n", encoding="utf-8")
    if FLAGS.check and not all(results["targets"].values()):
        exit_process(1)


if __name__ == "__main__":
    app.run(main)
