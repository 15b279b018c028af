"""Proposals and reads that the leader of a group has accepted, until they are answered.

>>> from siskintally.group_calls import GroupCalls
>>> GroupCalls(group="cell", process="s1", leadership=None).is_empty
True
"""

from siskintally.errors import NotLeaderError, OutcomeUnknownError
from siskintally.waiters import Waiter, Waiters


class GroupCalls:
    """Pending calls of one replica.

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
        """Whether no call is pending."""
        return self._waiters.is_empty

    @property
    def has_proposals(self):
        """Whether a proposal is pending."""
        return self._waiters.has_proposals

    def not_leader_error(self):
        """Return the error for a call that only the leader serves; it names the leader if known."""
        leader = self._leadership.current.leader
        leader = leader if leader != self._process else ""
        return NotLeaderError(
            f"{self._process} is not the leader of group {self._group}", leader=leader
        )

    def start(self, waiters, replica, now, effects):
        """Propose the commands of new calls and start a read round for the reads."""
        proposals = [waiter for waiter in waiters if waiter.command is not None]
        reads = [waiter for waiter in waiters if waiter.command is None]
        try:
            if proposals:
                commands = [waiter.command for waiter in proposals]
                effects.extend(replica.propose_batch(commands, now))
                self._waiters.add_proposals(proposals, replica.term, effects.index)
                proposals = []
            if reads:
                urgent = any(waiter.urgent for waiter in reads)
                effects.extend(replica.start_read_round(now, urgent=urgent))
                self._waiters.add_reads(reads, effects.read_round)
                reads = []
        except NotLeaderError:
            self.reject((*proposals, *reads))

    def reject(self, waiters):
        """Fail calls that were not started."""
        for waiter in waiters:
            waiter.fail(self.not_leader_error())

    def complete_proposal(self, entry, reply):
        """Complete the proposal whose entry was applied, if it was proposed here."""
        self._waiters.complete_proposal(entry, reply)

    def complete_reads(self, round_):
        """Complete the reads of all rounds up to a confirmed one."""
        self._waiters.complete_reads(round_)

    def fail_all(self):
        """Fail all pending calls because leadership was lost."""
        self._waiters.fail_all(
            proposals=lambda: OutcomeUnknownError(f"group {self._group}: leadership was lost"),
            reads=self.not_leader_error,
        )

    def close(self, items, queued):
        """Fail the remaining calls of a replica that stops.

        :param items: inputs of the last batch, which an error may have interrupted.
        :param queued: inputs that were not started.
        """
        for item in items:
            if isinstance(item, Waiter):
                item.fail(OutcomeUnknownError(f"group {self._group}: the replica stopped"))
        self.reject(item for item in queued if isinstance(item, Waiter))
