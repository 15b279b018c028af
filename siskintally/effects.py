"""Effects of a replica's transition: what to sync, send, apply and report.

>>> from siskintally.effects import Effects
>>> from siskintally.messages import HardState
>>> effects = Effects()
>>> effects.must_sync
False
>>> effects.hard_state = HardState(term=2, vote=None)
>>> effects.must_sync
True
"""


class Effects:
    """Effects of one or more transitions, to be executed in the order below.

    ``hard_state``, ``entries``, ``snapshot``: to sync to disk first. An entry replaces all stored
    entries with its index or a larger one. ``messages``: to send after the sync. ``restore``:
    snapshot to restore the state machine from. ``committed``: entries to apply after that.
    ``index``: index of the last proposed entry, 0 if none. ``read_round``: read round that was
    started, 0 if none. ``confirmed_round``: highest newly confirmed read round, 0 if none.
    ``leadership``: new leadership, None if unchanged.
    """

    __slots__ = (
        "committed",
        "confirmed_round",
        "entries",
        "hard_state",
        "index",
        "leadership",
        "messages",
        "read_round",
        "restore",
        "snapshot",
    )

    def __init__(self):
        self.hard_state = None
        self.entries = []
        self.snapshot = None
        self.messages = []
        self.restore = None
        self.committed = []
        self.index = 0
        self.read_round = 0
        self.confirmed_round = 0
        self.leadership = None

    @property
    def must_sync(self):
        """Whether something must be synced to disk before the messages are sent."""
        return bool(self.hard_state or self.entries or self.snapshot)

    def extend(self, later):
        """Add the effects of a later transition, so that one sync covers both."""
        self.hard_state = later.hard_state or self.hard_state
        self.entries.extend(later.entries)
        self.snapshot = later.snapshot or self.snapshot
        self.messages.extend(later.messages)
        if later.restore is not None:
            self.restore = later.restore
            self.committed.clear()
        self.committed.extend(later.committed)
        self.index = later.index or self.index
        self.read_round = later.read_round or self.read_round
        self.confirmed_round = max(self.confirmed_round, later.confirmed_round)
        self.leadership = later.leadership or self.leadership
