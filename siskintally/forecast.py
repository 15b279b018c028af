"""Forecast of how long a request waits for a slot, from arrival rates and service times.

Callers pass the current monotonic time as ``now``.

>>> from siskintally.forecast import EventRate, class_dispatch_rate
>>> [round(class_dispatch_rate(rank, 100.0, 90.0, [30.0, 50.0], share=0.1)) for rank in (0, 1, 2)]
[90, 60, 20]
"""

from math import exp

from siskintally.limits import NORMAL, URGENT

# Weight of a new sample in the exponential moving averages.
SMOOTHING_FACTOR = 0.1
# A request with less time left than the mean service time and this many mean deviations often ends
# with an unknown outcome.
BOUND_DEVIATIONS = 4.0
# Older measurements are ignored. Otherwise one slow response could refuse all requests, and with
# them any newer measurement.
MEASUREMENT_TTL_S = 10.0
# Time constant of the exponential decay: shorter than a burst, longer than the 1 ms to 100 ms
# between requests.
RATE_TIME_CONSTANT_S = 1.0


class EventRate:
    """Exponentially decayed event rate, mostly of the last second."""

    __slots__ = ("_count", "_updated_at")

    def __init__(self):
        self._updated_at = 0.0
        self._count = 0.0

    def add(self, now):
        """Count an event."""
        self._count = self._decayed_count(now) + 1.0
        self._updated_at = now

    def per_s(self, now):
        """Return the events per second."""
        return self._decayed_count(now) / RATE_TIME_CONSTANT_S

    def _decayed_count(self, now):
        return self._count * exp(-max(now - self._updated_at, 0.0) / RATE_TIME_CONSTANT_S)


class ServiceTime:
    """Moving averages of the service time and of its absolute deviation."""

    __slots__ = ("_deviation_s", "_mean_s", "_updated_at")

    def __init__(self):
        self._updated_at = 0.0
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add(self, seconds, now):
        """Record the service time of a complete response, in seconds."""
        if self.mean_s(now) == 0.0:
            self._mean_s = seconds
            self._deviation_s = 0.0
        else:
            error = seconds - self._mean_s
            self._mean_s += SMOOTHING_FACTOR * error
            self._deviation_s += SMOOTHING_FACTOR * (abs(error) - self._deviation_s)
        self._updated_at = now

    def mean_s(self, now):
        """Return the mean in seconds; 0 without a recent measurement."""
        return self._mean_s if now - self._updated_at <= MEASUREMENT_TTL_S else 0.0

    def upper_bound_s(self, now):
        """Return the service time in seconds that nearly all requests stay below; 0 if unknown."""
        mean = self.mean_s(now)
        return mean + BOUND_DEVIATIONS * self._deviation_s if mean else 0.0


def class_dispatch_rate(rank, capacity, non_urgent_capacity, arrivals_per_s, *, share):
    """Return how many requests of a class are sent per second while all classes have some waiting.

    :param capacity: requests per second that all slots serve.
    :param non_urgent_capacity: requests per second that the slots not reserved for urgent requests
        serve.
    :param arrivals_per_s: accepted requests per second of the urgent and the normal class.
    :param share: fraction of the dispatches that waiting deferrable requests get.
    """
    if rank == URGENT:
        return capacity * (1 - share)
    remaining_rate = min(capacity - arrivals_per_s[URGENT], non_urgent_capacity)
    if rank == NORMAL:
        return max(remaining_rate - share * capacity, 0.0)
    return max(remaining_rate - arrivals_per_s[NORMAL], share * capacity)


def forecast_wait_s(rank, ahead, capacity, non_urgent_capacity, arrivals_per_s, *, share):
    """Return the wait in seconds until a request is sent; infinite if its class gets no slots.

    :param ahead: waiting requests of each class up to its own that are sent before it.
    """
    if capacity <= 0:
        return float("inf")
    rate = class_dispatch_rate(rank, capacity, non_urgent_capacity, arrivals_per_s, share=share)
    # Deferrable requests are sent at their guaranteed share even while other classes wait.
    wait_by_share_s = (
        ahead[rank] / (share * capacity) if rank > NORMAL and share > 0 else float("inf")
    )
    return min(wait_by_share_s, sum(ahead) / rate if rate > 0 else float("inf"))
