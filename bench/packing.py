"""Packing efficiency against first fit, best fit and the upper bound.

A fixed list of tasks that would use the scarcer resource to exactly the whole is offered to an
empty pool; in a second run tasks end and new ones are offered while the queue is never empty. The
bound is the whole of the scarcer resource.

Usage: python -m bench.packing [--json FILE] [--seed N] [--quick]
"""

from collections import deque
from json import dumps
from pathlib import Path
from random import Random

from absl import app, flags

from siskintally.placement import Placement
from siskintally.size import NOTHING, Size
from siskintally.workload import Job, Kind

FLAGS = flags.FLAGS
flags.DEFINE_string("json", "", "file for the results as JSON")
flags.DEFINE_integer("seed", 1, "seed of the workload")
flags.DEFINE_bool("quick", False, "24 workers instead of 850")

TARGET = 0.97
CAPACITIES = {
    "fjeldrute": Size(cpu=32_000, memory=128_000),
    "camara": Size(cpu=32_000, memory=64_000),
}
LARGEST_ERROR = 10
AHEAD = 32
CHURN_WORKERS = 100


class ScanPool:
    """Baselines: scan of all workers, first fit or best fit on the processor."""

    __slots__ = ("_best", "_place_by_task", "rooms")

    def __init__(self, *, workers, capacity, best):
        self.rooms = [[capacity.cpu, capacity.memory] for _ in range(workers)]
        self._best = best
        self._place_by_task = {}

    def offer(self, task_id, need):
        """Place a task if it fits."""
        fits = (room for room in self.rooms if room[0] >= need.cpu and room[1] >= need.memory)
        room = min(fits, key=lambda at: at[0], default=None) if self._best else next(fits, None)
        if room is None:
            return False
        room[0] -= need.cpu
        room[1] -= need.memory
        self._place_by_task[task_id] = (room, need)
        return True

    def end(self, task_id):
        """Free the resources of a task."""
        room, need = self._place_by_task.pop(task_id)
        room[0] += need.cpu
        room[1] += need.memory


class IndexedPool:
    """The project's placement behind the same two calls."""

    __slots__ = ("_placement",)

    def __init__(self, *, workers, capacity):
        self._placement = Placement()
        for number in range(workers):
            rack = f"r{number // 8}"
            self._placement.add_worker(f"w{number}", domain="d", rack=rack, capacity=capacity)

    def offer(self, task_id, need):
        """Place a task if it fits."""
        job = Job(job_id=task_id, kind=Kind.BATCH, need=need, tasks=1, submitted=0.0, run_s=60.0)
        self._placement.submit(job)
        if self._placement.decide(now=0.0).assignments:
            return True
        self._placement.cancel(task_id)
        self._placement.forget(task_id)
        return False

    def end(self, task_id):
        """Free the resources of a task."""
        self._placement.ended(f"{task_id}/0", now=0.0, succeeded=True)
        self._placement.forget(task_id)


MIXES = {
    "common": (250, 500, 500, 1000, 1000, 2000, 2000, 4000, 8000),
    "large": (700, 1900, 3100, 4700, 6100, 7300, 9700, 11_300, 13_100),
}


def sizes(random, capacity, mix):
    """Yield sizes of tasks whose memory per core varies around that of the workers."""
    per_core = capacity.memory / capacity.cpu
    while True:
        cpu = random.choice(MIXES[mix])
        yield Size(cpu=cpu, memory=max(1, int(cpu * per_core * random.uniform(0.2, 1.4))))


def whole_list(random, total, capacity, mix):
    """Return tasks that use the scarcer resource of ``total`` to the whole, and which one it is."""
    tasks, used = [], NOTHING
    for need in sizes(random, capacity, mix):
        if not (used + need).within(total):
            break
        tasks.append(need)
        used += need
    by_memory = used.memory / total.memory > used.cpu / total.cpu
    return tasks, "memory" if by_memory else "cpu"


def fill(pool, tasks, resource):
    """Offer a list of tasks; return the placed part of it, by the scarcer resource."""
    offered = sum(getattr(need, resource) for need in tasks)
    placed = sum(
        getattr(need, resource)
        for number, need in enumerate(tasks)
        if pool.offer(f"f{number}", need)
    )
    return placed / offered


def churn(pool, random, workers, capacity, mix):
    """Let tasks end at random and offer 32 waiting ones; return the mean use of the processors."""
    source = sizes(random, capacity, mix)
    queue = deque(next(source) for _ in range(AHEAD))
    running, used, number, total = [], 0, 0, 0.0
    turns = workers * 60
    for turn in range(turns):
        for _ in range(len(queue)):
            need = queue.popleft()
            number += 1
            if pool.offer(f"c{number}", need):
                running.append((f"c{number}", need))
                used += need.cpu
                need = next(source)
            queue.append(need)
        if turn >= turns // 2:
            total += used / (workers * capacity.cpu)
        at = random.randrange(len(running))
        running[at], running[-1] = running[-1], running[at]
        task_id, need = running.pop()
        used -= need.cpu
        pool.end(task_id)
    return total / (turns - turns // 2)


def worst_true_use(random, workers, capacity):
    """Place tasks whose true sizes are off by up to 10 times either way.

    :returns: whether each worker's reservations are the declared sizes, and the largest true use
        of a worker as a part of its capacity.
    """
    placement = Placement()
    for number in range(workers):
        placement.add_worker(f"w{number}", domain="d", rack="r", capacity=capacity)
    declared, worst, exact = {}, 0.0, True
    source = sizes(random, capacity, "common")
    for number in range(workers * 20):
        need = declared[f"j{number}/0"] = next(source)
        placement.submit(
            Job(job_id=f"j{number}", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0, run_s=1.0)
        )
    placement.decide(now=0.0, limit=workers * 20)
    for worker in placement.pool.worker_by_name.values():
        total = sum((declared[task] for task in worker.held_by_task), NOTHING)
        exact = exact and total + worker.free == capacity and min(worker.free.key()) >= 0
        factors = (LARGEST_ERROR ** random.uniform(-1, 1) for _ in worker.held_by_task)
        true = sum(
            declared[task].cpu * factor
            for task, factor in zip(worker.held_by_task, factors, strict=False)
        )
        worst = max(worst, true / capacity.cpu)
    return exact, worst


def measure(name, capacity, mix, workers, seed):
    pools = {
        "indexed": lambda count: IndexedPool(workers=count, capacity=capacity),
        "first_fit": lambda count: ScanPool(workers=count, capacity=capacity, best=False),
        "best_fit": lambda count: ScanPool(workers=count, capacity=capacity, best=True),
    }
    tasks, resource = whole_list(Random(seed), capacity.scaled(workers), capacity, mix)
    row = {"scarcer": resource, "tasks": len(tasks)}
    for label, make in pools.items():
        filled = fill(make(workers), tasks, resource)
        steady = churn(make(CHURN_WORKERS), Random(seed), CHURN_WORKERS, capacity, mix)
        row[label] = {"fill": filled, "churn": steady}
        print(
            f"{name:10s} {mix:7s} {label:10s} fill {filled:.4f}, churn {steady:.4f}"
            f" of the bound ({resource})"
        )
    return row


def main(_):
    workers = 24 if FLAGS.quick else 850
    results = {"seed": FLAGS.seed, "workers": workers, "churn_workers": CHURN_WORKERS}
    for name, capacity in CAPACITIES.items():
        for mix in MIXES:
            results[f"{name} {mix}"] = measure(name, capacity, mix, workers, FLAGS.seed)
    exact, worst = worst_true_use(Random(FLAGS.seed), CHURN_WORKERS, CAPACITIES["camara"])
    results["reservations_as_declared"], results["worst_true_use"] = exact, worst
    print(f"reservations as declared: {exact}, while a worker's true use reached {worst:.2f}")
    results["target_met"] = {
        f"{name} {mix} {run}": results[f"{name} {mix}"]["indexed"][run] >= TARGET
        for name in CAPACITIES
        for mix in MIXES
        for run in ("fill", "churn")
    }
    for key, met in results["target_met"].items():
        print(f"target {TARGET} {key}: {'met' if met else 'MISSED'}")
    if FLAGS.json:
        Path(FLAGS.json).write_text(dumps(results, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    app.run(main)
