"""Operator command ``domain``: declares domain groups lost, or restores one.

>>> from siskintally.commands_domain import DOMAIN_ACTIONS
>>> DOMAIN_ACTIONS
('lost', 'restore')
"""

from absl.flags import DEFINE_boolean

from siskintally.errors import BadSettingsError
from siskintally.verbs import DOMAIN_ACTIONS

SUMMARY = "Declare domain groups lost, or restore one: domain lost GROUP... | domain restore GROUP."
_CONFIRM_REQUIRED = (
    "--confirm: expected. It states that every machine of these domain groups (stores, workers and "
    "entries) is switched off or fenced, so that no task runs on it now or later. The cell cannot "
    "distinguish a lost domain group from a partitioned one, and starts its tasks elsewhere"
)


def define(values):
    """Add the flags of the command."""
    DEFINE_boolean(
        "confirm",
        False,
        "lost: confirm that all machines of the groups are switched off or fenced and run no tasks",
        flag_values=values,
    )
    DEFINE_boolean(
        "force",
        False,
        "lost: even if the cell has heard from a group within the last two minutes",
        flag_values=values,
    )


def start(operation, values, arguments):
    """Run the command and return the answer.

    :raises BadSettingsError: an argument or flag is missing or must not be given.
    """
    action, groups = (arguments or [""])[0], arguments[1:]
    if action not in DOMAIN_ACTIONS or not groups:
        raise BadSettingsError(
            f"arguments = {arguments}: expected lost or restore, then group names"
        )
    if action == "restore" and (len(groups) > 1 or values.confirm or values.force):
        raise BadSettingsError("restore: expected one group and neither --confirm nor --force")
    if action == "lost" and not values.confirm:
        raise BadSettingsError(_CONFIRM_REQUIRED)
    fields = {"action": action, "groups": groups}
    if action == "lost":
        fields |= {"confirm": True, "force": values.force}
    answer = operation.call("domain", fields)
    if not operation.json:
        if action == "lost":
            print(f"tasks moved {answer['moved']}, not placed {answer['unplaced']}")
        print(f"lost domain groups: {', '.join(answer['lost']) or 'none'}")
    return answer
