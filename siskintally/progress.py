"""Replication progress of one peer, as tracked by the leader.

>>> from siskintally.progress import Progress
>>> Progress(next_index=5, now=0.0).match_index
0
"""

from siskintally.election import NEVER


class Progress:
    """Log position and liveness of one peer.

    ``match_index``: highest log index known to be on the peer's disk. ``next_index``: next index to
    send. ``read_round``: highest read round that the peer acknowledged. ``last_reply_at``: time of
    the last reply, at first that of the start of tracking; ``has_replied``: whether there was a
    reply. ``probe_sent``: whether entries were sent since the last reply. ``last_sent_at``: time of
    the last message; ``sent_commit_index``: commit index in the last append. ``snapshot_index``:
    index of the snapshot being sent, 0 if none; ``snapshot_offset``: bytes of it that the peer has;
    ``chunk_sent_at``: time of its last chunk.
    """

    __slots__ = (
        "chunk_sent_at",
        "has_replied",
        "last_reply_at",
        "last_sent_at",
        "match_index",
        "next_index",
        "probe_sent",
        "read_round",
        "sent_commit_index",
        "snapshot_index",
        "snapshot_offset",
    )

    def __init__(self, *, next_index, now):
        self.match_index = 0
        self.next_index = next_index
        self.read_round = 0
        self.probe_sent = False
        self.has_replied = False
        self.last_reply_at = now
        self.last_sent_at = NEVER
        self.sent_commit_index = 0
        self.snapshot_index = 0
        self.snapshot_offset = 0
        self.chunk_sent_at = NEVER

    def copy(self):
        """Return an independent copy."""
        other = Progress.__new__(Progress)
        for name in Progress.__slots__:
            setattr(other, name, getattr(self, name))
        return other

    def key(self):
        """Return the state as a hashable value."""
        return tuple(getattr(self, name) for name in Progress.__slots__)
