"""The task that syncs a leader's own entries while its replica goes on.

>>> from siskintally.write_behind import WriteBehind
>>> WriteBehind(write=None, wake=None).is_idle
True
"""

from anyio import Event
from anyio.to_thread import run_sync

from siskintally.clock import now as steady
from siskintally.effects import Effects


class WriteBehind:
    """Entries of a leader on their way to its own disk, in the order of the log.

    A commit needs a quorum of disks, not the leader's own: followers commit while it syncs, and
    the leader counts itself once :meth:`take_written` has told of it.

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
        """Return for how long the present sync has taken.

        :param now: steady time, s.
        """
        return now - self._began if self._began is not None else 0.0

    def add(self, entries, last):
        """Write entries soon.

        :param last: (index, term) of the last entry of the log that they belong to.
        """
        self._waiting.append((entries, last))
        self._arrived.set()

    def take_written(self):
        """Return (index, term) up to which the log is newly on disk, or None.

        :raises OSError: the disk failed.
        """
        if self._error is not None:
            raise self._error
        last, self._last = self._last, None
        return last

    async def drain(self):
        """Return once everything that was added is on disk.

        :raises OSError: the disk failed.
        """
        while not self.is_idle and self._error is None:
            self._idle = Event()
            await self._idle.wait()
        if self._error is not None:
            raise self._error

    async def run(self):
        """Write until cancelled or until the disk fails."""
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
            # Raised where the replica runs, which ends with its disk.
            self._error = error
        self._began = None
        self._idle.set()
        self._wake()
