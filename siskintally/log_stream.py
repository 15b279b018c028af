r"""Output stream for log lines: rate-limited and non-blocking; drops what does not fit.

>>> from siskintally.log_stream import LogStream
>>> written = []
>>> def write(data):
...     written.append(data)
...     return len(data)
>>> stream = LogStream(write=write, clock=lambda: 0.0, lines_per_s=1, burst_lines=2)
>>> for line in ("a", "b", "c"):
...     stream.write(line + "\n")
>>> written, stream.dropped
([b'a\n', b'b\n'], 1)
"""

from json import dumps

LINES_PER_S = 1500
BURST_LINES = 3000


class LogStream:
    """File-like object for log lines with a token bucket; excess lines are dropped and counted.

    :param write: function that writes bytes without blocking, or raises BlockingIOError.
    :param clock: function that returns the monotonic time in seconds.
    :param lines_per_s: sustained rate, lines per second.
    :param burst_lines: size of the token bucket, lines.
    """

    # structlog keeps a lock per output file in a dictionary with weak references.
    __slots__ = (
        "__weakref__",
        "_burst_lines",
        "_clock",
        "_lines_per_s",
        "_refilled_at",
        "_tokens",
        "_write",
        "dropped",
    )

    def __init__(self, *, write, clock, lines_per_s=LINES_PER_S, burst_lines=BURST_LINES):
        self._write = write
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._burst_lines = burst_lines
        self._tokens = float(burst_lines)
        self._refilled_at = clock()
        self.dropped = 0

    def write(self, text):
        """Write one line, including its line end, or drop it."""
        now = self._clock()
        refill = (now - self._refilled_at) * self._lines_per_s
        self._tokens = min(self._tokens + refill, self._burst_lines)
        self._refilled_at = now
        if self._tokens < 1.0:
            self.dropped += 1
            return
        self._tokens -= 1.0
        if self.dropped and self._try_write(_drop_notice(self.dropped)):
            self.dropped = 0
        if not self._try_write(text):
            self.dropped += 1

    def _try_write(self, text):
        try:
            self._write(text.encode())
        except (BlockingIOError, BrokenPipeError):
            # The reader is slow or gone; the dropped lines are reported when it reads again.
            return False
        return True

    def flush(self):
        """Do nothing, as lines are not buffered."""


def _drop_notice(count):
    return dumps({"event": "log lines dropped", "level": "warning", "count": count}) + "\n"
