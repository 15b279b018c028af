"""Replication progress of one peer, as tracked by the leader.

>>> from siskintally.progress import Progress
>>> Progress(next_index=5, now=0.0).match
0
"""

from siskintally.election import NEVER


class Progress:
    """Log position and liveness of one peer.

    ``match``: highest log index known to be on the peer's disk. ``next_index``: next index to send.
    ``round``: highest read round that the peer acknowledged. ``heard``: time of the last reply, at
    first that of the start of tracking; ``answered``: whether there was a reply. ``probed``:
    whether entries were sent since the last reply. ``sent``: time of the last message;
    ``sent_commit``: commit index in it. ``chunk_index``: index of the snapshot being sent, 0 if
    none; ``offset``: bytes of it that the peer has; ``chunk_sent``: time of its last chunk.
    """

    __slots__ = (
        "answered",
        "chunk_index",
        "chunk_sent",
        "heard",
        "match",
        "next_index",
        "offset",
        "probed",
        "round",
        "sent",
        "sent_commit",
    )

    def __init__(self, *, next_index, now):
        self.match = 0
        self.next_index = next_index
        self.round = 0
        self.probed = False
        self.answered = False
        self.heard = now
        self.sent = NEVER
        self.sent_commit = 0
        self.chunk_index = 0
        self.offset = 0
        self.chunk_sent = NEVER

    def copy(self):
        """Return an independent copy."""
        other = Progress.__new__(Progress)
        for name in Progress.__slots__:
            setattr(other, name, getattr(self, name))
        return other

    def key(self):
        """Return the state as a hashable value."""
        return tuple(getattr(self, name) for name in Progress.__slots__)
