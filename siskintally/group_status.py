"""Which domain groups operators have declared lost.

>>> from siskintally.group_status import GroupStatusTable
>>> table = GroupStatusTable()
>>> table.lose("fjeld", index=7)
>>> table.is_lost("fjeld"), table.of("fjeld").epoch, table.latest("fjeld")
(True, 1, 7)
"""

from siskintally.cell_state_pb2 import Standing
from siskintally.codes import Code
from siskintally.errors import SiskintallyError

# The leader of a domain group polls every 5 s. Elections, restarts and short partitions are over
# within this time; a group that was heard from later is more likely alive than lost.
MIN_SILENCE_S = 120.0


class GroupInUseError(SiskintallyError):
    """Something may still run in the domain group; nothing was changed."""

    code = Code.GROUP_IN_USE


def group_status_text(status):
    """Name a Standing.

    :returns: in service; lost; or lost, idle.
    """
    if not status.lost:
        return "in service"
    return "lost, idle" if status.idle else "lost"


class GroupStatusTable:
    """Status of each domain group.

    Each declared loss begins a new epoch of the group. What belongs to an earlier epoch, such as a
    late report, has no effect, and a group that still follows an earlier one has to clear its jobs.
    """

    __slots__ = ("_by_group",)

    def __init__(self):
        self._by_group = {}

    def of(self, group):
        """Return the Standing of a group; it must not be changed."""
        return self._by_group.get(group) or Standing(group=group)

    def is_lost(self, group):
        """Tell whether a group may run nothing."""
        return self.of(group).lost

    def lost(self):
        """Return the names of the groups that may run nothing, sorted."""
        return sorted(name for name, status in self._by_group.items() if status.lost)

    def accepts(self, group, epoch):
        """Tell whether a report of a group in an epoch counts."""
        status = self.of(group)
        return not status.lost and epoch == status.epoch

    def latest(self, group):
        """Return the log index of the last change for a group, 0 if none."""
        return self.of(group).changed_at

    def lose(self, group, *, index):
        """Begin a new epoch of a group, in which it may run nothing."""
        epoch = self.of(group).epoch + 1
        self._by_group[group] = Standing(group=group, epoch=epoch, lost=True, changed_at=index)

    def confirm(self, group, epoch):
        """Note that nothing runs in a lost group; a word from another epoch is ignored."""
        status = self.of(group)
        if status.lost and status.epoch == epoch:
            status.idle = True

    def restore(self, group, *, index):
        """Let a lost group take work again.

        :raises GroupInUseError: it has not confirmed that nothing runs there.
        """
        status = self.of(group)
        if not status.idle:
            raise GroupInUseError(f"{group} has not confirmed that nothing runs there")
        status.lost = status.idle = False
        status.changed_at = index

    def save(self, state):
        """Write all standings into a State message."""
        state.standings.extend(self._by_group[name] for name in sorted(self._by_group))

    def load(self, state):
        """Replace everything with the standings of a State message."""
        self._by_group = {status.group: status for status in state.standings}
