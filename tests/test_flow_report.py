"""The report that breaks the time of flows down into its parts."""

from json import dumps

from pytest import raises

from siskintally.commands_report import _start
from siskintally.errors import BadRequestError
from siskintally.flow_report import break_down_flow, format_report
from siskintally.flow_trace import build_flow_traces, read_events

STEPS = ["2 x 500m 64MB 600ms", "1 x 500m 64MB 400ms after=[0]"]


def log_line(second, event, **fields):
    """Return a log line as a store writes it."""
    stamp = f"2026-01-23T13:39:{second:06.3f}Z"
    return f"{second:9.4f} store-1 " + dumps({"event": event, "timestamp": stamp, **fields})


def log_lines():
    """Return the log of a flow whose first step fails once, and of one that never ends."""
    return [
        log_line(1.0, "flow accepted", flow="f", queue="q", steps=STEPS),
        log_line(1.05, "advice", step="f.0.0"),
        log_line(1.1, "start", task="f.0.0.0", run=1),
        log_line(1.1, "start", task="f.0.0.1", run=2),
        "a line of another program {",
        log_line(1.7, "end", task="f.0.0.0", run=1, how="DONE"),
        log_line(1.8, "end", task="f.0.0.1", run=2, how="FAILED"),
        log_line(1.9, "start", task="f.0.0.1", run=3),
        log_line(2.9, "end", task="f.0.0.1", run=3, how="DONE"),
        log_line(3.0, "start", task="f.0.1.0", run=4),
        log_line(3.3, "end", task="f.0.1.0", run=4, how="DONE"),
        log_line(4.0, "flow accepted", flow="g", queue="q", steps=STEPS),
    ]


def test_the_time_of_a_flow_is_split_along_its_last_tasks():
    """Guards against a report whose parts do not add up to the time that a caller waited."""
    flows = build_flow_traces(read_events(log_lines()))
    breakdown = break_down_flow(flows["f"])
    rounded = {part: round(value, 3) for part, value in breakdown.parts.items()}
    assert rounded == {"advice": 0.05, "queue": 0.15, "again": 0.8, "work": 0.9, "slow": 0.4}
    assert abs(sum(breakdown.parts.values()) - breakdown.total_s) < 1e-6
    assert breakdown.estimate_s == 1.0
    assert break_down_flow(flows["g"]) is None


def test_the_report_names_queues_and_the_slowest_flows(tmp_path, capsys):
    """Guards against a command that shows nothing for logs as the platform keeps them."""
    path = tmp_path / "store.log"
    path.write_text("\n".join(log_lines()), encoding="utf-8")
    _start(None, [str(path)])
    text = capsys.readouterr().out
    assert text.startswith("2 flows accepted, 1 of them completed")
    assert "most for again (0.80 s)" in text


def test_a_log_without_flows_and_a_missing_log_are_reported():
    """Guards against a traceback for common mistakes of an operator: no log, or a wrong path."""
    assert format_report([]) == "0 flows accepted, 0 of them completed within these logs"
    for arguments in ([], ["/nowhere/store.log"]):
        with raises(BadRequestError):
            _start(None, arguments)
