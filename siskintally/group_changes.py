"""Operator changes that declare domain groups lost or restore them to service.

>>> from siskintally.group_changes import restore_group
>>> restore_group.__name__
'restore_group'
"""

from siskintally.errors import BadRequestError, NotFoundError
from siskintally.group_status import MIN_SILENCE_S, GroupInUseError, group_status_text

MAX_SHOWN_NAME_LENGTH = 128


def lose_groups(cell, index, command, description):
    """Declare domain groups lost, all of them or none.

    :param cell: :class:`~siskintally.cell.Cell`, changed in place.
    :param description: description of the change for the audit record, filled in here.
    :returns: the answer as a dict.
    :raises GroupInUseError: a group was heard from recently, and the change is not forced.
    :raises NotFoundError: no such group.
    :raises BadRequestError: no group is named.
    """
    change = command.lose_groups
    names = list(dict.fromkeys(change.groups))
    description.subject = " ".join(names)
    description.new_value = "lost, forced" if change.force else "lost"
    if not names:
        raise BadRequestError("groups: expected at least one name")
    description.old_value = " ".join(f"{name}: {_status_text(cell, name)}" for name in names)
    names = [name for name in names if not cell.group_statuses.is_lost(name)]
    for name in names:
        silent_s = cell.jobs.capacity.info_by_group[name].silent_s
        if not change.force and silent_s < MIN_SILENCE_S:
            raise GroupInUseError(
                f"{name} was or may have been heard from {silent_s:.0f} s ago; "
                f"expected {MIN_SILENCE_S:.0f} s of silence, or force"
            )
    moved, unplaced = cell.jobs.declare_lost(names, index=index, now=cell.now)
    cell.admit_jobs(index)
    return {"lost": cell.group_statuses.lost_groups(), "moved": moved, "unplaced": unplaced}


def restore_group(cell, index, command, description):
    """Put a lost group back into service.

    :returns: the answer as a dict.
    :raises GroupInUseError: the group has not confirmed that nothing runs there.
    :raises NotFoundError: no such group.
    """
    name = command.restore_group.group
    description.subject = name
    description.old_value = _status_text(cell, name)
    description.new_value = "in service"
    if cell.group_statuses.is_lost(name):
        cell.jobs.restore(name, index=index, now=cell.now)
    return {"lost": cell.group_statuses.lost_groups()}


def _status_text(cell, group):
    if group not in cell.jobs.capacity.info_by_group:
        raise NotFoundError(f"group = {group[:MAX_SHOWN_NAME_LENGTH]!r}: no such domain group")
    return group_status_text(cell.group_statuses.get(group))
