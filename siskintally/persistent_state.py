"""Persistent state of a replica as a value, and the initial state of a new group.

>>> from siskintally.messages import Identity
>>> from siskintally.persistent_state import bootstrap_state
>>> bootstrap_state((Identity("s1", "a"),)).snapshot.members[0].voter
True
"""

from typing import NamedTuple

from siskintally.membership import sort_members
from siskintally.messages import Identity, Member, Snapshot
from siskintally.raftlog import EMPTY_SNAPSHOT

BOOTSTRAP_INDEX = 1
BOOTSTRAP_TERM = 1


class PersistentState(NamedTuple):
    """Term, vote, snapshot and log of a replica as stored on disk."""

    term: int = 0
    vote: Identity | None = None
    snapshot: Snapshot = EMPTY_SNAPSHOT
    base_index: int = 0
    base_term: int = 0
    entries: tuple = ()


def bootstrap_state(voters):
    """Return the state from which a new group is bootstrapped: a snapshot that names its voters.

    :param voters: identities of the first voters.
    """
    members = sort_members(Member(identity=identity, voter=True) for identity in voters)
    snapshot = Snapshot(index=BOOTSTRAP_INDEX, term=BOOTSTRAP_TERM, members=members, data=b"")
    return PersistentState(
        term=BOOTSTRAP_TERM,
        snapshot=snapshot,
        base_index=BOOTSTRAP_INDEX,
        base_term=BOOTSTRAP_TERM,
    )
