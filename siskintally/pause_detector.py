"""Detection of pauses of this process, such as by SIGSTOP or a frozen VM.

>>> from siskintally.pause_detector import PauseDetector
>>> detector = PauseDetector()
>>> detector.beat(10.0); detector.distrusts(10.5), detector.distrusts(70.0)
(False, True)
"""

from math import inf

# The process calls the detector four times a second; after a longer gap it was paused.
GAP_S = 1.0
# Time to read the input that arrived during the pause.
DISTRUST_S = 1.0


class PauseDetector:
    """Detects pauses, after which input may be old because it waited in socket buffers."""

    __slots__ = ("_distrust_until", "_last")

    def __init__(self):
        self._last = inf
        self._distrust_until = -inf

    def beat(self, now):
        """Record that the process runs; must be called at least twice a second."""
        self._look(now)
        self._last = now

    def distrusts(self, now):
        """Return whether input read now may have arrived during a pause."""
        self._look(now)
        return now <= self._distrust_until

    def _look(self, now):
        if now - self._last > GAP_S:
            self._distrust_until = now + DISTRUST_S
            self._last = now
