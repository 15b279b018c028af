"""Counters and latency histograms of one process, as text for scraping.

>>> from siskintally.counters import Counters
>>> counters = Counters()
>>> counters.count("starts", 2)
>>> counters.observe("commit_s", 0.003)
>>> print(counters.text().splitlines()[0])
siskintally_starts_total 2
"""

from bisect import bisect_left

BOUNDS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class Counters:
    """Counts by name, and durations in seconds by name in fixed buckets."""

    __slots__ = ("_buckets_by_name", "_count_by_name", "_sum_by_name")

    def __init__(self):
        self._count_by_name = {}
        self._buckets_by_name = {}
        self._sum_by_name = {}

    def count(self, name, number=1):
        """Add to a counter."""
        self._count_by_name[name] = self._count_by_name.get(name, 0) + number

    def observe(self, name, seconds):
        """Add a duration to a histogram."""
        buckets = self._buckets_by_name.setdefault(name, [0] * (len(BOUNDS_S) + 1))
        buckets[bisect_left(BOUNDS_S, seconds)] += 1
        self._sum_by_name[name] = self._sum_by_name.get(name, 0.0) + seconds

    def text(self):
        """Return all values in the text format that metric scrapers read."""
        return "\n".join([*self._counter_lines(), *self._histogram_lines()]) + "\n"

    def _counter_lines(self):
        for name, number in sorted(self._count_by_name.items()):
            yield f"siskintally_{name}_total {number}"

    def _histogram_lines(self):
        for name, buckets in sorted(self._buckets_by_name.items()):
            total = 0
            for bound, number in zip((*BOUNDS_S, "+Inf"), buckets, strict=True):
                total += number
                yield f'siskintally_{name}_bucket{{le="{bound}"}} {total}'
            yield f"siskintally_{name}_sum {self._sum_by_name[name]:.6f}"
            yield f"siskintally_{name}_count {total}"
