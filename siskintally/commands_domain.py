"""Operator command for domain groups that are lost for good or come back.

>>> from siskintally.commands_domain import DOMAIN_ACTIONS
>>> DOMAIN_ACTIONS
('lost', 'restore')
"""

from absl.flags import DEFINE_boolean

from siskintally.errors import BadSettingsError
from siskintally.verbs import DOMAIN_ACTIONS

SUMMARY = "Declare domain groups lost, or restore one: domain lost GROUP... | domain restore GROUP."
_MUST_BE_SURE = (
    "--confirm: expected. It states that every machine of these domain groups, stores, workers and "
    "entries, is switched off or fenced so that none of its tasks runs or can go on running. The "
    "cell cannot tell a lost domain from a partitioned one, and starts the tasks elsewhere"
)


def define(values):
    """Add the flags of the command."""
    DEFINE_boolean(
        "confirm",
        False,
        "lost: all machines of the groups are switched off or fenced; nothing runs there",
        flag_values=values,
    )
    DEFINE_boolean(
        "force",
        False,
        "lost: also if the cell has heard from a group in the last two minutes",
        flag_values=values,
    )


def start(operation, values, arguments):
    """Run the command; return the answer.

    :raises BadSettingsError: names what is missing.
    """
    action, groups = (arguments or [""])[0], arguments[1:]
    if action not in DOMAIN_ACTIONS or not groups:
        raise BadSettingsError(f"arguments = {arguments}: expected lost or restore, then a group")
    if action == "restore" and (len(groups) > 1 or values.confirm or values.force):
        raise BadSettingsError("restore: expected one group and neither --confirm nor --force")
    if action == "lost" and not values.confirm:
        raise BadSettingsError(_MUST_BE_SURE)
    fields = {"action": action, "groups": groups}
    if action == "lost":
        fields |= {"confirm": True, "force": values.force}
    answer = operation.call("domain", fields)
    if not operation.json:
        if action == "lost":
            print(f"tasks moved {answer['moved']}, held back {answer['unplaced']}")
        print(f"lost domain groups: {', '.join(answer['lost']) or 'none'}")
    return answer
