"""Share of the control budget that the owner of a domain group uses, without the transport.

142 workers send a heartbeat each 5 s, and 9 tasks start and end each second. The replicated group
is a fake that applies commands at once. Measures the processor time of the process (ms a second,
load generator included) and the bytes of the messages (bytes a second for each worker).

Usage: python -m bench.control [--json FILE] [--workers N] [--run_s N]
"""

from json import dumps
from pathlib import Path
from time import monotonic, process_time

from absl import app, flags
from anyio import create_memory_object_stream, create_task_group, run, sleep

from siskintally.domain import Domain
from siskintally.messages import Leadership
from siskintally.metrics import Metrics
from siskintally.owner import Owner
from siskintally.settings import GroupSettings
from siskintally.wire_pb2 import (
    AttemptState,
    Done,
    JobItem,
    JobReport,
    JobSpec,
    Resources,
    SyncReply,
    WorkerBeat,
)

FLAGS = flags.FLAGS
flags.DEFINE_string("json", "", "file for the results as JSON")
flags.DEFINE_integer("workers", 142, "workers of the group")
flags.DEFINE_float("run_s", 30.0, "length of the measurement, s")

BEAT_S = 5.0
STARTS_PER_S = 9
TASKS_PER_WORKER = 23
CAPACITY = Resources(cpu_milli=32_000, memory_mb=128_000)
TARGET_CPU_MS = 12.0
TARGET_BYTES_PER_WORKER = 9000


class FakeGroup:
    """Fake of a replicated group; this process leads it and commands are applied at once."""

    __slots__ = ("applied_index", "bytes", "is_leader", "leader", "machine", "name", "term")

    def __init__(self, *, machine):
        self.machine = machine
        self.name = "g"
        self.term = 1
        self.is_leader = True
        self.leader = "s1"
        self.applied_index = 0
        self.bytes = 0

    def watch(self):
        """Return a stream with the event that this process leads."""
        sender, receiver = create_memory_object_stream(4)
        sender.send_nowait(Leadership(term=1, leader="s1", is_leader=True))
        self.leader = "s1"
        _OPEN_SENDERS.append(sender)
        return receiver

    async def propose(self, command):
        """Apply a command."""
        self.applied_index += 1
        self.bytes += 2 * len(command)
        return self.machine.apply(index=self.applied_index, command=command)

    async def confirm_leadership(self, *, urgent=True):
        """Return at once, as after a completed quorum round."""


_OPEN_SENDERS = []


class FakeSettings:
    """Fake settings with one group."""

    __slots__ = ("group_by_name",)

    def __init__(self):
        group = GroupSettings(name="g", members=("s1",), domains=("d",))
        self.group_by_name = {"g": group}


class FakeCellAndWorkers:
    """Fake workers and a fake cell for one owner; counts the bytes of their messages."""

    __slots__ = ("_ended", "_items", "_seq", "bytes", "owner", "starts_by_worker")

    def __init__(self):
        self.owner = None
        self.bytes = 0
        self.starts_by_worker = {}
        self._ended = {}
        self._items = []
        self._seq = 0

    def send(self, body):
        """Process orders that the owner pushes."""
        self._process_orders(body)
        return True

    def _process_orders(self, orders):
        self.bytes += orders.ByteSize()
        worker = orders.session
        for start in orders.start:
            self.starts_by_worker.setdefault(worker, []).append((start.task_id, start.attempt))

    async def cell_call(self, body, *, timeout):
        """Answer a call of the owner as the cell does."""
        self.bytes += body.ByteSize()
        if isinstance(body, JobReport):
            return Done()
        while not self._items:
            await sleep(0.05)
        items, self._items = self._items, []
        self._seq += 1
        reply = SyncReply(index=self._seq, jobs=items)
        self.bytes += reply.ByteSize()
        return reply

    def submit(self, name, tasks, run_s):
        """Add a job to the next reply of the cell."""
        spec = JobSpec(
            name=name, tasks=tasks, each=Resources(cpu_milli=1000, memory_mb=2000), run_s=run_s
        )
        self._items.append(JobItem(job_id=name, spec=spec, tasks=tasks, changed_at=self._seq + 1))

    async def send_heartbeat(self, name, seq, *, full, states=()):
        """Send a heartbeat and process the orders in the reply."""
        beat = WorkerBeat(
            worker=name,
            domain="d",
            rack=f"r{int(name[1:]) // 8}",
            session=name,
            seq=seq,
            capacity=CAPACITY,
            full=full,
            attempts=states,
        )
        self.bytes += beat.ByteSize()
        self._process_orders(await self.owner.handle_call(self, beat))

    async def worker(self, name):
        """Send a heartbeat each 5 s with the changed attempts; end short tasks in the next one."""
        await sleep(int(name[1:]) % 50 / 10)
        seq, reported = 1, 0
        await self.send_heartbeat(name, seq, full=True)
        while True:
            await sleep(BEAT_S)
            seq += 1
            starts = self.starts_by_worker.get(name, [])
            states = [_state(attempt, AttemptState.RUNNING) for attempt in starts[reported:]]
            ended_attempts = [
                attempt for attempt in starts[:reported] if attempt[0].startswith("short")
            ]
            states += [_state(attempt, AttemptState.SUCCEEDED) for attempt in ended_attempts]
            self.starts_by_worker[name] = [
                attempt for attempt in starts if attempt not in ended_attempts
            ]
            reported = len(self.starts_by_worker[name])
            await self.send_heartbeat(name, seq, full=False, states=states)


def _state(attempt, state):
    used = Resources(cpu_milli=900, memory_mb=1800)
    return AttemptState(task_id=attempt[0], attempt=attempt[1], state=state, used=used)


async def measure(workers, run_s):
    """Return the figures of one run as a mapping."""
    fakes = FakeCellAndWorkers()
    domain = Domain(group="g")
    group = FakeGroup(machine=domain)
    fakes.owner = Owner(
        group=group,
        domain=domain,
        settings=FakeSettings(),
        cell_call=fakes.cell_call,
        metrics=Metrics(address=None, prefix="bench"),
    )
    async with create_task_group() as tasks:
        tasks.start_soon(fakes.owner.run)
        while fakes.owner.owner_term is None:
            await sleep(0.01)
        for number in range(workers):
            tasks.start_soon(fakes.worker, f"w{number}")
        fakes.submit("long", workers * TASKS_PER_WORKER, 0)
        await sleep(3 * BEAT_S)
        started, cpu_before, bytes_before, log_bytes_before = (
            monotonic(),
            process_time(),
            fakes.bytes,
            group.bytes,
        )
        number = 0
        while monotonic() - started < run_s:
            number += 1
            fakes.submit(f"short{number}", STARTS_PER_S, 5)
            await sleep(1.0)
        elapsed_s = monotonic() - started
        result = {
            "workers": workers,
            "cpu_ms_per_s": (process_time() - cpu_before) * 1000 / elapsed_s,
            "message_bytes_per_s": (fakes.bytes - bytes_before) / elapsed_s,
            "log_bytes_per_s": (group.bytes - log_bytes_before) / elapsed_s,
            "running": sum(job.running for job in domain.job_by_id.values()),
        }
        tasks.cancel_scope.cancel()
    return result


def main(_):
    """Print the figures with their ratios to the targets, and write the JSON file."""
    result = run(measure, FLAGS.workers, FLAGS.run_s)
    bytes_per_worker = (result["message_bytes_per_s"] + result["log_bytes_per_s"]) / FLAGS.workers
    result["bytes_per_s_per_worker"] = bytes_per_worker
    result["cpu_ratio_to_target"] = result["cpu_ms_per_s"] / TARGET_CPU_MS
    result["bytes_ratio_to_target"] = bytes_per_worker / TARGET_BYTES_PER_WORKER
    print(
        f"{result['workers']} workers, {result['running']} tasks: {result['cpu_ms_per_s']:.1f} ms"
        f" CPU a second ({result['cpu_ratio_to_target']:.2f} of the target, load generator"
        f" included), {bytes_per_worker:.0f} bytes a second for each worker"
    )
    if FLAGS.json:
        Path(FLAGS.json).write_text(dumps(result, indent=2) + "\n", encoding="utf-8")


if __name__ == "__main__":
    app.run(main)
