"""Throughput, latency, processor time and idle cost of one replicated group of three members.

Throughput is in log entries a second, latency in ms, processor time in us for each entry or in ms a
second. All replicas run in one process, so processor time is that of the whole group. Messages are
serialized and passed in memory; the logs are real files in a temporary directory.

Usage: python -m bench.log [--seconds N] [--idle_seconds N] [--folder DIRECTORY]
"""

from contextlib import asynccontextmanager
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic, process_time

from absl import app, flags
from anyio import CapacityLimiter, create_task_group, run, sleep
from anyio.to_thread import run_sync
from hdrh.histogram import HdrHistogram
from structlog import configure, make_filtering_bound_logger

from siskintally.group import BATCH_ITEMS, Group
from siskintally.journal import bootstrap_replica
from siskintally.records import append_and_sync
from siskintally.session import wrap
from siskintally.state_machine import StateMachine

NAMES = ("s1", "s2", "s3")
COMMAND = b"x" * 200
CALLERS = (1, 16, 256)
ERROR_LEVEL = 40
SYNC_PROBES = 200

FLAGS = flags.FLAGS
flags.DEFINE_float("seconds", 3.0, "Length of each measurement, s.")
flags.DEFINE_float("idle_seconds", 10.0, "Length of the idle measurement, s.")
flags.DEFINE_string("folder", None, "Directory of the data, by default that for temporary files.")


class CountingMachine(StateMachine):
    """State machine that counts commands."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0

    def apply(self, *, index, command):
        """Count a command."""
        self.count += 1
        return b""

    def snapshot(self):
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data):
        """Replace the count."""
        self.count = int(data)


class Traffic:
    """Delivers and counts the messages between the replicas of one group."""

    __slots__ = ("bytes", "group_by_name", "messages")

    def __init__(self):
        self.group_by_name = {}
        self.bytes = 0
        self.messages = 0

    def send(self, to, body):
        """Count the bytes of a frame and deliver the message."""
        data = wrap(body).SerializeToString()
        self.bytes += len(data)
        self.messages += 1
        self.group_by_name[to].receive(type(body).FromString(body.SerializeToString()))
        return True


@asynccontextmanager
async def running_group(batch_items):
    """Yield (leader, traffic) of a running group."""
    with TemporaryDirectory(dir=FLAGS.folder) as folder:
        traffic = Traffic()
        bootstrap_replica(Path(folder) / NAMES[0], group="bench", name=NAMES[0])
        async with create_task_group() as tasks:
            for name in NAMES:
                group = Group(
                    name="bench",
                    process=name,
                    bootstrap_members=NAMES,
                    folder=Path(folder) / name,
                    state_machine=CountingMachine(),
                    send=traffic.send,
                    batch_items=batch_items,
                )
                traffic.group_by_name[name] = group
                tasks.start_soon(group.run)
            leader = await wait_leader(traffic)
            yield leader, traffic
            tasks.cancel_scope.cancel()


async def wait_leader(traffic):
    """Wait until all members are voters; return the leader."""
    while True:
        for group in traffic.group_by_name.values():
            if group.is_leader and sum(member.voter for member in group.members) == len(NAMES):
                return group
        await sleep(0.05)


async def propose_concurrently(leader, callers):
    """Propose from concurrent callers.

    :returns: entries a second, CPU us for each entry, histogram of latencies in us.
    """
    histogram = HdrHistogram(1, 60_000_000, 3)
    end = monotonic() + FLAGS.seconds
    cpu = process_time()

    async def propose():
        while monotonic() < end:
            started = monotonic()
            await leader.propose(COMMAND)
            histogram.record_value(max(1, int((monotonic() - started) * 1e6)))

    async with create_task_group() as tasks:
        for _ in range(callers):
            tasks.start_soon(propose)
    count = histogram.get_total_count()
    return count / FLAGS.seconds, (process_time() - cpu) / count * 1e6, histogram


async def measure_load(batch_items, label):
    """Print and return ``{callers: (entries a second, CPU us for each entry)}``."""
    rates = {}
    async with running_group(batch_items) as (leader, _):
        for callers in CALLERS:
            rate, cpu, histogram = await propose_concurrently(leader, callers)
            rates[callers] = (rate, cpu)
            p50, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
            print(
                f"{label} callers={callers:4d}: {rate:8.0f} entries/s, {cpu:7.0f} us CPU/entry, "
                f"p50 {p50:.2f} ms, p99 {p99:.2f} ms",
                flush=True,
            )
    return rates


async def measure_idle():
    """Print the processor time and the traffic of a group without commands."""
    async with running_group(BATCH_ITEMS) as (_, traffic):
        await sleep(1.0)
        size, messages, cpu = traffic.bytes, traffic.messages, process_time()
        await sleep(FLAGS.idle_seconds)
        cpu = (process_time() - cpu) / FLAGS.idle_seconds * 1000
        size = (traffic.bytes - size) / FLAGS.idle_seconds
        messages = (traffic.messages - messages) / FLAGS.idle_seconds
        print(
            f"idle: {cpu:.2f} ms CPU/s and {size:.0f} frame bytes/s in {messages:.1f} messages/s "
            f"for all three replicas; a third of it per replica, without the link"
        )


async def measure_sync():
    """Print the cost of an append and fsync in the event loop and in a thread."""
    limiter = CapacityLimiter(1)
    folder = TemporaryDirectory(dir=FLAGS.folder)
    with folder, open(Path(folder.name) / "log", "ab", buffering=0) as file:
        for label in ("inline", "thread"):
            times = []
            cpu = process_time()
            for _ in range(SYNC_PROBES):
                started = monotonic()
                if label == "inline":
                    append_and_sync(file, COMMAND)
                else:
                    await run_sync(append_and_sync, file, COMMAND, limiter=limiter)
                times.append(monotonic() - started)
            cpu = (process_time() - cpu) / SYNC_PROBES * 1e6
            print(f"sync {label}: {cpu:.0f} us CPU, median {median(times) * 1e6:.0f} us")


async def main():
    """Run all measurements, with and without group commit."""
    configure(wrapper_class=make_filtering_bound_logger(ERROR_LEVEL))
    await measure_sync()
    await measure_idle()
    with_group_commit = await measure_load(BATCH_ITEMS, "group commit on ")
    without_group_commit = await measure_load(1, "group commit off")
    for callers in CALLERS:
        rate = with_group_commit[callers][0] / without_group_commit[callers][0]
        cpu = with_group_commit[callers][1] / without_group_commit[callers][1]
        print(f"on/off at callers={callers}: entries/s x{rate:.2f}, CPU/entry x{cpu:.2f}")


if __name__ == "__main__":
    app.run(lambda argv: run(main))
