"""Disk of one replica: its journal, and the background writer for the entries of a leader.

>>> from siskintally.group_disk import GroupDisk
>>> disk = GroupDisk(folder="data/cell", group="cell", process="s1", in_thread=False)
>>> disk.is_open
False
"""

from anyio import create_task_group
from anyio.to_thread import run_sync

from siskintally.errors import DamagedDataError
from siskintally.journal import Journal, set_aside
from siskintally.log import get_logger
from siskintally.messages import AppendReply
from siskintally.write_behind import WriteBehind

# A sync that takes longer counts as a hung disk; slow disks of the platform take up to 0.3 s.
HUNG_DISK_S = 0.6

log = get_logger("group")


class GroupDisk:
    """Journal of a replica and its background writer; ``journal`` is None while it is closed.

    With ``in_thread`` a slow or hung disk does not block the event loop of the process, and a
    leader continues while its own entries are synced.

    :param folder: data folder of this replica alone.
    :param group: group name.
    :param process: name of this process.
    :param in_thread: whether appends are synced in a worker thread.
    """

    __slots__ = ("_folder", "_group", "_in_thread", "_process", "_writer", "journal")

    def __init__(self, *, folder, group, process, in_thread):
        self._folder = folder
        self._group = group
        self._process = process
        self._in_thread = in_thread
        self._writer = None
        self.journal = None

    @property
    def is_open(self):
        """Whether the journal is open."""
        return self.journal is not None

    def open(self, *, wake):
        """Open the journal and return it.

        A damaged folder is set aside, and the replica joins the group again as a new incarnation.

        :param wake: function that is called after each sync of the background writer.
        """
        try:
            journal = Journal.open(self._folder, group=self._group, name=self._process)
        except DamagedDataError as error:
            kept = set_aside(self._folder)
            log.error("data folder damaged", group=self._group, error=str(error), kept=str(kept))
            journal = Journal.open(self._folder, group=self._group, name=self._process)
        self.journal = journal
        self._writer = WriteBehind(write=lambda effects: journal.write(effects, None), wake=wake)
        return journal

    def close(self):
        """Close the journal."""
        self.journal.close()
        self.journal = None

    async def run_with_writer(self, loop):
        """Run the background writer beside the main loop of the replica.

        An OSError of the loop is raised as it is, not wrapped in an ExceptionGroup.

        :param loop: async function.
        """
        failure = None
        async with create_task_group() as tasks:
            tasks.start_soon(self._writer.run)
            try:
                await loop()
            except OSError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def poll(self, replica, now, effects):
        """Record newly synced entries; transfer leadership away if the disk hangs.

        :param now: monotonic time in seconds.
        :raises OSError: the disk failed.
        """
        written = self._writer.pop_written()
        if written is not None:
            effects.extend(replica.mark_synced(*written, now))
        sync_duration_s = self._writer.sync_duration_s(now)
        if sync_duration_s > HUNG_DISK_S and replica.is_leader and replica.transfer_target is None:
            log.warning("disk hangs", group=self._group, seconds=round(sync_duration_s, 1))
            effects.extend(replica.transfer_leadership(now))

    def can_write_behind(self, effects, replica):
        """Return whether the entries may be sent before they are on the disk of this leader.

        Followers can commit them meanwhile. A vote, a new term, or what a follower acknowledges
        must be on disk first.
        """
        if not (self._in_thread and replica.is_leader and effects.entries):
            return False
        has_entries_only = effects.hard_state is None and effects.snapshot is None
        are_replies = (isinstance(envelope.message, AppendReply) for envelope in effects.messages)
        return has_entries_only and not any(are_replies)

    def write_behind(self, effects, replica):
        """Queue entries of a leader for the background writer."""
        self._writer.add(effects.entries, (replica.log.last_index, replica.log.last_term))

    async def write(self, effects, replica):
        """Sync effects, after all entries queued for the background writer (log order).

        :raises OSError: the disk failed.
        """
        await self._writer.drain()
        # With a disk that syncs in 0.2 ms, syncing a few records inline costs less CPU and less
        # event loop time than switching to a worker thread and back. A snapshot must not block.
        if effects.snapshot is not None or self._in_thread:
            await run_sync(self.journal.write, effects, lambda: replica.persistent_state)
        else:
            self.journal.write(effects, lambda: replica.persistent_state)
