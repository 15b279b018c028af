"""Admission rules against each other; run ``python -m bench.admission``."""

from pathlib import Path
from sys import argv
from tempfile import TemporaryDirectory

from anyio import run
from httpx import AsyncClient

from bench.entry import SERVICE_MS, SLOTS, STUBS, measure, print_row, row
from siskintally.admission_trials import ADMISSION_BY_NAME
from tests.entry_net import Net
from tests.processes import Processes

LOADS = (0.5, 0.9, 2)


async def compare(name, seconds):
    """Measure one rule."""
    with TemporaryDirectory() as folder, Processes(folder=Path(folder)) as processes:
        net = Net(processes=processes, entries={"e1": "jylland-a"})
        async with AsyncClient(timeout=30.0) as net.client:
            net.start_entry("e1", "--admission", name)
            for number in range(STUBS):
                net.start_stub(f"p{number}", "--service_ms", SERVICE_MS, "--slots", SLOTS)
            await net.wait_known(STUBS)
            await net.wait_served("e1")
            for load in LOADS:
                path = "/call/seat-count/boarding"
                result, cpu = await measure(
                    net, path=path, names=["e1"], load=load, seconds=seconds
                )
                print_row(row(load, "entry", result, cpu))


async def main(names, seconds):
    """Measure the rules in turn."""
    for name in names:
        print(name, flush=True)
        await compare(name, seconds)


if __name__ == "__main__":
    run(main, argv[2:] or list(ADMISSION_BY_NAME), float(argv[1]) if len(argv) > 1 else 12.0)
