"""Who leads a group, as one replica tells the rest of its process.

>>> from siskintally.leadership import LeadershipState
>>> from siskintally.roster import FixedRoster
>>> state = LeadershipState(process="s1", roster=FixedRoster(names=("s1", "s2", "s3")))
>>> state.now.term, state.now.is_leader, state.now.leader
(0, False, '')
"""

from siskintally.leader_watchers import LeaderWatchers
from siskintally.messages import Leadership


class LeadershipState:
    """The present :class:`~siskintally.messages.Leadership` and those who watch it.

    :param roster: :class:`~siskintally.roster.Roster` of the group.
    """

    __slots__ = ("_process", "_roster", "_watchers", "now")

    def __init__(self, *, process, roster):
        self.now = Leadership(term=0, leader="", is_leader=False)
        self._process = process
        self._roster = roster
        self._watchers = LeaderWatchers()

    def watch(self):
        """Return a receive stream of :class:`Leadership`, starting with the present state."""
        return self._watchers.add(self.now)

    def seen_by(self, replica):
        """Return the leadership as a replica sees it."""
        if not replica.is_leader:
            leader = replica.leader.name if replica.leader else ""
            return Leadership(term=replica.term, leader=leader, is_leader=False)
        names = [voter.name for voter in replica.voters]
        is_ready = replica.is_settled and self._roster.is_founded(names)
        leader = self._process if is_ready else ""
        return Leadership(term=replica.term, leader=leader, is_leader=is_ready)

    def publish(self, leadership):
        """Tell those who watch, if it changed; return whether this replica has ceased to lead."""
        before = self.now
        if leadership == before:
            return False
        self.now = leadership
        self._watchers.publish(leadership)
        return before.is_leader
