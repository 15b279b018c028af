"""What a leader knows of one other replica.

>>> from siskintally.progress import Progress
>>> Progress(next_index=5, now=0.0).match
0
"""

from siskintally.election import NEVER


class Progress:
    """Position and liveness of one replica, as its leader sees it.

    ``match``: last index known to be synced there. ``next_index``: first index to send. ``round``:
    highest read round it answered. ``heard``, ``sent``, ``chunk_sent``: times. ``chunk_index``:
    index of the snapshot that is being sent, 0 if none; ``offset``: bytes of it that have arrived.
    ``probed``: whether entries were sent since the last answer. ``answered``: whether it has
    answered this leader.
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
