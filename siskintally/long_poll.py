"""Wait time of status polls, in which a worker waits for an end before it replies; pure.

>>> from siskintally.long_poll import LongPollWait
>>> wait = LongPollWait(normal_wait_s=1.2, reduced_wait_s=0.3, reduced_period_s=3.0)
>>> wait.record_unanswered(10.0)
>>> wait.seconds(11.0), wait.seconds(14.0)
(0.3, 1.2)
"""

from math import inf


class LongPollWait:
    """Long waits while all workers reply, short ones for a while after a call got no reply.

    A lost reply hides all ends on its worker until the status poll times out. A long wait reduces
    the number of polls; a short one detects the loss early.

    :param normal_wait_s: wait while all calls get a reply.
    :param reduced_wait_s: wait after a call without a reply.
    :param reduced_period_s: time for which the short wait is used after a call without a reply.
    """

    __slots__ = ("_normal_wait_s", "_reduced_period_s", "_reduced_wait_s", "_unanswered_at")

    def __init__(self, *, normal_wait_s, reduced_wait_s, reduced_period_s):
        self._normal_wait_s = normal_wait_s
        self._reduced_wait_s = min(reduced_wait_s, normal_wait_s)
        self._reduced_period_s = reduced_period_s
        self._unanswered_at = -inf

    def record_unanswered(self, now):
        """Record that a call to a worker got no reply."""
        self._unanswered_at = now

    def seconds(self, now):
        """Return the wait for a status poll that is sent now, s."""
        is_reduced = now - self._unanswered_at <= self._reduced_period_s
        return self._reduced_wait_s if is_reduced else self._normal_wait_s
