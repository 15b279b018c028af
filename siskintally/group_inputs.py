"""Inputs other than calls to the task that runs one replica.

>>> from siskintally.group_inputs import Arrival
>>> Arrival(message=None, at=1.5).at
1.5
"""


class Stop:
    """Request to transfer leadership and stop."""

    __slots__ = ()


class Arrival:
    """A received message; ``at`` is its time of arrival if processing it may be delayed."""

    __slots__ = ("at", "message")

    def __init__(self, *, message, at):
        self.message = message
        self.at = at


class PeerEnded:
    """Event: the process of another replica has exited."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name
