"""Wait time of status polls, in which a worker waits for an end before it replies; pure.

>>> from siskintally.long_poll import LongPollWait
>>> wait = LongPollWait(calm_s=1.2, troubled_s=0.3, memory_s=3.0)
>>> wait.note_silence(10.0)
>>> wait.seconds(11.0), wait.seconds(14.0)
(0.3, 1.2)
"""

from math import inf


class LongPollWait:
    """Long waits while all workers reply, short ones for a while after a call got no reply.

    A lost reply hides all ends on its worker until the status poll times out. A long wait reduces
    the number of polls; a short one detects the loss early.

    :param calm_s: wait while all calls get a reply.
    :param troubled_s: wait after a call without a reply.
    :param memory_s: time for which the short wait is used after a call without a reply.
    """

    __slots__ = ("_calm_s", "_memory_s", "_silent_at", "_troubled_s")

    def __init__(self, *, calm_s, troubled_s, memory_s):
        self._calm_s = calm_s
        self._troubled_s = min(troubled_s, calm_s)
        self._memory_s = memory_s
        self._silent_at = -inf

    def note_silence(self, now):
        """Record that a call to a worker got no reply."""
        self._silent_at = now

    def seconds(self, now):
        """Return the wait for a status poll that is sent now, s."""
        is_troubled = now - self._silent_at <= self._memory_s
        return self._troubled_s if is_troubled else self._calm_s
