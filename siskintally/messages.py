"""Value types of the consensus core: identities, entries, snapshots, messages.

All are immutable and hashable, so that a model checker can put them into states.

>>> from siskintally.messages import Identity, Member, voters_of
>>> members = (Member(Identity("s1", "a"), voter=True), Member(Identity("s2", "b"), voter=False))
>>> voters_of(members)
(Identity(name='s1', incarnation='a'),)
"""

from enum import IntEnum
from typing import NamedTuple


class Kind(IntEnum):
    """What an entry holds; the numbers are those of the wire format."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2


class Identity(NamedTuple):
    """Who votes: a store name with the incarnation of its data folder."""

    name: str
    incarnation: str


class Member(NamedTuple):
    """A replica of the group; one that is no voter is a learner."""

    identity: Identity
    voter: bool


class Entry(NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: Kind = Kind.COMMAND
    command: bytes = b""
    members: tuple = ()


class HardState(NamedTuple):
    """What must be on disk before any message of its term is sent."""

    term: int
    vote: Identity | None


class Snapshot(NamedTuple):
    """State of the machine after the entry ``index``."""

    index: int
    term: int
    members: tuple
    data: bytes


class VoteRequest(NamedTuple):
    """A candidate asks for a vote or, with ``pre_vote``, whether it would get one."""

    term: int
    sender: Identity
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """Answer to a vote request; ``term`` is the asked one if granted, else the voter's."""

    term: int
    sender: Identity
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Entries that follow (prev_index, prev_term); none in a heartbeat."""

    term: int
    sender: Identity
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple = ()


class AppendReply(NamedTuple):
    """Answer to an append; when refused, ``match_index`` is where to try next."""

    term: int
    sender: Identity
    accepted: bool
    match_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """A part of a snapshot; ``checksum`` is the xxh64 of the whole."""

    term: int
    sender: Identity
    index: int
    index_term: int
    members: tuple
    offset: int
    total: int
    data: bytes
    checksum: int


class SnapshotReply(NamedTuple):
    """Answer to a chunk; ``next_offset`` is the total once the snapshot is installed.

    The field order differs from VoteReply, because tuples of equal content compare as equal.
    """

    index: int
    next_offset: int
    term: int
    sender: Identity


class TransferLeadership(NamedTuple):
    """The leader asks the receiver to start an election now."""

    term: int
    sender: str


class Envelope(NamedTuple):
    """A message and the replica it is for."""

    to: Identity
    message: tuple


class Leadership(NamedTuple):
    """Who leads; ``leader`` is a process name, empty if unknown."""

    term: int
    leader: str
    is_leader: bool


def voters_of(members):
    """Return the identities of the voters."""
    return tuple(member.identity for member in members if member.voter)
