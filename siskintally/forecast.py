"""Forecast of how long a request waits for a slot, from arrival rates and service times.

Callers pass the current monotonic time as ``now``.

>>> from siskintally.forecast import Rate, class_rate
>>> [round(class_rate(rank, 100.0, 90.0, [30.0, 50.0], share=0.1)) for rank in (0, 1, 2)]
[90, 60, 20]
"""

from math import exp

from siskintally.limits import NORMAL, URGENT

# Weight of a new sample in the exponential moving averages.
SMOOTHING = 0.1
# A request with less time left than the mean service time and this many mean deviations often ends
# with an unknown outcome.
DEVIATIONS = 4.0
# Older measurements are ignored. Otherwise one slow response could refuse all requests, and with
# them any newer measurement.
MEASURE_LIFE_S = 10.0
# Time constant of the exponential decay: shorter than a burst, longer than the 1 ms to 100 ms
# between requests.
RATE_TIME_S = 1.0


class Rate:
    """Exponentially decayed event rate, mostly of the last second."""

    __slots__ = ("_at", "_count")

    def __init__(self):
        self._at = 0.0
        self._count = 0.0

    def add(self, now):
        """Count an event."""
        self._count = self._kept(now) + 1.0
        self._at = now

    def per_s(self, now):
        """Return the events per second."""
        return self._kept(now) / RATE_TIME_S

    def _kept(self, now):
        return self._count * exp(-max(now - self._at, 0.0) / RATE_TIME_S)


class ServiceTime:
    """Moving averages of the service time and of its absolute deviation."""

    __slots__ = ("_at", "_deviation_s", "_mean_s")

    def __init__(self):
        self._at = 0.0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add(self, seconds, now):
        """Record the service time of a complete response, in seconds."""
        if self.mean_s(now) == 0.0:
            self._mean_s = seconds
            self._deviation_s = 0.0
        else:
            error = seconds - self._mean_s
            self._mean_s += SMOOTHING * error
            self._deviation_s += SMOOTHING * (abs(error) - self._deviation_s)
        self._at = now

    def mean_s(self, now):
        """Return the mean in seconds; 0 without a recent measurement."""
        return self._mean_s if now - self._at <= MEASURE_LIFE_S else 0.0

    def needed_s(self, now):
        """Return the service time in seconds that nearly all requests stay below; 0 if unknown."""
        mean = self.mean_s(now)
        return mean + DEVIATIONS * self._deviation_s if mean else 0.0


def class_rate(rank, capacity, ordinary, demand, *, share):
    """Return how many requests of a class are sent per second while all classes have some waiting.

    :param capacity: requests per second that all slots serve.
    :param ordinary: requests per second served by the slots open to normal and deferrable requests.
    :param demand: accepted requests per second of the urgent and the normal class.
    :param share: fraction of the dispatches that waiting deferrable requests get.
    """
    if rank == URGENT:
        return capacity * (1 - share)
    rest = min(capacity - demand[URGENT], ordinary)
    if rank == NORMAL:
        return max(rest - share * capacity, 0.0)
    return max(rest - demand[NORMAL], share * capacity)


def wait_s(rank, ahead, capacity, ordinary, demand, *, share):
    """Return the wait in seconds until a request is sent; infinite if its class gets no slots.

    :param ahead: waiting requests of each class up to its own that are sent before it.
    """
    if capacity <= 0:
        return float("inf")
    rate = class_rate(rank, capacity, ordinary, demand, share=share)
    # Deferrable requests are sent at their guaranteed share even while other classes wait.
    by_share = ahead[rank] / (share * capacity) if rank > NORMAL and share > 0 else float("inf")
    return min(by_share, sum(ahead) / rate if rate > 0 else float("inf"))
