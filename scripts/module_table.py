"""Prints the module table of the README.

With --write, writes it into the README; with --check, fails if the README has another one. The
description of a module is the first line of its docstring.
"""

import ast
from pathlib import Path
from sys import argv

ROOT = Path(__file__).resolve().parent.parent
PARTS = {
    "Requests (entry daemon)": (
        "entry gateway tokens http_server call request_handler service_dispatcher admission "
        "forecast fair_queue balancer slot_share health retry forward ledger_client "
        "announcement gossip entry_summary peers pause_detector limits config_follower "
        "operator_relay"
    ),
    "Placement and workers": (
        "placement policy pool worker worker_index resource_index size workload backlog "
        "failed_searches preemption reservation ejection readmission feasibility lease owner "
        "owner_term dispatcher orders reconciler worker_service shared_confirm cell_sync "
        "group_status_check"
    ),
    "State of the cell and of domains": (
        "cell cell_service recorded_cell operator_queries verbs jobs job_changes job_counts "
        "job_shares job_split group_status group_changes drains capacity spec config preset "
        "audit domain domain_job domain_checks ledger"
    ),
    "Flows (jobs made of steps)": (
        "flow task_id flow_checks flow_scheduler step_placement pass_index room_reservation "
        "advice_planning report_handling error_isolation throttling fleet worker_lease "
        "flow_timing control_state queue_checks queue_index committed_commands worker_checks "
        "actions speculation quorum_check flow_retention control_leader flow_dispatcher "
        "worker_manager long_poll advice_client_pool step_text flow_trace flow_report "
        "advice_clients control_service driver stub_pool pending_losses"
    ),
    "Processes of the control plane": (
        "control_group control_node entry_node flow_gateway leader_cache control_client "
        "leader_contact link_pool node_settings settings_reload held_signals http_pool "
        "worker_connections counters"
    ),
    "Replicated log": (
        "replica election replication follower membership leader_preference progress raftlog "
        "messages effects persistent_state timing encoding journal records group inbox "
        "group_inputs write_behind group_disk applier member_admission roster member_changes "
        "handover group_calls leadership waiters leader_watchers state_machine"
    ),
    "Processes and transport": (
        "store store_links replicas bootstrap link session session_log socket_info outbox liveness "
        "leader_client supervisor daemon settings log log_stream metrics clock codes errors"
    ),
    "Command line and stubs": (
        "main __main__ command commands_domain commands_entry commands_operator "
        "commands_report commands_store commands_worker client operation tables stub_endpoint "
        "stub_duplicator stub_worker worker_state"
    ),
}
MARKER = "## Modules\n"


def modules():
    """Return the names of all modules of the package, without generated ones."""
    paths = (ROOT / "siskintally").glob("*.py")
    names = {path.stem for path in paths}
    return {name for name in names if not name.endswith(("_pb2", "_grpc", "__init__"))}


def summary(name):
    """Return the first line of a module's docstring."""
    text = (ROOT / "siskintally" / f"{name}.py").read_text(encoding="utf-8")
    return (ast.get_docstring(ast.parse(text)) or "").splitlines()[0].replace("|", "\\|")


def table():
    """Return the table as Markdown.

    :raises SystemExit: a module is in no part or in several, or a part names an unknown module.
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
    """Print, write or check the table.

    :raises SystemExit: with --check, the README differs.
    """
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
