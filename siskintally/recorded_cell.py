"""State machine of the cell in a store: writes the audit file and wakes long polls.

>>> from siskintally.recorded_cell import RecordedCell
>>> RecordedCell.__mro__[1].__name__
'StateMachine'
"""

from anyio import Event

from siskintally.errors import DamagedDataError
from siskintally.log import get_logger
from siskintally.state_machine import StateMachine

log = get_logger("cell")


class RecordedCell(StateMachine):
    """Wraps the cell state machine: writes the audit file and wakes long polls.

    :param cell: :class:`~siskintally.cell.Cell`.
    :param audit_file: :class:`~siskintally.audit.AuditFile`.
    """

    __slots__ = ("_changed", "audit_file", "cell")

    def __init__(self, *, cell, audit_file):
        self.cell = cell
        self.audit_file = audit_file
        self._changed = Event()

    def apply(self, *, index, command):
        """Apply a command; its audit record is synced to disk before the reply is returned."""
        reply = self.cell.apply(index=index, command=command)
        self._write_audit_records()
        self._changed.set()
        self._changed = Event()
        return reply

    def snapshot(self):
        """Return the snapshot of the cell."""
        return self.cell.snapshot()

    def restore(self, data):
        """Replace the state; audit records that this store missed are written from the snapshot."""
        self.cell.restore(data)
        self._write_audit_records()
        self._changed.set()
        self._changed = Event()

    async def wait_change(self):
        """Wait until a command or a snapshot is applied."""
        await self._changed.wait()

    def _write_audit_records(self):
        chain = self.cell.audit
        if chain.number < self.audit_file.last:
            return
        try:
            # Includes the last record of the file, so that a different chain is detected.
            self.audit_file.write(chain.records_after(self.audit_file.last - 1))
        except DamagedDataError as error:
            log.error("audit file differs from the audit chain of the cell", error=str(error))
