"""Detection of pauses of this process, such as by SIGSTOP or a frozen VM.

>>> from siskintally.pause_detector import PauseDetector
>>> detector = PauseDetector()
>>> detector.tick(10.0); detector.is_after_pause(10.5), detector.is_after_pause(70.0)
(False, True)
"""

from math import inf

# The process calls the detector four times a second; after a longer gap it was paused.
MIN_PAUSE_S = 1.0
# Time to read the input that arrived during the pause.
CATCH_UP_S = 1.0


class PauseDetector:
    """Detects pauses, after which input may be old because it waited in socket buffers."""

    __slots__ = ("_catch_up_until", "_last_seen")

    def __init__(self):
        self._last_seen = inf
        self._catch_up_until = -inf

    def tick(self, now):
        """Record that the process runs; must be called at least twice a second."""
        self._check_gap(now)
        self._last_seen = now

    def is_after_pause(self, now):
        """Return whether input read now may have arrived before the end of a pause."""
        self._check_gap(now)
        return now <= self._catch_up_until

    def _check_gap(self, now):
        if now - self._last_seen > MIN_PAUSE_S:
            self._catch_up_until = now + CATCH_UP_S
            self._last_seen = now
