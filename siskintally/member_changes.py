"""Member changes of one replica: asking to be admitted, admitting others, logging what is in force.

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
    """What a replica does about the members of its group.

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

    def note(self, body, now):
        """Remember a JoinRequest of another process."""
        self._admission.note(body, now)

    def due(self, replica):
        """Return the time at which :meth:`manage` has something to ask."""
        return self._admission.due(replica)

    def manage(self, replica, now, effects):
        """Ask to be admitted, or as the leader admit others in single steps."""
        if now >= self._admission.due(replica):
            for process, body in self._admission.ask(replica.identity.incarnation, now):
                self._send(process, body)
        change = self._admission.next_change(replica, now)
        if change is not None:
            log.info("member change proposed", group=self._group, members=str(change))
            effects.extend(replica.propose_members(change, now))

    def log_committed(self, replica):
        """Log a committed member set once; a proposed one may never be in force."""
        index = replica.log.members_index
        if index != self._logged_index and index <= replica.commit:
            self._logged_index = index
            log.info("members", group=self._group, index=index, members=str(replica.log.members))
