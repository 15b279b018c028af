"""Worker lease, measured on the worker's clock, from the side of the granting leader; pure.

>>> from siskintally.worker_lease import WorkerLease
>>> lease = WorkerLease(length_s=3.0, margin_s=0.5)
>>> lease.sample_clock(clock_ms=1000, received_at=10.1)
>>> lease.grant(now=11.1)
4980
>>> round(lease.expired_by, 2)
14.66
"""

from math import inf

# Lowest rate of a worker's clock relative to true time.
MIN_CLOCK_RATE = 0.98


class WorkerLease:
    """Lease that one leader grants and renews for one incarnation of a worker.

    ``expired_by``: steady time of this process by which every grant so far has expired and its
    runs have ended. ``until_ms``: end of the last grant on the worker's clock, 0 without one.

    :param length_s: duration of a grant.
    :param margin_s: time that a worker may need to end its runs after the lease has expired.
    """

    __slots__ = (
        "_clock_ms",
        "_length_s",
        "_margin_s",
        "_received_at",
        "expired_by",
        "until_ms",
    )

    def __init__(self, *, length_s, margin_s):
        self._length_s = length_s
        self._margin_s = margin_s
        self._clock_ms = None
        self._received_at = 0.0
        self.expired_by = -inf
        self.until_ms = 0

    @property
    def has_clock_sample(self):
        """Whether there is a reading of the worker's clock."""
        return self._clock_ms is not None

    def sample_clock(self, *, clock_ms, received_at):
        """Record a reading of the worker's clock; one older than the last is ignored.

        :param received_at: latest steady time at which the reading can have been taken.
        """
        if self._clock_ms is None or clock_ms >= self._clock_ms:
            self._clock_ms = clock_ms
            self._received_at = received_at

    def grant(self, now):
        """Extend the lease from now; return its end on the worker's clock, in ms.

        The worker's clock is taken to show the least that it can show now, because a former leader
        is waited out for :func:`longest_grant_s` from its last grant at most.
        """
        clock_now_ms = self._clock_ms + (now - self._received_at) * MIN_CLOCK_RATE * 1000
        until_ms = int(clock_now_ms + self._length_s * 1000)
        left_s = (until_ms - self._clock_ms) / 1000 / MIN_CLOCK_RATE
        self.expired_by = max(self.expired_by, self._received_at + left_s + self._margin_s)
        self.until_ms = max(self.until_ms, until_ms)
        return self.until_ms

    def include_former_grants(self, until):
        """Account for grants of former leaders.

        :param until: steady time by which they have expired and their runs have ended.
        """
        self.expired_by = max(self.expired_by, until)


def longest_grant_s(length_s, margin_s):
    """Return the longest true time from a grant until its runs have ended, s."""
    return length_s / MIN_CLOCK_RATE + margin_s
