"""Metrics client: sends counters, gauges, and timings to a statsd server.

>>> from siskintally.metrics import Metrics
>>> Metrics(address=None, prefix="siskintally.e1").count("requests")
"""

from statsd import StatsClient


class Metrics:
    """Counters, gauges, and timings of one process.

    :param address: :class:`~siskintally.settings.Address` of a statsd server; if it is None,
        nothing is sent.
    :param prefix: prefix of all metric names.
    """

    __slots__ = ("_client",)

    def __init__(self, *, address, prefix):
        self._client = None
        if address is not None:
            self._client = StatsClient(address.host, address.port, prefix=prefix)

    def count(self, name, number=1):
        """Increment a counter."""
        if self._client is not None:
            self._client.incr(name, number)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, seconds):
        """Record a duration in seconds; it is sent in milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000)
