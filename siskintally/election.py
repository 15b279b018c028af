"""Leader election of a replica: pre-votes, votes and role changes.

>>> from siskintally.election import Role
>>> Role.LEADER.name
'LEADER'
"""

from enum import IntEnum

from siskintally.membership import quorum_size
from siskintally.messages import (
    Entry,
    EntryKind,
    Envelope,
    HardState,
    Leadership,
    VoteReply,
    VoteRequest,
    voters_of,
)

NEVER = float("-inf")


class Role(IntEnum):
    """Raft role of a replica."""

    FOLLOWER = 0
    PRE_CANDIDATE = 1
    CANDIDATE = 2
    LEADER = 3


class ElectionMixin:
    """Mixin of :class:`~siskintally.replica.Replica` with the election rules."""

    __slots__ = ()

    @property
    def voters(self):
        """Identities of the voters in the current configuration."""
        return voters_of(self.log.members)

    def _must_ignore_candidates(self, now):
        """Return whether to ignore candidates: a leader is alive, or may be after a restart."""
        if self.role == Role.LEADER or now < self.votes_blocked_until:
            return True
        return (
            self.leader is not None and now - self.leader_contact_at < self._min_leader_timeout_s()
        )

    def _min_leader_timeout_s(self):
        """Return the time without contact after which a leader may be replaced, in seconds."""
        factor = self.timing.exited_leader_timeout_factor if self.leader_process_exited else 1.0
        return self.timing.election_min_s * factor

    def record_process_exit(self, name, now):
        """Shorten the election timeout if the process that exited is that of the leader.

        :param name: name of the process.
        """
        is_leader = self.leader is not None and self.leader.name == name
        if self.role != Role.FOLLOWER or not is_leader:
            return
        self.leader_process_exited = True
        earliest_at = (
            max(now, self.leader_contact_at + self._min_leader_timeout_s())
            + self._stagger_delay_s()
        )
        self.deadline = min(self.deadline, earliest_at)

    def _restart_election_timer(self, now):
        self.deadline = (
            now + self._election_timeout() * self._timeout_factor() + self._stagger_delay_s()
        )

    def _timeout_factor(self):
        if self.leader_contact_at == NEVER:
            return self.timing.first_timeout_factor
        if self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE):
            return self.timing.retry_timeout_factor
        return 1.0

    def _stagger_delay_s(self):
        """Return the election delay of this voter: the earlier its name, the sooner it starts."""
        preceding = sum(voter < self.identity for voter in self.voters)
        return preceding * self.timing.stagger_s

    def _set_term(self, term, vote, effects):
        self.term = term
        self.vote = vote
        effects.hard_state = HardState(term=term, vote=vote)

    def _set_leader(self, leader, effects):
        self.leader = leader
        self.leader_process_exited = False
        effects.leadership = Leadership(
            term=self.term,
            leader=leader.name if leader else "",
            is_leader=self.role == Role.LEADER,
        )

    def _become_follower(self, term, leader, now, effects):
        if term > self.term:
            self._set_term(term, None, effects)
        is_changed = (self.role, self.leader) != (Role.FOLLOWER, leader) or effects.hard_state
        was_leader = self.role == Role.LEADER
        self.role = Role.FOLLOWER
        if leader is not None or was_leader:
            self._restart_election_timer(now)
        self.votes = frozenset()
        self.progress_by_id = {}
        self.transfer_target = None
        self.transfer_sent = False
        if is_changed:
            self._set_leader(leader, effects)

    def _request_votes(self, role, now, effects, *, transfer=False):
        self.role = role
        self.votes = frozenset((self.identity,))
        self._set_leader(None, effects)
        self._restart_election_timer(now)
        pre_vote = role == Role.PRE_CANDIDATE
        request = VoteRequest(
            term=self.term + 1 if pre_vote else self.term,
            sender=self.identity,
            last_index=self.log.last_index,
            last_term=self.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        for voter in self.voters:
            if voter != self.identity:
                effects.messages.append(Envelope(to=voter, message=request))
        self._count_votes(now, effects)

    def _start_pre_vote(self, now, effects):
        self._request_votes(Role.PRE_CANDIDATE, now, effects)

    def _start_election(self, now, effects, *, transfer=False):
        self._set_term(self.term + 1, self.identity, effects)
        self._block_pre_votes(now)
        self._request_votes(Role.CANDIDATE, now, effects, transfer=transfer)

    def _count_votes(self, now, effects):
        voters = self.voters
        if len(self.votes & set(voters)) < quorum_size(len(voters)):
            return
        if self.role == Role.PRE_CANDIDATE:
            self._start_election(now, effects)
        elif self.role == Role.CANDIDATE:
            self._become_leader(now, effects)

    def _become_leader(self, now, effects):
        self.role = Role.LEADER
        self.votes = frozenset()
        self.read_round = 0
        self.confirmed_round = 0
        self._set_leader(self.identity, effects)
        self.progress_by_id = {}
        self._update_tracked_peers(now)
        self._append(Entry(self.log.last_index + 1, self.term, EntryKind.NOOP), effects)
        self._send_all(now, effects)

    def _on_vote_request(self, request, now, effects):
        if request.pre_vote:
            self._on_pre_vote_request(request, now, effects)
            return
        if self._must_ignore_candidates(now) and not request.transfer and request.term > self.term:
            # A replica back from a partition must not depose a leader that is still alive.
            return
        if request.term > self.term:
            self._become_follower(request.term, None, now, effects)
        granted = (
            request.term == self.term
            and self.vote in (None, request.sender)
            and self._is_up_to_date(request)
        )
        if granted and self.vote is None:
            self._set_term(self.term, request.sender, effects)
            self._block_pre_votes(now)
            self._restart_election_timer(now)
        self._reply_vote(request, granted, effects)

    def _on_pre_vote_request(self, request, now, effects):
        granted = (
            request.term > self.term
            and not self._must_ignore_candidates(now)
            and now >= self.pre_votes_blocked_until
            and self._is_up_to_date(request)
        )
        self._reply_vote(request, granted, effects)

    def _block_pre_votes(self, now):
        """Grant no pre-vote while the round of votes in which this replica has voted may succeed.

        A candidate of the next term would depose the leader that is just being elected.
        """
        self.pre_votes_blocked_until = now + self.timing.stagger_s

    def _reply_vote(self, request, granted, effects):
        reply = VoteReply(
            term=request.term if granted else self.term,
            sender=self.identity,
            granted=granted,
            pre_vote=request.pre_vote,
        )
        effects.messages.append(Envelope(to=request.sender, message=reply))

    def _is_up_to_date(self, request):
        own_position = (self.log.last_term, self.log.last_index)
        return (request.last_term, request.last_index) >= own_position

    def _on_vote_reply(self, reply, now, effects):
        if not reply.granted:
            if reply.term > self.term:
                self._become_follower(reply.term, None, now, effects)
            return
        requested_term = self.term + 1 if reply.pre_vote else self.term
        role = Role.PRE_CANDIDATE if reply.pre_vote else Role.CANDIDATE
        if reply.term == requested_term and self.role == role:
            self.votes |= {reply.sender}
            self._count_votes(now, effects)

    def _on_transfer(self, message, now, effects):
        may_lead = self.role != Role.LEADER and self.identity in self.voters
        if message.term == self.term and may_lead:
            self._start_election(now, effects, transfer=True)
