"""Current leader of a group, as published to the rest of the process.

>>> from siskintally.leadership import LeadershipState
>>> from siskintally.roster import FixedRoster
>>> state = LeadershipState(process="s1", roster=FixedRoster(names=("s1", "s2", "s3")))
>>> state.current.term, state.current.is_leader, state.current.leader
(0, False, '')
"""

from siskintally.leader_watchers import LeaderWatchers
from siskintally.messages import Leadership


class LeadershipState:
    """The current :class:`~siskintally.messages.Leadership` and its subscribers.

    :param roster: :class:`~siskintally.roster.Roster` of the group.
    """

    __slots__ = ("_process", "_roster", "_watchers", "current")

    def __init__(self, *, process, roster):
        self.current = Leadership(term=0, leader="", is_leader=False)
        self._process = process
        self._roster = roster
        self._watchers = LeaderWatchers()

    def watch(self):
        """Return a receive stream of :class:`Leadership`, starting with the current one."""
        return self._watchers.add(self.current)

    def leadership_of(self, replica):
        """Return the leadership to publish; a new leader counts once it can accept proposals."""
        if not replica.is_leader:
            leader = replica.leader.name if replica.leader else ""
            return Leadership(term=replica.term, leader=leader, is_leader=False)
        names = [voter.name for voter in replica.voters]
        is_ready = replica.has_committed_in_term and self._roster.is_bootstrapped(names)
        leader = self._process if is_ready else ""
        return Leadership(term=replica.term, leader=leader, is_leader=is_ready)

    def publish(self, leadership):
        """Notify subscribers of a change; return whether this replica led until now."""
        previous = self.current
        if leadership == previous:
            return False
        self.current = leadership
        self._watchers.publish(leadership)
        return previous.is_leader
