"""Inputs of the task that runs one replica, beside the calls that wait.

>>> from siskintally.group_inputs import Arrival
>>> Arrival(message=None, at=1.5).at
1.5
"""


class Stop:
    """Asks the task to hand over leadership and end."""

    __slots__ = ()


class Arrival:
    """A message of another replica, with the time of its arrival if it waits for others."""

    __slots__ = ("at", "message")

    def __init__(self, *, message, at):
        self.message = message
        self.at = at


class PeerEnded:
    """Says that the process of another replica has ended."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name
