"""Text output of operator commands: tables and summaries.

>>> from siskintally.tables import format_table
>>> print(format_table([("job", "state"), ("seats-1", "running")]))
job      state
seats-1  running
"""

from datetime import UTC, datetime


def format_table(rows):
    """Return rows formatted as left-aligned columns of text."""
    rows = [[str(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = ("  ".join(map(str.ljust, row, widths)).rstrip() for row in rows)
    return "\n".join(lines)


def _format_time(seconds):
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")


def show_jobs(answer):
    """Print a list of jobs."""
    header = (
        "job",
        "state",
        "kind",
        "class",
        "team",
        "tasks",
        "wait",
        "run",
        "done",
        "again",
        "reason",
    )
    rows = [
        (
            row["job"],
            row["state"],
            row["kind"],
            row["class"],
            row["team"],
            row["tasks"],
            row["waiting"],
            row["running"],
            row["succeeded"] + row["failed"] + row["cancelled"],
            row["restarted"],
            row["reason"],
        )
        for row in answer["jobs"]
    ]
    print(format_table([header, *rows]))
    if answer["more"]:
        print("more jobs match; raise --limit or give --prefix")


def show_config(answer):
    """Print the configuration document after a comment line with its version and preset."""
    print(f"# version {answer['version']}, preset {answer['preset'] or 'none'}")
    print(answer["document"], end="")


def show_status(answer):
    """Print the state of the cell."""
    print(f"configuration  version {answer['version']}, preset {answer['preset'] or 'none'}")
    print(f"leader         {answer['leader']} (term {answer['term']})")
    print(f"voters         {', '.join(answer['voters'])}")
    counts = ", ".join(f"{number} {state}" for state, number in sorted(answer["jobs"].items()))
    print(f"jobs           {counts or 'none'}")
    print(f"audit          {answer['audit']['records']} records")
    rows = [
        ("group", "workers", "free cpu", "free MB", "free acc", "config", "heard s ago", "standing")
    ]
    for row in answer["groups"]:
        free = row["free"]
        cores = free.get("cpu_milli", 0) / 1000
        current = "current" if row["config_current"] else "behind"
        heard = "never" if row["heard_s"] is None else row["heard_s"]
        amounts = (cores, free.get("memory_mb", 0), free.get("accelerators", 0))
        rows.append((row["group"], row["workers"], *amounts, current, heard, row["standing"]))
    print(format_table(rows))
    for item in answer["drains"]:
        print(f"draining       {item['kind']} {item['name']}")


def show_audit(answer):
    """Print audit records and, if the answer has it, the result of the check of the audit file."""
    rows = [("number", "time (UTC)", "operator", "verb", "what", "from", "to", "code")]
    rows.extend(
        (
            row["number"],
            _format_time(row["time"]),
            row["operator"],
            row["verb"],
            row["what"][:40],
            row["from_value"][:40],
            row["to_value"][:40],
            row["code"],
        )
        for row in answer["rows"]
    )
    print(format_table(rows))
    if "file" in answer:
        file = answer["file"]
        gaps = f", never received: {', '.join(file['gaps'])}" if file["gaps"] else ""
        print(f"file of {file['store']}: {file['records']} records{gaps}")
        print(f"chain: {file['damage'] or 'unbroken'}, head {answer['head']}")
