"""Applies the committed entries of a log to a state machine.

>>> from siskintally.applier import Applier
>>> Applier(machine=None, snapshot_entries=10, snapshot_bytes=100).index
0
"""

from siskintally.messages import Kind


class Applier:
    """A machine with the index up to which it has applied the log.

    :param machine: :class:`~siskintally.state_machine.StateMachine` in its first state.
    :param snapshot_entries: entries between two snapshots.
    :param snapshot_bytes: bytes of commands between two snapshots.
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
        """Replace the state; an empty snapshot stands for the first state of the machine."""
        if self._initial is None:
            self._initial = self._machine.snapshot()
        self._machine.restore(snapshot.data or self._initial)
        self.index = snapshot.index
        self._bytes = 0

    def apply(self, entry):
        """Apply an entry and return the reply of the machine."""
        reply = b""
        if entry.kind == Kind.COMMAND:
            reply = self._machine.apply(index=entry.index, command=entry.command)
        self.index = entry.index
        self._bytes += len(entry.command)
        return reply

    def is_snapshot_due(self, snapshot_index):
        """Whether much has been applied since the snapshot at an index."""
        is_long = self.index - snapshot_index >= self._snapshot_entries
        return is_long or self._bytes >= self._snapshot_bytes

    def snapshot(self):
        """Return the state as bytes."""
        self._bytes = 0
        return self._machine.snapshot()
