"""Prints the module table of the README, or with --write puts it there.

The text of each row is the first line of the module's docstring.
"""

import ast
from pathlib import Path
from sys import argv

ROOT = Path(__file__).resolve().parent.parent
PARTS = {
    "Requests (entry daemon)": (
        "entry gateway tokens http_server call request lane admission forecast "
        "fair_queue balancer share health retry forward ledger_client announcement exchange "
        "summary peers pause limits watch relay"
    ),
    "Placement and workers": (
        "placement policy pool worker index grid size workload backlog misses preemption "
        "reservation ejection probation feasibility "
        "lease owner owner_term dispatcher orders reconciler worker_service shared_confirm "
        "cell_sync clearance"
    ),
    "State of the cell and of domains": (
        "cell cell_service recorded_cell inquiry verbs jobs job_changes job_counts job_shares "
        "split standing group_changes drains capacity spec config preset audit domain domain_job "
        "domain_checks ledger"
    ),
    "Flows (jobs made of steps)": (
        "flow task_id flow_checks flow_scheduler placing advising observing pacing fleet "
        "worker_lease flow_timing control_state queue_checks actions racing authority "
        "retirement conductor flow_orders "
        "keeper look_wait lanes step_text flow_trace flow_report "
        "advice_lanes flow_desk "
        "driver stub_pool"
    ),
    "Processes of the control plane": (
        "control_group control_node entry_node flow_gateway leader_book leader_calls mesh "
        "node_settings http_pool counters"
    ),
    "Replicated log": (
        "replica election replication following membership preference progress raftlog messages "
        "effects stable timing encoding journal records group inbox group_inputs "
        "write_behind group_disk applier "
        "joins roster "
        "member_changes handover group_calls leadership waiters watchers machine"
    ),
    "Processes and transport": (
        "store store_links replicas founding link session outbox liveness leader "
        "supervisor daemon settings log log_stream metrics clock codes errors"
    ),
    "Command line and stubs": (
        "main __main__ command commands_domain commands_entry commands_operator commands_report "
        "commands_store "
        "commands_worker client operation tables stub_endpoint stub_doubler stub_worker "
        "worker_state"
    ),
}
MARKER = "## Modules\n"


def modules():
    """Return the names of all modules that are not generated."""
    paths = (ROOT / "siskintally").glob("*.py")
    names = {path.stem for path in paths}
    return {name for name in names if not name.endswith(("_pb2", "_grpc", "__init__"))}


def summary(name):
    """Return the first line of a module's docstring."""
    text = (ROOT / "siskintally" / f"{name}.py").read_text(encoding="utf-8")
    return (ast.get_docstring(ast.parse(text)) or "").splitlines()[0].replace("|", "\\|")


def table():
    """Return the table as Markdown.

    :raises SystemExit: a module has no part, or a part names a module that does not exist.
    """
    listed = [name for names in PARTS.values() for name in names.split()]
    if set(listed) != modules() or len(listed) != len(set(listed)):
        raise SystemExit(f"parts and modules differ: {sorted(set(listed) ^ modules())}")
    lines = []
    for part, names in PARTS.items():
        lines += [f"### {part}", "", "| module | job |", "| --- | --- |"]
        lines += [f"| `{name}` | {summary(name)} |" for name in names.split()]
        lines.append("")
    return "\n".join(lines)


def main():
    """Print or write the table."""
    path = ROOT / "README.md"
    head, _, _ = path.read_text(encoding="utf-8").partition(MARKER)
    text = f"{head}{MARKER}\n{table()}"
    if "--write" in argv:
        path.write_text(text, encoding="utf-8")
    elif "--check" in argv:
        if path.read_text(encoding="utf-8") != text:
            raise SystemExit("README.md: run scripts/module_table.py --write")
    else:
        print(table())


if __name__ == "__main__":
    main()
