"""In-memory Raft log of a replica, with the snapshot that replaces its compacted prefix.

>>> from siskintally.messages import Entry
>>> from siskintally.raftlog import RaftLog
>>> log = RaftLog()
>>> log.append(Entry(index=1, term=3))
>>> log.last_index, log.last_term, log.term_at(0), log.term_at(2)
(1, 3, 0, None)
"""

from siskintally.messages import EntryKind, Snapshot

EMPTY_SNAPSHOT = Snapshot(index=0, term=0, members=(), data=b"")


class RaftLog:
    """Entries after ``base_index`` and the latest snapshot, whose index is at least the base.

    ``members``: current member set, from the last membership entry, committed or not.
    """

    __slots__ = ("base_index", "base_term", "entries", "members", "members_index", "snapshot")

    def __init__(self, *, snapshot=EMPTY_SNAPSHOT, base_index=None, base_term=None, entries=()):
        self.snapshot = snapshot
        self.base_index = snapshot.index if base_index is None else base_index
        self.base_term = snapshot.term if base_term is None else base_term
        self.entries = list(entries)
        self._update_members()

    @property
    def last_index(self):
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self):
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index):
        """Return the term of an entry, or None if it is compacted or does not exist."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def first_index_of_term_run(self, index):
        """Return the first index of the run of entries of the same term that ends at ``index``."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first, last):
        """Return the entries from ``first`` to ``last``, both included."""
        return self.entries[first - self.base_index - 1 : last - self.base_index]

    def batch(self, first, *, max_entries, max_bytes):
        """Return entries from ``first`` on within the limits, at least one if there is one."""
        batch = []
        size = 0
        for entry in self.entries_between(first, min(self.last_index, first + max_entries - 1)):
            size += len(entry.command)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entry):
        """Append the entry that follows the last one."""
        self.entries.append(entry)
        if entry.kind == EntryKind.MEMBERS:
            self.members = entry.members
            self.members_index = entry.index

    def truncate(self, first):
        """Remove the entries from ``first`` on."""
        del self.entries[first - self.base_index - 1 :]
        if self.members_index >= first:
            self._update_members()

    def members_at(self, index):
        """Return the member set in effect after the entry ``index``, and the index it came from."""
        for entry in reversed(self.entries_between(self.snapshot.index + 1, index)):
            if entry.kind == EntryKind.MEMBERS:
                return entry.members, entry.index
        return self.snapshot.members, self.snapshot.index

    def compact(self, index, data, *, keep):
        """Take a snapshot at ``index`` and drop all but the last ``keep`` entries up to it."""
        members, _ = self.members_at(index)
        self.snapshot = Snapshot(index=index, term=self.term_at(index), members=members, data=data)
        self._drop_through(max(self.base_index, index - keep))

    def install(self, snapshot):
        """Install a snapshot from the leader in place of all entries up to its index."""
        if self.term_at(snapshot.index) == snapshot.term:
            self._drop_through(snapshot.index)
        else:
            self.entries = []
            self.base_index = snapshot.index
            self.base_term = snapshot.term
        self.snapshot = snapshot
        self._update_members()

    def copy(self):
        """Return an independent copy that shares the immutable entries."""
        return RaftLog(
            snapshot=self.snapshot,
            base_index=self.base_index,
            base_term=self.base_term,
            entries=self.entries,
        )

    def key(self):
        """Return the state as a hashable value."""
        return (self.snapshot, self.base_index, self.base_term, tuple(self.entries))

    def _drop_through(self, index):
        term = self.term_at(index)
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def _update_members(self):
        self.members, self.members_index = self.members_at(self.last_index)
