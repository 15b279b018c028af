"""Time in ms of one pass of a loaded leader: 176 workers, 300 and 600 waiting batch steps.

Three cases of steps with one task: no free advice client, six free ones, and steps that need no
permit and start. A fourth case starts ten tasks of each of ten urgent steps. With --before, the
same passes are measured with the sources of another working tree in the same run.

Usage: python -m bench.flow_pass [--before FOLDER] [--rounds N]
"""

from os import environ
from pathlib import Path
from statistics import median
from subprocess import run
from sys import executable
from time import perf_counter
from types import SimpleNamespace

from absl import app, flags
from structlog import configure, make_filtering_bound_logger

from siskintally.advice_client_pool import AdviceClientPool
from siskintally.control_pb2 import AdviceTerms, Flow, FlowStep, PoolWorker, Queue
from siskintally.counters import Counters
from siskintally.driver import WorkerReport
from siskintally.flow_dispatcher import FlowDispatcher
from siskintally.flow_scheduler import FlowScheduler

FLAGS = flags.FLAGS
flags.DEFINE_string("before", "", "working tree whose sources are measured too")
flags.DEFINE_integer("rounds", 5, "measured leaders per case")

WORKERS = 176
STEPS = (300, 600)
WIDE_STEPS = 10
WIDE_TASKS = 10
CLIENTS = 6
TERMS = AdviceTerms(decide_ms=20, per_worker_ms=1, valid_ms=2000)
# Level of the log above that of the line for each start.
WARNING = 30


def loaded_leader(steps, *, terms, busy_clients, tasks=1, priority=2):
    """Return the dispatcher of a leader with a backlog of flows of one step each."""
    scheduler = FlowScheduler(term=1)
    for number in range(WORKERS):
        record = PoolWorker(id=f"w{number}", service="s", cpu_milli=8000, memory_mb=8000)
        scheduler.join(record)
        worker = scheduler.worker_by_id[record.id]
        scheduler.apply_report(worker, WorkerReport(clock_ms=0), 0.0, 0.0)
    queue = Queue(
        name="q", service="s", priority=priority, max_attempts=3, stretch=1.5, advice=terms
    )
    for number in range(steps):
        step = FlowStep(tasks=tasks, cpu_milli=1000, memory_mb=10, estimate_ms=1000)
        scheduler.accept(Flow(id=f"f{number:03d}", queue="q", steps=[step]), queue, now=0.0)
    pool = AdviceClientPool(
        clients=lambda: [SimpleNamespace(name=f"c{number}") for number in range(CLIENTS)]
    )
    for _ in range(busy_clients):
        pool.acquire(is_quick=True)
    leader = SimpleNamespace(
        scheduler=scheduler, term=1, manager_of=lambda worker_id: None, request_pass=lambda: None
    )
    return FlowDispatcher(leader=leader, advice_pool=pool, counters=Counters())


def pass_ms(steps, **case):
    """Return the median time of the first pass of a loaded leader, ms."""
    times = []
    tasks = SimpleNamespace(start_soon=lambda function, *arguments: None)
    for _ in range(FLAGS.rounds):
        dispatcher = loaded_leader(steps, **case)
        started_at = perf_counter()
        dispatcher.run_pass(1.0, 0, tasks)
        times.append((perf_counter() - started_at) * 1000)
    return median(times)


def measure_before(folder):
    """Measure with the sources of another working tree, in a process of its own."""
    command = [executable, str(Path(__file__).resolve()), f"--rounds={FLAGS.rounds}"]
    environment = environ | {"PYTHONPATH": str(Path(folder).resolve())}
    run(command, env=environment, check=True)


def main(_):
    """Print the time of each case."""
    configure(wrapper_class=make_filtering_bound_logger(WARNING))
    if FLAGS.before:
        print(f"before ({FLAGS.before}):", flush=True)
        measure_before(FLAGS.before)
        print("after:")
    for steps in STEPS:
        no_client = pass_ms(steps, terms=TERMS, busy_clients=CLIENTS)
        free = pass_ms(steps, terms=TERMS, busy_clients=0)
        starts = pass_ms(steps, terms=None, busy_clients=0)
        print(
            f"{steps} steps: no free client {no_client:.1f} ms, {CLIENTS} free {free:.1f} ms,"
            f" starts {starts:.1f} ms",
            flush=True,
        )
    wide = pass_ms(WIDE_STEPS, terms=None, busy_clients=0, tasks=WIDE_TASKS, priority=0)
    print(f"{WIDE_STEPS} steps of {WIDE_TASKS} tasks: starts {wide:.1f} ms", flush=True)


if __name__ == "__main__":
    app.run(main)
