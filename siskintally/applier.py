"""Applies the committed entries of a log to a state machine.

>>> from siskintally.applier import Applier
>>> Applier(state_machine=None, snapshot_entries=10, snapshot_bytes=100).index
0
"""

from siskintally.messages import EntryKind


class Applier:
    """Applies entries to a state machine and decides when a snapshot is due.

    ``index``: index of the last applied entry.

    :param state_machine: :class:`~siskintally.state_machine.StateMachine` in its initial state.
    :param snapshot_entries: applied entries after which a snapshot is due.
    :param snapshot_bytes: applied bytes of commands after which a snapshot is due.
    """

    __slots__ = (
        "_applied_bytes",
        "_initial_state",
        "_snapshot_bytes",
        "_snapshot_entries",
        "_state_machine",
        "index",
    )

    def __init__(self, *, state_machine, snapshot_entries, snapshot_bytes):
        self._state_machine = state_machine
        self._snapshot_entries = snapshot_entries
        self._snapshot_bytes = snapshot_bytes
        self._initial_state = None
        self._applied_bytes = 0
        self.index = 0

    def restore(self, snapshot):
        """Restore the state machine; an empty snapshot stands for its initial state."""
        if self._initial_state is None:
            self._initial_state = self._state_machine.snapshot()
        self._state_machine.restore(snapshot.data or self._initial_state)
        self.index = snapshot.index
        self._applied_bytes = 0

    def apply(self, entry):
        """Apply an entry; return the reply of the state machine, empty if there is no command."""
        reply = b""
        if entry.kind == EntryKind.COMMAND:
            reply = self._state_machine.apply(index=entry.index, command=entry.command)
        self.index = entry.index
        self._applied_bytes += len(entry.command)
        return reply

    def is_snapshot_due(self, snapshot_index):
        """Return whether enough has been applied since the snapshot at ``snapshot_index``."""
        has_enough_entries = self.index - snapshot_index >= self._snapshot_entries
        return has_enough_entries or self._applied_bytes >= self._snapshot_bytes

    def snapshot(self):
        """Return a snapshot of the state machine as bytes."""
        self._applied_bytes = 0
        return self._state_machine.snapshot()
