"""Graceful stop of a replica: finishes accepted calls, then transfers leadership.

>>> from siskintally.handover import Handover
>>> handover = Handover()
>>> handover.is_requested, handover.deadline
(False, inf)
"""

from math import inf

STOP_TIMEOUT_S = 4.0


class Handover:
    """State of a graceful stop; does no I/O.

    ``deadline``: time at which the replica stops in any case, infinite unless a stop was requested.
    """

    __slots__ = ("_has_started_transfer", "deadline")

    def __init__(self):
        self.deadline = inf
        self._has_started_transfer = False

    @property
    def is_requested(self):
        """Whether a stop was requested; no more calls are accepted then."""
        return self.deadline != inf

    def request(self, now):
        """Request a stop."""
        self.deadline = now + STOP_TIMEOUT_S

    def advance(self, replica, now, effects, *, is_idle):
        """Start the leadership transfer once all accepted calls have ended.

        :param is_idle: whether all accepted calls have ended.
        """
        if self.is_requested and not self._has_started_transfer and replica.is_leader and is_idle:
            self._has_started_transfer = True
            effects.extend(replica.transfer_leadership(now))

    def is_finished(self, replica, now):
        """Return whether to stop now: leadership is transferred or cannot be, or time is up."""
        if not self.is_requested:
            return False
        if now >= self.deadline or not replica.is_leader:
            return True
        return self._has_started_transfer and replica.transfer_target is None
