"""Outlier ejection of the endpoints of one service, with back-off and probes.

Callers pass the current monotonic time as ``now``.

>>> from siskintally.health import HealthTable
>>> table = HealthTable()
>>> names = ["a", "b", "c", "d"]
>>> for _ in range(5):
...     table.record("a", ok=False, names=names, now=10.0)
>>> table.usable(names, now=10.5)
['b', 'c', 'd']
"""

# An endpoint is ejected after this many failures in a row, or when at least half of its results in
# a window failed, given at least 20 results.
CONSECUTIVE_FAILURES = 5
WINDOW_S = 10.0
WINDOW_LEAST = 20
WINDOW_FAILURE_RATE = 0.5
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0
# An endpoint that is ejected again within this time of its readmission gets twice the back-off.
RELAPSE_S = 60.0
MAX_EJECTED_RATIO = 0.3
# An unreachable endpoint gets no requests for this time, which doubles with each failed probe.
# MAX_EJECTED_RATIO doesn't apply: an unreachable endpoint serves nobody, while one that returns
# errors may fail because of the requests.
MIN_UNREACHABLE_S = 0.1
MAX_UNREACHABLE_S = 1.0


class _Health:
    __slots__ = (
        "backoff_s",
        "consecutive",
        "ejected",
        "failures",
        "probing",
        "readmitted_at",
        "results",
        "unreachable_s",
        "until",
        "window_from",
    )

    def __init__(self, *, now):
        self.consecutive = 0
        self.results = 0
        self.failures = 0
        self.window_from = now
        self.ejected = False
        self.probing = False
        self.until = 0.0
        self.backoff_s = 0.0
        self.unreachable_s = 0.0
        self.readmitted_at = -RELAPSE_S

    def count(self, ok, now):
        if now - self.window_from > WINDOW_S:
            self.results = self.failures = 0
            self.window_from = now
        self.results += 1
        self.failures += not ok
        self.consecutive = 0 if ok else self.consecutive + 1

    def is_shut(self):
        return self.ejected or self.unreachable_s > 0.0

    def lose(self, now):
        """Record that no connection could be made."""
        if self.unreachable_s and not self.probing:
            # The request was sent before the endpoint was marked as unreachable.
            return
        doubled = min(self.unreachable_s * 2, MAX_UNREACHABLE_S)
        self.unreachable_s = max(doubled, MIN_UNREACHABLE_S)
        self.probing = False
        self.until = max(self.until, now + self.unreachable_s)

    def is_outlier(self):
        if self.consecutive >= CONSECUTIVE_FAILURES:
            return True
        rate = self.failures / self.results if self.results else 0.0
        return self.results >= WINDOW_LEAST and rate >= WINDOW_FAILURE_RATE

    def eject(self, now):
        relapsed = self.ejected or now - self.readmitted_at < RELAPSE_S
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S) if relapsed else MIN_BACKOFF_S
        self.backoff_s = max(self.backoff_s, MIN_BACKOFF_S)
        self.ejected = True
        self.probing = False
        self.until = now + self.backoff_s

    def readmit(self, now):
        self.ejected = self.probing = False
        self.unreachable_s = 0.0
        self.consecutive = self.results = self.failures = 0
        self.window_from = self.readmitted_at = now


class HealthTable:
    """Health of the endpoints of one service.

    Each name stands for one incarnation of an endpoint.
    """

    __slots__ = ("_by_name",)

    def __init__(self):
        self._by_name = {}

    def usable(self, names, *, now):
        """Return the endpoints that may get a request, including those due for a probe."""
        return [name for name in names if self._is_usable(name, now)]

    def ejected(self, names):
        """Return the ejected endpoints."""
        return [name for name in names if self.is_ejected(name)]

    def is_suspect(self, name):
        """Return whether an endpoint is an outlier that the limit on ejections keeps in use."""
        health = self._by_name.get(name)
        return health is not None and not health.ejected and health.is_outlier()

    def is_ejected(self, name):
        """Return whether an endpoint is ejected."""
        health = self._by_name.get(name)
        return health is not None and health.ejected

    def needs_probe(self, name):
        """Return whether the next request to an endpoint would be a probe."""
        health = self._by_name.get(name)
        return health is not None and health.is_shut()

    def start(self, name):
        """Record that a request is sent; to an ejected or unreachable endpoint it is a probe."""
        if self.needs_probe(name):
            self._by_name[name].probing = True

    def lose(self, name, *, now):
        """Record that no connection to an endpoint could be made.

        It gets no request until a probe is due, even if no other endpoint is left.
        """
        self._by_name.setdefault(name, _Health(now=now)).lose(now)

    def abandon(self, name):
        """Record that a request ended without a result that says anything about its endpoint."""
        health = self._by_name.get(name)
        if health is not None:
            health.probing = False

    def record(self, name, *, ok, names, now):
        """Record the result of a request.

        :param names: all endpoints of the service; at most 30% of them are ejected at once.
        """
        health = self._by_name.get(name)
        if health is None:
            if ok:
                return
            health = self._by_name[name] = _Health(now=now)
        if health.unreachable_s and not health.ejected:
            # Any response shows that the endpoint accepts connections again.
            health.unreachable_s = 0.0
            health.probing = False
            health.until = 0.0
        if health.ejected:
            # Results of requests sent before the ejection are ignored.
            if health.probing and ok:
                health.readmit(now)
            elif health.probing:
                health.eject(now)
            return
        health.count(ok, now)
        allowed = int(MAX_EJECTED_RATIO * len(names))
        if health.is_outlier() and len(self.ejected(names)) < allowed:
            health.eject(now)

    def keep(self, names):
        """Drop all endpoints except these."""
        for name in self._by_name.keys() - set(names):
            del self._by_name[name]

    def _is_usable(self, name, now):
        health = self._by_name.get(name)
        if health is None or not health.is_shut():
            return True
        return now >= health.until and not health.probing
