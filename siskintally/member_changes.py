"""Membership changes by one replica: sends join requests, proposes and logs changes.

>>> from siskintally.member_changes import MemberChanges
>>> from siskintally.roster import FixedRoster
>>> changes = MemberChanges(
...     group="cell",
...     process="s1",
...     roster=FixedRoster(names=("s1", "s2")),
...     send=lambda to, body: True,
... )
>>> list(changes.roster.contacts())
['s1', 's2']
"""

from siskintally.log import get_logger
from siskintally.member_admission import MemberAdmission

log = get_logger("member-changes")


class MemberChanges:
    """Carries out the join requests and membership changes of a replica.

    :param roster: :class:`~siskintally.roster.Roster` of the group.
    :param send: ``send(process_name, body) -> bool``; must not block.
    """

    __slots__ = ("_admission", "_group", "_logged_index", "_send", "roster")

    def __init__(self, *, group, process, roster, send):
        self.roster = roster
        self._group = group
        self._send = send
        self._admission = MemberAdmission(group=group, process=process, roster=roster)
        self._logged_index = None

    def record_request(self, body, now):
        """Record a JoinRequest of another process."""
        self._admission.record_request(body, now)

    def request_due_at(self, replica):
        """Return the time at which :meth:`advance` must send the next join requests."""
        return self._admission.request_due_at(replica)

    def advance(self, replica, now, effects):
        """Send join requests that are due; as the leader, propose the next membership change."""
        if now >= self._admission.request_due_at(replica):
            for process, body in self._admission.join_requests(replica.identity.incarnation, now):
                self._send(process, body)
        change = self._admission.next_member_change(replica, now)
        if change is not None:
            log.info("proposed membership change", group=self._group, members=str(change))
            effects.extend(replica.propose_members(change, now))

    def log_committed(self, replica):
        """Log each committed member set once; a proposed one may never be committed."""
        index = replica.log.members_index
        if index != self._logged_index and index <= replica.commit_index:
            self._logged_index = index
            log.info("members", group=self._group, index=index, members=str(replica.log.members))
