"""Calls to the leader of a group: proposals and read rounds, from acceptance to reply.

>>> from siskintally.group_calls import GroupCalls
>>> GroupCalls(group="cell", process="s1", leadership=None).is_empty
True
"""

from siskintally.errors import NotLeaderError, OutcomeUnknownError
from siskintally.waiters import Waiter, Waiters


class GroupCalls:
    """Calls that one replica has accepted.

    :param leadership: :class:`~siskintally.leadership.LeadershipState` of the replica.
    """

    __slots__ = ("_group", "_leadership", "_process", "_waiters")

    def __init__(self, *, group, process, leadership):
        self._group = group
        self._process = process
        self._leadership = leadership
        self._waiters = Waiters()

    @property
    def is_empty(self):
        """Whether no call waits."""
        return self._waiters.is_empty

    @property
    def has_proposals(self):
        """Whether a call waits for its command to be committed."""
        return self._waiters.has_proposals

    def not_leader(self):
        """Return the error of a call that another process has to answer."""
        leader = self._leadership.now.leader
        leader = leader if leader != self._process else ""
        return NotLeaderError(f"{self._process} does not lead group {self._group}", leader=leader)

    def begin(self, waiters, replica, now, effects):
        """Begin the entries and the read round of new calls."""
        proposals = [waiter for waiter in waiters if waiter.command is not None]
        reads = [waiter for waiter in waiters if waiter.command is None]
        try:
            if proposals:
                commands = [waiter.command for waiter in proposals]
                effects.extend(replica.propose_batch(commands, now))
                self._waiters.add_proposals(proposals, effects.index)
                proposals = []
            if reads:
                urgent = any(waiter.urgent for waiter in reads)
                effects.extend(replica.confirm(now, urgent=urgent))
                self._waiters.add_reads(reads, effects.round)
                reads = []
        except NotLeaderError:
            self.refuse((*proposals, *reads))

    def refuse(self, waiters):
        """End calls that were not begun."""
        for waiter in waiters:
            waiter.fail(self.not_leader())

    def applied(self, index, reply):
        """End the call whose entry was applied."""
        self._waiters.applied(index, reply)

    def confirmed(self, round_):
        """End the calls of all read rounds up to one."""
        self._waiters.confirmed(round_)

    def fail(self):
        """End all calls, because leadership was lost."""
        self._waiters.fail(
            proposals=lambda: OutcomeUnknownError(f"group {self._group}: leadership was lost"),
            reads=self.not_leader,
        )

    def end(self, items, queued):
        """End the calls of a replica that ends.

        :param items: inputs of the last batch, which may have been cut short by an error.
        :param queued: inputs that were not begun.
        """
        for item in items:
            if isinstance(item, Waiter):
                item.fail(OutcomeUnknownError(f"group {self._group}: the replica ended"))
        self.refuse(item for item in queued if isinstance(item, Waiter))
