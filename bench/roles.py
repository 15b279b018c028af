"""Processor time (share of a core) and memory (MB) of the processes of a running cell.

Usage: python -m bench.roles RUN_FOLDER [seconds]

RUN_FOLDER holds the ``<process>.pid`` files that scripts/cell.sh writes.
"""

import json
from pathlib import Path
from sys import argv
from time import sleep

from bench.meter import process_cpu_seconds, resident_mb

DEFAULT_SECONDS = 20.0
CPU_BUDGET = 0.012
MEMORY_BUDGET_MB = 256.0


def cpu_by_name(pid_by_name):
    """Return ``{process name: CPU seconds so far}``."""
    return {name: process_cpu_seconds(pid) for name, pid in pid_by_name.items()}


def main():
    """Print a row for each process, the largest values of each role, and JSON."""
    folder = Path(argv[1])
    seconds = float(argv[2]) if len(argv) > 2 else DEFAULT_SECONDS
    pid_by_name = {path.stem: int(path.read_text()) for path in sorted(folder.glob("*.pid"))}
    pid_by_name = {name: pid for name, pid in pid_by_name.items() if Path(f"/proc/{pid}").exists()}
    before = cpu_by_name(pid_by_name)
    sleep(seconds)
    after = cpu_by_name(pid_by_name)
    rows = {}
    print(f"{'process':24} {'core %':>8} {'MB':>6}")
    for name, pid in pid_by_name.items():
        core = (after[name] - before[name]) / seconds
        rows[name] = {"core": core, "mb": resident_mb(pid)}
        print(f"{name:24} {core * 100:8.2f} {rows[name]['mb']:6.0f}")
    for role in ("store", "entry"):
        role_rows = [row for name, row in rows.items() if f"-{role}-" in name]
        if role_rows:
            core = max(row["core"] for row in role_rows)
            memory = max(row["mb"] for row in role_rows)
            print(
                f"{role}: most {core * 100:.2f}% of a core, {core / CPU_BUDGET:.2f} of the budget; "
                f"{memory:.0f} MB, {memory / MEMORY_BUDGET_MB:.2f} of the budget"
            )
    print(json.dumps(rows))


if __name__ == "__main__":
    main()
