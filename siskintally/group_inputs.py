"""Inputs other than calls to the task that runs one replica.

>>> from siskintally.group_inputs import ReceivedMessage
>>> ReceivedMessage(message=None, received_at=1.5).received_at
1.5
"""


class Stop:
    """Request to transfer leadership and stop."""

    __slots__ = ()


class ReceivedMessage:
    """A received message; ``received_at`` is set if processing it may be delayed."""

    __slots__ = ("message", "received_at")

    def __init__(self, *, message, received_at):
        self.message = message
        self.received_at = received_at


class PeerExited:
    """Event: the process of another replica has exited."""

    __slots__ = ("name",)

    def __init__(self, *, name):
        self.name = name
