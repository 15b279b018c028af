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
    the followers while it syncs. The leader counts itself once :meth:`pop_written` returns them.

    :param write: function that syncs :class:`~siskintally.effects.Effects`; blocks.
    :param wake: function that is called after each sync.
    """

    __slots__ = (
        "_error",
        "_idle_event",
        "_pending",
        "_pending_event",
        "_sync_started_at",
        "_wake",
        "_write",
        "_written",
    )

    def __init__(self, *, write, wake):
        self._write = write
        self._wake = wake
        self._pending = []
        self._pending_event = Event()
        self._idle_event = Event()
        self._sync_started_at = None
        self._written = None
        self._error = None

    @property
    def is_idle(self):
        """Whether no entries are queued or being written."""
        return self._sync_started_at is None and not self._pending

    def sync_duration_s(self, now):
        """Return how long the sync in progress has taken, 0 if there is none, in seconds.

        :param now: monotonic time in seconds.
        """
        return now - self._sync_started_at if self._sync_started_at is not None else 0.0

    def add(self, entries, last):
        """Queue entries to be written.

        :param last: (index, term) of the last log entry, with which the entries end.
        """
        self._pending.append((entries, last))
        self._pending_event.set()

    def pop_written(self):
        """Return (index, term) of the last newly synced entry, or None.

        :raises OSError: the disk failed.
        """
        if self._error is not None:
            raise self._error
        last, self._written = self._written, None
        return last

    async def drain(self):
        """Wait until everything that was added is on disk.

        :raises OSError: the disk failed.
        """
        while not self.is_idle and self._error is None:
            self._idle_event = Event()
            await self._idle_event.wait()
        if self._error is not None:
            raise self._error

    async def run(self):
        """Write queued entries until cancelled or until the disk fails."""
        while self._error is None:
            while not self._pending:
                self._pending_event = Event()
                await self._pending_event.wait()
            await self._write_pending()

    async def _write_pending(self):
        effects = Effects()
        batch, self._pending = self._pending, []
        for entries, _ in batch:
            effects.entries.extend(entries)
        self._sync_started_at = steady()
        try:
            await run_sync(self._write, effects)
            _, self._written = batch[-1]
        except OSError as error:
            # Raised by pop_written() and drain() in the task of the replica, which then ends.
            self._error = error
        self._sync_started_at = None
        self._idle_event.set()
        self._wake()
