"""Cost of the state that roles keep, at three sizes of each.

Measures the memory (bytes), the time to build it (us), and the size (kB) and time (ms) of a
snapshot. The JSON has the slopes for each item, in bytes and seconds.

Usage: python -m bench.state
"""

import json
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from bench.meter import fit_line
from siskintally.announcement import AnnouncementTable, parse_announcement
from siskintally.cell import Cell
from siskintally.cell_state_pb2 import Command, GroupInfo
from siskintally.config import DEFAULT_DOCUMENT
from siskintally.ledger import Ledger
from siskintally.wire_pb2 import JobSpec, LedgerBegin, LedgerFinish, Resources, StoredAnswer

LEDGER_SIZES = (5_000, 20_000, 60_000)
JOB_SIZES = (1_000, 3_000, 6_000)
ENDPOINT_SIZES = (100, 400, 1_600)
ANSWER_BYTES = 200
DAY_S = 86_400.0


class Point:
    """Costs of a state of one size.

    :param build_s: seconds to build the state.
    :param memory: bytes of memory that it uses.
    :param snapshot: size of its snapshot in bytes, 0 if it has none.
    :param snapshot_s: seconds to take the snapshot.
    """

    __slots__ = ("build_s", "memory", "size", "snapshot", "snapshot_s")

    def __init__(self, *, size, build_s, memory, snapshot, snapshot_s):
        self.size = size
        self.build_s = build_s
        self.memory = memory
        self.snapshot = snapshot
        self.snapshot_s = snapshot_s


def measure(build, size):
    """Build a state twice, because tracing memory slows it down: for time, then for memory."""
    before = perf_counter()
    state = build(size)
    build_s = perf_counter() - before
    snapshot, snapshot_s = b"", 0.0
    if hasattr(state, "snapshot"):
        before = perf_counter()
        snapshot = state.snapshot()
        snapshot_s = perf_counter() - before
    del state
    start()
    states = [build(size)]
    memory = get_traced_memory()[0]
    stop()
    states.clear()
    return Point(
        size=size,
        build_s=build_s,
        memory=memory,
        snapshot=len(snapshot),
        snapshot_s=snapshot_s,
    )


def build_ledger(size):
    """Return a ledger with answered orders, spread over a day."""
    state = Ledger()
    answer = StoredAnswer(status=200, content_type="application/json", body=b"x" * ANSWER_BYTES)
    for number in range(size):
        now = number * DAY_S / size
        key, attempt = f"jylland-a/order-{number}", f"entry-1-{number}"
        state.begin(LedgerBegin(key=key, caller="c", digest=b"d" * 32, attempt=attempt), now)
        state.finish(LedgerFinish(key=key, attempt=attempt, answer=answer), now)
    return state


def build_cell(size):
    """Return a cell with one configuration and jobs of 44 teams."""
    state = Cell()
    groups = [GroupInfo(name=f"domain-{n}", domains=[f"domain-{n}"]) for n in range(6)]
    for group in groups:
        group.capacity.workers = 142
        for resources in (group.capacity.total, group.capacity.free, group.capacity.largest):
            resources.CopyFrom(Resources(cpu_milli=4_544_000, memory_mb=18_000_000))
    document = DEFAULT_DOCUMENT + "".join(
        f"[teams.team-{n}]\ncpu_milli = 600000000\nmemory_mb = 2000000000\n" for n in range(44)
    )
    configure = Command(at=1.0, request_id="config", operator="bench", digest=b"d")
    configure.set_config.document = document
    state.apply(index=1, command=configure.SerializeToString())
    for number in range(size):
        command = Command(at=2.0, request_id=f"r{number}", operator="bench", digest=b"d")
        command.groups.extend(groups)
        spec = JobSpec(name=f"route-{number}", team=f"team-{number % 44}", tasks=3)
        spec.each.CopyFrom(Resources(cpu_milli=1000, memory_mb=2000))
        command.submit_job.spec.CopyFrom(spec)
        state.apply(index=number + 2, command=command.SerializeToString())
    return state


def build_announcements(size):
    """Return an announcement table with endpoints of 20 services."""
    table = AnnouncementTable(domain="jylland-a")
    for number in range(size):
        fields = {
            "name": f"endpoint-{number}",
            "service": f"service-{number % 20}",
            "domain": "jylland-a",
            "slots": 8,
            "connections": 64,
            "url": f"http://127.0.0.1:{10000 + number}",
            "incarnation": 1,
            "seq": 1,
            "state": "serving",
        }
        table.record(parse_announcement(fields), age_s=0.0, now=1.0)
    return table


STATES = (
    ("ledger record", build_ledger, LEDGER_SIZES),
    ("job", build_cell, JOB_SIZES),
    ("endpoint", build_announcements, ENDPOINT_SIZES),
)


def main():
    """Print the points, and the slopes as JSON."""
    slopes = {}
    print(f"{'state':16} {'size':>8} {'build us each':>14} {'bytes each':>11} {'snapshot':>12}")
    for name, build, sizes in STATES:
        points = [measure(build, size) for size in sizes]
        for point in points:
            print(
                f"{name:16} {point.size:8} {point.build_s / point.size * 1e6:14.1f} "
                f"{point.memory / point.size:11.0f} "
                f"{point.snapshot / 1000:9.0f} kB {point.snapshot_s * 1000:7.1f} ms"
            )
        key = name.replace(" ", "_")
        slopes[f"{key}_bytes"] = fit_line([(p.size, p.memory) for p in points])[0]
        slopes[f"{key}_s"] = fit_line([(p.size, p.build_s) for p in points])[0]
        slopes[f"{key}_snapshot_bytes"] = fit_line([(p.size, p.snapshot) for p in points])[0]
        slopes[f"{key}_snapshot_s"] = fit_line([(p.size, p.snapshot_s) for p in points])[0]
    print(json.dumps(slopes))


if __name__ == "__main__":
    main()
