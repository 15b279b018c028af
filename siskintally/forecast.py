"""Forecast of the time a request waits for a slot; the time is passed in.

>>> from siskintally.forecast import Rate, class_rate
>>> [round(class_rate(rank, 100.0, 90.0, [30.0, 50.0], share=0.1)) for rank in (0, 1, 2)]
[90, 60, 20]
"""

from math import exp

from siskintally.limits import NORMAL, URGENT

SMOOTHING = 0.1
# A request sent with less time left than mean and deviations often ends with an unknown outcome.
DEVIATIONS = 4.0
# A service time measured longer ago refuses nobody, so one slow answer can't close a service.
MEASURE_LIFE_S = 10.0
# Time constant of the measured arrivals: short against a burst, long against the interval of 1 ms
# to 100 ms between requests.
RATE_TIME_S = 1.0


class Rate:
    """Events a second, mostly those of the last second."""

    __slots__ = ("_at", "_count")

    def __init__(self):
        self._at = 0.0
        self._count = 0.0

    def add(self, now):
        """Count an event."""
        self._count = self._kept(now) + 1.0
        self._at = now

    def per_s(self, now):
        """Return the rate."""
        return self._kept(now) / RATE_TIME_S

    def _kept(self, now):
        return self._count * exp(-max(now - self._at, 0.0) / RATE_TIME_S)


class ServiceTime:
    """Mean and mean deviation of measured service times."""

    __slots__ = ("_at", "_deviation_s", "_mean_s")

    def __init__(self):
        self._at = 0.0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add(self, seconds, now):
        """Take the service time of a complete response."""
        if self.mean_s(now) == 0.0:
            self._mean_s = seconds
            self._deviation_s = 0.0
        else:
            error = seconds - self._mean_s
            self._mean_s += SMOOTHING * error
            self._deviation_s += SMOOTHING * (abs(error) - self._deviation_s)
        self._at = now

    def mean_s(self, now):
        """Return the measured service time, s; 0 if there was no recent one."""
        return self._mean_s if now - self._at <= MEASURE_LIFE_S else 0.0

    def needed_s(self, now):
        """Return the time within which nearly all requests are served, s."""
        mean = self.mean_s(now)
        return mean + DEVIATIONS * self._deviation_s if mean else 0.0


def class_rate(rank, capacity, ordinary, demand, *, share):
    """Return how many requests of a class are sent in a second while all classes wait.

    :param capacity: requests a second that all slots serve.
    :param ordinary: requests a second that the slots open to ordinary requests serve.
    :param demand: accepted requests a second of the urgent and the normal class.
    :param share: share of the dispatches that waiting deferrable requests get.
    """
    if rank == URGENT:
        return capacity * (1 - share)
    rest = min(capacity - demand[URGENT], ordinary)
    if rank == NORMAL:
        return max(rest - share * capacity, 0.0)
    return max(rest - demand[NORMAL], share * capacity)


def wait_s(rank, ahead, capacity, ordinary, demand, *, share):
    """Return how long a request waits until it is sent, s; infinite if its class gets no slots.

    :param ahead: waiting requests of each class up to its own that are sent before it.
    """
    if capacity <= 0:
        return float("inf")
    rate = class_rate(rank, capacity, ordinary, demand, share=share)
    # The guaranteed share of deferrable requests doesn't wait for the queues of other classes.
    by_share = ahead[rank] / (share * capacity) if rank > NORMAL and share > 0 else float("inf")
    return min(by_share, sum(ahead) / rate if rate > 0 else float("inf"))
