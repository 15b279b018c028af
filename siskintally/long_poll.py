"""For how long a worker is asked to wait for an end before it answers; pure.

>>> from siskintally.long_poll import LongPollWait
>>> wait = LongPollWait(calm_s=1.2, troubled_s=0.3, memory_s=3.0)
>>> wait.note_silence(10.0)
>>> wait.seconds(11.0), wait.seconds(14.0)
(0.3, 1.2)
"""

from math import inf


class LongPollWait:
    """Long waits while all workers answer, short ones for a while after a call got no answer.

    An answer that is lost hides every end on its worker until the look times out. A long wait saves
    looks; a short one finds the loss early.

    :param calm_s: wait while all calls are answered.
    :param troubled_s: wait after a call without an answer.
    :param memory_s: time for which a call without an answer is remembered.
    """

    __slots__ = ("_calm_s", "_memory_s", "_silent_at", "_troubled_s")

    def __init__(self, *, calm_s, troubled_s, memory_s):
        self._calm_s = calm_s
        self._troubled_s = min(troubled_s, calm_s)
        self._memory_s = memory_s
        self._silent_at = -inf

    def note_silence(self, now):
        """Note that a call to a worker got no answer."""
        self._silent_at = now

    def seconds(self, now):
        """Return the wait for a look that is sent now."""
        is_troubled = now - self._silent_at <= self._memory_s
        return self._troubled_s if is_troubled else self._calm_s
