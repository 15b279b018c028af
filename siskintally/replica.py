"""Raft replica as a pure state machine: no clock, disk, network or random source of its own.

>>> from siskintally.messages import Identity
>>> from siskintally.replica import Replica
>>> from siskintally.persistent_state import bootstrap_state
>>> me = Identity(name="s1", incarnation="a")
>>> replica = Replica(
...     identity=me,
...     persistent_state=bootstrap_state((me,)),
...     election_timeout=lambda: 1.0,
...     now=0.0,
... )
>>> effects = replica.tick(1.0)
>>> effects.hard_state.term, [entry.index for entry in effects.entries], replica.is_leader
(2, [2], True)
>>> [entry.index for entry in replica.mark_synced(2, 2, 1.0).committed]
[2]
"""

from siskintally.effects import Effects
from siskintally.election import NEVER, ElectionMixin, Role
from siskintally.errors import BadRequestError, NotLeaderError
from siskintally.follower import FollowerMixin
from siskintally.membership import check_member_change, sort_members
from siskintally.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotChunk,
    SnapshotReply,
    TransferLeadership,
    VoteReply,
    VoteRequest,
)
from siskintally.persistent_state import PersistentState
from siskintally.raftlog import RaftLog
from siskintally.replication import ReplicationMixin
from siskintally.timing import Timing


class Replica(ElectionMixin, ReplicationMixin, FollowerMixin):
    """One Raft replica; each transition returns :class:`~siskintally.effects.Effects`.

    The caller executes the effects of a transition, and calls :meth:`mark_synced` after each sync,
    before it sends the messages of a later transition. ``deadline`` is the time at which the
    election timeout expires, or on a leader the time at which a leadership transfer is given up.

    :param persistent_state: persistent state read from disk; by default that of an empty disk.
    :param election_timeout: function that returns a random election timeout in seconds.
    :param now: monotonic time in seconds.
    """

    __slots__ = (
        "_election_timeout",
        "_snapshot_checksum",
        "commit_index",
        "confirmed_round",
        "deadline",
        "durable_index",
        "identity",
        "incoming_snapshot",
        "leader",
        "leader_contact_at",
        "leader_process_exited",
        "log",
        "pre_votes_blocked_until",
        "progress_by_id",
        "read_round",
        "role",
        "term",
        "timing",
        "transfer_sent",
        "transfer_target",
        "vote",
        "votes",
        "votes_blocked_until",
    )

    def __init__(self, *, identity, persistent_state=None, timing=None, election_timeout, now):
        persistent_state = persistent_state or PersistentState()
        self.identity = identity
        self.timing = timing or Timing()
        self._election_timeout = election_timeout
        self.term = persistent_state.term
        self.vote = persistent_state.vote
        self.log = RaftLog(
            snapshot=persistent_state.snapshot,
            base_index=persistent_state.base_index,
            base_term=persistent_state.base_term,
            entries=persistent_state.entries,
        )
        self.commit_index = persistent_state.snapshot.index
        self.durable_index = self.log.last_index
        self.role = Role.FOLLOWER
        self.leader = None
        self.leader_process_exited = False
        self.votes = frozenset()
        self.leader_contact_at = NEVER
        self.votes_blocked_until = now + self.timing.startup_vote_block_s
        self.pre_votes_blocked_until = NEVER
        self._restart_election_timer(now)
        self.progress_by_id = {}
        self.read_round = 0
        self.confirmed_round = 0
        self.transfer_target = None
        self.transfer_sent = False
        self.incoming_snapshot = None
        self._snapshot_checksum = (0, 0)

    @property
    def is_leader(self):
        """Whether this replica is in the leader role; a newer leader may exist already."""
        return self.role == Role.LEADER

    @property
    def persistent_state(self):
        """Persistent state: what is on disk once all effects so far are synced."""
        return PersistentState(
            term=self.term,
            vote=self.vote,
            snapshot=self.log.snapshot,
            base_index=self.log.base_index,
            base_term=self.log.base_term,
            entries=tuple(self.log.entries),
        )

    def next_tick(self):
        """Return the time at which :meth:`tick` must be called next."""
        if self.role != Role.LEADER:
            return self.deadline if self.identity in self.voters else float("inf")
        times = [self._next_heartbeat_at(progress) for progress in self.progress_by_id.values()]
        if self.transfer_target is not None:
            times.append(self.deadline)
        return min(times, default=float("inf"))

    def tick(self, now):
        """Start an election if the election timeout has expired; send heartbeats that are due."""
        effects = Effects()
        if self.role == Role.LEADER:
            self._tick_leader(now, effects)
        elif now >= self.deadline:
            if self.identity in self.voters:
                self._start_pre_vote(now, effects)
            else:
                self._restart_election_timer(now)
        return effects

    def receive(self, message, now):
        """Process a message from another replica."""
        effects = Effects()
        is_reply = isinstance(message, AppendReply | SnapshotReply)
        if is_reply and message.term > self.term:
            self._become_follower(message.term, None, now, effects)
        getattr(self, _HANDLER_BY_TYPE[type(message)])(message, now, effects)
        return effects

    def propose(self, command, now):
        """Append a command to the log; ``effects.index`` is its index.

        :raises NotLeaderError: this replica cannot accept proposals; nothing was appended.
        """
        return self.propose_batch((command,), now)

    def propose_batch(self, commands, now):
        """Append commands to the log; ``effects.index`` is the index of the last one.

        :raises NotLeaderError: this replica cannot accept proposals; nothing was appended.
        """
        self._check_is_leader()
        effects = Effects()
        for command in commands:
            entry = Entry(self.log.last_index + 1, self.term, EntryKind.COMMAND, command)
            self._append(entry, effects)
        self._send_all(now, effects)
        return effects

    def propose_members(self, members, now):
        """Append a membership change, which takes effect at once, before it is committed.

        :raises NotLeaderError: this replica cannot accept proposals; nothing was appended.
        :raises BadRequestError: an earlier change or the first entry of the term is not committed,
            or the change is not a valid single-server change.
        """
        self._check_is_leader()
        if not self.has_committed_in_term:
            # Otherwise changes by two successive leaders could be active with disjoint quorums.
            raise BadRequestError("members: no entry of the present term is committed yet")
        if self.log.members_index > self.commit_index:
            raise BadRequestError("members: the previous change is not committed yet")
        check_member_change(self.log.members, members, leader=self.identity)
        effects = Effects()
        index = self.log.last_index + 1
        entry = Entry(index, self.term, EntryKind.MEMBERS, members=sort_members(members))
        self._append(entry, effects)
        self._update_tracked_peers(now)
        self._send_all(now, effects)
        return effects

    def start_read_round(self, now, *, urgent=True):
        """Start a read round (as in ReadIndex); ``effects.read_round`` is its number.

        The round is confirmed once a quorum has replied to a message sent after this call and the
        first entry of the term is committed.

        :param urgent: whether to send messages now; otherwise the next heartbeats carry the round.
        :raises NotLeaderError: this replica does not lead.
        """
        self._check_is_leader(allow_during_transfer=True)
        effects = Effects()
        self.read_round += 1
        effects.read_round = self.read_round
        for voter in self.voters:
            if urgent and voter != self.identity:
                self._send_append(voter, self.progress_by_id[voter], now, effects)
        self._advance_read_round(effects)
        return effects

    def mark_synced(self, index, term, now):
        """Record that the log up to an entry is on disk.

        :param term: term of that entry; the call is ignored if the entry was replaced since.
        """
        effects = Effects()
        if self.log.term_at(index) == term:
            self.durable_index = max(self.durable_index, index)
        if self.role == Role.LEADER:
            self._advance_commit(effects)
            self._advance_read_round(effects)
        return effects

    def compact(self, index, data, *, keep=0):
        """Compact the log: replace entries up to an applied one with a snapshot.

        :param data: serialized state machine after that entry.
        :param keep: number of entries up to ``index`` to retain, so that followers slightly behind
            need no snapshot.
        """
        effects = Effects()
        if self.log.snapshot.index < index <= self.commit_index:
            self.log.compact(index, data, keep=keep)
            effects.snapshot = self.log.snapshot
        return effects

    def transfer_leadership(self, now, *, to=None):
        """Transfer leadership to the most up-to-date reachable voter.

        Proposals are rejected until the transfer ends. Nothing happens if no voter is reachable or
        a transfer is already in progress.

        :param to: identity of the only acceptable target; by default any voter.
        :raises NotLeaderError: this replica does not lead.
        """
        self._check_is_leader(allow_during_transfer=True)
        effects = Effects()
        candidates = [
            (self.progress_by_id[voter].match_index, voter)
            for voter in self.voters
            if voter != self.identity
            and to in (None, voter)
            and now - self.progress_by_id[voter].last_reply_at < self.timing.election_max_s
        ]
        if candidates and self.transfer_target is None:
            self.transfer_target = max(candidates)[1]
            self.transfer_sent = False
            self.deadline = now + self.timing.election_min_s
            self._send_transfer_if_ready(effects)
        return effects

    def expire_election_timers(self):
        """Make the election and quorum timeouts expire at the next tick (for model checking)."""
        self.deadline = NEVER
        self.leader_contact_at = NEVER
        for progress in self.progress_by_id.values():
            progress.last_reply_at = NEVER

    def expire_heartbeat_timers(self):
        """Make heartbeats and chunk retransmissions due at the next tick (for model checking)."""
        for progress in self.progress_by_id.values():
            progress.last_sent_at = NEVER
            progress.chunk_sent_at = NEVER

    def copy(self):
        """Return an independent copy."""
        other = type(self).__new__(type(self))
        for name in Replica.__slots__:
            setattr(other, name, getattr(self, name))
        other.log = self.log.copy()
        other.progress_by_id = {
            peer: progress.copy() for peer, progress in self.progress_by_id.items()
        }
        return other

    def key(self):
        """Return the whole state, timestamps included, as a hashable value."""
        return (
            self.identity,
            self.term,
            self.vote,
            int(self.role),
            self.leader,
            self.leader_process_exited,
            self.commit_index,
            self.durable_index,
            self.log.key(),
            self.votes,
            self.leader_contact_at,
            self.deadline,
            self.pre_votes_blocked_until,
            self.read_round,
            self.confirmed_round,
            self.transfer_target,
            self.transfer_sent,
            self.incoming_snapshot,
            tuple((peer, item.key()) for peer, item in self.progress_by_id.items()),
        )

    def _check_is_leader(self, *, allow_during_transfer=False):
        if self.role != Role.LEADER:
            leader = self.leader.name if self.leader else ""
            raise NotLeaderError(f"{self.identity.name} is not the leader", leader=leader)
        if self.transfer_target is not None and not allow_during_transfer:
            raise NotLeaderError(
                f"{self.identity.name} is transferring leadership", leader=self.transfer_target.name
            )

    def _commit_to(self, index, effects):
        effects.committed.extend(self.log.entries_between(self.commit_index + 1, index))
        self.commit_index = index


_HANDLER_BY_TYPE = {
    VoteRequest: "_on_vote_request",
    VoteReply: "_on_vote_reply",
    AppendRequest: "_on_append_request",
    AppendReply: "_on_append_reply",
    SnapshotChunk: "_on_snapshot_chunk",
    SnapshotReply: "_on_snapshot_reply",
    TransferLeadership: "_on_transfer",
}
