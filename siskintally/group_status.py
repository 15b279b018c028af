"""Status of the domain groups: which of them operators have declared lost, and their epochs.

>>> from siskintally.group_status import GroupStatusTable
>>> table = GroupStatusTable()
>>> table.declare_lost("fjeld", index=7)
>>> table.is_lost("fjeld"), table.get("fjeld").epoch, table.latest_change("fjeld")
(True, 1, 7)
"""

from siskintally.cell_state_pb2 import Standing
from siskintally.codes import Code
from siskintally.errors import SiskintallyError

# The leader of a domain group polls every 5 s. Elections, restarts and short partitions take less
# than this time; a group that was heard from more recently is more likely alive than lost.
MIN_SILENCE_S = 120.0


class GroupInUseError(SiskintallyError):
    """Tasks may still run in the domain group; nothing changed."""

    code = Code.GROUP_IN_USE


def group_status_text(status):
    """Return the name of the status in a Standing message.

    :returns: in service; lost; or lost, idle.
    """
    if not status.lost:
        return "in service"
    return "lost, idle" if status.idle else "lost"


class GroupStatusTable:
    """Status of each domain group.

    Each declared loss starts a new epoch of the group. Messages of an earlier epoch, such as a late
    report, have no effect, and a group that is still in an earlier epoch must cancel its jobs.
    """

    __slots__ = ("_status_by_group",)

    def __init__(self):
        self._status_by_group = {}

    def get(self, group):
        """Return the Standing message of a group, an empty one if it was never lost.

        Callers must not change it.
        """
        return self._status_by_group.get(group) or Standing(group=group)

    def is_lost(self, group):
        """Return whether a group is lost, so that it may not run tasks."""
        return self.get(group).lost

    def lost_groups(self):
        """Return the sorted names of the lost groups."""
        return sorted(name for name, status in self._status_by_group.items() if status.lost)

    def accepts_report(self, group, epoch):
        """Return whether a report that a group sent in an epoch is valid."""
        status = self.get(group)
        return not status.lost and epoch == status.epoch

    def latest_change(self, group):
        """Return the log index of the last loss or restore of a group, 0 if none."""
        return self.get(group).changed_at

    def declare_lost(self, group, *, index):
        """Declare a group lost, which starts a new epoch of it."""
        epoch = self.get(group).epoch + 1
        self._status_by_group[group] = Standing(
            group=group, epoch=epoch, lost=True, changed_at=index
        )

    def confirm_idle(self, group, epoch):
        """Record that nothing runs in a lost group; a report of another epoch is ignored."""
        status = self.get(group)
        if status.lost and status.epoch == epoch:
            status.idle = True

    def restore(self, group, *, index):
        """Put a lost group back into service.

        :raises GroupInUseError: the group has not confirmed that nothing runs there.
        """
        status = self.get(group)
        if not status.idle:
            raise GroupInUseError(f"{group} has not confirmed that nothing runs there")
        status.lost = status.idle = False
        status.changed_at = index

    def save(self, state):
        """Write the status of all groups into a State message."""
        state.standings.extend(
            self._status_by_group[name] for name in sorted(self._status_by_group)
        )

    def load(self, state):
        """Replace the table with the statuses in a State message."""
        self._status_by_group = {status.group: status for status in state.standings}
