"""Request latency under each balancing policy: slow endpoint, lost endpoint, restart of an entry.

Each run has three parts of the given length: before, during and after the fault. Latencies are in
milliseconds; the ratios are against the part before the fault. The last line of the output is JSON.

Usage: python -m bench.balancing [SECONDS] [POLICY ...]
"""

from json import dumps
from pathlib import Path
from sys import argv
from tempfile import TemporaryDirectory

from anyio import create_task_group, run
from httpx import AsyncClient

from bench.entry import targets
from bench.load import Kind, Load
from siskintally.balancer import BALANCER_BY_NAME
from siskintally.codes import not_run
from tests.entry_net import EntryNetwork
from tests.processes import Processes, wait_until

STUBS = 3
SLOTS = 8
SERVICE_MS = 200
SLOW_MS = 1000
# Requests a second; two of the three endpoints can serve 80.
RATE = 64.0
SECONDS = 5.0
SEED = 20260
ENTRIES = {"e1": "jylland-a", "e2": "jylland-a"}
KINDS = [
    Kind(
        name="normal",
        weight=1.0,
        headers=[("siskintally-class", "normal"), ("siskintally-deadline-ms", "4000")],
        deadline_s=4.0,
    )
]


async def make_slow(net):
    """Make one of the endpoints five times slower."""
    await net.set_behaviour("p0", service_ms=SLOW_MS)


async def lose_endpoint(net):
    """Kill an endpoint; its last announcement stays valid for up to 3 s."""
    net.processes.kill("p0")


async def restart_entry(net):
    """Stop an entry by SIGTERM and start it again."""
    net.processes.popen_by_name["e1"].terminate()
    await wait_until(lambda: not net.processes.is_running("e1"), "e1 stops")
    net.start_entry("e1")


FAULTS = {"slow endpoint": make_slow, "lost endpoint": lose_endpoint, "entry": restart_entry}


async def measure_fault(policy, fault, seconds):
    """Return the figures before, during and after a fault under a policy."""
    with TemporaryDirectory() as folder, Processes(folder=Path(folder)) as processes:
        net = EntryNetwork(processes=processes, entries=ENTRIES)
        async with AsyncClient(timeout=30.0) as net.client:
            for name in ENTRIES:
                net.start_entry(name, "--balancer", policy)
            for number in range(STUBS):
                net.start_stub(f"p{number}", "--service_ms", SERVICE_MS, "--slots", SLOTS)
            await net.wait_endpoints(STUBS)
            for name in ENTRIES:
                await net.wait_serving(name)
            load = Load(
                targets=targets(net, ENTRIES), path="/call/seat-count/x", kinds=KINDS, seed=SEED
            )
            before = await load.run(rate=RATE, seconds=seconds)
            async with create_task_group() as tasks:
                tasks.start_soon(FAULTS[fault], net)
                during = await load.run(rate=RATE, seconds=seconds)
            after = await load.run(rate=RATE, seconds=seconds)
            await load.close()
    return [figures(result) for result in (before, during, after)]


def figures(result):
    """Return the figures of one part: latencies in ms, the share not run, counts by code."""
    codes = result.codes()
    done = result.all_done()
    total = sum(codes.values())
    return {
        "mean_ms": done.mean_ms(),
        "p50_ms": done.ms(50),
        "p99_ms": done.ms(99),
        "not_run": sum(count for code, count in codes.items() if code and not_run(code)) / total,
        "client_lag_p99_ms": result.lag.ms(99),
        "codes": {str(code): count for code, count in sorted(codes.items())},
    }


async def main(seconds, policies):
    """Measure all policies under all faults; print the figures and JSON."""
    rows = []
    for fault in FAULTS:
        for policy in policies:
            parts = await measure_fault(policy, fault, seconds)
            rows.append({"fault": fault, "policy": policy, "parts": parts})
            base, mean = parts[0]["p99_ms"], parts[0]["mean_ms"]
            print(f"{fault}, {policy}", flush=True)
            for name, part in zip(("before", "during", "after"), parts, strict=True):
                print(
                    f"  {name:<6} mean={part['mean_ms']:.0f} ms (x{part['mean_ms'] / mean:.2f}) "
                    f"p50={part['p50_ms']:.0f} ms p99={part['p99_ms']:.0f} ms "
                    f"(x{part['p99_ms'] / base:.2f}) not run={part['not_run']:.1%} "
                    f"client lag p99={part['client_lag_p99_ms']:.0f} ms codes={part['codes']}",
                    flush=True,
                )
    print(dumps(rows))


if __name__ == "__main__":
    run(main, float(argv[1]) if len(argv) > 1 else SECONDS, argv[2:] or list(BALANCER_BY_NAME))
