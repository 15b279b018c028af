"""Cell machine of a store, with its audit file and a wake-up for waiting polls.

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
    """Cell machine of a store: writes the audit file and wakes waiting polls.

    :param cell: :class:`~siskintally.cell.Cell`.
    :param audit_file: :class:`~siskintally.audit.AuditFile`.
    """

    __slots__ = ("_changed", "audit_file", "cell")

    def __init__(self, *, cell, audit_file):
        self.cell = cell
        self.audit_file = audit_file
        self._changed = Event()

    def apply(self, *, index, command):
        """Apply a command; its audit record is synced before the reply is returned."""
        reply = self.cell.apply(index=index, command=command)
        self._record()
        self._changed.set()
        self._changed = Event()
        return reply

    def snapshot(self):
        """Return the state of the cell."""
        return self.cell.snapshot()

    def restore(self, data):
        """Replace the state; records that this store missed are written from it."""
        self.cell.restore(data)
        self._record()
        self._changed.set()
        self._changed = Event()

    async def wait_change(self):
        """Wait until something is applied."""
        await self._changed.wait()

    def _record(self):
        chain = self.cell.audit
        if chain.number < self.audit_file.last:
            return
        try:
            # The last record of the file is given again, so that a different chain is noticed.
            self.audit_file.write(chain.after(self.audit_file.last - 1))
        except DamagedDataError as error:
            log.error("audit file contradicts the log", error=str(error))
