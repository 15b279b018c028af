"""Raft value types: identities, members, log entries, snapshots and messages.

All are immutable and hashable, so that the model checker can use them in its states.

>>> from siskintally.messages import Identity, Member, voters_of
>>> members = (Member(Identity("s1", "a"), voter=True), Member(Identity("s2", "b"), voter=False))
>>> voters_of(members)
(Identity(name='s1', incarnation='a'),)
"""

from enum import IntEnum
from typing import NamedTuple


class EntryKind(IntEnum):
    """Type of a log entry; the numbers are those of the wire format."""

    COMMAND = 0
    NOOP = 1
    MEMBERS = 2


class Identity(NamedTuple):
    """Identity of a replica: its process name and the incarnation of its data folder."""

    name: str
    incarnation: str


class Member(NamedTuple):
    """A member of the group: a voter or a learner."""

    identity: Identity
    voter: bool


class Entry(NamedTuple):
    """One entry of the log."""

    index: int
    term: int
    kind: EntryKind = EntryKind.COMMAND
    command: bytes = b""
    members: tuple = ()


class HardState(NamedTuple):
    """Term and vote; must be on disk before any message of the term is sent."""

    term: int
    vote: Identity | None


class Snapshot(NamedTuple):
    """Serialized state machine after the entry ``index``."""

    index: int
    term: int
    members: tuple
    data: bytes


class VoteRequest(NamedTuple):
    """A candidate's request for a vote or, with ``pre_vote``, for a pre-vote.

    ``transfer`` marks an election that the leader itself requested.
    """

    term: int
    sender: Identity
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


class VoteReply(NamedTuple):
    """Reply to a vote request; ``term`` is the requested one if granted, else the voter's."""

    term: int
    sender: Identity
    granted: bool
    pre_vote: bool


class AppendRequest(NamedTuple):
    """Entries after (prev_index, prev_term); a heartbeat has none."""

    term: int
    sender: Identity
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple = ()


class AppendReply(NamedTuple):
    """Reply to an append; if rejected, ``match_index`` is the index after which to retry."""

    term: int
    sender: Identity
    accepted: bool
    match_index: int
    round: int


class SnapshotChunk(NamedTuple):
    """A part of a snapshot; ``checksum`` is the xxh64 of the whole snapshot."""

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
    """Reply to a chunk; ``next_offset`` is the total size once the snapshot is installed.

    The field order differs from VoteReply, because tuples with equal values compare equal.
    """

    index: int
    next_offset: int
    term: int
    sender: Identity


class TransferLeadership(NamedTuple):
    """The leader's request that the receiver start an election now (Raft TimeoutNow)."""

    term: int
    sender: str


class Envelope(NamedTuple):
    """A message and its recipient."""

    to: Identity
    message: tuple


class Leadership(NamedTuple):
    """Current leader; ``leader`` is a process name, empty if unknown."""

    term: int
    leader: str
    is_leader: bool


def voters_of(members):
    """Return the identities of the voters."""
    return tuple(member.identity for member in members if member.voter)
