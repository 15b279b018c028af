"""Applies the committed entries of a log to a state machine.

>>> from siskintally.applier import Applier
>>> Applier(machine=None, snapshot_entries=10, snapshot_bytes=100).index
0
"""

from siskintally.messages import Kind


class Applier:
    """Applies entries to a state machine and decides when a snapshot is due.

    ``index``: index of the last applied entry.

    :param machine: :class:`~siskintally.state_machine.StateMachine` in its initial state.
    :param snapshot_entries: applied entries after which a snapshot is due.
    :param snapshot_bytes: applied bytes of commands after which a snapshot is due.
    """

    __slots__ = ("_bytes", "_initial", "_machine", "_snapshot_bytes", "_snapshot_entries", "index")

    def __init__(self, *, machine, snapshot_entries, snapshot_bytes):
        self._machine = machine
        self._snapshot_entries = snapshot_entries
        self._snapshot_bytes = snapshot_bytes
        self._initial = None
        self._bytes = 0
        self.index = 0

    def restore(self, snapshot):
        """Restore the state machine; an empty snapshot stands for its initial state."""
        if self._initial is None:
            self._initial = self._machine.snapshot()
        self._machine.restore(snapshot.data or self._initial)
        self.index = snapshot.index
        self._bytes = 0

    def apply(self, entry):
        """Apply an entry and return the reply of the state machine, empty if it is no command."""
        reply = b""
        if entry.kind == Kind.COMMAND:
            reply = self._machine.apply(index=entry.index, command=entry.command)
        self.index = entry.index
        self._bytes += len(entry.command)
        return reply

    def is_snapshot_due(self, snapshot_index):
        """Return whether enough has been applied since the snapshot at ``snapshot_index``."""
        is_long = self.index - snapshot_index >= self._snapshot_entries
        return is_long or self._bytes >= self._snapshot_bytes

    def snapshot(self):
        """Return a snapshot of the state machine as bytes."""
        self._bytes = 0
        return self._machine.snapshot()
