"""The disk of one replica: its journal, and the entries of a leader on their way to it.

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

# A disk that takes longer for a sync hangs: slow ones of the platform take up to 0.3 s.
HUNG_DISK_S = 0.6

log = get_logger("group")


class GroupDisk:
    """Journal of a replica; ``journal`` is None while it is closed.

    With ``in_thread`` a disk that takes milliseconds or hangs does not hold up the rest of the
    process: a leader goes on while its own entries are synced.

    :param folder: data folder of this replica alone.
    :param group: group name.
    :param process: name of this process.
    :param in_thread: whether appends sync in a worker thread.
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
        """Open the journal and return it; a damaged folder is set aside and the replica joins anew.

        :param wake: function that is called when entries written behind are on disk.
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

    async def run_beside(self, loop):
        """Write behind while the loop of the replica runs; its errors are not wrapped into a group.

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

    def advance(self, replica, now, effects):
        """Count what is newly on disk; a leader whose disk hangs leaves its office.

        :param now: steady time, s.
        :raises OSError: the disk failed.
        """
        written = self._writer.take_written()
        if written is not None:
            effects.extend(replica.synced(*written, now))
        busy_s = self._writer.busy_s(now)
        if busy_s > HUNG_DISK_S and replica.is_leader and replica.transfer_to is None:
            log.warning("disk hangs", group=self._group, seconds=round(busy_s, 1))
            effects.extend(replica.transfer(now))

    def may_follow(self, effects, replica):
        """Tell whether entries may be sent, and committed by others, before this disk has them.

        A vote, a term, or the answer of a follower, in contrast, has to be on disk first.
        """
        if not (self._in_thread and replica.is_leader and effects.entries):
            return False
        is_plain = effects.hard_state is None and effects.snapshot is None
        answers = (isinstance(one.message, AppendReply) for one in effects.messages)
        return is_plain and not any(answers)

    def follow(self, effects, replica):
        """Write entries of a leader while its replica goes on."""
        self._writer.add(effects.entries, (replica.log.last_index, replica.log.last_term))

    async def write(self, effects, replica):
        """Sync effects after everything that is written behind, in the order of the log.

        :raises OSError: the disk failed.
        """
        await self._writer.drain()
        # On a disk of 0.2 ms, a sync of a few records costs less CPU and less time in the event
        # loop than the change to a worker thread and back. A snapshot must not block.
        if effects.snapshot is not None or self._in_thread:
            await run_sync(self.journal.write, effects, lambda: replica.stable)
        else:
            self.journal.write(effects, lambda: replica.stable)
