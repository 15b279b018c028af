"""Background writer of a leader's log entries, so that it need not wait for its own disk.

>>> from siskintally.write_behind import WriteBehind
>>> WriteBehind(write=None, wake=None).is_idle
True
"""

from anyio import Event
from anyio.to_thread import run_sync

from siskintally.clock import now as steady
from siskintally.effects import Effects


class WriteBehind:
    """Writes and syncs entries of a leader in the background, in log order.

    A commit needs a quorum of disks, not necessarily the leader's own: entries can be committed by
    the followers while it syncs. The leader counts itself once :meth:`take_written` returns them.

    :param write: function that syncs :class:`~siskintally.effects.Effects`; blocks.
    :param wake: function that is called after each sync.
    """

    __slots__ = ("_arrived", "_began", "_error", "_idle", "_last", "_waiting", "_wake", "_write")

    def __init__(self, *, write, wake):
        self._write = write
        self._wake = wake
        self._waiting = []
        self._arrived = Event()
        self._idle = Event()
        self._began = None
        self._last = None
        self._error = None

    @property
    def is_idle(self):
        """Whether everything that was added is on disk."""
        return self._began is None and not self._waiting

    def busy_s(self, now):
        """Return how long the sync in progress has taken, 0 if there is none, in seconds.

        :param now: steady time, s.
        """
        return now - self._began if self._began is not None else 0.0

    def add(self, entries, last):
        """Queue entries to be written.

        :param last: (index, term) of the last log entry once they are written.
        """
        self._waiting.append((entries, last))
        self._arrived.set()

    def take_written(self):
        """Return (index, term) of the last newly synced entry, or None.

        :raises OSError: the disk failed.
        """
        if self._error is not None:
            raise self._error
        last, self._last = self._last, None
        return last

    async def drain(self):
        """Wait until everything that was added is on disk.

        :raises OSError: the disk failed.
        """
        while not self.is_idle and self._error is None:
            self._idle = Event()
            await self._idle.wait()
        if self._error is not None:
            raise self._error

    async def run(self):
        """Write queued entries until cancelled or until the disk fails."""
        while self._error is None:
            while not self._waiting:
                self._arrived = Event()
                await self._arrived.wait()
            await self._write_waiting()

    async def _write_waiting(self):
        effects = Effects()
        batch, self._waiting = self._waiting, []
        for entries, _ in batch:
            effects.entries.extend(entries)
        self._began = steady()
        try:
            await run_sync(self._write, effects)
            _, self._last = batch[-1]
        except OSError as error:
            # Raised by take_written() and drain() in the task of the replica, which then ends.
            self._error = error
        self._began = None
        self._idle.set()
        self._wake()
