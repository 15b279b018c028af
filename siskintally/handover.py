"""End of a replica: finish the accepted calls, then transfer leadership.

>>> from siskintally.handover import Handover
>>> handover = Handover()
>>> handover.is_asked, handover.due
(False, inf)
"""

from math import inf

STOP_TIMEOUT_S = 4.0


class Handover:
    """Progress of a stop; pure.

    ``due``: time at which the replica ends in any case, infinite while no stop is asked for.
    """

    __slots__ = ("_is_begun", "due")

    def __init__(self):
        self.due = inf
        self._is_begun = False

    @property
    def is_asked(self):
        """Whether a stop is asked for; no more calls are accepted."""
        return self.due != inf

    def ask(self, now):
        """Begin to stop."""
        self.due = now + STOP_TIMEOUT_S

    def advance(self, replica, now, effects, *, is_idle):
        """Transfer leadership once.

        :param is_idle: whether all accepted calls have ended.
        """
        if self.is_asked and not self._is_begun and replica.is_leader and is_idle:
            self._is_begun = True
            effects.extend(replica.transfer(now))

    def is_over(self, replica, now):
        """Whether a stop is asked for and leadership is handed over, or cannot be."""
        if not self.is_asked:
            return False
        if now >= self.due or not replica.is_leader:
            return True
        return self._is_begun and replica.transfer_to is None
