"""Detection of pauses of this process, such as SIGSTOP or a frozen VM.

>>> from siskintally.pause_detector import PauseDetector
>>> detector = PauseDetector()
>>> detector.beat(10.0); detector.distrusts(10.5), detector.distrusts(70.0)
(False, True)
"""

from math import inf

# The loop beats four times a second; a longer gap means that the process did not run.
GAP_S = 1.0
# Time to read what arrived during the pause.
DISTRUST_S = 1.0


class PauseDetector:
    """Tells whether what is read now may have waited in socket buffers through a pause."""

    __slots__ = ("_distrust_until", "_last")

    def __init__(self):
        self._last = inf
        self._distrust_until = -inf

    def beat(self, now):
        """Note that the process runs; call it at least twice a second."""
        self._look(now)
        self._last = now

    def distrusts(self, now):
        """Tell whether input read now may be from before a pause."""
        self._look(now)
        return now <= self._distrust_until

    def _look(self, now):
        if now - self._last > GAP_S:
            self._distrust_until = now + DISTRUST_S
            self._last = now
