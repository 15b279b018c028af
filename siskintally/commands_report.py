"""Command ``flow-report``: reads the logs of stores and reports where flows spent their time.

>>> from siskintally.command import Registry
>>> from siskintally.commands_report import register
>>> registry = Registry()
>>> register(registry)
>>> [command.name for command in registry]
['flow-report']
"""

from siskintally.command import Command
from siskintally.errors import BadRequestError
from siskintally.flow_report import format_report
from siskintally.flow_trace import build_flow_traces, read_events

SUMMARY = "Report where flows spent their time: flow-report LOG... (logs of stores, in time order)."


def register(registry):
    """Add the command of this family."""
    registry.add(Command(name="flow-report", summary=SUMMARY, define=None, start=_start))


def _start(_, arguments):
    if not arguments:
        raise BadRequestError("arguments: expected one or more log files")
    print(format_report(build_flow_traces(read_events(_read_lines(arguments))).values()))


def _read_lines(paths):
    for path in paths:
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise BadRequestError(f"{path}: {error.strerror}") from error
