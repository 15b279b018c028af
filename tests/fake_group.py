"""Group of one process for tests, which applies a proposal at once."""

from siskintally.errors import NotLeaderError


class FakeGroup:
    """Replaces :class:`siskintally.group.Group`.

    :param machine: state machine to which proposals are applied.
    """

    members = ()

    __slots__ = ("applied_index", "is_leader", "leader", "machine", "name", "term")

    def __init__(self, *, machine, name="cell"):
        self.name = name
        self.machine = machine
        self.is_leader = True
        self.leader = "s1"
        self.term = 1
        self.applied_index = 0

    async def propose(self, command):
        """Apply a command and return the reply."""
        await self.confirm_leadership()
        self.applied_index += 1
        return self.machine.apply(index=self.applied_index, command=command)

    async def confirm_leadership(self, *, urgent=True):
        """Refuse unless this process leads."""
        if not self.is_leader:
            raise NotLeaderError("not leader", leader=self.leader)
