"""Admission of replicas to a group: when to request it, and which change a leader makes next.

>>> from siskintally.member_admission import MemberAdmission
>>> from siskintally.roster import FixedRoster
>>> admission = MemberAdmission(group="cell", process="s1", roster=FixedRoster(names=("s1", "s2")))
>>> [(process, body.name) for process, body in admission.join_requests("incarnation", now=5.0)]
[('s2', 's1')]
>>> admission.join_requests("incarnation", now=5.1)
[]
"""

from siskintally.membership import next_member_change
from siskintally.messages import Identity
from siskintally.wire_pb2 import JoinRequest

JOIN_INTERVAL_S = 1.0
LEADER_SILENCE_S = 5.0
JOIN_REQUEST_VALID_S = 3.0
CAUGHT_UP_ENTRIES = 200


class MemberAdmission:
    """Decides when to send join requests and, on the leader, which membership change is next.

    :param roster: :class:`~siskintally.roster.Roster` of the group.
    """

    __slots__ = (
        "_group",
        "_process",
        "_request_by_name",
        "_roster",
        "_term_start",
        "next_request_at",
    )

    def __init__(self, *, group, process, roster):
        self._group = group
        self._process = process
        self._roster = roster
        self._term_start = (0, 0.0)
        self._request_by_name = {}
        self.next_request_at = 0.0

    def request_due_at(self, replica):
        """Return the time at which a replica should request to join the group.

        A member does so too after 5 s without contact to a leader: it may have been replaced by a
        new incarnation and not been notified.
        """
        if replica.is_leader:
            return float("inf")
        if any(member.identity == replica.identity for member in replica.log.members):
            return max(self.next_request_at, replica.leader_contact_at + LEADER_SILENCE_S)
        return self.next_request_at

    def join_requests(self, incarnation, now):
        """Return (process, JoinRequest) pairs to send, at most once a second."""
        if now < self.next_request_at:
            return []
        self.next_request_at = now + JOIN_INTERVAL_S
        body = JoinRequest(group=self._group, name=self._process, incarnation=incarnation)
        return [(name, body) for name in self._roster.contacts() if name != self._process]

    def record_request(self, body, now):
        """Record a request, valid for 3 s; ignore one with an empty incarnation (a query)."""
        if body.incarnation and self._roster.may_join(body.name):
            self._request_by_name[body.name] = (body.incarnation, now)

    def next_member_change(self, replica, now):
        """Return the next member set for the leader to propose, or None.

        :param replica: leader of the group.
        """
        log = replica.log
        can_change = replica.has_committed_in_term and replica.transfer_target is None
        if not can_change or log.members_index > replica.commit_index:
            return None
        self._request_by_name = {
            name: (incarnation, received_at)
            for name, (incarnation, received_at) in self._request_by_name.items()
            if now - received_at < JOIN_REQUEST_VALID_S
        }
        return self._next_admission(replica, now) or self._next_removal(replica, now)

    def _next_admission(self, replica, now):
        log = replica.log
        if not self._request_by_name and all(member.voter for member in log.members):
            return None
        return next_member_change(
            log.members,
            joining=[Identity(name, item[0]) for name, item in self._request_by_name.items()],
            is_alive=lambda identity: _is_alive(replica, identity, now),
            is_caught_up=lambda identity: _is_caught_up(replica, identity),
        )

    def _next_removal(self, replica, now):
        """Return the members without a lost voter, or None; silence before this term is ignored."""
        if self._term_start[0] != replica.term:
            self._term_start = (replica.term, now)
        silent_s_by_voter = {
            voter: _seconds_since_reply(replica, voter, now, self._term_start[1])
            for voter in replica.voters
        }
        lost_voter = self._roster.voter_to_remove(silent_s_by_voter)
        if lost_voter is None:
            return None
        return tuple(member for member in replica.log.members if member.identity != lost_voter)


def _seconds_since_reply(replica, voter, now, since):
    if voter == replica.identity:
        return 0.0
    progress = replica.progress_by_id[voter]
    return now - max(progress.last_reply_at, since) if progress.has_replied else now - since


def _is_alive(replica, identity, now):
    progress = replica.progress_by_id.get(identity)
    if progress is None:
        return identity == replica.identity
    return progress.has_replied and now - progress.last_reply_at < replica.timing.election_max_s


def _is_caught_up(replica, identity):
    match = replica.progress_by_id[identity].match_index
    return match > 0 and match >= replica.commit_index - CAUGHT_UP_ENTRIES
