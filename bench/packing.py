"""Packing efficiency of placement, compared with first fit, best fit and the upper bound.

Efficiency is a share of the upper bound, which is the total capacity of the scarcer resource. Fill:
an empty pool is offered a fixed list of tasks that needs all of the scarcer resource. Churn: tasks
end and new ones are submitted, so that the queue is never empty. A churn of all kinds of jobs also
gives the waiting times of gangs (seconds) and the spread of services, which would show packing at
the cost of starvation.

Usage: python -m bench.packing [--json FILE] [--seed N] [--quick] [--check]
"""

from json import dumps
from pathlib import Path
from random import Random
from sys import exit as exit_process

from absl import app, flags

from bench.churn import ENDS_PER_WORKER, Churn, IndexedPool, ScanPool, reservations_as_declared
from siskintally.size import NO_RESOURCES, Size
from siskintally.workload import Job, Kind

FLAGS = flags.FLAGS
flags.DEFINE_string("json", "", "file for the results as JSON")
flags.DEFINE_integer("seed", 1, "seed of the workload")
flags.DEFINE_bool("quick", False, "24 workers instead of 850")
flags.DEFINE_bool("check", False, "exit with 1 when a target is missed")

TARGET = 0.97
CAPACITY_BY_NAME = {
    "fjeldrute": Size(cpu=32_000, memory=128_000),
    "camara": Size(cpu=32_000, memory=64_000),
}
MAX_SIZE_ERROR = 10
CHURN_WORKERS = 100
CPU_SIZES_BY_MIX = {
    "common": (250, 500, 500, 1000, 1000, 2000, 2000, 4000, 8000),
    "large": (700, 1900, 3100, 4700, 6100, 7300, 9700, 11_300, 13_100),
}
# Shares of gangs and services in the churn of all kinds, and the largest number of tasks of a job.
GANGS, SERVICES, MAX_TASKS = 0.05, 0.15, 8


def sizes(random, capacity, mix):
    """Yield sizes of tasks whose memory per core varies around that of the workers."""
    per_core = capacity.memory / capacity.cpu
    while True:
        cpu = random.choice(CPU_SIZES_BY_MIX[mix])
        yield Size(cpu=cpu, memory=max(1, int(cpu * per_core * random.uniform(0.2, 1.4))))


def batch_shapes(random, capacity, mix):
    """Yield (kind, size, number of tasks) of batch jobs with one task."""
    for need in sizes(random, capacity, mix):
        yield Kind.BATCH, need, 1


def all_shapes(random, capacity, mix):
    """Yield (kind, size, number of tasks) of batch jobs, services and gangs."""
    for need in sizes(random, capacity, mix):
        draw = random.random()
        if draw < GANGS:
            yield Kind.GANG, need, random.randint(2, MAX_TASKS)
        elif draw < GANGS + SERVICES:
            yield Kind.SERVICE, need, random.randint(2, MAX_TASKS)
        else:
            yield Kind.BATCH, need, 1


def full_list(random, total, capacity, mix):
    """Return tasks that need all of the scarcer resource of ``total``, and its name."""
    tasks, used = [], NO_RESOURCES
    for need in sizes(random, capacity, mix):
        if not (used + need).fits_in(total):
            break
        tasks.append(need)
        used += need
    memory_is_scarcer = used.memory / total.memory > used.cpu / total.cpu
    return tasks, "memory" if memory_is_scarcer else "cpu"


def fill_share(pool, tasks, resource):
    """Offer tasks one by one; return the placed share of them, by the scarcer resource."""
    offered, placed = 0, 0
    for number, need in enumerate(tasks):
        job = Job(job_id=f"f{number}", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0)
        amount = getattr(need, resource)
        offered += amount
        pool.submit(job)
        if pool.step(0.0):
            placed += amount
        else:
            pool.drop(job)
    return placed / offered


def largest_actual_use(random, workers, capacity):
    """Place tasks whose actual use is up to 10 times more or less than the declared size.

    :returns: whether each worker's reservations equal the declared sizes, and the largest actual
        use of a worker as a share of its capacity.
    """
    pool, largest = IndexedPool(workers=workers, capacity=capacity), 0.0
    task_sizes = sizes(random, capacity, "common")
    for number in range(workers * 20):
        need = next(task_sizes)
        pool.submit(Job(job_id=f"j{number}", kind=Kind.BATCH, need=need, tasks=1, submitted=0.0))
        pool.step(0.0)
    for worker in pool.placement.pool.worker_by_name.values():
        actual = sum(
            task.job.need.cpu * MAX_SIZE_ERROR ** random.uniform(-1, 1)
            for task in worker.allocation_by_task.values()
        )
        largest = max(largest, actual / capacity.cpu)
    return reservations_as_declared(pool.placement), largest


def measure(name, capacity, mix, workers, seed):
    """Return the fill and the churn of batch tasks, for the placement and the baselines."""
    pools = {
        "indexed": lambda count: IndexedPool(workers=count, capacity=capacity),
        "first_fit": lambda count: ScanPool(workers=count, capacity=capacity, best_fit=False),
        "best_fit": lambda count: ScanPool(workers=count, capacity=capacity, best_fit=True),
    }
    tasks, resource = full_list(Random(seed), capacity.scaled(workers), capacity, mix)
    row = {"scarcer": resource, "tasks": len(tasks)}
    for label, make_pool in pools.items():
        filled = fill_share(make_pool(workers), tasks, resource)
        shapes = batch_shapes(Random(seed), capacity, mix)
        churn = run_churn(make_pool(CHURN_WORKERS), shapes, CHURN_WORKERS, capacity, seed)
        longest = _longest_wait_s(churn, Kind.BATCH)
        row[label] = {"fill": filled, "churn": churn.mean_use, "longest_wait_s": longest}
        print(
            f"{name:10s} {mix:7s} {label:10s} fill {filled:.4f}, churn {churn.mean_use:.4f}"
            f" of the bound ({resource}), longest wait {longest:.0f} s"
        )
    return row


def run_churn(pool, shapes, workers, capacity, seed):
    """Return a finished :class:`~bench.churn.Churn`."""
    total = workers * capacity.cpu
    churn = Churn(pool=pool, shapes=shapes, random=Random(seed), total_cpu=total)
    return churn.run(workers * ENDS_PER_WORKER)


def measure_all_kinds(name, capacity, mix, workers, seed):
    """Return the use, the waiting times and the spread of services in a churn of all kinds."""
    pool = IndexedPool(workers=workers, capacity=capacity)
    churn = run_churn(pool, all_shapes(Random(seed), capacity, mix), workers, capacity, seed)
    row = {"workers": workers, "churn": churn.mean_use}
    row["as_declared"] = reservations_as_declared(pool.placement)
    for kind in Kind:
        waits = sorted(churn.waits_by_kind[kind]) or [0.0]
        row[kind.name.lower()] = {
            "started": len(waits),
            "p50_s": waits[len(waits) // 2],
            "p99_s": waits[len(waits) * 99 // 100],
            "longest_s": _longest_wait_s(churn, kind),
        }
    spreads = churn.spreads
    row["domains"] = sum(spread.domains for spread in spreads) / sum(
        spread.possible_domains for spread in spreads
    )
    row["racks"] = sum(spread.racks for spread in spreads) / sum(
        spread.possible_racks for spread in spreads
    )
    gangs = row["gang"]
    print(
        f"{name:10s} {mix:7s} all kinds, {workers} workers: churn {churn.mean_use:.4f}; gangs"
        f" ({gangs['started']}) wait p50 {gangs['p50_s']:.1f} s, p99 {gangs['p99_s']:.1f} s,"
        f" longest {gangs['longest_s']:.1f} s; services use {row['domains']:.3f} of the domains"
        f" and {row['racks']:.3f} of the racks they could; as declared: {row['as_declared']}"
    )
    return row


def _longest_wait_s(churn, kind):
    return max(churn.waits_by_kind[kind] + churn.unfinished_waits_s(kind), default=0.0)


def main(_):
    """Run all measurements; print the figures and the targets, and write the JSON file."""
    workers = 24 if FLAGS.quick else 850
    results = {"seed": FLAGS.seed, "workers": workers, "churn_workers": CHURN_WORKERS}
    met = results["target_met"] = {}
    for name, capacity in CAPACITY_BY_NAME.items():
        for mix in CPU_SIZES_BY_MIX:
            row = results[f"{name} {mix}"] = measure(name, capacity, mix, workers, FLAGS.seed)
            for run in ("fill", "churn"):
                met[f"{TARGET} {name} {mix} {run}"] = row["indexed"][run] >= TARGET
    for mix in CPU_SIZES_BY_MIX:
        for count in sorted({workers, CHURN_WORKERS}):
            row = measure_all_kinds("camara", CAPACITY_BY_NAME["camara"], mix, count, FLAGS.seed)
            results[f"all kinds {mix} {count}"] = row
            met[f"no overcommitment, all kinds {mix} {count}"] = row["as_declared"]
            met[f"{TARGET} all kinds {mix} {count}"] = row["churn"] >= TARGET
    as_declared, largest = largest_actual_use(
        Random(FLAGS.seed), CHURN_WORKERS, CAPACITY_BY_NAME["camara"]
    )
    results["reservations_as_declared"], results["worst_true_use"] = as_declared, largest
    met["reservations as declared"] = as_declared
    print(
        f"reservations as declared: {as_declared}, while a worker's true use reached {largest:.2f}"
    )
    for key, is_met in met.items():
        print(f"target {key}: {'met' if is_met else 'MISSED'}")
    if FLAGS.json:
        Path(FLAGS.json).write_text(dumps(results, indent=2) + "\n", encoding="utf-8")
    if FLAGS.check and not all(met.values()):
        exit_process(1)


if __name__ == "__main__":
    app.run(main)
