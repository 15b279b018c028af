"""Writes docs/CAPACITY.md from measured slopes; measures nothing itself.

The slopes are the JSON lines that bench.domain_load, bench.state, bench.link and bench.layout
print, kept in bench/results/.

Usage: python -m bench.capacity
"""

import json
from pathlib import Path

from bench.regions import ENDPOINTS

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "bench" / "results"
TEMPLATE = ROOT / "bench" / "capacity.template.md"

WORKERS = 850
TASKS = 20_000
JOBS_PER_DAY = 6_300
STARTS_PER_S = 54
CHANGES_PER_DAY = 2_100
TEAMS = 44
DOMAINS = 6
CONTROL_VMS = 9
VM_LOSSES_PER_DAY = 131
CORE_BUDGET = 0.012
MEMORY_BUDGET_MB = 256
BYTES_BUDGET = 9_000
DAY_S = 86_400
ORDERS_PER_HOUR = 3_600


def load_figures(name):
    """Return the figures that a benchmark has printed as its last line."""
    text = (RESULTS / f"{name}.txt").read_text(encoding="utf-8").strip()
    return json.loads(text.splitlines()[-1])


def verdict(value, budget):
    """Return as text whether a figure is within its budget, with the margin or the excess."""
    ratio = value / budget
    if ratio <= 1:
        return f"within, margin {100 * (1 - ratio):.0f}%"
    return f"**short by {100 * (ratio - 1):.0f}%**"


class Leader:
    """Cost of a store that leads a domain group and the cell group.

    :param slopes: figures of bench.domain_load.
    :param workers: number of workers of the group.
    :param starts: task starts a second in the group.
    """

    __slots__ = ("bytes_s", "core", "mb", "starts", "workers")

    def __init__(self, *, slopes, workers, starts):
        self.workers = workers
        self.starts = starts
        self.core = (
            slopes["leader_core_base"]
            + slopes["leader_core_per_worker"] * workers
            + slopes["leader_core_per_start_s"] * starts
        )
        self.mb = slopes["leader_mb_base"] + slopes["leader_mb_per_worker"] * workers
        self.bytes_s = (
            (slopes["store_bytes_s_base"] + slopes["worker_bytes_s_base"])
            + slopes["worker_bytes_s_per_worker"] * workers
            + (slopes["store_bytes_s_per_start_s"] + slopes["worker_bytes_s_per_start_s"]) * starts
        )

    def row(self, label):
        """Return a row of the table of leaders."""
        return (
            f"| {label} | {self.workers} | {self.starts:.1f} | {100 * self.core:.2f}% "
            f"({verdict(self.core, CORE_BUDGET)}) | {self.mb:.0f} MB "
            f"({verdict(self.mb, MEMORY_BUDGET_MB)}) | {self.bytes_s:.0f} B/s "
            f"({verdict(self.bytes_s, BYTES_BUDGET)}) |"
        )


def leader_rows(slopes):
    """Yield rows for groups of a failure domain and of a region, on an ordinary day and at peak."""
    for label, groups in (("group a failure domain", DOMAINS), ("group a region", 2)):
        workers = round(WORKERS / groups)
        daily_starts = TASKS / DAY_S / groups
        for state, starts in (("ordinary day", daily_starts), ("peak", STARTS_PER_S / groups)):
            yield Leader(slopes=slopes, workers=workers, starts=starts).row(f"{label}, {state}")
    yield Leader(slopes=slopes, workers=round(10 * WORKERS / DOMAINS), starts=90).row(
        "group a failure domain at ten times the size, peak"
    )


def state_rows(state):
    """Yield rows of the state that each role keeps, with its memory and snapshot cost."""
    orders = ORDERS_PER_HOUR * 24 / DOMAINS
    kinds = (
        ("request ledger, a domain group", "ledger_record", orders, "orders kept 24 h"),
        ("jobs, the cell group", "job", JOBS_PER_DAY * 2, "jobs, ended ones kept 24 h"),
        ("announcements, an entry", "endpoint", WORKERS / DOMAINS, "endpoints of its domain"),
    )
    for label, key, count, what in kinds:
        memory = state[f"{key}_bytes"] * count / 1e6
        snapshot = state[f"{key}_snapshot_bytes"] * count / 1e6
        stall = state[f"{key}_snapshot_s"] * count * 1000
        yield (
            f"| {label} | {count:,.0f} {what} | {memory:.1f} MB | {snapshot:.1f} MB | "
            f"{stall:.0f} ms |"
        )


def layout_rows(layout):
    """Yield rows of the VMs of the whole layout, by load and whether they lead a domain group."""
    leading = {store.partition("-")[0] for store in layout["leaders"].values()}
    kinds = (
        ("leads a domain group", True),
        ("leads no domain group; one of them the cell group", False),
    )
    for label, leads in kinds:
        for state in ("idle", "busy"):
            vms = [row for vm, row in layout[state].items() if (vm in leading) == leads]
            stores, entries, memory = zip(*vms, strict=True)
            total = max(map(sum, zip(stores, entries, strict=True)))
            yield (
                f"| {label} | {state} | {len(vms)} | {100 * max(stores):.2f}% | "
                f"{100 * max(entries):.2f}% | {100 * total:.2f}% ({verdict(total, CORE_BUDGET)}) | "
                f"{max(memory):.0f} MB ({verdict(max(memory), MEMORY_BUDGET_MB)}) |"
            )


def page(domain, state, link, layout):
    """Return the page as Markdown."""
    base, entry = domain["leader_core_base"], domain["entry_core_base"]
    follower = domain["follower_core_base"]
    together = follower + entry + domain["follower_core_per_start_s"] * STARTS_PER_S / DOMAINS
    leaders = "\n".join(leader_rows(domain))
    states = "\n".join(state_rows(state))
    beats_s = WORKERS / DOMAINS / 10
    cell = CHANGES_PER_DAY / DAY_S + JOBS_PER_DAY / DAY_S
    return TEMPLATE.read_text(encoding="utf-8").format(
        leaders=leaders,
        states=states,
        layout="\n".join(layout_rows(layout)),
        layout_workers=layout["workers"],
        layout_tasks=layout["tasks"],
        placed_s=layout["placed_s"],
        in_force_s=max(layout["in_force_s"]),
        base=100 * base,
        entry=100 * entry,
        follower=100 * follower,
        together=f"{100 * together:.2f}% ({verdict(together, CORE_BUDGET)})",
        beat_ms=1000 * link["beat_server_s"],
        beats_s=beats_s,
        beats_ms=1000 * beats_s * (link["beat_server_s"] + link["call_server_s"]) / 2,
        crossing=domain["crossing_bytes_s"],
        endpoints=ENDPOINTS,
        wave_crossing=domain["wave_crossing_bytes_s"],
        wave_rate=domain["wave_announcements_s"],
        wave_core=100 * domain["wave_entry_core"],
        catch_up_s=domain["catch_up_s"],
        catch_up_bytes=domain["catch_up_crossing_bytes_per_change"],
        catch_up_cpu=domain["catch_up_cpu_s_other_stores"],
        cell=cell,
        cell_ms=cell * 1000 * state["job_s"],
        per_start=1e6 * domain["leader_core_per_start_s"],
        losses=VM_LOSSES_PER_DAY / DAY_S * 3600,
    )


def main():
    """Write the page."""
    names = ("domain_load", "state", "link", "layout")
    text = page(*map(load_figures, names))
    (ROOT / "docs" / "CAPACITY.md").write_text(text, encoding="utf-8")
    print(text)


if __name__ == "__main__":
    main()
