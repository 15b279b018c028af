"""Frame of a case: a temporary folder, a record, a limit of time, and the exit status."""

from asyncio import run as run_loop
from asyncio import wait_for
from os import environ
from signal import SIGTERM, signal
from sys import exit as exit_with
from tempfile import TemporaryDirectory
from traceback import format_exc

from review.standins_2.cell import Cell
from review.standins_2.record import Record

LIMIT_S = 110.0
BROKEN = 1
HELD = 0
NOT_RUN = 2


class CaseError(Exception):
    """The case could not run: what it needs did not come about."""


def route(name, prefix, *, attempts=2, timeout_ms=3000):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": "jobs.example",
        "pathPrefix": prefix,
        "kind": "non_idempotent",
        "timeoutMs": timeout_ms,
        "targetRuntimeMs": 300,
        "priority": 0,
        "service": "s",
        "maxAttempts": attempts,
        "stretch": 1.5,
    }


def play(check, folder, *, limit_s=LIMIT_S, **options):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    :param check: ``async check(cell, has_trouble)`` that returns the breaks of the rule as texts.
    :param folder: folder of the case, for its record.
    :param options: options of the :class:`~review.standins_2.cell.Cell`.
    """
    # Lets the cell end its processes if the case itself is ended.
    signal(SIGTERM, lambda *_: exit_with(NOT_RUN))
    has_trouble = environ.get("TROUBLE", "1") != "0"
    record = Record(path=f"{folder}/record.txt")
    record.write(f"trouble: {'yes' if has_trouble else 'no'}")
    status = NOT_RUN
    with TemporaryDirectory() as temporary:
        cell = Cell(folder=temporary, record=record, **options)
        try:
            status = run_loop(wait_for(_judge(check, cell, has_trouble, record), limit_s))
        except CaseError as error:
            record.write(f"could not run: {error}")
        except Exception:
            record.write(f"could not run: {format_exc()}")
        finally:
            cell.end()
    record.write(f"exit status {status}")
    record.close()
    exit_with(status)


async def _judge(check, cell, has_trouble, record):
    try:
        breaks = await check(cell, has_trouble)
    finally:
        for worker in cell.workers:
            await worker.end()
    for text in breaks:
        record.write(f"BROKEN: {text}")
    if not breaks:
        record.write("the rule held")
    return BROKEN if breaks else HELD
