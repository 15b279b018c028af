"""Persistent state of a replica as a value, and the initial state of a new group.

>>> from siskintally.messages import Identity
>>> from siskintally.persistent_state import founding_state
>>> founding_state((Identity("s1", "a"),)).snapshot.members[0].voter
True
"""

from typing import NamedTuple

from siskintally.membership import ordered
from siskintally.messages import Identity, Member, Snapshot
from siskintally.raftlog import EMPTY_SNAPSHOT

FOUNDING_INDEX = 1
FOUNDING_TERM = 1


class PersistentState(NamedTuple):
    """Term, vote, snapshot and log of a replica as stored on disk."""

    term: int = 0
    vote: Identity | None = None
    snapshot: Snapshot = EMPTY_SNAPSHOT
    base_index: int = 0
    base_term: int = 0
    entries: tuple = ()


def founding_state(voters):
    """Return the state from which a new group is bootstrapped: a snapshot that names its voters.

    :param voters: identities of the first voters.
    """
    members = ordered(Member(identity=identity, voter=True) for identity in voters)
    snapshot = Snapshot(index=FOUNDING_INDEX, term=FOUNDING_TERM, members=members, data=b"")
    return PersistentState(
        term=FOUNDING_TERM,
        snapshot=snapshot,
        base_index=FOUNDING_INDEX,
        base_term=FOUNDING_TERM,
    )
