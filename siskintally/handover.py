"""Graceful stop of a replica: finishes accepted calls, then transfers leadership.

>>> from siskintally.handover import Handover
>>> handover = Handover()
>>> handover.is_asked, handover.due
(False, inf)
"""

from math import inf

STOP_TIMEOUT_S = 4.0


class Handover:
    """State of a graceful stop; does no I/O.

    ``due``: time at which the replica stops in any case, infinite unless a stop was requested.
    """

    __slots__ = ("_is_begun", "due")

    def __init__(self):
        self.due = inf
        self._is_begun = False

    @property
    def is_asked(self):
        """Whether a stop was requested; no more calls are accepted then."""
        return self.due != inf

    def ask(self, now):
        """Request a stop."""
        self.due = now + STOP_TIMEOUT_S

    def advance(self, replica, now, effects, *, is_idle):
        """Start the leadership transfer once all accepted calls have ended.

        :param is_idle: whether all accepted calls have ended.
        """
        if self.is_asked and not self._is_begun and replica.is_leader and is_idle:
            self._is_begun = True
            effects.extend(replica.transfer_leadership(now))

    def is_over(self, replica, now):
        """Return whether to stop now: leadership is transferred or cannot be, or time is up."""
        if not self.is_asked:
            return False
        if now >= self.due or not replica.is_leader:
            return True
        return self._is_begun and replica.transfer_target is None
